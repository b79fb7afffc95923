#include "wigeonfold/base/Settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <cstddef>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace wigeonfold {

namespace {

// ---- Text to values --------------------------------------------------------

template<class T>
std::optional<T> ParseNumber(const std::string& aText)
{
  T number{};
  const char* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, number);
  if (code != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

struct TimeUnit
{
  const char* m_suffix;
  Duration m_length;
};

// "us" and "ms" come before "s" because they also end in "s".
constexpr std::array<TimeUnit, 4> kTimeUnits{ {
  { "us", std::chrono::microseconds(1) },
  { "ms", std::chrono::milliseconds(1) },
  { "s", std::chrono::seconds(1) },
  { "m", std::chrono::minutes(1) },
} };

std::optional<Duration> ParseDuration(const std::string& aText)
{
  for (const TimeUnit& unit : kTimeUnits) {
    if (!boost::ends_with(aText, unit.m_suffix)) {
      continue;
    }
    const auto number = ParseNumber<int64_t>(
      boost::trim_copy(aText.substr(0, aText.size() - strlen(unit.m_suffix))));
    if (!number || *number < 0 || *number > Duration::max() / unit.m_length) {
      return std::nullopt;
    }
    return unit.m_length * *number;
  }
  return std::nullopt;
}

std::string FormatDuration(Duration aDuration)
{
  for (auto unit = kTimeUnits.rbegin(); unit != kTimeUnits.rend(); ++unit) {
    if (aDuration % unit->m_length == Duration::zero()) {
      return std::to_string(aDuration / unit->m_length) + unit->m_suffix;
    }
  }
  return std::to_string(aDuration.count()) + "ns";
}

// ---- inih binding ----------------------------------------------------------

// Counts lines for inih, whose handler does not report them.
struct LineSource
{
  std::istringstream m_stream;
  int m_line = 0;
};

char* ReadLine(char* aBuffer, int aSize, void* aSource)
{
  auto* source = static_cast<LineSource*>(aSource);
  std::string line;
  if (!std::getline(source->m_stream, line)) {
    return nullptr;
  }
  ++source->m_line;
  const size_t length = std::min(line.size(), static_cast<size_t>(aSize) - 1);
  memcpy(aBuffer, line.data(), length);
  aBuffer[length] = '\0';
  return aBuffer;
}

} // namespace

// ---- Addresses -------------------------------------------------------------

Result<SocketAddress> ParseSocketAddress(const std::string& aText)
{
  const auto fail = [&aText] {
    return Error{ ErrorCode::InvalidArgument,
                  "parse address",
                  "",
                  "'" + aText + "' is not IP:PORT" };
  };
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return fail();
  }
  std::string host = aText.substr(0, colon);
  if (boost::starts_with(host, "[") && boost::ends_with(host, "]")) {
    host = host.substr(1, host.size() - 2);
  }
  const auto port = ParseNumber<uint16_t>(aText.substr(colon + 1));
  std::array<std::byte, sizeof(in6_addr)> address{};
  const bool isAddress =
    inet_pton(AF_INET, host.c_str(), address.data()) == 1 ||
    inet_pton(AF_INET6, host.c_str(), address.data()) == 1;
  if (!isAddress || !port) {
    return fail();
  }
  return SocketAddress{ host, *port };
}

std::string ToString(const SocketAddress& aAddress)
{
  const bool v6 = aAddress.m_host.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + aAddress.m_host + "]" : aAddress.m_host;
  return host + ":" + std::to_string(aAddress.m_port);
}

// ---- Settings file ---------------------------------------------------------

Result<SettingsFile> SettingsFile::Load(const std::string& aPath)
{
  std::ifstream file(aPath);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  if (!file) {
    return Error{
      ErrorCode::Io, "read settings", aPath, "cannot read the file"
    };
  }
  return Parse(aPath, text);
}

SettingsFile SettingsFile::Parse(const std::string& aName,
                                 const std::string& aText)
{
  struct Context
  {
    SettingsFile* m_file;
    LineSource* m_source;
  };
  SettingsFile file;
  file.m_name = aName;
  LineSource source{ std::istringstream(aText) };
  Context context{ &file, &source };
  const auto handler = [](void* aUser,
                          const char* aSection,
                          const char* aKey,
                          const char* aValue) {
    auto* target = static_cast<Context*>(aUser);
    const int line = target->m_source->m_line;
    const auto [existing, added] = target->m_file->m_values[aSection].emplace(
      aKey, Value{ aValue == nullptr ? "" : aValue, line });
    if (!added) {
      target->m_file->m_problems.push_back(
        { line,
          std::string("[") + aSection + "] " + aKey + ": already set in line " +
            std::to_string(existing->second.m_line) });
    }
    return 1;
  };
  const int badLine = ini_parse_stream(ReadLine, &source, handler, &context);
  if (badLine > 0) {
    file.m_problems.push_back(
      { badLine, "expected '[section]' or 'key = value'" });
  }
  return file;
}

const SettingsFile::Value* SettingsFile::Find(const std::string& aSection,
                                              const std::string& aKey)
{
  m_used.emplace(aSection, aKey);
  const auto section = m_values.find(aSection);
  if (section == m_values.end()) {
    return nullptr;
  }
  const auto value = section->second.find(aKey);
  return value == section->second.end() ? nullptr : &value->second;
}

std::string SettingsFile::RequiredString(const std::string& aSection,
                                         const std::string& aKey)
{
  const Value* value = Find(aSection, aKey);
  if (value == nullptr || value->m_text.empty()) {
    AddProblem(aSection, aKey, "required");
    return "";
  }
  return value->m_text;
}

