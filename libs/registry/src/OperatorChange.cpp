// Parses and formats the bodies of the operators' API: changes, their results,
// errors and member requests.
#include "Json.h"

#include "wigeonfold/base/Settings.h"
#include "wigeonfold/base/Text.h"
#include "wigeonfold/registry/OperatorApi.h"
#include "wigeonfold/settings/Schema.h"
#include "wigeonfold/wire/Codec.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>

namespace wigeonfold::registry {

namespace {

constexpr size_t kMaxOperations = 10'000;
constexpr size_t kMaxPathBytes =
  settings::kMaxLevels * (settings::kMaxSegmentBytes + 1);
constexpr size_t kMaxKeyBytes = 64;
constexpr size_t kMaxAuthorBytes = 200;
constexpr size_t kMaxCommentBytes = 2000;

Error InvalidBody(const std::vector<std::string>& aProblems)
{
  return Error{
    ErrorCode::InvalidArgument, "parse body", "", boost::join(aProblems, "\n")
  };
}

bool IsChangeId(const std::string& aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return (aByte >= '0' && aByte <= '9') ||
                  (aByte >= 'a' && aByte <= 'z') ||
                  (aByte >= 'A' && aByte <= 'Z') || aByte == '-';
         });
}

wire::Operation ParseOperation(const Json& aJson,
                               const std::string& aName,
                               std::vector<std::string>& aProblems)
{
  wire::Operation operation;
  if (!aJson.is_object()) {
    aProblems.push_back(aName + ": not an object");
    return operation;
  }
  ObjectReader reader(aJson, aName + ".", aProblems);
  const std::string kind = reader.ReadString("op", kMaxKeyBytes, true);
  operation.path = reader.ReadString("path", kMaxPathBytes, true);
  if (kind == "set") {
    operation.kind = wire::OperationKind::Set;
    operation.key = reader.ReadString("key", kMaxKeyBytes, true);
    operation.value =
      reader.ReadString("value", settings::kMaxValueBytes, true);
  } else if (kind == "unset") {
    operation.kind = wire::OperationKind::Unset;
    operation.key = reader.ReadString("key", kMaxKeyBytes, true);
  } else if (kind == "remove") {
    operation.kind = wire::OperationKind::RemoveBranch;
  } else if (kind == "clear") {
    operation.kind = wire::OperationKind::ClearBranch;
  } else {
    reader.AddProblem("op", "not set, unset, remove or clear");
    return operation;
  }
  reader.ReportUnknownFields();
  return operation;
}

void ParseOperations(const Json* aField,
                     wire::Change& aChange,
                     std::vector<std::string>& aProblems)
{
  if (aField == nullptr || !aField->is_array()) {
    aProblems.emplace_back("operations: required, an array");
    return;
  }
  if (aField->empty() || aField->size() > kMaxOperations) {
    aProblems.push_back("operations: not 1 to " +
                        std::to_string(kMaxOperations) + " operations");
    return;
  }
  for (size_t i = 0; i < aField->size(); ++i) {
    aChange.operations.push_back(ParseOperation(
      (*aField)[i], "operations[" + std::to_string(i) + "]", aProblems));
  }
}

} // namespace

Result<wire::Change> ParseChange(const std::string& aBody)
{
  const auto json = ParseObject(aBody);
  if (!json) {
    return json.error();
  }
  std::vector<std::string> problems;
  ObjectReader reader(json.value(), "", problems);
  wire::Change change;
  change.changeId = reader.ReadString("changeId", kMaxChangeIdBytes, true);
  if (!IsChangeId(change.changeId)) {
    reader.AddProblem("changeId", "not 1 to 64 of A-Z a-z 0-9 -");
  }
  const auto base = ParseVersion(reader.ReadString("base", kMaxKeyBytes, true));
  if (!base) {
    reader.AddProblem("base", "not GENERATION.NUMBER");
  }
  change.base = wire::ToWire(base.value_or(Version{}));
  change.author = reader.ReadString("author", kMaxAuthorBytes, false);
  change.comment = reader.ReadString("comment", kMaxCommentBytes, false);
  ParseOperations(reader.Find("operations"), change, problems);
  reader.ReportUnknownFields();
  if (!problems.empty()) {
    return InvalidBody(problems);
  }
  return change;
}

std::string FormatChange(const wire::Change& aChange)
{
  Json operations = Json::array();
  for (const wire::Operation& operation : aChange.operations) {
    operations.push_back(OperationToJson(operation));
  }
  return DumpJson(Json{ { "changeId", aChange.changeId },
                        { "base", ToString(wire::FromWire(aChange.base)) },
                        { "operations", std::move(operations) },
                        { "author", aChange.author },
                        { "comment", aChange.comment } });
}

ApiReply FormatAcceptResult(const wire::AcceptResult& aResult)
{
  const std::string version = ToString(wire::FromWire(aResult.version));
  switch (aResult.outcome) {
    case wire::AcceptOutcome::Accepted:
      return { 200,
               DumpJson(
                 Json{ { "outcome", "accepted" }, { "version", version } }),
               "" };
    case wire::AcceptOutcome::Conflict:
      return { 409,
               DumpJson(Json{ { "outcome", "conflict" },
                              { "version", version },
                              { "changed", aResult.changedPaths },
                              { "changedCount", aResult.changedCount } }),
               "" };
    case wire::AcceptOutcome::Invalid:
      return { 422,
               DumpJson(Json{ { "outcome", "invalid" },
                              { "version", version },
                              { "problems", aResult.problems } }),
               "" };
  }
  return FormatProblem(500, "unknown outcome");
}

