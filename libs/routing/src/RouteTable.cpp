#include "RouteTable.h"

#include "wigeonfold/settings/Schema.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>

namespace wigeonfold::routing {

namespace {

std::shared_ptr<const settings::Branch> FindBranch(const settings::Tree& aTree,
                                                   const std::string& aPath)
{
  const auto branch = aTree.Branches().find(aPath);
  return branch == aTree.Branches().end() ? nullptr : branch->second;
}

} // namespace

RouteTable::RouteTable(const settings::Tree& aTree,
                       std::set<std::string> aServices,
                       const RouteTable* aPrevious)
  : m_services(std::move(aServices))
  , m_root(FindBranch(aTree, ""))
  , m_parent(FindBranch(aTree, settings::kRoutes))
  , m_defaultHedgePercent(
      static_cast<int>(aTree.Integer(settings::kRoutes, "route.hedge-percent")))
{
  const bool mayShare = aPrevious != nullptr && aPrevious->m_root == m_root &&
                        aPrevious->m_parent == m_parent &&
                        aPrevious->m_services == m_services;
  std::vector<std::shared_ptr<const HostedRoute>> old;
  if (mayShare) {
    old = aPrevious->m_routes;
  }
  auto previous = old.begin();
  const std::string prefix = settings::JoinPath(settings::kRoutes, "");
  const auto& branches = aTree.Branches();
  for (auto branch = branches.lower_bound(prefix);
       branch != branches.end() && boost::starts_with(branch->first, prefix);
       ++branch) {
    while (previous != old.end() && (*previous)->m_path < branch->first) {
      ++previous;
    }
    const bool same = previous != old.end() &&
                      (*previous)->m_path == branch->first &&
                      (*previous)->m_branch == branch->second;
    m_shared += same ? 1 : 0;
    m_routes.push_back(
      same ? *previous
           : std::make_shared<const HostedRoute>(Read(aTree, branch->first)));
  }
  for (const auto& route : m_routes) {
    if (!route->m_route.m_parts.empty()) {
      m_hosts[route->m_host].push_back(&route->m_route);
    }
  }
  for (auto& [host, routes] : m_hosts) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const RequestRoute* aLeft, const RequestRoute* aRight) {
                       return aLeft->m_pathPrefix.size() >
                              aRight->m_pathPrefix.size();
                     });
  }
}

HostedRoute RouteTable::Read(const settings::Tree& aTree,
                             const std::string& aPath) const
{
  HostedRoute hosted;
  hosted.m_path = aPath;
  hosted.m_host = boost::to_lower_copy(aTree.Text(aPath, "route.host"));
  hosted.m_branch = aTree.Branches().at(aPath);
  RequestRoute& route = hosted.m_route;
  route.m_name = aPath.substr(aPath.find('/') + 1);
  route.m_pathPrefix = aTree.Text(aPath, "route.path");
  route.m_idempotent = aTree.Boolean(aPath, "route.idempotent");
  route.m_largeAnswers = aTree.Boolean(aPath, "route.large-answers");
  route.m_authExempt = aTree.Boolean(aPath, "route.auth-exempt");
  route.m_maxAttempts =
    static_cast<int>(aTree.Integer(aPath, "route.attempts"));
  route.m_priority = static_cast<int>(aTree.Integer(aPath, "route.priority"));
  route.m_hedgePercent =
    static_cast<int>(aTree.Integer(aPath, "route.hedge-percent"));
  route.m_timeout = aTree.Time(aPath, "route.timeout");
  route.m_objective = aTree.Time(aPath, "route.objective");
  const auto shares =
    settings::ParseServiceWeights(aTree.Text(aPath, "route.services"));
  for (const settings::WeightedService& share :
       shares.value_or(std::vector<settings::WeightedService>{})) {
    if (m_services.count(share.m_service) > 0) {
      route.m_parts.push_back({ share.m_service, share.m_weight });
    }
  }
  return hosted;
}

const RequestRoute* RouteTable::Match(std::string_view aHost,
                                      std::string_view aTarget) const
{
  const std::string host =
    boost::to_lower_copy(std::string(aHost.substr(0, aHost.find(':'))));
  const auto found = m_hosts.find(host);
  if (found == m_hosts.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find_first_of("?#"));
  for (const RequestRoute* route : found->second) {
    if (boost::starts_with(path, route->m_pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

} // namespace wigeonfold::routing
