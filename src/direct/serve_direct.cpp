/// One caller's request in direct mode: checks, attempts, the answer. The decisions are in `request_plan.h`,
/// `upstream_table.h` and `version_trial.h`.
#include <fmt/format.h>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/headers_p.h"
#include "spanplank/event_stream.h"

namespace spanplank
{
namespace
{
/// Of the revocation bound: a watch may be silent for a moment while changes are made.
constexpr double kFreshShare = 0.9;
constexpr uint32_t kUnknownRetryMs = 300; ///< Told while this router knows no configuration, or none fresh.
constexpr TimeUs kBlankWait = 400 * kMsToUs; ///< From the start; a store that answers does so in far less.
constexpr uint32_t kBlankPollMs = 3;
constexpr TimeUs kLateStop = 2600 * kMsToUs; ///< The balancer has seen the stop by then.
constexpr uint32_t kStoppingRetryMs = 20;    ///< Another router takes the request at once.
constexpr double kLeastExpectedMs =
	20.0; ///< Shorter expectations say nothing: connections and steps take as long.
constexpr size_t kMostBuffered = 16u << 20; ///< Bytes of an answer that is read whole before it is passed on.

/// One request and what its attempts need.
struct Serving
{
	Serving(DirectRouter& _router, HttpExchange& _exchange) : router(_router), exchange(_exchange)
	{
	}

	DirectRouter& router;
	HttpExchange& exchange;
	platform::CallHeaders call;
	ServiceConfigPtr config; ///< The request is judged by the configuration that it began with.
	const Route* route = nullptr;
	const ClientAccount* account = nullptr;
	std::string service;
	RequestPlan plan;
	EventSplitter events;
	bool callerGone = false;
	UpstreamCall* running = nullptr;
	AttemptEnd last = AttemptEnd::NotSent;
	TimeUs firstByteAt = 0;
	// Of the answer that is passed on as it is, if the last upstream failed by its own word.
	int failedStatus = 0;
	HttpExchange::Fields failedHead;
	std::string failedBody;
};

std::string ms(TimeUs _time)
{
	return fmt::format("{:.1f}", double(_time) / double(kMsToUs));
}

// ---- Refusals ---------------------------------------------------------------------------------------------

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
								 {"config_age_ms", ms(now - router.config.provedAt)},
								 {"runs", std::to_string(_serving.plan.runs)},
								 {"last", name(_serving.last)},
								 {"after_ms", ms(now - _serving.plan.arrivedAt)}});
	_serving.exchange.respond(ownAnswer(_status, _code, _message, _retryAfterMs));
}

// ---- Checks -----------------------------------------------------------------------------------------------

/// A router that has just started reads the store within a few milliseconds: that is sooner than any retry.
void awaitFirstConfig(const DirectRouter& _router)
{
	const TimeUs until = _router.startedAt + kBlankWait;
	while (_router.config.provedAt == 0 && monotonicNow() < until)
	{
		sleepFor(kBlankPollMs);
	}
}

/// @returns Whether the configuration allows the request; otherwise it has been refused.
bool admitByConfig(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	const HttpRequest& request = _serving.exchange.request();
	awaitFirstConfig(router);
	_serving.config = router.config.config;
	if (_serving.config->version == 0)
	{
		refuse(_serving, 503, "no_config", "this router knows no configuration yet", kUnknownRetryMs);
		return false;
	}
	const std::string_view target(request.target().data(), request.target().size());
	const boost::beast::string_view host = request[boost::beast::http::field::host];
	_serving.route =
		findRoute(*_serving.config, {host.data(), host.size()}, target.substr(0, target.find('?')));
	if (_serving.route == nullptr)
	{
		refuse(_serving, 404, "no_route", "no route has this host and path", 0);
		return false;
	}
	const bool keyed = !_serving.config->accounts.empty();
	if (!keyed || (_serving.call.key.empty() && _serving.route->anonymous))
	{
		return true;
	}
	const TimeUs bound = TimeUs(double(router.settings.revokeMs) * kFreshShare * double(kMsToUs));
	if (!isProvedFresh(router.config, monotonicNow(), bound))
	{
		refuse(_serving, 503, "config_unproved", "the key can't be checked: the store is not reached",
			   kUnknownRetryMs);
		return false;
	}
	_serving.account = findAccount(*_serving.config, _serving.call.key);
	if (_serving.account == nullptr && !_serving.route->anonymous)
	{
		refuse(_serving, 401, "bad_key", "the key is missing or not known", 0);
		return false;
	}
	return true;
}

