// Settings of the stand-in target.
#pragma once

#include "wigeonfold/base/Settings.h"

#include <optional>
#include <string>

namespace wigeonfold::target {

// What /health and /load report.
enum class ReportMode
{
  Honest,     // the state, m_reportLag late
  AlwaysGood, // healthy and idle, whatever the state
  Random,     // seeded, independent of the state
};

struct ServiceTimeSettings
{
  Duration m_short = std::chrono::milliseconds(2);
  Duration m_long = std::chrono::milliseconds(2);
  int m_longPerMille = 0; // share of requests that take m_long
  // Cold start: times are multiplied by the factor for this long after the
  // start.
  Duration m_coldLength = Duration::zero();
  int m_coldFactorPercent = 100;
  // Slow spells: each period begins with one at this probability.
  int m_slowPercent = 0;
  Duration m_slowPeriod = std::chrono::seconds(10);
  Duration m_slowLength = std::chrono::seconds(1);
  int m_slowFactorPercent = 100;
  uint64_t m_seed = 1;
};

// Faults of a bad software version.
struct FaultSettings
{
  int m_failurePerMille = 0;           // share of answers with the status 500
  int m_factorPercent = 100;           // by which service times are multiplied
  Duration m_after = Duration::zero(); // from the start of the process
  uint64_t m_seed = 1;
};

struct TargetSettings
{
  SocketAddress m_listen;
  std::string m_service;
  std::string m_name;            // in answers, as net::kTargetField
  std::string m_softwareVersion; // as told to its node; empty: none
  std::optional<SocketAddress> m_nodeAnnounce; // its node's local HTTP port
  std::optional<SocketAddress> m_nodeCallers; // of its node, for internal calls
  SocketAddress m_announceAddress;            // as told to its node
  int m_slots = 6;
  int m_connections = 130; // further ones are closed at once
  // Delay before the first read from a new connection, in addition to twice the
  // one-way delay.
  Duration m_connectionCost = Duration::zero();
  Duration m_oneWayDelay = Duration::zero(); // of each request and each answer
  int m_shedAbove = 0; // sheds while this many requests wait
  Duration m_drainLinger = std::chrono::seconds(1);
  std::string m_executedFile; // empty: the record is kept in memory only
  ServiceTimeSettings m_times;
  FaultSettings m_faults;
  ReportMode m_healthMode = ReportMode::Honest;
  ReportMode m_loadMode = ReportMode::Honest;
  Duration m_reportLag = Duration::zero(); // age of the state reported
};

// Invalid settings are replaced by defaults and listed by aFile.Finish().
TargetSettings ReadTargetSettings(SettingsFile& aFile);

} // namespace wigeonfold::target
