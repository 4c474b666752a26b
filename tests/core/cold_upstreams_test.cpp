/// Cold upstreams: the rate limit across all routers, with differing views of the fleet, and its use.
#include "spanplank/cold_upstreams.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "spanplank/request_plan.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr ColdService kService{14.0, 3 * kSecond};
constexpr ColdBounds kBounds{1.5, 5.0};
constexpr size_t kHalls = 3;

FleetMember member(size_t _idx)
{
	return {fmt::format("box-{}", _idx), fmt::format("hall-{}", _idx % kHalls)};
}

/// View of a fleet by one router. @param[in] _missing A router that is missing from it.
Fleet fleetOf(size_t _self, size_t _routers, size_t _missing)
{
	Fleet fleet;
	fleet.self = member(_self);
	fleet.synced = true;
	for (size_t ii = 0; ii < _routers; ++ii)
	{
		if (ii != _self && ii != _missing)
		{
			fleet.others.push_back(member(ii));
		}
	}
	return fleet;
}

/// Requests that a cold upstream receives from routers that always have work, each with its own view.
struct Load
{
	std::vector<RequestPace> routers;
	std::vector<TimeUs> sent;

	Load(size_t _routers, ColdSharing _sharing, size_t _unknown, uint64_t _upstream, Random& _random)
	{
		for (size_t ii = 0; ii < _routers; ++ii)
		{
			const Fleet fleet = fleetOf(ii, _routers, _unknown);
			RequestPace pace;
			const TimeUs spacing = coldSpacing(kService, kBounds, fleet, _upstream, "hall-1", _sharing);
			setSpacing(pace, spacing, nextUnit(_random), 0);
			routers.push_back(pace);
		}
	}

	/// @param[in] _jitter Maximum time between two attempts of a router.
	void run(TimeUs _for, TimeUs _jitter, Random& _random)
	{
		std::vector<TimeUs> nextTry(routers.size(), 0);
		for (TimeUs now = 0; now < _for; now += kMsToUs)
		{
			for (size_t ii = 0; ii < routers.size(); ++ii)
			{
				if (now < nextTry[ii])
				{
					continue;
				}
				nextTry[ii] = now + TimeUs(nextUnit(_random) * double(_jitter));
				if (isDue(routers[ii], now))
				{
					recordPacedRequest(routers[ii], now);
					sent.push_back(now);
				}
			}
		}
	}

	size_t maxPerSecond() const
	{
		std::deque<TimeUs> window;
		size_t highest = 0;
		for (const TimeUs at : sent)
		{
			window.push_back(at);
			while (at - window.front() >= kSecond)
			{
				window.pop_front();
			}
			highest = std::max(highest, window.size());
		}
		return highest;
	}
};

constexpr double kBound = 14.0 * 1.5 + 5.0;

RC_GTEST_PROP(ColdUpstream, GetsNoMoreThanTheBoundWithAnyViewsOfTheFleet, ())
{
	const size_t routers = *rc::gen::element<size_t>(1, 3, 23, 103, 300);
	const size_t unknown = *rc::gen::inRange<size_t>(0, routers + 1);
	Random random{*rc::gen::arbitrary<uint64_t>()};
	Load load(routers, ColdSharing::Owners, unknown, nextRandom(random), random);
	load.run(5 * kSecond, *rc::gen::inRange<TimeUs>(1, 60) * kMsToUs, random);
	RC_ASSERT(double(load.maxPerSecond()) <= kBound);
}

TEST(ColdUpstream, IsUsedAtItsRateByRoutersThatAlwaysHaveWork)
{
	for (const size_t routers : {1u, 3u, 23u, 103u, 300u})
	{
		Random random{routers};
		Load load(routers, ColdSharing::Owners, routers, 7, random);
		load.run(10 * kSecond, kMsToUs, random);
		EXPECT_GE(double(load.sent.size()) / 10.0, 0.8 * kService.perSecond) << routers;
	}
}

// With equal shares only chance keeps routers from sending in the same second, so only the mean is checked.
TEST(ColdUpstream, WithEqualSharesGetsTheSameOnAverage)
{
	Random random{3};
	Load load(23, ColdSharing::EqualShares, 23, 7, random);
	load.run(10 * kSecond, kMsToUs, random);
	EXPECT_NEAR(double(load.sent.size()) / 10.0, kService.perSecond, 2.0);
}

TEST(ColdUpstream, GetsNothingFromARouterThatTheOthersDoNotKnowYet)
{
	Fleet fleet = fleetOf(0, 1, 1);
	fleet.synced = false;
	EXPECT_EQ(coldSpacing(kService, kBounds, fleet, 7, "hall-0", ColdSharing::Owners), 0);
}

struct ColdTable : testing::Test
{
	UpstreamTable table;
	Random random{1};

