/// A bounded queue of events with hybrid logical timestamps, by which events of all processes can be merged.
#ifndef SPANPLANK_TIMELINE_H_HEADER_GUARD
#define SPANPLANK_TIMELINE_H_HEADER_GUARD

#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "spanplank/config.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Hybrid logical clock: wall time, us, but never behind a timestamp that was issued or received before.
struct HybridClock
{
	TimeUs last = 0;
};

/// @returns The timestamp of a local event.
TimeUs stamp(HybridClock& _clock, TimeUs _wallNow);

/// Advances the clock to a timestamp that was received from another process.
void receiveTimestamp(HybridClock& _clock, TimeUs _remote);

struct TimelineEvent
{
	TimeUs at = 0;       ///< Hybrid time, microseconds since 1970.
	std::string process; ///< Name of the box of the process.
	std::string event;   ///< Kind of event, for example `halted`.
	std::string subject; ///< Request id, resource or box that the event is about.
	std::string detail;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TimelineEvent, at, process, event, subject, detail)

/// The newest events of a process.
struct Timeline
{
	std::string process;
	HybridClock clock;
	std::deque<TimelineEvent> events;
	size_t maxEvents = kTimelineEvents;
	uint64_t dropped = 0;
};

/// Appends an event. Drops and counts the oldest one if the timeline is full.
void recordEvent(Timeline& _timeline, TimeUs _wallNow, std::string _event, std::string _subject,
				 std::string _detail);

/// @returns The events about a subject; all events if it is empty.
std::vector<TimelineEvent> eventsAbout(const Timeline& _timeline, const std::string& _subject);

/// Sorts the events of several processes by time, events of equal time by process name.
void mergeEvents(std::vector<TimelineEvent>& _events);
} // namespace spanplank

#endif // SPANPLANK_TIMELINE_H_HEADER_GUARD
