// Conditions of the settings tree that involve several branches.
#pragma once

#include "wigeonfold/settings/Tree.h"

namespace wigeonfold::settings {

// Adds the problems of the combination of branches, and of the size of the
// tree, to aProblems: each route has a host and services that exist, no two
// routes match the same requests, and no two services have the same prefix.
void CheckCombinations(const Tree& aTree, std::vector<std::string>& aProblems);

} // namespace wigeonfold::settings
