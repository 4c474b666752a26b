/// The answer to one attempt: event by event for a timely stream, whole otherwise, and what its end means.
#include <algorithm>
#include <fmt/format.h>

#include "attempt_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/headers_p.h"
#include "spanplank/event_stream.h"
#include "spanplank/http_status.h"
#include "suspects_p.h"
#include "upstream_notices_p.h"
#include "usage_duty_p.h"

namespace spanplank
{
namespace
{
constexpr size_t kMostBuffered = 16u << 20; ///< Bytes of an answer that is read whole before it is passed on.

/// @returns What a step that did not go well makes of the attempt.
AttemptEnd endOf(const Serving& _serving, const LiveAttempt& _attempt, ExchangeState _state)
{
	if (_serving.callerGone)
	{
		return AttemptEnd::CallerDisconnected;
	}
	if (_attempt.overtaken || _attempt.dropped)
	{
		return _attempt.kept ? AttemptEnd::Unresponsive : AttemptEnd::Superseded;
	}
	if (_state == ExchangeState::Cancelled)
	{
		return AttemptEnd::DeadlineExceeded;
	}
	if (_state == ExchangeState::NotConnected)
	{
		return AttemptEnd::NotSent;
	}
	if (_state == ExchangeState::TimedOut)
	{
		return monotonicNow() >= _serving.plan.deadline ? AttemptEnd::DeadlineExceeded
														: AttemptEnd::Unresponsive;
	}
	return AttemptEnd::Aborted;
}

/// Sends whole events to the caller, the first time after the head of the answer.
/// @returns Whether the caller is still there.
bool writeEvents(Serving& _serving, LiveAttempt& _attempt, const HttpExchange::Fields& _head,
				 std::string_view _events)
{
	_serving.lastEventId = _attempt.events.lastEventId;
	if (!_serving.plan.started && !_serving.exchange.passOnHead(status::kOk, _head))
	{
		return false;
	}
	_serving.plan.started = true;
	_serving.plan.abandonedByRouter = false;
	endOthers(_serving, _attempt);
	if (_serving.firstByteAt == 0)
	{
		_serving.firstByteAt = monotonicNow();
	}
	return _serving.exchange.write(_events);
}

void noteEvents(AttemptNotes& _notes, int64_t _lastId, TimeUs _now)
{
	if (_notes.firstEventsAt == 0)
	{
		_notes.firstEventsAt = _now;
		_notes.firstEventsId = _lastId;
	}
	if (_notes.paceFrom == 0)
	{
		_notes.paceFrom = _now;
		_notes.paceFromId = _lastId;
	}
	_notes.lastEventsAt = _now;
	_notes.lastEventId = _lastId;
}

/// Passes events on as they come. Only whole events go out, so that another upstream can go on after them.
AttemptEnd passEvents(Serving& _serving, LiveAttempt& _attempt, const AttemptTimeouts& _times)
{
	UpstreamCall& call = _attempt.call;
	EventSplitter& splitter = _attempt.events;
	HeldAnswer held(_serving.router);
	const HttpExchange::Fields head = platform::encodeAnswerHead(call.head());
	TimeUs by = _times.responseStartDeadline;
	while (!call.done())
	{
		std::string_view piece;
		const ExchangeState state = call.read(piece, by);
		_attempt.notes.bodyBytes += piece.size();
		if (_attempt.overtaken || _attempt.dropped)
		{
			return endOf(_serving, _attempt, state); // What it brought meanwhile is not passed on.
		}
		const std::string events = splitEvents(splitter, piece);
		if (!events.empty())
		{
			noteEvents(_attempt.notes, splitter.lastEventId, monotonicNow());
			noteTokenTime(_serving, _attempt.notes, false);
			if (_attempt.notes.lastEventsAt - _attempt.notes.begin - _attempt.notes.headAfter >=
				kHarmlessWriting)
			{
				clearParts(_serving, _attempt.notes);
			}
			const TimeUs writeFrom = monotonicNow();
			if (!writeEvents(_serving, _attempt, head, events))
			{
				return AttemptEnd::CallerDisconnected;
			}
			_attempt.notes.callerTime += monotonicNow() - writeFrom;
			_attempt.notes.writeTime += monotonicNow() - writeFrom;
			by = std::min(_serving.plan.deadline, monotonicNow() + _times.maxEventGap);
		}
		if (state != ExchangeState::Ok)
		{
			return endOf(_serving, _attempt, state);
		}
		if (splitter.outOfOrder || splitter.tooLong || !held.resize(splitter.partialEvent.size()))
		{
			return AttemptEnd::Aborted;
		}
	}
	// The end of a connection before any event may be the end of the upstream.
	const bool ended = !_attempt.notes.endsWithConnection || _attempt.notes.firstEventsAt != 0;
	const bool whole = splitter.partialEvent.empty() && _serving.plan.started && ended;
	if (!whole || endedWithUpstream(_serving, _attempt.notes))
	{
		return AttemptEnd::Aborted;
	}
	if (_attempt.overtaken || _attempt.dropped) // While its upstream was looked for.
	{
		return endOf(_serving, _attempt, ExchangeState::Ok);
	}
	endOthers(_serving, _attempt);
	return _serving.exchange.finish() ? AttemptEnd::Complete : AttemptEnd::CallerDisconnected;
}

/// Reads an answer whole before the caller gets any of it.
AttemptEnd readWhole(Serving& _serving, LiveAttempt& _attempt, const AttemptTimeouts& _times,
					 HeldAnswer& _held, std::string& _body)
{
	while (!_attempt.call.done())
	{
		std::string_view piece;
		const ExchangeState state = _attempt.call.read(piece, _times.responseStartDeadline);
		_attempt.notes.bodyBytes += piece.size();
		if (state != ExchangeState::Ok)
		{
			return endOf(_serving, _attempt, state);
		}
		_body.append(piece);
		if (_body.size() > kMostBuffered || !_held.resize(_body.capacity()))
		{
			return AttemptEnd::Aborted;
		}
	}
	return AttemptEnd::Complete;
}

/// Reads an answer that is not passed on event by event, and tells what it means.
AttemptEnd takePlainAnswer(Serving& _serving, LiveAttempt& _attempt, const platform::AnswerHeaders& _answer,
						   const AttemptTimeouts& _times)
{
	UpstreamCall& call = _attempt.call;
	const int code = int(call.head().result_int());
	// Before the body: the parser adds trailers to the fields, and these are none of the head (RFC
	// 9110, 6.5.1).
	HttpExchange::Fields head = platform::encodeAnswerHead(call.head());
	std::string body;
	HeldAnswer held(_serving.router);
	const AttemptEnd read = readWhole(_serving, _attempt, _times, held, body);
	if (_answer.notRun && (read == AttemptEnd::Complete || read == AttemptEnd::Aborted))
	{
		return code == status::kMisdirected ? AttemptEnd::Misdirected : AttemptEnd::NotRun;
	}
	if (read != AttemptEnd::Complete)
	{
		return read;
	}
	if (endedWithUpstream(_serving, _attempt.notes))
	{
		return AttemptEnd::Aborted;
	}
	if (code >= status::kFirstServerError || promisesNotRun(code))
	{
		_serving.failedStatus = code;
		_serving.failedHead = std::move(head);
		_serving.failedBody = std::move(body);
		held.resize(0);
		_serving.failedHold.resize(_serving.failedBody.size());
		return AttemptEnd::Failed;
	}
	if (!_answer.signedByUpstream || _serving.plan.started) // A begun stream can't go on with another kind.
	{
		return AttemptEnd::Aborted;
	}
	_serving.firstByteAt = monotonicNow();
	const bool delivered = _serving.exchange.passOn(code, head, body);
	return delivered ? AttemptEnd::Complete : AttemptEnd::CallerDisconnected;
}

void logDoubtKept(const Serving& _serving, double _confidence, double _budgetUsed, bool _noRetry,
				  const NextModelEstimate& _next, TimeUs _now)
{
	logEvent("doubt_kept", {{"request", _serving.call.requestId},
							{"confidence", fmt::format("{:.0f}", _confidence)},
							{"runs", std::to_string(_serving.plan.runs)},
							{"retries_used", fmt::format("{:.2f}", _budgetUsed)},
							{"no_retry", _noRetry ? "1" : "0"},
							{"next_head_ms", fmt::format("{:.0f}", _next.firstTokenMs)},
							{"next_wait_ms", fmt::format("{:.0f}", _next.waitMs)},
							{"pressure", fmt::format("{:.2f}", _next.pressure)},
							{"next_end_ms", fmt::format("{:.0f}", _next.lastTokenMs)},
							{"next_ends_in_time", _next.endsInTime ? "1" : "0"},
							{"after_ms", millisText(_now - _serving.plan.arrivedAt)}});
}

/// Counts and logs a doubted answer that is kept.
/// @param[in] _allowed The confidence limit allowed a second run, but the retry window did not.
void noteKeptAnswer(Serving& _serving, double _confidence, const NextModelEstimate& _next, bool _allowed,
					TimeUs _now)
{
	const RequestPlan& plan = _serving.plan;
	RetryWindow& window = retryWindow(_serving.router, _serving.service);
	NextModelEstimate unbound = _next;
	unbound.endsInTime = true;
	const double used = usedShareForEscalation(window, _now);
	const bool noTime = !_next.endsInTime && _confidence < confidenceLimit(plan, used, unbound, _now);
	_serving.router.stats.completion.secondRunsWithoutTime += noTime ? 1 : 0;
	const bool noRetry = _confidence < confidenceLimit(plan, 0.0, _next, _now);
	if (noRetry && !_allowed)
	{
		recordRefusedRetry(window, _now);
	}
	logDoubtKept(_serving, _confidence, usedShare(window, _now), noRetry, _next, _now);
}

/// @returns Whether an answer is dropped and the next model asked. A doubted answer that is kept is logged
/// with why.
bool isDropped(Serving& _serving, double _confidence)
{
	if (isLastModel(_serving.plan) || _confidence >= kMaxConfidenceLimit) // No limit is above.
	{
		return false;
	}
	RetryWindow& window = retryWindow(_serving.router, _serving.service);
	const TimeUs now = monotonicNow();
	const double used = usedShareForEscalation(window, now);
	const NextModelEstimate next = expectNextModel(_serving);
	// Dropped only once the next attempt is taken from the window: else it might be refused, with nothing
	// left.
	const bool allowed = _confidence < confidenceLimit(_serving.plan, used, next, now);
	if (allowed &&
		acquireEscalation(_serving.plan, window, now, escalationGain(_confidence, urgencyOf(_serving))))
	{
		return true;
	}
	noteKeptAnswer(_serving, _confidence, next, allowed, now);
	return false;
}

/// A process that is hardly run waits long for a connection: meanwhile the upstream may have left, or its
/// version have been rolled back.
bool isStillAllowed(const DirectRouter& _router, const AttemptNotes& _notes)
{
	const bool paced = _notes.asCold || _notes.asLimited;
	return maySendTo(_router.upstreams, _notes.upstream, monotonicNow(), paced) &&
		   !isHalted(_router.trials, _notes.record.service, _notes.record.version);
}
} // namespace

AttemptEnd runCall(Serving& _serving, LiveAttempt& _attempt, const AttemptTimeouts& _times)
{
	UpstreamCall& call = _attempt.call;
	AttemptNotes& notes = _attempt.notes;
	call.onLate([&] { return whenLate(_serving, _attempt); });
	call.onRestart([&] { return replaceAfterRestart(_serving, _attempt); });
	ExchangeState state = call.connect(_times.connectDeadline);
	notes.withdrawn = state == ExchangeState::Ok && !isStillAllowed(_serving.router, notes);
	if (notes.withdrawn)
	{
		return AttemptEnd::NotSent;
	}
	if (state == ExchangeState::Ok)
	{
		notes.sentAfter = std::max<TimeUs>(1, monotonicNow() - notes.begin);
		state = call.send(_times.responseStartDeadline);
	}
	if (state != ExchangeState::Ok)
	{
		return endOf(_serving, _attempt, state);
	}
	notes.headAfter = std::max<TimeUs>(1, monotonicNow() - notes.begin);
	noteReached(_serving, notes);
	const int code = int(call.head().result_int());
	notes.endsWithConnection = call.endsWithConnection();
	const platform::AnswerHeaders answer = platform::readAnswerHeaders(call.head(), code);
	AttemptEnd end = AttemptEnd::Aborted;
	notes.status = code;
	notes.confidence = answer.confidence.value_or(-1.0);
	recordNotices(_serving, notes, answer, code);
	if (!answer.notRun)
	{
		countBegun(_serving);
		recordFirstToken(_serving.router.upstreams, notes.upstream, notes.query, notes.prefillMs,
						 notes.headAfter);
		notes.prefillMs = 0.0;
		if (code == status::kOk) // Errors are answered without reading the prompt.
		{
			noteFirstToken(_serving, notes);
		}
	}
	if (_serving.plan.stream && code == status::kOk && !answer.notRun)
	{
		if (answer.confidence && isDropped(_serving, *answer.confidence))
		{
			return AttemptEnd::LowConfidence;
		}
		end = answer.signedByUpstream ? passEvents(_serving, _attempt, _times) : AttemptEnd::Aborted;
	}
	else
	{
		end = takePlainAnswer(_serving, _attempt, answer, _times);
	}
	if (end == AttemptEnd::Complete)
	{
		clearParts(_serving, notes);
	}
	call.release(answer.keepAliveMs);
	return end;
}
} // namespace spanplank