std::string SettingsFile::String(const std::string& aSection,
                                 const std::string& aKey,
                                 const std::string& aDefault)
{
  const Value* value = Find(aSection, aKey);
  return value == nullptr ? aDefault : value->m_text;
}

int64_t SettingsFile::Integer(const std::string& aSection,
                              const std::string& aKey,
                              int64_t aDefault,
                              int64_t aMin,
                              int64_t aMax)
{
  const Value* value = Find(aSection, aKey);
  if (value == nullptr) {
    return aDefault;
  }
  const auto number = ParseNumber<int64_t>(value->m_text);
  if (!number || *number < aMin || *number > aMax) {
    AddProblem(aSection,
               aKey,
               "'" + value->m_text + "' is not a whole number from " +
                 std::to_string(aMin) + " to " + std::to_string(aMax));
    return aDefault;
  }
  return *number;
}

double SettingsFile::Number(const std::string& aSection,
                            const std::string& aKey,
                            double aDefault,
                            double aMin,
                            double aMax)
{
  const Value* value = Find(aSection, aKey);
  if (value == nullptr) {
    return aDefault;
  }
  const auto number = ParseNumber<double>(value->m_text);
  if (!number || !(*number >= aMin && *number <= aMax)) {
    AddProblem(aSection,
               aKey,
               "'" + value->m_text + "' is not a number from " +
                 std::to_string(aMin) + " to " + std::to_string(aMax));
    return aDefault;
  }
  return *number;
}

bool SettingsFile::Boolean(const std::string& aSection,
                           const std::string& aKey,
                           bool aDefault)
{
  const Value* value = Find(aSection, aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (value->m_text != "true" && value->m_text != "false") {
    AddProblem(aSection, aKey, "'" + value->m_text + "' is not true or false");
    return aDefault;
  }
  return value->m_text == "true";
}

Duration SettingsFile::Time(const std::string& aSection,
                            const std::string& aKey,
                            Duration aDefault,
                            Duration aMin,
                            Duration aMax)
{
  const Value* value = Find(aSection, aKey);
  if (value == nullptr) {
    return aDefault;
  }
  const auto duration = ParseDuration(value->m_text);
  if (!duration || *duration < aMin || *duration > aMax) {
    AddProblem(aSection,
               aKey,
               "'" + value->m_text + "' is not a time from " +
                 FormatDuration(aMin) + " to " + FormatDuration(aMax) +
                 " with a unit (us, ms, s, m)");
    return aDefault;
  }
  return *duration;
}

SocketAddress SettingsFile::RequiredAddress(const std::string& aSection,
                                            const std::string& aKey)
{
  const auto address = Address(aSection, aKey);
  const auto section = m_values.find(aSection);
  const bool present =
    section != m_values.end() && section->second.count(aKey) > 0;
  if (!present) {
    AddProblem(aSection, aKey, "required");
  }
  return address.value_or(SocketAddress{});
}

std::optional<SocketAddress> SettingsFile::Address(const std::string& aSection,
                                                   const std::string& aKey)
{
  const Value* value = Find(aSection, aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  auto address = ParseSocketAddress(value->m_text);
  if (!address) {
    AddProblem(aSection, aKey, address.error().m_detail);
    return std::nullopt;
  }
  return address.value();
}

std::vector<SocketAddress> SettingsFile::Addresses(const std::string& aSection,
                                                   const std::string& aKey)
{
  std::vector<SocketAddress> addresses;
  const Value* value = Find(aSection, aKey);
  if (value == nullptr) {
    return addresses;
  }
  std::vector<std::string> parts;
  boost::split(parts, value->m_text, boost::is_any_of(","));
  for (const std::string& part : parts) {
    auto address = ParseSocketAddress(boost::trim_copy(part));
    if (address) {
      addresses.push_back(address.value());
    } else {
      AddProblem(aSection, aKey, address.error().m_detail);
    }
  }
  return addresses;
}

std::vector<std::string> SettingsFile::Keys(const std::string& aSection) const
{
  std::vector<std::string> keys;
  const auto section = m_values.find(aSection);
  if (section != m_values.end()) {
    for (const auto& [key, value] : section->second) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<std::string> SettingsFile::Sections() const
{
  std::vector<std::string> sections;
  for (const auto& [section, values] : m_values) {
    sections.push_back(section);
  }
  return sections;
}

void SettingsFile::AddProblem(const std::string& aSection,
                              const std::string& aKey,
                              const std::string& aProblem)
{
  int line = 0;
  const auto section = m_values.find(aSection);
  if (section != m_values.end() && section->second.count(aKey) > 0) {
    line = section->second.at(aKey).m_line;
  }
  m_problems.push_back(
    { line, "[" + aSection + "] " + aKey + ": " + aProblem });
}

std::vector<std::string> SettingsFile::Finish() const
{
  std::vector<Problem> problems = m_problems;
  for (const auto& [section, values] : m_values) {
    for (const auto& [key, value] : values) {
      if (m_used.count({ section, key }) == 0) {
        problems.push_back(
          { value.m_line, "[" + section + "] " + key + ": unknown key" });
      }
    }
  }
  std::stable_sort(problems.begin(),
                   problems.end(),
                   [](const Problem& aLeft, const Problem& aRight) {
                     return aLeft.m_line < aRight.m_line;
                   });
  std::vector<std::string> lines;
  for (const Problem& problem : problems) {
    lines.push_back(m_name + ":" + std::to_string(problem.m_line) + ": " +
                    problem.m_text);
  }
  return lines;
}

} // namespace wigeonfold
