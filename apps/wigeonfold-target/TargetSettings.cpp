#include "TargetSettings.h"

#include <array>

namespace wigeonfold::target {

using namespace std::chrono_literals;

namespace {

constexpr int kMaxWaiting = 1'000'000;
constexpr int kMaxFactorPercent = 100'000;

ReportMode ReadMode(SettingsFile& aFile, const std::string& aKey)
{
  const std::string text = aFile.String("reports", aKey, "honest");
  if (text == "honest") {
    return ReportMode::Honest;
  }
  if (text == "always-good") {
    return ReportMode::AlwaysGood;
  }
  if (text == "random") {
    return ReportMode::Random;
  }
  aFile.AddProblem(
    "reports", aKey, "'" + text + "' is not honest, always-good or random");
  return ReportMode::Honest;
}

ServiceTimeSettings ReadTimes(SettingsFile& aFile)
{
  ServiceTimeSettings times;
  times.m_short = aFile.Time("service-time", "short", times.m_short, 0us, 60s);
  times.m_long = aFile.Time("service-time", "long", times.m_short, 0us, 600s);
  times.m_longPerMille = static_cast<int>(
    aFile.Integer("service-time", "long-per-mille", 0, 0, 1000));
  times.m_coldLength = aFile.Time("cold-start", "length", 0s, 0s, 600s);
  times.m_coldFactorPercent = static_cast<int>(
    aFile.Integer("cold-start", "factor-percent", 100, 1, kMaxFactorPercent));
  times.m_slowPercent = static_cast<int>(
    aFile.Integer("slow-spell", "probability-percent", 0, 0, 100));
  times.m_slowPeriod =
    aFile.Time("slow-spell", "period", times.m_slowPeriod, 1ms, 3600s);
  times.m_slowLength =
    aFile.Time("slow-spell", "length", times.m_slowLength, 0s, 3600s);
  times.m_slowFactorPercent = static_cast<int>(
    aFile.Integer("slow-spell", "factor-percent", 100, 1, kMaxFactorPercent));
  times.m_seed =
    static_cast<uint64_t>(aFile.Integer("target", "seed", 1, 0, INT64_MAX));
  if (times.m_slowPercent > 0 && times.m_slowLength > times.m_slowPeriod) {
    aFile.AddProblem("slow-spell", "length", "longer than the period");
  }
  return times;
}

FaultSettings ReadFaults(SettingsFile& aFile)
{
  FaultSettings faults;
  faults.m_failurePerMille =
    static_cast<int>(aFile.Integer("faults", "failure-per-mille", 0, 0, 1000));
  faults.m_factorPercent = static_cast<int>(
    aFile.Integer("faults", "factor-percent", 100, 1, kMaxFactorPercent));
  faults.m_after = aFile.Time("faults", "after", 0s, 0s, 3600s);
  faults.m_seed =
    static_cast<uint64_t>(aFile.Integer("faults", "seed", 1, 0, INT64_MAX));
  return faults;
}

} // namespace

TargetSettings ReadTargetSettings(SettingsFile& aFile)
{
  TargetSettings settings;
  settings.m_listen = aFile.RequiredAddress("target", "listen");
  settings.m_service = aFile.RequiredString("target", "service");
  settings.m_name = aFile.String("target", "name", ToString(settings.m_listen));
  settings.m_softwareVersion = aFile.String("target", "software-version", "");
  settings.m_nodeAnnounce = aFile.Address("target", "node-announce");
  settings.m_nodeCallers = aFile.Address("target", "node-callers");
  settings.m_announceAddress =
    aFile.Address("target", "announce-address").value_or(settings.m_listen);
  settings.m_slots =
    static_cast<int>(aFile.Integer("target", "slots", 6, 1, 10'000));
  settings.m_connections =
    static_cast<int>(aFile.Integer("target", "connections", 130, 1, 60'000));
  settings.m_connectionCost =
    aFile.Time("target", "connection-cost", 0s, 0s, 10s);
  settings.m_oneWayDelay = aFile.Time("target", "one-way-delay", 0s, 0s, 10s);
  settings.m_shedAbove = static_cast<int>(
    aFile.Integer("target", "shed-above", kMaxWaiting, 0, kMaxWaiting));
  settings.m_drainLinger = aFile.Time("target", "drain-linger", 1s, 0s, 60s);
  settings.m_executedFile = aFile.String("target", "executed-file", "");
  settings.m_times = ReadTimes(aFile);
  settings.m_faults = ReadFaults(aFile);
  settings.m_healthMode = ReadMode(aFile, "health");
  settings.m_loadMode = ReadMode(aFile, "load");
  settings.m_reportLag = aFile.Time("reports", "lag", 0s, 0s, 600s);
  return settings;
}

} // namespace wigeonfold::target
