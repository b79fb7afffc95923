#include "wigeonfold/routing/View.h"

#include "wigeonfold/settings/Schema.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>

namespace wigeonfold::routing {

namespace {

const std::string kServices = "services";
const std::string kClientAccounts = "offices";
const std::string kTargets = "targets";

ServiceRoute ReadService(const settings::Tree& aTree, const std::string& aName)
{
  const std::string path = kServices + "/" + aName;
  const auto number = [&](const char* aKey) {
    return static_cast<int>(aTree.Integer(path, aKey));
  };
  ServiceRoute route;
  route.m_name = aName;
  route.m_prefix = aTree.Text(path, "route.prefix");
  route.m_requestTimeout = aTree.Time(path, "request.timeout");
  route.m_idempotentMethods = aTree.List(path, "request.idempotent-methods");
  route.m_maxAttempts = number("retry.max-attempts");
  route.m_retryBudgetPercent = number("retry.budget-percent");
  route.m_queueLimit = number("queue.limit");
  route.m_queueTimeout = aTree.Time(path, "queue.timeout");
  route.m_spillPercent = number("zone.spill-percent");
  route.m_ejectFailures = number("eject.failures");
  route.m_ejectDuration = aTree.Time(path, "eject.duration");
  route.m_targetConnections = number("target.connections");
  return route;
}

ClientAccountLevel ReadClientAccount(const settings::Tree& aTree,
                                     const std::string& aPath)
{
  return ClientAccountLevel{
    aPath,
    static_cast<int>(aTree.Integer(aPath, "share.weight")),
    static_cast<int>(aTree.Integer(aPath, "share.queue-percent"))
  };
}

// Prefixes are compared without a trailing slash, so that "/lots/" and "/lots"
// select the same requests.
std::string_view WithoutTrailingSlash(std::string_view aPath)
{
  while (!aPath.empty() && aPath.back() == '/') {
    aPath.remove_suffix(1);
  }
  return aPath;
}

} // namespace

Result<std::shared_ptr<const View>> View::Build(
  const settings::Tree& aTree,
  const std::vector<wire::EndpointRecord>& aEndpoints)
{
  auto view = std::make_shared<View>();
  view->m_tree = aTree;
  for (const std::string& name : aTree.Children(kServices)) {
    view->m_services.emplace(name, ReadService(aTree, name));
  }
  for (const wire::EndpointRecord& record : aEndpoints) {
    const auto service = view->m_services.find(record.serviceName);
    if (service == view->m_services.end() ||
        record.state != wire::EndpointState::Ready) {
      continue;
    }
    const auto address = ParseSocketAddress(record.nodeAddress);
    if (!address) {
      continue; // an invalid announcement must not affect the other endpoints
    }
    service->second.m_endpoints.push_back(
      Endpoint{ record.nodeName,
                record.nodeEpoch,
                record.availabilityZone,
                address.value(),
                std::max(1, record.slots) });
    ++view->m_endpointCount;
  }
  for (const auto& [name, route] : view->m_services) {
    if (route.m_prefix.empty()) {
      continue;
    }
    const std::string prefix(WithoutTrailingSlash(route.m_prefix));
    const auto [place, added] = view->m_prefixes.emplace(prefix, &route);
    if (!added) {
      return Error{ ErrorCode::InvalidArgument,
                    "build routing view",
                    kServices + "/" + name,
                    "route.prefix is already used by service " +
                      place->second->m_name };
    }
  }
  view->ReadRoutes();
  return std::shared_ptr<const View>(std::move(view));
}

void View::ReadRoutes()
{
  for (const std::string& name : m_tree.Children(settings::kRoutes)) {
    const std::string path = settings::JoinPath(settings::kRoutes, name);
    RequestRoute route;
    route.m_name = name;
    route.m_pathPrefix = m_tree.Text(path, "route.path");
    route.m_idempotent = m_tree.Boolean(path, "route.idempotent");
    route.m_maxAttempts =
      static_cast<int>(m_tree.Integer(path, "route.attempts"));
    route.m_priority = static_cast<int>(m_tree.Integer(path, "route.priority"));
    route.m_timeout = m_tree.Time(path, "route.timeout");
    route.m_objective = m_tree.Time(path, "route.objective");
    const auto shares =
      settings::ParseServiceWeights(m_tree.Text(path, "route.services"));
    for (const settings::WeightedService& share :
         shares.value_or(std::vector<settings::WeightedService>{})) {
      if (const ServiceRoute* service = Find(share.m_service)) {
        route.m_parts.push_back({ service, share.m_weight });
      }
    }
    if (!route.m_parts.empty()) {
      m_hosts[boost::to_lower_copy(m_tree.Text(path, "route.host"))].push_back(
        std::move(route));
    }
  }
  for (auto& [host, routes] : m_hosts) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const RequestRoute& aLeft, const RequestRoute& aRight) {
                       return aLeft.m_pathPrefix.size() >
                              aRight.m_pathPrefix.size();
                     });
  }
}

const RequestRoute* View::MatchHost(std::string_view aHost,
                                    std::string_view aTarget) const
{
  const std::string host =
    boost::to_lower_copy(std::string(aHost.substr(0, aHost.find(':'))));
  const auto found = m_hosts.find(host);
  if (found == m_hosts.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find_first_of("?#"));
  for (const RequestRoute& route : found->second) {
    if (boost::starts_with(path, route.m_pathPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

const ServiceRoute* View::Match(std::string_view aTarget) const
{
  std::string_view path = aTarget.substr(0, aTarget.find_first_of("?#"));
  for (path = WithoutTrailingSlash(path);;
       path = path.substr(0, path.rfind('/'))) {
    const auto found = m_prefixes.find(std::string(path));
    if (found != m_prefixes.end()) {
      return found->second;
    }
    if (path.empty() || path.rfind('/') == std::string_view::npos) {
      return nullptr;
    }
  }
}

const ServiceRoute* View::Find(const std::string& aService) const
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? nullptr : &found->second;
}

std::vector<ClientAccountLevel> View::ClientAccountChain(
  const std::string& aAccount) const
{
  std::vector<ClientAccountLevel> chain{ ReadClientAccount(m_tree,
                                                           kClientAccounts) };
  std::string_view rest = aAccount;
  const std::string root = kClientAccounts + "/";
  if (rest.substr(0, root.size()) == root) {
    rest.remove_prefix(root.size());
  }
  std::string path = kClientAccounts;
  while (!rest.empty()) {
    const size_t slash = rest.find('/');
    path += '/';
    path += rest.substr(0, slash);
    if (!m_tree.Has(path)) {
      break;
    }
    chain.push_back(ReadClientAccount(m_tree, path));
    rest = slash == std::string_view::npos ? "" : rest.substr(slash + 1);
  }
  return chain;
}

bool View::IsDrained(const std::string& aNodeName) const
{
  return m_tree.Boolean(kTargets + "/" + aNodeName, "target.drain");
}

} // namespace wigeonfold::routing
