/// One caller's request in direct mode, from its arrival to its final answer. The decisions are in
/// `request_plan.h`, `upstream_table.h` and `version_trial.h`.
#include <algorithm>
#include <exception>
#include <utility>

#include "attempt_p.h"
#include "await_room_p.h"
#include "completion_time_p.h"
#include "fiber_runtime_p.h"
#include "platform/headers_p.h"
#include "serving_p.h"
#include "suspects_p.h"

namespace spanplank
{
namespace
{
/// Until upstreams that were full, and the retry window, are asked again for a stream that has to go on.
constexpr uint32_t kLaterMs = 200;
/// After its deadline a stream is read by its caller for so long, then cut: its upstream is held meanwhile.
constexpr TimeUs kLateRead = 250 * kMsToUs;
/// Time for more urgent requests that wait for an upstream to be sent there first.
constexpr TimeUs kUrgentTurn = 5 * kMsToUs;

/// Keeps a request among those in flight for as long as its attempts run, also if they end by an exception:
/// one that is never taken out would keep a stop waiting until its grace is over.
class InFlightMark
{
public:
	explicit InFlightMark(Serving& _serving) : m_router(_serving.router), m_number(m_router.nextInFlight++)
	{
		m_router.inFlight.emplace(m_number, &_serving);
	}

	~InFlightMark()
	{
		m_router.inFlight.erase(m_number);
	}

	InFlightMark(const InFlightMark&) = delete;
	InFlightMark& operator=(const InFlightMark&) = delete;

private:
	DirectRouter& m_router;
	uint64_t m_number;
};

/// Keeps a request among those that wait for a paced upstream.
class WaitMark
{
public:
	explicit WaitMark(const Serving& _serving)
		: m_waits(_serving.router.pacedWaits[_serving.service]), m_urgency(urgencyOf(_serving))
	{
		beginWait(m_waits, m_urgency);
	}

	~WaitMark()
	{
		endWait(m_waits, m_urgency);
	}

	WaitMark(const WaitMark&) = delete;
	WaitMark& operator=(const WaitMark&) = delete;

private:
	PacedWaits& m_waits;
	uint32_t m_urgency;
};

/// @returns Whether an upstream is left to a more urgent request that waits for one.
bool isLeftToUrgent(const Serving& _serving, UpstreamId _upstream)
{
	DirectRouter& router = _serving.router;
	const UpstreamEntry& entry = router.upstreams.entries.at(_upstream.idx);
	return isPaced(entry, monotonicNow()) &&
		   !mayGoFirst(router.pacedWaits[_serving.service], urgencyOf(_serving));
}

/// Waits until a time, if the request may wait that long.
/// @returns Whether it waited: the choice is to be made again.
bool awaitTime(Serving& _serving, TimeUs _from, TimeUs _now)
{
	if (!mayWaitForUpstream(_serving.plan, _from, _now))
	{
		return false;
	}
	_serving.plan.waitingSince = _serving.plan.waitingSince != 0 ? _serving.plan.waitingSince : _now;
	const WaitMark waits(_serving);
	sleepFor(uint32_t(std::max<TimeUs>(1, (_from - _now) / kMsToUs + 1)));
	return true;
}

/// Waits for an upstream that is cold, states a limit or rests to accept a request, if that is soon.
/// @param[in] _leftToUrgent One accepts it now, and a more urgent request waits.
/// @returns Whether it waited: the choice is to be made again.
bool awaitPaced(Serving& _serving, const UpstreamQuery& _query, bool _leftToUrgent)
{
	const TimeUs now = monotonicNow();
	if (_leftToUrgent)
	{
		return awaitTime(_serving, now + kUrgentTurn, now);
	}
	const std::optional<TimeUs> from = nextSendAt(_serving.router.upstreams, _query, now);
	return from && awaitTime(_serving, *from, now);
}

/// Waits for the fibers that make attempts beside the first one's; if that one ended by an exception, ends
/// them.
class SearchJoin
{
public:
	explicit SearchJoin(Serving& _serving) : m_serving(_serving), m_exceptions(std::uncaught_exceptions())
	{
	}

	~SearchJoin()
	{
		if (std::uncaught_exceptions() > m_exceptions)
		{
			m_serving.callerGone = true;
			cancelAttempts(m_serving);
		}
		for (boost::fibers::fiber& search : m_serving.searches) // More may come meanwhile.
		{
			search.join();
		}
	}

