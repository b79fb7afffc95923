#include "wigeonfold/rollout/Judge.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace wigeonfold::rollout {

namespace {

// Share of failures that even a good version may have.
constexpr double kLeastFailureRate = 0.01;
// A bad version fails this part of the answers that the others don't fail.
constexpr double kBadFailureShare = 0.25;
// Answers for which the failure rate of the whole service counts on a route.
constexpr double kPriorAnswers = 10;

constexpr double kLeastSlowRate = 0.03;
constexpr double kGreatestRate = 0.95;
constexpr double kSlowFactor = 3; // times the median
constexpr double kWarmUpFactor = 2;
constexpr double kUnevenFactor = 1.25;
constexpr double kBadFactor = 4;
constexpr double kBadSlowShare = 0.4;
// Least answers of the others from which a median is taken, and the greatest
// number of earlier slots to find them in.
constexpr int64_t kMinReference = 20;
constexpr size_t kRecentSlots = 8;

// Bounds on what one slot says. A target that ends loses some ten requests in
// at most two slots. In the full stage these are few among those of all
// targets, and a bad version has to be found sooner.
constexpr double kCanaryFailureLimit = 2.5;
constexpr double kFullFailureLimit = 4;
constexpr double kCanarySlowLimit = 2;
constexpr double kFullSlowLimit = 2.5;
constexpr double kMaxLimitFactor = 4;
constexpr int kMinExcessSlots = 3;
constexpr double kExcessDeviations = 3;

// Acceptance by slow answers needs more of them than by failures, so its bound
// is lower.
constexpr double kAcceptSlow = -2.3;
// A route whose test exceeds this keeps the version from being accepted.
constexpr double kSuspicious = 2.3;
// On a route with this many answers of the others the version must have shown
// some good ones.
constexpr int64_t kBusyRoute = 150;
constexpr double kAcceptBusyRoute = -1.5;

const char* const kService = ""; // key of the tests of the whole service

struct Bucket
{
  double m_lower = 0; // in ms
  double m_upper = 0;
};

Bucket BucketAt(size_t aIndex)
{
  const auto toMs = [](Duration aBound) {
    return std::chrono::duration<double, std::milli>(aBound).count();
  };
  Bucket bucket;
  bucket.m_lower =
    aIndex == 0 ? 0 : toMs(LatencyBuckets::UpperBound(aIndex - 1));
  bucket.m_upper = aIndex + 1 == LatencyBuckets::kCount
                     ? bucket.m_lower * 1.5
                     : toMs(LatencyBuckets::UpperBound(aIndex));
  return bucket;
}

// In ms; answers are taken to be spread evenly within a bucket.
double MedianOf(const Counts& aCounts)
{
  const double half = static_cast<double>(aCounts.Timed()) / 2;
  double before = 0;
  for (size_t i = 0; i < aCounts.m_buckets.size(); ++i) {
    const auto count = static_cast<double>(aCounts.m_buckets[i]);
    if (count > 0 && before + count >= half) {
      const Bucket bucket = BucketAt(i);
      return bucket.m_lower +
             (bucket.m_upper - bucket.m_lower) * (half - before) / count;
    }
    before += count;
  }
  return 0;
}

// Answers that took longer than aMs.
double SlowerThan(const Counts& aCounts, double aMs)
{
  double slower = 0;
  for (size_t i = 0; i < aCounts.m_buckets.size(); ++i) {
    const Bucket bucket = BucketAt(i);
    const double part =
      (bucket.m_upper - aMs) / (bucket.m_upper - bucket.m_lower);
    slower +=
      static_cast<double>(aCounts.m_buckets[i]) * std::clamp(part, 0.0, 1.0);
  }
  return slower;
}

double RateOf(const Counts& aCounts, double aPriorRate)
{
  return (static_cast<double>(aCounts.m_failures) +
          kPriorAnswers * aPriorRate) /
         (static_cast<double>(aCounts.m_answers) + kPriorAnswers);
}

std::string Describe(const char* aWhat,
                     const std::string& aRoute,
                     const SequentialTest& aTest,
                     int64_t aCompared)
{
  std::array<char, 160> text{};
  std::snprintf(text.data(),
                text.size(),
                "%s, log ratio %.1f after %lld answers, on ",
                aWhat,
                aTest.Value(),
                static_cast<long long>(aCompared));
  return text.data() +
         (aRoute.empty() ? std::string("all routes") : "route " + aRoute);
}

} // namespace

// ---- Sequential probability ratio test -------------------------------------

void SequentialTest::Add(double aLogRatio, double aSlotLimit)
{
  m_value = std::max(kFloor, m_value + std::min(aLogRatio, aSlotLimit));
}

double SequentialTest::LogRatio(double aBad,
                                double aAll,
                                double aP0,
                                double aP1)
{
  return aBad * std::log(aP1 / aP0) +
         (aAll - aBad) * std::log((1 - aP1) / (1 - aP0));
}

