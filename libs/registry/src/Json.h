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

// Text of a JSON value; bytes that are not UTF-8 are replaced.
std::string Dump(const Json& aJson);

Json OperationToJson(const wire::Operation& aOperation);
Json EditToJson(const wire::Edit& aEdit);

// Reads the fields of one JSON object and collects all problems.
class ObjectReader
{
public:
  // aName stands in front of each problem.
  ObjectReader(const Json& aObject,
               std::string aName,
               std::vector<std::string>& aProblems);

  // A text of at most aMaxBytes; absent is a problem when aRequired.
  std::string Text(const std::string& aField, size_t aMaxBytes, bool aRequired);
  // A member id: a number, or its digits in a text.
  int64_t Id(const std::string& aField);
  const Json* Find(const std::string& aField);
  void AddProblem(const std::string& aField, const std::string& aProblem);
  // Notes each field that was not asked for.
  void Finish();

private:
  const Json& m_object;
  std::string m_name;
  std::vector<std::string>& m_problems;
  std::set<std::string> m_known;
};

// The object in the text; fails with InvalidArgument.
Result<Json> ParseObject(const std::string& aText);

} // namespace wigeonfold::registry
