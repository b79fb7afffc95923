// Targets of other nodes that are known to leave.
#pragma once

#include "wigeonfold/wire/gen/common_types.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace wigeonfold::forwarding {

// Keeps, by node, the start of the target that was reported to leave last. A
// node that restarts forgets that its target leaves; the nodes that call it
// know it from here and say so with each call. Not thread safe.
class LeavingTargets
{
public:
  // aNodeName is the node beside the target.
  void Note(const std::string& aNodeName, const wire::TargetStart& aStart);
  // Nullptr when none is known. Valid until the next Note().
  const wire::TargetStart* Find(const std::string& aNodeName) const;
  size_t Size() const { return m_startByNode.size(); }

  // Above this number, the node that was noted first is forgotten.
  static constexpr size_t kMaxNodes = 4096;

private:
  std::unordered_map<std::string, wire::TargetStart> m_startByNode;
  std::deque<std::string> m_order; // nodes, the one noted first in front
};

} // namespace wigeonfold::forwarding
