/// The wait of a request for room at the upstreams of its service, with its log events and counters. The
/// decisions are in `waiting_room.h` and `account_share.h`.
#include "await_room_p.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

#include "completion_time_p.h"
#include "fiber_runtime_p.h"
#include "load_control_p.h"
#include "log_p.h"
#include "spanplank/http_status.h"

namespace spanplank
{
namespace
{
constexpr int kFirstNoSuccess = 300; ///< Status codes from here on are no successes.

AccountKey accountOf(const Serving& _serving)
{
	return accountKeyOf(_serving.service, _serving.account != nullptr ? _serving.account->name : "");
}

UpstreamRoom limitsFor(const Serving& _serving, TimeUs _now)
{
	UpstreamRoom limits;
	const ServiceInfo* service = serviceInfo(_serving.router, _serving.service);
	limits.slots = service != nullptr ? service->slots : 0;
	limits.kvTokens = service != nullptr ? service->kvTokens : 0;
	const TimeUs objective = TimeUs(_serving.plan.targetMs) * kMsToUs;
	// Requests that waited queue no shorter than others: the time of the longest wait is left out for all.
	const TimeUs waits = TimeUs(kMaxRoomWaitShare * double(objective));
	const TimeUs left = _serving.plan.arrivedAt + objective - std::max(_now, _serving.plan.arrivedAt + waits);
	limits.queueableMs = double(std::max<TimeUs>(0, left)) / double(kMsToUs);
	return limits;
}

/// What the upstreams lack, for logs.
const char* fullOf(const ServiceRoom& _places)
{
	const bool bySlots = std::all_of(_places.upstreams.begin(), _places.upstreams.end(),
									 [](const UpstreamPlaces& _at) { return _at.slotsFull; });
	return _places.withRoom > 0 ? "others wait" : bySlots ? "slots" : "memory";
}

/// A request's place among those that wait, which is left also if the wait ends by an exception.
class RoomPlace
{
public:
	RoomPlace(Serving& _serving, uint64_t _id)
		: m_room(_serving.router.waitingRooms[_serving.service]),
		  m_waiters(_serving.router.roomWaiters[_serving.service]), m_id(_id)
	{
		m_waiters.emplace(m_id, &_serving.wakeUp);
		wakeNext();
	}

	~RoomPlace()
	{
		leaveWaitingRoom(m_room, m_id);
		m_waiters.erase(m_id);
		wakeNext();
	}

	RoomPlace(const RoomPlace&) = delete;
	RoomPlace& operator=(const RoomPlace&) = delete;

private:
	/// Only the request that goes first looks for room again and again. One that was displaced has to be
	/// refused.
	void wakeNext()
	{
		for (const auto& [id, alarm] : m_waiters)
		{
			if (id != m_id && (!isWaiting(m_room, id) || isNext(m_room, id)))
			{
				alarm->ring();
			}
		}
	}

