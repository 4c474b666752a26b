/// What is done when an upstream's answer is late: the decision is `waitOnUntil`, made on what this router
/// knows at that moment.
#include <fmt/format.h>

#include "attempt_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"

namespace spanplank
{
namespace
{
/// @returns Whether an upstream is left that could take the request if this attempt were given up now. A
/// begun stream is not left for one that is ejected or may be gone: there it would likely be cut.
bool anotherCanTake(Serving& _serving, UpstreamId _current, TimeUs _now)
{
	const RequestPlan plan = _serving.plan;
	_serving.plan.tried.insert(_current.idx);
	++_serving.plan.runs;
	const std::string model = modelOf(_serving);
	const UpstreamId other = pickUpstreamFor(_serving, queryOf(_serving, model), _now);
	_serving.plan = plan;
	if (!isValid(other) || !plan.started)
	{
		return isValid(other);
	}
	const UpstreamTable& table = _serving.router.upstreams;
	const UpstreamEntry& entry = table.entries.at(other.idx);
	return isUsable(table, entry, _now) && entry.health.ejectedUntil <= _now;
}

void logLate(const Serving& _serving, const AttemptNotes& _notes, bool _another, double _used, bool _waitsOn,
			 TimeUs _now)
{
	logEvent("answer_late", {{"request", _serving.call.requestId},
							 {"upstream", _notes.record.id},
							 {"waits_on", _waitsOn ? "1" : "0"},
							 {"another", _another ? "1" : "0"},
							 {"retries_used", fmt::format("{:.2f}", _used)},
							 {"started", _serving.plan.started ? "1" : "0"},
							 {"runs", std::to_string(_serving.plan.runs)},
							 {"last_event", std::to_string(_serving.events.lastId)},
							 {"after_ms", millisText(_now - _serving.plan.arrivedAt)}});
}
} // namespace

std::optional<TimeUs> whenLate(Serving& _serving, AttemptNotes& _notes)
{
	const TimeUs now = monotonicNow();
	RetryWindow& window = retryWindow(_serving.router, _serving.service);
	const double used = usedShare(window, now);
	const bool another = mayBeFollowed(_serving.plan) && anotherCanTake(_serving, _notes.upstream, now);
	const std::optional<TimeUs> until = waitOnUntil(_serving.plan, window, another, now);
	if (!until || !_notes.waitedOn) // A wait is logged once, not each time that it goes on.
	{
		logLate(_serving, _notes, another, used, until.has_value(), now);
	}
	_notes.waitedOn = true;
	return until;
}
} // namespace spanplank
