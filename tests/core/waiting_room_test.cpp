/// Waiting for room at the upstreams of a service, over many routers with reports of different age.
#include "room_fleet.h"

#include <cmath>
#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
constexpr double kPlainTargetMs = 150.0;
constexpr TimeUs kSecond = 1000 * kMsToUs;

struct PlainResult
{
	size_t arrived = 0;
	size_t served = 0;
	size_t late = 0;
	size_t refused = 0;
	size_t refusedBesideFree = 0;
	double canServe = 0.0; ///< Of the same arrivals by one router that knows the upstream's queue at once.
};

/// One upstream with six slots left of three, 26 routers, 80 to 150 requests per second in waves.
PlainResult runPlain(bool _on, uint64_t _seed, size_t _routers = 26)
{
	RoomFleet fleet(_routers, {SimUpstream{6}});
	fleet.on = _on;
	fleet.random.state = _seed;
	fleet.targetMs = kPlainTargetMs;
	fleet.deadlineMs = 4000.0;
	const TimeUs begin = fleet.now;
	fleet.run(20000.0, [&] {
		const double phase = double(fleet.now - begin) / 1e6 * 2.0 * M_PI / 4.0;
		const double perSecond = 115.0 + 35.0 * std::sin(phase);
		for (size_t left = fleet.arrivals(perSecond); left > 0; --left)
		{
			SimRequest request;
			request.router = size_t(fleet.between(0.0, double(_routers)));
			request.workMs = fleet.between(30.0, 80.0);
			fleet.arrive(request);
		}
	});
	fleet.run(2000.0, [] {});
	PlainResult result;
	result.arrived = fleet.requests.size();
	result.served = fleet.count([](const SimRequest& _at) { return _at.state == SimState::Served; });
	result.late = fleet.count(
		[](const SimRequest& _at) { return _at.state == SimState::Served && _at.tookMs() > kPlainTargetMs; });
	result.refused = fleet.count([](const SimRequest& _at) { return _at.state == SimState::Refused; });
	result.refusedBesideFree = fleet.count([](const SimRequest& _at) { return _at.refusedBesideFree; });
	std::vector<TimeUs> slots(6, 0);
	for (const SimRequest& request : fleet.requests)
	{
		TimeUs& first = *std::min_element(slots.begin(), slots.end());
		const TimeUs end = std::max(first, request.arrivedAt) + TimeUs(request.workMs) * kMsToUs;
		if (end - request.arrivedAt <= TimeUs(kPlainTargetMs) * kMsToUs)
		{
			first = end;
			result.canServe += 1.0;
		}
	}
	return result;
}

// Without the waiting room one upstream queued for everyone: 95 of 100 requests were late.
TEST(WaitingRoomReplay, APlainServiceWithTooLittleCapacityServesItsRequestsOnTime)
{
	for (uint64_t seed = 1; seed <= 5; ++seed)
	{
		const PlainResult result = runPlain(true, seed);
		EXPECT_LE(double(result.late), 0.05 * double(result.served)) << "seed " << seed;
	}
}

TEST(WaitingRoomReplay, APlainServiceServesWhatItsUpstreamCan)
{
	for (uint64_t seed = 1; seed <= 5; ++seed)
	{
		const PlainResult result = runPlain(true, seed);
		EXPECT_GE(double(result.served), 0.95 * result.canServe) << "seed " << seed;
	}
}

// Reports are older than the work on a request: half of the slots may be free by the time of a refusal.
TEST(WaitingRoomReplay, APlainServiceRefusesNothingWhileHalfOfItsSlotsAreFree)
{
	for (uint64_t seed = 1; seed <= 5; ++seed)
	{
		EXPECT_EQ(runPlain(true, seed).refusedBesideFree, 0u) << "seed " << seed;
	}
}

TEST(WaitingRoomReplay, WithoutTheRoomMostRequestsOfAPlainServiceAreLate)
{
	const PlainResult result = runPlain(false, 1);
	EXPECT_GT(double(result.late), 0.5 * double(result.served));
}

constexpr double kEngineDeadlineMs = 8000.0;
constexpr double kEngineWorkMs = 1000.0;
constexpr size_t kEngines = 12;
constexpr uint32_t kEngineSlots = 16;

struct EngineResult
{
	size_t started = 0;
	size_t served = 0;
	size_t timedOut = 0;
	size_t waited = 0;
	size_t refused = 0;
	std::map<uint32_t, double> servedShare; ///< By urgency.
};

