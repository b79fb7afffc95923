// Guards against a load generator that adapts its send times to the answers
// instead of following its schedule, or that reports a fault as a success.
#include "Runner.h"
#include "Verify.h"

#include "wigeonfold/net/Echo.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::load {
namespace {

using namespace std::chrono_literals;

constexpr const char* kExperimentText = "[load]\n"
                                        "run = r\n"
                                        "seed = 3\n"
                                        "rate = 1000\n"
                                        "[callers]\n"
                                        "nodes = 127.0.0.1:1\n"
                                        "[phase 1]\n"
                                        "length = 10s\n"
                                        "[phase 2]\n"
                                        "length = 10s\n"
                                        "rate-percent = 200\n"
                                        "surge-office = offices/b\n"
                                        "surge-percent = 400\n"
                                        "[offices]\n"
                                        "offices/a = 3\n"
                                        "offices/b = 1\n"
                                        "[class browse]\n"
                                        "service = lots\n"
                                        "[class sign]\n"
                                        "service = lots\n"
                                        "method = POST\n";

Experiment Parse(const std::string& aText)
{
  SettingsFile file = SettingsFile::Parse("l.ini", aText);
  Experiment experiment = ReadExperiment(file);
  EXPECT_TRUE(file.Finish().empty());
  return experiment;
}

std::vector<Arrival> AllArrivals(const Experiment& aExperiment)
{
  Schedule schedule(aExperiment);
  std::vector<Arrival> all;
  while (const auto arrival = schedule.Next()) {
    all.push_back(*arrival);
  }
  return all;
}

// ---- Experiment and schedule -----------------------------------------------

TEST(ExperimentTest, ListsAllProblems)
{
  SettingsFile file = SettingsFile::Parse("l.ini",
                                          "[load]\n"
                                          "rate = 0\n"
                                          "[phase 1]\n"
                                          "surge-office = offices/x\n"
                                          "[class a]\n"
                                          "path = lots\n");
  ReadExperiment(file);
  const std::vector<std::string> expected{
    "l.ini:0: [class a] service: required",
    "l.ini:0: [callers] nodes: required without [direct]",
    "l.ini:0: [offices] share: no client account with a share above 0",
    "l.ini:2: [load] rate: '0' is not a whole number from 1 to 1000000",
    "l.ini:4: [phase 1] surge-office: not listed in [offices]",
    "l.ini:6: [class a] path: does not begin with /",
  };
  EXPECT_EQ(file.Finish(), expected);
}

TEST(ScheduleTest, DependsOnTheSeed)
{
  Experiment experiment = Parse(kExperimentText);
  const auto first = AllArrivals(experiment);
  EXPECT_EQ(first, AllArrivals(experiment));
  experiment.m_seed = 4;
  EXPECT_NE(first, AllArrivals(experiment));
}

TEST(ScheduleTest, FollowsPhasesAndShares)
{
  double phases[2] = {};
  double surge[2] = {};
  Duration last = Duration::zero();
  for (const Arrival& arrival : AllArrivals(Parse(kExperimentText))) {
    EXPECT_GE(arrival.m_at, last);
    EXPECT_EQ(arrival.m_phase, arrival.m_at < 10s ? 0U : 1U);
    last = arrival.m_at;
    phases[arrival.m_phase] += 1;
    surge[arrival.m_phase] += arrival.m_clientAccount == 1 ? 1 : 0;
  }
  // Ten seconds at a rate of 1000, then ten at 1000 * 2 * (3 + 4) / 4. The
  // tolerances are at least five standard deviations, which are 100 and 187
  // requests for the counts and below 0.005 for the shares.
  EXPECT_NEAR(phases[0], 10'000, 500);
  EXPECT_NEAR(phases[1], 35'000, 1'000);
  EXPECT_NEAR(surge[0] / phases[0], 0.25, 0.03);
  EXPECT_NEAR(surge[1] / phases[1], 4.0 / 7, 0.03);
}

// ---- Outcomes --------------------------------------------------------------

net::HttpRequest Request()
{
  return { "GET", "/lots/x", { { net::kRequestIdField, "r-0" } }, "" };
}

net::HttpOutcome Answer(int aStatus,
                        const std::string& aId,
                        const std::string& aRun)
{
  net::HttpResponse response{ aStatus,
                              { { net::kRequestIdField, aId },
                                { net::kRunField, aRun } },
                              net::EchoBody(aId, "", 64) };
  return { response, true, {} };
}

Outcome Classify(const net::HttpOutcome& aOutcome, bool aMayBreak = true)
{
  return ClassifyAttempt(Request(), aOutcome, aMayBreak).m_outcome;
}

TEST(ClassifyAttemptTest, DistinguishesOutcomes)
{
  EXPECT_EQ(Classify(Answer(200, "r-0", "run")), Outcome::Answered);
  EXPECT_EQ(Classify(Answer(200, "r-1", "run")), Outcome::Wrong);
  EXPECT_EQ(Classify(Answer(200, "r-0", "not-run")), Outcome::Wrong);
  EXPECT_EQ(Classify(Answer(503, "r-0", "not-run")), Outcome::NotRun);
  EXPECT_EQ(Classify(Answer(502, "r-0", "unknown")), Outcome::Unknown);
  EXPECT_EQ(Classify(Answer(500, "r-0", "run")), Outcome::Wrong);
  net::HttpOutcome cut = Answer(200, "r-0", "run");
  cut.m_response->m_body.pop_back();
  EXPECT_EQ(Classify(cut), Outcome::Wrong);
}

TEST(ClassifyAttemptTest, MissingAnswersAreLostUnlessTheNodeMayBreak)
{
  const Error broken{ ErrorCode::Unavailable, "read answer", "", "" };
  const Error timeout{ ErrorCode::Timeout, "read answer", "", "" };
  EXPECT_EQ(Classify({ std::nullopt, true, broken }), Outcome::Unknown);
  EXPECT_EQ(Classify({ std::nullopt, true, broken }, false), Outcome::Lost);
  EXPECT_EQ(Classify({ std::nullopt, true, timeout }), Outcome::Lost);
  EXPECT_EQ(Classify({ std::nullopt, false, broken }), Outcome::NotRun);
}

TEST(ClassifyAttemptTest, NotRunAfterAnUnknownAttemptCombinesToUnknown)
{
  EXPECT_EQ(CombineOutcomes(Outcome::Unknown, Outcome::NotRun),
            Outcome::Unknown);
  EXPECT_EQ(CombineOutcomes(Outcome::NotRun, Outcome::NotRun), Outcome::NotRun);
  EXPECT_EQ(CombineOutcomes(Outcome::Unknown, Outcome::Answered),
            Outcome::Answered);
}

// ---- Execution records ------------------------------------------------------

class VerifyTest : public testing::Test
{
protected:
  VerifyReport Check(const std::string& aLines)
  {
    Verifier verifier(m_experiment, m_entries);
    EXPECT_TRUE(verifier.AddRecord("test", aLines));
    return verifier.Report();
  }

  const Experiment m_experiment = Parse(kExperimentText);
  // Class 0 is idempotent, class 1 is not.
  const std::vector<RequestEntry> m_entries{ { Outcome::Answered, 0 },
                                             { Outcome::Answered, 1 },
                                             { Outcome::NotRun, 0 },
                                             { Outcome::Unknown, 1 } };
};

TEST_F(VerifyTest, ConsistentRecordsPass)
{
  const auto report = Check("{\"id\":\"r-0\",\"count\":2}\n"
                            "{\"id\":\"r-1\",\"count\":1}\n"
                            "{\"id\":\"r-1/i\",\"count\":1}\n"
                            "{\"id\":\"other-2\",\"count\":9}\n"
                            "{\"id\":\"r-3\",\"co");
  EXPECT_TRUE(report.IsClean());
  EXPECT_EQ(report.m_executions, 4U);
  EXPECT_EQ(report.m_answeredUnrecorded, 0U);
}

TEST_F(VerifyTest, ReportsEachKindOfFault)
{
  // r-1 has two lines, as when two targets executed it once each.
  const auto report = Check("{\"id\":\"r-1\",\"count\":1}\n"
                            "{\"id\":\"r-1\",\"count\":1}\n"
                            "{\"id\":\"r-3/i\",\"count\":2}\n"
                            "{\"id\":\"r-2\",\"count\":1}\n"
                            "{\"id\":\"r-4\",\"count\":1}\n");
  EXPECT_EQ(report.m_duplicateExecutions, 2U);
  EXPECT_EQ(report.m_falseNotRun, 1U);
  EXPECT_EQ(report.m_unknownIds, 1U);
  EXPECT_EQ(report.m_answeredUnrecorded, 1U);
}

TEST_F(VerifyTest, MalformedRecordIsAnError)
{
  Verifier verifier(m_experiment, m_entries);
  EXPECT_FALSE(verifier.AddRecord("test", "{\"id\":1}\n{}\n"));
}

// ---- Sending ---------------------------------------------------------------

// The first node closes each connection without an answer.
TEST(RunnerTest, RetriesOnlyIdempotentRequestsThroughAnotherNode)
{
  boost::asio::io_context io;
  std::unique_ptr<net::HttpServer> good;
  const auto answer =
    [](net::HttpRequest aRequest, net::HttpRespond aRespond, const auto&) {
      const std::string id =
        *net::FindField(aRequest.m_fields, net::kRequestIdField);
      aRespond({ 200,
                 { { net::kRequestIdField, id } },
                 net::EchoBody(id, aRequest.m_body, 64) });
    };
  // Limited to one connection, which the holder below occupies: each further
  // one is accepted and closed at once, as by a node that is killed.
  auto closingNode =
    net::ServeHttp(io, { "127.0.0.1", 0 }, answer, {}, { 1, 0ms });
  auto workingNode = net::ServeHttp(io, { "127.0.0.1", 0 }, answer);
  ASSERT_TRUE(closingNode && workingNode);
  const auto holder =
    net::MakeHttpPool(io, { "127.0.0.1", closingNode.value()->Port() }, 1);
  holder->Call({ "GET", "/", { { net::kRequestIdField, "h" } }, "" },
               10s,
               [](const net::HttpOutcome&) {});
  while (closingNode.value()->Connections() == 0) {
    io.run_one();
  }
  Experiment experiment = Parse(kExperimentText);
  experiment.m_phases.resize(1);
  experiment.m_phases[0].m_length = 200ms;
  experiment.m_nodes = { { "127.0.0.1", closingNode.value()->Port() },
                         { "127.0.0.1", workingNode.value()->Port() } };
  Runner runner(io, experiment, false);
  runner.Start([&io] { io.stop(); });
  io.run();
  size_t unknown = 0;
  for (const RequestEntry& entry : runner.Entries()) {
    const bool idempotent = experiment.m_classes[entry.m_class].m_idempotent;
    EXPECT_TRUE(entry.m_outcome == Outcome::Answered ||
                (entry.m_outcome == Outcome::Unknown && !idempotent))
      << ToString(entry.m_outcome);
    unknown += entry.m_outcome == Outcome::Unknown ? 1 : 0;
  }
  EXPECT_GT(unknown, 0U);
  EXPECT_EQ(runner.Outcomes().Total(), runner.Entries().size());
}

} // namespace
} // namespace wigeonfold::load