	ColdTable()
	{
		table.coldServices["llm"] = kService;
	}

	UpstreamRecord record(const std::string& _id, const std::string& _hall, uint32_t _coldMs,
						  uint64_t _revision) const
	{
		UpstreamRecord upstream;
		upstream.id = _id;
		upstream.service = "llm";
		upstream.address = {"10.0.0.1", 80};
		upstream.hall = _hall;
		upstream.coldMs = _coldMs;
		upstream.revision = _revision;
		return upstream;
	}

	/// Sets the interval of a router that is the only one.
	void share(TimeUs _now)
	{
		for (auto& [idx, entry] : table.entries)
		{
			setSpacing(entry.pace, kSecond / 10, 0.0, _now);
		}
	}

	UpstreamId pick(TimeUs _now)
	{
		UpstreamQuery query;
		query.service = "llm";
		query.hall = "a";
		return pickDirectUpstream(table, query, _now, random);
	}

	size_t sendAll(TimeUs _from, TimeUs _to)
	{
		size_t sent = 0;
		for (TimeUs now = _from; now < _to; now += kMsToUs)
		{
			const UpstreamId chosen = pick(now);
			if (isValid(chosen))
			{
				recordSent(table, chosen, {}, now);
				recordEnded(table, chosen, 0.0, HealthOutcome::Good, now);
				++sent;
			}
		}
		return sent;
	}
};

TEST_F(ColdTable, AnUpstreamThatReportsToBeColdGetsItsRateUntilItIsWarm)
{
	registerUpstream(table, record("one", "a", 3000, 5), 0);
	EXPECT_FALSE(isValid(pick(0))) << "this router has no share of its rate yet";
	share(0);
	EXPECT_LE(sendAll(0, kSecond), 11u);
	registerUpstream(table, record("one", "a", 3000, 5), 2 * kSecond); // Listed again without a change.
	EXPECT_EQ(sendAll(3 * kSecond, 3 * kSecond + 50 * kMsToUs), 50u);
}

TEST_F(ColdTable, TheUpstreamsOfAReopenedHallAreTreatedAsCold)
{
	registerUpstream(table, record("one", "a", 0, 5), 0);
	recordHallReopened(table, "a", 10 * kSecond);
	share(10 * kSecond);
	EXPECT_LE(sendAll(10 * kSecond, 11 * kSecond), 11u);
	EXPECT_EQ(sendAll(13 * kSecond, 13 * kSecond + 50 * kMsToUs), 50u);
}

TEST_F(ColdTable, AnUpstreamThatAcceptedNoConnectionMayHaveRestarted)
{
	const UpstreamId one = registerUpstream(table, record("one", "a", 0, 5), 0);
	recordSent(table, one, {}, kSecond);
	recordEnded(table, one, 0.0, HealthOutcome::Unreachable, kSecond);
	share(kSecond);
	EXPECT_LE(sendAll(2 * kSecond, 3 * kSecond), 11u);
}

TEST_F(ColdTable, ARequestChosenForAWarmUpstreamIsNotSentOnceItIsCold)
{
	const UpstreamId one = registerUpstream(table, record("one", "a", 0, 5), 0);
	EXPECT_TRUE(maySendTo(table, one, kSecond));
	registerUpstream(table, record("one", "a", 3000, 6), kSecond);
	EXPECT_FALSE(maySendTo(table, one, kSecond));
	EXPECT_TRUE(maySendTo(table, one, kSecond, true)) << "within its rate limit";
}

TEST_F(ColdTable, WhereAllAreColdARequestWaitsBrieflyOrIsRefusedAtOnce)
{
	registerUpstream(table, record("one", "a", 3000, 5), 0);
	UpstreamQuery query;
	query.service = "llm";
	EXPECT_EQ(noUpstreamReason(table, query, 0), NoUpstream::Cold);
	RequestPlan plan;
	plan.targetMs = 2000;
	plan.deadline = 8 * kSecond;
	EXPECT_FALSE(mayWaitForUpstream(plan, *nextSendAt(table, query, 0), 0)) << "this router has no share";
	share(0);
	recordPacedRequest(table.entries.begin()->second.pace, 0);
	EXPECT_TRUE(mayWaitForUpstream(plan, *nextSendAt(table, query, 0), 0));
	EXPECT_EQ(finalAnswer(plan, AttemptEnd::NotSent, NoUpstream::Cold, 0.0, 0).status, status::kUnavailable);
}

TEST_F(ColdTable, AServiceWithoutALimitIsUsedWhateverItsUpstreamsReport)
{
	table.coldServices.clear();
	registerUpstream(table, record("one", "a", 3000, 5), 0);
	recordHallReopened(table, "a", 0);
	EXPECT_TRUE(isValid(pick(0)));
}
} // namespace
} // namespace spanplank