/// @returns Whether a request that came late in a planned stop can still end within it; otherwise it was
/// refused.
bool admitByStop(Serving& _serving)
{
	const DirectRouter& router = _serving.router;
	if (!router.stopping || monotonicNow() - router.stoppingSince < kLateStop ||
		_serving.plan.deadline <= router.stopsAt)
	{
		return true;
	}
	refuse(_serving, 503, "stopping", "this router stops before the request could end", kStoppingRetryMs);
	return false;
}

// ---- One attempt ------------------------------------------------------------------------------------------

/// The same for all requests of a session, and for all attempts of a request without one.
uint64_t sessionHash(const Serving& _serving)
{
	return stableHash(_serving.call.session.empty() ? _serving.call.requestId : _serving.call.session);
}

std::string modelOf(const Serving& _serving)
{
	return _serving.plan.models.empty() ? _serving.call.model : _serving.plan.models[_serving.plan.model];
}

/// What the attempt needs of an upstream. The views in it last as long as the serving and the model's name.
UpstreamQuery queryOf(const Serving& _serving, const std::string& _model)
{
	UpstreamQuery query;
	query.service = _serving.service;
	query.hall = _serving.router.settings.hall;
	query.model = _model;
	query.repeatable = _serving.plan.repeatable;
	query.tried = &_serving.plan.tried;
	const std::vector<platform::PromptPart>& parts = _serving.call.parts;
	if (parts.empty())
	{
		return query;
	}
	uint64_t hash = stableHash(_model);
	uint32_t shared = 0;
	for (size_t ii = 0; ii + 1 < parts.size(); ++ii) // The last part is the request's own.
	{
		hash = stableHash(parts[ii].id, hash);
		query.shared.push_back({hash, parts[ii].tokens});
		shared += parts[ii].tokens;
	}
	query.ownTokens = std::max(_serving.call.promptTokens, shared + parts.back().tokens) - shared;
	return query;
}

/// Picks an upstream within the versions allowed; without one among them, any but a version that was rolled
/// back.
UpstreamId pickUpstreamFor(Serving& _serving, UpstreamQuery _query, const VersionChoice& _choice, TimeUs _now)
{
	DirectRouter& router = _serving.router;
	_query.version = _choice.only;
	_query.notVersion = _choice.never;
	const UpstreamId picked = pickDirectUpstream(router.upstreams, _query, _now, router.random);
	if (isValid(picked))
	{
		return picked;
	}
	const std::string halted = haltedVersion(router.trials, _serving.service);
	_query.version = "";
	_query.notVersion = halted;
	return pickDirectUpstream(router.upstreams, _query, _now, router.random);
}

/// What is noted while an attempt runs.
struct AttemptNotes
{
	UpstreamId upstream;
	const UpstreamQuery& query;
	TimeUs begin = 0;
	TimeUs headAfter = 0;     ///< Time until the head came; 0: none did.
	double prefillMs = 0.0;   ///< Still counted at the upstream.
	double confidence = -1.0; ///< The model's own; -1: it told none.
	std::string error;
};

HttpExchange::Fields attemptHead(const Serving& _serving, const UpstreamRecord& _upstream, TimeUs _now)
{
	platform::AttemptHeaders headers;
	headers.deadlineMs = uint32_t(std::max<TimeUs>(1, (_serving.plan.deadline - _now) / kMsToUs));
	headers.upstreamId = _upstream.id;
	headers.account = _serving.account != nullptr ? _serving.account->name : "";
	headers.model = _serving.plan.models.empty() ? "" : modelOf(_serving);
	if (_serving.events.lastId >= 0)
	{
		headers.lastEventId = _serving.events.lastId;
	}
	if (_serving.plan.stream)
	{
		constexpr uint32_t kMostUrgency = 9;
		const uint32_t account = _serving.account != nullptr ? _serving.account->priority : 0;
		headers.urgency = std::min(kMostUrgency, account * 3 + _serving.route->priority);
	}
	return platform::encodeAttemptHead(_serving.exchange.request(), headers);
}

