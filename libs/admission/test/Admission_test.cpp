// Guards against requests that get no decision, run beyond the slots, or let
// one office starve the others.
#include "wigeonfold/admission/Admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace wigeonfold::admission {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{ 1h };

Request MakeRequest(uint64_t aId,
                    const std::string& aOffice,
                    int aDepth,
                    TimePoint aNow,
                    int aWeight = 100)
{
  return Request{ aId,
                  { { "offices", 100, 100 },
                    { "offices/" + aOffice, aWeight, 100 } },
                  aDepth,
                  aNow + 10s,
                  aNow };
}

// Serves a backlog of two offices on one slot and returns how many of the
// first aServed requests were of office "a".
int ServedOfFirst(std::unique_ptr<Queue> aQueue, int aServed)
{
  Admission admission(std::move(aQueue));
  admission.SetLimits({ 1, 1000, 1h }, kStart);
  std::vector<uint64_t> started;
  const auto note = [&started](const std::vector<Decision>& aDecisions) {
    for (const Decision& decision : aDecisions) {
      if (decision.m_start) {
        started.push_back(decision.m_id);
      }
    }
  };
  // Office "b" is there first with ten times the requests.
  for (uint64_t id = 1; id <= 100; ++id) {
    note(admission.Offer(MakeRequest(1000 + id, "b", 0, kStart), kStart));
  }
  for (uint64_t id = 1; id <= 10; ++id) {
    note(admission.Offer(MakeRequest(id, "a", 0, kStart), kStart));
  }
  TimePoint now = kStart;
  while (started.size() < static_cast<size_t>(aServed)) {
    now += 1ms;
    note(admission.Finished(started.back(), now));
  }
  return static_cast<int>(std::count_if(
    started.begin(), started.end(), [](uint64_t aId) { return aId < 1000; }));
}

TEST(AdmissionTest, SurgeOfOneOfficeDoesNotStarveAnother)
{
  EXPECT_GE(ServedOfFirst(MakeFairQueue(), 22), 10);
  // The baseline serves the surge first.
  EXPECT_EQ(ServedOfFirst(MakeFifoQueue(), 22), 0);
}

TEST(AdmissionTest, DeeperCallGoesFirst)
{
  Admission admission(MakeFairQueue());
  admission.SetLimits({ 1, 10, 1h }, kStart);
  admission.Offer(MakeRequest(1, "a", 0, kStart), kStart);
  admission.Offer(MakeRequest(2, "a", 0, kStart), kStart);
  admission.Offer(MakeRequest(3, "b", 2, kStart), kStart);
  const auto decisions = admission.Finished(1, kStart + 1ms);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].m_id, 3U);
}

TEST(AdmissionTest, FullQueueDisplacesTheOfficeWithMostWaiting)
{
  Admission admission(MakeFairQueue());
  admission.SetLimits({ 1, 4, 1h }, kStart);
  for (uint64_t id = 1; id <= 5; ++id) {
    admission.Offer(MakeRequest(id, "b", 0, kStart + id * 1ms),
                    kStart + id * 1ms);
  }
  const auto decisions =
    admission.Offer(MakeRequest(9, "a", 0, kStart + 9ms), kStart + 9ms);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].m_id, 5U);
  EXPECT_EQ(decisions[0].m_reason, RejectReason::Displaced);
  EXPECT_EQ(admission.Queued(), 4);
}

// Guards against an office that fills its parent's part of the queue and so
// keeps its siblings out.
TEST(AdmissionTest, FullPartOfTheParentDisplacesTheLongestSibling)
{
  const auto ofArita = [](uint64_t aId, const std::string& aName) {
    return Request{ aId,
                    { { "offices", 100, 100 },
                      { "offices/arita", 100, 50 },
                      { "offices/arita/" + aName, 100, 100 } },
                    0,
                    kStart + 10s,
                    kStart + aId * 1ms };
  };
  Admission admission(MakeFairQueue());
  admission.SetLimits({ 1, 8, 1h }, kStart);
  for (uint64_t id = 1; id <= 5; ++id) {
    admission.Offer(ofArita(id, "shop"), kStart + id * 1ms);
  }
  // Request 1 runs and four wait, which is the whole part of offices/arita.
  const auto own = admission.Offer(ofArita(6, "shop"), kStart + 6ms);
  ASSERT_EQ(own.size(), 1U);
  EXPECT_EQ(own[0].m_reason, RejectReason::OfficeShare);
  const auto sibling = admission.Offer(ofArita(7, "members"), kStart + 7ms);
  ASSERT_EQ(sibling.size(), 1U);
  EXPECT_EQ(sibling[0].m_id, 5U);
  EXPECT_EQ(sibling[0].m_reason, RejectReason::Displaced);
  EXPECT_EQ(admission.Queued(), 4);
}

