// Fault injection for connections: simulates broken links between availability
// zones.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Time.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace wigeonfold::net {

enum class LinkState
{
  Up,
  Refused, // new connections fail at once, open ones are closed
  Silent,  // nothing arrives and open connections stay; new ones time out
};

// Applies to peers whose IP address starts with the prefix, such as "127.0.2.".
// Of several rules that match, the first one counts.
struct LinkRule
{
  std::string m_prefix;
  LinkState m_state = LinkState::Up;
};

// Parses lines "refuse PREFIX" and "silent PREFIX"; '#' starts a comment. Fails
// with InvalidArgument on any other line.
Result<std::vector<LinkRule>> ParseLinkRules(const std::string& aText);

// State of the links from this process to its peers. Thread safe.
class LinkPolicy
{
public:
  LinkState StateOf(const std::string& aPeerHost) const;
  void SetRules(std::vector<LinkRule> aRules);

private:
  mutable std::mutex m_mutex;
  std::vector<LinkRule> m_rules;
};

// Applies the policy to the connections of aIo. Without a policy, or with null,
// every link is up.
void InstallLinkPolicy(boost::asio::io_context& aIo,
                       std::shared_ptr<const LinkPolicy> aPolicy);

// Sets the source IP address of outgoing connections of aIo, which the link
// rules of the peers match. If empty, the operating system chooses it.
void InstallLocalHost(boost::asio::io_context& aIo, std::string aHost);

// Reads the rules from aFile now and then every aPeriod on aIo, so that tests
// can cut the links of a running process. While the file is absent or malformed
// the previous rules stay in force.
void WatchLinkRules(boost::asio::io_context& aIo,
                    std::string aFile,
                    Duration aPeriod,
                    std::shared_ptr<LinkPolicy> aPolicy);

// Faults to inject into the links of a process; none when the file is empty.
struct LinkFaults
{
  std::string m_rulesFile;
  std::string m_localHost; // source IP address of outgoing connections
};

// Reads the setting "link-rules = FILE" of section [fault-injection].
LinkFaults ReadLinkFaults(SettingsFile& aFile, const std::string& aLocalHost);

// Installs policy and local address on aIo and watches the file. Call before
// the first connection; without a file it does nothing.
void UseLinkFaults(boost::asio::io_context& aIo, const LinkFaults& aFaults);

} // namespace wigeonfold::net