	WaitingRoom& m_room;
	std::map<uint64_t, FiberAlarm*>& m_waiters;
	uint64_t m_id;
};

WaitingRequest waitingRequest(const Serving& _serving, TimeUs _now)
{
	const DirectRouter& router = _serving.router;
	const TimeUs longest = TimeUs(kMaxRoomWaitShare * double(_serving.plan.targetMs) * double(kMsToUs));
	WaitingRequest request;
	request.urgency = urgencyOf(_serving);
	request.deadline = _serving.plan.deadline;
	request.waitsUntil = std::min(_serving.plan.deadline, _now + longest);
	if (loadControls(router, _serving.service).accountShares)
	{
		const ServiceUse use = serviceUse(router.upstreams, _serving.service);
		const bool byTokens = limitsFor(_serving, _now).kvTokens > 0;
		request.accountExcess = accountExcess(router.accounts, accountOf(_serving), use, byTokens);
	}
	return request;
}

std::string placesText(const ServiceRoom& _places)
{
	return fmt::format("{:.0f} of {:.0f}", _places.running, _places.limit);
}

void noteWaited(Serving& _serving, const ServiceRoom& _before, const ServiceRoom& _after, TimeUs _since,
				bool _admitted)
{
	const TimeUs now = monotonicNow();
	DirectStats& stats = _serving.router.stats;
	++stats.waited[_serving.service];
	noteLatency(stats.roomWait, now - _since);
	logEvent("request_waited", {{"request", _serving.call.requestId},
								{"service", _serving.service},
								{"urgency", std::to_string(urgencyOf(_serving))},
								{"admitted", _admitted ? "1" : "0"},
								{"full", fullOf(_before)},
								{"running", placesText(_before)},
								{"running_after", placesText(_after)},
								{"waiting_elsewhere", fmt::format("{:.0f}", _after.elsewhere.all)},
								{"for_ms", millisText(now - _since)}});
}

bool refuseRoom(Serving& _serving, const ServiceRoom& _places)
{
	DirectRouter& router = _serving.router;
	const WaitingRoom& room = router.waitingRooms[_serving.service];
	_serving.roomRetryAfterMs = retryAfterRefusalMs(room, _places, nextUnit(router.random));
	++router.stats.refusedForRoom[_serving.service];
	return false;
}

/// Waits in the room. @returns Whether the request was let in.
bool waitInRoom(Serving& _serving, const UpstreamQuery& _query, const ServiceRoom& _before, uint64_t _id)
{
	const TimeUs since = monotonicNow();
	WaitingRoom& room = _serving.router.waitingRooms[_serving.service];
	const TimeUs until = room.waiting.at(_id).waitsUntil;
	const RoomPlace place(_serving, _id);
	while (true)
	{
		const TimeUs now = monotonicNow();
		if (_serving.callerGone || _serving.endsUpstreams || now >= _serving.plan.deadline)
		{
			return false;
		}
		const VersionChoice versions = versionsFor(_serving, now);
		const ServiceRoom places = placesFor(_serving, withVersions(_query, versions), now);
		// Without any that accept requests, the rules for paced and missing upstreams decide.
		const RoomDecision decision =
			places.upstreams.empty() ? RoomDecision::Enter : decideWaiting(room, _id, places, now);
		if (decision != RoomDecision::Wait)
		{
			noteWaited(_serving, _before, places, since, decision == RoomDecision::Enter);
			return decision == RoomDecision::Enter || refuseRoom(_serving, places);
		}
		const TimeUs next = isNext(room, _id) ? now + nextLook(room, places) : until;
		_serving.wakeUp.wait(uint32_t((std::min(next, until) - now) / kMsToUs + 1));
	}
}
} // namespace

AccountMark::AccountMark(Serving& _serving)
	: m_router(_serving.router), m_account(accountOf(_serving)), m_tokens(heldTokens(_serving)),
	  m_counted(loadControls(m_router, _serving.service).waitingRoom)
{
	if (m_counted)
	{
		recordAccountBegin(m_router.accounts, m_account, m_tokens);
	}
}

AccountMark::~AccountMark()
{
	if (m_counted)
	{
		recordAccountEnd(m_router.accounts, m_account, m_tokens);
	}
}

ServiceRoom placesFor(const Serving& _serving, const UpstreamQuery& _query, TimeUs _now)
{
	DirectRouter& router = _serving.router;
	WaitingElsewhere elsewhere = waitingElsewhere(router.accounts, serviceAccountsKey(_serving.service),
												  serviceUse(router.upstreams, _serving.service));
	const bool limited = _query.limit.limited || !_query.version.empty();
	if (limited || !router.settings.policies.loadSharing)
	{
		elsewhere = {}; // Others report what waits for the service, not for which of its upstreams.
	}
	if (!loadControls(router, _serving.service).accountShares)
	{
		elsewhere.abovePart = 0.0; // All requests are let in at one pace.
	}
	return serviceRoom(router.waitingRooms[_serving.service], router.upstreams, _query,
					   limitsFor(_serving, _now), heldTokens(_serving), elsewhere, _now);
}

bool awaitRoom(Serving& _serving, const std::string& _model)
{
	DirectRouter& router = _serving.router;
	const RequestPlan& plan = _serving.plan;
	const bool first = plan.sentAttempts == 0 && _serving.lastEventId < 0 && !_serving.admitted;
	if (!first || !loadControls(router, _serving.service).waitingRoom)
	{
		return true;
	}
	const TimeUs now = monotonicNow();
	const UpstreamQuery query = queryOf(_serving, _model);
	const VersionChoice versions = versionsFor(_serving, now);
	const ServiceRoom places = placesFor(_serving, withVersions(query, versions), now);
	if (places.upstreams.empty())
	{
		return true; // The rules for paced and missing upstreams decide.
	}
	WaitingRoom& room = router.waitingRooms[_serving.service];
	_serving.admitted = goesAtOnce(room, places);
	if (_serving.admitted)
	{
		return true;
	}
	const bool plain = limitsFor(_serving, now).kvTokens == 0;
	if (plain && endsLate(room, plan.deadline, now))
	{
		return refuseRoom(_serving, places);
	}
	const std::optional<uint64_t> id =
		enterWaitingRoom(room, waitingRequest(_serving, now), places, nextUnit(router.random), now);
	if (!id)
	{
		return refuseRoom(_serving, places);
	}
	_serving.admitted = waitInRoom(_serving, query, places, *id);
	_serving.drawsUpstream = _serving.admitted;
	return _serving.admitted;
}

double queueFactorAt(const Serving& _serving, UpstreamId _upstream)
{
	const ServiceInfo* service = serviceInfo(_serving.router, _serving.service);
	return queueFactor(_serving.router.upstreams.entries.at(_upstream.idx),
					   service != nullptr ? service->slots : 0);
}

void noteWorkTime(const Serving& _serving, const AttemptNotes& _notes, TimeUs _now)
{
	if (_notes.status < status::kOk || _notes.status >= kFirstNoSuccess)
	{
		return; // Errors are answered without the work.
	}
	const double ms = double(_now - _notes.begin - _notes.sentAfter) / double(kMsToUs);
	recordWorkTime(_serving.router.waitingRooms[_serving.service], ms, _notes.queueFactor);
}

std::map<std::string, double> waitingByService(const DirectRouter& _router)
{
	std::map<std::string, double> waiting;
	for (const auto& [service, room] : _router.waitingRooms)
	{
		waiting[service] = double(room.waiting.size());
	}
	return waiting;
}
} // namespace spanplank
