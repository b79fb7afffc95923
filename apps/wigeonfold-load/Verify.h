// Comparison of the callers' outcomes with the targets' records.
#pragma once

#include "Results.h"

#include <string>
#include <vector>

namespace wigeonfold::load {

// Request ids of a run are "<run>-<index>"; an internal call appends "/i" to
// the id of the call that it serves.
std::string RequestId(const std::string& aRun, size_t aIndex);

struct VerifyReport
{
  uint64_t m_executions = 0; // of requests of this run, internal calls included
  uint64_t m_doubles = 0;    // non-idempotent requests that ran more than once
  uint64_t m_falseNotRun = 0;
  uint64_t m_unknownIds = 0;          // ids of this run that were never sent
  uint64_t m_answeredUnrecorded = 0;  // answers without a record; a record may
                                      // be missing, so this isn't a fault
  std::vector<std::string> m_details; // the first faults

  bool IsClean() const
  {
    return m_doubles == 0 && m_falseNotRun == 0 && m_unknownIds == 0;
  }
};

// Adds the records of several targets and checks them against the outcomes.
class Verifier
{
public:
  Verifier(const Experiment& aExperiment,
           const std::vector<RequestEntry>& aEntries);

  // aLines is the body of GET /executed or an executed-file. A last line that
  // a killed process left incomplete is passed over; any other malformed line
  // is an error.
  Status AddRecord(const std::string& aSource, const std::string& aLines);

  VerifyReport Report() const;

private:
  const Experiment& m_experiment;
  const std::vector<RequestEntry>& m_entries;
  std::map<std::string, uint64_t> m_counts; // executions per id of this run
};

} // namespace wigeonfold::load
