/// The one final answer to a request: what an upstream said, or the router's own words; with its log events.
#include <fmt/format.h>
#include <vector>

#include "attempt_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/headers_p.h"
#include "serving_p.h"
#include "spanplank/http_status.h"

namespace spanplank
{
namespace
{
HttpResponse ownAnswer(int _status, const char* _code, std::string_view _message, uint32_t _retryAfterMs)
{
	HttpResponse response;
	response.status = _status;
	response.headers.push_back({"Content-Type", "application/json"});
	if (_retryAfterMs > 0)
	{
		response.headers.push_back({"Retry-After", platform::retryAfterText(_retryAfterMs)});
	}
	response.body = fmt::format(R"({{"error":{{"code":"{}","message":"{}"}}}})", _code, _message);
	return response;
}

/// Cuts off an answer of which the caller has a part.
void breakOff(Serving& _serving, TimeUs _now)
{
	const std::string model = modelOf(_serving);
	const bool another = isValid(pickUpstreamFor(_serving, queryOf(_serving, model), _now));
	const bool room = allowsRetries(retryWindow(_serving.router, _serving.service), 1, _now);
	++_serving.router.stats.answers["broken"];
	logEvent("answer_broken", {{"request", _serving.call.requestId},
							   {"last", name(_serving.last)},
							   {"last_event", std::to_string(_serving.lastEventId)},
							   {"runs", std::to_string(_serving.plan.runs)},
							   {"sends", std::to_string(_serving.plan.sentAttempts)},
							   {"another", another ? "1" : "0"},
							   {"window_room", room ? "1" : "0"},
							   {"left_by_us", _serving.plan.abandonedByRouter ? "1" : "0"},
							   {"left_ms", millisText(_serving.plan.deadline - _now)},
							   {"after_ms", millisText(_now - _serving.plan.arrivedAt)}});
	_serving.exchange.abort();
}

/// Passes on what the last upstream said of its own failure.
void passFailureOn(Serving& _serving, TimeUs _now)
{
	++_serving.router.stats.answers["upstream_failed"];
	logEvent("upstream_failure_passed", {{"request", _serving.call.requestId},
										 {"status", std::to_string(_serving.failedStatus)},
										 {"runs", std::to_string(_serving.plan.runs)},
										 {"after_ms", millisText(_now - _serving.plan.arrivedAt)}});
	_serving.exchange.passOn(_serving.failedStatus, _serving.failedHead, _serving.failedBody);
}

/// Ends a request for which no attempt brought a whole answer.
void finishWithout(Serving& _serving, TimeUs _now)
{
	if (_serving.plan.started)
	{
		breakOff(_serving, _now);
		return;
	}
	if (_serving.endsUpstreams)
	{
		refuseSuspect(_serving);
		return;
	}
	if (_serving.roomRetryAfterMs > 0)
	{
		refuse(_serving, status::kUnavailable, "no_room", "no room for the request in time; it has not run",
			   _serving.roomRetryAfterMs);
		return;
	}
	if (_serving.last == AttemptEnd::Failed && !promisesNotRun(_serving.failedStatus))
	{
		passFailureOn(_serving, _now);
		return;
	}
	const FinalAnswer answer = finalAnswer(_serving.plan, _serving.last, _serving.noUpstream,
										   nextUnit(_serving.router.random), _now, _serving.acceptsAt);
	refuse(_serving, answer.status, answer.code, answer.reason, answer.retryAfterMs);
}
} // namespace

std::string millisText(TimeUs _time)
{
	return fmt::format("{:.1f}", double(_time) / double(kMsToUs));
}

bool promisesNotRun(int _status)
{
	return _status == status::kTooManyRequests || _status == status::kUnavailable ||
		   _status == status::kRequestTimeout || _status == status::kMisdirected;
}

void refuse(Serving& _serving, int _status, const char* _code, std::string_view _message,
			uint32_t _retryAfterMs)
{
	DirectRouter& router = _serving.router;
	++router.stats.answers[_code];
	const TimeUs now = monotonicNow();
	logEvent("request_refused", {{"request", _serving.call.requestId},
								 {"status", std::to_string(_status)},
								 {"code", _code},
								 {"reason", std::string(_message)},
								 {"route", _serving.route != nullptr ? _serving.route->name : ""},
								 {"service", _serving.service},
								 {"config", std::to_string(router.config.config->version)},
								 {"config_age_ms", millisText(now - router.config.confirmedAt)},
								 {"runs", std::to_string(_serving.plan.runs)},
								 {"last", name(_serving.last)},
								 {"retry_after_ms", std::to_string(_retryAfterMs)},
								 {"unread_ms", millisText(_serving.unread)},
								 {"after_ms", millisText(now - _serving.plan.arrivedAt)}});
	_serving.exchange.respond(ownAnswer(_status, _code, _message, _retryAfterMs));
}

void noteCutByStop(const Serving& _serving)
{
	const TimeUs now = monotonicNow();
	std::vector<std::string> waitsFor;
	for (const LiveAttempt* attempt : _serving.live)
	{
		const AttemptNotes& notes = attempt->notes;
		waitsFor.push_back(fmt::format("{}{} for {} ms", notes.record.id,
									   notes.sentAfter == 0   ? " (not sent)"
									   : notes.headAfter == 0 ? " (no head)"
															  : "",
									   millisText(now - notes.begin)));
	}
	++_serving.router.stats.answers["cut_by_stop"];
	logEvent("request_cut", {{"request", _serving.call.requestId},
							 {"route", _serving.route->name},
							 {"started", _serving.plan.started ? "1" : "0"},
							 {"runs", std::to_string(_serving.plan.runs)},
							 {"waits_for", fmt::format("{}", fmt::join(waitsFor, ", "))},
							 {"last_event", std::to_string(_serving.lastEventId)},
							 {"after_ms", millisText(now - _serving.plan.arrivedAt)}});
}

void finishRequest(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	const TimeUs now = monotonicNow();
	if (_serving.last == AttemptEnd::CallerDisconnected)
	{
		++router.stats.answers["caller_left"];
		logEvent("caller_left", {{"request", _serving.call.requestId},
								 {"unread_ms", millisText(_serving.unread)},
								 {"after_ms", millisText(now - _serving.plan.arrivedAt)}});
		_serving.exchange.abort();
		return;
	}
	if (_serving.last != AttemptEnd::Complete)
	{
		finishWithout(_serving, now);
		return;
	}
	++router.stats.answers["whole"];
	noteLatency(router.stats.firstByte, _serving.firstByteAt - _serving.plan.arrivedAt);
	noteLatency(router.stats.whole, now - _serving.plan.arrivedAt);
	logEvent("request_answered", {{"request", _serving.call.requestId},
								  {"route", _serving.route->name},
								  {"account", _serving.account != nullptr ? _serving.account->name : ""},
								  {"runs", std::to_string(_serving.plan.runs)},
								  {"config", std::to_string(_serving.config->version)},
								  {"config_age_ms", millisText(now - router.config.confirmedAt)},
								  {"unread_ms", millisText(_serving.unread)},
								  {"first_ms", millisText(_serving.firstByteAt - _serving.plan.arrivedAt)},
								  {"whole_ms", millisText(now - _serving.plan.arrivedAt)}});
}
} // namespace spanplank
