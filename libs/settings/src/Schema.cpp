#include "wigeonfold/settings/Schema.h"
#include "wigeonfold/base/Text.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <set>
#include <string_view>
#include <unordered_map>

namespace wigeonfold::settings {

namespace {

constexpr int64_t kMaxTimeMs = 600'000;
constexpr int64_t kMaxBodyBytes = int64_t{ 1 } << 40;
constexpr int64_t kMaxWeight = 1'000'000;
constexpr size_t kMaxMethodBytes = 20;
constexpr size_t kMaxSecretBytes = 256;
constexpr size_t kMaxDecimals = 3;
constexpr int64_t kMaxRolloutMs = 604'800'000;     // a week
constexpr int64_t kMaxRequestRate = 1'000'000'000; // requests per second

constexpr const char* kWordCharacters =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

// Bounds the length of a message that quotes an operator's input.
std::string Quote(const std::string& aText)
{
  constexpr size_t kMaxQuoted = 80;
  return aText.size() <= kMaxQuoted
           ? "'" + aText + "'"
           : "'" + TruncateUtf8(aText, kMaxQuoted) + "...'";
}

std::vector<std::string> Segments(const std::string& aPath)
{
  std::vector<std::string> segments;
  if (!aPath.empty()) {
    boost::split(segments, aPath, [](char aByte) { return aByte == '/'; });
  }
  return segments;
}

// ---- Checks of values ------------------------------------------------------

bool IsPath(const std::string& aText)
{
  if (aText.empty() || aText.front() != '/') {
    return false;
  }
  const bool printable =
    std::all_of(aText.begin(), aText.end(), [](char aByte) {
      return aByte > ' ' && aByte < '\x7f' && aByte != '?' && aByte != '#';
    });
  const bool trailing = aText.size() > 1 && aText.back() == '/';
  return printable && !trailing && aText.find("//") == std::string::npos;
}

bool IsMethodList(const std::string& aText)
{
  std::set<std::string> seen;
  for (const std::string& method : SplitList(aText)) {
    const bool capitals =
      std::all_of(method.begin(), method.end(), [](char aByte) {
        return aByte >= 'A' && aByte <= 'Z';
      });
    if (method.empty() || method.size() > kMaxMethodBytes || !capitals ||
        !seen.insert(method).second) {
      return false;
    }
  }
  return true;
}

bool IsPrefix(const std::string& aText)
{
  const bool slashes =
    !aText.empty() && aText.front() == '/' && aText.back() == '/';
  return slashes && std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return aByte > ' ' && aByte < '\x7f' && aByte != '?' && aByte != '#';
         });
}

bool IsWord(const std::string& aText)
{
  return !aText.empty() &&
         aText.find_first_not_of(kWordCharacters) == std::string::npos;
}

// Bearer tokens have visible characters only (RFC 6750, 2.1); a comma would
// split the list.
bool IsSecretList(const std::string& aText)
{
  std::set<std::string> seen;
  for (const std::string& secret : SplitList(aText)) {
    const bool visible =
      std::all_of(secret.begin(), secret.end(), [](char aByte) {
        return aByte > ' ' && aByte < '\x7f';
      });
    if (secret.empty() || secret.size() > kMaxSecretBytes || !visible ||
        !seen.insert(secret).second) {
      return false;
    }
  }
  return true;
}

bool IsValid(const KeyInfo& aKey, const std::string& aValue)
{
  switch (aKey.m_type) {
    case ValueType::Path:
      return IsPath(aValue);
    case ValueType::Milliseconds:
    case ValueType::Integer: {
      const auto number = ParseInteger(aValue);
      return number && *number >= aKey.m_min && *number <= aKey.m_max;
    }
    case ValueType::Boolean:
      return aValue == "true" || aValue == "false";
    case ValueType::Methods:
      return IsMethodList(aValue);
    case ValueType::Prefix:
      return IsPrefix(aValue);
    case ValueType::Host:
    case ValueType::Word:
      return IsWord(aValue);
    case ValueType::ServiceWeights:
      return ParseServiceWeights(aValue).has_value();
    case ValueType::Decimal: {
      const auto number = ParseDecimal(aValue);
      return number && *number >= static_cast<double>(aKey.m_min) &&
             *number <= static_cast<double>(aKey.m_max);
    }
    case ValueType::Secrets:
      return IsSecretList(aValue);
  }
  return false;
}

