// Reported starts that wait to be stored, on the leader.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/registry/LeavingStarts.h"

#include <optional>

namespace wigeonfold::registry {

// Collects reports while a log entry with earlier ones is under way, so that
// many targets that leave together cost few entries. A report that is lost is
// repeated by its node. Deterministic; not thread safe.
class LeavingProposals
{
public:
  // A report beyond kMaxWaiting, or of a start that waits already, is dropped.
  void Add(const std::string& aNodeName, const TargetStart& aStart);
  // What to propose now; nothing while an entry is under way, or when all that
  // wait are in aStored. Call OnProposed if the entry was appended to the log;
  // the starts wait on otherwise.
  std::optional<std::vector<wire::NodeLeaving>> Next(
    const LeavingStarts& aStored,
    TimePoint aNow);
  void OnProposed(TimePoint aNow);
  // An entry that added starts was applied.
  void OnApplied() { m_proposedAt.reset(); }

  static constexpr size_t kMaxWaiting = 4096; // nodes
  // An entry that was not applied after this time may be lost with its leader.
  static constexpr Duration kTimeout = std::chrono::seconds(1);

private:
  std::map<std::string, std::vector<TargetStart>> m_waiting; // by node name
  std::optional<TimePoint> m_proposedAt; // of the entry under way
};

} // namespace wigeonfold::registry
