// Deadlines of many calls under one timer.
#pragma once

#include "wigeonfold/base/Time.h"

#include <set>
#include <utility>
#include <vector>

namespace wigeonfold::node {

// Polled by the data thread's tick: a timer of its own for each call would cost
// two system calls per request. Not thread safe.
class Deadlines
{
public:
  void Add(TimePoint aAt, uint64_t aId) { m_entries.emplace(aAt, aId); }
  void Remove(TimePoint aAt, uint64_t aId) { m_entries.erase({ aAt, aId }); }

  // Removes and returns all that are due.
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
