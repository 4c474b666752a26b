/// The tree in which routers follow each other: the choice of the parent, also after failures, and the
/// messages between them.
#include "spanplank/peer_tree.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "spanplank/peer_messages.h"

namespace spanplank
{
namespace
{
constexpr BoxCapacity kLarge{0.5, 200.0};
constexpr BoxCapacity kSmall{0.09, 20.0};

std::vector<PeerRecord> fleet(size_t _halls, size_t _routers, const BoxCapacity& _capacity = kLarge)
{
	std::vector<PeerRecord> records;
	for (size_t ii = 0; ii < _routers; ++ii)
	{
		records.push_back({fmt::format("box-{}", ii),
						   fmt::format("hall-{}", ii % _halls),
						   {fmt::format("10.0.0.{}", ii), 7000},
						   _capacity});
	}
	return records;
}

/// A fleet of small boxes with a few large ones in each hall.
std::vector<PeerRecord> mixedFleet(size_t _halls, size_t _small, size_t _large)
{
	std::vector<PeerRecord> records = fleet(_halls, _small, kSmall);
	for (size_t ii = 0; ii < _large; ++ii)
	{
		records.push_back({fmt::format("large-{}", ii),
						   fmt::format("hall-{}", ii % _halls),
						   {fmt::format("10.0.1.{}", ii), 7000},
						   kLarge});
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

/// @returns The parent of each router, by box.
std::map<std::string, std::string> parentsOf(const std::vector<PeerRecord>& _all)
{
	std::map<std::string, std::string> parents;
	for (const PeerRecord& self : _all)
	{
		parents[self.box] = chooseParent(treeOf(self, _all), 0);
	}
	return parents;
}

std::map<std::string, uint32_t> followersOf(const std::map<std::string, std::string>& _parents)
{
	std::map<std::string, uint32_t> followers;
	for (const auto& [box, parent] : _parents)
	{
		followers[parent] += parent.empty() ? 0 : 1;
	}
	return followers;
}

size_t maxHops(const std::map<std::string, std::string>& _parents)
{
	size_t highest = 0;
	for (const auto& [box, parent] : _parents)
	{
		size_t hops = 0;
		for (std::string at = parent; !at.empty(); at = _parents.at(at))
		{
			++hops;
			if (hops > _parents.size())
			{
				ADD_FAILURE() << "routers follow each other in a cycle";
				return hops;
			}
		}
		highest = std::max(highest, hops);
	}
	return highest;
}

TEST(PeerTree, InAFleetWithAFewLargeBoxesOnlyTheLargeOnesHaveFollowers)
{
	const std::vector<PeerRecord> all = mixedFleet(5, 88, 15);
	const std::map<std::string, std::string> parents = parentsOf(all);
	for (const auto& [parent, count] : followersOf(parents))
	{
		EXPECT_TRUE(parent.empty() || parent.find("large") == 0) << parent << " has " << count;
		EXPECT_LE(count, maxFollowers(kLarge)) << parent;
	}
	EXPECT_LE(maxHops(parents), 4u);
}

TEST(PeerTree, InAFleetOfSmallBoxesEachHasFewFollowersOverMoreLevels)
{
	const std::map<std::string, std::string> parents = parentsOf(fleet(5, 103, kSmall));
	for (const auto& [parent, count] : followersOf(parents))
	{
		EXPECT_LE(count, maxFollowers(kSmall)) << parent;
	}
	EXPECT_LE(maxHops(parents), 6u);
	EXPECT_EQ(std::count_if(parents.begin(), parents.end(),
							[](const auto& _entry) { return _entry.second.empty(); }),
			  1);
}

RC_GTEST_PROP(PeerTree, WhateverStateEachRouterAssumesOfTheOthersThereAreNoCycles, ())
{
	const size_t halls = *rc::gen::inRange<size_t>(1, 6);
	const std::vector<PeerRecord> all =
		mixedFleet(halls, *rc::gen::inRange<size_t>(1, 40), *rc::gen::inRange<size_t>(0, 6));
	std::map<std::string, std::string> parents;
	for (const PeerRecord& self : all)
	{
		PeerTree tree = treeOf(self, all);
		for (const PeerRecord& other : all)
		{
			if (*rc::gen::inRange(0, 4) == 0)
			{
				avoidPeer(tree, other.box, 0);
			}
		}
		parents[self.box] = chooseParent(tree, 0);
	}
	RC_ASSERT(maxHops(parents) <= all.size());
}

TEST(PeerTree, ABoxOfUnknownCapacityRanksLastAndMayHaveTheFewestFollowers)
{
	std::vector<PeerRecord> all = fleet(1, 4, kSmall);
	all[0].capacity = {};
	EXPECT_EQ(maxFollowers(all[0].capacity), 2u);
	EXPECT_EQ(followersOf(parentsOf(all)).count(all[0].box), 0u);
}

TEST(PeerTree, ARouterThatCanNotBeFollowedIsLeftOutForALongerWhileEachTime)
{
	const std::vector<PeerRecord> all = fleet(1, 5);
	PeerTree tree = treeOf(all[0], all);
	const std::string first = chooseParent(tree, 0);
	ASSERT_FALSE(first.empty());
	avoidPeer(tree, first, 0);
	EXPECT_NE(chooseParent(tree, 0), first);
	EXPECT_EQ(chooseParent(tree, kAvoidPeerUs), first);
	avoidPeer(tree, first, kAvoidPeerUs);
	EXPECT_NE(chooseParent(tree, kAvoidPeerUs * 2), first);
	recordFollowed(tree, first);
	avoidPeer(tree, first, kAvoidPeerUs * 10);
	EXPECT_EQ(chooseParent(tree, kAvoidPeerUs * 11), first) << "its failures are reset once it was followed";
}

TEST(PeerTree, ARouterWithoutRegistrationIsNotFollowedANewAddressResetsItsFailures)
{
	const std::vector<PeerRecord> all = fleet(1, 3);
	PeerTree tree = treeOf(all[0], all);
	PeerRecord other = all[1];
	avoidPeer(tree, other.box, 0);
	other.address = {"10.9.9.9", 7000};
	registerPeer(tree, other);
	EXPECT_EQ(tree.peers.at(other.box).avoidUntil, 0);
	retainPeers(tree, {});
	EXPECT_EQ(chooseParent(tree, 0), "");
	registerPeer(tree, all[0]);
	EXPECT_TRUE(tree.peers.empty()) << "a router must not be its own peer";
}

TEST(PeerMessages, DecodingReturnsWhatWasEncoded)
{
	PeerPong pong;
	pong.seq = 3;
	pong.revision = 99;
	pong.confirmationAge = 1234567;
	pong.loads = {{keyOf("u"), {12, 3}}};
	pong.stopping = true;
	const auto decodedPong =
		nlohmann::json::from_cbor(nlohmann::json::to_cbor(nlohmann::json(pong))).get<PeerPong>();
	EXPECT_EQ(decodedPong.revision, 99u);
	EXPECT_EQ(decodedPong.confirmationAge, 1234567);
	ASSERT_EQ(decodedPong.loads.size(), 1u);
	EXPECT_EQ(decodedPong.loads[0].upstream, keyOf("u"));
	EXPECT_EQ(decodedPong.loads[0].load, (LoadCount{12, 3}));
	EXPECT_TRUE(decodedPong.stopping);
	const StoreChanges changes{4, 6, {{"k", "value", 5, false}, {"gone", "", 6, true}}};
	const auto decoded =
		nlohmann::json::from_cbor(nlohmann::json::to_cbor(nlohmann::json(changes))).get<StoreChanges>();
	EXPECT_EQ(decoded.from, 4u);
	EXPECT_EQ(decoded.items.at(0).value, "value");
	EXPECT_TRUE(decoded.items.at(1).deleted);
}
} // namespace
} // namespace spanplank
