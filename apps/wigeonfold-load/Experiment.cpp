#include "Experiment.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>

namespace wigeonfold::load {

using namespace std::chrono_literals;

namespace {

constexpr int64_t kMaxRate = 1'000'000;
constexpr int64_t kMaxPercent = 100'000;
constexpr int64_t kMaxBody = int64_t{ 1 } << 20;

// Names of the sections "[<kind> <name>]", sorted by name.
std::vector<std::string> NamesOf(const SettingsFile& aFile,
                                 const std::string& aKind)
{
  std::vector<std::string> names;
  for (const std::string& section : aFile.Sections()) {
    if (boost::starts_with(section, aKind + " ")) {
      names.push_back(section.substr(aKind.size() + 1));
    }
  }
  return names;
}

Phase ReadPhase(SettingsFile& aFile, const std::string& aName)
{
  const std::string section = "phase " + aName;
  Phase phase;
  phase.m_name = aName;
  phase.m_length = aFile.Time(section, "length", 10s, 1ms, 86400s);
  phase.m_ratePercent = static_cast<int>(
    aFile.Integer(section, "rate-percent", 100, 0, kMaxPercent));
  phase.m_surgeAccount = aFile.String(section, "surge-office", "");
  phase.m_surgePercent = static_cast<int>(
    aFile.Integer(section, "surge-percent", 100, 0, kMaxPercent));
  return phase;
}

// Methods that RFC 9110 defines as idempotent.
bool IsIdempotentMethod(const std::string& aMethod)
{
  constexpr std::array<const char*, 5> kMethods{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"
  };
  return std::find(kMethods.begin(), kMethods.end(), aMethod) != kMethods.end();
}

std::optional<Duration> OptionalTime(SettingsFile& aFile,
                                     const std::string& aSection,
                                     const std::string& aKey)
{
  constexpr Duration kAbsent = -1ms;
  const Duration time = aFile.Time(aSection, aKey, kAbsent, 0ms, 600s);
  return time == kAbsent ? std::nullopt : std::optional(time);
}

RequestClass ReadClass(SettingsFile& aFile, const std::string& aName)
{
  const std::string section = "class " + aName;
  RequestClass requestClass;
  requestClass.m_name = aName;
  requestClass.m_service = aFile.RequiredString(section, "service");
  requestClass.m_path =
    aFile.String(section, "path", "/" + requestClass.m_service + "/" + aName);
  requestClass.m_method = aFile.String(section, "method", "GET");
  const auto keys = aFile.Keys(section);
  requestClass.m_sendIdempotent =
    std::find(keys.begin(), keys.end(), "idempotent") != keys.end();
  requestClass.m_idempotent = aFile.Boolean(
    section, "idempotent", IsIdempotentMethod(requestClass.m_method));
  requestClass.m_work = OptionalTime(aFile, section, "work");
  requestClass.m_bodyBytes =
    static_cast<size_t>(aFile.Integer(section, "body-bytes", 0, 0, kMaxBody));
  requestClass.m_answerBytes = static_cast<size_t>(
    aFile.Integer(section, "answer-bytes", 64, 0, kMaxBody));
  requestClass.m_weight =
    static_cast<int>(aFile.Integer(section, "weight", 1, 0, kMaxPercent));
  requestClass.m_deadline = OptionalTime(aFile, section, "deadline");
  requestClass.m_chain = aFile.String(section, "chain", "");
  if (!boost::starts_with(requestClass.m_path, "/")) {
    aFile.AddProblem(section, "path", "does not begin with /");
  }
  return requestClass;
}

void ReadCallers(SettingsFile& aFile, Experiment& aExperiment)
{
  aExperiment.m_nodes = aFile.Addresses("callers", "nodes");
  aExperiment.m_connections =
    static_cast<size_t>(aFile.Integer("callers", "connections", 32, 1, 10'000));
  aExperiment.m_nodesMayBreak =
    aFile.Boolean("callers", "nodes-may-break", true);
  aExperiment.m_answerTimeout =
    aFile.Time("callers", "answer-timeout", 10s, 1ms, 600s);
  aExperiment.m_answerGrace =
    aFile.Time("callers", "answer-grace", 2s, 0ms, 600s);
  aExperiment.m_callerAttempts =
    static_cast<int>(aFile.Integer("callers", "attempts", 3, 1, 100));
}

// Checks the rules that involve several keys or sections.
void CheckConsistency(SettingsFile& aFile, const Experiment& aExperiment)
{
  if (aExperiment.m_nodes.empty() && aExperiment.m_direct.empty()) {
    aFile.AddProblem("callers", "nodes", "required without [direct]");
  }
  if (aExperiment.m_phases.empty()) {
    aFile.AddProblem("phase", "length", "no section [phase NAME]");
  }
  int weights = 0;
  for (const RequestClass& requestClass : aExperiment.m_classes) {
    weights += requestClass.m_weight;
  }
  if (weights == 0) {
    aFile.AddProblem("class", "weight", "no class with a weight above 0");
  }
  int shares = 0;
  for (const ClientAccount& account : aExperiment.m_clientAccounts) {
    shares += account.m_share;
  }
  if (shares == 0) {
    aFile.AddProblem(
      "offices", "share", "no client account with a share above 0");
  }
  for (const Phase& phase : aExperiment.m_phases) {
    const bool known =
      phase.m_surgeAccount.empty() ||
      std::any_of(aExperiment.m_clientAccounts.begin(),
                  aExperiment.m_clientAccounts.end(),
                  [&phase](const ClientAccount& aAccount) {
                    return aAccount.m_path == phase.m_surgeAccount;
                  });
    if (!known) {
      aFile.AddProblem(
        "phase " + phase.m_name, "surge-office", "not listed in [offices]");
    }
  }
}

} // namespace

Experiment ReadExperiment(SettingsFile& aFile)
{
  Experiment experiment;
  experiment.m_run = aFile.String("load", "run", "run");
  experiment.m_seed =
    static_cast<uint64_t>(aFile.Integer("load", "seed", 1, 0, INT64_MAX));
  experiment.m_rate =
    static_cast<double>(aFile.Integer("load", "rate", 100, 1, kMaxRate));
  ReadCallers(aFile, experiment);
  for (const std::string& name : NamesOf(aFile, "phase")) {
    experiment.m_phases.push_back(ReadPhase(aFile, name));
  }
  for (const std::string& account : aFile.Keys("offices")) {
    experiment.m_clientAccounts.push_back(
      { account,
        static_cast<int>(
          aFile.Integer("offices", account, 1, 0, kMaxPercent)) });
  }
  for (const std::string& name : NamesOf(aFile, "class")) {
    experiment.m_classes.push_back(ReadClass(aFile, name));
  }
  for (const std::string& service : aFile.Keys("direct")) {
    experiment.m_direct.push_back(
      { service, aFile.Addresses("direct", service) });
  }
  CheckConsistency(aFile, experiment);
  return experiment;
}

std::vector<SocketAddress> DirectTargets(const Experiment& aExperiment,
                                         const std::string& aService)
{
  for (const DirectService& direct : aExperiment.m_direct) {
    if (direct.m_service == aService) {
      return direct.m_targets;
    }
  }
  return {};
}

} // namespace wigeonfold::load
