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
// (nodeEpoch, sequence) wins; of two equal records the Lost one wins, then the
// one of the greater owner, so that all control VMs choose the same record.
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
  size_t Size() const { return m_serviceOfNode->size(); }

  // The set after an update. A full update replaces all records; a record that
  // is older than the one held for the same node is ignored in both cases.
  Endpoints With(const wire::EndpointUpdate& aUpdate) const;

private:
  Endpoints WithFull(const std::vector<wire::EndpointRecord>& aRecords) const;

  using NodeIndex = std::map<std::string, std::string>;

  std::map<std::string, std::shared_ptr<const ServiceEndpoints>> m_services;
  std::shared_ptr<const NodeIndex> m_serviceOfNode =
    std::make_shared<const NodeIndex>();
};

} // namespace wigeonfold::discovery
