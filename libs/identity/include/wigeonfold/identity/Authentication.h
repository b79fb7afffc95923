// Decides which client account a request belongs to and whether it may run.
#pragma once

#include "wigeonfold/identity/ConfigurationLease.h"
#include "wigeonfold/identity/Credentials.h"
#include "wigeonfold/routing/ClientAccounts.h"

#include <array>

namespace wigeonfold::identity {

enum class Verdict
{
  Run,
  NoAccount,   // the request has no valid key: 401
  KeysUnknown, // the node may not use the keys that it knows: 503
};

// What the verdict is based on. Stable texts, for logs and metrics.
enum class Reason
{
  NotRequired, // no account of the configuration has keys
  TargetCall,  // a call of a running request of the node's own target
  ExemptRoute,
  Identified,
  KeyMissing,
  KeyMalformed,
  KeyNotKnown,
  LeaseExpired, // with strict revocation: not confirmed as current in time
  Unconfirmed,  // the key is not known, and the configuration may be old
};

// All reasons, in the order of the enumeration.
inline constexpr std::array kReasons{
  Reason::NotRequired, Reason::TargetCall,   Reason::ExemptRoute,
  Reason::Identified,  Reason::KeyMissing,   Reason::KeyMalformed,
  Reason::KeyNotKnown, Reason::LeaseExpired, Reason::Unconfirmed,
};

const char* ToString(Reason aReason);

struct RequestIdentity
{
  Credentials m_credentials;
  bool m_isExempt = false;     // its route needs no key
  bool m_isTargetCall = false; // made by a running request of the own target
};

struct Decision
{
  Verdict m_verdict = Verdict::Run;
  Reason m_reason = Reason::NotRequired;
  // The account of the request's key; null if it is not identified. Lives as
  // long as the accounts.
  const routing::ClientAccount* m_account = nullptr;
  // After a verdict of KeysUnknown, time after which the caller may return.
  Duration m_retryAfter{};
};

// Answers revoked and unknown keys, and callers without one, before a request
// costs anything else. A missing or malformed key is refused whatever the age
// of the configuration is; a key that is not known only while the configuration
// is known to be current. An exempt request or one of the node's target is
// never refused. Thread safe.
Decision Authenticate(const RequestIdentity& aRequest,
                      const routing::ClientAccounts& aAccounts,
                      const ConfigurationLease& aLease,
                      TimePoint aNow);

} // namespace wigeonfold::identity