TEST(AdmissionTest, ExpiredRequestNeverTakesASlot)
{
  Admission admission(MakeFairQueue());
  admission.SetLimits({ 1, 10, 1h }, kStart);
  admission.Offer(MakeRequest(1, "a", 0, kStart), kStart);
  Request shortLived = MakeRequest(2, "a", 0, kStart);
  shortLived.m_deadline = kStart + 1ms;
  admission.Offer(shortLived, kStart);
  const auto decisions = admission.Finished(1, kStart + 2ms);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_FALSE(decisions[0].m_start);
  EXPECT_EQ(decisions[0].m_reason, RejectReason::Expired);
  EXPECT_EQ(admission.Running(), 0);
}

TEST(AdmissionTest, DrainingRejectsWaitingAndNewButNotRunning)
{
  Admission admission(MakeFairQueue());
  admission.SetLimits({ 1, 10, 1h }, kStart);
  admission.Offer(MakeRequest(1, "a", 0, kStart), kStart);
  admission.Offer(MakeRequest(2, "a", 0, kStart), kStart);
  const auto decisions = admission.SetDraining(true, kStart);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].m_reason, RejectReason::Draining);
  const auto refused = admission.Offer(MakeRequest(3, "a", 0, kStart), kStart);
  EXPECT_EQ(refused.back().m_reason, RejectReason::Draining);
  EXPECT_EQ(admission.Running(), 1);
}

// Counts the decisions per request and the requests that run.
struct Ledger
{
  std::map<uint64_t, int> m_decisions;
  std::set<uint64_t> m_running;

  void Note(const std::vector<Decision>& aDecisions)
  {
    for (const Decision& decision : aDecisions) {
      ++m_decisions[decision.m_id];
      if (decision.m_start) {
        m_running.insert(decision.m_id);
      }
    }
  }
};

RC_GTEST_PROP(AdmissionProperty,
              EveryRequestEndsOnceAndSlotsAreKept,
              (const std::vector<uint8_t>& aSteps))
{
  Admission admission(
    MakeQueue(*rc::gen::element<std::string>("fair", "fifo")));
  const int slots = *rc::gen::inRange(1, 4);
  admission.SetLimits({ slots, 5, 20ms }, kStart);
  Ledger ledger;
  TimePoint now = kStart;
  uint64_t lastId = 0;
  for (const uint8_t step : aSteps) {
    now += std::chrono::milliseconds(step % 7);
    if (step % 3 == 0 && !ledger.m_running.empty()) {
      const uint64_t id = *ledger.m_running.begin();
      ledger.m_running.erase(id);
      ledger.Note(admission.Finished(id, now));
    } else if (step % 11 == 0) {
      ledger.Note(admission.Tick(now));
    } else {
      const std::string office(1, static_cast<char>('a' + step % 3));
      ledger.Note(admission.Offer(
        MakeRequest(++lastId, office, step % 2, now, 1 + step % 5), now));
    }
    RC_ASSERT(admission.Running() <= slots);
    RC_ASSERT(admission.Running() == static_cast<int>(ledger.m_running.size()));
    // A slot is never left free while a request waits.
    RC_ASSERT(admission.Queued() == 0 || admission.Running() == slots);
  }
  while (!ledger.m_running.empty()) {
    const uint64_t id = *ledger.m_running.begin();
    ledger.m_running.erase(id);
    ledger.Note(admission.Finished(id, now));
  }
  RC_ASSERT(ledger.m_decisions.size() == lastId);
  for (const auto& [id, count] : ledger.m_decisions) {
    RC_ASSERT(count == 1);
  }
}

} // namespace
} // namespace wigeonfold::admission
