// Reduces a release to what it changes.
#pragma once

#include "wigeonfold/settings/Tree.h"

#include <optional>

namespace wigeonfold::registry {

// Returns the operations that turn aTree into the tree that aOperations, in
// which only ClearBranch and Set are allowed, turn it into. The cost of the
// comparison is that of reading both once; nothing is validated, but values
// that stay as they are were validated before. Nothing is returned when the
// operations are of other kinds or when a removed branch has a descendant that
// stays, which a smaller change can't express. Thread safe.
std::optional<std::vector<wire::Operation>> DiffRelease(
  const settings::Tree& aTree,
  const std::vector<wire::Operation>& aOperations);

} // namespace wigeonfold::registry
