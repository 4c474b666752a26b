/// The tree in which routers follow each other: whom each follows, what it does when that fails, sums of
/// loads.
#include "spanplank/peer_tree.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "spanplank/load_share.h"
#include "spanplank/peer_messages.h"

namespace spanplank
{
namespace
{
std::vector<PeerRecord> fleet(size_t _halls, size_t _routers)
{
	std::vector<PeerRecord> records;
	for (size_t ii = 0; ii < _routers; ++ii)
	{
		records.push_back({fmt::format("box-{}", ii), fmt::format("hall-{}", ii % _halls),
						   fmt::format("10.0.0.{}:7000", ii)});
	}
	return records;
}

PeerTree treeOf(const PeerRecord& _self, const std::vector<PeerRecord>& _all)
{
	PeerTree tree;
	tree.self = _self;
	for (const PeerRecord& record : _all)
	{
		registerPeer(tree, record);
	}
	return tree;
}

TEST(PeerTree, OneRouterWatchesOneInEachHallFollowsItTheOthersFollowTheirHalls)
{
	const std::vector<PeerRecord> all = fleet(4, 29);
	std::map<std::string, std::string> parents;
	std::map<std::string, std::string> halls;
	for (const PeerRecord& self : all)
	{
		parents[self.box] = chooseParent(treeOf(self, all), 0);
		halls[self.box] = self.hall;
	}
	size_t watchers = 0;
	size_t acrossHalls = 0;
	for (const auto& [box, parent] : parents)
	{
		watchers += parent.empty() ? 1 : 0;
		acrossHalls += !parent.empty() && halls[parent] != halls[box] ? 1 : 0;
		size_t hops = 0;
		for (std::string at = box; !at.empty(); at = parents[at])
		{
			ASSERT_LE(++hops, 3u) << "a change takes at most two hops";
		}
	}
	EXPECT_EQ(watchers, 1u);
	EXPECT_EQ(acrossHalls, 3u);
}

TEST(PeerTree, ARouterThatCanNotBeFollowedIsLeftOutForALongerWhileEachTime)
{
	const std::vector<PeerRecord> all = fleet(1, 5);
	PeerTree tree = treeOf(all[0], all);
	const std::string first = chooseParent(tree, 0);
	ASSERT_FALSE(first.empty());
	avoidPeer(tree, first, 0);
	EXPECT_NE(chooseParent(tree, 0), first);
	EXPECT_EQ(chooseParent(tree, kAvoidPeer), first);
	avoidPeer(tree, first, kAvoidPeer);
	EXPECT_NE(chooseParent(tree, kAvoidPeer * 2), first);
	noteFollowed(tree, first);
	avoidPeer(tree, first, kAvoidPeer * 10);
	EXPECT_EQ(chooseParent(tree, kAvoidPeer * 11), first) << "once it was followed it starts afresh";
}

TEST(PeerTree, ARouterWhoseRegistrationWentIsNotFollowedANewAddressStartsAfresh)
{
	const std::vector<PeerRecord> all = fleet(1, 3);
	PeerTree tree = treeOf(all[0], all);
	PeerRecord other = all[1];
	avoidPeer(tree, other.box, 0);
	other.address = "10.9.9.9:7000";
	registerPeer(tree, other);
	EXPECT_EQ(tree.peers.at(other.box).avoidUntil, 0);
	keepPeers(tree, {});
	EXPECT_EQ(chooseParent(tree, 0), "");
	registerPeer(tree, all[0]);
	EXPECT_TRUE(tree.peers.empty()) << "it is no peer of itself";
}

RC_GTEST_PROP(LoadShare, EachRouterHearsTheSumOfAllOthersAndNothingTwice, ())
{
	// A chain of three with two leaves at its middle; what each has is drawn.
	const auto drawn = [] {
		return LoadMap{{"u", {double(*rc::gen::inRange(0, 100)), 1}}};
	};
	const LoadMap top = drawn();
	const LoadMap middle = drawn();
	const LoadMap left = drawn();
	const LoadMap right = drawn();
	LoadShare middles;
	middles.children[1] = {left, 1};
	middles.children[2] = {right, 1};
	LoadShare tops;
	tops.children[7] = {loadForParent(middles, middle, 2), 2};
	middles.parent = {loadForChild(tops, top, 7, 3), 3};
	const double all =
		top.at("u").prefillMs + middle.at("u").prefillMs + left.at("u").prefillMs + right.at("u").prefillMs;
	const LoadMap heardByLeft = loadForChild(middles, middle, 1, 4);
	RC_ASSERT(heardByLeft.at("u").prefillMs == all - left.at("u").prefillMs);
	RC_ASSERT(heardByLeft.at("u").inFlight == 3u);
	UpstreamTable table;
	registerUpstream(table, {"u", "llm", "10.0.0.1:80", "a", "v1", 1, false});
	applyOthersLoad(tops, table, 4);
	RC_ASSERT(table.entries.at(0).others.prefillMs == all - top.at("u").prefillMs);
}

TEST(LoadShare, LoadsThatWereToldLongAgoCountNoMore)
{
	LoadShare share;
	share.children[1] = {{{"u", {50.0, 2}}}, 1};
	EXPECT_EQ(loadForParent(share, {}, kLoadLifetime).size(), 1u);
	EXPECT_TRUE(loadForParent(share, {}, kLoadLifetime + 1).empty());
}

TEST(PeerMessages, ComeBackAsTheyWereSent)
{
	PeerPong pong;
	pong.seq = 3;
	pong.revision = 99;
	pong.proofAge = 1234567;
	pong.loads = {{"u", {12.0, 3}}};
	const auto pongBack =
		nlohmann::json::from_cbor(nlohmann::json::to_cbor(nlohmann::json(pong))).get<PeerPong>();
	EXPECT_EQ(pongBack.revision, 99u);
	EXPECT_EQ(pongBack.proofAge, 1234567);
	EXPECT_EQ(pongBack.loads.at("u").inFlight, 3u);
	const StoreChanges changes{4, 6, {{"k", "value", 5, false}, {"gone", "", 6, true}}};
	const auto back =
		nlohmann::json::from_cbor(nlohmann::json::to_cbor(nlohmann::json(changes))).get<StoreChanges>();
	EXPECT_EQ(back.from, 4u);
	EXPECT_EQ(back.items.at(0).value, "value");
	EXPECT_TRUE(back.items.at(1).deleted);
}
} // namespace
} // namespace spanplank