/// Engines of which every third takes four times as long, for 10 s. @param[in] _load Share of their capacity.
EngineResult runEngines(bool _on, double _load, uint64_t _seed)
{
	std::vector<SimUpstream> engines(kEngines, SimUpstream{kEngineSlots});
	double perSecond = 0.0;
	for (size_t ii = 0; ii < kEngines; ++ii)
	{
		engines[ii].slowness = ii % 3 == 0 ? 4.0 : 1.0;
		perSecond += double(kEngineSlots) / (kEngineWorkMs * engines[ii].slowness) * 1000.0;
	}
	RoomFleet fleet(26, engines);
	fleet.on = _on;
	fleet.random.state = _seed;
	fleet.kvTokens = 142000; // 16 requests of 8,000 tokens, and 10 in 100 more.
	fleet.targetMs = 1000.0;
	fleet.deadlineMs = kEngineDeadlineMs;
	fleet.run(10000.0, [&] {
		for (size_t left = fleet.arrivals(perSecond * _load); left > 0; --left)
		{
			SimRequest request;
			request.router = size_t(fleet.between(0.0, 26.0));
			request.workMs = fleet.between(0.5, 1.5) * kEngineWorkMs;
			request.tokens = uint32_t(fleet.between(6000.0, 10000.0));
			request.subject = uint64_t(fleet.between(1.0, 40.0));
			const double kind = nextUnit(fleet.random);
			request.urgency = kind < 0.2 ? 0 : kind < 0.6 ? 3 : 6;
			fleet.arrive(request);
		}
	});
	fleet.run(kEngineDeadlineMs + 1000.0, [] {});
	EngineResult result;
	std::map<uint32_t, double> all;
	for (const SimRequest& request : fleet.requests)
	{
		const bool served = request.state == SimState::Served;
		result.started += request.upstream != kInvalidIdx ? 1 : 0;
		result.served += served ? 1 : 0;
		result.timedOut += request.state == SimState::TimedOut ? 1 : 0;
		result.waited += request.waited ? 1 : 0;
		result.refused += request.state == SimState::Refused ? 1 : 0;
		all[request.urgency] += 1.0;
		result.servedShare[request.urgency] += served ? 1.0 : 0.0;
	}
	for (auto& [urgency, share] : result.servedShare)
	{
		share /= all[urgency];
	}
	return result;
}

// Without the waiting room nothing is refused, and requests queue at the engines until their deadline.
TEST(WaitingRoomReplay, EnginesUnderTwiceTheirLoadFinishWhatTheyStart)
{
	const double full = double(runEngines(true, 1.0, 1).served);
	for (double load : {1.5, 2.0})
	{
		const EngineResult result = runEngines(true, load, 1);
		EXPECT_GE(double(result.served), 0.95 * double(result.started)) << load;
		EXPECT_GE(double(result.served), 0.9 * full) << load;
		EXPECT_EQ(result.timedOut, 0u) << load;
		EXPECT_GE(result.servedShare.at(0), 0.95) << load;
		EXPECT_GT(result.servedShare.at(0), result.servedShare.at(3)) << load;
		EXPECT_GT(result.servedShare.at(3), result.servedShare.at(6)) << load;
	}
	EXPECT_GT(runEngines(false, 2.0, 1).timedOut, 100u) << "without the room";
}

// No part delays or refuses a request while there is capacity.
TEST(WaitingRoomReplay, EnginesWithSpareCapacityDelayAndRefuseNothing)
{
	const EngineResult result = runEngines(true, 0.6, 1);
	EXPECT_EQ(result.waited, 0u);
	EXPECT_EQ(result.refused, 0u);
}

constexpr TimeUs kNow = 5000 * kMsToUs;

/// A router before one upstream with two slots, each 50 ms at work on a request.
struct OneUpstream : testing::Test
{
	UpstreamTable table;
	WaitingRoom room;
	const UpstreamRoom limits{0, 0, 100.0};

	OneUpstream()
	{
		registerUpstream(table, record(1));
		for (int ii = 0; ii < 20; ++ii)
		{
			recordWorkTime(room, 50.0);
		}
	}

	static UpstreamRecord record(uint64_t _startedAtMs)
	{
		UpstreamRecord upstream;
		upstream.id = "u";
		upstream.service = "app";
		upstream.hall = "a";
		upstream.slots = 2;
		upstream.startedAtMs = _startedAtMs;
		return upstream;
	}

	ServiceRoom places(double _elsewhere = 0.0)
	{
		UpstreamQuery query;
		query.service = "app";
		return serviceRoom(room, table, query, limits, 0, {_elsewhere, 0.0, 0.0}, kNow);
	}

	UpstreamEntry& entry()
	{
		return table.entries.at(currentIncarnation(table, "u").idx);
	}

	uint64_t enter(const WaitingRequest& _request)
	{
		return enterWaitingRoom(room, _request, places(), 0.0, kNow).value_or(0);
	}
};

TEST_F(OneUpstream, ThatIsFullOverAllRoutersHasNoRoom)
{
	entry().others.inFlight = 1;
	EXPECT_TRUE(goesAtOnce(room, places()));
	entry().others.inFlight = 4;
	EXPECT_FALSE(goesAtOnce(room, places()));
}

TEST_F(OneUpstream, QueuesOnlyWhatStartsInTime)
{
	// 100 ms to queue, less 75 ms for a slow answer, let one request queue for each two slots.
	entry().inFlight = 2;
	EXPECT_TRUE(hasRoom(room, entry(), limits, 0));
	entry().inFlight = 3;
	EXPECT_FALSE(hasRoom(room, entry(), limits, 0));
}

