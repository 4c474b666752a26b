/// Exchange of prompt homes between routers.
#include "spanplank/home_share.h"

#include <gtest/gtest.h>

#include "spanplank/peer_messages.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kNow = 1000 * kMsToUs;
constexpr uint64_t kPart = 7;

struct Router
{
	HomeShare share;
	UpstreamTable table;

	Router()
	{
		table.receivesPeerUpdates = true;
		for (const char* id : {"u-one", "u-two", "u-three"})
		{
			registerUpstream(table, {id, "chat", {"10.0.0.1", 1}, "hall", "v1", 8, false});
		}
	}

	UpstreamQuery query() const
	{
		UpstreamQuery query;
		query.service = "chat";
		query.shared = {{kPart, 10000}};
		query.ownTokens = 100;
		return query;
	}

	UpstreamId pick(Random& _random) const
	{
		return pickDirectUpstream(table, query(), kNow, _random);
	}
};

/// Exchanges the pending homes of two neighbours. @param[in] _link Link of the child at the parent.
void exchange(Router& _child, Router& _parent, uint32_t _link)
{
	collectOwnHomes(_child.share, _child.table);
	collectOwnHomes(_parent.share, _parent.table);
	applyHomes(_parent.share, _parent.table, _link, homesForParent(_child.share), kNow);
	applyHomes(_child.share, _child.table, kParentNeighbour, homesForChild(_parent.share, _link), kNow);
}

TEST(HomeShare, AllRoutersSendAPartWhereOneOfThemHasSentIt)
{
	Router parent;
	Router left;
	Router right;
	exchange(left, parent, 1);
	exchange(right, parent, 2);
	Random random;
	const UpstreamId usual = parent.pick(random);
	const UpstreamId other{(usual.idx + 1) % 3};
	recordSent(left.table, other, left.query(), kNow);
	recordEnded(left.table, other, 0.0, HealthOutcome::None, kNow);
	EXPECT_EQ(parent.pick(random).idx, usual.idx) << "it has received nothing yet and uses the hash order";
	exchange(left, parent, 1);
	exchange(right, parent, 2);
	EXPECT_EQ(parent.pick(random).idx, other.idx);
	EXPECT_EQ(right.pick(random).idx, other.idx);
}

TEST(HomeShare, HomesAreNotSentBackToTheirSender)
{
	Router parent;
	Router child;
	exchange(child, parent, 1);
	recordSent(child.table, UpstreamId{0}, child.query(), kNow);
	collectOwnHomes(child.share, child.table);
	const std::vector<NewHome> sent = homesForParent(child.share);
	EXPECT_EQ(sent, (std::vector<NewHome>{{kPart, keyOf("u-one")}}));
	applyHomes(parent.share, parent.table, 1, sent, kNow);
	EXPECT_TRUE(homesForChild(parent.share, 1).empty());
	EXPECT_TRUE(homesForParent(child.share).empty()) << "it is sent once";
}

TEST(HomeShare, TheOutboxIsBoundedAndUnknownUpstreamsAreIgnored)
{
	Router router;
	homesForChild(router.share, 1);
	for (uint64_t part = 0; part < 3 * uint64_t(kMaxUnsentHomes); ++part)
	{
		const std::vector<NewHome> homes{{part, keyOf("u-one")}, {part, keyOf("u-gone")}};
		applyHomes(router.share, router.table, kParentNeighbour, homes, kNow);
	}
	EXPECT_EQ(homesForChild(router.share, 1).size(), kMaxUnsentHomes);
}

TEST(HomeShare, APartThatIsSentToTheSameUpstreamAgainSoonIsNotReported)
{
	Router router;
	recordSent(router.table, UpstreamId{0}, router.query(), kNow);
	recordSent(router.table, UpstreamId{0}, router.query(), kNow + 1000 * kMsToUs);
	EXPECT_EQ(router.table.newHomes.size(), 1u);
	recordSent(router.table, UpstreamId{0}, router.query(), kNow + 6000 * kMsToUs);
	EXPECT_EQ(router.table.newHomes.size(), 2u) << "it would expire at the others otherwise";
}

TEST(HomeShare, MessagesOfEarlierVersionsHaveNoLoadsAndNoHomes)
{
	const auto ping = nlohmann::json::parse(R"([3, {"u": [5, 1]}])").get<PeerPing>();
	EXPECT_EQ(ping.seq, 3u);
	EXPECT_TRUE(ping.loads.empty());
	EXPECT_TRUE(ping.homes.empty());
	const auto earlier = nlohmann::json::parse(R"([3, 7, 1000, {"u": [5, 1]}, {"u": [9]}])").get<PeerPong>();
	EXPECT_EQ(earlier.revision, 7u);
	EXPECT_TRUE(earlier.loads.empty());
	EXPECT_TRUE(earlier.homes.empty());
	EXPECT_FALSE(earlier.stopping);
	PeerPong pong;
	pong.homes = {{kPart, keyOf("u-one")}};
	EXPECT_EQ(nlohmann::json(pong).get<PeerPong>().homes, pong.homes);
}
} // namespace
} // namespace spanplank
