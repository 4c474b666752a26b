/// Usage counted at every router is aggregated exactly once, whatever happens to the links between routers.
#include "spanplank/usage_ledger.h"

#include <gtest/gtest.h>
#include <vector>

#include "spanplank/peer_messages.h"
#include "spanplank/wall_clock.h"

namespace spanplank
{
namespace
{
constexpr uint64_t kWindow = 7;

UsageLedger ledgerOf(uint32_t _writer)
{
	UsageLedger ledger;
	ledger.writer = _writer;
	return ledger;
}

TEST(UsageLedger, AWindowHoldsWhatBeganInIt)
{
	constexpr TimeUs kSecond = 1000 * kMsToUs;
	constexpr TimeUs kLength = 5 * kSecond;
	EXPECT_EQ(usageWindowAt(35 * kSecond, kLength), 7u);
	EXPECT_EQ(usageWindowAt(35 * kSecond - 1, kLength), 6u);
}

TEST(UsageLedger, NewsAreToldOnceOverALinkAndAgainOverTheNext)
{
	UsageLedger ledger = ledgerOf(1);
	countUsage(ledger, "hall-one", kWindow);
	SentUsage sent;
	ASSERT_EQ(usageUpdateFor(ledger, sent, kUsageUpdateIntervalUs).size(), 1u);
	EXPECT_TRUE(usageUpdateFor(ledger, sent, 2 * kUsageUpdateIntervalUs).empty());
	countUsage(ledger, "hall-one", kWindow);
	EXPECT_TRUE(usageUpdateFor(ledger, sent, kUsageUpdateIntervalUs + 1).empty())
		<< "the update interval has not passed";
	EXPECT_EQ(usageUpdateFor(ledger, sent, 3 * kUsageUpdateIntervalUs).size(), 1u);
	SentUsage next;
	EXPECT_EQ(usageUpdateFor(ledger, next, 3 * kUsageUpdateIntervalUs).size(), 1u);
}

TEST(UsageLedger, ARouterOfAnEarlierVersionTellsNoUsage)
{
	PeerPing ping;
	ping.usage = {{{kWindow, 3}, {{"one", 2}}}};
	nlohmann::json wire = ping;
	EXPECT_EQ(wire.get<PeerPing>().usage[0].counts.at("one"), 2u);
	wire.erase(wire.begin() + 6, wire.end());
	EXPECT_TRUE(wire.get<PeerPing>().usage.empty());
}

// Routers count requests, change their parents and send rows repeatedly and by several paths. In the end the
// sum at the root equals the number of counted requests.
TEST(UsageLedgerProperty, CountsComeTogetherOnceWhateverTheLinksDo)
{
	constexpr uint32_t kRouters = 8;
	constexpr uint32_t kRounds = 200;
	for (uint64_t seed = 0; seed < 50; ++seed)
	{
		Random random{seed};
		std::vector<UsageLedger> ledgers;
		std::vector<SentUsage> sent(kRouters);
		std::vector<uint32_t> parent(kRouters, 0);
		for (uint32_t ii = 0; ii < kRouters; ++ii)
		{
			ledgers.push_back(ledgerOf(ii + 1));
		}
		uint64_t counted = 0;
		TimeUs now = kUsageUpdateIntervalUs;
		const auto sendUpdate = [&](uint32_t _from) {
			applyUsage(ledgers[parent[_from]], usageUpdateFor(ledgers[_from], sent[_from], now));
		};
		for (uint32_t round = 0; round < kRounds; ++round)
		{
			now += kUsageUpdateIntervalUs;
			const auto router = uint32_t(nextUnit(random) * kRouters);
			countUsage(ledgers[router], "account", kWindow);
			++counted;
			const auto moved = 1 + uint32_t(nextUnit(random) * (kRouters - 1));
			if (nextUnit(random) < 0.3)
			{
				parent[moved] = uint32_t(nextUnit(random) * moved);
				sent[moved] = {};
			}
			sendUpdate(moved);
		}
		for (uint32_t ii = kRouters; ii-- > 1;)
		{
			now += kUsageUpdateIntervalUs;
			sendUpdate(ii);
		}
		EXPECT_EQ(totalUsage(ledgers[0], kWindow)["account"], counted) << "seed " << seed;
	}
}

TEST(UsageLedger, WindowsThatAreNotReportedAnyMoreAreForgotten)
{
	UsageLedger ledger = ledgerOf(1);
	countUsage(ledger, "account", 1);
	countUsage(ledger, "account", 20);
	expireUsage(ledger, 20);
	EXPECT_EQ(ledger.rows.size(), 1u);
	EXPECT_TRUE(totalUsage(ledger, 1).empty());
}

// Guards against a box's clock that jumps by seconds and back, so that usage is counted in the wrong windows.
TEST(WallClock, AJumpOfTheBoxesClockDoesNotMoveTheTimeOfDay)
{
	constexpr TimeUs kStart = 1000000 * kMsToUs;
	constexpr TimeUs kJump = 2400 * kMsToUs;
	WallClock clock;
	EXPECT_EQ(wallTime(clock, kStart, 0), kStart);
	EXPECT_EQ(wallTime(clock, kStart + 2000, 1000), kStart + 2000) << "small corrections are applied";
	EXPECT_EQ(wallTime(clock, kStart + kJump, 2000), kStart + 3000);
	EXPECT_EQ(wallTime(clock, kStart - kJump, 3000), kStart + 4000);
}

TEST(WallClock, ARouterThatBeganWithAWrongClockTakesThatOfTheFirstItFollows)
{
	constexpr TimeUs kTrue = 1000000 * kMsToUs;
	constexpr TimeUs kWrong = 2000 * kMsToUs;
	WallClock clock;
	wallTime(clock, kTrue + kWrong, 0);
	EXPECT_TRUE(syncWallClock(clock, kTrue + 10, 10));
	EXPECT_EQ(wallTime(clock, kTrue + kWrong + 20, 20), kTrue + 20);
	EXPECT_FALSE(syncWallClock(clock, kTrue + kWrong, 30)) << "once only";
}
} // namespace
} // namespace spanplank
