// Parses requests of the operators' HTTP/JSON API (docs/OPERATIONS.md) and
// formats its replies. Pure functions, without network or clock; thread safe.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/registry/Registry.h"
#include "wigeonfold/wire/gen/raft_types.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::registry {

// Parses "generation.number"; nullopt when aText has another form.
std::optional<Version> ParseVersion(const std::string& aText);

// ---- State of the cluster as one control VM sees it ------------------------

struct MemberStatus
{
  wire::Member m_member;
  // Time since the member was last confirmed as current; absent: unknown.
  std::optional<Duration> m_freshnessAge;
  // Every committed entry is synced to the member's disk. Only the leader knows
  // this; false in the view of other members.
  bool m_caughtUp = false;
};

// A node that has a session with this control VM.
struct NodeReport
{
  std::string m_name;
  std::string m_availabilityZone;
  std::optional<Version> m_inForce;
  std::optional<Version> m_refused; // newest version that the node refused
  std::string m_refusal;            // reason for refusing m_refused
  Duration m_reportAge{};           // time since the node's last report
};

struct ClusterView
{
  int64_t m_self = 0;
  std::optional<int64_t> m_leader;
  // This VM leads, its lease is valid and it has applied all committed entries.
  bool m_leaseHeld = false;
  int64_t m_term = 0;
  std::vector<MemberStatus> m_members;
  std::vector<NodeReport> m_nodes;
};

// ---- Replies ---------------------------------------------------------------

// An HTTP reply with a JSON body (Content-Type application/json).
struct ApiReply
{
  int m_status = 200;
  std::string m_body;
  std::string m_location; // Location header of a 307, otherwise empty
};

// Handles a GET request below /v1. aTarget is the HTTP request target: the path
// with its query. Replies 404 to an unknown path or branch and 400 to a
// malformed query. Every read but /v1/status needs the lease or the query
// stale=1; without either the reply is that of RedirectUnlessLeader.
ApiReply HandleRead(const RegistryView& aRegistry,
                    const ClusterView& aCluster,
                    const std::string& aTarget);

// Nothing when this VM may serve the request (m_leaseHeld). Otherwise 307 to
// the API address of the leader, or 503 when no other leader is known.
std::optional<ApiReply> RedirectUnlessLeader(const ClusterView& aCluster,
                                             const std::string& aTarget);

// A reply with the status and the body {"error": aProblem}.
ApiReply FormatProblem(int aStatus, const std::string& aProblem);
// 503: the outcome of a proposed change or membership step is not known. The
// client has to send the request again.
ApiReply FormatUnknownOutcome(const std::string& aProblem);

// ---- Changes ---------------------------------------------------------------

// Parses the body of POST /v1/accept. acceptedAtMs stays 0, the leader sets it.
// Fails with InvalidArgument; the detail lists all problems, one per line.
Result<wire::Change> ParseChange(const std::string& aBody);
// Inverse of ParseChange, for clients. Omits acceptedAtMs.
std::string FormatChange(const wire::Change& aChange);
// 200 accepted, 409 conflict or 422 invalid.
ApiReply FormatAcceptResult(const wire::AcceptResult& aResult);
// 422 with the problems of an error from ParseChange or ParseMemberRequest.
ApiReply FormatInvalidBody(const Error& aError);

// ---- Members ---------------------------------------------------------------

enum class MemberAction
{
  Add,     // as a learner
  Promote, // from learner to voter
  Remove,
  Replace, // a member by a new one, in several steps
};

struct MemberRequest
{
  MemberAction m_action = MemberAction::Add;
  // Promote, Remove, Replace: the existing member. Replace: 0 when that member
  // has been removed already.
  int64_t m_memberId = 0;
  wire::Member m_member; // Add, Replace: the new member; voter is ignored
};

// Parses the body of POST /v1/members. Fails as ParseChange does.
Result<MemberRequest> ParseMemberRequest(const std::string& aBody);

enum class PlanKind
{
  Propose, // propose m_next as the new membership
  Wait,    // the member to promote has not caught up yet
  Done,    // the membership is as requested
  Refused, // m_text gives the reason
};

struct MembershipPlan
{
  PlanKind m_kind = PlanKind::Done;
  wire::Membership m_next;
  bool m_isLastStep = false; // Propose: the request is done after this step
  std::string m_text;        // description of the step, for operators
};

// Plans the next step of a request; a step adds, promotes or removes one
// member. Requests are idempotent: the client repeats its request until the
// plan is Done. aCaughtUp holds the ids of the members that have every
// committed entry.
MembershipPlan PlanMembership(const wire::Membership& aCurrent,
                              const MemberRequest& aRequest,
                              const std::set<int64_t>& aCaughtUp);
// Inverse of ParseMemberRequest, for clients.
std::string FormatMemberRequest(const MemberRequest& aRequest);
// 200 done, 202 in progress (send the request again), 409 refused.
// Precondition for a Propose plan: the proposed membership is committed.
ApiReply FormatMembership(const MembershipPlan& aPlan);

} // namespace wigeonfold::registry
