// Outstanding calls on one connection to a peer node.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wigeonfold::forwarding {

// Call id and attempt number, as assigned by the owner of the call.
struct AttemptKey
{
  uint64_t m_call = 0;
  int m_attempt = 0;

  bool operator==(const AttemptKey&) const = default;
};

// An attempt that was not answered.
struct OutstandingAttempt
{
  AttemptKey m_key;
  // False only if no byte of the frame can have left this process.
  bool m_written = false;
};

// Matches answers to attempts. Each connection epoch has its own table: ids
// start again with each connection and are never reused within it, so an answer
// is never attributed to another call. Not thread safe.
class CallTable
{
public:
  // Adds a call that is not written yet and returns its id.
  int64_t Open(const AttemptKey& aKey);
  // The frame is about to be handed to the socket.
  void MarkWritten(int64_t aId);

  // Ends the call with this id. Nothing if the id is unknown, or if the call
  // was already answered, was cancelled, or was never written.
  std::optional<AttemptKey> Answer(int64_t aId);
  // Removes the call. True if its frame was written, so that the peer has to be
  // told.
  bool Cancel(int64_t aId);
  // Removes and returns all calls, in the order in which they were opened.
  std::vector<OutstandingAttempt> TakeAll();
  // All calls, in the order in which they were opened.
  std::vector<OutstandingAttempt> Outstanding() const;

  // Whether the call was opened and has not ended.
  bool Contains(int64_t aId) const { return m_calls.contains(aId); }
  size_t Size() const { return m_calls.size(); }

private:
  struct Entry
  {
    AttemptKey m_key;
    bool m_written = false;
  };

  int64_t m_lastId = 0;
  std::unordered_map<int64_t, Entry> m_calls;
};

} // namespace wigeonfold::forwarding
