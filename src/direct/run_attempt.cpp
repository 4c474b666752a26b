/// One attempt of a request: its head and limits, the call, and what is noted of it.
#include <algorithm>

#include "attempt_p.h"
#include "await_room_p.h"
#include "completion_time_p.h"
#include "fiber_runtime_p.h"
#include "platform/headers_p.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kMostUrgency = 9; ///< The last of the urgencies that the engines know: 0 first to 9.
/// Steps of urgency for each step of an account's priority, which goes before the route's.
constexpr uint32_t kAccountUrgency = 3;

} // namespace

uint32_t urgencyOf(const Serving& _serving)
{
	const uint32_t account = _serving.account != nullptr ? _serving.account->priority : 0;
	const uint32_t route = std::min(_serving.route->priority, kAccountUrgency - 1);
	return std::min(kMostUrgency, account * kAccountUrgency + route);
}

namespace
{
HttpExchange::Fields attemptHead(const Serving& _serving, const UpstreamRecord& _upstream, TimeUs _now)
{
	platform::AttemptHeaders headers;
	headers.deadlineMs = uint32_t(std::max<TimeUs>(1, (_serving.plan.deadline - _now) / kMsToUs));
	headers.upstreamId = _upstream.id;
	headers.account = _serving.account != nullptr ? _serving.account->name : "";
	headers.model = _serving.plan.models.empty() ? "" : modelOf(_serving);
	if (_serving.lastEventId >= 0)
	{
		headers.lastEventId = _serving.lastEventId;
	}
	if (_serving.plan.stream && _serving.plan.policies.urgency)
	{
		headers.urgency = urgencyOf(_serving);
	}
	return platform::encodeAttemptHead(_serving.exchange.request(), headers);
}

AttemptRequest requestFor(const Serving& _serving, UpstreamId _upstream, const Endpoint& _address,
						  const HttpExchange::Fields& _head)
{
	const HttpRequest& caller = _serving.exchange.request();
	AttemptRequest request;
	request.upstream = _upstream;
	request.address = _address;
	request.method = caller.method();
	request.methodText = {caller.method_string().data(), caller.method_string().size()};
	request.target = {caller.target().data(), caller.target().size()};
	request.head = &_head;
	request.body = caller.body();
	request.idHeader = platform::kRequestIdHeader;
	request.requestId = _serving.call.requestId;
	request.stream = _serving.plan.stream;
	request.freshOnly = !_serving.plan.repeatable;
	return request;
}

/// Keeps an attempt among the live ones of its request for as long as it runs, also if it ends by an
/// exception.
class LiveMark
{
public:
	LiveMark(Serving& _serving, LiveAttempt& _attempt) : m_live(_serving.live), m_attempt(&_attempt)
	{
		m_live.push_back(m_attempt);
	}

	~LiveMark()
	{
		m_live.erase(std::find(m_live.begin(), m_live.end(), m_attempt));
	}

	LiveMark(const LiveMark&) = delete;
	LiveMark& operator=(const LiveMark&) = delete;

private:
	std::vector<LiveAttempt*>& m_live;
	LiveAttempt* m_attempt;
};
} // namespace

namespace
{
/// Prepares the request for the upstream, and calls it.
/// @throws std::exception Notes tell whether anything was sent by then.
AttemptEnd callUpstream(Serving& _serving, AttemptNotes& _notes, const FirstTokenEstimate& _estimate,
						AttemptResult& _result)
{
	const HttpExchange::Fields fields = attemptHead(_serving, _notes.record, _notes.begin);
	AttemptRequest request = requestFor(_serving, _notes.upstream, _notes.record.address, fields);
	request.answerDueBy = attemptTimeouts(_serving.plan, true, _estimate, _notes.begin).responseStartDeadline;
	const AttemptTimeouts times =
		attemptTimeouts(_serving.plan, allowsFurtherAttempt(_serving.plan), _estimate, _notes.begin);
	const TokenHold tokens(_serving, _notes.upstream);
	UpstreamCall call(_serving.router.pool, request);
	LiveAttempt attempt{call, _notes, {}};
	attempt.events.lastEventId = _serving.lastEventId;
	const LiveMark live(_serving, attempt);
	const AttemptEnd end = runCall(_serving, attempt, times);
	_notes.error = call.error();
	_notes.lost = call.lost();
	_result.kept = attempt.kept;
	_result.overtaken = attempt.overtaken || attempt.dropped;
	return end;
}

/// The same, where an exception counts against the upstream rather than the caller: another one may take the
/// request.
AttemptEnd callSafely(Serving& _serving, AttemptNotes& _notes, const FirstTokenEstimate& _estimate,
					  AttemptResult& _result)
{
	try
	{
		return callUpstream(_serving, _notes, _estimate, _result);
	}
	catch (const std::exception& failure)
	{
		++_serving.router.stats.attemptFailures;
		_notes.error = failure.what();
		return _notes.sentAfter == 0 ? AttemptEnd::NotSent : AttemptEnd::Aborted;
	}
}
} // namespace

AttemptResult runAttempt(Serving& _serving, UpstreamId _upstream, const UpstreamQuery& _query)
{
	DirectRouter& router = _serving.router;
	_serving.drawsUpstream = false; // It was for the choice of this upstream.
	const UpstreamRecord upstream = router.upstreams.entries.at(_upstream.idx).record;
	AttemptNotes notes{_upstream, upstream, _query, ""};
	notes.begin = monotonicNow();
	_serving.resumed = _serving.resumed || _serving.lastEventId >= 0;
	notes.tableAge = notes.begin - router.config.confirmedAt;
	notes.tableRevision = router.view.revision;
	notes.expectedMs = expectedFirstTokenMs(router.upstreams, _query, _upstream, notes.begin);
	notes.meanMs = _query.bySpeed ? meanFirstTokenMs(router.upstreams, _query, _upstream, notes.begin) : 0.0;
	const FirstTokenEstimate head{notes.expectedMs,
								  uncachedFirstTokenMs(router.upstreams, _query, _upstream, notes.begin)};
	notes.expectedEndMs = expectedEndMs(_serving, _query, _upstream);
	notes.asCold = isCold(router.upstreams, _upstream, notes.begin);
	notes.asLimited = isLimited(router.upstreams, _upstream);
	notes.queueFactor = queueFactorAt(_serving, _upstream);
	notes.prefillMs = recordSent(router.upstreams, _upstream, _query, notes.begin);
	notes.asRestProbe = router.upstreams.entries.at(_upstream.idx).rest.probing;
	notes.trial = recordTrialChosen(router.trials, _serving.service, upstream.version);
	AttemptResult result;
	const AttemptEnd end = callSafely(_serving, notes, head, result);
	if (notes.withdrawn || (result.overtaken && notes.sentAfter == 0))
	{
		noteWithdrawn(_serving, notes);
		return result;
	}
	noteAttemptEnd(_serving, notes, end);
	if (end == AttemptEnd::Aborted)
	{
		noteIfEnded(_serving, notes);
	}
	else
	{
		noteIfAbandoned(_serving, notes, end);
	}
	result.end = end;
	return result;
}
} // namespace spanplank
