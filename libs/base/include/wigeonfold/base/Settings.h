// Checked process settings in INI form.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold {

// An IP address and a port, written "127.0.0.1:8080" or "[::1]:8080".
struct SocketAddress
{
  std::string m_host;
  uint16_t m_port = 0;

  bool operator==(const SocketAddress&) const = default;
};

Result<SocketAddress> ParseSocketAddress(const std::string& aText);
std::string ToString(const SocketAddress& aAddress);

// Reads a settings file as a whole. Each getter returns the value or the
// default and records a problem with file and line; Finish() lists all problems
// at once, unknown keys included, so that no process starts with a bad file.
// Durations carry a unit: us, ms, s, m. Not thread safe.
class SettingsFile
{
public:
  // Fails with Io when the file can't be read; syntax errors are problems.
  static Result<SettingsFile> Load(const std::string& aPath);
  // aName is the file name used in problems.
  static SettingsFile Parse(const std::string& aName, const std::string& aText);

  std::string RequiredString(const std::string& aSection,
                             const std::string& aKey);
  std::string String(const std::string& aSection,
                     const std::string& aKey,
                     const std::string& aDefault);
  int64_t Integer(const std::string& aSection,
                  const std::string& aKey,
                  int64_t aDefault,
                  int64_t aMin,
                  int64_t aMax);
  // A decimal number such as 3.08.
  double Number(const std::string& aSection,
                const std::string& aKey,
                double aDefault,
                double aMin,
                double aMax);
  bool Boolean(const std::string& aSection,
               const std::string& aKey,
               bool aDefault);
  Duration Time(const std::string& aSection,
                const std::string& aKey,
                Duration aDefault,
                Duration aMin,
                Duration aMax);
  SocketAddress RequiredAddress(const std::string& aSection,
                                const std::string& aKey);
  std::optional<SocketAddress> Address(const std::string& aSection,
                                       const std::string& aKey);
  // Comma-separated addresses.
  std::vector<SocketAddress> Addresses(const std::string& aSection,
                                       const std::string& aKey);
  // All keys of a section; for sections in which any key is valid, such as a
  // table of members.
  std::vector<std::string> Keys(const std::string& aSection) const;
  // Sections that have at least one key.
  std::vector<std::string> Sections() const;

  // Adds a problem found by the caller, such as an invalid combination.
  void AddProblem(const std::string& aSection,
                  const std::string& aKey,
                  const std::string& aProblem);

  // Problems in the order of the file: "file:line: [section] key: problem". The
  // line is 0 for a key that the file does not set.
  std::vector<std::string> Finish() const;

private:
  struct Value
  {
    std::string m_text;
    int m_line = 0;
  };
  struct Problem
  {
    int m_line = 0;
    std::string m_text;
  };

  const Value* Find(const std::string& aSection, const std::string& aKey);

  std::string m_name;
  std::map<std::string, std::map<std::string, Value>> m_values;
  std::set<std::pair<std::string, std::string>> m_used;
  std::vector<Problem> m_problems;
};

} // namespace wigeonfold
