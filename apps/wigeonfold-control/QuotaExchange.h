// Binds quota::FleetQuotas to the net thread.
#pragma once

#include "Messages.h"
#include "PeerLinks.h"

#include "wigeonfold/quota/FleetQuotas.h"

namespace wigeonfold::control {

// All methods run on the net thread.
class QuotaExchange
{
public:
  // aLog must outlive this object.
  QuotaExchange(int64_t aMemberId, int64_t aIncarnation, EventLog& aLog);

  quota::FleetQuotas& Quotas() { return m_quotas; }
  void SetTree(const settings::Tree& aTree, TimePoint aNow);
  void SetMembers(const wire::Membership& aMembership);
  // Sends what is due to the other control VMs. NodeSessions ticks the quotas.
  void Tick(PeerLinks& aPeers, TimePoint aNow);
  QuotaSummary Summary() const;

private:
  void LogChanges(TimePoint aNow);
  void LogShare();

  EventLog& m_log;
  quota::FleetQuotas m_quotas;
  TimePoint m_nextLog{};
  int m_loggedLines = 0; // since m_nextLog was set
  double m_loggedShare = 1;
};

} // namespace wigeonfold::control
