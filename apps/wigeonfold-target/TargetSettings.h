// Settings of the target stand-in.
#pragma once

#include "wigeonfold/base/Settings.h"

#include <optional>
#include <string>

namespace wigeonfold::target {

// What /health and /load report.
enum class ReportMode
{
  Honest,
  AlwaysGood, // healthy and idle whatever the state
  Random,     // seeded, without relation to the state
};

struct ServiceTimeSettings
{
  Duration m_short = std::chrono::milliseconds(2);
  Duration m_long = std::chrono::milliseconds(2);
  int m_longPerMille = 0; // share of long requests
  Duration m_coldLength = Duration::zero();
  int m_coldFactorPercent = 100;
  // Slow spells: in each period one begins with this probability.
  int m_slowPercent = 0;
  Duration m_slowPeriod = std::chrono::seconds(10);
  Duration m_slowLength = std::chrono::seconds(1);
  int m_slowFactorPercent = 100;
  uint64_t m_seed = 1;
};

struct TargetSettings
{
  SocketAddress m_listen;
  std::string m_service;
  std::string m_name;                          // in X-Target
  std::optional<SocketAddress> m_nodeAnnounce; // its node's local HTTP port
  std::optional<SocketAddress> m_nodeCallers;  // for internal calls
  SocketAddress m_announceAddress;             // where its node reaches it
  int m_slots = 6;
  int m_connections = 130;
  Duration m_connectionCost = Duration::zero();
  Duration m_oneWayDelay = Duration::zero();
  int m_shedAbove = 0; // waiting requests
  Duration m_drainLinger = std::chrono::seconds(1);
  std::string m_executedFile; // empty: kept in memory only
  ServiceTimeSettings m_times;
  ReportMode m_healthMode = ReportMode::Honest;
  ReportMode m_loadMode = ReportMode::Honest;
  Duration m_reportLag = Duration::zero();
};

// Reads every key; problems are listed by aFile.Finish().
TargetSettings ReadTargetSettings(SettingsFile& aFile);

} // namespace wigeonfold::target
