// Guards against delayed reports that change a target's state back: reports of
// an earlier start, out of order, or after the target has left.
#include "wigeonfold/discovery/TargetReport.h"

#include <gtest/gtest.h>

namespace wigeonfold::discovery {
namespace {

TargetReport Report(const std::string& aInstance,
                    int64_t aStartedAtMs,
                    int64_t aSequence,
                    ReportedState aState = ReportedState::Ready)
{
  TargetReport report;
  report.m_service = "lots";
  report.m_instance = aInstance;
  report.m_startedAtMs = aStartedAtMs;
  report.m_sequence = aSequence;
  report.m_state = aState;
  return report;
}

ReportResult Apply(TargetReportTracker& aReports, const TargetReport& aReport)
{
  const std::chrono::system_clock::time_point received{ std::chrono::seconds(
    1) };
  return aReports.Apply(aReport, received);
}

TEST(TargetReportTracker, IgnoresReorderedReportsOfOneStart)
{
  TargetReportTracker reports;
  EXPECT_EQ(Apply(reports, Report("a", 100, 2)), ReportResult::Applied);
  EXPECT_EQ(Apply(reports, Report("a", 100, 1)), ReportResult::Stale);
  EXPECT_EQ(Apply(reports, Report("a", 100, 2)), ReportResult::Stale);
  EXPECT_EQ(Apply(reports, Report("a", 100, 3)), ReportResult::Applied);
}

TEST(TargetReportTracker, KeepsADrainingStartDraining)
{
  TargetReportTracker reports;
  Apply(reports, Report("a", 100, 2, ReportedState::Draining));
  Apply(reports, Report("a", 100, 3));
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Draining);
}

// A target's answer said that it leaves before its heartbeat did.
TEST(TargetReportTracker, KeepsAStartDrainingThatIsKnownToLeave)
{
  TargetReportTracker reports;
  Apply(reports, Report("a", 100, 2));
  EXPECT_TRUE(reports.NoteLeaving({ "a", 100 }));
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Draining);
  EXPECT_FALSE(reports.NoteLeaving({ "a", 100 }));
  Apply(reports, Report("a", 100, 3));
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Draining);
  Apply(reports, Report("a", 200, 1));
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Ready);
}

// A restarted node hears from another node that the target leaves, and only
// then gets a late heartbeat of the target.
TEST(TargetReportTracker, RemembersThatAStartLeavesBeforeItsFirstReport)
{
  TargetReportTracker reports;
  EXPECT_FALSE(reports.NoteLeaving({ "a", 100 }));
  EXPECT_EQ(Apply(reports, Report("a", 100, 7)), ReportResult::Applied);
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Draining);
}

TEST(TargetReportTracker, NoteOnAnotherStartLeavesTheCurrentOneReady)
{
  TargetReportTracker reports;
  Apply(reports, Report("a", 100, 2));
  EXPECT_FALSE(reports.NoteLeaving({ "b", 300 }));
  EXPECT_FALSE(reports.NoteLeaving({ "a", 50 }));
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Ready);
}

// Another writer's heartbeat for the same target has a greater sequence number,
// or the draining one names no start: it is acknowledged all the same.
TEST(TargetReportTracker, AppliesADrainingReportInWhateverOrderItArrives)
{
  TargetReportTracker reports;
  Apply(reports, Report("a", 100, 900));
  EXPECT_EQ(Apply(reports, Report("a", 100, 3, ReportedState::Draining)),
            ReportResult::Applied);
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Draining);
  EXPECT_EQ(reports.Current()->m_sequence, 900);

  Apply(reports, Report("b", 200, 900));
  EXPECT_EQ(Apply(reports, Report("b", 0, 3, ReportedState::Draining)),
            ReportResult::Applied);
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Draining);

  Apply(reports, Report("c", 300, 1));
  EXPECT_EQ(Apply(reports, Report("c", 250, 2, ReportedState::Draining)),
            ReportResult::Stale);
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Ready);
}

// A restarted node hears first that the target is gone, without its start time,
// and then gets a late heartbeat of it.
TEST(TargetReportTracker, GoneReportWithoutAStartTimeCoversEarlierStarts)
{
  TargetReportTracker reports;
  EXPECT_EQ(Apply(reports, Report("a", 0, 0, ReportedState::Gone)),
            ReportResult::Stale);
  EXPECT_EQ(Apply(reports, Report("a", 100, 7)), ReportResult::Retired);
  EXPECT_FALSE(reports.Current());
  // Started after the report had been received.
  EXPECT_EQ(Apply(reports, Report("a", 1001, 1)), ReportResult::Applied);
}

