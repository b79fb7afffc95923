// Guards against reports of another writer that replace the node's own target.
#include "TestNodes.h"

namespace wigeonfold::node {
namespace {

class ForeignReport : public TestNodes
{
protected:
  ForeignReport()
  {
    ServeAtPeer(
      [](int, const std::string&) { return Reaction{ CompleteAnswer("x") }; });
  }

  void Report(const Announcement& aReport)
  {
    RunOnIoThread([&] { m_nodes[1]->OnAnnouncement(aReport, 0); });
  }

  Announcement OwnReport() const
  {
    Announcement report;
    report.m_service = "lots";
    report.m_address = { "127.0.0.1", m_target->Port() };
    report.m_slots = 4;
    report.m_connections = 10;
    report.m_instance = "i";
    return report;
  }

  // The service beside the node, as its status names it.
  std::string Service()
  {
    std::string service;
    RunOnIoThread([&] { service = m_nodes[1]->Report(0).m_target.m_service; });
    return service;
  }
};

TEST_F(ForeignReport, OfAnUnknownServiceLeavesTheTargetInUse)
{
  for (const char* instance : { "i-odd", "i" }) {
    Announcement odd = OwnReport();
    odd.m_service = "warehouse";
    odd.m_instance = instance;
    odd.m_sequence = 7;
    odd.m_address = { "127.0.0.1", 1 };
    Report(odd);
    EXPECT_EQ(Service(), "lots") << instance;
    EXPECT_EQ(Call(0, Post("/lots")).m_body, "x") << instance;
  }
}

// Another writer's report may name a service that the configuration knows. The
// requests of the node's callers would name it as theirs, and the node's own
// target would get no request any more.
TEST_F(ForeignReport, OfAnotherKnownServiceLeavesTheTargetInUse)
{
  m_service = "lots";
  Restart(1);
  SetView({ EndpointOf(1) },
          { { "services/ledgers", "route.prefix", "/ledgers" } });
  Report(OwnReport());
  for (const char* instance : { "i-odd", "i" }) {
    Announcement odd = OwnReport();
    odd.m_service = "ledgers";
    odd.m_instance = instance;
    odd.m_startedAtMs = 5;
    odd.m_sequence = 7;
    odd.m_address = { "127.0.0.1", 1 };
    Report(odd);
    EXPECT_EQ(Service(), "lots") << instance;
    EXPECT_EQ(Call(0, Post("/lots")).m_body, "x") << instance;
  }
  Report(OwnReport());
  EXPECT_EQ(Call(0, Post("/lots")).m_body, "x");
}

// The configuration may name the service later than the target.
TEST_F(ForeignReport, OwnServiceNeedsNoConfiguration)
{
  m_service = "ledgers";
  Restart(1);
  SetView({ EndpointOf(1) });
  Announcement own = OwnReport();
  own.m_service = "ledgers";
  Report(own);
  EXPECT_EQ(Service(), "ledgers");
}

// A report of the same start with a great sequence number: later ones of the
// target look late, but show that it is there, and still say that it leaves.
TEST_F(ForeignReport, WithAGreatSequenceNumberDoesNotHideLaterReports)
{
  m_announceLease = 300ms;
  Restart(1);
  SetView({ EndpointOf(1) });
  Announcement report = OwnReport();
  report.m_sequence = INT64_MAX;
  Report(report);
  for (report.m_sequence = 1; report.m_sequence < 10; ++report.m_sequence) {
    Report(report);
    std::this_thread::sleep_for(50ms);
  }
  EXPECT_EQ(Call(0, Post("/lots")).m_body, "x");
  report.m_state = discovery::ReportedState::Draining;
  Report(report);
  ExpectOutcome(Call(0, Post("/lots")), 503, "not-run", "draining");
}

} // namespace
} // namespace wigeonfold::node
