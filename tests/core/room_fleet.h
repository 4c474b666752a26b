/// A fleet of routers before upstreams with slots, in virtual time and without sockets. The routers use the
/// pure parts as direct mode does: loads and accounts every 60 ms along a tree, waiting room, account shares.
#ifndef SPANPLANK_TESTS_ROOM_FLEET_H_HEADER_GUARD
#define SPANPLANK_TESTS_ROOM_FLEET_H_HEADER_GUARD

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "spanplank/account_share.h"
#include "spanplank/waiting_room.h"

namespace spanplank
{
constexpr TimeUs kSimStep = kMsToUs;
constexpr TimeUs kSimPing = 60 * kMsToUs;
constexpr size_t kSimFollowers = 5; ///< Of each router in the tree.

enum class SimState : uint8_t
{
	Waiting,
	Sent,
	Served,
	Refused,
	TimedOut,
};

struct SimRequest
{
	size_t router = 0;
	std::string account;
	uint32_t urgency = 0;
	double workMs = 0.0;
	uint32_t tokens = 0;
	uint64_t subject = 0;
	TimeUs arrivedAt = 0;
	TimeUs sentAt = 0;
	TimeUs startedAt = 0; ///< When it got a slot of its upstream; 0: not yet.
	TimeUs endsAt = 0;
	TimeUs endedAt = 0;
	uint64_t waitId = 0;
	uint32_t upstream = kInvalidIdx;
	double prefillMs = 0.0;
	double queueFactor = 1.0;
	bool refusedBesideFree = false; ///< Half of the service's slots were free when it was refused.
	bool waited = false;
	SimState state = SimState::Waiting;

	double tookMs() const
	{
		return double(endedAt - arrivedAt) / double(kMsToUs);
	}
};

struct SimUpstream
{
	uint32_t slots = 1;
	double slowness = 1.0;
	std::deque<SimRequest*> queue = {};
	std::vector<SimRequest*> running = {};
};

struct SimRouter
{
	UpstreamTable table;
	LoadShare loads;
	AccountShares accounts;
	WaitingRoom room;
	Random random;
	std::vector<SimRequest*> waiting;
	bool lost = false;
};

struct RoomFleet
{
	std::vector<SimUpstream> upstreams;
	uint32_t kvTokens = 0; ///< Of each upstream; 0: a plain service.
	double targetMs = 0.0;
	double deadlineMs = 0.0;
	bool on = true;       ///< The waiting room is used.
	bool sharesOn = true; ///< Account shares are used.
	std::vector<SimRouter> routers;
	std::list<SimRequest> requests;
	TimeUs now = 1000 * kMsToUs;
	Random random{1};
	AccountKey service = serviceAccountsKey("app");

	RoomFleet(size_t _routers, const std::vector<SimUpstream>& _upstreams) : upstreams(_upstreams)
	{
		routers.resize(_routers);
		for (size_t ii = 0; ii < _routers; ++ii)
		{
			routers[ii].random.state = 100 + ii;
			for (size_t jj = 0; jj < upstreams.size(); ++jj)
			{
				UpstreamRecord record{"u" + std::to_string(jj), "app", {"10.0.0.1", 80}, "a", "v1"};
				record.slots = upstreams[jj].slots;
				registerUpstream(routers[ii].table, record);
			}
		}
	}

	UpstreamRoom limits() const
	{
		return {kvTokens > 0 ? upstreams[0].slots : 0, kvTokens, targetMs * (1.0 - kMaxRoomWaitShare)};
	}

	UpstreamQuery queryFor(const SimRequest& _request) const
	{
		UpstreamQuery query;
		query.service = "app";
		query.hall = "a";
		query.repeatable = true;
		if (kvTokens > 0)
		{
			query.shared = {{_request.subject, _request.tokens / 2}};
			query.ownTokens = _request.tokens / 4;
		}
		return query;
	}

	ServiceRoom placesFor(SimRouter& _router, const SimRequest& _request)
	{
		WaitingElsewhere elsewhere =
			waitingElsewhere(_router.accounts, service, serviceUse(_router.table, "app"));
		elsewhere.abovePart = sharesOn ? elsewhere.abovePart : 0.0;
		return serviceRoom(_router.room, _router.table, queryFor(_request), limits(), _request.tokens,
						   elsewhere, now);
	}

