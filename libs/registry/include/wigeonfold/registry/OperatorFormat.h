// Interface for the formats in which operator listeners reply.
#pragma once

#include "wigeonfold/base/Events.h"
#include "wigeonfold/registry/OperatorApi.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wigeonfold::registry {

// Handles reads and formats replies in the format of one operator listener.
// Implementations are thread safe.
class OperatorFormat
{
public:
  virtual ~OperatorFormat() = default;

  virtual ApiReply FormatAcceptResult(
    const wire::AcceptResult& aResult) const = 0;
  // For a change with an unknown outcome, or when there is no quorum.
  virtual ApiReply FormatUnknownOutcome(const std::string& aProblem) const = 0;
  virtual ApiReply HandleRead(const RegistryView& aRegistry,
                              const ClusterView& aCluster,
                              const std::string& aTarget) const = 0;
  // Nothing when this VM leads with a valid lease, otherwise a redirect to the
  // leader or an error.
  virtual std::optional<ApiReply> RedirectUnlessLeader(
    const ClusterView& aCluster,
    const std::string& aTarget) const = 0;
};

// The reply that aFormat returns. When it throws, logs HandlerFailed and
// returns status 500: what was decided stays decided, and the fault must not
// end the process, nor each later leader that answers the same change again.
ApiReply FormatOrProblem(EventLog& aLog,
                         const std::function<ApiReply()>& aFormat);

// The format of the project's own API (docs/OPERATIONS.md).
const OperatorFormat& NativeFormat();

// The leader's entry in aCluster.m_members; nullptr when the leader is unknown
// or not a member.
const wire::Member* FindLeader(const ClusterView& aCluster);

} // namespace wigeonfold::registry
