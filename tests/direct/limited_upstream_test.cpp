/// Upstreams that state a limit of requests per second for all routers together.
#include "limited_fleet.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kMeasuredMs = 8000;

/// Requests that the users' rule allows in any `kLimitWindow`.
size_t allowedBy(double _perSecond)
{
	constexpr double kOvershoot = 1.5;
	constexpr double kSlack = 5.0;
	return size_t(_perSecond * kOvershoot * double(kLimitWindow) / (1000.0 * double(kMsToUs)) + kSlack);
}

/// @returns Half of the requests that a limit allows in a time: what is used of it at least.
size_t halfOf(double _perSecond, uint32_t _ms)
{
	return size_t(_perSecond * double(_ms) / 1000.0 / 2.0);
}

// An upstream that stated 1.4 a second got 71 requests in 4 s.
TEST_F(LimitedFleet, AnUpstreamGetsNoMoreThanTheLimitThatItStates)
{
	stateLimit(0, "1.4");
	load(kContactMs);
	countAnew();
	load(kMeasuredMs);
	EXPECT_LE(mostInWindow(0), allowedBy(1.4));
	EXPECT_GE(places[0]->arrivals.size(), halfOf(1.4, kMeasuredMs));
	EXPECT_EQ(refused(), 0u) << "the others have room";
}

// Four that stated 1.9 a second got 95 in 4 s each, and no request was refused.
TEST_F(LimitedFleet, WhereAllStateALimitTheRestIsRefusedWithATimeToComeBack)
{
	for (size_t ii = 0; ii < places.size(); ++ii)
	{
		stateLimit(ii, "1.9");
	}
	load(kContactMs);
	countAnew();
	load(kMeasuredMs);
	for (size_t ii = 0; ii < places.size(); ++ii)
	{
		EXPECT_LE(mostInWindow(ii), allowedBy(1.9)) << ii;
	}
	EXPECT_GE(served(), halfOf(1.9 * double(kLimitedUpstreams), kMeasuredMs));
	EXPECT_GT(refused(), 0u);
	EXPECT_EQ(refusedWithoutTime, 0u);
}

// A router that was killed and started blank sent 21 requests in 4 s to an upstream that had stated 1.4 a
// second.
TEST_F(LimitedFleet, ARouterThatStartsBlankKeepsALimitThatTheOthersWereTold)
{
	stateLimit(0, "1.4");
	load(kContactMs);
	countAnew();
	together({[&] { load(kMeasuredMs); },
			  [&] {
				  sleepFor(1000);
				  routers[1]->killHard();
				  routers[1]->start();
			  }});
	EXPECT_LE(mostInWindow(0), allowedBy(1.4));
	EXPECT_GT(places[0]->arrivals.size(), 0u);
}

TEST_F(LimitedFleet, AnUpstreamGetsItsShareAgainSoonAfterItStatesNoLimit)
{
	stateLimit(0, "1.4");
	load(kContactMs);
	places[0]->stand.notices.clear();
	load(kContactMs);
	countAnew();
	load(kMeasuredMs);
	size_t all = 0;
	for (const auto& place : places)
	{
		all += place->arrivals.size();
	}
	EXPECT_GE(places[0]->arrivals.size(), all / kLimitedUpstreams / 2);
	EXPECT_EQ(refused(), 0u);
}

TEST_F(LimitedFleet, ALimitWithoutSenseTakesNoUpstreamOutOfUse)
{
	const char* texts[] = {"-1", "nan", "inf", "many"};
	for (size_t ii = 0; ii < places.size(); ++ii)
	{
		stateLimit(ii, texts[ii]);
	}
	load(kContactMs);
	for (const auto& place : places)
	{
		EXPECT_GE(place->arrivals.size(), halfOf(1.9, kContactMs)) << place->stand.id;
	}
	EXPECT_EQ(refused(), 0u);
	EXPECT_NE(routers[0]->log().find("event=answer_field_ignored"), std::string::npos);
	for (const auto& router : routers)
	{
		EXPECT_FALSE(router->hasEnded());
	}
}
} // namespace
} // namespace spanplank
