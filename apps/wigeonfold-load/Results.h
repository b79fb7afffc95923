// Classifies the outcomes of requests and collects the results of a run.
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
  Answered, // the complete answer to the request
  Wrong,    // an answer that is incomplete or does not match the request
  Lost,     // no answer before the timeout, or the connection broke although
            // Experiment::m_nodesMayBreak is false
  NotRun,   // reported as not run, or never sent
  Unknown,  // reported as unknown, or the connection broke
};
inline constexpr size_t kOutcomeCount = 6;

const char* ToString(Outcome aOutcome);

// Result of one attempt of a request.
struct AttemptResult
{
  Outcome m_outcome = Outcome::Pending;
  bool m_connectionFailed = false; // another node may still answer
  std::string m_reason;            // why it is Wrong or Lost
};

// aNodesMayBreak: whether a connection that breaks after the request was sent
// counts as Unknown instead of Lost. A pure function.
AttemptResult ClassifyAttempt(const net::HttpRequest& aRequest,
                              const net::HttpOutcome& aOutcome,
                              bool aNodesMayBreak);

// Outcome of a request after a further attempt. When an earlier attempt may
// have run, the request can no longer be reported as not run. A pure function.
Outcome CombineOutcomes(Outcome aEarlier, Outcome aLatest);

// Outcome counts and latencies of one group of requests.
struct Tally
{
  std::array<uint64_t, kOutcomeCount> m_counts{}; // indexed by Outcome
  // Of answered requests, from the scheduled time to the answer.
  LatencyHistogram m_latency;
  LatencyHistogram m_overhead; // the latency less the time in the target
};

// Length of one step of Results::m_answeredPerStep.
inline constexpr Duration kAnsweredStep = std::chrono::milliseconds(100);

// Class and final outcome of one request.
struct RequestEntry
{
  Outcome m_outcome = Outcome::Pending;
  uint16_t m_class = 0;
};

// Totals of a run, also per phase, client account and class. Not thread safe.
class Results
{
public:
  // aExperiment must outlive the results.
  explicit Results(const Experiment& aExperiment);

  // aInTarget: how long the target held the request, when it reported that.
  void Add(size_t aPhase,
           size_t aAccount,
           size_t aClass,
           Outcome aOutcome,
           Duration aLatency,
           std::optional<Duration> aInTarget);
  // aAt: time from the start of the run to the answer of a request.
  void NoteAnswered(Duration aAt);
  // Keeps the first 20 texts only.
  void NoteFault(const std::string& aText);
  void NoteCallerRetry() { ++m_callerRetries; }
  // Counts the answers of all attempts by HTTP status.
  void NoteStatus(int aStatus) { ++m_statuses[aStatus]; }
  // Counts requests with an internal call that failed.
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
