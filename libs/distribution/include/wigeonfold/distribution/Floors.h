// Version floors of nodes.
#pragma once

#include "wigeonfold/base/Version.h"

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace wigeonfold::distribution {

// Newest version that each node reported in force. The names that reported
// longest ago are forgotten beyond the bound. Not thread safe.
class Floors
{
public:
  explicit Floors(size_t aMax);

  void Raise(const std::string& aNodeName, const Version& aVersion);
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
