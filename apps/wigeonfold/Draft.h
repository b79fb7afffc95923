// The draft of a change in a local file.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/wire/gen/registry_types.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::client {

// A change being edited. Once a control VM may have received it, its content
// must not change, because the change id identifies that content.
struct Draft
{
  wire::Change m_change;
  bool m_sent = false; // a control VM may have it; the outcome is not known
};

// Returns nullopt when the file does not exist. Fails with Io when it can't be
// read and with Corrupt when it is not a valid draft.
Result<std::optional<Draft>> LoadDraft(const std::string& aFile);

// Writes a temporary file, syncs it and renames it, so that an interrupted
// write leaves the old draft. Fails with Io.
Status SaveDraft(const std::string& aFile, const Draft& aDraft);
// Succeeds when the file does not exist. Fails with Io.
Status DeleteDraft(const std::string& aFile);

// The draft as JSON text, as in the file.
std::string FormatDraft(const Draft& aDraft);

// A random UUID; a change whose content differs needs a new one.
std::string MakeChangeId();

// A path that another change modified.
struct ChangedPath
{
  std::string m_path;
  bool m_removed = false;
};

// Paths of aChanged that conflict with the operations: an operation is on the
// same branch, removes that branch or one above it, or is below it and it was
// removed. Without conflicts the draft can be based on the newer version.
std::vector<std::string> FindOverlappingPaths(
  const std::vector<wire::Operation>& aOperations,
  const std::vector<ChangedPath>& aChanged);

} // namespace wigeonfold::client
