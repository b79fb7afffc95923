// Which committed entries the group keeps after the loss of disks.
//
// A committed entry is synced on a majority of the V voters. After the loss of
// n disks the group keeps it and elects a leader only if a quorum is left, so
// that quorum and n more voters have to be alive when the entry is
// acknowledged. A voter that ended without notice is listed until it is
// replaced and must not count: only one that answered after the entry was
// appended does. Where no other VM can take its place the loss has happened
// already, and waiting for it would refuse changes as long as one VM is away.
#include "wigeonfold/consensus/Raft.h"

#include <utility>

namespace wigeonfold::consensus {

void Raft::SetVoterOutlook(TimePoint aNow, VoterOutlook aOutlook)
{
  AdvanceClock(aNow);
  m_outlook = std::move(aOutlook);
  UpdateSurvivingIndex();
}

// The last entry known to have been appended when the voter was alive. 0 until
// the voter has synced the current membership: with the loss of the others it
// could take an earlier one for the current one.
int64_t Raft::AnsweredIndex(MemberId aVoter) const
{
  const int64_t membershipIndex = m_memberships.back().m_index;
  const int64_t match = MatchIndex(aVoter).value_or(0);
  if (match < membershipIndex || m_outlook.m_stopping.count(aVoter) > 0) {
    return 0;
  }
  if (aVoter == m_self) {
    return m_log.Last().m_index;
  }
  const auto progress = m_progress.find(aVoter);
  return progress == m_progress.end()
           ? 0
           : std::max(match, progress->second.m_answeredIndex);
}

// Up to this index the loss of m_toleratedLosses disks leaves a quorum.
int64_t Raft::IndexOnEnoughVoters() const
{
  const wire::Membership& membership = CurrentMembership();
  const size_t losses = m_settings.m_toleratedLosses;
  const size_t needed =
    std::max(QuorumSize(membership),
             QuorumSizeAfterLoss(VoterCount(membership), losses) + losses);
  std::vector<int64_t> answered;
  for (const wire::Member& member : membership.members) {
    if (member.voter) {
      answered.push_back(AnsweredIndex(member.memberId));
    }
  }
  if (answered.size() < needed) {
    return 0;
  }
  std::sort(answered.rbegin(), answered.rend());
  return answered[needed - 1];
}

void Raft::UpdateSurvivingIndex()
{
  if (m_role != Role::Leader) {
    return;
  }
  const int64_t commit = m_hardState.m_commit;
  const bool awaitsVoters =
    m_settings.m_toleratedLosses > 0 && m_outlook.m_hasReplacement;
  int64_t surviving = awaitsVoters ? IndexOnEnoughVoters() : commit;
  if (surviving >= m_survivalAwaited) {
    m_survivalAwaited = commit;
    m_survivalAwaitedSince = m_now;
  } else if (m_now - m_survivalAwaitedSince >= m_settings.m_maxSurvivalWait) {
    surviving = commit;
  }
  m_survivingIndex = std::max(m_survivingIndex, std::min(surviving, commit));
}

} // namespace wigeonfold::consensus
