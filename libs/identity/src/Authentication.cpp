#include "wigeonfold/identity/Authentication.h"

namespace wigeonfold::identity {

namespace {

// A node that lost its control VM has a new session within about a second.
constexpr std::chrono::seconds kRetryAfter{ 1 };

Decision Refuse(Reason aReason)
{
  return { Verdict::NoAccount, aReason, nullptr, {} };
}

Decision RefuseForNow(Reason aReason)
{
  return { Verdict::KeysUnknown, aReason, nullptr, kRetryAfter };
}

Decision AuthenticateKey(const Credentials& aCredentials,
                         const routing::ClientAccounts& aAccounts,
                         const ConfigurationLease& aLease,
                         TimePoint aNow)
{
  if (aCredentials.m_form == KeyForm::Missing) {
    return Refuse(Reason::KeyMissing);
  }
  if (aCredentials.m_form == KeyForm::Malformed) {
    return Refuse(Reason::KeyMalformed);
  }
  if (!aLease.MayServe(aNow)) {
    return RefuseForNow(Reason::LeaseExpired);
  }
  const routing::ClientAccount* account =
    aAccounts.FindByKey(aCredentials.m_key);
  if (account != nullptr) {
    return { Verdict::Run, Reason::Identified, account, {} };
  }
  return aLease.KnowsAllKeys(aNow) ? Refuse(Reason::KeyNotKnown)
                                   : RefuseForNow(Reason::Unconfirmed);
}

} // namespace

const char* ToString(Reason aReason)
{
  switch (aReason) {
    case Reason::NotRequired:
      return "not-required";
    case Reason::TargetCall:
      return "target-call";
    case Reason::ExemptRoute:
      return "exempt-route";
    case Reason::Identified:
      return "identified";
    case Reason::KeyMissing:
      return "key-missing";
    case Reason::KeyMalformed:
      return "key-malformed";
    case Reason::KeyNotKnown:
      return "key-not-known";
    case Reason::LeaseExpired:
      return "lease-expired";
    case Reason::Unconfirmed:
      return "unconfirmed";
  }
  return "";
}

Decision Authenticate(const RequestIdentity& aRequest,
                      const routing::ClientAccounts& aAccounts,
                      const ConfigurationLease& aLease,
                      TimePoint aNow)
{
  if (!aAccounts.RequireKeys()) {
    return {};
  }
  if (aRequest.m_isTargetCall) {
    return { Verdict::Run, Reason::TargetCall, nullptr, {} };
  }
  const Decision byKey =
    AuthenticateKey(aRequest.m_credentials, aAccounts, aLease, aNow);
  if (byKey.m_verdict != Verdict::Run && aRequest.m_isExempt) {
    return { Verdict::Run, Reason::ExemptRoute, nullptr, {} };
  }
  return byKey;
}

} // namespace wigeonfold::identity
