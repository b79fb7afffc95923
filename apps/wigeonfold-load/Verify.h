// Checks the outcomes of a run against the execution records of the targets.
#pragma once

#include "Results.h"

#include <string>
#include <vector>

namespace wigeonfold::load {

// Request ids of a run are "<run>-<index>"; an internal call appends "/i" to
// the id of the request that caused it.
std::string RequestId(const std::string& aRun, size_t aIndex);

struct VerifyReport
{
  uint64_t m_executions = 0; // of this run, internal calls included
  // Non-idempotent ids that were executed more than once.
  uint64_t m_duplicateExecutions = 0;
  uint64_t m_falseNotRun = 0; // ids executed though reported as not run
  uint64_t m_unknownIds = 0;  // ids of this run that were never sent
  // Answered but not in any record; not a fault, as records may be missing.
  uint64_t m_answeredUnrecorded = 0;
  std::vector<std::string> m_details; // one line each for the first 20 faults

  bool IsClean() const
  {
    return m_duplicateExecutions == 0 && m_falseNotRun == 0 &&
           m_unknownIds == 0;
  }
};

// Sums the records of several targets and checks them against the outcomes.
// Not thread safe.
class Verifier
{
public:
  // Both parameters must outlive the verifier.
  Verifier(const Experiment& aExperiment,
           const std::vector<RequestEntry>& aEntries);

  // aLines is the body of GET /executed or the content of an executed-file. A
  // last line without a newline, as a killed process leaves it, is skipped when
  // it is malformed. Any other malformed line is a Protocol error that names
  // aSource.
  Status AddRecord(const std::string& aSource, const std::string& aLines);

  VerifyReport Report() const;

private:
  const Experiment& m_experiment;
  const std::vector<RequestEntry>& m_entries;
  std::map<std::string, uint64_t> m_counts; // executions per id of this run
};

} // namespace wigeonfold::load
