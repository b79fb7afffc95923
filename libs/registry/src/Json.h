// JSON helpers of the operators' API.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/wire/gen/registry_types.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::registry {

using Json = nlohmann::ordered_json;

Json OperationToJson(const wire::Operation& aOperation);
Json EditToJson(const wire::Edit& aEdit);

// Reads the fields of one JSON object and collects all problems.
class ObjectReader
{
public:
  // aName is the prefix of each problem. Keeps references to aObject and
  // aProblems.
  ObjectReader(const Json& aObject,
               std::string aName,
               std::vector<std::string>& aProblems);

  // A string of at most aMaxBytes; empty when it is absent, which is a problem
  // if aRequired, or invalid.
  std::string ReadString(const std::string& aField,
                         size_t aMaxBytes,
                         bool aRequired);
  // A member id, which is a positive integer or a string of its digits; 0 when
  // it is absent or invalid.
  int64_t ReadId(const std::string& aField);
  // The field's value, or nullptr.
  const Json* Find(const std::string& aField);
  void AddProblem(const std::string& aField, const std::string& aProblem);
  // Adds a problem for each field that no earlier call has read.
  void ReportUnknownFields();

private:
  const Json& m_object;
  std::string m_name;
  std::vector<std::string>& m_problems;
  std::set<std::string> m_readFields;
};

// Parses a JSON object. Fails with InvalidArgument when aText holds none.
Result<Json> ParseObject(const std::string& aText);

} // namespace wigeonfold::registry
