// Guards against a request that ends one target after another, at any node, and
// against healthy requests that are taken for such a one.
#include "wigeonfold/discovery/CrashLedger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::discovery {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{ 100h };
constexpr uint64_t kDeadly = 7;
constexpr uint64_t kHealthy = 8;

// A deadly request that was beside others at two crashes and alone at the third
// one.
CrashLedger MakeConvicted(uint64_t aFingerprint, TimePoint aNow)
{
  CrashLedger ledger;
  ledger.AddCrash(aFingerprint, 1, false, aNow);
  ledger.AddCrash(aFingerprint, 2, false, aNow);
  ledger.AddCrash(aFingerprint, 3, true, aNow);
  return ledger;
}

TEST(CrashLedger, IsolatesAfterTwoCrashesAndQuarantinesAfterOneMoreAlone)
{
  CrashLedger ledger;
  EXPECT_EQ(ledger.Judge(kDeadly, kStart).m_verdict, CrashVerdict::Run);
  ledger.AddCrash(kDeadly, 1, true, kStart);
  EXPECT_EQ(ledger.Judge(kDeadly, kStart).m_verdict, CrashVerdict::Run);
  ledger.AddCrash(kDeadly, 2, false, kStart);
  EXPECT_EQ(ledger.Judge(kDeadly, kStart).m_verdict, CrashVerdict::Isolate);
  ledger.AddCrash(kDeadly, 3, false, kStart);
  EXPECT_EQ(ledger.Judge(kDeadly, kStart).m_verdict, CrashVerdict::Quarantine);
  EXPECT_EQ(ledger.Judge(kHealthy, kStart).m_verdict, CrashVerdict::Run);
}

// Each of the crashes may be the doing of another request that was under way.
TEST(CrashLedger, RequestBesideFourCrashesIsNotQuarantined)
{
  CrashLedger ledger;
  for (int64_t crash = 1; crash <= 4; ++crash) {
    ledger.AddCrash(kHealthy, crash, false, kStart);
    EXPECT_NE(ledger.Judge(kHealthy, kStart).m_verdict,
              CrashVerdict::Quarantine);
  }
  ledger.NoteCompleted(kHealthy, kStart + 1s);
  EXPECT_EQ(ledger.Judge(kHealthy, kStart + 1s).m_verdict, CrashVerdict::Run);
}

TEST(CrashLedger, OneCrashReportedTwiceCountsOnce)
{
  CrashLedger ledger;
  for (int i = 0; i < 4; ++i) {
    ledger.AddCrash(kHealthy, 1, true, kStart);
  }
  EXPECT_EQ(ledger.CrashesOf(kHealthy), 1U);
}

// All requests of a route are alike, and targets end for other reasons.
TEST(CrashLedger, RequestThatWasCompletedLatelyIsInnocent)
{
  CrashLedger ledger;
  ledger.NoteCompleted(kHealthy, kStart);
  for (int64_t crash = 1; crash <= 4; ++crash) {
    ledger.AddCrash(kHealthy, crash, true, kStart + 1s);
  }
  EXPECT_EQ(ledger.CrashesOf(kHealthy), 0U);
}

TEST(CrashLedger, CompletionAtAnotherNodeExonerates)
{
  CrashLedger crashed = MakeConvicted(kHealthy, kStart);
  CrashLedger completed;
  completed.NoteCompleted(kHealthy, kStart);
  completed.Merge(crashed.Since(0, kStart), kStart);
  EXPECT_EQ(completed.CrashesOf(kHealthy), 0U);
  crashed.Merge(completed.Since(0, kStart), kStart);
  EXPECT_EQ(crashed.Judge(kHealthy, kStart).m_verdict, CrashVerdict::Run);
  // An older copy does not bring the crashes back.
  crashed.Merge(MakeConvicted(kHealthy, kStart).Since(0, kStart), kStart);
  EXPECT_EQ(crashed.Judge(kHealthy, kStart).m_verdict, CrashVerdict::Run);
}

// A request that was deadly is tried again, alone, and after longer times if
// it still is.
TEST(CrashLedger, QuarantineEndsAndDoubles)
{
  CrashLedger ledger = MakeConvicted(kDeadly, kStart);
  EXPECT_EQ(ledger.Judge(kDeadly, kStart).m_left, CrashLedger::kQuarantine);
  TimePoint now = kStart + CrashLedger::kQuarantine;
  EXPECT_EQ(ledger.Judge(kDeadly, now).m_verdict, CrashVerdict::Isolate);
  ledger.AddCrash(kDeadly, 4, true, now);
  EXPECT_EQ(ledger.Judge(kDeadly, now).m_left, 2 * CrashLedger::kQuarantine);
  for (int64_t crash = 5; crash < 20; ++crash) {
    ledger.AddCrash(kDeadly, crash, true, now);
  }
  EXPECT_EQ(ledger.Judge(kDeadly, now).m_left, CrashLedger::kMaxQuarantine);
  now += CrashLedger::kMemory + 1ms;
  ledger.Tick(now);
  EXPECT_EQ(ledger.Size(), 0U);
}