	void arrive(const SimRequest& _request)
	{
		requests.push_back(_request);
		SimRequest& request = requests.back();
		request.arrivedAt = now;
		SimRouter& router = routers[request.router];
		const AccountKey account = accountKeyOf("app", request.account);
		recordAccountBegin(router.accounts, account, request.tokens);
		const ServiceRoom places = placesFor(router, request);
		if (!on || goesAtOnce(router.room, places))
		{
			send(router, request, places, false);
			return;
		}
		request.waited = true;
		const ServiceUse use = serviceUse(router.table, "app");
		WaitingRequest waiting{request.urgency, 0.0, now + TimeUs(deadlineMs) * kMsToUs,
							   now + TimeUs(targetMs * kMaxRoomWaitShare) * kMsToUs};
		waiting.accountExcess = sharesOn ? accountExcess(router.accounts, account, use, kvTokens > 0) : 0.0;
		const auto id = enterWaitingRoom(router.room, waiting, places, nextUnit(router.random), now);
		request.waitId = id.value_or(0);
		router.waiting.push_back(&request);
	}

	void send(SimRouter& _router, SimRequest& _request, const ServiceRoom& _places, bool _contended)
	{
		UpstreamQuery query = queryFor(_request);
		const std::set<uint32_t> out =
			on ? upstreamsLeftOut(_places, _contended, _router.random) : std::set<uint32_t>();
		query.tried = &out;
		const UpstreamId picked = pickDirectUpstream(_router.table, query, now, _router.random);
		_request.upstream = picked.idx;
		_request.queueFactor = queueFactor(_router.table.entries.at(picked.idx), limits().slots);
		_request.prefillMs = recordSent(_router.table, picked, query, now);
		holdTokens(_router.table, picked, kvTokens > 0 ? _request.tokens : 0);
		_request.state = SimState::Sent;
		_request.sentAt = now;
		upstreams[picked.idx].queue.push_back(&_request);
	}

	void end(SimRequest& _request, SimState _state)
	{
		SimRouter& router = routers[_request.router];
		_request.state = _state;
		_request.endedAt = now;
		recordAccountEnd(router.accounts, accountKeyOf("app", _request.account), _request.tokens);
		if (_request.upstream == kInvalidIdx)
		{
			return;
		}
		const UpstreamId upstream{_request.upstream};
		recordEnded(router.table, upstream, _request.startedAt == 0 ? _request.prefillMs : 0.0,
					_state == SimState::Served ? HealthOutcome::Good : HealthOutcome::None, now);
		releaseTokens(router.table, upstream, kvTokens > 0 ? _request.tokens : 0);
		if (_state == SimState::Served)
		{
			recordWorkTime(router.room, double(now - _request.sentAt) / double(kMsToUs),
						   _request.queueFactor);
		}
	}

	/// Ends and starts requests at an upstream; a request that does not fit in its memory waits there.
	void work(SimUpstream& _upstream)
	{
		auto& queue = _upstream.queue;
		queue.erase(std::remove_if(queue.begin(), queue.end(), [&](SimRequest* _at) { return expire(*_at); }),
					queue.end());
		auto& running = _upstream.running;
		running.erase(std::remove_if(running.begin(), running.end(),
									 [&](SimRequest* _at) {
										 if (_at->endsAt <= now)
										 {
											 end(*_at, SimState::Served);
											 return true;
										 }
										 return expire(*_at);
									 }),
					  running.end());
		uint64_t held = 0;
		std::for_each(running.begin(), running.end(), [&](SimRequest* _at) { held += _at->tokens; });
		while (!queue.empty() && running.size() < _upstream.slots &&
			   (kvTokens == 0 || held + queue.front()->tokens <= kvTokens))
		{
			SimRequest* next = queue.front();
			queue.pop_front();
			next->startedAt = now;
			next->endsAt = now + TimeUs(next->workMs * _upstream.slowness * double(kMsToUs));
			held += next->tokens;
			running.push_back(next);
			SimRouter& router = routers[next->router];
			if (kvTokens > 0)
			{
				recordFirstToken(router.table, {next->upstream}, queryFor(*next), next->prefillMs,
								 50 * kMsToUs);
			}
		}
	}

