// Experiment file of the load generator.
#pragma once

#include "wigeonfold/base/Settings.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::load {

// A stretch of time with a rate of its own.
struct Phase
{
  std::string m_name;
  Duration m_length = Duration::zero();
  int m_ratePercent = 100; // of the experiment's rate
  // This client account's arrivals are multiplied in addition; empty: none.
  std::string m_surgeAccount;
  int m_surgePercent = 100;
};

struct ClientAccount
{
  std::string m_path; // such as offices/arita/shop
  int m_share = 1;    // relative to the other client accounts
};

struct RequestClass
{
  std::string m_name;
  std::string m_service; // selects the targets in direct mode
  std::string m_path;
  std::string m_method;
  bool m_idempotent = true;
  bool m_sendIdempotent = false;  // states it in a header
  std::optional<Duration> m_work; // absent: the target's own mix
  size_t m_bodyBytes = 0;
  size_t m_answerBytes = 64;
  int m_weight = 1; // relative to the other classes
  std::optional<Duration> m_deadline;
  std::string m_chain; // services called in turn by targets
};

struct DirectService
{
  std::string m_service;
  std::vector<SocketAddress> m_targets;
};

struct Experiment
{
  std::string m_run; // prefix of the request ids
  uint64_t m_seed = 1;
  double m_rate = 0; // requests per second at 100 %
  std::vector<SocketAddress> m_nodes;
  size_t m_connections = 32; // per node
  // Nodes may be killed during the run, so a broken connection counts as
  // unknown and not as lost.
  bool m_nodesMayBreak = true;
  Duration m_answerTimeout = std::chrono::seconds(10);
  Duration m_answerGrace = std::chrono::seconds(2); // past a deadline
  int m_callerAttempts = 3; // of an idempotent request through other nodes
  std::vector<Phase> m_phases;
  std::vector<ClientAccount> m_clientAccounts;
  std::vector<RequestClass> m_classes;
  std::vector<DirectService> m_direct;
};

// Reads every key; problems are listed by aFile.Finish().
Experiment ReadExperiment(SettingsFile& aFile);

// Targets of a service in direct mode; empty when there are none.
std::vector<SocketAddress> DirectTargets(const Experiment& aExperiment,
                                         const std::string& aService);

} // namespace wigeonfold::load
