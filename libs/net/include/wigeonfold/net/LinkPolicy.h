// Fault injection at the connection layer: cuts between availability zones.
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
  Refused, // connections fail and existing ones break
  Silent,  // nothing arrives and nothing fails, until the link is up again
};

// Applies to peers whose IP number starts with the prefix, such as "127.0.2.".
struct LinkRule
{
  std::string m_prefix;
  LinkState m_state = LinkState::Up;
};

// Lines "refuse PREFIX" and "silent PREFIX"; '#' starts a comment. Fails with
// InvalidArgument on anything else.
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

// Applies the policy to connections made later on aIo. Without a policy every
// link is up. aPolicy may be null.
void InstallLinkPolicy(boost::asio::io_context& aIo,
                       std::shared_ptr<const LinkPolicy> aPolicy);

// Outgoing connections of aIo come from this IP number, by which peers'
// policies know the sender. Empty leaves the choice to the system.
void InstallLocalHost(boost::asio::io_context& aIo, std::string aHost);

// Reads the rules from aFile every aPeriod on aIo, for tests of whole
// processes; a file that is absent or malformed leaves the rules as they are.
void WatchLinkRules(boost::asio::io_context& aIo,
                    std::string aFile,
                    Duration aPeriod,
                    std::shared_ptr<LinkPolicy> aPolicy);

// Faults to inject into the links of a process; none when the file is empty.
struct LinkFaults
{
  std::string m_rulesFile;
  std::string m_localHost; // address by which peers know this process
};

// [fault-injection] link-rules = FILE.
LinkFaults ReadLinkFaults(SettingsFile& aFile, const std::string& aLocalHost);

// Installs policy and local address on aIo and watches the file. Call before
// the first connection; without a file it does nothing.
void UseLinkFaults(boost::asio::io_context& aIo, const LinkFaults& aFaults);

} // namespace wigeonfold::net
