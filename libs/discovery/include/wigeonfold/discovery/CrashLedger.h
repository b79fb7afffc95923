// Requests that may end the targets that run them.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/wire/gen/common_types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace wigeonfold::discovery {

// What is done with a request, given the ends of targets that may have been
// running such a request.
enum class CrashVerdict
{
  Run,
  Isolate,    // run at one target only, and alone there
  Quarantine, // not run for a while
};

// "run", "isolate" or "quarantine".
const char* ToString(CrashVerdict aVerdict);

struct CrashJudgement
{
  CrashVerdict m_verdict = CrashVerdict::Run;
  // If quarantined: time until such a request is run again.
  Duration m_left{};
  // If isolated: time since the last crash, and the number of crashes within
  // kEndpointDelay.
  Duration m_sinceLast{};
  size_t m_recentCrashes = 0;

  // Time to wait before the request is sent to a service of which the node
  // knows that number of targets; zero: none. An isolated request that may end
  // the last one waits until those that it may have ended are back. Those that
  // ended within kEndpointDelay may still be among the known ones.
  Duration WaitFor(size_t aKnownTargets) const;

  // Covers the usual restart of a target.
  static constexpr Duration kRestartTime = std::chrono::seconds(5);
  // Time until all nodes know that a target is not ready any more.
  static constexpr Duration kEndpointDelay = std::chrono::milliseconds(500);
};

// Remembers, by the fingerprint of a request's content, the ends of targets
// that may have been running it. Each node and control VM keeps one; all of
// them exchange their records, in any order and any number of times, and reach
// the same state.
//
// A crash proves nothing against one of several requests under way. So a
// request that was present at kIsolateAfter crashes runs alone, and only one
// that was then present at kQuarantineAfter, at one of them alone, is
// quarantined. A request that a target ran to its end is innocent of all
// crashes so far.
//
// Deterministic; not thread safe.
class CrashLedger
{
public:
  // A target ended while it may have been running the request. aEventId differs
  // for each end of a target. Ignored if such a request was completed lately.
  void AddCrash(uint64_t aFingerprint,
                int64_t aEventId,
                bool aAlone,
                TimePoint aNow);
  // A target has run the request to its end.
  void NoteCompleted(uint64_t aFingerprint, TimePoint aNow);
  // Takes over what another node or control VM knows.
  void Merge(const std::vector<wire::CrashRecord>& aRecords, TimePoint aNow);
  // Drops crashes older than kMemory. Call about every second.
  void Tick(TimePoint aNow);

  CrashJudgement Judge(uint64_t aFingerprint, TimePoint aNow) const;
  // Number of crashes that count against the request.
  size_t CrashesOf(uint64_t aFingerprint) const;

  // Grows with each change that others have to know.
  uint64_t Revision() const { return m_revision; }
  // The records that have changed since that revision; all of them since 0.
  std::vector<wire::CrashRecord> Since(uint64_t aRevision,
                                       TimePoint aNow) const;
  size_t Size() const { return m_records.size(); }

  static constexpr size_t kIsolateAfter = 2;
  static constexpr size_t kQuarantineAfter = 3;
  // Time from the last crash until the request is run once more, alone. Doubles
  // with each further crash at which it was alone, up to kMaxQuarantine.
  static constexpr Duration kQuarantine = std::chrono::minutes(1);
  static constexpr Duration kMaxQuarantine = std::chrono::hours(1);
  // Crashes are forgotten after this time.
  static constexpr Duration kMemory = std::chrono::hours(2);
  // Requests that were completed within this time are innocent of a crash. It
  // covers the time until a crash is known everywhere.
  static constexpr Duration kCompletionMemory = std::chrono::seconds(5);
  // Records kept; those with the fewest and oldest crashes go first.
  static constexpr size_t kMaxRecords = 256;
  static constexpr size_t kMaxEvents = 32; // per record
  // Completed requests kept, by the remainder of their fingerprint.
  static constexpr size_t kMaxCompleted = 4096;

private:
  struct Event
  {
    TimePoint m_at{};
    bool m_alone = false;
    bool m_refuted = false;
  };
  struct Record
  {
    std::map<int64_t, Event> m_events; // by id
    uint64_t m_revision = 0;           // of the last change
  };
  struct Completion
  {
    uint64_t m_fingerprint = 0;
    TimePoint m_at{};
  };
  // Crashes that count against a request.
  struct Standing
  {
    size_t m_crashes = 0;
    size_t m_alone = 0;
    size_t m_recent = 0; // within CrashJudgement::kEndpointDelay
    TimePoint m_last{};
  };

  static Standing StandingOf(const Record& aRecord, TimePoint aNow = {});
  static Duration QuarantineOf(const Standing& aStanding);
  bool WasCompleted(uint64_t aFingerprint, TimePoint aNow) const;
  void Refute(Record& aRecord);
  bool MergeEvent(Record& aRecord,
                  const wire::CrashEvent& aEvent,
                  TimePoint aNow);
  void DropExcess();

  std::map<uint64_t, Record> m_records; // by fingerprint
  std::vector<Completion> m_completed;  // empty until the first
  uint64_t m_revision = 0;
};

} // namespace wigeonfold::discovery
