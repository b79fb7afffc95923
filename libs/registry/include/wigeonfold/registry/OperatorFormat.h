// How a listener for operators writes its answers.
#pragma once

#include "wigeonfold/registry/OperatorApi.h"

#include <memory>
#include <optional>
#include <string>

namespace wigeonfold::registry {

// Strategy; one for each listener. Thread safe.
class OperatorFormat
{
public:
  virtual ~OperatorFormat() = default;

  virtual ApiReply FormatAcceptResult(
    const wire::AcceptResult& aResult) const = 0;
  // The outcome of a change is not known, or there is no quorum.
  virtual ApiReply FormatUnknownOutcome(const std::string& aProblem) const = 0;
  virtual ApiReply HandleRead(const RegistryView& aRegistry,
                              const ClusterView& aCluster,
                              const std::string& aTarget) const = 0;
  // Nothing when this VM leads with a valid lease.
  virtual std::optional<ApiReply> RedirectUnlessLeader(
    const ClusterView& aCluster,
    const std::string& aTarget) const = 0;
};

// The project's own API, as docs/OPERATIONS.md describes it.
const OperatorFormat& NativeFormat();

// The leader as a member; nothing when it is unknown.
const wire::Member* FindLeader(const ClusterView& aCluster);

} // namespace wigeonfold::registry
