// Immutable set of endpoints, grouped by service, as a node holds it.
#pragma once

#include "wigeonfold/wire/gen/control_types.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wigeonfold::discovery {

// Records of one service, ordered by node name.
using ServiceEndpoints = std::vector<wire::EndpointRecord>;

// True when aLeft replaces aRight under the merge rule: the greater
// (nodeEpoch, sequence) wins. Of two equal ones the Lost record wins, then the
// record with the greater owner, so that all control VMs choose the same one.
bool Replaces(const wire::EndpointRecord& aLeft,
              const wire::EndpointRecord& aRight);

// Copies are cheap: the records of a service are shared until they change.
// All methods are thread safe.
class Endpoints
{
public:
  const std::map<std::string, std::shared_ptr<const ServiceEndpoints>>&
  Services() const
  {
    return m_services;
  }

  // Empty when no endpoint serves aService.
  const ServiceEndpoints& ForService(const std::string& aService) const;
  // Nullptr when the node is unknown.
  const wire::EndpointRecord* Find(const std::string& aNodeName) const;
  // Number of endpoints of all services.
  size_t Size() const { return m_serviceOfNode->size(); }

  // Returns this set with an update applied. A full update also removes all
  // nodes that it doesn't name. A record older than the one held for the same
  // node (see Replaces) is ignored, in a full update too.
  Endpoints With(const wire::EndpointUpdate& aUpdate) const;

private:
  Endpoints WithFull(const std::vector<wire::EndpointRecord>& aRecords) const;

  using NodeIndex = std::map<std::string, std::string>;

  std::map<std::string, std::shared_ptr<const ServiceEndpoints>> m_services;
  // Service of each node, by node name.
  std::shared_ptr<const NodeIndex> m_serviceOfNode =
    std::make_shared<const NodeIndex>();
};

} // namespace wigeonfold::discovery