bool IsAllowedAt(Scope aScope, const std::string& aPath)
{
  const std::string_view path = aPath;
  const bool root = path.empty();
  const size_t slash = path.find('/');
  const std::string_view first = path.substr(0, slash);
  const bool twoSegments = slash != std::string_view::npos &&
                           path.find('/', slash + 1) == std::string_view::npos;
  switch (aScope) {
    case Scope::OneService:
      return first == kServices && twoSegments;
    case Scope::OneTarget:
      return first == kTargets && twoSegments;
    case Scope::OneRollout:
      return first == kRollouts && twoSegments;
    case Scope::Services:
      return root || first == kServices;
    case Scope::ClientAccounts:
      return root || first == kClientAccounts;
    case Scope::OneClientAccount:
      return first == kClientAccounts && slash != std::string_view::npos;
    case Scope::OneRoute:
      return first == kRoutes && twoSegments;
    case Scope::Routes:
      return root || first == kRoutes;
    case Scope::Root:
      return root;
  }
  return false;
}

} // namespace

// ---- Keys ------------------------------------------------------------------

const std::vector<KeyInfo>& Schema()
{
  using enum ValueType;
  // clang-format off
  static const std::vector<KeyInfo> kSchema{
    { "account.keys",               Secrets,      "",   0, 0,          "",     Scope::OneClientAccount,
      "keys that identify the client account's requests" },
    { "account.priority",           Integer,      "",   0, 1000,       "",     Scope::OneClientAccount,
      "priority of the client account's requests, which replaces that of the route" },
    { "caller.body-bytes",          Integer,      "bytes", 0, kMaxBodyBytes, "1048576", Scope::Root,
      "maximum body size of a caller's request" },
    { "caller.header-bytes",        Integer,      "bytes", 256, 1'048'576, "16384", Scope::Root,
      "maximum header size of a caller's request" },
    { "caller.header-timeout",      Milliseconds, "ms", 1, kMaxTimeMs, "10000", Scope::Root,
      "maximum time until the headers of a caller's request are complete" },
    { "caller.idle-timeout",        Milliseconds, "ms", 1, kMaxTimeMs, "300000", Scope::Root,
      "maximum idle time of a caller's connection" },
    { "eject.duration",             Milliseconds, "ms", 1, kMaxTimeMs, "1000", Scope::Services,
      "duration of an ejection" },
    { "eject.failures",             Integer,      "",   1, 1000,       "5",    Scope::Services,
      "consecutive failures after which a target is ejected" },
    { "health.path",                Path,         "",   0, 0,          "/health", Scope::Services,
      "path at which a target reports its health" },
    { "queue.limit",                Integer,      "",   0, 100'000,    "64",   Scope::Services,
      "maximum requests queued at one target's node" },
    { "queue.timeout",              Milliseconds, "ms", 0, kMaxTimeMs, "500",  Scope::Services,
      "maximum time of a request in that queue" },
    { "quota.burst",                Decimal,      "",   0, kMaxRequestRate, "0", Scope::OneClientAccount,
      "requests that a client account may send at once beyond its rate" },
    { "quota.rate",                 Decimal,      "1/s", 0, kMaxRequestRate, "0", Scope::OneClientAccount,
      "requests per second of a client account over all nodes; 0 for no limit" },
    { "request.idempotent-methods", Methods,      "",   0, 0, "GET,HEAD,PUT,DELETE,OPTIONS", Scope::Services,
      "methods treated as idempotent" },
    { "request.timeout",            Milliseconds, "ms", 1, kMaxTimeMs, "2000", Scope::Services,
      "timeout that sets the deadline of a request that carries none" },
    { "retry.budget-percent",       Integer,      "%",  0, 100,        "20",   Scope::Services,
      "retries allowed as a percentage of first attempts" },
    { "retry.max-attempts",         Integer,      "",   1, 10,         "3",    Scope::Services,
      "maximum attempts per request" },
    { "rollout.duration",           Milliseconds, "ms", 1, kMaxRolloutMs, "600000", Scope::OneRollout,
      "time from the order of the rollout to its deadline" },
    { "rollout.exposure-percent",   Integer,      "%",  0, 100,        "0",    Scope::OneRollout,
      "share of the service's requests that go to the version in trial" },
    { "rollout.order-id",           Word,         "",   0, 0,          "",     Scope::OneRollout,
      "identifies the order of the rollout" },
    { "rollout.ordered-at",         Integer,      "ms", 0, INT64_MAX,  "0",    Scope::OneRollout,
      "time of the order, in ms since 1970" },
    { "rollout.stage",              Word,         "",   0, 0,          "canary", Scope::OneRollout,
      "canary or full: how far the rollout has come" },
    { "rollout.state",              Word,         "",   0, 0,          "running", Scope::OneRollout,
      "running, completed, rolled-back or stopped" },
    { "rollout.version",            Word,         "",   0, 0,          "",     Scope::OneRollout,
      "software version to which the service's requests move" },
    { "route.attempts",             Integer,      "",   1, 10,         "2",    Scope::Routes,
      "maximum targets to which one request may be sent" },
    { "route.auth-exempt",          Boolean,      "",   0, 0,          "false", Scope::Routes,
      "requests of the route need no key of a client account" },
    { "route.hedge-percent",        Integer,      "%",  0, 100,        "0",    Scope::Routes,
      "second attempts beside slow ones, as a percentage of first attempts; 0 for none" },
    { "route.host",                 Host,         "",   0, 0,          "",     Scope::OneRoute,
      "host that selects the route" },
    { "route.idempotent",           Boolean,      "",   0, 0,          "false", Scope::Routes,
      "requests of the route may run more than once" },
    { "route.large-answers",        Boolean,      "",   0, 0,          "false", Scope::Routes,
      "answers of the route are large, such as downloads" },
    { "route.objective",            Milliseconds, "ms", 0, kMaxTimeMs, "0",    Scope::Routes,
      "latency objective of the route's answers; 0 for none" },
    { "route.path",                 Prefix,       "",   0, 0,          "/",    Scope::OneRoute,
      "path prefix that selects the route among those of its host" },
    { "route.prefix",               Path,         "",   0, 0,          "",     Scope::OneService,
      "path prefix that selects the service" },
    { "route.priority",             Integer,      "",   0, 1000,       "0",    Scope::Routes,
      "priority of the route's requests; 0 is the highest" },
    { "route.services",             ServiceWeights, "", 0, 0,          "",     Scope::OneRoute,
      "services that serve the route, with their weights" },
    { "route.timeout",              Milliseconds, "ms", 1, kMaxTimeMs, "2000", Scope::Routes,
      "maximum time until the answer" },
    { "share.queue-percent",        Integer,      "%",  1, 100,        "50",   Scope::ClientAccounts,
      "maximum part of a queue that one client account may occupy" },
    { "share.weight",               Integer,      "",   1, 10'000,     "100",  Scope::ClientAccounts,
      "client account's fair-queueing weight relative to its siblings" },
    { "target.connections",         Integer,      "",   1, 60'000,     "1024", Scope::Services,
      "maximum connections to one target" },
    { "target.drain",               Boolean,      "",   0, 0,          "false", Scope::OneTarget,
      "the node drains its own target while true" },
    { "target.protocol",            Word,         "",   0, 0,          "h1",   Scope::Services,
      "protocol that the service's targets speak" },
    { "target.tls",                 Boolean,      "",   0, 0,          "false", Scope::Services,
      "the service's targets expect TLS" },
    // The default 80 spills over before the last slot of a target with 6 or more
    // slots is taken, so that no request waits here while another zone has a
    // free slot.
    { "zone.spill-percent",         Integer,      "%",  1, 1000,       "80",   Scope::Services,
      "local load as a percentage of the slots above which requests spill over to other zones" },
  };
  // clang-format on
  return kSchema;
}

