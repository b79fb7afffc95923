// The commands of the operators' client.
#pragma once

#include "Arguments.h"
#include "ControlClient.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::client {

// One run of the client. Results go to m_out, messages and progress to m_err.
struct Session
{
  const Arguments& m_arguments;
  const ClientSettings& m_settings;
  const Environment& m_environment;
  ControlClient& m_client;
  std::ostream& m_out;
  std::ostream& m_err;
};

// Runs a command that needs control VMs.
ExitStatus RunCommand(Session& aSession);
// Deletes the draft; needs no control VM.
ExitStatus RunDiscard(const Arguments& aArguments,
                      std::ostream& aOut,
                      std::ostream& aErr);

// ---- Shared by the commands ------------------------------------------------

// Prints the error; Unreachable, DamagedData or Failed by its code.
ExitStatus Fail(std::ostream& aErr, const Error& aError);
// Prints the message; Failed.
ExitStatus Refuse(Session& aSession, const std::string& aMessage);

// GET that ends in status 200. Fails like ControlClient::Send, and with
// InvalidArgument and the control VM's message for another status.
Result<Json> Read(Session& aSession, const std::string& aTarget);
// Text as a value of a query.
std::string Escape(const std::string& aText);
// Text of a field, "" when it is absent or no text.
std::string TextOf(const Json& aJson, const std::string& aField);
// Shows the root, whose path is empty, as "/".
std::string ShowPath(const std::string& aPath);

// Answer of one control VM to a status request; m_status is absent when it
// did not answer.
struct ControlStatus
{
  std::string m_name;
  std::string m_apiAddress;
  std::optional<Json> m_status;
};

// Asks every member of the cluster in turn.
Result<std::vector<ControlStatus>> AskEveryControl(Session& aSession,
                                                   const std::string& aTarget);

// ---- The commands ----------------------------------------------------------

ExitStatus RunBranchGet(Session& aSession);
ExitStatus RunBranchShow(Session& aSession);
ExitStatus RunBranchEdit(Session& aSession); // set, unset, remove
ExitStatus RunDiff(Session& aSession);
ExitStatus RunAccept(Session& aSession);
ExitStatus RunDrain(Session& aSession);
ExitStatus RunHistory(Session& aSession);
ExitStatus RunStatus(Session& aSession);
ExitStatus RunTimeline(Session& aSession);
ExitStatus RunMembersList(Session& aSession);
ExitStatus RunMembersChange(Session& aSession); // add, remove, promote, replace

// Shows progress until the version is in force on every node that has a
// session with a control VM. Failed when a node refuses it, when a control VM
// can't be asked, or after the time limit. Adds "wait" to aResult.
ExitStatus WaitInForce(Session& aSession,
                       const std::string& aVersion,
                       Json& aResult);

} // namespace wigeonfold::client