AttemptEnd endOf(const Serving& _serving, CallState _state)
{
	if (_serving.callerGone || _state == CallState::Cancelled)
	{
		return AttemptEnd::CallerLeft;
	}
	if (_state == CallState::NotConnected)
	{
		return AttemptEnd::NotSent;
	}
	if (_state == CallState::TimedOut)
	{
		return monotonicNow() >= _serving.plan.deadline ? AttemptEnd::TimeUp : AttemptEnd::Silent;
	}
	return AttemptEnd::Broken;
}

bool writeToCaller(Serving& _serving, std::string_view _bytes)
{
	if (_serving.firstByteAt == 0)
	{
		_serving.firstByteAt = monotonicNow();
	}
	return _serving.exchange.write(_bytes);
}

/// Passes events on as they come. Only whole events go out, so that another upstream can go on after them.
AttemptEnd passEvents(Serving& _serving, UpstreamCall& _call, const AttemptTimes& _times)
{
	const HttpExchange::Fields head = platform::encodeAnswerHead(_call.head());
	dropPartialEvent(_serving.events);
	TimeUs by = _times.headBy;
	while (!_call.done())
	{
		std::string_view piece;
		const CallState state = _call.read(piece, by);
		const std::string events = takeEvents(_serving.events, piece);
		if (!events.empty())
		{
			if (!_serving.plan.started && !_serving.exchange.passOnHead(200, head))
			{
				return AttemptEnd::CallerLeft;
			}
			_serving.plan.started = true;
			if (!writeToCaller(_serving, events))
			{
				return AttemptEnd::CallerLeft;
			}
			by = std::min(_serving.plan.deadline, monotonicNow() + _times.gap);
		}
		if (state != CallState::Ok)
		{
			return endOf(_serving, state);
		}
		if (_serving.events.disordered)
		{
			_serving.events.disordered = false;
			return AttemptEnd::Broken;
		}
	}
	const bool whole = _serving.events.rest.empty() && _serving.plan.started;
	if (!whole)
	{
		return AttemptEnd::Broken;
	}
	return _serving.exchange.finish() ? AttemptEnd::Whole : AttemptEnd::CallerLeft;
}

/// Reads an answer whole before the caller gets any of it.
AttemptEnd readWhole(Serving& _serving, UpstreamCall& _call, const AttemptTimes& _times, std::string& _body)
{
	while (!_call.done())
	{
		std::string_view piece;
		const CallState state = _call.read(piece, _times.headBy);
		if (state != CallState::Ok)
		{
			return endOf(_serving, state);
		}
		_body.append(piece);
		if (_body.size() > kMostBuffered)
		{
			return AttemptEnd::Broken;
		}
	}
	return AttemptEnd::Whole;
}

bool promisesNotRun(int _status)
{
	return _status == 429 || _status == 503 || _status == 408 || _status == 421;
}

/// Reads an answer that is not passed on event by event, and tells what it means.
AttemptEnd takePlainAnswer(Serving& _serving, UpstreamCall& _call, const platform::AnswerHeaders& _answer,
						   const AttemptTimes& _times)
{
	const int status = int(_call.head().result_int());
	std::string body;
	const AttemptEnd read = readWhole(_serving, _call, _times, body);
	if (_answer.notRun && (read == AttemptEnd::Whole || read == AttemptEnd::Broken))
	{
		constexpr int kMisdirected = 421;
		return status == kMisdirected ? AttemptEnd::Misdirected : AttemptEnd::NotRun;
	}
	if (read != AttemptEnd::Whole)
	{
		return read;
	}
	if (status >= 500 || promisesNotRun(status))
	{
		_serving.failedStatus = status;
		_serving.failedHead = platform::encodeAnswerHead(_call.head());
		_serving.failedBody = std::move(body);
		return AttemptEnd::Failed;
	}
	if (!_answer.signedByUpstream)
	{
		return AttemptEnd::Broken;
	}
	_serving.firstByteAt = monotonicNow();
	_serving.exchange.passOn(status, platform::encodeAnswerHead(_call.head()), body);
	return _serving.exchange.broken() ? AttemptEnd::CallerLeft : AttemptEnd::Whole;
}

