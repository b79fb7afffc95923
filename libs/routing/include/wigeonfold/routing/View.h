// The routing view: settings and endpoints joined into one immutable state.
#pragma once

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/settings/Tree.h"
#include "wigeonfold/wire/gen/control_types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wigeonfold::routing {

// A target as other nodes reach it: through its own node.
struct Endpoint
{
  std::string m_nodeName;
  int64_t m_nodeEpoch = 0;
  std::string m_availabilityZone;
  SocketAddress m_nodeAddress;
  int m_slots = 1;
};

// A service that takes calls, with its effective settings. Only targets that
// are ready are listed; the list may be empty.
struct ServiceRoute
{
  std::string m_name;
  std::string m_prefix; // empty: no caller traffic, internal calls only
  Duration m_requestTimeout{};
  std::vector<std::string> m_idempotentMethods;
  int m_maxAttempts = 1;
  int m_retryBudgetPercent = 0;
  int m_queueLimit = 0;
  Duration m_queueTimeout{};
  int m_spillPercent = 100;
  int m_ejectFailures = 1;
  Duration m_ejectDuration{};
  int m_targetConnections = 1; // at one target
  std::vector<Endpoint> m_endpoints;
};

// A service's part of a route.
struct RoutePart
{
  const ServiceRoute* m_service = nullptr;
  int64_t m_weight = 1;
};

// A route that is selected by host and path prefix.
struct RequestRoute
{
  std::string m_name;
  std::string m_pathPrefix; // begins and ends with a slash
  bool m_idempotent = false;
  int m_maxAttempts = 1;
  int m_priority = 0; // 0 is the highest rank
  Duration m_timeout{};
  Duration m_objective{};         // zero: none
  std::vector<RoutePart> m_parts; // not empty
};

// An office on the path from the top of the tree to a caller's office.
struct ClientAccountLevel
{
  std::string m_path;
  int m_weight = 1;       // share against its siblings
  int m_queuePercent = 1; // greatest part of a target's queue
};

// Immutable; all methods are thread safe. Services exist in the view only when
// the settings tree has their branch, so no route names an absent service,
// whatever order settings and endpoints arrive in.
class View
{
public:
  // Fails with InvalidArgument, naming the service, when a service's settings
  // can't be used; the caller then keeps its old view.
  static Result<std::shared_ptr<const View>> Build(
    const settings::Tree& aTree,
    const std::vector<wire::EndpointRecord>& aEndpoints);

  // Service with the longest prefix of aTarget that ends at a path segment;
  // nullptr when none matches. aTarget is a request target, with query.
  const ServiceRoute* Match(std::string_view aTarget) const;
  // Route of that host with the longest prefix that begins aTarget's path;
  // nullptr when none matches. aHost may carry a port.
  const RequestRoute* MatchHost(std::string_view aHost,
                                std::string_view aTarget) const;
  // nullptr when the settings tree has no such service.
  const ServiceRoute* Find(const std::string& aService) const;

  // Offices from "offices" down to the deepest existing branch on the
  // account's path. Unknown accounts fall back to "offices" alone.
  std::vector<ClientAccountLevel> ClientAccountChain(
    const std::string& aAccount) const;

  // Whether the settings tell the node of that name to drain its target.
  bool IsDrained(const std::string& aNodeName) const;

  const settings::Tree& Settings() const { return m_tree; }
  size_t EndpointCount() const { return m_endpointCount; }

private:
  void ReadRoutes();

  settings::Tree m_tree;
  std::map<std::string, ServiceRoute> m_services;
  std::unordered_map<std::string, const ServiceRoute*> m_prefixes;
  // By host in lower case; longer prefixes first.
  std::unordered_map<std::string, std::vector<RequestRoute>> m_hosts;
  size_t m_endpointCount = 0;
};

} // namespace wigeonfold::routing
