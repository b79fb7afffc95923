#include "LinkService.h"

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <sstream>

namespace wigeonfold::net {

namespace asio = boost::asio;

boost::asio::execution_context::id LinkService::id;

Result<std::vector<LinkRule>> ParseLinkRules(const std::string& aText)
{
  std::vector<LinkRule> rules;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line.substr(0, line.find('#')));
    std::string state;
    std::string prefix;
    if (!(words >> state)) {
      continue;
    }
    const bool known = state == "refuse" || state == "silent";
    if (!known || !(words >> prefix)) {
      return Error{ ErrorCode::InvalidArgument,
                    "parse link rules",
                    "",
                    "'" + line +
                      "' is neither 'refuse PREFIX' nor 'silent PREFIX'" };
    }
    rules.push_back(
      { prefix, state == "refuse" ? LinkState::Refused : LinkState::Silent });
  }
  return rules;
}

LinkState LinkPolicy::StateOf(const std::string& aPeerHost) const
{
  const std::lock_guard lock(m_mutex);
  for (const LinkRule& rule : m_rules) {
    if (aPeerHost.rfind(rule.m_prefix, 0) == 0) {
      return rule.m_state;
    }
  }
  return LinkState::Up;
}

void LinkPolicy::SetRules(std::vector<LinkRule> aRules)
{
  const std::lock_guard lock(m_mutex);
  m_rules = std::move(aRules);
}

void InstallLinkPolicy(asio::io_context& aIo,
                       std::shared_ptr<const LinkPolicy> aPolicy)
{
  asio::use_service<LinkService>(aIo).m_policy = std::move(aPolicy);
}

void InstallLocalHost(asio::io_context& aIo, std::string aHost)
{
  asio::use_service<LinkService>(aIo).m_localHost = std::move(aHost);
}

namespace {

struct RulesFileWatch
{
  RulesFileWatch(asio::io_context& aIo,
                 std::string aFile,
                 Duration aPeriod,
                 std::shared_ptr<LinkPolicy> aPolicy)
    : m_timer(aIo)
    , m_file(std::move(aFile))
    , m_period(aPeriod)
    , m_policy(std::move(aPolicy))
  {
  }

  asio::steady_timer m_timer;
  std::string m_file;
  Duration m_period;
  std::shared_ptr<LinkPolicy> m_policy;
};

void ReadRules(const std::shared_ptr<RulesFileWatch>& aWatch)
{
  std::ifstream file(aWatch->m_file);
  if (file) {
    // An empty file means that every link is up. Read with iterators, because
    // operator<< of an empty stream buffer would set the fail bit.
    const std::string text(std::istreambuf_iterator<char>(file), {});
    auto rules = ParseLinkRules(text);
    if (rules) {
      aWatch->m_policy->SetRules(std::move(rules.value()));
    }
  }
  aWatch->m_timer.expires_after(aWatch->m_period);
  aWatch->m_timer.async_wait([aWatch](boost::system::error_code aCode) {
    if (!aCode) {
      ReadRules(aWatch);
    }
  });
}

} // namespace

void WatchLinkRules(asio::io_context& aIo,
                    std::string aFile,
                    Duration aPeriod,
                    std::shared_ptr<LinkPolicy> aPolicy)
{
  ReadRules(std::make_shared<RulesFileWatch>(
    aIo, std::move(aFile), aPeriod, std::move(aPolicy)));
}

LinkFaults ReadLinkFaults(SettingsFile& aFile, const std::string& aLocalHost)
{
  return { aFile.String("fault-injection", "link-rules", ""), aLocalHost };
}

void UseLinkFaults(asio::io_context& aIo, const LinkFaults& aFaults)
{
  if (aFaults.m_rulesFile.empty()) {
    return;
  }
  constexpr std::chrono::milliseconds kReadPeriod{ 50 };
  auto policy = std::make_shared<LinkPolicy>();
  InstallLinkPolicy(aIo, policy);
  InstallLocalHost(aIo, aFaults.m_localHost);
  WatchLinkRules(aIo, aFaults.m_rulesFile, kReadPeriod, std::move(policy));
}

} // namespace wigeonfold::net