	SearchJoin(const SearchJoin&) = delete;
	SearchJoin& operator=(const SearchJoin&) = delete;

private:
	Serving& m_serving;
	int m_exceptions;
};

/// Decides what follows an attempt.
/// @param[in,out] _turns `Serving::turns` as the calling fiber knows it.
RetryDecision afterResult(Serving& _serving, const AttemptResult& _result, UpstreamId _upstream,
						  uint32_t& _turns)
{
	RetryWindow& window = retryWindow(_serving.router, _serving.service);
	if (_result.overtaken)
	{
		if (_result.end && !_result.kept)
		{
			afterAttempt(_serving.plan, AttemptEnd::Superseded, _upstream.idx, window, monotonicNow());
		}
		return RetryDecision::Finish;
	}
	_turns = _serving.turns; // The last turn was its own, if there was one.
	if (!_result.end)
	{
		return RetryDecision::Retry;
	}
	if (_result.kept && _serving.searching && *_result.end != AttemptEnd::Complete)
	{
		return RetryDecision::Finish; // The fiber that looks for another upstream decides.
	}
	_serving.last = *_result.end;
	const auto follows = _result.kept ? afterRetainedAttempt : afterAttempt;
	const RetryDecision move = follows(_serving.plan, _serving.last, _upstream.idx, window, monotonicNow());
	DirectStats& stats = _serving.router.stats;
	stats.escalated += _serving.last == AttemptEnd::LowConfidence ? 1 : 0;
	stats.resumed += move != RetryDecision::Finish && _serving.plan.started ? 1 : 0;
	return move;
}

/// Pauses before upstreams are asked again; ends early if another attempt goes on or the caller has left, as
/// the answer is not over before.
/// @returns Whether no other attempt has gone on meanwhile.
bool pauseAlone(Serving& _serving, uint32_t _turns)
{
	if (!_serving.callerGone && _turns == _serving.turns)
	{
		_serving.wakeUp.wait(kLaterMs);
	}
	return _turns == _serving.turns;
}

/// Chooses an upstream and makes an attempt there.
/// @param[in,out] _turns `Serving::turns` as the calling fiber knows it.
RetryDecision tryNext(Serving& _serving, uint32_t& _turns)
{
	const UpstreamTable& table = _serving.router.upstreams;
	const std::string model = modelOf(_serving);
	if (!awaitRoom(_serving, model))
	{
		return RetryDecision::Finish;
	}
	const UpstreamQuery query = queryOf(_serving, model); // After the wait, which takes from the time left.
	// Chosen anew for each attempt: a roll-out may have begun, or been halted, since the last.
	const UpstreamId upstream = pickUpstreamFor(_serving, query, monotonicNow());
	const bool leftToUrgent = isValid(upstream) && isLeftToUrgent(_serving, upstream);
	if (isValid(upstream) && !leftToUrgent)
	{
		if (isTooLate(_serving, upstream, query))
		{
			++_serving.router.stats.completion.noTime;
			return RetryDecision::Finish;
		}
		return afterResult(_serving, runAttempt(_serving, upstream, query), upstream, _turns);
	}
	if (awaitPaced(_serving, query, leftToUrgent))
	{
		return RetryDecision::Retry;
	}
	UpstreamQuery all = query;
	all.tried = nullptr;
	const TimeUs now = monotonicNow();
	_serving.noUpstream = noUpstreamReason(table, query, now);
	_serving.acceptsAt = nextSendAt(table, all, now).value_or(0);
	return onUpstreamsExhausted(_serving.plan, monotonicNow(), liveUpstreams(_serving));
}
} // namespace

void endBeforeStop(Serving& _serving)
{
	if (_serving.plan.started)
	{
		return;
	}
	_serving.plan.deadline = std::min(_serving.plan.deadline, monotonicNow());
	cancelAttempts(_serving);
}

void runAttempts(Serving& _serving, RetryDecision _move)
{
	RetryWindow& window = retryWindow(_serving.router, _serving.service);
	uint32_t turns = _serving.turns;
	RetryDecision move = _move;
	while (move != RetryDecision::Finish &&
		   turns == _serving.turns) // Else another attempt goes on meanwhile.
	{
		if (_serving.callerGone)
		{
			_serving.last = AttemptEnd::CallerDisconnected;
			break;
		}
		if (_serving.endsUpstreams)
		{
			break;
		}
		if (move == RetryDecision::Retry)
		{
			move = tryNext(_serving, turns);
			continue;
		}
		const bool alone = pauseAlone(_serving, turns);
		move = alone ? decideNextAttempt(_serving.plan, window, monotonicNow()) : RetryDecision::Finish;
	}
}

void serveDirect(DirectRouter& _router, HttpExchange& _exchange)
{
	Serving serving(_router, _exchange);
	serving.call = platform::readCallHeaders(_exchange.request());
	// A request's time runs from its sending, as far as that is known, not from when this router came to it.
	serving.plan.arrivedAt = _exchange.requestSince();
	serving.unread = monotonicNow() - serving.plan.arrivedAt;
	noteLatency(_router.stats.unread, serving.unread);
	if (!admitByConfig(serving) || !admitByRegion(serving))
	{
		return;
	}
	serving.plan = planRequest(*serving.route, serving.call.deadlineMs, serving.plan.arrivedAt);
	serving.plan.policies = _router.settings.policies;
	serving.lastEventId = serving.call.lastEventId;
	countInvalidLength(serving);
	serving.service = pickService(*serving.route, stableHash(serving.call.requestId));
	if (!admitByTime(serving) || !admitBySuspicion(serving) || !admitByStop(serving))
	{
		return;
	}
	_exchange.limitStream(serving.plan.deadline + kLateRead);
	_exchange.onCallerGone([&serving] {
		serving.callerGone = true;
		cancelAttempts(serving);
	});
	{
		const InFlightMark inFlight(serving);
		const TryMark trying(serving);
		const AccountMark account(serving);
		const SearchJoin join(serving);
		recordRequest(retryWindow(_router, serving.service), monotonicNow());
		runAttempts(serving, RetryDecision::Retry);
	}
	clearIfRan(serving);
	releaseUnsentRetries(serving.plan, retryWindow(_router, serving.service));
	if (serving.callerGone && serving.last != AttemptEnd::Complete)
	{
		serving.last = AttemptEnd::CallerDisconnected;
	}
	finishRequest(serving);
}
} // namespace spanplank
