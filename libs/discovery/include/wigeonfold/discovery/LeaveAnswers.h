// When the reports that a target leaves are answered.
#pragma once

#include "wigeonfold/base/TargetStart.h"
#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace wigeonfold::discovery {

// A report is acknowledged once the control VMs have stored the start: what is
// acknowledged outlives the loss of every process. Without a quorum it is
// refused in time for the target to report again; the node's own target is
// drained meanwhile all the same. Deterministic; not thread safe.
class LeaveAnswers
{
public:
  // Identifies a report that waits for its answer.
  using ReportId = uint64_t;

  // Whether the start is known to be stored, and reports of it can be
  // acknowledged at once.
  bool IsStored(const TargetStart& aStart) const;
  void Wait(ReportId aId, const TargetStart& aStart, TimePoint aNow);
  // The control VMs store the start. Returns the reports to acknowledge.
  std::vector<ReportId> OnStored(const TargetStart& aStart);
  // Returns the reports to refuse, since their starts were not stored in time.
  std::vector<ReportId> TakeExpired(TimePoint aNow);

  // Targets wait a second for the answer.
  static constexpr Duration kTimeout = std::chrono::milliseconds(900);
  // Starts that are remembered as stored; a control VM keeps fewer.
  static constexpr size_t kMaxStored = 16;

private:
  struct Waiting
  {
    ReportId m_id = 0;
    TargetStart m_start;
    TimePoint m_until;
  };

  std::deque<Waiting> m_waiting;    // oldest first
  std::deque<TargetStart> m_stored; // newest last
};

} // namespace wigeonfold::discovery
