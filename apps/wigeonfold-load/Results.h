// Outcomes of a run and their report.
#pragma once

#include "Experiment.h"

#include "wigeonfold/base/Histogram.h"
#include "wigeonfold/net/HttpPool.h"

#include <array>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace wigeonfold::load {

enum class Outcome : uint8_t
{
  Pending,
  Answered, // the whole answer to the request
  Wrong,    // an answer that does not belong to the request or is cut
  Lost,     // neither an answer nor an outcome in time
  NotRun,   // refused, reported as not run
  Unknown,  // reported as unknown, or the node was lost
};
inline constexpr size_t kOutcomes = 6;

const char* ToString(Outcome aOutcome);

// Verdict on one attempt of a request.
struct Verdict
{
  Outcome m_outcome = Outcome::Pending;
  bool m_nodeLost = false; // the connection broke; another node may answer
  std::string m_reason;    // for Wrong and Lost
};

// aNodesMayBreak: see Experiment. Pure.
Verdict Judge(const net::HttpRequest& aRequest,
              const net::HttpOutcome& aOutcome,
              bool aNodesMayBreak);

// The last word on a request after several attempts: an attempt that may have
// run can't be followed by "not run". Pure.
Outcome Combine(Outcome aEarlier, Outcome aLatest);

struct Tally
{
  std::array<uint64_t, kOutcomes> m_counts{};
  LatencyHistogram m_latency;  // answered; from the scheduled time
  LatencyHistogram m_overhead; // the same without the time in the target
};

// Resolution of the answers' time series.
inline constexpr Duration kAnsweredStep = std::chrono::milliseconds(100);

// One entry per request, in the order of the schedule.
struct RequestEntry
{
  Outcome m_outcome = Outcome::Pending;
  uint16_t m_class = 0;
};

class Results
{
public:
  explicit Results(const Experiment& aExperiment);

  void Add(size_t aPhase,
           size_t aAccount,
           size_t aClass,
           Outcome aOutcome,
           Duration aLatency,
           std::optional<Duration> aInTarget);
  // Time since the start of the run at which a request was answered.
  void NoteAnswered(Duration aAt);
  // Keeps the first reasons only.
  void NoteFault(const std::string& aText);
  void NoteCallerRetry() { ++m_callerRetries; }
  // Counts the answers of all attempts by HTTP status.
  void NoteStatus(int aStatus) { ++m_statuses[aStatus]; }
  // An answered request whose internal calls had no answer.
  void NoteInternalFailure() { ++m_internalFailures; }

  uint64_t Count(Outcome aOutcome) const;
  uint64_t Total() const;

  std::string ToText() const;
  nlohmann::json ToJson() const;

private:
  const Experiment& m_experiment;
  Tally m_all;
  std::vector<Tally> m_byPhase;
  std::vector<Tally> m_byAccount;
  std::vector<Tally> m_byClass;
  // Per phase, then per client account or per class.
  std::vector<std::vector<Tally>> m_byPhaseAccount;
  std::vector<std::vector<Tally>> m_byPhaseClass;
  std::vector<uint64_t> m_answeredPerStep; // steps of kAnsweredStep
  uint64_t m_callerRetries = 0;
  std::map<int, uint64_t> m_statuses;
  uint64_t m_internalFailures = 0;
  std::vector<std::string> m_faults;
};

} // namespace wigeonfold::load