/// @returns Expected time until the next model's first token at the upstream that would be asked.
double nextModelHeadMs(Serving& _serving)
{
	if (_serving.plan.models.empty())
	{
		return 0.0;
	}
	DirectRouter& router = _serving.router;
	const TimeUs now = monotonicNow();
	const UpstreamQuery query = queryOf(_serving, _serving.plan.models[nextModel(_serving.plan)]);
	const VersionChoice version = chooseVersion(router.trials, _serving.service, sessionHash(_serving), now);
	return expectedHeadMs(router.upstreams, query, pickUpstreamFor(_serving, query, version, now), now);
}

/// @returns How the attempt ended.
AttemptEnd runCall(Serving& _serving, UpstreamCall& _call, const AttemptTimes& _times, AttemptNotes& _notes)
{
	const CallState opened = _call.open(_times.connectBy, _times.headBy);
	if (opened != CallState::Ok)
	{
		return endOf(_serving, opened);
	}
	_notes.headAfter = std::max<TimeUs>(1, monotonicNow() - _notes.begin);
	const int status = int(_call.head().result_int());
	const platform::AnswerHeaders answer = platform::readAnswerHeaders(_call.head(), status);
	AttemptEnd end = AttemptEnd::Broken;
	_notes.confidence = answer.confidence.value_or(-1.0);
	if (!answer.notRun)
	{
		noteHead(_serving.router.upstreams, _notes.upstream, _notes.query, _notes.prefillMs,
				 _notes.headAfter);
		_notes.prefillMs = 0.0;
	}
	if (_serving.plan.stream && status == 200 && !answer.notRun)
	{
		const double used = usedShare(retryWindow(_serving.router, _serving.service), monotonicNow());
		const double limit = confidenceLimit(_serving.plan, used, nextModelHeadMs(_serving), monotonicNow());
		if (answer.confidence && *answer.confidence < limit)
		{
			return AttemptEnd::Doubted;
		}
		end = answer.signedByUpstream ? passEvents(_serving, _call, _times) : AttemptEnd::Broken;
	}
	else
	{
		end = takePlainAnswer(_serving, _call, answer, _times);
	}
	_call.release(answer.keepAliveMs);
	return end;
}

HealthSign signOf(AttemptEnd _end)
{
	switch (_end)
	{
	case AttemptEnd::Whole:
	case AttemptEnd::Doubted:
		return HealthSign::Good;
	case AttemptEnd::NotSent:
		return HealthSign::Unreachable;
	case AttemptEnd::Failed:
	case AttemptEnd::Broken:
	case AttemptEnd::Misdirected:
		return HealthSign::Failed;
	case AttemptEnd::Silent:
	case AttemptEnd::TimeUp:
		return HealthSign::Silent;
	case AttemptEnd::NotRun:
	case AttemptEnd::CallerLeft:
		break;
	}
	return HealthSign::None;
}

void noteTrial(Serving& _serving, const UpstreamRecord& _upstream, AttemptEnd _end, TimeUs _headAfter,
			   double _expectedMs)
{
	DirectRouter& router = _serving.router;
	noteTrialEnded(router.trials, _serving.service, _upstream.version);
	TrialSign sign = TrialSign::Good;
	switch (_end)
	{
	case AttemptEnd::Whole:
	case AttemptEnd::Doubted:
		break;
	case AttemptEnd::Failed:
		sign = TrialSign::Bad;
		break;
	case AttemptEnd::Silent:
	case AttemptEnd::TimeUp:
		sign = TrialSign::Silent;
		break;
	default:
		return; // Crashes, cuts and full upstreams say nothing of a version.
	}
	const double slowness = double(_headAfter) / double(kMsToUs) / std::max(kLeastExpectedMs, _expectedMs);
	const bool halted =
		noteTrialResult(router.trials, _serving.service, _upstream.version,
						_serving.route->name + " " + modelOf(_serving), _upstream.id, sign, slowness);
	if (halted)
	{
		logEvent("rollout_halted",
				 {{"service", _serving.service},
				  {"version", _upstream.version},
				  {"request", _serving.call.requestId},
				  {"evidence", describeEvidence(router.trials.trials.at(_serving.service))}});
	}
}

