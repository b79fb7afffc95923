#include "wigeonfold/registry/OperatorFormat.h"

namespace wigeonfold::registry {

namespace {

class NativeOperatorFormat : public OperatorFormat
{
public:
  ApiReply FormatAcceptResult(const wire::AcceptResult& aResult) const override
  {
    return registry::FormatAcceptResult(aResult);
  }
  ApiReply FormatUnknownOutcome(const std::string& aProblem) const override
  {
    return registry::FormatUnknownOutcome(aProblem);
  }
  ApiReply HandleRead(const RegistryView& aRegistry,
                      const ClusterView& aCluster,
                      const std::string& aTarget) const override
  {
    return registry::HandleRead(aRegistry, aCluster, aTarget);
  }
  std::optional<ApiReply> RedirectUnlessLeader(
    const ClusterView& aCluster,
    const std::string& aTarget) const override
  {
    return registry::RedirectUnlessLeader(aCluster, aTarget);
  }
};

} // namespace

const OperatorFormat& NativeFormat()
{
  static const NativeOperatorFormat format;
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

ApiReply FormatOrProblem(EventLog& aLog,
                         const std::function<ApiReply()>& aFormat)
{
  try {
    return aFormat();
  } catch (const std::exception& error) {
    aLog.Record(EventId::HandlerFailed,
                { { "step", "write answer" }, { "error", error.what() } });
    return FormatProblem(500, "the answer can't be written");
  }
}

} // namespace wigeonfold::registry
