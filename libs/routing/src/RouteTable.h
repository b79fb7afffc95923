// The routes of a routing view, by host.
#pragma once

#include "wigeonfold/routing/View.h"

#include <set>

namespace wigeonfold::routing {

// A route with what it was read from.
struct HostedRoute
{
  std::string m_path; // of its branch
  std::string m_host; // in lower case
  std::shared_ptr<const settings::Branch> m_branch;
  RequestRoute m_route;
};

// Immutable. Routes are read from their branches, which takes most of the time
// of building a view, so a table shares the routes that did not change with the
// table it replaces.
class RouteTable
{
public:
  // aPrevious may be null. aServices are the services that exist; a route omits
  // the others.
  RouteTable(const settings::Tree& aTree,
             std::set<std::string> aServices,
             const RouteTable* aPrevious);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // As View::MatchHost().
  const RequestRoute* Match(std::string_view aHost,
                            std::string_view aTarget) const;
  // As View::DefaultHedgePercent().
  int DefaultHedgePercent() const { return m_defaultHedgePercent; }
  // How many routes are shared with the previous table.
  size_t SharedRoutes() const { return m_shared; }

private:
  HostedRoute Read(const settings::Tree& aTree, const std::string& aPath) const;

  std::set<std::string> m_services;
  // Branches from which all routes inherit; null: absent.
  std::shared_ptr<const settings::Branch> m_root;
  std::shared_ptr<const settings::Branch> m_parent;
  int m_defaultHedgePercent;
  std::vector<std::shared_ptr<const HostedRoute>> m_routes; // ordered by path
  // By host; routes with longer prefixes come first. Keys and values point into
  // m_routes.
  std::unordered_map<std::string_view, std::vector<const RequestRoute*>>
    m_hosts;
  size_t m_shared = 0;
};

} // namespace wigeonfold::routing
