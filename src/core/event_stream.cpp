/// Finds the boundaries and ids of server-sent events.
#include "spanplank/event_stream.h"

#include <algorithm>
#include <charconv>

namespace spanplank
{
namespace
{
constexpr int64_t kNoId = -1;
constexpr std::string_view kIdField = "id:";
constexpr std::string_view kLfEnd = "\n\n";
constexpr std::string_view kCrLfEnd = "\r\n\r\n";

/// @returns Value of the event's `id:` field, or `kNoId` if it has none.
int64_t eventId(std::string_view _event)
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

/// @param[in] _from No event ends before it.
/// @returns Offset behind the first complete event, or npos if there is none.
size_t endOfEvent(std::string_view _bytes, size_t _from)
{
	const size_t lf = _bytes.find(kLfEnd, _from);
	const size_t lfEnd = lf == std::string_view::npos ? lf : lf + kLfEnd.size();
	const size_t crLf = _bytes.substr(0, lfEnd).find(kCrLfEnd, _from);
	return crLf == std::string_view::npos ? lfEnd : crLf + kCrLfEnd.size();
}
} // namespace

bool endsBetweenEvents(std::string_view _bytes)
{
	const auto endsWith = [_bytes](std::string_view _end) {
		return _bytes.size() >= _end.size() && _bytes.substr(_bytes.size() - _end.size()) == _end;
	};
	return endsWith(kLfEnd) || endsWith(kCrLfEnd);
}

std::string splitEvents(EventSplitter& _splitter, std::string_view _bytes)
{
	_splitter.partialEvent.append(_bytes);
	std::string complete;
	std::string_view remaining = _splitter.partialEvent;
	// The last bytes that were searched may begin the end of an event.
	size_t from = _splitter.searchedBytes - std::min(_splitter.searchedBytes, kCrLfEnd.size() - 1);
	while (!_splitter.outOfOrder)
	{
		const size_t end = endOfEvent(remaining, from);
		from = 0;
		if (end == std::string_view::npos)
		{
			break;
		}
		const std::string_view event = remaining.substr(0, end);
		remaining.remove_prefix(end);
		const int64_t id = eventId(event);
		if (id != kNoId && id <= _splitter.lastEventId)
		{
			_splitter.outOfOrder = true;
			break;
		}
		_splitter.lastEventId = id == kNoId ? _splitter.lastEventId : id;
		complete.append(event);
	}
	_splitter.partialEvent.erase(0, _splitter.partialEvent.size() - remaining.size());
	_splitter.searchedBytes = _splitter.outOfOrder ? 0 : _splitter.partialEvent.size();
	_splitter.tooLong = _splitter.partialEvent.size() > kMaxEventBytes;
	return complete;
}
} // namespace spanplank
