// Records which names changed after a cursor.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::discovery {

// Keeps only the last change of each name. Memory is therefore bounded by the
// number of names, and the answer to a reader that lags behind by the number of
// names that changed.
// Not thread safe.
class ChangeIndex
{
public:
  // Advances the cursor by one and records it as aName's last change.
  void MarkChanged(const std::string& aName);
  // Removes a name that no longer exists. Since() then returns nothing for
  // cursors before the name's last change. Unknown names are ignored.
  void Forget(const std::string& aName);

  // Cursor of the last change, 0 before the first.
  int64_t Cursor() const { return m_cursor; }
  // Names changed after aCursor, in order of their last change. Nothing when
  // aCursor is too old, because a name changed since then was forgotten, or
  // when it lies in the future.
  std::optional<std::vector<std::string>> Since(int64_t aCursor) const;

private:
  int64_t m_cursor = 0;
  int64_t m_horizon = 0; // oldest cursor that Since() can serve
  std::map<int64_t, std::string> m_byCursor;
  std::map<std::string, int64_t> m_byName;
};

} // namespace wigeonfold::discovery
