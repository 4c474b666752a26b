/// Restriction of routes and accounts to regions.
#include "spanplank/region_limit.h"

#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
using Names = std::vector<std::string>;

const RegionOfHall kRegions = {{"south-a", "south"}, {"south-b", "south"}, {"north-a", "north"}};

TEST(RegionLimit, WithoutARegionAnyHallServes)
{
	EXPECT_TRUE(isAllowed(limitHalls(kRegions, {}, {}), "north-a"));
	EXPECT_TRUE(isAllowed(limitHalls({}, {}, {}), "unknown"));
}

TEST(RegionLimit, OnlyTheHallsOfTheRegionsServe)
{
	const HallLimit limit = limitHalls(kRegions, Names{"south"}, {});
	EXPECT_TRUE(isAllowed(limit, "south-b"));
	EXPECT_FALSE(isAllowed(limit, "north-a"));
	EXPECT_FALSE(isAllowed(limit, "unknown"))
		<< "a hall without a known region is in none of the allowed ones";
}

// An empty list was read as if there were none.
TEST(RegionLimit, WhereNoRegionIsAllowedNoHallServes)
{
	EXPECT_FALSE(isAllowed(limitHalls(kRegions, Names{}, {}), "north-a"));
	EXPECT_FALSE(isAllowed(limitHalls(kRegions, {}, Names{}), "north-a"));
	EXPECT_FALSE(isAllowed(limitHalls(kRegions, Names{"north"}, Names{}), "north-a"));
}

TEST(RegionLimit, RouteAndAccountBothHaveToAllowIt)
{
	EXPECT_TRUE(isAllowed(limitHalls(kRegions, Names{"south", "north"}, Names{"north"}), "north-a"));
	EXPECT_FALSE(isAllowed(limitHalls(kRegions, Names{"south", "north"}, Names{"north"}), "south-a"));
	EXPECT_FALSE(isAllowed(limitHalls(kRegions, Names{"south"}, Names{"north"}), "south-a"))
		<< "no hall is allowed by both";
}
} // namespace
} // namespace spanplank
