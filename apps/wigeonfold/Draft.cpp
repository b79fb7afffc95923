#include "Draft.h"

#include "wigeonfold/base/Text.h"
#include "wigeonfold/registry/OperatorApi.h"

#include <boost/algorithm/string.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <unistd.h>

namespace wigeonfold::client {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kDraftFormat = 1;

Error FileError(const std::string& aStep, const std::string& aFile)
{
  return Error{ ErrorCode::Io, aStep, aFile, std::strerror(errno) };
}

Error DamagedDraftError(const std::string& aFile, const std::string& aDetail)
{
  return Error{ ErrorCode::Corrupt,
                "read draft",
                aFile,
                aDetail + "; repair the file or run wigeonfold discard" };
}

Result<Draft> ParseDraft(const std::string& aFile, const std::string& aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    return DamagedDraftError(aFile, "not a JSON object");
  }
  const bool complete = json.contains("format") &&
                        json["format"] == kDraftFormat &&
                        json.contains("sent") && json["sent"].is_boolean() &&
                        json.contains("change");
  if (!complete) {
    return DamagedDraftError(
      aFile, "needs \"format\": 1, a boolean \"sent\" and a \"change\"");
  }
  const std::string body = DumpJson(json["change"]);
  auto change = registry::ParseChange(body);
  if (!change) {
    return DamagedDraftError(aFile, change.error().m_detail);
  }
  return Draft{ change.value(), json["sent"].get<bool>() };
}

// Writes all bytes and syncs them.
Status WriteSynced(const std::string& aFile, const std::string& aText)
{
  const int file =
    open(aFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) {
    return FileError("write draft", aFile);
  }
  size_t written = 0;
  while (written < aText.size()) {
    const ssize_t count =
      write(file, aText.data() + written, aText.size() - written);
    if (count < 0 && errno != EINTR) {
      const Error error = FileError("write draft", aFile);
      close(file);
      return error;
    }
    written += count > 0 ? static_cast<size_t>(count) : 0;
  }
  const bool synced = fsync(file) == 0;
  const Error error = FileError("sync draft", aFile);
  const bool closed = close(file) == 0;
  return synced && closed ? Ok() : Status(error);
}

// Syncs the file's folder; without that a power loss can undo the rename.
Status SyncFolderOf(const std::string& aFile)
{
  const size_t slash = aFile.rfind('/');
  const std::string folder =
    slash == std::string::npos ? "." : aFile.substr(0, slash + 1);
  const int handle = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (handle < 0) {
    return FileError("sync folder", folder);
  }
  const bool synced = fsync(handle) == 0;
  const Error error = FileError("sync folder", folder);
  close(handle);
  return synced ? Ok() : Status(error);
}

bool IsAtOrBelow(const std::string& aPath, const std::string& aAncestor)
{
  return aAncestor.empty() || aPath == aAncestor ||
         boost::starts_with(aPath, aAncestor + "/");
}

} // namespace

// ---- File ------------------------------------------------------------------

Result<std::optional<Draft>> LoadDraft(const std::string& aFile)
{
  if (access(aFile.c_str(), F_OK) != 0 && errno == ENOENT) {
    return std::optional<Draft>();
  }
  std::ifstream file(aFile);
  std::stringstream text;
  if (!file) {
    return FileError("read draft", aFile);
  }
  text << file.rdbuf();
  auto draft = ParseDraft(aFile, text.str());
  if (!draft) {
    return draft.error();
  }
  return std::optional<Draft>(draft.value());
}

Status SaveDraft(const std::string& aFile, const Draft& aDraft)
{
  // Named by the process id, so that two clients don't write the same file.
  const std::string temporary = aFile + "." + std::to_string(getpid()) + ".tmp";
  if (auto written = WriteSynced(temporary, FormatDraft(aDraft) + "\n");
      !written) {
    unlink(temporary.c_str());
    return written;
  }
  if (rename(temporary.c_str(), aFile.c_str()) != 0) {
    const Error error = FileError("rename draft", aFile);
    unlink(temporary.c_str());
    return error;
  }
  return SyncFolderOf(aFile);
}

Status DeleteDraft(const std::string& aFile)
{
  if (unlink(aFile.c_str()) != 0 && errno != ENOENT) {
    return FileError("delete draft", aFile);
  }
  return Ok();
}

std::string FormatDraft(const Draft& aDraft)
{
  const Json json{ { "format", kDraftFormat },
                   { "sent", aDraft.m_sent },
                   { "change",
                     Json::parse(registry::FormatChange(aDraft.m_change)) } };
  return DumpJson(json, 2);
}

std::string MakeChangeId()
{
  return boost::uuids::to_string(boost::uuids::random_generator()());
}

// ---- Rebase ----------------------------------------------------------------

std::vector<std::string> FindOverlappingPaths(
  const std::vector<wire::Operation>& aOperations,
  const std::vector<ChangedPath>& aChanged)
{
  std::set<std::string> paths;
  for (const ChangedPath& changed : aChanged) {
    for (const wire::Operation& operation : aOperations) {
      const bool removes =
        operation.kind == wire::OperationKind::RemoveBranch &&
        IsAtOrBelow(changed.m_path, operation.path);
      const bool removed =
        changed.m_removed && IsAtOrBelow(operation.path, changed.m_path);
      if (operation.path == changed.m_path || removes || removed) {
        paths.insert(changed.m_path);
      }
    }
  }
  return { paths.begin(), paths.end() };
}

} // namespace wigeonfold::client
