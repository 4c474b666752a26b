/// Upstreams that turn requests away and ask the router for a time without any.
#include "limited_fleet.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kRestMs = 3000;
constexpr TimeUs kUnderWay = 500 * kMsToUs; ///< After the answer: requests that were sent before.
constexpr size_t kMostInRest = 2;

/// What an upstream got of one router in a rest that it had asked that router for.
struct RestingFleet : LimitedFleet
{
	/// @returns The most requests of one router in one rest of an upstream.
	size_t mostInRest(size_t _place) const
	{
		const LimitedUpstream& place = *places[_place];
		size_t most = 0;
		for (const auto& [router, arrivals] : place.arrivalsOf)
		{
			for (const TimeUs asked :
				 place.askedOf.count(router) != 0 ? place.askedOf.at(router) : std::vector<TimeUs>())
			{
				const auto inRest = [asked](TimeUs _at) {
					return _at > asked + kUnderWay && _at < asked + TimeUs(kRestMs) * kMsToUs;
				};
				most = std::max(most, size_t(std::count_if(arrivals.begin(), arrivals.end(), inRest)));
			}
		}
		return most;
	}

	void askForRest(size_t _place, const std::string& _seconds)
	{
		places[_place]->rejects = true;
		places[_place]->stand.notices = {{"Retry-After", _seconds}};
	}

	void recover(size_t _place)
	{
		places[_place]->rejects = false;
		places[_place]->stand.notices.clear();
	}
};

// Two of four turned all away and asked for 3 s of rest: 30 requests of one router in one rest.
TEST_F(RestingFleet, AnUpstreamGetsTwoRequestsOfARouterInARestAndNoCallerIsRefused)
{
	askForRest(0, "3");
	askForRest(1, "3");
	load(2 * kRestMs);
	EXPECT_LE(mostInRest(0), kMostInRest);
	EXPECT_LE(mostInRest(1), kMostInRest);
	EXPECT_EQ(refused(), 0u);
}

// All turned all away for a while: 33 requests of one router in one rest.
TEST_F(RestingFleet, WhereAllRestRequestsAreRefusedWithATimeToComeBackAndServedAfterIt)
{
	for (size_t ii = 0; ii < places.size(); ++ii)
	{
		askForRest(ii, "3");
	}
	load(kRestMs - 500);
	for (size_t ii = 0; ii < places.size(); ++ii)
	{
		EXPECT_LE(mostInRest(ii), kMostInRest) << ii;
		recover(ii);
	}
	EXPECT_GT(refused(), 0u);
	EXPECT_EQ(refusedWithoutTime, 0u);
	load(2 * kRestMs);
	countAnew();
	load(1000);
	EXPECT_EQ(refused(), 0u);
	EXPECT_GT(served(), 0u);
}

TEST_F(RestingFleet, ARestWithoutSenseTakesNoUpstreamOutOfUse)
{
	const char* texts[] = {"-1", "nan", "inf", "soon"};
	for (size_t ii = 0; ii < places.size(); ++ii)
	{
		askForRest(ii, texts[ii]);
	}
	load(500);
	for (size_t ii = 0; ii < places.size(); ++ii)
	{
		recover(ii);
	}
	countAnew();
	load(1000);
	EXPECT_EQ(refused(), 0u);
	for (const auto& place : places)
	{
		EXPECT_GT(place->arrivals.size(), 0u) << place->stand.id;
	}
}
} // namespace
} // namespace spanplank
