// Schema of the settings tree: the keys that branches may set, their values and
// the paths at which they are allowed.
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
  Methods,        // different HTTP methods in capitals, "GET,HEAD", or empty
  Prefix,         // "/" or "/a/b/": begins and ends with a slash
  Host,           // a host name without a port
  Word,           // letters, digits, '.', '_' or '-'
  ServiceWeights, // "a:90,b:10": names of services with their weights
  Decimal,        // number within the range, with up to three decimals
  Secrets,        // list of bearer tokens, or empty; never quoted in messages
};

// The paths at which a key may be set. Others are refused, because no process
// would read the key there.
enum class Scope
{
  OneService,       // services/<name>
  OneTarget,        // targets/<node name>
  OneRollout,       // rollouts/<service name>
  Services,         // the root, services, services/<name>
  ClientAccounts,   // the root, offices and all client accounts below it
  OneClientAccount, // a client account below offices
  OneRoute,         // routes/<name>
  Routes,           // the root, routes, routes/<name>
  Root,             // the root only
};

struct KeyInfo
{
  const char* m_name;
  ValueType m_type;
  const char* m_unit; // "" when the value has none
  int64_t m_min;      // range of Milliseconds and Integer, limits included
  int64_t m_max;
  const char* m_default;
  Scope m_scope;
  const char* m_description;
};

// Whether a branch takes over its ancestors' values of keys with this scope. A
// client account must not take over the keys, the priority or the quota of the
// account above it.
bool IsInherited(Scope aScope);

// All keys, ordered by name. Thread safe.
const std::vector<KeyInfo>& Schema();
// The key's entry, or nullptr for an unknown key. Thread safe.
const KeyInfo* FindKey(const std::string& aKey);

// The valid values, for messages: "a whole number of ms from 1 to 600000".
std::string DescribeValue(const KeyInfo& aKey);
// The allowed paths, for messages: "the root, services or services/<name>".
std::string DescribeScope(Scope aScope);

// ---- Paths -----------------------------------------------------------------
// A path is a list of segments joined by '/'. The root is the empty path.

// The branches directly below the root. The client accounts are below offices.
inline constexpr const char* kServices = "services";
inline constexpr const char* kClientAccounts = "offices";
inline constexpr const char* kTargets = "targets";
inline constexpr const char* kRoutes = "routes";
inline constexpr const char* kRollouts = "rollouts";
inline constexpr size_t kMaxLevels = 8; // segments of a path
inline constexpr size_t kMaxSegmentBytes = 64;
inline constexpr size_t kMaxValueBytes = 1024;

// Path of the parent; the root for a path of one segment and for the root.
std::string ParentOf(const std::string& aPath);
std::string JoinPath(const std::string& aParent, const std::string& aName);
// Path as messages show it: the root, whose path is empty, as "/". Thread safe.
std::string DisplayPath(const std::string& aPath);
// Whether aPath is a descendant of aAncestor, which is not the root. Thread
// safe.
bool IsBelow(const std::string& aPath, const std::string& aAncestor);

// ---- Checks ----------------------------------------------------------------

// Each describes what is wrong, or returns nothing when all is valid. Thread
// safe.

// Checks the top branch, the number of levels and each segment.
std::optional<std::string> PathProblem(const std::string& aPath);
// Reports an unknown key, a key not allowed at the path, or an invalid value.
// Precondition: PathProblem(aPath) is nothing.
std::optional<std::string> SettingProblem(const std::string& aPath,
                                          const std::string& aKey,
                                          const std::string& aValue);

// ---- Values ----------------------------------------------------------------

// The number, or nothing when the text is not a 64-bit whole number in its
// shortest form (no leading zeros, blanks or '+').
std::optional<int64_t> ParseInteger(const std::string& aText);
// The number, or nothing when the text is not a decimal number of at least 0
// with at most three decimals, in its shortest form.
std::optional<double> ParseDecimal(const std::string& aText);
// Splits at commas; no items for the empty text.
std::vector<std::string> SplitList(const std::string& aText);

// A service of a route and its part of the route's requests.
struct WeightedService
{
  std::string m_service;
  int64_t m_weight = 0; // relative to the route's other services

  bool operator==(const WeightedService&) const = default;
};

// Items of a value of type ServiceWeights; a missing weight counts as 1.
// Nothing when the value is malformed: an invalid or repeated name, a weight
// that is not a whole number from 0 to 1,000,000, or no weight above 0.
std::optional<std::vector<WeightedService>> ParseServiceWeights(
  const std::string& aText);
// The inverse of ParseServiceWeights.
std::string FormatServiceWeights(const std::vector<WeightedService>& aServices);

} // namespace wigeonfold::settings
