// Guards against targets that come back to life by a delayed report: an
// earlier start's, one that overtook another, or one after the target left.
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

TEST(TargetReports, IgnoresReorderedReportsOfOneStart)
{
  TargetReports reports;
  EXPECT_EQ(reports.Take(Report("a", 100, 2)), ReportVerdict::Applied);
  EXPECT_EQ(reports.Take(Report("a", 100, 1)), ReportVerdict::Late);
  EXPECT_EQ(reports.Take(Report("a", 100, 2)), ReportVerdict::Late);
  EXPECT_EQ(reports.Take(Report("a", 100, 3)), ReportVerdict::Applied);
}

TEST(TargetReports, KeepsADrainingStartDraining)
{
  TargetReports reports;
  reports.Take(Report("a", 100, 2, ReportedState::Draining));
  reports.Take(Report("a", 100, 3));
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Draining);
}

TEST(TargetReports, KeepsAGoneStartGoneUntilItStartsAnew)
{
  TargetReports reports;
  reports.Take(Report("a", 100, 2));
  EXPECT_EQ(reports.Take(Report("a", 0, 0, ReportedState::Gone)),
            ReportVerdict::Applied);
  EXPECT_EQ(reports.Take(Report("a", 100, 3)), ReportVerdict::Retired);
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Gone);
  EXPECT_EQ(reports.Take(Report("a", 200, 1)), ReportVerdict::Applied);
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Ready);
}

TEST(TargetReports, IgnoresAnEarlierStartOfAnotherInstance)
{
  TargetReports reports;
  reports.Take(Report("new", 200, 1));
  EXPECT_EQ(reports.Take(Report("old", 100, 9)), ReportVerdict::Late);
  EXPECT_EQ(reports.Take(Report("old", 100, 0, ReportedState::Gone)),
            ReportVerdict::Late);
  EXPECT_EQ(reports.Current()->m_instance, "new");
  EXPECT_EQ(reports.Current()->m_state, ReportedState::Ready);
}

TEST(TargetReports, ReplacesAStartByALaterOneForGood)
{
  TargetReports reports;
  reports.Take(Report("a", 0, 5));
  EXPECT_EQ(reports.Take(Report("b", 0, 1)), ReportVerdict::Applied);
  EXPECT_EQ(reports.Take(Report("a", 0, 6)), ReportVerdict::Retired);
  EXPECT_EQ(reports.Current()->m_instance, "b");
}

} // namespace
} // namespace wigeonfold::discovery