Judge::Judge(Duration aWarmUp, Duration aRollbackBound)
  : m_firstWarmUp(aWarmUp)
  , m_limitFactor(
      std::clamp(std::chrono::duration<double>(kUsualBound).count() /
                   std::chrono::duration<double>(aRollbackBound).count(),
                 1.0,
                 kMaxLimitFactor))
{
}

// ---- Input -----------------------------------------------------------------

void Judge::Add(bool aInTrial,
                const std::string& aRoute,
                const Counts& aCounts,
                TimePoint aNow)
{
  Advance(aNow);
  // The empty name is that of the whole service.
  Pair& pair = m_open[aRoute.empty() ? "-" : aRoute];
  if (aInTrial) {
    pair.m_trial += aCounts;
    if (!m_firstInTrial) {
      m_firstInTrial = aNow;
      ExtendWarmUp(aNow + m_firstWarmUp);
    }
  } else {
    pair.m_others += aCounts;
    m_lastOfOthers = aNow;
  }
}

void Judge::OnTargetStarted(TimePoint aNow)
{
  ExtendWarmUp(aNow + kWarmUp);
}

void Judge::ExtendWarmUp(TimePoint aUntil)
{
  m_warmUntil = std::max(m_warmUntil, std::optional(aUntil));
}

void Judge::BeginFull(TimePoint aNow)
{
  if (m_full) {
    return;
  }
  Advance(aNow);
  CloseSlot();
  m_full = true;
  // Targets that had no request until now may have to warm up.
  OnTargetStarted(aNow);
}

void Judge::Advance(TimePoint aNow)
{
  if (m_slotEnd && aNow < *m_slotEnd) {
    return;
  }
  CloseSlot();
  m_slotEnd = aNow + kSlot;
}

bool Judge::IsWarmUp() const
{
  return m_slotEnd && m_warmUntil && *m_slotEnd - kSlot < *m_warmUntil;
}

// ---- Evidence of a slot ----------------------------------------------------

Judge::Tests& Judge::TestsOf(const std::string& aRoute)
{
  return m_tests[aRoute];
}

Judge::Evidence Judge::Weigh(const Tests& aTests,
                             const Pair& aPair,
                             double aRate) const
{
  const Counts& trial = aPair.m_trial;
  const auto answers = static_cast<double>(trial.m_answers);
  const double expected =
    RateOf(m_full ? aTests.m_reference : aPair.m_others, aRate);
  const double p0 = std::clamp(expected, kLeastFailureRate, kGreatestRate);
  const double p1 = p0 + kBadFailureShare * (1 - p0);
  Evidence evidence;
  evidence.m_failures = SequentialTest::LogRatio(
    static_cast<double>(trial.m_failures), answers, p0, p1);
  evidence.m_slow = SlowRatio(aTests, aPair);
  evidence.m_compared = trial.m_answers;
  evidence.m_expectedFailures = answers * expected;
  return evidence;
}

double Judge::SlowRatio(const Tests& aTests, const Pair& aPair) const
{
  Counts others = m_full ? aTests.m_reference : aPair.m_others;
  for (const Counts& earlier : aTests.m_recentOthers) {
    if (m_full || others.Timed() >= kMinReference) {
      break;
    }
    others += earlier;
  }
  const auto timed = static_cast<double>(others.Timed());
  if (others.Timed() < kMinReference) {
    return 0;
  }
  const double median = MedianOf(others);
  const double bound = kSlowFactor * median;
  // Share of slow answers if all took aFactor times as long.
  const auto slowShare = [&](double aFactor) {
    return SlowerThan(others, bound / aFactor) / timed;
  };
  const double bad = slowShare(kBadFactor);
  const bool warm = IsWarmUp();
  const double good = slowShare(warm ? kWarmUpFactor : kUnevenFactor);
  const double p0 = std::clamp(good, kLeastSlowRate, kGreatestRate - 0.1);
  const double p1 =
    warm ? bad : (1 - kBadSlowShare) * good + kBadSlowShare * bad;
  return SequentialTest::LogRatio(SlowerThan(aPair.m_trial, bound),
                                  static_cast<double>(aPair.m_trial.Timed()),
                                  p0,
                                  std::clamp(p1, p0 + 0.05, kGreatestRate));
}

void Judge::AddEvidence(Tests& aTests, const Evidence& aEvidence) const
{
  const double failureLimit = m_full ? kFullFailureLimit : kCanaryFailureLimit;
  const double slowLimit = m_full ? kFullSlowLimit : kCanarySlowLimit;
  aTests.m_failures.Add(aEvidence.m_failures, m_limitFactor * failureLimit);
  SequentialTest& slow = IsWarmUp() ? aTests.m_warmSlow : aTests.m_slow;
  slow.Add(aEvidence.m_slow, m_limitFactor * slowLimit);
  aTests.m_compared += aEvidence.m_compared;
}

