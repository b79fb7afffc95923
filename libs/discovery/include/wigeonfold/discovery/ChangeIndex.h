// Remembers which names changed after a cursor.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::discovery {

// Keeps only the last change of each name, so its size is bounded by the number
// of names and the answer to a lagging reader by the number of changed names.
// Not thread safe.
class ChangeIndex
{
public:
  // Records a change; the cursor grows by one.
  void MarkChanged(const std::string& aName);
  // Forgets a name that no longer exists. Cursors before its last change can't
  // be served afterwards.
  void Forget(const std::string& aName);

  int64_t Cursor() const { return m_cursor; }
  // Names changed after aCursor, or nothing when that is no longer known.
  std::optional<std::vector<std::string>> Since(int64_t aCursor) const;

private:
  int64_t m_cursor = 0;
  int64_t m_horizon = 0;
  std::map<int64_t, std::string> m_byCursor;
  std::map<std::string, int64_t> m_byName;
};

} // namespace wigeonfold::discovery