AttemptRequest requestFor(const Serving& _serving, UpstreamId _upstream, const std::string& _address,
						  const HttpExchange::Fields& _head)
{
	const HttpRequest& caller = _serving.exchange.request();
	AttemptRequest request;
	request.upstream = _upstream;
	request.address = parseEndpoint(_address);
	request.method = caller.method();
	request.methodText = {caller.method_string().data(), caller.method_string().size()};
	request.target = {caller.target().data(), caller.target().size()};
	request.head = &_head;
	request.body = caller.body();
	request.idHeader = platform::kRequestIdHeader;
	request.requestId = _serving.call.requestId;
	request.freshOnly = !_serving.plan.repeatable;
	return request;
}

void logAttempt(const Serving& _serving, const AttemptNotes& _notes, const UpstreamRecord& _upstream,
				AttemptEnd _end, TimeUs _now)
{
	const auto entry = _serving.router.upstreams.entries.find(_notes.upstream.idx);
	const bool known = entry != _serving.router.upstreams.entries.end();
	logEvent("attempt_ended", {{"request", _serving.call.requestId},
							   {"end", name(_end)},
							   {"upstream", _upstream.id},
							   {"version", _upstream.version},
							   {"route", _serving.route->name},
							   {"session", _serving.call.session},
							   {"model", std::string(_notes.query.model)},
							   {"prompt_tokens", std::to_string(_serving.call.promptTokens)},
							   {"confidence", fmt::format("{:.0f}", _notes.confidence)},
							   {"config", std::to_string(_serving.config->version)},
							   {"in_flight", std::to_string(known ? entry->second.inFlight : 0)},
							   {"waiting_ms", fmt::format("{:.0f}", known ? entry->second.prefillMs : 0.0)},
							   {"error", _notes.error},
							   {"head_ms", ms(_notes.headAfter)},
							   {"last_event", std::to_string(_serving.events.lastId)},
							   {"took_ms", ms(_now - _notes.begin)}});
}

void logHealthChange(const Serving& _serving, const UpstreamRecord& _upstream, HealthChange _change,
					 AttemptEnd _end)
{
	if (_change == HealthChange::None)
	{
		return;
	}
	logEvent(_change == HealthChange::Ejected ? "upstream_ejected" : "upstream_returned",
			 {{"upstream", _upstream.id},
			  {"service", _upstream.service},
			  {"request", _serving.call.requestId},
			  {"end", name(_end)}});
}

/// Runs one attempt at an upstream and takes note of how it went.
AttemptEnd attempt(Serving& _serving, UpstreamId _upstream, const UpstreamQuery& _query)
{
	DirectRouter& router = _serving.router;
	const UpstreamRecord upstream = router.upstreams.entries.at(_upstream.idx).record;
	AttemptNotes notes{_upstream, _query, monotonicNow(), 0, 0.0, -1.0, ""};
	const bool another = _serving.plan.repeatable && _serving.plan.runs + 1 < _serving.plan.maxAttempts;
	const double expectedMs = expectedHeadMs(router.upstreams, _query, _upstream, notes.begin);
	const AttemptTimes times = attemptTimes(_serving.plan, another, expectedMs, notes.begin);
	const HttpExchange::Fields head = attemptHead(_serving, upstream, notes.begin);
	const AttemptRequest request = requestFor(_serving, _upstream, upstream.address, head);
	notes.prefillMs = noteSent(router.upstreams, _upstream, _query, notes.begin);
	noteTrialSent(router.trials, _serving.service, upstream.version);
	AttemptEnd end = AttemptEnd::NotSent;
	{
		UpstreamCall call(router.pool, request);
		_serving.running = &call;
		end = runCall(_serving, call, times, notes);
		_serving.running = nullptr;
		notes.error = call.error();
	}
	const TimeUs now = monotonicNow();
	const HealthChange change = noteEnded(router.upstreams, _upstream, notes.prefillMs, signOf(end), now);
	logHealthChange(_serving, upstream, change, end);
	noteTrial(_serving, upstream, end, notes.headAfter, expectedMs);
	++router.stats.attempts[name(end)];
	logAttempt(_serving, notes, upstream, end, now);
	return end;
}

