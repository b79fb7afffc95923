// Outstanding calls of one connection to a peer node.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wigeonfold::forwarding {

// An attempt of a call, as its owner knows it.
struct AttemptKey
{
  uint64_t m_call = 0;
  int m_attempt = 0;

  bool operator==(const AttemptKey&) const = default;
};

// An attempt of a connection that was lost or is silent.
struct OutstandingAttempt
{
  AttemptKey m_key;
  // False only when no byte of the frame can have left this process.
  bool m_written = false;
};

// Matches answers to attempts. One table per connection epoch: ids start again
// with each connection and are never reused within it, so that an answer can't
// be taken for that of another call. Not thread safe.
class CallTable
{
public:
  // Id for a call that is not written yet.
  int64_t Open(const AttemptKey& aKey);
  // The frame is about to be handed to the socket.
  void MarkWritten(int64_t aId);

  // Ends the call of that id. Nothing for an id that is unknown, was answered
  // before, was cancelled, or was never written.
  std::optional<AttemptKey> Answer(int64_t aId);
  // Forgets the call; true when its frame was written, so that the peer has
  // to be told.
  bool Cancel(int64_t aId);
  // Ends all calls, in the order in which they were opened.
  std::vector<OutstandingAttempt> TakeAll();
  // All calls, in the order in which they were opened.
  std::vector<OutstandingAttempt> Outstanding() const;

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
