// Commands of the operators' client and the functions that they share.
#pragma once

#include "Arguments.h"
#include "ControlClient.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::client {

// One run of the client. Results go to m_out, messages and progress to m_err.
// Refers to objects that must outlive it.
struct Session
{
  const Arguments& m_arguments;
  const ClientSettings& m_settings;
  const Environment& m_environment;
  ControlClient& m_client;
  std::ostream& m_out;
  std::ostream& m_err;
};

// Runs a command other than CheckConfig and Discard.
ExitStatus RunCommand(Session& aSession);
// Deletes the draft without a request to a control VM. A draft that was sent
// needs --force.
ExitStatus RunDiscard(const Arguments& aArguments,
                      std::ostream& aOut,
                      std::ostream& aErr);

// ---- Shared by the commands ------------------------------------------------

// Prints the error and returns the exit status for its code: Unreachable,
// DamagedData or Failed.
ExitStatus ReportError(std::ostream& aErr, const Error& aError);
// Prints the message and returns Failed.
ExitStatus ReportFailure(Session& aSession, const std::string& aMessage);

// Body of the answer to a GET. Fails like ControlClient::Send, and with
// InvalidArgument and the control VM's message for a status other than 200.
Result<Json> GetJson(Session& aSession, const std::string& aTarget);
// Percent-encodes the text for use as a value in a query string.
std::string EscapeQuery(const std::string& aText);
// Value of a string field, "" when it is absent or not a string.
std::string TextOf(const Json& aJson, const std::string& aField);
// The path as operators write it: "/" for the root, whose path is empty.
std::string FormatPath(const std::string& aPath);

// Answer of one control VM to a GET; m_json is absent when it gave none with
// status 200.
struct ControlAnswer
{
  std::string m_name;
  std::string m_apiAddress;
  std::optional<Json> m_json;
};

// Sends the GET once to every member of the cluster, one after another. Fails
// like GetJson when the list of members can't be read.
Result<std::vector<ControlAnswer>> QueryControlVms(Session& aSession,
                                                   const std::string& aTarget);

// ---- The commands ----------------------------------------------------------

ExitStatus RunBranchGet(Session& aSession);
ExitStatus RunBranchShow(Session& aSession);
ExitStatus RunBranchEdit(Session& aSession); // set, unset, remove
ExitStatus RunDiff(Session& aSession);
ExitStatus RunAccept(Session& aSession);
ExitStatus RunDrain(Session& aSession);
ExitStatus RunRolloutStart(Session& aSession);
ExitStatus RunRolloutShow(Session& aSession);
ExitStatus RunRolloutStop(Session& aSession);
ExitStatus RunHistory(Session& aSession);
ExitStatus RunStatus(Session& aSession);
ExitStatus RunTimeline(Session& aSession);
ExitStatus RunMembersList(Session& aSession);
ExitStatus RunMembersChange(Session& aSession); // add, remove, promote, replace

// Prints progress until the version is in force on every node that has a
// session with a control VM. Returns Failed when every node that lacks the
// version has refused it, or when the time limit passes, which it always does
// while a control VM can't be asked. Adds the field "wait" to aResult.
ExitStatus WaitUntilInForce(Session& aSession,
                            const std::string& aVersion,
                            Json& aResult);

} // namespace wigeonfold::client
