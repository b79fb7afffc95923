#include "ChangeRun.h"

#include "wigeonfold/settings/Schema.h"

#include <set>

namespace wigeonfold::settings {

void ChangeRun::Run(const wire::Operation& aOperation)
{
  if (!CheckPath(aOperation.path)) {
    return;
  }
  switch (aOperation.kind) {
    case wire::OperationKind::Set:
      Set(aOperation);
      return;
    case wire::OperationKind::Unset:
      Unset(aOperation);
      return;
    case wire::OperationKind::RemoveBranch:
      Remove(aOperation.path, true);
      return;
    case wire::OperationKind::ClearBranch:
      Remove(aOperation.path, false);
      return;
  }
  m_problems.push_back(DisplayPath(aOperation.path) + ": unknown operation");
}

bool ChangeRun::CheckPath(const std::string& aPath)
{
  if (m_last != nullptr && m_last->first == aPath) {
    return true; // it was checked with the last operation
  }
  const auto problem = PathProblem(aPath);
  if (problem) {
    m_problems.push_back(*problem);
  }
  return !problem;
}

// The branch after the operations so far.
std::optional<SettingsMap>& ChangeRun::Current(const std::string& aPath)
{
  if (m_last == nullptr || m_last->first != aPath) {
    const auto [it, added] = m_working.try_emplace(aPath);
    const auto old = m_tree.Branches().find(aPath);
    if (added && old != m_tree.Branches().end()) {
      it->second = old->second->m_settings;
    }
    m_last = &*it;
  }
  return m_last->second;
}

void ChangeRun::Set(const wire::Operation& aOperation)
{
  if (auto problem =
        SettingProblem(aOperation.path, aOperation.key, aOperation.value)) {
    m_problems.push_back(*problem);
    return;
  }
  auto& branch = Current(aOperation.path);
  if (!branch) {
    branch.emplace();
  }
  (*branch)[aOperation.key] = aOperation.value;
}

void ChangeRun::Unset(const wire::Operation& aOperation)
{
  auto& branch = Current(aOperation.path);
  if (!branch) {
    m_problems.push_back(DisplayPath(aOperation.path) + ": no such branch");
    return;
  }
  if (branch->erase(aOperation.key) == 0) {
    m_problems.push_back(DisplayPath(aOperation.path) + ": " + aOperation.key +
                         " is not set on this branch");
  }
}

void ChangeRun::Remove(const std::string& aPath, bool aMustExist)
{
  if (aPath.empty()) {
    m_problems.emplace_back("/: the root cannot be removed");
    return;
  }
  std::set<std::string> paths{ aPath };
  for (const auto& [path, branch] : m_tree.Branches()) {
    if (IsBelow(path, aPath)) {
      paths.insert(path);
    }
  }
  for (const auto& [path, branch] : m_working) {
    if (IsBelow(path, aPath)) {
      paths.insert(path);
    }
  }
  bool removed = false;
  for (const std::string& path : paths) {
    auto& branch = Current(path);
    removed = removed || branch.has_value();
    branch.reset();
  }
  if (!removed && aMustExist) {
    m_problems.push_back(aPath + ": no such branch");
  }
}

} // namespace wigeonfold::settings
