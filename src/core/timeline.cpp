/// Records events with hybrid logical timestamps, and merges the events of several processes.
#include "spanplank/timeline.h"

#include <algorithm>

namespace spanplank
{
TimeUs stamp(HybridClock& _clock, TimeUs _wallNow)
{
	_clock.last = std::max(_clock.last + 1, _wallNow);
	return _clock.last;
}

void receiveTimestamp(HybridClock& _clock, TimeUs _remote)
{
	_clock.last = std::max(_clock.last, _remote);
}

void recordEvent(Timeline& _timeline, TimeUs _wallNow, std::string _event, std::string _subject,
				 std::string _detail)
{
	if (_timeline.events.size() >= _timeline.maxEvents)
	{
		_timeline.events.pop_front();
		++_timeline.dropped;
	}
	_timeline.events.push_back({stamp(_timeline.clock, _wallNow), _timeline.process, std::move(_event),
								std::move(_subject), std::move(_detail)});
}

std::vector<TimelineEvent> eventsAbout(const Timeline& _timeline, const std::string& _subject)
{
	std::vector<TimelineEvent> events;
	for (const TimelineEvent& event : _timeline.events)
	{
		if (_subject.empty() || event.subject == _subject)
		{
			events.push_back(event);
		}
	}
	return events;
}

void mergeEvents(std::vector<TimelineEvent>& _events)
{
	std::stable_sort(_events.begin(), _events.end(), [](const TimelineEvent& _a, const TimelineEvent& _b) {
		return _a.at != _b.at ? _a.at < _b.at : _a.process < _b.process;
	});
}
} // namespace spanplank
