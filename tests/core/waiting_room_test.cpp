/// Waiting for room at the upstreams of a service, over many routers with reports of different age.
#include "room_fleet.h"

#include <cmath>
#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
constexpr double kPlainTargetMs = 150.0;

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
} // namespace
} // namespace spanplank