// Otherwise the service has no target until the first one is back. The node
// may not know yet that targets have ended.
TEST(CrashLedger, LastTargetIsNotRiskedBeforeTheOthersMayBeBack)
{
  CrashLedger ledger;
  EXPECT_EQ(ledger.Judge(kDeadly, kStart).WaitFor(1), 0s);
  ledger.AddCrash(kDeadly, 1, false, kStart);
  ledger.AddCrash(kDeadly, 2, false, kStart);
  for (const size_t known : { 1, 2, 3 }) {
    EXPECT_EQ(ledger.Judge(kDeadly, kStart).WaitFor(known),
              CrashJudgement::kRestartTime);
  }
  EXPECT_EQ(ledger.Judge(kDeadly, kStart).WaitFor(4), 0s);
  EXPECT_EQ(ledger.Judge(kDeadly, kStart + 1s).WaitFor(2), 0s);
  EXPECT_EQ(ledger.Judge(kDeadly, kStart + 1s).WaitFor(1),
            CrashJudgement::kRestartTime - 1s);
  const TimePoint later = kStart + CrashJudgement::kRestartTime;
  EXPECT_EQ(ledger.Judge(kDeadly, later).WaitFor(1), 0s);
}

// Records that pass back and forth between nodes do not live longer.
TEST(CrashLedger, RelayedCrashesAreForgottenInTime)
{
  CrashLedger first = MakeConvicted(kDeadly, kStart);
  CrashLedger second;
  TimePoint now = kStart;
  while (now <= kStart + CrashLedger::kMemory + 10s) {
    second.Merge(first.Since(0, now), now + 1s);
    first.Merge(second.Since(0, now + 1s), now + 2s);
    now += 1min;
    first.Tick(now);
    second.Tick(now);
  }
  EXPECT_EQ(first.Size() + second.Size(), 0U);
}

TEST(CrashLedger, KeepsABoundedNumberOfRecordsAndTheConvictedOnes)
{
  CrashLedger ledger = MakeConvicted(kDeadly, kStart);
  for (uint64_t other = 100; other < 10'000; ++other) {
    ledger.AddCrash(other, static_cast<int64_t>(other), false, kStart + 1s);
  }
  EXPECT_EQ(ledger.Size(), CrashLedger::kMaxRecords);
  EXPECT_EQ(ledger.Judge(kDeadly, kStart).m_verdict, CrashVerdict::Quarantine);
  for (int64_t crash = 0; crash < 1000; ++crash) {
    ledger.AddCrash(kDeadly, crash, false, kStart);
  }
  EXPECT_LE(ledger.CrashesOf(kDeadly), CrashLedger::kMaxEvents);
}

TEST(CrashLedger, IgnoresImpossibleAges)
{
  wire::CrashRecord record;
  record.fingerprint = static_cast<int64_t>(kDeadly);
  for (const int64_t age : { INT64_MAX, INT64_MIN }) {
    wire::CrashEvent& event = record.events.emplace_back();
    event.id = age;
    event.ageMs = age;
  }
  CrashLedger ledger;
  ledger.Merge({ record }, kStart);
  EXPECT_EQ(ledger.CrashesOf(kDeadly), 1U); // at once
}

// Ledgers that exchange what has changed, in any order, come to agree and then
// have nothing more to tell.
RC_GTEST_PROP(CrashLedger, LedgersAgree, ())
{
  constexpr size_t kLedgers = 4;
  std::vector<CrashLedger> ledgers(kLedgers);
  std::map<std::pair<size_t, size_t>, uint64_t>
    sent; // revision by sender, receiver
  const auto exchange = [&](size_t aFrom, size_t aTo, TimePoint aNow) {
    uint64_t& revision = sent[{ aFrom, aTo }];
    ledgers[aTo].Merge(ledgers[aFrom].Since(revision, aNow), aNow);
    revision = ledgers[aFrom].Revision();
  };
  const auto pick = [](size_t aCount) {
    return *rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange<size_t>(0, aCount));
  };
  TimePoint now = kStart;
  const size_t steps = pick(60);
  for (size_t step = 0; step < steps; ++step) {
    now += 1ms;
    const size_t ledger = pick(kLedgers);
    const uint64_t fingerprint = pick(3);
    switch (pick(4)) {
      case 0:
        ledgers[ledger].AddCrash(
          fingerprint, static_cast<int64_t>(step), pick(2) == 0, now);
        break;
      case 1:
        ledgers[ledger].NoteCompleted(fingerprint, now);
        break;
      default:
        exchange(ledger, pick(kLedgers), now);
        break;
    }
  }
  for (size_t round = 0; round < kLedgers; ++round) {
    for (size_t from = 0; from < kLedgers; ++from) {
      for (size_t to = 0; to < kLedgers; ++to) {
        exchange(from, to, now);
      }
    }
  }
  for (size_t from = 0; from < kLedgers; ++from) {
    for (size_t to = 0; to < kLedgers; ++to) {
      RC_ASSERT(ledgers[from].Since(sent[{ from, to }], now).empty());
    }
    for (uint64_t fingerprint = 0; fingerprint < 3; ++fingerprint) {
      RC_ASSERT(ledgers[from].CrashesOf(fingerprint) ==
                ledgers[0].CrashesOf(fingerprint));
      RC_ASSERT(ledgers[from].Judge(fingerprint, now).m_verdict ==
                ledgers[0].Judge(fingerprint, now).m_verdict);
    }
  }
}

} // namespace
} // namespace wigeonfold::discovery
