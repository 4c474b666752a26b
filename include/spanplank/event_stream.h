/// Splits a stream of server-sent events into whole events and follows their ids.
#ifndef SPANPLANK_EVENT_STREAM_H_HEADER_GUARD
#define SPANPLANK_EVENT_STREAM_H_HEADER_GUARD

#include <cstdint>
#include <string>
#include <string_view>

namespace spanplank
{
/// Events that came in whole, in order. An event that is still being read stays in `rest`.
struct EventSplitter
{
	std::string rest;
	int64_t lastId = -1;     ///< Id of the last event passed on; -1: none. Survives a change of the upstream.
	bool disordered = false; ///< An id was not above the one before it.
};

/// Takes bytes as they came.
/// @returns The whole events among what was held and what came, ready to pass on. Events whose ids were
/// passed on already are left out. Once `disordered` is set nothing more is returned.
std::string takeEvents(EventSplitter& _splitter, std::string_view _bytes);

/// Forgets an event that was cut off, before another upstream goes on.
inline void dropPartialEvent(EventSplitter& _splitter)
{
	_splitter.rest.clear();
}
} // namespace spanplank

#endif // SPANPLANK_EVENT_STREAM_H_HEADER_GUARD
