// Runs the operations of one change.
#pragma once

#include "wigeonfold/settings/Tree.h"

namespace wigeonfold::settings {

using SettingsMap = std::map<std::string, std::string>;
// Settings of the branches that a change touches, by path; an absent value
// stands for a branch that is removed or doesn't exist.
using WorkingMap = std::map<std::string, std::optional<SettingsMap>>;

// Runs operations on copies of the branches they touch and collects all
// problems. The tree must outlive this object. Not thread safe.
class ChangeRun
{
public:
  explicit ChangeRun(const Tree& aTree)
    : m_tree(aTree)
  {
  }

  void Run(const wire::Operation& aOperation);

  const WorkingMap& Working() const { return m_working; }
  std::vector<std::string>& Problems() { return m_problems; }

private:
  std::optional<SettingsMap>& Current(const std::string& aPath);
  bool CheckPath(const std::string& aPath);
  void Set(const wire::Operation& aOperation);
  void Unset(const wire::Operation& aOperation);
  void Remove(const std::string& aPath, bool aMustExist);

  const Tree& m_tree;
  WorkingMap m_working;
  // Branch of the last operation; the operations on a branch mostly follow each
  // other. Null at first.
  WorkingMap::value_type* m_last = nullptr;
  std::vector<std::string> m_problems;
};

} // namespace wigeonfold::settings
