/// Finds the ends of server-sent events and the ids in them.
#include "spanplank/event_stream.h"

#include <charconv>

namespace spanplank
{
namespace
{
constexpr int64_t kNoId = -1;
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kPlainEnd = "\n\n";
constexpr std::string_view kCarriageEnd = "\r\n\r\n";

/// @returns The `id:` field of an event, or `kNoId`.
int64_t idOf(std::string_view _event)
{
	size_t start = 0;
	while (start < _event.size())
	{
		size_t end = _event.find('\n', start);
		end = end == std::string_view::npos ? _event.size() : end;
		std::string_view line = _event.substr(start, end - start);
		start = end + 1;
		if (line.substr(0, kIdField.size()) != kIdField)
		{
			continue;
		}
		line.remove_prefix(kIdField.size());
		while (!line.empty() && line.front() == ' ')
		{
			line.remove_prefix(1);
		}
		int64_t id = kNoId;
		std::from_chars(line.data(), line.data() + line.size(), id);
		return id;
	}
	return kNoId;
}

/// @returns The end of the first whole event, or npos.
size_t endOfEvent(std::string_view _bytes)
{
	const size_t plain = _bytes.find(kPlainEnd);
	const size_t carriage = _bytes.find(kCarriageEnd);
	const size_t plainEnd = plain == std::string_view::npos ? plain : plain + kPlainEnd.size();
	const size_t carriageEnd = carriage == std::string_view::npos ? carriage : carriage + kCarriageEnd.size();
	return plainEnd < carriageEnd ? plainEnd : carriageEnd;
}
} // namespace

std::string takeEvents(EventSplitter& _splitter, std::string_view _bytes)
{
	_splitter.rest.append(_bytes);
	std::string whole;
	std::string_view left = _splitter.rest;
	while (!_splitter.disordered)
	{
		const size_t end = endOfEvent(left);
		if (end == std::string_view::npos)
		{
			break;
		}
		const std::string_view event = left.substr(0, end);
		left.remove_prefix(end);
		const int64_t id = idOf(event);
		if (id != kNoId && id <= _splitter.lastId)
		{
			_splitter.disordered = true;
			break;
		}
		_splitter.lastId = id == kNoId ? _splitter.lastId : id;
		whole.append(event);
	}
	_splitter.rest.erase(0, _splitter.rest.size() - left.size());
	return whole;
}
} // namespace spanplank
