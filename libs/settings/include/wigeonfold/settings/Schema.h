// The keys that branches of the settings tree may set.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::settings {

// ---- Keys ------------------------------------------------------------------

enum class ValueType
{
  Path,           // "/" or "/a/b": no trailing slash, blank, '?' or '#'
  Milliseconds,   // whole number within the range
  Integer,        // whole number within the range
  Boolean,        // "true" or "false"
  Methods,        // HTTP methods in capitals, separated by commas; may be empty
  Prefix,         // "/" or "/a/b/": begins and ends with a slash
  Host,           // a host name without a port
  Word,           // letters, digits, '.', '_' or '-'
  ServiceWeights, // "a:90,b:10": names below services with their weights
};

// Where a key may be set. A key is refused where no process would read it.
enum class Scope
{
  OneService, // services/<name>
  OneTarget,  // targets/<node name>
  Services,   // the root, services, services/<name>
  Offices,    // the root, offices and all below
  OneRoute,   // routes/<name>
  Routes,     // the root, routes, routes/<name>
  Root,       // the root only
};

struct KeyInfo
{
  const char* m_name;
  ValueType m_type;
  const char* m_unit; // "" when the value has none
  int64_t m_min;      // range of Milliseconds and Integer
  int64_t m_max;
  const char* m_default;
  Scope m_scope;
  const char* m_description;
};

// All keys, ordered by name.
const std::vector<KeyInfo>& Schema();
// The key's entry, or nullptr for an unknown key. Thread safe.
const KeyInfo* FindKey(const std::string& aKey);

// "a whole number of ms from 1 to 600000", for messages and help.
std::string DescribeValue(const KeyInfo& aKey);
// "the root, services or services/<name>".
std::string DescribeScope(Scope aScope);

// ---- Paths -----------------------------------------------------------------

inline constexpr const char* kServices = "services";
inline constexpr const char* kOffices = "offices";
inline constexpr const char* kTargets = "targets";
inline constexpr const char* kRoutes = "routes";
inline constexpr size_t kMaxLevels = 8;
inline constexpr size_t kMaxSegmentBytes = 64;
inline constexpr size_t kMaxValueBytes = 1024;

// Path of the parent; the parent of a first level branch is the root.
std::string ParentOf(const std::string& aPath);
std::string JoinPath(const std::string& aParent, const std::string& aName);

// ---- Checks ----------------------------------------------------------------

// What is wrong, or nothing. Thread safe.
std::optional<std::string> PathProblem(const std::string& aPath);
// Unknown key, key not allowed at the path, or bad value. Precondition: the
// path has no problem.
std::optional<std::string> SettingProblem(const std::string& aPath,
                                          const std::string& aKey,
                                          const std::string& aValue);

// ---- Values ----------------------------------------------------------------

// Nothing when the text is not a whole number in its shortest form.
std::optional<int64_t> ParseInteger(const std::string& aText);
std::vector<std::string> SplitList(const std::string& aText);

// A service's part of a route's requests.
struct WeightedService
{
  std::string m_service;
  int64_t m_weight = 0; // relative to the others' of the route

  bool operator==(const WeightedService&) const = default;
};

// Parts of a value of type ServiceWeights, or nothing when it is malformed: a
// name twice, a weight that is no whole number from 0 to 1,000,000, or no
// weight above 0.
std::optional<std::vector<WeightedService>> ParseServiceWeights(
  const std::string& aText);
std::string FormatServiceWeights(const std::vector<WeightedService>& aShares);

} // namespace wigeonfold::settings
