#include "Verify.h"

#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wigeonfold::load {

namespace {

constexpr size_t kMaxDetails = 20;

// Index of the request in an id of this run; for an internal call, of the
// request that caused it. Nothing when the id has no valid index.
std::optional<size_t> ParseRequestIndex(const std::string& aRun,
                                        const std::string& aId)
{
  const size_t slash = aId.find('/');
  const std::string outer = aId.substr(0, slash);
  size_t index = 0;
  const char* begin = outer.data() + aRun.size() + 1;
  const char* end = outer.data() + outer.size();
  const auto [stop, code] = std::from_chars(begin, end, index);
  if (code != std::errc() || stop != end) {
    return std::nullopt;
  }
  return index;
}

void AddDetail(VerifyReport& aReport, const std::string& aText)
{
  if (aReport.m_details.size() < kMaxDetails) {
    aReport.m_details.push_back(aText);
  }
}

} // namespace

std::string RequestId(const std::string& aRun, size_t aIndex)
{
  return aRun + "-" + std::to_string(aIndex);
}

Verifier::Verifier(const Experiment& aExperiment,
                   const std::vector<RequestEntry>& aEntries)
  : m_experiment(aExperiment)
  , m_entries(aEntries)
{
}

Status Verifier::AddRecord(const std::string& aSource,
                           const std::string& aLines)
{
  std::istringstream lines(aLines);
  std::string line;
  while (std::getline(lines, line)) {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    const bool complete = json.is_object() && json.contains("id") &&
                          json["id"].is_string() && json.contains("count") &&
                          json["count"].is_number_unsigned();
    if (!complete) {
      // At eof the line has no newline: a killed process left it incomplete.
      if (lines.eof()) {
        return Ok();
      }
      return Error{
        ErrorCode::Protocol, "parse executed record", aSource, line
      };
    }
    const auto id = json["id"].get<std::string>();
    if (boost::starts_with(id, m_experiment.m_run + "-")) {
      m_counts[id] += json["count"].get<uint64_t>();
    }
  }
  return Ok();
}

VerifyReport Verifier::Report() const
{
  VerifyReport report;
  for (const auto& [id, count] : m_counts) {
    report.m_executions += count;
    const auto index = ParseRequestIndex(m_experiment.m_run, id);
    if (!index || *index >= m_entries.size()) {
      ++report.m_unknownIds;
      AddDetail(report, id + " was executed but never sent");
      continue;
    }
    const RequestEntry& entry = m_entries[*index];
    if (count > 1 && !m_experiment.m_classes[entry.m_class].m_idempotent) {
      ++report.m_duplicateExecutions;
      AddDetail(report,
                id + " is not idempotent and was executed " +
                  std::to_string(count) + " times");
    }
    if (entry.m_outcome == Outcome::NotRun) {
      ++report.m_falseNotRun;
      AddDetail(report, id + " was reported as not run but was executed");
    }
  }
  for (size_t i = 0; i < m_entries.size(); ++i) {
    const bool recorded = m_counts.count(RequestId(m_experiment.m_run, i)) > 0;
    if (m_entries[i].m_outcome == Outcome::Answered && !recorded) {
      ++report.m_answeredUnrecorded;
    }
  }
  return report;
}

} // namespace wigeonfold::load
