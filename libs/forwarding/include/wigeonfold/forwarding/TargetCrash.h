// Finds the requests that a target was running when it ended.
#pragma once

#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonfold::forwarding {

// A request that was written to the target.
struct WrittenRequest
{
  std::string m_requestId; // for logs
  uint64_t m_fingerprint = 0;
  TimePoint m_written{};
};

// The end of a target, and the requests that it may have been running: their
// connections were lost with it, or the node had given up waiting and the
// target has not shown since that it still works. If there are several, any one
// of them may have ended it.
struct TargetCrash
{
  std::vector<WrittenRequest> m_requests;
  bool IsAlone() const { return m_requests.size() == 1; }
};

// A lost connection alone does not mean that the target has ended: targets also
// close or reset single connections. Deterministic; not thread safe.
class CrashDetector
{
public:
  // aId identifies the request in later calls.
  void OnWritten(uint64_t aId, WrittenRequest aRequest);
  // The target answered, in whatever way.
  void OnAnswered(uint64_t aId, TimePoint aNow);
  // The connection ended without an answer.
  void OnLost(uint64_t aId, TimePoint aNow);
  // No byte of it was sent.
  void OnNotSent(uint64_t aId) { m_running.erase(aId); }
  // The node closed the connection: cancelled, or past its deadline.
  void OnAbandoned(uint64_t aId, TimePoint aNow);

  // Whether a request is under way.
  bool HasRunning() const { return !m_running.empty(); }
  // Whether requests were lost and no other is still under way, so that the
  // target may have ended. It has if it refuses connections, has started anew
  // or stays silent.
  bool MayHaveEnded() const;
  // The target has ended. The requests that it ran are returned only once; none
  // if it ran none.
  TargetCrash OnEnded(TimePoint aNow);

  // Requests kept after their end without an answer.
  static constexpr size_t kMaxUnanswered = 64;
  // They are kept for this time. A silent target is noticed after its announce
  // lease of a few seconds.
  static constexpr Duration kMaxAge = std::chrono::seconds(10);

private:
  struct Unanswered
  {
    WrittenRequest m_request;
    TimePoint m_ended{};
    bool m_lost = false; // not abandoned
  };

  void Keep(uint64_t aId, TimePoint aNow, bool aLost);

  std::unordered_map<uint64_t, WrittenRequest> m_running;
  std::deque<Unanswered> m_unanswered; // oldest first
};

} // namespace wigeonfold::forwarding
