#include "Json.h"

#include "wigeonfold/registry/OperatorApi.h"
#include "wigeonfold/settings/Schema.h"

namespace wigeonfold::registry {

std::optional<Version> ParseVersion(const std::string& aText)
{
  const size_t dot = aText.find('.');
  if (dot == std::string::npos) {
    return std::nullopt;
  }
  const auto generation = settings::ParseInteger(aText.substr(0, dot));
  const auto number = settings::ParseInteger(aText.substr(dot + 1));
  if (!generation || !number || *generation < 0 || *number < 0) {
    return std::nullopt;
  }
  return Version{ *generation, *number };
}

Json OperationToJson(const wire::Operation& aOperation)
{
  switch (aOperation.kind) {
    case wire::OperationKind::Set:
      return { { "op", "set" },
               { "path", aOperation.path },
               { "key", aOperation.key },
               { "value", aOperation.value } };
    case wire::OperationKind::Unset:
      return { { "op", "unset" },
               { "path", aOperation.path },
               { "key", aOperation.key } };
    case wire::OperationKind::RemoveBranch:
      return { { "op", "remove" }, { "path", aOperation.path } };
    case wire::OperationKind::ClearBranch:
      return { { "op", "clear" }, { "path", aOperation.path } };
  }
  return { { "op", "unknown" } };
}

Json EditToJson(const wire::Edit& aEdit)
{
  Json edit{ { "path", aEdit.path } };
  if (aEdit.key.empty()) {
    edit["branch"] = aEdit.__isset.after ? "created" : "removed";
    return edit;
  }
  edit["key"] = aEdit.key;
  edit["before"] = aEdit.__isset.before ? Json(aEdit.before) : Json();
  edit["after"] = aEdit.__isset.after ? Json(aEdit.after) : Json();
  return edit;
}

// ---- ObjectReader ----------------------------------------------------------

ObjectReader::ObjectReader(const Json& aObject,
                           std::string aName,
                           std::vector<std::string>& aProblems)
  : m_object(aObject)
  , m_name(std::move(aName))
  , m_problems(aProblems)
{
}

const Json* ObjectReader::Find(const std::string& aField)
{
  m_readFields.insert(aField);
  const auto field = m_object.find(aField);
  return field == m_object.end() ? nullptr : &*field;
}

std::string ObjectReader::ReadString(const std::string& aField,
                                     size_t aMaxBytes,
                                     bool aRequired)
{
  const Json* field = Find(aField);
  if (field == nullptr) {
    if (aRequired) {
      AddProblem(aField, "required");
    }
    return "";
  }
  if (!field->is_string()) {
    AddProblem(aField, "not a string");
    return "";
  }
  const auto& text = field->get_ref<const std::string&>();
  if (text.size() > aMaxBytes) {
    AddProblem(aField, "longer than " + std::to_string(aMaxBytes) + " bytes");
    return "";
  }
  return text;
}

int64_t ObjectReader::ReadId(const std::string& aField)
{
  const Json* field = Find(aField);
  if (field == nullptr) {
    AddProblem(aField, "required");
    return 0;
  }
  std::optional<int64_t> id;
  if (field->is_number_integer()) {
    id = field->get<int64_t>();
  } else if (field->is_string()) {
    id = settings::ParseInteger(field->get_ref<const std::string&>());
  }
  if (!id || *id <= 0) {
    AddProblem(aField, "not a positive whole number");
    return 0;
  }
  return *id;
}

void ObjectReader::AddProblem(const std::string& aField,
                              const std::string& aProblem)
{
  m_problems.push_back(m_name + aField + ": " + aProblem);
}

void ObjectReader::ReportUnknownFields()
{
  for (const auto& item : m_object.items()) {
    if (m_readFields.count(item.key()) == 0) {
      AddProblem(item.key(), "unknown field");
    }
  }
}

Result<Json> ParseObject(const std::string& aText)
{
  Json json = Json::parse(aText, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    return Error{
      ErrorCode::InvalidArgument, "parse body", "", "not a JSON object"
    };
  }
  return json;
}

} // namespace wigeonfold::registry
