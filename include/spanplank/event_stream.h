/// Splits a stream of server-sent events into complete events and tracks their ids.
#ifndef SPANPLANK_EVENT_STREAM_H_HEADER_GUARD
#define SPANPLANK_EVENT_STREAM_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace spanplank
{
/// Longest event, in bytes. An upstream in trouble may send one without an end.
constexpr size_t kMaxEventBytes = 1u << 20;

/// State of a splitter. An event that is still incomplete stays in `partialEvent`.
struct EventSplitter
{
	std::string partialEvent;
	size_t searchedBytes = 0; ///< Of `partialEvent`: no event ends there.
	int64_t lastEventId = -1; ///< Id of the last event returned; -1 if there is none. Remains valid if
							  ///< another upstream resumes the stream.
	bool outOfOrder = false;  ///< An event's id was not greater than the previous one.
	/// An event was longer than `kMaxEventBytes`; it and all later ones are not returned.
	bool tooLong = false;
};

/// Appends received bytes.
/// @returns The events that are complete now, in order. An event whose id is not greater than the previous
/// one sets `outOfOrder`; it and all later events are not returned.
std::string splitEvents(EventSplitter& _splitter, std::string_view _bytes);

/// @returns Whether the last bytes of a stream end with a complete event. A stream that ends with its
/// connection and not so was broken off.
bool endsBetweenEvents(std::string_view _bytes);

/// Discards an incomplete event, before another upstream resumes the stream.
inline void dropPartialEvent(EventSplitter& _splitter)
{
	_splitter.partialEvent.clear();
	_splitter.searchedBytes = 0;
}
} // namespace spanplank

#endif // SPANPLANK_EVENT_STREAM_H_HEADER_GUARD
