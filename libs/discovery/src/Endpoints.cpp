#include "wigeonfold/discovery/Endpoints.h"

#include <algorithm>
#include <tuple>

namespace wigeonfold::discovery {

namespace {

// The merge rule of Replaces() as a value to compare.
auto MergeOrder(const wire::EndpointRecord& aRecord)
{
  return std::make_tuple(aRecord.nodeEpoch,
                         aRecord.sequence,
                         aRecord.state == wire::EndpointState::Lost,
                         aRecord.owner);
}

bool ByNode(const wire::EndpointRecord& aLeft,
            const wire::EndpointRecord& aRight)
{
  return aLeft.nodeName < aRight.nodeName;
}

// Position of a node's record in a list sorted by node name, or the position at
// which to insert it.
template<class T>
auto Position(T& aList, const std::string& aNodeName)
{
  return std::lower_bound(
    aList.begin(),
    aList.end(),
    aNodeName,
    [](const wire::EndpointRecord& aRecord, const std::string& aName) {
      return aRecord.nodeName < aName;
    });
}

// Applies changes to copies of the affected services, one copy per service.
// Finish() stores the copies.
class Editor
{
public:
  using Services =
    std::map<std::string, std::shared_ptr<const ServiceEndpoints>>;

  explicit Editor(Services& aServices)
    : m_services(aServices)
  {
  }

  void Put(const wire::EndpointRecord& aRecord)
  {
    ServiceEndpoints& list = Edit(aRecord.serviceName);
    const auto it = Position(list, aRecord.nodeName);
    if (it != list.end() && it->nodeName == aRecord.nodeName) {
      *it = aRecord;
    } else {
      list.insert(it, aRecord);
    }
  }

  void Remove(const std::string& aService, const std::string& aNodeName)
  {
    ServiceEndpoints& list = Edit(aService);
    const auto it = Position(list, aNodeName);
    if (it != list.end() && it->nodeName == aNodeName) {
      list.erase(it);
    }
  }

  void Finish()
  {
    for (auto& [service, list] : m_edited) {
      if (list->empty()) {
        m_services.erase(service);
      } else {
        m_services[service] = std::move(list);
      }
    }
  }

private:
  ServiceEndpoints& Edit(const std::string& aService)
  {
    auto& list = m_edited[aService];
    if (!list) {
      const auto found = m_services.find(aService);
      list = found == m_services.end()
               ? std::make_shared<ServiceEndpoints>()
               : std::make_shared<ServiceEndpoints>(*found->second);
    }
    return *list;
  }

  Services& m_services;
  std::map<std::string, std::shared_ptr<ServiceEndpoints>> m_edited;
};

} // namespace

bool Replaces(const wire::EndpointRecord& aLeft,
              const wire::EndpointRecord& aRight)
{
  return MergeOrder(aLeft) > MergeOrder(aRight);
}

const ServiceEndpoints& Endpoints::ForService(const std::string& aService) const
{
  static const ServiceEndpoints kNone;
  const auto found = m_services.find(aService);
  return found == m_services.end() ? kNone : *found->second;
}

const wire::EndpointRecord* Endpoints::Find(const std::string& aNodeName) const
{
  const auto service = m_serviceOfNode->find(aNodeName);
  if (service == m_serviceOfNode->end()) {
    return nullptr;
  }
  const ServiceEndpoints& list = ForService(service->second);
  const auto it = Position(list, aNodeName);
  return it != list.end() && it->nodeName == aNodeName ? &*it : nullptr;
}

Endpoints Endpoints::WithFull(
  const std::vector<wire::EndpointRecord>& aRecords) const
{
  std::map<std::string, ServiceEndpoints> lists;
  auto index = std::make_shared<NodeIndex>();
  for (const wire::EndpointRecord& record : aRecords) {
    const wire::EndpointRecord* held = Find(record.nodeName);
    const auto& kept = held && Replaces(*held, record) ? *held : record;
    if (index->emplace(kept.nodeName, kept.serviceName).second) {
      lists[kept.serviceName].push_back(kept);
    }
  }
  Endpoints next;
  for (auto& [service, list] : lists) {
    std::sort(list.begin(), list.end(), ByNode);
    next.m_services[service] =
      std::make_shared<const ServiceEndpoints>(std::move(list));
  }
  next.m_serviceOfNode = std::move(index);
  return next;
}

Endpoints Endpoints::With(const wire::EndpointUpdate& aUpdate) const
{
  if (aUpdate.full) {
    return WithFull(aUpdate.records);
  }
  Endpoints next = *this;
  Editor editor(next.m_services);
  // The index is copied only when a node is added, removed or changes service.
  std::shared_ptr<NodeIndex> index;
  const auto editIndex = [this, &index]() -> NodeIndex& {
    if (!index) {
      index = std::make_shared<NodeIndex>(*m_serviceOfNode);
    }
    return *index;
  };
  for (const wire::EndpointRecord& record : aUpdate.records) {
    const wire::EndpointRecord* held = Find(record.nodeName);
    if (held && Replaces(*held, record)) {
      continue;
    }
    if (held && held->serviceName != record.serviceName) {
      editor.Remove(held->serviceName, record.nodeName);
    }
    editor.Put(record);
    if (!held || held->serviceName != record.serviceName) {
      editIndex()[record.nodeName] = record.serviceName;
    }
  }
  for (const std::string& node : aUpdate.removedNodes) {
    if (const wire::EndpointRecord* held = Find(node)) {
      editor.Remove(held->serviceName, node);
      editIndex().erase(node);
    }
  }
  editor.Finish();
  if (index) {
    next.m_serviceOfNode = std::move(index);
  }
  return next;
}

} // namespace wigeonfold::discovery
