#include "wigeonfold/routing/ClientAccounts.h"

#include "wigeonfold/settings/Schema.h"

#include <boost/algorithm/string.hpp>

namespace wigeonfold::routing {

namespace {

// The value that the branch itself sets; keys and quotas are not inherited.
const std::string* OwnValue(const settings::Branch& aBranch, const char* aKey)
{
  const auto value = aBranch.m_settings.find(aKey);
  return value == aBranch.m_settings.end() ? nullptr : &value->second;
}

double OwnDecimal(const settings::Branch& aBranch, const char* aKey)
{
  const std::string* value = OwnValue(aBranch, aKey);
  return value == nullptr ? 0 : settings::ParseDecimal(*value).value_or(0);
}

} // namespace

ClientAccounts::ClientAccounts(const settings::Tree& aTree)
{
  const std::string prefix = settings::JoinPath(settings::kClientAccounts, "");
  const auto& branches = aTree.Branches();
  for (auto it = branches.lower_bound(prefix);
       it != branches.end() && boost::starts_with(it->first, prefix);
       ++it) {
    const settings::Branch& branch = *it->second;
    const std::string* keys = OwnValue(branch, "account.keys");
    const std::string* priority = OwnValue(branch, "account.priority");
    ClientAccount account;
    account.m_path = it->first;
    account.m_name = it->first.substr(prefix.size());
    account.m_rate = OwnDecimal(branch, "quota.rate");
    account.m_burst = OwnDecimal(branch, "quota.burst");
    if (priority != nullptr) {
      account.m_priority =
        static_cast<int>(settings::ParseInteger(*priority).value_or(0));
    }
    if (keys == nullptr && priority == nullptr && account.m_rate == 0) {
      continue;
    }
    const ClientAccount& listed =
      m_accounts.emplace(it->first, std::move(account)).first->second;
    if (keys != nullptr) {
      m_requireKeys = true;
      for (std::string& key : settings::SplitList(*keys)) {
        m_byKey.emplace(std::move(key), &listed);
      }
    }
  }
}

const ClientAccount* ClientAccounts::FindByKey(std::string_view aKey) const
{
  const auto found = m_byKey.find(std::string(aKey));
  return found == m_byKey.end() ? nullptr : found->second;
}

const ClientAccount* ClientAccounts::Find(const std::string& aPath) const
{
  const auto found = m_accounts.find(aPath);
  return found == m_accounts.end() ? nullptr : &found->second;
}

} // namespace wigeonfold::routing