ApiReply FormatInvalidBody(const Error& aError)
{
  std::vector<std::string> problems;
  boost::split(
    problems, aError.m_detail, [](char aByte) { return aByte == '\n'; });
  return { 422,
           DumpJson(Json{ { "outcome", "invalid" }, { "problems", problems } }),
           "" };
}

// ---- Common replies --------------------------------------------------------

ApiReply FormatProblem(int aStatus, const std::string& aProblem)
{
  return { aStatus, DumpJson(Json{ { "error", aProblem } }), "" };
}

ApiReply FormatUnknownOutcome(const std::string& aProblem)
{
  return { 503,
           DumpJson(Json{ { "outcome", "unknown" }, { "error", aProblem } }),
           "" };
}

std::optional<ApiReply> RedirectUnlessLeader(const ClusterView& aCluster,
                                             const std::string& aTarget)
{
  if (aCluster.m_leaseHeld) {
    return std::nullopt;
  }
  const bool otherLeads =
    aCluster.m_leader && *aCluster.m_leader != aCluster.m_self;
  for (const MemberStatus& status : aCluster.m_members) {
    const wire::Member& member = status.m_member;
    if (otherLeads && member.memberId == *aCluster.m_leader &&
        !member.apiAddress.empty()) {
      ApiReply reply = FormatProblem(307, "the leader is " + member.name);
      reply.m_location = "http://" + member.apiAddress + aTarget;
      return reply;
    }
  }
  return FormatProblem(503, "no leader with a quorum is known");
}

// ---- Member requests -------------------------------------------------------

namespace {

constexpr size_t kMaxNameBytes = 64;

wire::Member ParseMember(const Json* aJson, std::vector<std::string>& aProblems)
{
  wire::Member member;
  if (aJson == nullptr || !aJson->is_object()) {
    aProblems.emplace_back("member: required, an object");
    return member;
  }
  ObjectReader reader(*aJson, "member.", aProblems);
  member.memberId = reader.ReadId("memberId");
  member.name = reader.ReadString("name", kMaxNameBytes, true);
  member.availabilityZone =
    reader.ReadString("availabilityZone", kMaxNameBytes, true);
  member.peerAddress = reader.ReadString("peerAddress", kMaxNameBytes, true);
  member.apiAddress = reader.ReadString("apiAddress", kMaxNameBytes, true);
  for (const auto& [field, address] :
       { std::pair{ "peerAddress", member.peerAddress },
         std::pair{ "apiAddress", member.apiAddress } }) {
    if (!address.empty() && !ParseSocketAddress(address)) {
      reader.AddProblem(field, "'" + address + "' is not IP:PORT");
    }
  }
  reader.ReportUnknownFields();
  return member;
}

} // namespace

Result<MemberRequest> ParseMemberRequest(const std::string& aBody)
{
  const auto json = ParseObject(aBody);
  if (!json) {
    return json.error();
  }
  std::vector<std::string> problems;
  ObjectReader reader(json.value(), "", problems);
  MemberRequest request;
  const std::string action = reader.ReadString("action", kMaxNameBytes, true);
  const bool add = action == "add";
  const bool replace = action == "replace";
  if (add || replace) {
    request.m_action = add ? MemberAction::Add : MemberAction::Replace;
    request.m_member = ParseMember(reader.Find("member"), problems);
  } else if (action == "promote") {
    request.m_action = MemberAction::Promote;
  } else if (action == "remove") {
    request.m_action = MemberAction::Remove;
  } else {
    reader.AddProblem("action", "not add, promote, remove or replace");
  }
  // A replace request without memberId resumes one whose old member has been
  // removed already.
  if (replace ? reader.Find("memberId") != nullptr : !add) {
    request.m_memberId = reader.ReadId("memberId");
  }
  if (replace && request.m_memberId == request.m_member.memberId) {
    reader.AddProblem("memberId", "equal to the id of the new member");
  }
  reader.ReportUnknownFields();
  if (!problems.empty()) {
    return InvalidBody(problems);
  }
  return request;
}

std::string FormatMemberRequest(const MemberRequest& aRequest)
{
  const wire::Member& member = aRequest.m_member;
  const Json added{ { "memberId", std::to_string(member.memberId) },
                    { "name", member.name },
                    { "availabilityZone", member.availabilityZone },
                    { "peerAddress", member.peerAddress },
                    { "apiAddress", member.apiAddress } };
  const std::string present = std::to_string(aRequest.m_memberId);
  switch (aRequest.m_action) {
    case MemberAction::Add:
      return DumpJson(Json{ { "action", "add" }, { "member", added } });
    case MemberAction::Promote:
      return DumpJson(Json{ { "action", "promote" }, { "memberId", present } });
    case MemberAction::Remove:
      return DumpJson(Json{ { "action", "remove" }, { "memberId", present } });
    case MemberAction::Replace: {
      Json replace{ { "action", "replace" }, { "member", added } };
      if (aRequest.m_memberId != 0) {
        replace["memberId"] = present;
      }
      return DumpJson(replace);
    }
  }
  return "{}";
}

} // namespace wigeonfold::registry
