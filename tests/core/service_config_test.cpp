/// Routes and the configuration cache of direct mode.
#include "spanplank/service_config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spanplank
{
namespace
{
Route route(std::string _name, std::string _host, std::string _prefix)
{
	Route route;
	route.name = std::move(_name);
	route.host = std::move(_host);
	route.pathPrefix = std::move(_prefix);
	return route;
}

ServiceConfigPtr configOf(uint64_t _version)
{
	auto config = std::make_shared<ServiceConfig>();
	config->version = _version;
	return config;
}

TEST(Routes, TheLongestPrefixOfTheHostWins)
{
	ServiceConfig config;
	config.routes = {route("short", "A.example", "/x/"), route("long", "a.example", "/x/y/"),
					 route("other", "b.example", "/x/y/z/")};
	indexRoutes(config);
	EXPECT_EQ(findRoute(config, "a.example:8080", "/x/y/z/1")->name, "long");
	EXPECT_EQ(findRoute(config, "A.EXAMPLE", "/x/q")->name, "short");
	EXPECT_EQ(findRoute(config, "a.example", "/y/"), nullptr);
	EXPECT_EQ(findRoute(config, "c.example", "/x/"), nullptr);
}

RC_GTEST_PROP(Routes, ServicesArePickedByWeightAndZeroWeightNever, ())
{
	Route split = route("split", "a", "/");
	split.targets = {{"one", 90.0}, {"none", 0.0}, {"two", 10.0}};
	const auto hash = *rc::gen::arbitrary<uint64_t>();
	RC_ASSERT(pickService(split, hash) != "none");
	RC_ASSERT(pickService(split, hash) == pickService(split, hash));
}

TEST(Routes, SharesFollowTheWeights)
{
	Route split = route("split", "a", "/");
	split.targets = {{"one", 90.0}, {"two", 10.0}};
	uint32_t two = 0;
	for (uint32_t ii = 0; ii < 10000; ++ii)
	{
		two += pickService(split, stableHash(std::to_string(ii))) == "two" ? 1 : 0;
	}
	EXPECT_NEAR(two, 1000, 120);
}

TEST(ConfigCache, NeverGoesBack)
{
	ConfigCache cache;
	EXPECT_TRUE(adoptConfig(cache, configOf(7)));
	EXPECT_FALSE(adoptConfig(cache, configOf(4)));
	EXPECT_FALSE(adoptConfig(cache, configOf(7)));
	EXPECT_EQ(cache.config->version, 7u);
	EXPECT_TRUE(adoptConfig(cache, configOf(9)));
}

TEST(ConfigCache, IsFreshOnlyWithinTheBoundAfterAConfirmation)
{
	ConfigCache cache;
	EXPECT_FALSE(isConfirmedFresh(cache, 1, 1000)) << "there was no confirmation yet";
	cache.confirmedAt = 5000;
	EXPECT_TRUE(isConfirmedFresh(cache, 5999, 1000));
	EXPECT_FALSE(isConfirmedFresh(cache, 6000, 1000));
}

TEST(Routes, OnlySafeAndResumableRequestsAreRepeatable)
{
	Route subject = route("r", "a", "/");
	subject.kind = RouteKind::Unsafe;
	subject.resumable = true;
	EXPECT_FALSE(isRepeatable(subject));
	subject.kind = RouteKind::Stream;
	EXPECT_TRUE(isRepeatable(subject));
	subject.resumable = false;
	EXPECT_FALSE(isRepeatable(subject));
	subject.kind = RouteKind::Safe;
	EXPECT_TRUE(isRepeatable(subject));
}
} // namespace
} // namespace spanplank