std::map<std::string, Judge::Tests> Judge::CurrentTests() const
{
  std::map<std::string, Tests> tests = m_tests;
  Pair whole;
  for (const auto& [route, pair] : m_open) {
    whole.m_trial += pair.m_trial;
    whole.m_others += pair.m_others;
  }
  // Without an answer of the others there is nothing to compare with.
  if (!m_full && whole.m_others.m_answers == 0) {
    return tests;
  }
  Tests& service = tests[kService];
  const double usual = RateOf(service.m_reference, 0);
  const double rate = m_full ? usual : RateOf(whole.m_others, usual);
  AddEvidence(service, Weigh(service, whole, usual));
  for (const auto& [route, pair] : m_open) {
    Tests& own = tests[route];
    AddEvidence(own, Weigh(own, pair, rate));
  }
  return tests;
}

void Judge::AddExcess(const Slot& aSlot, double aRate)
{
  double excess = 0;
  for (const auto& [route, pair] : aSlot) {
    const Evidence evidence = Weigh(TestsOf(route), pair, aRate);
    const double expected = evidence.m_expectedFailures;
    const auto answers = static_cast<double>(pair.m_trial.m_answers);
    excess += static_cast<double>(pair.m_trial.m_failures) - expected;
    if (answers > 0) {
      m_excessVariance += expected * (1 - expected / answers);
    }
  }
  m_excessSlots += excess >= 1 ? 1 : 0;
  m_excess = std::max(0.0, m_excess + excess);
}

void Judge::CloseSlot()
{
  if (m_open.empty()) {
    return;
  }
  Pair whole;
  for (const auto& [route, pair] : m_open) {
    whole.m_trial += pair.m_trial;
    whole.m_others += pair.m_others;
  }
  if (m_full || whole.m_others.m_answers > 0) {
    const double usual = RateOf(TestsOf(kService).m_reference, 0);
    AddExcess(m_open, m_full ? usual : RateOf(whole.m_others, usual));
  }
  m_tests = CurrentTests();
  m_open[kService] = whole;
  for (const auto& [route, pair] : m_open) {
    Tests& tests = TestsOf(route);
    if (!m_full) {
      tests.m_reference += pair.m_others;
    }
    tests.m_recentOthers.push_front(pair.m_others);
    if (tests.m_recentOthers.size() > kRecentSlots) {
      tests.m_recentOthers.pop_back();
    }
  }
  m_open.clear();
}

// ---- Verdict ---------------------------------------------------------------

std::optional<std::string> Judge::FindRejection(
  const std::map<std::string, Tests>& aTests) const
{
  struct Kind
  {
    const char* m_what;
    SequentialTest Tests::*m_test;
  };
  static constexpr std::array kKinds{
    Kind{ "more failures than the other versions", &Tests::m_failures },
    Kind{ "slower than while warming up", &Tests::m_warmSlow },
    Kind{ "slower than the other versions", &Tests::m_slow },
  };
  for (const auto& [route, tests] : aTests) {
    for (const Kind& kind : kKinds) {
      const SequentialTest& test = tests.*kind.m_test;
      if (test.Value() >= SequentialTest::kReject) {
        return Describe(kind.m_what, route, test, tests.m_compared);
      }
    }
  }
  const double bound =
    kExcessFailures + kExcessDeviations * std::sqrt(m_excessVariance);
  if (m_excess >= bound && m_excessSlots * m_limitFactor >= kMinExcessSlots) {
    return std::to_string(static_cast<int64_t>(m_excess)) +
           " failures beyond those of the other versions";
  }
  return std::nullopt;
}

bool Judge::PassesSlow(const Tests& aService) const
{
  // A leader that was elected in the full stage has nothing to compare with.
  const bool comparable =
    !m_full || aService.m_reference.Timed() >= kMinReference;
  return !comparable || aService.m_slow.Value() <= kAcceptSlow;
}

bool Judge::IsAccepted(const std::map<std::string, Tests>& aTests) const
{
  const auto service = aTests.find(kService);
  if (service == aTests.end() || service->second.m_compared < kMinAnswers ||
      service->second.m_failures.Value() > SequentialTest::kAccept ||
      !PassesSlow(service->second)) {
    return false;
  }
  return std::all_of(aTests.begin(), aTests.end(), [](const auto& aRoute) {
    const Tests& tests = aRoute.second;
    const bool busy = tests.m_reference.m_answers >= kBusyRoute;
    return tests.m_failures.Value() <=
             (busy ? kAcceptBusyRoute : kSuspicious) &&
           tests.m_slow.Value() <= kSuspicious &&
           tests.m_warmSlow.Value() <= kSuspicious;
  });
}

Judgement Judge::Evaluate(TimePoint aNow)
{
  Advance(aNow);
  const auto tests = CurrentTests();
  if (auto reason = FindRejection(tests)) {
    return { Verdict::Rejected, std::move(*reason) };
  }
  if (!IsAccepted(tests)) {
    return {};
  }
  const Tests& service = tests.at(kService);
  return { Verdict::Accepted,
           Describe("as good as the other versions",
                    kService,
                    service.m_failures,
                    service.m_compared) };
}

} // namespace wigeonfold::rollout
