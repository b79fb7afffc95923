#include "wigeonfold/discovery/CrashLedger.h"

#include <algorithm>
#include <tuple>

namespace wigeonfold::discovery {

const char* ToString(CrashVerdict aVerdict)
{
  switch (aVerdict) {
    case CrashVerdict::Run:
      return "run";
    case CrashVerdict::Isolate:
      return "isolate";
    case CrashVerdict::Quarantine:
      return "quarantine";
  }
  return "run";
}

Duration CrashJudgement::WaitFor(size_t aKnownTargets) const
{
  return m_verdict == CrashVerdict::Isolate &&
             aKnownTargets <= m_recentCrashes + 1
           ? std::max(kRestartTime - m_sinceLast, Duration::zero())
           : Duration::zero();
}

// ---- Changes ---------------------------------------------------------------

void CrashLedger::AddCrash(uint64_t aFingerprint,
                           int64_t aEventId,
                           bool aAlone,
                           TimePoint aNow)
{
  if (WasCompleted(aFingerprint, aNow)) {
    return;
  }
  Record& record = m_records[aFingerprint];
  if (record.m_events.size() >= kMaxEvents) {
    return;
  }
  record.m_events[aEventId] = { aNow, aAlone, false };
  record.m_revision = ++m_revision;
  DropExcess();
}

void CrashLedger::NoteCompleted(uint64_t aFingerprint, TimePoint aNow)
{
  m_completed.resize(kMaxCompleted);
  m_completed[aFingerprint % kMaxCompleted] = { aFingerprint, aNow };
  const auto record = m_records.find(aFingerprint);
  if (record != m_records.end()) {
    Refute(record->second);
  }
}

bool CrashLedger::WasCompleted(uint64_t aFingerprint, TimePoint aNow) const
{
  if (m_completed.empty()) {
    return false;
  }
  const Completion& last = m_completed[aFingerprint % kMaxCompleted];
  return last.m_fingerprint == aFingerprint &&
         aNow - last.m_at <= kCompletionMemory;
}

void CrashLedger::Refute(Record& aRecord)
{
  for (auto& [id, event] : aRecord.m_events) {
    if (!event.m_refuted) {
      event.m_refuted = true;
      aRecord.m_revision = ++m_revision;
    }
  }
}

void CrashLedger::Merge(const std::vector<wire::CrashRecord>& aRecords,
                        TimePoint aNow)
{
  for (const wire::CrashRecord& received : aRecords) {
    const auto fingerprint = static_cast<uint64_t>(received.fingerprint);
    Record& record = m_records[fingerprint];
    bool changed = false;
    for (const wire::CrashEvent& event : received.events) {
      changed |= MergeEvent(record, event, aNow);
    }
    if (changed) {
      record.m_revision = ++m_revision;
    }
    if (WasCompleted(fingerprint, aNow)) {
      Refute(record);
    }
    if (record.m_events.empty()) {
      m_records.erase(fingerprint);
    }
  }
  DropExcess();
}

// Returns whether others have to know of the change. Of two ages the greater
// one is closer to the truth, since the time under way is not in it.
bool CrashLedger::MergeEvent(Record& aRecord,
                             const wire::CrashEvent& aEvent,
                             TimePoint aNow)
{
  if (aEvent.ageMs > ToMilliseconds(kMemory)) {
    return false;
  }
  const Duration age =
    std::chrono::milliseconds(std::max<int64_t>(aEvent.ageMs, 0));
  const auto known = aRecord.m_events.find(aEvent.id);
  if (known == aRecord.m_events.end()) {
    if (aRecord.m_events.size() >= kMaxEvents) {
      return false;
    }
    aRecord.m_events[aEvent.id] = { aNow - age, aEvent.alone, aEvent.refuted };
    return true;
  }
  Event& event = known->second;
  const bool changed = aEvent.refuted && !event.m_refuted;
  event.m_refuted |= aEvent.refuted;
  event.m_at = std::min(event.m_at, aNow - age);
  return changed;
}

void CrashLedger::Tick(TimePoint aNow)
{
  for (auto& [fingerprint, record] : m_records) {
    std::erase_if(record.m_events, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.m_at > kMemory;
    });
  }
  std::erase_if(m_records, [](const auto& aEntry) {
    return aEntry.second.m_events.empty();
  });
}

void CrashLedger::DropExcess()
{
  while (m_records.size() > kMaxRecords) {
    const auto weight = [](const auto& aEntry) {
      const Standing standing = StandingOf(aEntry.second);
      return std::tuple(standing.m_crashes, standing.m_last);
    };
    m_records.erase(std::min_element(m_records.begin(),
                                     m_records.end(),
                                     [&](const auto& aOne, const auto& aOther) {
                                       return weight(aOne) < weight(aOther);
                                     }));
  }
}

// ---- Queries ---------------------------------------------------------------

CrashLedger::Standing CrashLedger::StandingOf(const Record& aRecord,
                                              TimePoint aNow)
{
  Standing standing;
  for (const auto& [id, event] : aRecord.m_events) {
    if (!event.m_refuted) {
      ++standing.m_crashes;
      standing.m_alone += event.m_alone ? 1 : 0;
      standing.m_recent +=
        aNow - event.m_at <= CrashJudgement::kEndpointDelay ? 1 : 0;
      standing.m_last = std::max(standing.m_last, event.m_at);
    }
  }
  return standing;
}

// Precondition: the request was alone at a crash.
Duration CrashLedger::QuarantineOf(const Standing& aStanding)
{
  Duration time = kQuarantine;
  for (size_t more = 1; more < aStanding.m_alone && time < kMaxQuarantine;
       ++more) {
    time *= 2;
  }
  return std::min(time, kMaxQuarantine);
}

CrashJudgement CrashLedger::Judge(uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = m_records.find(aFingerprint);
  if (found == m_records.end()) {
    return {};
  }
  const Standing standing = StandingOf(found->second, aNow);
  if (standing.m_crashes >= kQuarantineAfter && standing.m_alone > 0) {
    const Duration left = standing.m_last + QuarantineOf(standing) - aNow;
    if (left > Duration::zero()) {
      return { CrashVerdict::Quarantine, left };
    }
  }
  if (standing.m_crashes < kIsolateAfter) {
    return {};
  }
  return {
    CrashVerdict::Isolate, {}, aNow - standing.m_last, standing.m_recent
  };
}

size_t CrashLedger::CrashesOf(uint64_t aFingerprint) const
{
  const auto found = m_records.find(aFingerprint);
  return found == m_records.end() ? 0 : StandingOf(found->second).m_crashes;
}

std::vector<wire::CrashRecord> CrashLedger::Since(uint64_t aRevision,
                                                  TimePoint aNow) const
{
  std::vector<wire::CrashRecord> records;
  for (const auto& [fingerprint, record] : m_records) {
    if (record.m_revision <= aRevision) {
      continue;
    }
    wire::CrashRecord& added = records.emplace_back();
    added.fingerprint = static_cast<int64_t>(fingerprint);
    for (const auto& [id, event] : record.m_events) {
      wire::CrashEvent& one = added.events.emplace_back();
      one.id = id;
      one.alone = event.m_alone;
      one.ageMs = ToMilliseconds(aNow - event.m_at);
      one.refuted = event.m_refuted;
    }
  }
  return records;
}

} // namespace wigeonfold::discovery
