// Version floors: the lowest version that a restarted node may serve with.
#pragma once

#include "wigeonfold/base/Version.h"

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace wigeonfold::distribution {

// Keeps, by node name, the newest version that a node reported in force. When
// there are more than aMax names, the one that reported longest ago is dropped.
// Not thread safe.
class Floors
{
public:
  explicit Floors(size_t aMax);

  // Sets the floor of a node unless it is already greater.
  void Raise(const std::string& aNodeName, const Version& aVersion);
  // Nothing when the name is unknown or was dropped.
  std::optional<Version> Find(const std::string& aNodeName) const;
  size_t Size() const { return m_byName.size(); }

private:
  struct Floor
  {
    std::string m_nodeName;
    Version m_version;
  };

  const size_t m_max;
  std::list<Floor> m_byAge; // newest report first
  std::unordered_map<std::string, std::list<Floor>::iterator> m_byName;
};

} // namespace wigeonfold::distribution
