#include "wigeonfold/routing/View.h"

#include "RouteTable.h"

#include "wigeonfold/settings/Schema.h"

#include <algorithm>

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
  route.m_rollout = rollout::ReadServiceRollout(aTree, aName);
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

// Adds the targets that are ready. An announcement with an invalid address must
// not affect the other endpoints.
void AddEndpoints(const std::vector<wire::EndpointRecord>& aRecords,
                  ServiceRoute& aRoute)
{
  for (const wire::EndpointRecord& record : aRecords) {
    const auto address = ParseSocketAddress(record.nodeAddress);
    if (record.state != wire::EndpointState::Ready || !address) {
      continue;
    }
    aRoute.m_endpoints.push_back(Endpoint{ record.nodeName,
                                           record.nodeEpoch,
                                           record.availabilityZone,
                                           address.value(),
                                           std::max(1, record.slots),
                                           record.softwareVersion });
  }
}

// Whether the branch is the same object in both trees, or absent in both.
bool SharesBranch(const settings::Tree& aLeft,
                  const settings::Tree& aRight,
                  const std::string& aPath)
{
  const auto left = aLeft.Branches().find(aPath);
  const auto right = aRight.Branches().find(aPath);
  const bool absent = left == aLeft.Branches().end();
  if (absent || right == aRight.Branches().end()) {
    return absent && right == aRight.Branches().end();
  }
  return left->second == right->second;
}

} // namespace

EndpointsByService GroupByService(
  const std::vector<wire::EndpointRecord>& aRecords)
{
  std::map<std::string, std::vector<wire::EndpointRecord>> groups;
  for (const wire::EndpointRecord& record : aRecords) {
    groups[record.serviceName].push_back(record);
  }
  EndpointsByService endpoints;
  for (auto& [service, records] : groups) {
    endpoints[service] =
      std::make_shared<const std::vector<wire::EndpointRecord>>(
        std::move(records));
  }
  return endpoints;
}

Result<std::shared_ptr<const View>> View::Build(const settings::Tree& aTree,
                                                EndpointsByService aEndpoints,
                                                const View* aPrevious)
{
  auto view = std::make_shared<View>();
  view->m_tree = aTree;
  view->m_endpoints = std::move(aEndpoints);
  view->ReadServices(aPrevious);
  BOOST_OUTCOME_TRYV(view->IndexPrefixes());
  const bool sameTree =
    aPrevious != nullptr &&
    aPrevious->m_tree.TreeVersion() == aTree.TreeVersion() &&
    aPrevious->m_tree.Digest() == aTree.Digest();
  if (sameTree) {
    view->m_routes = aPrevious->m_routes;
    view->m_accounts = aPrevious->m_accounts;
  } else {
    view->m_accounts = std::make_shared<const ClientAccounts>(aTree);
    std::set<std::string> services;
    for (const auto& [name, route] : view->m_services) {
      services.insert(name);
    }
    view->m_routes = std::make_shared<const RouteTable>(
      aTree,
      std::move(services),
      aPrevious == nullptr ? nullptr : aPrevious->m_routes.get());
  }
  return std::shared_ptr<const View>(std::move(view));
}

// The service of the previous view if its settings and endpoints are the same,
// else null.
std::shared_ptr<const ServiceRoute> View::FindUnchanged(
  const View& aPrevious,
  const std::string& aName) const
{
  const auto known = aPrevious.m_services.find(aName);
  if (known == aPrevious.m_services.end() ||
      FindEndpoints(aName) != aPrevious.FindEndpoints(aName)) {
    return nullptr;
  }
  for (const std::string& path :
       { std::string(),
         kServices,
         settings::JoinPath(kServices, aName),
         settings::JoinPath(settings::kRollouts, aName) }) {
    if (!SharesBranch(m_tree, aPrevious.m_tree, path)) {
      return nullptr;
    }
  }
  return known->second;
}

std::shared_ptr<const std::vector<wire::EndpointRecord>> View::FindEndpoints(
  const std::string& aService) const
{
  const auto found = m_endpoints.find(aService);
  return found == m_endpoints.end() ? nullptr : found->second;
}

void View::ReadServices(const View* aPrevious)
{
  for (const std::string& name : m_tree.Children(kServices)) {
    std::shared_ptr<const ServiceRoute>& service = m_services[name];
    if (aPrevious != nullptr) {
      service = FindUnchanged(*aPrevious, name);
    }
    if (service) {
      ++m_sharedServices;
    } else {
      ServiceRoute route = ReadService(m_tree, name);
      if (const auto records = FindEndpoints(name)) {
        AddEndpoints(*records, route);
      }
      service = std::make_shared<const ServiceRoute>(std::move(route));
    }
    m_endpointCount += service->m_endpoints.size();
  }
}

Status View::IndexPrefixes()
{
  for (const auto& [name, route] : m_services) {
    if (route->m_prefix.empty()) {
      continue;
    }
    const std::string prefix(WithoutTrailingSlash(route->m_prefix));
    const auto [place, added] = m_prefixes.emplace(prefix, route.get());
    if (!added) {
      return Error{ ErrorCode::InvalidArgument,
                    "build routing view",
                    kServices + "/" + name,
                    "route.prefix is already used by service " +
                      place->second->m_name };
    }
  }
  return Ok();
}

size_t View::SharedRoutes() const
{
  return m_routes->SharedRoutes();
}

const RequestRoute* View::MatchHost(std::string_view aHost,
                                    std::string_view aTarget) const
{
  return m_routes->Match(aHost, aTarget);
}

int View::DefaultHedgePercent() const
{
  return m_routes->DefaultHedgePercent();
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
  return found == m_services.end() ? nullptr : found->second.get();
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