const KeyInfo* FindKey(const std::string& aKey)
{
  static const auto kIndex = [] {
    std::unordered_map<std::string_view, const KeyInfo*> index;
    for (const KeyInfo& key : Schema()) {
      index.emplace(key.m_name, &key);
    }
    return index;
  }();
  const auto found = kIndex.find(aKey);
  return found == kIndex.end() ? nullptr : found->second;
}

std::string DescribeValue(const KeyInfo& aKey)
{
  switch (aKey.m_type) {
    case ValueType::Path:
      return "an absolute path without trailing slash, blank, '?' or '#'";
    case ValueType::Milliseconds:
    case ValueType::Integer: {
      const std::string unit = aKey.m_unit;
      return "a whole number" + (unit.empty() ? "" : " of " + unit) + " from " +
             std::to_string(aKey.m_min) + " to " + std::to_string(aKey.m_max);
    }
    case ValueType::Boolean:
      return "true or false";
    case ValueType::Methods:
      return "a list of different HTTP methods in capitals, such as GET,HEAD";
    case ValueType::Prefix:
      return "a path prefix that begins and ends with a slash";
    case ValueType::Host:
      return "a host name without a port";
    case ValueType::Word:
      return "a word of A-Z a-z 0-9 . _ -";
    case ValueType::ServiceWeights:
      return "a list of services with weights, such as a:90,b:10";
    case ValueType::Decimal:
      return "a number with at most three decimals from " +
             std::to_string(aKey.m_min) + " to " + std::to_string(aKey.m_max);
    case ValueType::Secrets:
      return "a list of different keys, each of 1 to " +
             std::to_string(kMaxSecretBytes) + " visible ASCII characters";
  }
  return "";
}

