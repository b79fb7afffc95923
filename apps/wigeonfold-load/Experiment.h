// Experiment file of the load generator.
#pragma once

#include "wigeonfold/base/Settings.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::load {

// A part of the run with its own request rate.
struct Phase
{
  std::string m_name;
  Duration m_length = Duration::zero();
  int m_ratePercent = 100; // of the experiment's rate
  // Client account whose request rate is multiplied by m_surgePercent in
  // addition; empty: none.
  std::string m_surgeAccount;
  int m_surgePercent = 100;
};

struct ClientAccount
{
  std::string m_path; // such as offices/arita/shop
  int m_share = 1;    // of the requests, relative to the other client accounts
};

struct RequestClass
{
  std::string m_name;
  std::string m_service; // selects the targets in direct mode
  std::string m_path;
  std::string m_method;
  bool m_idempotent = true;
  bool m_sendIdempotent = false;  // send m_idempotent as a header
  std::optional<Duration> m_work; // absent: the target draws it
  size_t m_bodyBytes = 0;
  size_t m_answerBytes = 64;
  int m_weight = 1; // relative to the other classes
  std::optional<Duration> m_deadline;
  // Services separated by commas; each one is called by the one before it.
  std::string m_chain;
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
  // Set when nodes may be killed during the run: a broken connection then
  // counts as unknown instead of lost.
  bool m_nodesMayBreak = true;
  Duration m_answerTimeout = std::chrono::seconds(10); // without a deadline
  // How long after the deadline of a request its answer is awaited.
  Duration m_answerGrace = std::chrono::seconds(2);
  // Attempts per request. Only one whose connection failed is repeated, through
  // another node, and only if it is idempotent or has not run.
  int m_callerAttempts = 3;
  std::vector<Phase> m_phases;
  std::vector<ClientAccount> m_clientAccounts;
  std::vector<RequestClass> m_classes;
  std::vector<DirectService> m_direct;
};

// Invalid settings are replaced by defaults and listed by aFile.Finish().
Experiment ReadExperiment(SettingsFile& aFile);

// Targets of a service in direct mode; empty when there are none.
std::vector<SocketAddress> DirectTargets(const Experiment& aExperiment,
                                         const std::string& aService);

} // namespace wigeonfold::load
