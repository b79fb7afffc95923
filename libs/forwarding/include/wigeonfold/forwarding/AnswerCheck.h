// Checks answers of targets that other nodes pass on. A node of an earlier
// version may pass on a broken one.
#pragma once

#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/net/AnswerReader.h"

#include <optional>

namespace wigeonfold::forwarding {

// What is wrong with an answer that a target gave, according to aOutcome;
// nothing if it is sound, or if the node answers by itself. Thread safe.
std::optional<net::BrokenAnswer> CheckAnswer(
  Outcome aOutcome,
  const wire::CallResponse& aResponse);

} // namespace wigeonfold::forwarding
