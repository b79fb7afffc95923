#include "wigeonfold/forwarding/Outcome.h"

#include <algorithm>

namespace wigeonfold::forwarding {

namespace {

using wire::RunState;
using Result = routing::AttemptResult;

} // namespace

const std::vector<OutcomeInfo>& OutcomeTable()
{
  // clang-format off
  static const std::vector<OutcomeInfo> table{
    // outcome                        reason                  run state       status Retry-After retryable result
    { Outcome::Answered,             "answered",              RunState::Run,     0,   false, false, Result::Answered },
    { Outcome::AnsweredFailure,      "answered-failure",      RunState::Run,     0,   false, true,  Result::AnsweredFailure },
    { Outcome::Shed,                 "shed",                  RunState::NotRun,  503, false, true,  Result::Shed },
    { Outcome::NoConfiguration,      "no-configuration",      RunState::NotRun,  503, true,  true,  Result::Draining },
    { Outcome::Overloaded,           "node-overloaded",       RunState::NotRun,  503, true,  true,  Result::Refused },
    { Outcome::NoRoute,              "no-route",              RunState::NotRun,  404, false, false, Result::Refused },
    { Outcome::Malformed,            "malformed",             RunState::NotRun,  400, false, false, Result::Refused },
    { Outcome::BodyTooLarge,         "body-too-large",        RunState::NotRun,  413, false, false, Result::Refused },
    { Outcome::DepthExceeded,        "depth-exceeded",        RunState::NotRun,  508, false, false, Result::Refused },
    { Outcome::OverQuota,            "over-quota",            RunState::NotRun,  429, true,  false, Result::Refused },
    { Outcome::NoEndpoint,           "no-endpoint",           RunState::NotRun,  503, false, false, Result::Refused },
    { Outcome::Unauthenticated,      "unauthenticated",       RunState::NotRun,  401, false, false, Result::Refused },
    { Outcome::KeysNotCurrent,       "keys-not-current",      RunState::NotRun,  503, true,  false, Result::Refused },
    { Outcome::NoTarget,             "no-target",             RunState::NotRun,  503, false, true,  Result::Draining },
    { Outcome::QueueFull,            "queue-full",            RunState::NotRun,  503, true,  true,  Result::Refused },
    { Outcome::ClientAccountShare,   "office-share",          RunState::NotRun,  503, true,  true,  Result::Refused },
    { Outcome::QueueTimeout,         "queue-timeout",         RunState::NotRun,  503, true,  true,  Result::Refused },
    { Outcome::Displaced,            "displaced",             RunState::NotRun,  503, true,  true,  Result::Refused },
    { Outcome::TooLate,              "too-late",              RunState::NotRun,  503, true,  true,  Result::Refused },
    { Outcome::RateLimited,          "rate-limited",          RunState::NotRun,  503, true,  true,  Result::Refused },
    { Outcome::Draining,             "draining",              RunState::NotRun,  503, true,  true,  Result::Draining },
    { Outcome::IsolationBusy,        "isolation-busy",        RunState::NotRun,  503, true,  false, Result::Refused },
    { Outcome::HedgeRefused,         "hedge-refused",        RunState::NotRun,  503, true,  true,  Result::Refused },
    { Outcome::Quarantined,          "quarantined",           RunState::NotRun,  503, true,  false, Result::Refused },
    { Outcome::ExpiredBeforeWrite,   "expired-before-write",  RunState::NotRun,  504, false, false, Result::Refused },
    { Outcome::ExpiredAfterWrite,    "expired-after-write",   RunState::Unknown, 504, false, false, Result::Failed },
    { Outcome::PeerNotWritten,       "peer-not-written",      RunState::NotRun,  503, false, true,  Result::Failed },
    { Outcome::PeerLost,             "peer-lost",             RunState::Unknown, 502, false, true,  Result::Failed },
    { Outcome::TargetRefused,        "target-refused",        RunState::NotRun,  503, false, true,  Result::Failed },
    { Outcome::TargetLost,           "target-lost",           RunState::Unknown, 502, false, true,  Result::Failed },
    { Outcome::AnswerUnusable,       "answer-unusable",       RunState::Unknown, 502, false, true,  Result::Failed },
    { Outcome::CancelledBeforeWrite, "cancelled-before-write",RunState::NotRun,  503, false, false, Result::Refused },
    { Outcome::CancelledAfterWrite,  "cancelled-after-write", RunState::Unknown, 502, false, false, Result::Refused },
  };
  // clang-format on
  return table;
}

const OutcomeInfo& InfoOf(Outcome aOutcome)
{
  return OutcomeTable()[static_cast<size_t>(aOutcome)];
}

Outcome OutcomeFromPeer(RunState::type aRun, std::string_view aReason)
{
  if (aRun == RunState::Run) {
    return aReason == InfoOf(Outcome::AnsweredFailure).m_reason
             ? Outcome::AnsweredFailure
             : Outcome::Answered;
  }
  const auto& table = OutcomeTable();
  const auto row =
    std::find_if(table.begin(), table.end(), [&](const OutcomeInfo& aInfo) {
      return aInfo.m_reason == aReason && aInfo.m_runState == aRun;
    });
  if (row != table.end()) {
    return row->m_outcome;
  }
  return aRun == RunState::NotRun ? Outcome::TargetRefused
                                  : Outcome::TargetLost;
}

bool MayHaveReachedTarget(Outcome aOutcome)
{
  return InfoOf(aOutcome).m_runState != RunState::NotRun ||
         aOutcome == Outcome::Shed;
}

Outcome OutcomeOf(admission::RejectReason aReason)
{
  switch (aReason) {
    case admission::RejectReason::None:
    case admission::RejectReason::QueueFull:
      return Outcome::QueueFull;
    case admission::RejectReason::ClientAccountShare:
      return Outcome::ClientAccountShare;
    case admission::RejectReason::QueueTimeout:
      return Outcome::QueueTimeout;
    case admission::RejectReason::Expired:
      return Outcome::ExpiredBeforeWrite;
    case admission::RejectReason::Draining:
      return Outcome::Draining;
    case admission::RejectReason::Displaced:
      return Outcome::Displaced;
    case admission::RejectReason::TooLate:
      return Outcome::TooLate;
    case admission::RejectReason::RateLimited:
      return Outcome::RateLimited;
    case admission::RejectReason::Isolation:
      return Outcome::IsolationBusy;
    case admission::RejectReason::NoFreeSlot:
      return Outcome::HedgeRefused;
  }
  return Outcome::QueueFull;
}

const char* RunStateText(RunState::type aRun)
{
  switch (aRun) {
    case RunState::Run:
      return "run";
    case RunState::NotRun:
      return "not-run";
    case RunState::Unknown:
      break;
  }
  return "unknown";
}

} // namespace wigeonfold::forwarding
