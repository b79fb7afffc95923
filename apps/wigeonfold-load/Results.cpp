#include "Results.h"

#include "wigeonfold/net/Echo.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wigeonfold::load {

namespace {

constexpr int kStatusOk = 200;
constexpr size_t kMaxFaults = 20;
constexpr std::array<const char*, kOutcomeCount> kOutcomeNames{
  "pending", "answered", "wrong", "lost", "not-run", "unknown"
};
constexpr std::array<double, 4> kPercentiles{ 50, 90, 99, 99.9 };
constexpr std::array<const char*, 4> kPercentileNames{ "p50",
                                                       "p90",
                                                       "p99",
                                                       "p99.9" };

AttemptResult ClassifyResponse(const net::HttpRequest& aRequest,
                               const net::HttpResponse& aResponse)
{
  const std::string* run = net::FindField(aResponse.m_fields, net::kRunField);
  if (aResponse.m_status != kStatusOk) {
    if (run != nullptr && *run == "not-run") {
      return { Outcome::NotRun, false, "" };
    }
    if (run != nullptr && *run == "unknown") {
      return { Outcome::Unknown, false, "" };
    }
    return { Outcome::Wrong,
             false,
             "status " + std::to_string(aResponse.m_status) +
               " without a run state of not-run or unknown" };
  }
  if (run != nullptr && *run != "run") {
    return { Outcome::Wrong, false, "status 200 with run state " + *run };
  }
  const net::EchoCheck check = net::CheckEcho(aRequest, aResponse);
  if (check != net::EchoCheck::Right) {
    return { Outcome::Wrong, false, net::ToString(check) };
  }
  const std::string* chain =
    net::FindField(aResponse.m_fields, net::kChainField);
  if (chain != nullptr && *chain == "wrong") {
    return { Outcome::Wrong, false, "wrong answer to an internal call" };
  }
  return { Outcome::Answered, false, "" };
}

double Milliseconds(Duration aDuration)
{
  constexpr double kMicrosPerMilli = 1000.0;
  return static_cast<double>(ToMicroseconds(aDuration)) / kMicrosPerMilli;
}

nlohmann::json LatencyJson(const LatencyHistogram& aHistogram)
{
  nlohmann::json json;
  for (size_t i = 0; i < kPercentiles.size(); ++i) {
    json[kPercentileNames.at(i)] =
      Milliseconds(aHistogram.Percentile(kPercentiles.at(i)));
  }
  json["max"] = Milliseconds(aHistogram.Max());
  return json;
}

nlohmann::json TallyJson(const Tally& aTally)
{
  nlohmann::json json;
  for (size_t i = 1; i < kOutcomeCount; ++i) {
    json[kOutcomeNames.at(i)] = aTally.m_counts.at(i);
  }
  json["latency-ms"] = LatencyJson(aTally.m_latency);
  json["overhead-ms"] = LatencyJson(aTally.m_overhead);
  return json;
}

void AppendRow(std::ostream& aOut,
               const std::string& aName,
               const Tally& aTally)
{
  aOut << std::left << std::setw(28) << aName << std::right;
  for (size_t i = 1; i < kOutcomeCount; ++i) {
    aOut << std::setw(10) << aTally.m_counts.at(i);
  }
  aOut << std::fixed << std::setprecision(2);
  for (const double percent : kPercentiles) {
    aOut << std::setw(10) << Milliseconds(aTally.m_latency.Percentile(percent));
  }
  aOut << '\n';
}

void AppendHeader(std::ostream& aOut)
{
  aOut << std::left << std::setw(28) << "" << std::right;
  for (size_t i = 1; i < kOutcomeCount; ++i) {
    aOut << std::setw(10) << kOutcomeNames.at(i);
  }
  for (const char* name : kPercentileNames) {
    aOut << std::setw(7) << name << " ms";
  }
  aOut << '\n';
}

} // namespace

const char* ToString(Outcome aOutcome)
{
  return kOutcomeNames.at(static_cast<size_t>(aOutcome));
}

AttemptResult ClassifyAttempt(const net::HttpRequest& aRequest,
                              const net::HttpOutcome& aOutcome,
                              bool aNodesMayBreak)
{
  if (aOutcome.m_response) {
    return ClassifyResponse(aRequest, *aOutcome.m_response);
  }
  const std::string reason = aOutcome.m_error.ToString();
  if (!aOutcome.m_sent) {
    return { Outcome::NotRun, true, reason };
  }
  if (aOutcome.m_error.m_code == ErrorCode::Timeout) {
    return { Outcome::Lost, false, reason };
  }
  return { aNodesMayBreak ? Outcome::Unknown : Outcome::Lost, true, reason };
}

Outcome CombineOutcomes(Outcome aEarlier, Outcome aLatest)
{
  const bool mayHaveRun =
    aEarlier == Outcome::Unknown || aEarlier == Outcome::Lost;
  return aLatest == Outcome::NotRun && mayHaveRun ? aEarlier : aLatest;
}