// ---- The request ------------------------------------------------------------------------------------------

void finishWithout(Serving& _serving)
{
	const TimeUs now = monotonicNow();
	if (_serving.plan.started)
	{
		++_serving.router.stats.answers["broken"];
		logEvent("answer_broken", {{"request", _serving.call.requestId},
								   {"last", name(_serving.last)},
								   {"last_event", std::to_string(_serving.events.lastId)},
								   {"runs", std::to_string(_serving.plan.runs)},
								   {"after_ms", ms(now - _serving.plan.arrivedAt)}});
		_serving.exchange.abort();
		return;
	}
	const bool passFailure = _serving.last == AttemptEnd::Failed && !promisesNotRun(_serving.failedStatus);
	if (passFailure)
	{
		++_serving.router.stats.answers["upstream_failed"];
		logEvent("upstream_failure_passed", {{"request", _serving.call.requestId},
											 {"status", std::to_string(_serving.failedStatus)},
											 {"runs", std::to_string(_serving.plan.runs)},
											 {"after_ms", ms(now - _serving.plan.arrivedAt)}});
		_serving.exchange.passOn(_serving.failedStatus, _serving.failedHead, _serving.failedBody);
		return;
	}
	const FinalAnswer answer = finalAnswer(_serving.plan, _serving.last, now);
	refuse(_serving, answer.status, answer.status == 503 ? "not_run" : "unknown_run", answer.reason,
		   answer.retryAfterMs);
}

void finish(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	const TimeUs now = monotonicNow();
	if (_serving.last == AttemptEnd::CallerLeft)
	{
		++router.stats.answers["caller_left"];
		logEvent("caller_left",
				 {{"request", _serving.call.requestId}, {"after_ms", ms(now - _serving.plan.arrivedAt)}});
		_serving.exchange.abort();
		return;
	}
	if (_serving.last != AttemptEnd::Whole)
	{
		finishWithout(_serving);
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
								  {"first_ms", ms(_serving.firstByteAt - _serving.plan.arrivedAt)},
								  {"whole_ms", ms(now - _serving.plan.arrivedAt)}});
}

void runAttempts(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	RetryWindow& window = retryWindow(router, _serving.service);
	noteRequest(window, _serving.plan.arrivedAt);
	NextMove move = NextMove::Again;
	while (move == NextMove::Again)
	{
		const TimeUs now = monotonicNow();
		// Chosen anew for each attempt: a roll-out may have begun, or been halted, since the last.
		const VersionChoice version =
			chooseVersion(router.trials, _serving.service, sessionHash(_serving), now);
		const std::string model = modelOf(_serving);
		const UpstreamQuery query = queryOf(_serving, model);
		const UpstreamId upstream = pickUpstreamFor(_serving, query, version, now);
		if (!isValid(upstream))
		{
			return;
		}
		_serving.last = attempt(_serving, upstream, query);
		move = afterAttempt(_serving.plan, _serving.last, upstream.idx, window, monotonicNow());
		router.stats.escalated += _serving.last == AttemptEnd::Doubted ? 1 : 0;
		router.stats.resumed += move == NextMove::Again && _serving.plan.started ? 1 : 0;
	}
}
} // namespace

void serveDirect(DirectRouter& _router, HttpExchange& _exchange)
{
	Serving serving(_router, _exchange);
	serving.call = platform::readCallHeaders(_exchange.request());
	serving.plan.arrivedAt = monotonicNow();
	if (!admitByConfig(serving))
	{
		return;
	}
	serving.plan = planRequest(*serving.route, serving.call.deadlineMs, serving.plan.arrivedAt);
	serving.events.lastId = serving.call.lastEventId;
	serving.service = pickService(*serving.route, stableHash(serving.call.requestId));
	if (!admitByStop(serving))
	{
		return;
	}
	_exchange.onCallerGone([&serving] {
		serving.callerGone = true;
		if (serving.running != nullptr)
		{
			serving.running->cancel();
		}
	});
	++_router.inFlight;
	runAttempts(serving);
	--_router.inFlight;
	finish(serving);
}
} // namespace spanplank