bool IsInherited(Scope aScope)
{
  return aScope != Scope::OneClientAccount;
}

std::string DescribeScope(Scope aScope)
{
  switch (aScope) {
    case Scope::OneService:
      return "services/<name>";
    case Scope::OneTarget:
      return "targets/<node name>";
    case Scope::OneRollout:
      return "rollouts/<service name>";
    case Scope::Services:
      return "the root, services or services/<name>";
    case Scope::ClientAccounts:
      return "the root, offices or a branch below offices";
    case Scope::OneClientAccount:
      return "a branch below offices";
    case Scope::OneRoute:
      return "routes/<name>";
    case Scope::Routes:
      return "the root, routes or routes/<name>";
    case Scope::Root:
      return "the root";
  }
  return "";
}

// ---- Paths -----------------------------------------------------------------

std::string ParentOf(const std::string& aPath)
{
  const size_t slash = aPath.rfind('/');
  return slash == std::string::npos ? "" : aPath.substr(0, slash);
}

std::string JoinPath(const std::string& aParent, const std::string& aName)
{
  return aParent.empty() ? aName : aParent + "/" + aName;
}

std::string DisplayPath(const std::string& aPath)
{
  return aPath.empty() ? "/" : aPath;
}

bool IsBelow(const std::string& aPath, const std::string& aAncestor)
{
  return aPath.size() > aAncestor.size() && aPath[aAncestor.size()] == '/' &&
         aPath.compare(0, aAncestor.size(), aAncestor) == 0;
}

// ---- Checks ----------------------------------------------------------------

namespace {

std::string Where(const std::string& aPath)
{
  return DisplayPath(aPath) + ": ";
}

} // namespace

