#include "Combinations.h"

#include "wigeonfold/settings/Schema.h"

#include <boost/algorithm/string.hpp>
#include <boost/functional/hash.hpp>
#include <string_view>
#include <unordered_map>

namespace wigeonfold::settings {

namespace {

using BranchMap = std::map<std::string, std::shared_ptr<const Branch>>;

// Value that the branch itself sets, or null.
const std::string* FindValue(const Branch& aBranch, const std::string& aKey)
{
  const auto value = aBranch.m_settings.find(aKey);
  return value == aBranch.m_settings.end() ? nullptr : &value->second;
}

// Called for each branch below aParent.
template<class Visit>
void ForEachBelow(const BranchMap& aBranches,
                  const char* aParent,
                  const Visit& aVisit)
{
  const std::string prefix = JoinPath(aParent, "");
  for (auto it = aBranches.lower_bound(prefix);
       it != aBranches.end() && boost::starts_with(it->first, prefix);
       ++it) {
    aVisit(it->first, *it->second);
  }
}

// Checks the routes. Every change checks all of them, and there may be
// thousands, so texts are compared in place.
class RouteCheck
{
public:
  RouteCheck(const BranchMap& aBranches, std::vector<std::string>& aProblems)
    : m_branches(aBranches)
    , m_problems(aProblems)
  {
  }

  void Check(const std::string& aPath, const Branch& aBranch)
  {
    const std::string* host = FindValue(aBranch, "route.host");
    const std::string* services = FindValue(aBranch, "route.services");
    if (host == nullptr || host->empty() || services == nullptr ||
        services->empty()) {
      m_problems.push_back(aPath + ": needs route.host and route.services");
      return;
    }
    CheckServices(aPath, *services);
    // A route has its path on its own branch: the key can't be inherited.
    static const std::string kDefaultPath = FindKey("route.path")->m_default;
    const std::string* ownPath = FindValue(aBranch, "route.path");
    const std::string& prefix = ownPath == nullptr ? kDefaultPath : *ownPath;
    const auto [owner, added] =
      m_owners.emplace(Place(*host, prefix), std::string_view(aPath));
    if (!added) {
      m_problems.push_back(aPath + ": host '" + *host + "' and path '" +
                           prefix + "' are already used by " +
                           std::string(owner->second));
    }
  }

private:
  using Place = std::pair<std::string_view, std::string_view>; // host and path

  void CheckServices(const std::string& aPath, const std::string& aServices)
  {
    // Most routes name the services of the route before them.
    if (m_lastServices != nullptr && *m_lastServices == aServices) {
      return;
    }
    bool known = true;
    for (const WeightedService& service :
         ParseServiceWeights(aServices).value_or(
           std::vector<WeightedService>{})) {
      if (m_branches.count(JoinPath(kServices, service.m_service)) == 0) {
        known = false;
        m_problems.push_back(aPath +
                             ": route.services names the unknown service '" +
                             service.m_service + "'");
      }
    }
    m_lastServices = known ? &aServices : nullptr;
  }

  const BranchMap& m_branches;
  std::vector<std::string>& m_problems;
  const std::string* m_lastServices = nullptr; // all of them exist
  std::unordered_map<Place, std::string_view, boost::hash<Place>> m_owners;
};

// Two accounts with the same key could not be told apart. The message names the
// accounts, not the key.
void CheckAccountKeys(const BranchMap& aBranches,
                      std::vector<std::string>& aProblems)
{
  std::unordered_map<std::string, std::string> owners;
  ForEachBelow(aBranches,
               kClientAccounts,
               [&](const std::string& aPath, const Branch& aBranch) {
                 const std::string* keys = FindValue(aBranch, "account.keys");
                 if (keys == nullptr) {
                   return;
                 }
                 for (std::string& key : SplitList(*keys)) {
                   const auto [owner, added] =
                     owners.emplace(std::move(key), aPath);
                   if (!added) {
                     aProblems.push_back(
                       aPath + ": account.keys has a key that is already of " +
                       owner->second);
                   }
                 }
               });
}

} // namespace

void CheckCombinations(const Tree& aTree, std::vector<std::string>& aProblems)
{
  const BranchMap& branches = aTree.Branches();
  RouteCheck routes(branches, aProblems);
  ForEachBelow(
    branches, kRoutes, [&](const std::string& aPath, const Branch& aBranch) {
      routes.Check(aPath, aBranch);
    });
  std::map<std::string, std::string> owners; // of the services' prefixes
  ForEachBelow(
    branches, kServices, [&](const std::string& aPath, const Branch& aBranch) {
      const std::string* prefix = FindValue(aBranch, "route.prefix");
      if (prefix == nullptr) {
        return;
      }
      const auto [owner, added] = owners.emplace(*prefix, aPath);
      if (!added) {
        aProblems.push_back(aPath + ": route.prefix '" + *prefix +
                            "' is already used by " + owner->second);
      }
    });
  CheckAccountKeys(branches, aProblems);
  if (aTree.Bytes() > kMaxTreeBytes) {
    aProblems.push_back("the tree would have " + std::to_string(aTree.Bytes()) +
                        " bytes; the limit is " +
                        std::to_string(kMaxTreeBytes));
  }
  if (aTree.MemoryBytes() > kMaxTreeMemoryBytes) {
    aProblems.push_back(
      "the tree would take " + std::to_string(aTree.MemoryBytes()) +
      " bytes of memory; the limit is " + std::to_string(kMaxTreeMemoryBytes));
  }
}

} // namespace wigeonfold::settings
