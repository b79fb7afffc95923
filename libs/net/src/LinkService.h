// Holds the link policy and the local address of an io_context.
#pragma once

#include "wigeonfold/net/LinkPolicy.h"

#include <utility>

#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>

namespace wigeonfold::net {

// Not thread safe: set the members before the io_context runs, or on its
// thread.
class LinkService : public boost::asio::execution_context::service
{
public:
  using key_type = LinkService;                 // NOLINT: required by Asio
  static boost::asio::execution_context::id id; // NOLINT: required by Asio

  explicit LinkService(boost::asio::execution_context& aContext)
    : service(aContext)
  {
  }

  LinkState StateOf(const std::string& aPeerHost) const
  {
    return m_policy ? m_policy->StateOf(aPeerHost) : LinkState::Up;
  }

  std::shared_ptr<const LinkPolicy> m_policy;
  std::string m_localHost;

private:
  void shutdown() override {} // NOLINT: required by Asio
};

} // namespace wigeonfold::net
