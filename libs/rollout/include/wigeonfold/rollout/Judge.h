// Compares a software version in trial with the other versions of its service.
#pragma once

#include "wigeonfold/rollout/Counts.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace wigeonfold::rollout {

// ---- Sequential probability ratio test -------------------------------------

// Wald's test of "the share of bad answers is p0" against "it is p1", one slot
// of time after another. Between its bounds it says nothing. The ratio does not
// fall below the floor, so that a version that turns bad late is found as soon
// as one that was bad from the start (Page, 1954).
//
// The outcomes within one slot are not independent: a target that ends takes
// all its requests with it. What one slot can say against a version is
// therefore bounded, and a rejection needs several slots. Deterministic; not
// thread safe.
class SequentialTest
{
public:
  // ln(1 / 0.001): a version like the others is rejected with a probability of
  // 0.1 %.
  static constexpr double kReject = 6.9;
  // ln(0.05): a version with a share of p1 is accepted with one of 5 %.
  static constexpr double kAccept = -3.0;
  static constexpr double kFloor = -4.6;

  // aSlotLimit bounds the growth in one slot.
  void Add(double aLogRatio, double aSlotLimit);
  // The value after a slot that is not complete.
  double With(double aLogRatio, double aSlotLimit) const;
  double Value() const { return m_value; }

  // Logarithm of the ratio for aBad of aAll answers.
  // Precondition: 0 < aP0 < aP1 < 1.
  static double LogRatio(double aBad, double aAll, double aP0, double aP1);

private:
  double m_value = 0;
};

// ---- Judge -----------------------------------------------------------------

enum class Verdict
{
  Undecided,
  Accepted,
  Rejected,
};

struct Judgement
{
  Verdict m_verdict = Verdict::Undecided;
  std::string m_reason; // with the figures that decided
};

// Judges one version in trial by its failures and its slow answers, on the
// service as a whole and on each route. It answers these loads and failures: a
// version that fails part of its requests, is several times slower, is bad on
// one route only or turns bad after some seconds.
//
// Both versions are compared in the same slots of time and on the same routes,
// so that a fault of everything (a partition, a burst, packet loss) is not
// blamed on the version. Slow means slower than three times the median of the
// others. While targets warm up they answer two times slower, which is what the
// version may do in that time; it is rejected if it is four times slower. Later
// it may be a quarter slower, as targets are uneven, and is rejected if two
// fifths of its answers are four times slower.
//
// Deterministic; not thread safe.
class Judge
{
public:
  static constexpr Duration kSlot = std::chrono::milliseconds(500);
  // Targets answer slower in the first 3 s; reports come up to 0.5 s later.
  static constexpr Duration kWarmUp = std::chrono::milliseconds(3500);
  // What may be left of it for targets that were there when this VM began to
  // lead, which is a second or more after the leader before it failed.
  static constexpr Duration kRestOfWarmUp = std::chrono::seconds(2);
  // Failures beyond those that the others have in proportion.
  static constexpr double kExcessFailures = 20;
  // Fewer answers of the version decide nothing.
  static constexpr int64_t kMinAnswers = 30;

  // The bound for which the limits of a slot are chosen: a bad version is found
  // in up to 3 s, and a step is in force everywhere a second or two later.
  static constexpr Duration kUsualBound = std::chrono::seconds(5);

  // aWarmUp is the time for which targets may be warming up after the first
  // answer of the version. aRollbackBound is the time in which a bad version
  // must be without requests; below kUsualBound one slot may say more against
  // the version, so that fewer are needed.
  explicit Judge(Duration aWarmUp = kWarmUp,
                 Duration aRollbackBound = kUsualBound);

  // Adds answers that a node reported at aNow, of the version in trial or of
  // another one. Times must not decrease in any of the calls.
  void Add(bool aInTrial,
           const std::string& aRoute,
           const Counts& aCounts,
           TimePoint aNow);
  // A target of the version in trial has started.
  void OnTargetStarted(TimePoint aNow);
  // From now on all requests go to the version, so it is compared with what the
  // others did until now.
  void BeginFull(TimePoint aNow);
  // The verdict on all answers until aNow.
  Judgement Evaluate(TimePoint aNow);

  // Time of the first answer of the version; nothing without one.
  std::optional<TimePoint> FirstInTrial() const { return m_firstInTrial; }
  // Time of the last answer of another version.
  std::optional<TimePoint> LastOfOthers() const { return m_lastOfOthers; }

private:
  struct Pair
  {
    Counts m_trial;
    Counts m_others;
  };
  using Slot = std::map<std::string, Pair>; // by route
  // Tests of one route, or of the service as a whole.
  struct Tests
  {
    SequentialTest m_failures;
    SequentialTest m_warmSlow;         // slow answers in the time of a warm-up
    SequentialTest m_slow;             // and later
    int64_t m_compared = 0;            // answers of the version
    std::deque<Counts> m_recentOthers; // of the last slots, the newest first
    Counts m_reference;                // of the others until BeginFull
  };
  // What one slot says: logarithms of the ratios of the tests, and the answers
  // that were compared.
  struct Evidence
  {
    double m_failures = 0;
    double m_slow = 0;
    int64_t m_compared = 0;
    double m_expectedFailures = 0;
  };

  void Advance(TimePoint aNow);
  void CloseSlot();
  Tests& TestsOf(const std::string& aRoute);
  Evidence Weigh(const Tests& aTests, const Pair& aPair, double aRate) const;
  double SlowRatio(const Tests& aTests, const Pair& aPair) const;
  void AddExcess(const Slot& aSlot, double aRate);
  // Tests as they would be if the open slot ended now.
  std::map<std::string, Tests> CurrentTests() const;
  void AddEvidence(Tests& aTests, const Evidence& aEvidence) const;
  bool IsWarmUp() const;
  std::optional<std::string> FindRejection(
    const std::map<std::string, Tests>& aTests) const;
  bool IsAccepted(const std::map<std::string, Tests>& aTests) const;
  bool PassesSlow(const Tests& aService) const;

  void ExtendWarmUp(TimePoint aUntil);

  Duration m_firstWarmUp;
  double m_limitFactor;                 // of the bounds on what a slot says
  std::map<std::string, Tests> m_tests; // by route; "" for the service
  Slot m_open;
  std::optional<TimePoint> m_slotEnd;
  std::optional<TimePoint> m_warmUntil;
  bool m_full = false;
  double m_excess = 0;
  double m_excessVariance = 0;
  int m_excessSlots = 0; // slots with failures that were not expected
  std::optional<TimePoint> m_firstInTrial;
  std::optional<TimePoint> m_lastOfOthers;
};

} // namespace wigeonfold::rollout