	bool expire(SimRequest& _request)
	{
		const bool over = now >= _request.arrivedAt + TimeUs(deadlineMs) * kMsToUs;
		if (over)
		{
			end(_request, SimState::TimedOut);
		}
		return over;
	}

	double freeShare() const
	{
		double slots = 0.0;
		double running = 0.0;
		for (const SimUpstream& upstream : upstreams)
		{
			slots += upstream.slots;
			running += double(upstream.running.size());
		}
		return 1.0 - running / slots;
	}

	void letIn(SimRouter& _router)
	{
		for (size_t ii = 0; ii < _router.waiting.size();)
		{
			SimRequest& request = *_router.waiting[ii];
			const ServiceRoom places = placesFor(_router, request);
			const RoomDecision decision = decideWaiting(_router.room, request.waitId, places, now);
			if (decision == RoomDecision::Wait)
			{
				++ii;
				continue;
			}
			_router.waiting.erase(_router.waiting.begin() + long(ii));
			if (decision == RoomDecision::Enter)
			{
				send(_router, request, places, true);
				continue;
			}
			request.refusedBesideFree = freeShare() >= 0.5;
			end(request, SimState::Refused);
		}
	}

	/// A ping of a router to its parent and the answer.
	void ping(size_t _child)
	{
		SimRouter& child = routers[_child];
		refresh(child);
		if (_child == 0)
		{
			return;
		}
		SimRouter& parent = routers[(_child - 1) / kSimFollowers];
		if (child.lost || parent.lost)
		{
			return;
		}
		const uint32_t link = uint32_t(_child);
		applyLoads(parent.loads, parent.loads.children[link], loadChangesFor(child.loads, child.loads.parent),
				   now);
		LoadShare& accounts = parent.accounts.loads;
		applyLoads(accounts, accounts.children[link],
				   loadChangesFor(child.accounts.loads, child.accounts.loads.parent), now);
		updateOwnLoad(parent.loads, parent.table);
		updateOwnAccounts(parent.accounts);
		applyLoads(child.loads, child.loads.parent, loadChangesFor(parent.loads, parent.loads.children[link]),
				   now);
		applyLoads(child.accounts.loads, child.accounts.loads.parent,
				   loadChangesFor(accounts, accounts.children[link]), now);
	}

	void refresh(SimRouter& _router)
	{
		applyPeerLoads(_router.loads, _router.table, now);
		refreshAccounts(_router.accounts, now);
	}

	/// Runs for a time; `_arrivals` is called in each step.
	void run(double _ms, const std::function<void()>& _arrivals)
	{
		const TimeUs until = now + TimeUs(_ms) * kMsToUs;
		for (; now < until; now += kSimStep)
		{
			for (SimUpstream& upstream : upstreams)
			{
				work(upstream);
			}
			_arrivals();
			for (size_t ii = 0; ii < routers.size(); ++ii)
			{
				letIn(routers[ii]);
				if ((now / kSimStep + TimeUs(ii) * 7) % (kSimPing / kSimStep) == 0)
				{
					ping(ii);
				}
			}
		}
	}

	/// @returns The number of arrivals in a step at a rate.
	size_t arrivals(double _perSecond)
	{
		const double left = std::exp(-_perSecond * double(kSimStep) / 1e6);
		size_t count = 0;
		for (double product = nextUnit(random); product > left; product *= nextUnit(random))
		{
			++count;
		}
		return count;
	}

	double between(double _from, double _to)
	{
		return _from + (_to - _from) * nextUnit(random);
	}

	size_t count(const std::function<bool(const SimRequest&)>& _of) const
	{
		return size_t(std::count_if(requests.begin(), requests.end(), _of));
	}
};
} // namespace spanplank

#endif // SPANPLANK_TESTS_ROOM_FLEET_H_HEADER_GUARD
