// Runs the scripts *.scenario of this folder in virtual time. The first line of
// each names the failure that it guards against. README.md in this folder
// describes the language.
#include "World.h"

#include "wigeonfold/wire/Codec.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace wigeonfold::scenario {
namespace {

using Words = std::vector<std::string>;

Words Split(const std::string& aLine)
{
  std::istringstream stream(aLine.substr(0, aLine.find('#')));
  Words words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

// Parses a number of milliseconds or seconds, such as "250ms" or "3s".
Duration ParseTime(const std::string& aText)
{
  const bool milliseconds = aText.find("ms") != std::string::npos;
  const auto count = std::chrono::milliseconds(std::stoll(aText));
  return milliseconds ? count : count * 1000;
}

// ---- Script ----------------------------------------------------------------

// Interprets one script. kCommands maps each command to a member function,
// which returns what is wrong with the line, or "".
class Script
{
public:
  // Runs the lines up to the first that fails. Returns its number, its text and
  // what is wrong, or "" if the scenario passes.
  std::string Run(std::istream& aText)
  {
    int number = 0;
    for (std::string line; std::getline(aText, line);) {
      ++number;
      m_words = Split(line);
      if (m_words.empty()) {
        continue;
      }
      ReplaceLeaderNames();
      const std::string problem = RunCommand();
      if (!problem.empty()) {
        return "line " + std::to_string(number) + ": " + line + ": " + problem;
      }
      if (!m_world.Violations().empty()) {
        return "line " + std::to_string(number) + ": " + line +
               ": invariant violated: " + m_world.Violations().front();
      }
    }
    return m_expectations > 0 ? "" : "the script has no expect command";
  }

private:
  struct CommandEntry
  {
    const char* m_name;
    size_t m_minWords; // the command's name included
    std::string (Script::*m_run)();
  };
  static const std::vector<CommandEntry> kCommands;

  // Replaces "leader" by the lease holder's name and "old-leader" by the name
  // that replaced "leader" last. The words of expect stay as they are.
  void ReplaceLeaderNames()
  {
    for (size_t i = 1; i < m_words.size() && m_words[0] != "expect"; ++i) {
      if (m_words[i] == "leader") {
        const ControlVm* holder = m_world.LeaseHolder();
        m_oldLeader = holder == nullptr ? "" : holder->m_name;
        m_words[i] = m_oldLeader;
      } else if (m_words[i] == "old-leader") {
        m_words[i] = m_oldLeader;
      }
    }
  }

  std::string RunCommand()
  {
    for (const CommandEntry& command : kCommands) {
      if (m_words[0] == command.m_name) {
        return m_words.size() < command.m_minWords ? "too few words"
                                                   : (this->*command.m_run)();
      }
    }
    return "unknown command";
  }

  Words Arguments() const { return { m_words.begin() + 1, m_words.end() }; }

  // ---- Fleet and faults ----

  std::string Control()
  {
    m_world.AddControls(Arguments());
    return "";
  }
  std::string AddNode()
  {
    m_world.AddNode(m_words[1]);
    return "";
  }
  std::string RunFor()
  {
    m_world.Advance(ParseTime(m_words[1]));
    return "";
  }
  std::string Cut()
  {
    const Words names = Arguments();
    m_world.Cut({ names.begin(), names.end() });
    return "";
  }
  std::string Mend()
  {
    m_world.Mend();
    return "";
  }
  std::string Freeze()
  {
    m_world.Freeze(m_words[1], true);
    return "";
  }
  std::string Thaw()
  {
    m_world.Freeze(m_words[1], false);
    return "";
  }
  std::string Crash()
  {
    m_world.Crash(m_words[1]);
    return "";
  }
  std::string Restart()
  {
    m_world.Restart(m_words[1]);
    return "";
  }
  std::string LoseDisk()
  {
    m_world.LoseDisk(m_words[1]);
    return "";
  }

  // ---- Operators ----

  // accept ID PATH KEY VALUE [on NUMBER] [at CONTROL]
  std::string Accept()
  {
    wire::Operation operation;
    operation.kind = wire::OperationKind::Set;
    operation.path = m_words[2];
    operation.key = m_words[3];
    operation.value = m_words[4];
    wire::Change change;
    change.changeId = m_words[1];
    change.operations = { operation };
    change.base = wire::ToWire(Newest());
    std::string at;
    for (size_t i = 5; i + 1 < m_words.size(); i += 2) {
      if (m_words[i] == "on") {
        change.base.number = std::stoll(m_words[i + 1]);
      } else if (m_words[i] == "at") {
        at = m_words[i + 1];
      }
    }
    if (!m_world.Propose(at, change)) {
      m_refused.insert(m_words[1]);
    }
    return "";
  }

  // burst COUNT: proposes that many changes, one every 20 ms
  std::string Burst()
  {
    const int count = std::stoi(m_words[1]);
    for (int i = 0; i < count; ++i) {
      m_words = { "accept",
                  "burst-" + std::to_string(++m_burstChanges),
                  "services/lots",
                  "queue.limit",
                  std::to_string(100 + i) };
      Accept();
      m_world.Advance(std::chrono::milliseconds(20));
    }
    return "";
  }

  // member add|promote|remove CONTROL|ID; ID is the member id that a control VM
  // had before it lost its disk
  std::string Member()
  {
    consensus::MembershipChange change;
    change.m_kind =
      m_words[1] == "add"       ? consensus::MembershipChangeKind::AddLearner
      : m_words[1] == "promote" ? consensus::MembershipChangeKind::Promote
                                : consensus::MembershipChangeKind::Remove;
    if (const ControlVm* control = m_world.FindControl(m_words[2])) {
      change.m_member.memberId = control->m_disk.m_memberId;
      change.m_member.name = control->m_name;
      change.m_member.availabilityZone = control->m_name;
      change.m_member.peerAddress = ToString(control->m_address);
      change.m_member.apiAddress = change.m_member.peerAddress;
    } else {
      change.m_member.memberId = std::stoll(m_words[2]);
    }
    return m_world.ProposeChange(change) ? ""
                                         : "the membership change was refused";
  }

  // The lease holder's newest version; the last one known if there is none.
  Version Newest()
  {
    const ControlVm* holder = m_world.LeaseHolder();
    return holder == nullptr ? m_newest
                             : (m_newest = holder->m_registry->TreeVersion());
  }

  // ---- Expectations ----

  std::string Expect()
  {
    ++m_expectations;
    const std::string actual = Actual();
    return actual == m_words.back() ? "" : "the actual value is " + actual;
  }

  // The value that the last word of the line is compared with.
  std::string Actual()
  {
    const std::string& what = m_words[1];
    if (what == "leader") { // expect leader NAME|some|none
      const ControlVm* holder = m_world.LeaseHolder();
      const std::string name = holder == nullptr ? "none" : holder->m_name;
      return holder != nullptr && m_words.back() == "some" ? "some" : name;
    }
    if (what ==
        "result") { // expect result ID accepted|conflict|invalid|refused|none
      return ResultOf(m_words[2]);
    }
    if (what == "accepted-as") { // expect accepted-as ID NUMBER
      const auto* result = m_world.FindResult(m_words[2]);
      return result == nullptr ? "none"
                               : std::to_string(result->version.number);
    }
    Node* node = m_world.FindNode(m_words[2]);
    if (node == nullptr || !node->m_subscriber) {
      return "no such running node";
    }
    if (what == "version") { // expect version NODE NUMBER|none
      const auto inForce = node->m_subscriber->InForce();
      return inForce ? std::to_string(inForce->m_number) : "none";
    }
    if (what == "ready") { // expect ready NODE yes|no
      return node->m_subscriber->IsReady() ? "yes" : "no";
    }
    if (what == "session") { // expect session NODE CONTROL|none
      const auto address = node->m_subscriber->ControlAddress();
      return address && node->m_subscriber->HasSession()
               ? m_world.NameAt(*address)
               : "none";
    }
    if (what == "updates") { // expect updates NODE COUNT
      return std::to_string(node->m_configUpdates);
    }
    return "unknown expectation";
  }

  std::string ResultOf(const std::string& aId)
  {
    const auto* result = m_world.FindResult(aId);
    if (result == nullptr) {
      return m_refused.count(aId) > 0 ? "refused" : "none";
    }
    switch (result->outcome) {
      case wire::AcceptOutcome::Accepted:
        return "accepted";
      case wire::AcceptOutcome::Conflict:
        return "conflict";
      case wire::AcceptOutcome::Invalid:
        return "invalid";
    }
    return "none";
  }

  World m_world;
  Words m_words;
  std::set<std::string> m_refused; // ids of changes that were not proposed
  Version m_newest;
  std::string m_oldLeader;
  int m_burstChanges = 0;
  int m_expectations = 0;
};

const std::vector<Script::CommandEntry> Script::kCommands{
  { "control", 2, &Script::Control }, { "node", 2, &Script::AddNode },
  { "run", 2, &Script::RunFor },      { "cut", 2, &Script::Cut },
  { "mend", 1, &Script::Mend },       { "freeze", 2, &Script::Freeze },
  { "thaw", 2, &Script::Thaw },       { "crash", 2, &Script::Crash },
  { "restart", 2, &Script::Restart }, { "lose-disk", 2, &Script::LoseDisk },
  { "accept", 5, &Script::Accept },   { "burst", 2, &Script::Burst },
  { "member", 3, &Script::Member },   { "expect", 3, &Script::Expect },
};

// ---- Files -----------------------------------------------------------------

std::vector<std::string> ScenarioFiles()
{
  std::vector<std::string> files;
  const std::string folder = WIGEONFOLD_SOURCE_DIR "/tests/scenario";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".scenario") {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

class ScenarioTest : public testing::TestWithParam<std::string>
{};

TEST_P(ScenarioTest, EveryExpectationHolds)
{
  std::ifstream file(GetParam());
  EXPECT_EQ(Script().Run(file), "");
}

INSTANTIATE_TEST_SUITE_P(Files,
                         ScenarioTest,
                         testing::ValuesIn(ScenarioFiles()),
                         [](const testing::TestParamInfo<std::string>& aInfo) {
                           std::string name =
                             std::filesystem::path(aInfo.param).stem().string();
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

TEST(ScriptTest, WrongLinesAreReported)
{
  std::istringstream unknown("control a\njump\n");
  EXPECT_EQ(Script().Run(unknown), "line 2: jump: unknown command");
  std::istringstream wrong("control a\nrun 5s\nexpect leader none\n");
  EXPECT_EQ(Script().Run(wrong),
            "line 3: expect leader none: the actual value is a");
  std::istringstream empty("control a\n");
  EXPECT_EQ(Script().Run(empty), "the script has no expect command");
}

} // namespace
} // namespace wigeonfold::scenario
