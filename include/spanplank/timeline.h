/// A bounded ring of events in hybrid logical time, so that the events of all processes can be merged.
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
/// Hybrid logical clock: wall microseconds, but never behind anything heard of.
struct HybridClock
{
	TimeUs last = 0;
};

/// @returns The time of a local event.
TimeUs stamp(HybridClock& _clock, TimeUs _wallNow);

/// Takes in the time that another process sent.
void hear(HybridClock& _clock, TimeUs _remote);

struct TimelineEvent
{
	TimeUs at = 0;       ///< Hybrid time, microseconds since 1970.
	std::string process; ///< Box of the process.
	std::string event;   ///< Kind of event, for example `halted`.
	std::string subject; ///< Request id, resource or box that it is about.
	std::string detail;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TimelineEvent, at, process, event, subject, detail)

struct Timeline
{
	std::string process;
	HybridClock clock;
	std::deque<TimelineEvent> events;
	size_t maxEvents = kTimelineEvents;
	uint64_t dropped = 0;
};

void recordEvent(Timeline& _timeline, TimeUs _wallNow, std::string _event, std::string _subject,
				 std::string _detail);

/// @returns Events about a subject, or all if it is empty.
std::vector<TimelineEvent> eventsAbout(const Timeline& _timeline, const std::string& _subject);

/// Sorts the events of several processes into one line; ties go by process name.
void mergeEvents(std::vector<TimelineEvent>& _events);
} // namespace spanplank

#endif // SPANPLANK_TIMELINE_H_HEADER_GUARD