// A router that has started blank behaves as before until it has seen answers.
TEST_F(OneUpstream, IsNotLimitedBeforeItsWorkTimeIsKnown)
{
	room = {};
	entry().inFlight = 50;
	EXPECT_TRUE(goesAtOnce(room, places(10.0)));
}

// The loads of a lost router, and of all others at one that is cut off, leave the sums after a second.
TEST_F(OneUpstream, HasRoomAgainWhenTheReportsOfOthersAreOutdated)
{
	LoadShare loads;
	applyLoads(loads, loads.parent, {LoadChange{entry().key, {0, 9, 0}}}, kNow);
	applyPeerLoads(loads, table, kNow);
	EXPECT_FALSE(goesAtOnce(room, places()));
	applyPeerLoads(loads, table, kNow + kLoadLifetime);
	EXPECT_TRUE(goesAtOnce(room, places()));
}

TEST_F(OneUpstream, HasRoomAfterARestart)
{
	entry().inFlight = 9;
	EXPECT_FALSE(goesAtOnce(room, places()));
	registerUpstream(table, record(2));
	EXPECT_TRUE(goesAtOnce(room, places()));
}

TEST_F(OneUpstream, IsLeftToTheUrgentThenToAccountsWithinTheirPartThenToTheFirstDeadline)
{
	entry().inFlight = 9;
	const uint64_t large = enter({1, 3.0, kNow + 10, kNow + 100});
	const uint64_t late = enter({1, 0.5, kNow + 90, kNow + 100});
	const uint64_t soon = enter({1, 0.9, kNow + 50, kNow + 100});
	const uint64_t urgent = enter({0, 0.5, kNow + 90, kNow + 100});
	for (const uint64_t id : {urgent, soon, late})
	{
		EXPECT_TRUE(isNext(room, id));
		leaveWaitingRoom(room, id);
	}
	EXPECT_TRUE(isNext(room, large));
}

// Guards against one request that no upstream has room for, by its hall, version or size, and that holds up
// all others: beside one such request every 260 ms, 156 of 500 others were refused and none went at once.
TEST_F(OneUpstream, IsNotWithheldFromOthersByARequestThatItHasNoRoomFor)
{
	entry().inFlight = 9;
	const uint64_t first = enter({0, 0.0, kNow + kSecond, kNow + kSecond});
	EXPECT_EQ(decideWaiting(room, first, places(), kNow), RoomDecision::Wait);
	entry().inFlight = 2; // The others may use it, the first one may not.
	EXPECT_TRUE(goesAtOnce(room, places()));
	entry().inFlight = 9;
	const uint64_t second = enter({1, 0.0, kNow + kSecond, kNow + kSecond});
	EXPECT_TRUE(isNext(room, second));
	EXPECT_FALSE(isNext(room, first));
}

TEST_F(OneUpstream, HoldsNoMoreThan64AndTheLastGivesWay)
{
	entry().inFlight = 9;
	const uint64_t first = enter({5, 0.0, kNow, kNow + 100});
	for (size_t ii = 1; ii < kMaxWaitingRequests; ++ii)
	{
		EXPECT_NE(enter({3, 0.0, kNow, kNow + 100}), 0u);
	}
	EXPECT_EQ(enter({7, 0.0, kNow, kNow + 100}), 0u) << "it would be the last";
	EXPECT_NE(enter({1, 0.0, kNow, kNow + 100}), 0u);
	EXPECT_FALSE(isWaiting(room, first));
	EXPECT_EQ(room.waiting.size(), kMaxWaitingRequests);
}

// A refusal while half of the slots are free is a fault, whatever waits elsewhere.
TEST_F(OneUpstream, RefusesNothingWhileHalfOfItIsFree)
{
	entry().inFlight = 9;
	const uint64_t id = enter({1, 0.0, kNow - 1, kNow - 1});
	entry().inFlight = 1;
	EXPECT_EQ(decideWaiting(room, id, places(50.0), kNow), RoomDecision::Enter);
}

TEST_F(OneUpstream, SpreadsTheReturnOfRefusedCallersOverTwiceTheExpectedTime)
{
	entry().inFlight = 2;
	// 10 wait elsewhere and this one: 11 requests, of which one ends each 25 ms.
	EXPECT_EQ(retryAfterRefusalMs(room, places(10.0), 0.0), 275u);
	EXPECT_EQ(retryAfterRefusalMs(room, places(10.0), 1.0), 550u);
}

TEST_F(OneUpstream, OfAnEngineTakesNoMoreThanItsMemory)
{
	const UpstreamRoom engine{8, 100000, 0.0};
	entry().inFlight = 3;
	entry().heldTokens = 30000;
	entry().others.tokens = 60000;
	EXPECT_TRUE(hasRoom(room, entry(), engine, 5000));
	EXPECT_FALSE(hasRoom(room, entry(), engine, 5001)) << "5 of 100 are for what is not reported yet";
	entry().inFlight = 0;
	entry().heldTokens = 0;
	EXPECT_TRUE(hasRoom(room, entry(), engine, 500000)) << "an empty engine takes any request";
}
} // namespace
} // namespace spanplank
