// Client accounts of the settings tree, with the keys that identify them and
// the quotas that bound them.
#pragma once

#include "wigeonfold/settings/Tree.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wigeonfold::routing {

struct ClientAccount
{
  std::string m_path;            // of its branch, "offices/arita/shop"
  std::string m_name;            // the path without "offices/"
  std::optional<int> m_priority; // replaces the route's; 0 is the highest
  double m_rate = 0;  // requests per second over all nodes; 0: no limit
  double m_burst = 0; // requests beyond the rate at once
};

// Immutable; all methods are thread safe. Only branches below "offices" that
// set a key, a priority or a quota are listed.
class ClientAccounts
{
public:
  ClientAccounts() = default;
  explicit ClientAccounts(const settings::Tree& aTree);
  ClientAccounts(const ClientAccounts&) = delete;
  ClientAccounts& operator=(const ClientAccounts&) = delete;

  // Whether callers have to identify themselves by a key: some account has
  // account.keys, even an empty list.
  bool RequireKeys() const { return m_requireKeys; }
  // The account that holds the key, or nullptr.
  const ClientAccount* FindByKey(std::string_view aKey) const;
  // nullptr for a path that is not listed.
  const ClientAccount* Find(const std::string& aPath) const;
  // By path.
  const std::map<std::string, ClientAccount>& All() const { return m_accounts; }

private:
  std::map<std::string, ClientAccount> m_accounts;
  std::unordered_map<std::string, const ClientAccount*> m_byKey;
  bool m_requireKeys = false;
};

} // namespace wigeonfold::routing