// ---- Results ---------------------------------------------------------------

Results::Results(const Experiment& aExperiment)
  : m_experiment(aExperiment)
  , m_byPhase(aExperiment.m_phases.size())
  , m_byAccount(aExperiment.m_clientAccounts.size())
  , m_byClass(aExperiment.m_classes.size())
{
  for (size_t phase = 0; phase < m_byPhase.size(); ++phase) {
    m_byPhaseAccount.emplace_back(m_byAccount.size());
    m_byPhaseClass.emplace_back(m_byClass.size());
  }
}

void Results::Add(size_t aPhase,
                  size_t aAccount,
                  size_t aClass,
                  Outcome aOutcome,
                  Duration aLatency,
                  std::optional<Duration> aInTarget)
{
  for (Tally* tally : { &m_all,
                        &m_byPhase.at(aPhase),
                        &m_byAccount.at(aAccount),
                        &m_byClass.at(aClass),
                        &m_byPhaseAccount.at(aPhase).at(aAccount),
                        &m_byPhaseClass.at(aPhase).at(aClass) }) {
    ++tally->m_counts.at(static_cast<size_t>(aOutcome));
    if (aOutcome != Outcome::Answered) {
      continue;
    }
    tally->m_latency.Add(aLatency);
    if (aInTarget) {
      tally->m_overhead.Add(aLatency - *aInTarget);
    }
  }
}

void Results::NoteAnswered(Duration aAt)
{
  const auto step = static_cast<size_t>(aAt / kAnsweredStep);
  if (m_answeredPerStep.size() <= step) {
    m_answeredPerStep.resize(step + 1);
  }
  ++m_answeredPerStep[step];
}

void Results::NoteFault(const std::string& aText)
{
  if (m_faults.size() < kMaxFaults) {
    m_faults.push_back(aText);
  }
}

uint64_t Results::Count(Outcome aOutcome) const
{
  return m_all.m_counts.at(static_cast<size_t>(aOutcome));
}

uint64_t Results::Total() const
{
  uint64_t total = 0;
  for (const uint64_t count : m_all.m_counts) {
    total += count;
  }
  return total;
}

std::string Results::ToText() const
{
  std::ostringstream out;
  AppendHeader(out);
  AppendRow(out, "all", m_all);
  for (size_t i = 0; i < m_byPhase.size(); ++i) {
    AppendRow(out, "phase " + m_experiment.m_phases[i].m_name, m_byPhase[i]);
  }
  for (size_t i = 0; i < m_byAccount.size(); ++i) {
    AppendRow(out, m_experiment.m_clientAccounts[i].m_path, m_byAccount[i]);
  }
  for (size_t i = 0; i < m_byClass.size(); ++i) {
    AppendRow(out, "class " + m_experiment.m_classes[i].m_name, m_byClass[i]);
  }
  out << "caller retries " << m_callerRetries << ", internal calls failed "
      << m_internalFailures << ", overhead p50 "
      << Milliseconds(m_all.m_overhead.Percentile(50)) << " ms, p99 "
      << Milliseconds(m_all.m_overhead.Percentile(99)) << " ms\n";
  for (const std::string& fault : m_faults) {
    out << "fault: " << fault << '\n';
  }
  return out.str();
}

nlohmann::json Results::ToJson() const
{
  nlohmann::json json;
  json["total"] = Total();
  json["all"] = TallyJson(m_all);
  json["caller-retries"] = m_callerRetries;
  json["internal-failures"] = m_internalFailures;
  json["faults"] = m_faults;
  json["statuses"] = nlohmann::json::object();
  for (const auto& [status, count] : m_statuses) {
    json["statuses"][std::to_string(status)] = count;
  }
  json["answered-per-100ms"] = m_answeredPerStep;
  for (size_t i = 0; i < m_byPhase.size(); ++i) {
    nlohmann::json phase = TallyJson(m_byPhase[i]);
    for (size_t j = 0; j < m_byAccount.size(); ++j) {
      phase["offices"][m_experiment.m_clientAccounts[j].m_path] =
        TallyJson(m_byPhaseAccount[i][j]);
    }
    for (size_t j = 0; j < m_byClass.size(); ++j) {
      phase["classes"][m_experiment.m_classes[j].m_name] =
        TallyJson(m_byPhaseClass[i][j]);
    }
    json["phases"][m_experiment.m_phases[i].m_name] = phase;
  }
  for (size_t i = 0; i < m_byAccount.size(); ++i) {
    json["offices"][m_experiment.m_clientAccounts[i].m_path] =
      TallyJson(m_byAccount[i]);
  }
  for (size_t i = 0; i < m_byClass.size(); ++i) {
    json["classes"][m_experiment.m_classes[i].m_name] = TallyJson(m_byClass[i]);
  }
  return json;
}

} // namespace wigeonfold::load
