/// Order and bounds of the requests that wait for room, and the pace at which routers let them in.
#include "spanplank/waiting_room.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "prompt_choice_p.h"

namespace spanplank
{
namespace
{
/// Answers before a plain service's work time is used: until then its upstreams count as free.
constexpr uint32_t kMinWorkSamples = 5;
constexpr double kWorkSmoothing = 0.05; ///< Weight of the newest work time; about 20 answers count.
/// Work time of a slow answer over the mean, for the time that a request may queue: service times of plain
/// services spread over 30 to 80 ms.
constexpr double kSlowAnswer = 1.5;
/// Share of an engine's memory that running requests may hold by their expected tokens. The rest is for
/// answers that get longer than expected and for what other routers have not reported yet.
constexpr double kMemoryShare = 0.95;
/// Below this share of running slots a service is not contended: reports are 60 to 200 ms old, and within
/// that time a service without new requests frees more than the rest.
constexpr double kFreeShare = 0.75;
/// Time over which a difference between running requests and the limit is corrected. A longer time lets more
/// requests queue and be late, a shorter one leaves more slots free, as reports are up to 200 ms old.
constexpr double kCorrectionMs = 250.0;
/// The same at least as a share of the work on a request. With 150 ms engines that work for a second got too
/// few requests after each surplus.
constexpr double kCorrectionWorkShare = 0.5;
constexpr double kMaxCredit = 2.0; ///< Waiting requests that a router lets in at once.
/// Requests that a router may let in ahead of its pace if they are more urgent than one that it refused
/// lately. The others then make up for it; without this, an urgent request that waits alone at its router
/// gets no more than its part among all that wait. The credit falls to `-kAdvance` at the least.
constexpr double kAdvance = 1.0;
constexpr TimeUs kRefusalMemory = 1000 * kMsToUs; ///< A refusal shows that less urgent requests can give way.
/// Below this share of the running requests none count as waiting elsewhere: those between two attempts are
/// reported like those that wait.
constexpr double kNoWaitingShare = 0.02;
/// Time in which the other routers' first waiting requests are reported. Without regard to it each router
/// took itself for the only one, and engines got 290 requests for 192 slots as an overload began.
constexpr TimeUs kFirstReports = 250 * kMsToUs;
/// Largest part of a router in what waits, as a multiple of its part in all running and waiting requests.
/// Waits are shorter than the age of reports, so that several routers may take themselves for the only one.
constexpr double kMaxPart = 4.0;
/// After a longer time without waiting requests an overload begins anew; a router with few requests has some
/// that wait about once in a second.
constexpr TimeUs kWaitPause = 3000 * kMsToUs;
constexpr TimeUs kMinLook = 2 * kMsToUs;
constexpr TimeUs kMaxLook = 10 * kMsToUs; ///< New reports and ended requests change the pace.
/// Upstreams among which a request of a contended service chooses, so that it can prefer one that has parts
/// of its prompt cached.
constexpr size_t kDrawnUpstreams = 2;
/// Weight of an upstream at its limit in the draw: some of its requests have ended since the last report.
constexpr double kFullDrawWeight = 0.02;
constexpr uint32_t kMinRetryAfterMs = 100;
constexpr uint32_t kMaxRetryAfterMs = 2000;

double runningAt(const UpstreamEntry& _entry)
{
	return double(_entry.inFlight) + double(_entry.others.inFlight);
}

uint32_t slotsOf(const UpstreamEntry& _entry, const UpstreamRoom& _limits)
{
	return _limits.slots > 0 ? _limits.slots : std::max(1u, _entry.record.slots);
}

/// @returns Requests that may run or queue at an upstream by its slots; infinite if that is not known yet.
double slotLimit(const WaitingRoom& _room, const UpstreamEntry& _entry, const UpstreamRoom& _limits)
{
	const double slots = slotsOf(_entry, _limits);
	if (_limits.kvTokens > 0)
	{
		return slots;
	}
	if (_room.samples < kMinWorkSamples)
	{
		return HUGE_VAL;
	}
	const double queueMs = std::max(0.0, _limits.queueableMs - kSlowAnswer * _room.workMs);
	return slots * (1.0 + queueMs / std::max(1.0, _room.workMs));
}

/// @returns Tokens held over those that may be held; above 1 a request does not fit.
double memoryUse(const UpstreamEntry& _entry, const UpstreamRoom& _limits, uint32_t _tokens)
{
	if (_limits.kvTokens == 0 || runningAt(_entry) == 0.0) // An empty engine takes any request.
	{
		return 0.0;
	}
	const double held = double(_entry.heldTokens) + double(_entry.others.tokens) + double(_tokens);
	return held / (kMemoryShare * double(_limits.kvTokens));
}

/// Urgency and account share of a request; lower goes first.
std::pair<uint32_t, int> priorityOf(const WaitingRequest& _request)
{
	const double excess = std::max(1.0, _request.accountExcess);
	return {_request.urgency, int(std::floor(std::log(excess) / std::log(kMaxExcess)))};
}

/// Order in which requests are let in.
std::tuple<bool, std::pair<uint32_t, int>, TimeUs, uint64_t> rankOf(uint64_t _id,
																	const WaitingRequest& _request)
{
	return {_request.blocked, priorityOf(_request), _request.deadline, _id};
}

/// @returns Index in `WaitingRoom::credits`.
size_t kindOf(const WaitingRequest& _request)
{
	return priorityOf(_request).second > 0 ? 1 : 0;
}

double countOf(const WaitingRoom& _room, size_t _kind)
{
	return double(std::count_if(_room.waiting.begin(), _room.waiting.end(),
								[_kind](const auto& _at) { return kindOf(_at.second) == _kind; }));
}

/// @returns The waiting request that goes last.
uint64_t lastInLine(const WaitingRoom& _room)
{
	const auto last = std::max_element(
		_room.waiting.begin(), _room.waiting.end(), [](const auto& _one, const auto& _other) {
			return rankOf(_one.first, _one.second) < rankOf(_other.first, _other.second);
		});
	return last == _room.waiting.end() ? 0 : last->first;
}

/// @returns Requests that the upstreams complete in a millisecond while they are full.
double completionsPerMs(const WaitingRoom& _room, const ServiceRoom& _places)
{
	return _room.workMs > 0.0 ? std::min(_places.running, _places.slots) / _room.workMs : 0.0;
}

double correctionMs(const WaitingRoom& _room)
{
	return std::max(kCorrectionMs, kCorrectionWorkShare * _room.workMs);
}

/// @returns This router's part of the requests of a kind that wait at all routers, bounded by its part of all
/// running and waiting requests.
double ownPart(const WaitingRoom& _room, const ServiceRoom& _places, size_t _kind)
{
	const WaitingElsewhere& elsewhere = _places.elsewhere;
	const double own = std::max(1.0, countOf(_room, _kind));
	const double others = _kind == 0 ? elsewhere.all - elsewhere.abovePart : elsewhere.abovePart;
	const double ofWaiting = own / (own + others);
	const double ofAll = (own + _places.ownRunning) / (own + _places.running + elsewhere.all);
	const bool reported = _room.waitsLast - _room.waitsSince >= kFirstReports;
	return std::min(ofWaiting, reported ? kMaxPart * ofAll : ofAll);
}

/// @returns Waiting requests of a kind that this router lets in within a millisecond. Those of accounts
/// within their part get all of the pace that they need, which is about their share of the running requests;
/// those of other accounts get the rest and what is free.
double pacePerMs(const WaitingRoom& _room, const ServiceRoom& _places, size_t _kind)
{
	const double share = _kind == 0 ? 1.0 : _places.elsewhere.runningAbovePart;
	const double all =
		share * completionsPerMs(_room, _places) + (_places.limit - _places.running) / correctionMs(_room);
	return std::max(0.0, all) * ownPart(_room, _places, _kind);
}

bool refusedLately(const WaitingRoom& _room, TimeUs _now)
{
	return _room.refusedAt != 0 && _now - _room.refusedAt < kRefusalMemory;
}

/// @returns The credit from which a request may be let in; the credit itself falls by 1 then.
double neededCredit(const WaitingRoom& _room, const WaitingRequest& _request, TimeUs _now)
{
	if (!refusedLately(_room, _now) || _request.urgency >= _room.refusedUrgency)
	{
		return 1.0;
	}
	return 1.0 - kAdvance;
}

void recordRefusal(WaitingRoom& _room, uint32_t _urgency, TimeUs _now)
{
	if (refusedLately(_room, _now) && _urgency < _room.refusedUrgency)
	{
		return; // The less urgent ones still give way.
	}
	_room.refusedUrgency = _urgency;
	_room.refusedAt = _now;
}

void updateCredit(WaitingRoom& _room, const ServiceRoom& _places, TimeUs _now)
{
	_room.waitsSince = _now - _room.waitsLast > kWaitPause ? _now : _room.waitsSince;
	_room.waitsLast = _now;
	const double passedMs = double(std::max<TimeUs>(0, _now - _room.creditAt)) / double(kMsToUs);
	for (size_t kind = 0; kind < _room.credits.size(); ++kind)
	{
		double& credit = _room.credits[kind];
		credit = std::min(kMaxCredit, credit + passedMs * pacePerMs(_room, _places, kind));
	}
	_room.creditAt = _now;
}
} // namespace

void recordWorkTime(WaitingRoom& _room, double _ms, double _queueFactor)
{
	const double sample = _ms / std::max(1.0, _queueFactor);
	const double weight = std::max(kWorkSmoothing, 1.0 / double(++_room.samples));
	_room.workMs += (sample - _room.workMs) * weight;
}

double queueFactor(const UpstreamEntry& _entry, uint32_t _slots)
{
	const double slots = std::max(1u, _slots > 0 ? _slots : _entry.record.slots);
	return 1.0 + std::max(0.0, runningAt(_entry) + 1.0 - slots) / slots;
}

bool hasRoom(const WaitingRoom& _room, const UpstreamEntry& _entry, const UpstreamRoom& _limits,
			 uint32_t _tokens)
{
	return runningAt(_entry) + 1.0 <= slotLimit(_room, _entry, _limits) &&
		   memoryUse(_entry, _limits, _tokens) <= 1.0;
}

ServiceRoom serviceRoom(const WaitingRoom& _room, const UpstreamTable& _table, const UpstreamQuery& _query,
						const UpstreamRoom& _limits, uint32_t _tokens, const WaitingElsewhere& _elsewhere,
						TimeUs _now)
{
	ServiceRoom places;
	places.elsewhere = _elsewhere;
	for (const Candidate& candidate : candidatesFor(_table, _query, _now))
	{
		const UpstreamEntry& entry = *candidate.entry;
		UpstreamPlaces place{candidate.idx, runningAt(entry), slotLimit(_room, entry, _limits)};
		place.slotsFull = place.running + 1.0 > place.limit;
		place.room = hasRoom(_room, entry, _limits, _tokens);
		const double memory = memoryUse(entry, _limits, _tokens);
		place.limit = memory > 1.0 ? std::min(place.limit, place.running / memory) : place.limit;
		places.withRoom += place.room ? 1 : 0;
		places.running += place.running;
		places.ownRunning += double(entry.inFlight);
		places.slots += slotsOf(entry, _limits);
		places.limit += place.limit;
		places.upstreams.push_back(place);
	}
	return places;
}

bool isFree(const ServiceRoom& _places)
{
	// Without a known work time nothing says how much may queue: the upstreams decide.
	const bool bounded = std::isfinite(_places.limit);
	return _places.withRoom > 0 && (!bounded || _places.running < kFreeShare * _places.slots);
}

bool goesAtOnce(const WaitingRoom& _room, const ServiceRoom& _places)
{
	const double noWaiting = 1.0 + kNoWaitingShare * _places.running;
	const bool nobodyHere = std::all_of(_room.waiting.begin(), _room.waiting.end(),
										[](const auto& _at) { return _at.second.blocked; });
	const bool nobodyWaits = nobodyHere && _places.elsewhere.all < noWaiting;
	return isFree(_places) || (_places.withRoom > 0 && nobodyWaits);
}

std::optional<uint64_t> enterWaitingRoom(WaitingRoom& _room, const WaitingRequest& _request,
										 const ServiceRoom& _places, double _phase, TimeUs _now)
{
	const size_t kind = kindOf(_request);
	if (countOf(_room, kind) == 0.0)
	{
		updateCredit(_room, _places, _now); // Repays what was used in advance.
		_room.credits[kind] = std::min(_room.credits[kind], _phase);
	}
	const uint64_t id = _room.nextId++;
	_room.waiting.emplace(id, _request);
	if (_room.waiting.size() > kMaxWaitingRequests)
	{
		const auto last = _room.waiting.find(lastInLine(_room));
		recordRefusal(_room, last->second.urgency, _now);
		_room.waiting.erase(last);
	}
	return isWaiting(_room, id) ? std::optional<uint64_t>(id) : std::nullopt;
}

void leaveWaitingRoom(WaitingRoom& _room, uint64_t _id)
{
	_room.waiting.erase(_id);
}

bool isWaiting(const WaitingRoom& _room, uint64_t _id)
{
	return _room.waiting.count(_id) != 0;
}

bool isNext(const WaitingRoom& _room, uint64_t _id)
{
	const auto own = _room.waiting.find(_id);
	return own != _room.waiting.end() &&
		   std::none_of(_room.waiting.begin(), _room.waiting.end(), [&](const auto& _other) {
			   return kindOf(_other.second) == kindOf(own->second) &&
					  rankOf(_other.first, _other.second) < rankOf(_id, own->second);
		   });
}

RoomDecision decideWaiting(WaitingRoom& _room, uint64_t _id, const ServiceRoom& _places, TimeUs _now)
{
	const auto found = _room.waiting.find(_id);
	if (found == _room.waiting.end())
	{
		return RoomDecision::Refuse;
	}
	found->second.blocked = _places.withRoom == 0;
	updateCredit(_room, _places, _now);
	const double needed = neededCredit(_room, found->second, _now);
	double& credit = _room.credits[kindOf(found->second)];
	const bool paced = credit >= needed && isNext(_room, _id);
	if (paced || isFree(_places))
	{
		credit -= paced ? 1.0 : 0.0;
		leaveWaitingRoom(_room, _id);
		return RoomDecision::Enter;
	}
	if (_now >= found->second.waitsUntil)
	{
		recordRefusal(_room, found->second.urgency, _now);
		leaveWaitingRoom(_room, _id);
		return RoomDecision::Refuse;
	}
	return RoomDecision::Wait;
}

TimeUs nextLook(const WaitingRoom& _room, const ServiceRoom& _places)
{
	double inMs = double(kMaxLook) / double(kMsToUs);
	for (size_t kind = 0; kind < _room.credits.size(); ++kind)
	{
		const double pace = pacePerMs(_room, _places, kind);
		const double missing = std::max(0.0, 1.0 - _room.credits[kind]);
		inMs = pace > 0.0 && countOf(_room, kind) > 0.0 ? std::min(inMs, missing / pace) : inMs;
	}
	return std::clamp(TimeUs(inMs * double(kMsToUs)), kMinLook, kMaxLook);
}

bool endsLate(const WaitingRoom& _room, TimeUs _deadline, TimeUs _now)
{
	return _room.samples >= kMinWorkSamples && _now + TimeUs(_room.workMs * double(kMsToUs)) > _deadline;
}

std::set<uint32_t> upstreamsLeftOut(const ServiceRoom& _places, bool _contended, Random& _random)
{
	std::set<uint32_t> out;
	if (_contended)
	{
		// Weighted draw without replacement: the smallest exponential keys of the weights win.
		std::vector<std::pair<double, uint32_t>> keys;
		for (const UpstreamPlaces& place : _places.upstreams)
		{
			const double left = place.limit - place.running;
			const double weight = left > 0.0 ? left : kFullDrawWeight / ((1.0 - left) * (1.0 - left));
			keys.emplace_back(-std::log(1.0 - nextUnit(_random)) / weight, place.idx);
		}
		std::sort(keys.begin(), keys.end());
		for (size_t ii = kDrawnUpstreams; ii < keys.size(); ++ii)
		{
			out.insert(keys[ii].second);
		}
		return out;
	}
	for (const UpstreamPlaces& place : _places.upstreams)
	{
		if (!place.room && _places.withRoom > 0)
		{
			out.insert(place.idx);
		}
	}
	return out;
}

uint32_t retryAfterRefusalMs(const WaitingRoom& _room, const ServiceRoom& _places, double _jitter)
{
	const double waiting = double(_room.waiting.size()) + _places.elsewhere.all + 1.0;
	const double ahead = waiting + std::max(0.0, _places.running - _places.limit);
	const double perMs = completionsPerMs(_room, _places);
	const double expectedMs = perMs > 0.0 ? ahead / perMs : 0.0;
	const double boundedMs = std::clamp(expectedMs, double(kMinRetryAfterMs), double(kMaxRetryAfterMs));
	return uint32_t(boundedMs * (1.0 + _jitter));
}
} // namespace spanplank
