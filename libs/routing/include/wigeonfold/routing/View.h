// The routing view: settings and endpoints combined into one immutable state.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/rollout/ServiceRollout.h"
#include "wigeonfold/routing/ClientAccounts.h"
#include "wigeonfold/settings/Tree.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wigeonfold::routing {

// A target, which other nodes reach through its own node.
struct Endpoint
{
  std::string m_nodeName;
  int64_t m_nodeEpoch = 0;
  std::string m_availabilityZone;
  SocketAddress m_nodeAddress;
  int m_slots = 1;
  std::string m_softwareVersion; // that the target runs; empty: not named
};

// A service that takes calls, with its effective settings. Only targets that
// are ready are listed; the list may be empty.
struct ServiceRoute
{
  std::string m_name;
  std::string m_prefix; // path prefix; empty: internal calls only
  Duration m_requestTimeout{};
  std::vector<std::string> m_idempotentMethods;
  int m_maxAttempts = 1;
  int m_retryBudgetPercent = 0;
  int m_queueLimit = 0;
  Duration m_queueTimeout{};
  int m_spillPercent = 100;
  int m_ejectFailures = 1;
  Duration m_ejectDuration{};
  int m_targetConnections = 1; // per target
  std::vector<Endpoint> m_endpoints;
  std::optional<rollout::ServiceRollout> m_rollout; // the last one ordered
};

// A service's share of a route's requests.
struct RoutePart
{
  std::string m_service;
  int64_t m_weight = 1; // relative to the other parts
};

// A route, selected by host and path prefix.
struct RequestRoute
{
  std::string m_name;
  std::string m_pathPrefix; // begins and ends with a slash
  bool m_idempotent = false;
  bool m_largeAnswers = false;
  bool m_authExempt = false; // requests need no key of a client account
  int m_maxAttempts = 1;
  int m_priority = 0;     // 0 is the highest priority
  int m_hedgePercent = 0; // hedges in percent of first attempts; 0: none
  Duration m_timeout{};
  Duration m_objective{};         // latency objective; zero: none
  std::vector<RoutePart> m_parts; // not empty
};

// A client account on the path from the root account to a caller's account.
struct ClientAccountLevel
{
  std::string m_path;
  int m_weight = 1;       // relative to its siblings
  int m_queuePercent = 1; // maximum part of a target's queue
};

class RouteTable;

// Endpoints by the name of their service. Sets that did not change are shared
// from one view to the next.
using EndpointsByService =
  std::map<std::string,
           std::shared_ptr<const std::vector<wire::EndpointRecord>>>;

// Thread safe.
EndpointsByService GroupByService(
  const std::vector<wire::EndpointRecord>& aRecords);

// Immutable; all methods are thread safe. The view has exactly the services
// that have a branch in the settings tree, so no route refers to an absent
// service, in whatever order settings and endpoints arrive.
class View
{
public:
  // Takes over from aPrevious, which may be null, what did not change, so that
  // the cost grows with the change and not with the tree. Fails with
  // InvalidArgument when two services have the same route.prefix; the error
  // names the service. The caller then keeps its old view.
  static Result<std::shared_ptr<const View>> Build(
    const settings::Tree& aTree,
    EndpointsByService aEndpoints,
    const View* aPrevious = nullptr);

  // Service with the longest prefix of aTarget that ends at a path segment;
  // nullptr when none matches. aTarget is an HTTP request target and may have a
  // query.
  const ServiceRoute* Match(std::string_view aTarget) const;
  // Route of that host with the longest prefix of aTarget's path; nullptr when
  // none matches. aHost may include a port.
  const RequestRoute* MatchHost(std::string_view aHost,
                                std::string_view aTarget) const;
  // hedge-percent of requests that have a service but no route.
  int DefaultHedgePercent() const;
  // nullptr when the settings tree has no such service.
  const ServiceRoute* Find(const std::string& aService) const;

  // Client accounts from the root account "offices" down to the deepest
  // existing branch on the path of aAccount. For an unknown account this is the
  // root account alone. aAccount may begin with "offices/" or not.
  std::vector<ClientAccountLevel> ClientAccountChain(
    const std::string& aAccount) const;

  // Client accounts with their keys and quotas.
  const ClientAccounts& Accounts() const { return *m_accounts; }

  // Whether the settings tell the node of that name to drain its target.
  bool IsDrained(const std::string& aNodeName) const;

  const settings::Tree& Settings() const { return m_tree; }
  size_t EndpointCount() const { return m_endpointCount; }

  // Routes and services taken over from the previous view.
  size_t SharedRoutes() const;
  size_t SharedServices() const { return m_sharedServices; }

private:
  void ReadServices(const View* aPrevious);
  std::shared_ptr<const ServiceRoute> FindUnchanged(
    const View& aPrevious,
    const std::string& aName) const;
  std::shared_ptr<const std::vector<wire::EndpointRecord>> FindEndpoints(
    const std::string& aService) const;
  Status IndexPrefixes();

  settings::Tree m_tree;
  EndpointsByService m_endpoints;
  std::map<std::string, std::shared_ptr<const ServiceRoute>> m_services;
  std::unordered_map<std::string, const ServiceRoute*> m_prefixes;
  std::shared_ptr<const RouteTable> m_routes;
  std::shared_ptr<const ClientAccounts> m_accounts =
    std::make_shared<const ClientAccounts>();
  size_t m_endpointCount = 0;
  size_t m_sharedServices = 0;
};

} // namespace wigeonfold::routing
