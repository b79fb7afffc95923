// The local draft of a change.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/wire/gen/registry_types.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::client {

// A change being edited. Once it may have reached a control VM its content is
// fixed, because the change id stands for that content.
struct Draft
{
  wire::Change m_change;
  bool m_sent = false; // sent, and no answer has been seen yet
};

// Fails with Io when the file can't be read and with Corrupt when it is no
// draft; nothing when there is no such file.
Result<std::optional<Draft>> LoadDraft(const std::string& aFile);

// Writes a temporary file, syncs it and renames it, so that an interrupted
// write leaves the old draft. Fails with Io.
Status SaveDraft(const std::string& aFile, const Draft& aDraft);
Status DeleteDraft(const std::string& aFile);

// JSON text of the draft as in the file.
std::string FormatDraft(const Draft& aDraft);

// Random uuid, drawn once for each content of a change.
std::string DrawChangeId();

// A path that another change modified.
struct ChangedPath
{
  std::string m_path;
  bool m_removed = false;
};

// Paths of aChanged that the operations touch: the same branch, a branch at or
// below one that the operations remove, or below one that was removed. Empty:
// the draft can be sent on the newer version.
std::vector<std::string> Overlap(
  const std::vector<wire::Operation>& aOperations,
  const std::vector<ChangedPath>& aChanged);

} // namespace wigeonfold::client
