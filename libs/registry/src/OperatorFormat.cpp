#include "wigeonfold/registry/OperatorFormat.h"

namespace wigeonfold::registry {

namespace {

class Native : public OperatorFormat
{
public:
  ApiReply Accept(const wire::AcceptResult& aResult) const override
  {
    return FormatAccept(aResult);
  }
  ApiReply Unknown(const std::string& aProblem) const override
  {
    return FormatUnknown(aProblem);
  }
  ApiReply Read(const RegistryView& aRegistry,
                const ClusterView& aCluster,
                const std::string& aTarget) const override
  {
    return HandleRead(aRegistry, aCluster, aTarget);
  }
  std::optional<ApiReply> Redirect(const ClusterView& aCluster,
                                   const std::string& aTarget) const override
  {
    return RedirectUnlessLeader(aCluster, aTarget);
  }
};

} // namespace

const OperatorFormat& NativeFormat()
{
  static const Native format;
  return format;
}

const wire::Member* FindLeader(const ClusterView& aCluster)
{
  for (const MemberStatus& status : aCluster.m_members) {
    if (aCluster.m_leader && status.m_member.memberId == *aCluster.m_leader) {
      return &status.m_member;
    }
  }
  return nullptr;
}

} // namespace wigeonfold::registry
