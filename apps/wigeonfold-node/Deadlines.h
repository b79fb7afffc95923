// Deadlines of many calls, checked by one periodic timer.
#pragma once

#include "wigeonfold/base/Time.h"

#include <set>
#include <utility>
#include <vector>

namespace wigeonfold::node {

// The data thread polls it on each tick: one timer per call would cost two
// system calls per request. Not thread safe.
class Deadlines
{
public:
  void Add(TimePoint aDeadline, uint64_t aId)
  {
    m_entries.emplace(aDeadline, aId);
  }
  // aDeadline is the one given to Add().
  void Remove(TimePoint aDeadline, uint64_t aId)
  {
    m_entries.erase({ aDeadline, aId });
  }

  // Removes the entries whose deadline is not after aNow and returns their ids,
  // earliest deadline first.
  std::vector<uint64_t> TakeDue(TimePoint aNow)
  {
    std::vector<uint64_t> due;
    while (!m_entries.empty() && m_entries.begin()->first <= aNow) {
      due.push_back(m_entries.begin()->second);
      m_entries.erase(m_entries.begin());
    }
    return due;
  }

private:
  std::set<std::pair<TimePoint, uint64_t>> m_entries;
};

} // namespace wigeonfold::node
