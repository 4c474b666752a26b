#include "spanplank/resources.h"

#include <fmt/format.h>

namespace spanplank
{
namespace
{
using nlohmann::json;

enum class FieldType : uint8_t
{
	String,
	StringList,
	Number,
	Share,
	Count,
	Boolean,
	State,
};

struct FieldRule
{
	const char* name;
	FieldType type;
	bool required;
};

struct KindRule
{
	const char* kind;
	std::vector<FieldRule> fields;
};

const std::vector<KindRule>& kindRules()
{
	static const std::vector<KindRule> s_rules = {
		{kKindAccount,
		 {{"keyHashes", FieldType::StringList, true},
		  {"allowed", FieldType::StringList, true},
		  {"weight", FieldType::Number, false}}},
		{kKindModel, {{"quality", FieldType::Share, false}}},
		{kKindVersion,
		 {{"model", FieldType::String, true},
		  {"state", FieldType::State, false},
		  {"generation", FieldType::Count, false},
		  {"costPerKiloToken", FieldType::Number, false},
		  {"badRate", FieldType::Share, false},
		  {"haltRate", FieldType::Share, false}}},
		{kKindCascade,
		 {{"steps", FieldType::StringList, true},
		  {"qualityTarget", FieldType::Share, false},
		  {"confidence", FieldType::Share, false}}},
		{kKindRollout,
		 {{"candidate", FieldType::String, true},
		  {"exposure", FieldType::Count, false},
		  {"share", FieldType::Share, false},
		  {"badRate", FieldType::Share, false},
		  {"haltRate", FieldType::Share, false},
		  {"paused", FieldType::Boolean, false}}},
		{kKindService, {{"repeatable", FieldType::Boolean, false}}},
	};
	return s_rules;
}

bool isStringList(const json& _value)
{
	if (!_value.is_array())
	{
		return false;
	}
	for (const json& item : _value)
	{
		if (!item.is_string() || item.get_ref<const std::string&>().empty())
		{
			return false;
		}
	}
	return true;
}

/// @returns Error message, or null if the value is valid.
const char* fieldError(FieldType _type, const json& _value)
{
	switch (_type)
	{
	case FieldType::String:
		return _value.is_string() && !_value.get_ref<const std::string&>().empty() ? nullptr
																				   : "must be a string";
	case FieldType::StringList:
		return isStringList(_value) ? nullptr : "must be a list of strings";
	case FieldType::Number:
		return _value.is_number() && _value.get<double>() > 0 ? nullptr : "must be a number above 0";
	case FieldType::Share:
		return _value.is_number() && _value.get<double>() >= 0 && _value.get<double>() <= 1
				   ? nullptr
				   : "must be a number from 0 to 1";
	case FieldType::Count:
		return _value.is_number_integer() && _value.get<int64_t>() >= 1 && _value.get<int64_t>() <= 1000000
				   ? nullptr
				   : "must be an integer from 1 to 1000000";
	case FieldType::Boolean:
		return _value.is_boolean() ? nullptr : "must be true or false";
	case FieldType::State:
		return _value == "candidate" || _value == "serving" || _value == "retiring" || _value == "withdrawn"
				   ? nullptr
				   : "must be candidate, serving, retiring or withdrawn";
	}
	return "has no validation rule";
}

const FieldRule* findField(const KindRule& _rule, const std::string& _name)
{
	for (const FieldRule& field : _rule.fields)
	{
		if (_name == field.name)
		{
			return &field;
		}
	}
	return nullptr;
}

void checkFields(const KindRule& _rule, const json& _spec, std::vector<std::string>& _errors)
{
	for (const auto& item : _spec.items())
	{
		const FieldRule* field = findField(_rule, item.key());
		if (field == nullptr)
		{
			_errors.push_back(fmt::format("spec.{}: unknown field", item.key()));
			continue;
		}
		if (const char* error = fieldError(field->type, item.value()))
		{
			_errors.push_back(fmt::format("spec.{}: {}", item.key(), error));
		}
	}
	for (const FieldRule& field : _rule.fields)
	{
		if (field.required && !_spec.contains(field.name))
		{
			_errors.push_back(fmt::format("spec.{}: is missing", field.name));
		}
	}
}

bool isName(const std::string& _name)
{
	const char* allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.@";
	return !_name.empty() && _name.size() <= 128 && _name.find_first_not_of(allowed) == std::string::npos;
}
} // namespace

std::vector<std::string> validateResource(const std::string& _kind, const std::string& _name,
										  const json& _spec)
{
	std::vector<std::string> errors;
	if (!isName(_name))
	{
		errors.emplace_back("name: must be 1 to 128 letters, digits or characters of - _ . @");
	}
	if (!_spec.is_object())
	{
		errors.emplace_back("spec: must be an object");
		return errors;
	}
	for (const KindRule& rule : kindRules())
	{
		if (_kind == rule.kind)
		{
			checkFields(rule, _spec, errors);
			return errors;
		}
	}
	errors.push_back(fmt::format("kind: unknown kind '{}'", _kind));
	return errors;
}
} // namespace spanplank
