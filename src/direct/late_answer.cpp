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
bool anotherCanTake(Serving& _serving, const LiveAttempt& _attempt, TimeUs _now)
{
	const RequestPlan plan = _serving.plan;
	_serving.plan.tried.insert(_attempt.notes.upstream.idx);
	_serving.plan.runs += _attempt.kept ? 0 : 1;
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
							 {"kept", !_waitsOn && _serving.plan.started ? "1" : "0"},
							 {"another", _another ? "1" : "0"},
							 {"retries_used", fmt::format("{:.2f}", _used)},
							 {"started", _serving.plan.started ? "1" : "0"},
							 {"runs", std::to_string(_serving.plan.runs)},
							 {"last_event", std::to_string(_serving.lastEventId)},
							 {"after_ms", millisText(_now - _serving.plan.arrivedAt)}});
}
} // namespace

bool replaceAfterRestart(Serving& _serving, const LiveAttempt& _attempt)
{
	const TimeUs now = monotonicNow();
	// A begun answer is lost if the attempt in its place breaks; one that has not begun can be repeated.
	const bool another = !_serving.plan.started && allowsFurtherAttempt(_serving.plan, _attempt.kept) &&
						 anotherCanTake(_serving, _attempt, now);
	return another &&
		   !extendTimeout(_serving.plan, retryWindow(_serving.router, _serving.service), another, now);
}

std::optional<TimeUs> whenLate(Serving& _serving, LiveAttempt& _attempt)
{
	const TimeUs now = monotonicNow();
	RetryWindow& window = retryWindow(_serving.router, _serving.service);
	const bool askedBeside = _attempt.kept && _serving.searching;
	AttemptNotes& notes = _attempt.notes;
	const double used = usedShare(window, now);
	const bool another = !askedBeside && allowsFurtherAttempt(_serving.plan, _attempt.kept) &&
						 anotherCanTake(_serving, _attempt, now);
	const std::optional<TimeUs> until = extendTimeout(_serving.plan, window, another, now, _attempt.kept);
	if (!until || !notes.waitedOn) // A wait is logged once, not each time that it goes on.
	{
		logLate(_serving, notes, another, used, until.has_value(), now);
	}
	notes.waitedOn = true;
	if (until || !_serving.plan.started || now >= _serving.plan.deadline)
	{
		return until;
	}
	keepBeside(_serving, _attempt);
	return extendTimeout(_serving.plan, window, false, now, true);
}
} // namespace spanplank