TEST(TargetReportTracker, KeepsAGoneStartGoneUntilALaterStart)
{
  TargetReportTracker reports;
  Apply(reports, Report("a", 100, 2));
  EXPECT_EQ(Apply(reports, Report("a", 0, 0, ReportedState::Gone)),
            ReportResult::Applied);
  EXPECT_EQ(Apply(reports, Report("a", 100, 3)), ReportResult::Retired);
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Gone);
  EXPECT_EQ(Apply(reports, Report("a", 200, 1)), ReportResult::Applied);
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Ready);
}

TEST(TargetReportTracker, IgnoresAnEarlierStartOfAnotherInstance)
{
  TargetReportTracker reports;
  Apply(reports, Report("new", 200, 1));
  EXPECT_EQ(Apply(reports, Report("old", 100, 9)), ReportResult::Stale);
  EXPECT_EQ(Apply(reports, Report("old", 100, 0, ReportedState::Gone)),
            ReportResult::Stale);
  EXPECT_EQ(reports.Current()->m_instance, "new");
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Ready);
}

// Another writer's report with a start time that can't be one would make all
// reports of the target look like those of an earlier start.
TEST(TargetReportTracker, IgnoresAStartTimeFarAheadOfTheClock)
{
  TargetReportTracker reports;
  Apply(reports, Report("a", 100, 2));
  EXPECT_EQ(Apply(reports, Report("odd", INT64_MAX, 1)), ReportResult::Foreign);
  EXPECT_EQ(Apply(reports, Report("a", INT64_MAX, 1, ReportedState::Gone)),
            ReportResult::Foreign);
  EXPECT_EQ(Apply(reports, Report("a", 100, 3)), ReportResult::Applied);
  EXPECT_EQ(reports.Current()->m_instance, "a");
}

TEST(TargetReportTracker, RejectsReportsOfAReplacedStart)
{
  TargetReportTracker reports;
  Apply(reports, Report("a", 0, 5));
  EXPECT_EQ(Apply(reports, Report("b", 0, 1)), ReportResult::Applied);
  EXPECT_EQ(Apply(reports, Report("a", 0, 6)), ReportResult::Retired);
  EXPECT_EQ(reports.Current()->m_instance, "b");
}

// What the report stands for is stored before it is acknowledged, also when the
// restarted node has heard nothing of the target before.
TEST(TargetReportTracker, NamesTheStartThatAReportMakesLeave)
{
  TargetReportTracker reports;
  const auto startOf = [&reports](const TargetReport& aReport) {
    Apply(reports, aReport);
    return reports.LeavingStartOf(aReport);
  };
  using Start = std::optional<TargetStart>;
  EXPECT_EQ(startOf(Report("a", 100, 1)), std::nullopt);
  EXPECT_EQ(startOf(Report("a", 100, 2, ReportedState::Draining)),
            Start({ "a", 100 }));
  EXPECT_EQ(startOf(Report("a", 0, 0, ReportedState::Gone)),
            Start({ "a", 100 }));
  EXPECT_EQ(startOf(Report("a", 100, 0, ReportedState::Gone)),
            Start({ "a", 100 }));
  // Not the current instance: it covers all starts until its receipt.
  EXPECT_EQ(startOf(Report("b", 0, 0, ReportedState::Gone)),
            Start({ "b", 1000 }));
}

// A late report that arrives twice, or after a newer one, is no second report.
TEST(TargetReportTracker, CountsTheReportsOfAStartThatAreNewerThanTheOneBefore)
{
  TargetReportTracker reports;
  Apply(reports, Report("a", 100, 5));
  Apply(reports, Report("a", 100, 5));
  Apply(reports, Report("a", 100, 4));
  EXPECT_EQ(reports.CurrentReports(), 1U);
  Apply(reports, Report("a", 100, 6));
  EXPECT_EQ(reports.CurrentReports(), 2U);
  Apply(reports, Report("b", 200, 1));
  EXPECT_EQ(reports.CurrentReports(), 1U);
}

} // namespace
} // namespace wigeonfold::discovery
