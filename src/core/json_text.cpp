/// Reads JSON that others have written.
#include "spanplank/json_text.h"

#include <string>

namespace spanplank
{
namespace
{
using nlohmann::json;

/// Ends the reading of a text that is nested too deeply.
class ShallowReader : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
	explicit ShallowReader(json& _value) : json_sax_dom_parser(_value, false)
	{
	}

	bool start_object(size_t _elements)
	{
		return ++m_depth <= kMaxJsonDepth && json_sax_dom_parser::start_object(_elements);
	}

	bool end_object()
	{
		--m_depth;
		return json_sax_dom_parser::end_object();
	}

	bool start_array(size_t _elements)
	{
		return ++m_depth <= kMaxJsonDepth && json_sax_dom_parser::start_array(_elements);
	}

	bool end_array()
	{
		--m_depth;
		return json_sax_dom_parser::end_array();
	}

private:
	size_t m_depth = 0;
};

std::string_view trimmed(std::string_view _text)
{
	constexpr std::string_view kSpace = " \t\r\n"; // RFC 8259, section 2.
	const size_t begin = _text.find_first_not_of(kSpace);
	return begin == std::string_view::npos ? std::string_view()
										   : _text.substr(begin, _text.find_last_not_of(kSpace) + 1 - begin);
}

/// @returns Where the string that begins at a quotation mark ends: after its last mark, or the text's end.
size_t afterString(std::string_view _text, size_t _begin)
{
	for (size_t at = _begin + 1; at < _text.size(); ++at)
	{
		if (_text[at] == '"')
		{
			return at + 1;
		}
		at += _text[at] == '\\' ? 1 : 0;
	}
	return _text.size();
}
} // namespace

json readJson(std::string_view _text)
{
	json value;
	ShallowReader reader(value);
	if (!json::sax_parse(_text, &reader))
	{
		value = json(json::value_t::discarded);
	}
	return value;
}

json parseJson(std::string_view _text)
{
	json value = readJson(_text);
	if (value.is_discarded())
	{
		constexpr int kParseError = 101; // As the library numbers it.
		throw json::other_error::create(kParseError,
										"no JSON, or nested too deeply, or a number out of range",
										static_cast<const json*>(nullptr));
	}
	return value;
}

std::vector<std::string_view> jsonElements(std::string_view _array)
{
	const std::string_view array = trimmed(_array);
	if (array.size() < 2 || array.front() != '[' || array.back() != ']')
	{
		return {};
	}
	std::vector<std::string_view> elements;
	const std::string_view inner = trimmed(array.substr(1, array.size() - 2));
	size_t begin = 0;
	size_t depth = 0;
	for (size_t at = 0; at < inner.size();)
	{
		const char byte = inner[at];
		if (byte == ',' && depth == 0)
		{
			elements.push_back(trimmed(inner.substr(begin, at - begin)));
			begin = at + 1;
		}
		depth += byte == '[' || byte == '{' ? 1 : 0;
		depth -= depth > 0 && (byte == ']' || byte == '}') ? 1 : 0;
		at = byte == '"' ? afterString(inner, at) : at + 1;
	}
	if (!inner.empty())
	{
		elements.push_back(trimmed(inner.substr(begin)));
	}
	return elements;
}
} // namespace spanplank
