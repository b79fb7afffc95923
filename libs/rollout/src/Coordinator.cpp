#include "wigeonfold/rollout/Coordinator.h"

#include <algorithm>

namespace wigeonfold::rollout {

namespace {

using namespace std::chrono_literals;

// Longer than the table keeps the nodes of a control VM that is silent, so that
// such a node is known to be out of contact.
constexpr Duration kForgetNodes = 20s;

} // namespace

Fleet MakeFleet(const std::vector<wire::EndpointRecord>& aRecords)
{
  Fleet fleet;
  for (const wire::EndpointRecord& record : aRecords) {
    if (record.state == wire::EndpointState::Lost) {
      continue;
    }
    fleet.m_nodes.insert(record.nodeName);
    if (record.state == wire::EndpointState::Ready) {
      VersionTargets& targets =
        fleet.m_targets[record.serviceName][record.softwareVersion];
      targets.m_slots += record.slots;
      targets.m_nodes.insert(record.nodeName);
    }
  }
  return fleet;
}

Coordinator::Coordinator(Duration aRollbackBound)
  : m_rollbackBound(aRollbackBound)
{
}

// ---- Input -----------------------------------------------------------------

void Coordinator::Reset()
{
  m_trials.clear();
  m_reports.Clear();
  m_takesOver = true;
}

Coordinator::Trial Coordinator::MakeTrial(const Order& aOrder) const
{
  Trial trial;
  trial.m_judge =
    Judge(m_takesOver ? Judge::kRestOfWarmUp : Judge::kWarmUp, m_rollbackBound);
  if (m_takesOver) {
    trial.m_targets = ReadyTargets(aOrder);
  }
  return trial;
}

void Coordinator::SetTree(const settings::Tree& aTree, TimePoint aNow)
{
  std::map<std::string, Trial> trials;
  for (Order& order : RunningOrders(aTree)) {
    auto known = m_trials.extract(order.m_orderId);
    Trial& trial = trials[order.m_orderId];
    trial = known.empty() ? MakeTrial(order) : std::move(known.mapped());
    trial.m_longestTimeout = LongestTimeout(aTree, order.m_service);
    trial.m_order = std::move(order);
    if (trial.m_order.m_stage == Stage::Full) {
      trial.m_judge.BeginFull(aNow);
    }
    NoteTargets(trial, aNow);
  }
  m_trials = std::move(trials);
  m_takesOver = false;
  if (m_trials.empty()) {
    // Nodes stop reporting; what they report next is a new baseline.
    m_reports.Clear();
  }
}

void Coordinator::SetFleet(Fleet aFleet, TimePoint aNow)
{
  m_fleet = std::move(aFleet);
  for (auto& [id, trial] : m_trials) {
    NoteTargets(trial, aNow);
  }
}

std::set<std::string> Coordinator::ReadyTargets(const Order& aOrder) const
{
  const auto service = m_fleet.m_targets.find(aOrder.m_service);
  if (service == m_fleet.m_targets.end()) {
    return {};
  }
  const auto version = service->second.find(aOrder.m_version);
  return version == service->second.end() ? std::set<std::string>()
                                          : version->second.m_nodes;
}

void Coordinator::NoteTargets(Trial& aTrial, TimePoint aNow)
{
  std::set<std::string> ready = ReadyTargets(aTrial.m_order);
  const bool started = !std::includes(aTrial.m_targets.begin(),
                                      aTrial.m_targets.end(),
                                      ready.begin(),
                                      ready.end());
  if (started) {
    aTrial.m_judge.OnTargetStarted(aNow);
  }
  aTrial.m_targets = std::move(ready);
}

void Coordinator::OnReport(const wire::RolloutReport& aReport, TimePoint aNow)
{
  if (m_trials.empty()) {
    return;
  }
  for (const Increment& increment : m_reports.Add(aReport, aNow)) {
    for (auto& [id, trial] : m_trials) {
      if (trial.m_order.m_service == increment.m_service) {
        const bool inTrial = increment.m_version == trial.m_order.m_version;
        trial.m_judge.Add(inTrial, increment.m_route, increment.m_counts, aNow);
      }
    }
  }
}

// ---- Decisions -------------------------------------------------------------

bool Coordinator::HasTargets(const Order& aOrder) const
{
  const auto service = m_fleet.m_targets.find(aOrder.m_service);
  if (service == m_fleet.m_targets.end()) {
    return false;
  }
  int64_t own = 0;
  int64_t others = 0;
  for (const auto& [version, targets] : service->second) {
    (version == aOrder.m_version ? own : others) += targets.m_slots;
  }
  return own > 0 &&
         static_cast<double>(own) >= kSlotShare * static_cast<double>(others);
}

bool Coordinator::IsInForce(const Version& aVersion, TimePoint aNow) const
{
  const auto& reports = m_reports.Nodes();
  const bool allReported = std::all_of(
    m_fleet.m_nodes.begin(),
    m_fleet.m_nodes.end(),
    [&reports](const std::string& aNode) { return reports.count(aNode) > 0; });
  return allReported && !reports.empty() &&
         std::all_of(reports.begin(), reports.end(), [&](const auto& aNode) {
           const NodeReports::Node& node = aNode.second;
           return aNow - node.m_reportedAt > kContactTimeout ||
                  node.m_inForce >= aVersion;
         });
}

PlanFacts Coordinator::Observe(Trial& aTrial, TimePoint aNow, WallTime aWallNow)
{
  Judge& judge = aTrial.m_judge;
  PlanFacts facts;
  facts.m_elapsed = aWallNow - aTrial.m_order.m_orderedAt;
  facts.m_judgement = judge.Evaluate(aNow);
  if (judge.FirstInTrial()) {
    facts.m_trialTime = aNow - *judge.FirstInTrial();
  }
  facts.m_hasTargets = HasTargets(aTrial.m_order);
  facts.m_longestTimeout = aTrial.m_longestTimeout;
  facts.m_othersIdle =
    !judge.LastOfOthers() || aNow - *judge.LastOfOthers() >= kIdleTime;
  if (aTrial.m_order.m_stage != Stage::Full ||
      !IsInForce(aTrial.m_order.m_modified, aNow)) {
    aTrial.m_fullSince.reset();
    return facts;
  }
  aTrial.m_fullSince = aTrial.m_fullSince.value_or(aNow);
  facts.m_fullEverywhere = aNow - *aTrial.m_fullSince;
  return facts;
}

std::vector<Step> Coordinator::NextSteps(TimePoint aNow, WallTime aWallNow)
{
  m_reports.Forget(aNow, kForgetNodes);
  std::vector<Step> steps;
  for (auto& [id, trial] : m_trials) {
    auto planned = PlanStep(trial.m_order, Observe(trial, aNow, aWallNow));
    if (planned) {
      steps.push_back({ planned->m_kind,
                        trial.m_order.m_service,
                        id,
                        std::move(planned->m_reason) });
    }
  }
  std::stable_partition(steps.begin(), steps.end(), [](const Step& aStep) {
    return aStep.m_kind == StepKind::RollBack;
  });
  return steps;
}

} // namespace wigeonfold::rollout
