// What a node knows of other nodes' targets, for nodes that forgot it.
#pragma once

#include "wigeonfold/wire/gen/peer_types.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace wigeonfold::forwarding {

// A restarted node forgets what its target said of itself before. The nodes
// that call it know it from its answers and say so with each call. Kept by
// node; not thread safe.
class TargetHints
{
public:
  // Takes over what an answer of the node says.
  void OnAnswer(const std::string& aNodeName,
                const wire::CallResponse& aResponse);
  // Sets or clears the hints in a call to the node.
  void Fill(const std::string& aNodeName, wire::CallRequest& aRequest) const;

  // Number of nodes with hints.
  size_t Size() const { return m_hints.size(); }

  // Above this number, the node that was added first is forgotten.
  static constexpr size_t kMaxNodes = 4096;

private:
  struct Hint
  {
    std::optional<wire::TargetStart> m_leaving; // the last one that left there
    std::optional<wire::TargetLimit> m_limit;
  };

  Hint& HintOf(const std::string& aNodeName);

  std::unordered_map<std::string, Hint> m_hints;
  std::deque<std::string> m_order; // nodes, the one added first in front
};

} // namespace wigeonfold::forwarding