std::optional<std::string> PathProblem(const std::string& aPath)
{
  const auto segments = Segments(aPath);
  if (segments.empty()) {
    return std::nullopt;
  }
  const std::string& first = segments.front();
  if (first != kServices && first != kClientAccounts && first != kTargets &&
      first != kRoutes && first != kRollouts) {
    return Quote(aPath) + ": the first segment is not services, offices, "
                          "targets, routes or rollouts";
  }
  if (segments.size() > kMaxLevels) {
    return Quote(aPath) + ": more than " + std::to_string(kMaxLevels) +
           " levels";
  }
  if (first != kClientAccounts && segments.size() > 2) {
    return Quote(aPath) + ": " + first + " allows only one level below it";
  }
  for (const std::string& segment : segments) {
    if (segment.empty() || segment.size() > kMaxSegmentBytes ||
        segment.find_first_not_of(kWordCharacters) != std::string::npos) {
      return Quote(aPath) + ": segment " + Quote(segment) +
             " is not 1 to 64 characters of A-Z a-z 0-9 . _ -";
    }
  }
  return std::nullopt;
}

std::optional<std::string> SettingProblem(const std::string& aPath,
                                          const std::string& aKey,
                                          const std::string& aValue)
{
  const KeyInfo* key = FindKey(aKey);
  if (key == nullptr) {
    return Where(aPath) + "unknown key " + Quote(aKey);
  }
  if (!IsAllowedAt(key->m_scope, aPath)) {
    return Where(aPath) + aKey + " may be set only at " +
           DescribeScope(key->m_scope);
  }
  if (aValue.size() > kMaxValueBytes) {
    return Where(aPath) + aKey + ": longer than " +
           std::to_string(kMaxValueBytes) + " bytes";
  }
  if (!IsValid(*key, aValue)) {
    const bool secret = key->m_type == ValueType::Secrets;
    return Where(aPath) + aKey + ": " + (secret ? "the value" : Quote(aValue)) +
           " is not " + DescribeValue(*key);
  }
  return std::nullopt;
}

// ---- Values ----------------------------------------------------------------

std::optional<int64_t> ParseInteger(const std::string& aText)
{
  int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, number);
  if (code != std::errc() || stop != end || std::to_string(number) != aText) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> ParseDecimal(const std::string& aText)
{
  const size_t point = aText.find('.');
  const auto whole = ParseInteger(aText.substr(0, point));
  if (!whole || *whole < 0) {
    return std::nullopt;
  }
  if (point == std::string::npos) {
    return static_cast<double>(*whole);
  }
  const std::string decimals = aText.substr(point + 1);
  if (decimals.empty() || decimals.size() > kMaxDecimals ||
      decimals.back() == '0' ||
      decimals.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  double number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::vector<std::string> SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  if (!aText.empty()) {
    boost::split(items, aText, [](char aByte) { return aByte == ','; });
  }
  return items;
}

std::optional<std::vector<WeightedService>> ParseServiceWeights(
  const std::string& aText)
{
  std::vector<WeightedService> services;
  std::set<std::string> seen;
  int64_t total = 0;
  for (const std::string& item : SplitList(aText)) {
    const size_t colon = item.find(':');
    WeightedService service{ item.substr(0, colon), 1 };
    if (colon != std::string::npos) {
      const auto weight = ParseInteger(item.substr(colon + 1));
      if (!weight || *weight < 0 || *weight > kMaxWeight) {
        return std::nullopt;
      }
      service.m_weight = *weight;
    }
    if (!IsWord(service.m_service) || !seen.insert(service.m_service).second) {
      return std::nullopt;
    }
    total += service.m_weight;
    services.push_back(std::move(service));
  }
  return total > 0 ? std::optional(std::move(services)) : std::nullopt;
}

std::string FormatServiceWeights(const std::vector<WeightedService>& aServices)
{
  std::string text;
  for (const WeightedService& service : aServices) {
    text += (text.empty() ? "" : ",") + service.m_service + ":" +
            std::to_string(service.m_weight);
  }
  return text;
}

} // namespace wigeonfold::settings
