/// Sums of loads along the tree of routers, sent as changes.
#include "spanplank/load_share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kNow = 5000 * kMsToUs;
constexpr uint32_t kUpstreams = 3;

std::string upstreamName(uint32_t _idx)
{
	return "u" + std::to_string(_idx);
}

/// One router with its table and its shared load.
struct Router
{
	UpstreamTable table;
	LoadShare share;

	Router()
	{
		for (uint32_t idx = 0; idx < kUpstreams; ++idx)
		{
			registerUpstream(table, {upstreamName(idx), "llm", {"10.0.0.1", 80}, "a", "v1", 1, false});
		}
	}

	void setLoad(uint32_t _upstream, uint32_t _inFlight, double _prefillMs)
	{
		table.entries.at(_upstream).inFlight = _inFlight;
		table.entries.at(_upstream).prefillMs = _prefillMs;
	}
};

/// One ping and its answer. @param[in] _link Link of the child at the parent.
/// @returns Number of changes sent in both directions.
size_t exchange(Router& _child, Router& _parent, uint32_t _link, TimeUs _now)
{
	applyPeerLoads(_child.share, _child.table, _now);
	applyPeerLoads(_parent.share, _parent.table, _now);
	const std::vector<LoadChange> up = loadChangesFor(_child.share, _child.share.parent);
	NeighbourLoad& child = _parent.share.children[_link];
	applyLoads(_parent.share, child, up, _now);
	const std::vector<LoadChange> down = loadChangesFor(_parent.share, child);
	applyLoads(_child.share, _child.share.parent, down, _now);
	applyPeerLoads(_child.share, _child.table, _now);
	applyPeerLoads(_parent.share, _parent.table, _now);
	return up.size() + down.size();
}

/// A root, its child, and two children of that child.
struct Chain
{
	Router top;
	Router middle;
	Router left;
	Router right;

	/// Exchanges until all changes have reached all routers. @returns Changes sent in the last round.
	size_t exchangeAll(TimeUs _now)
	{
		size_t sent = 0;
		for (int round = 0; round < 4; ++round)
		{
			sent = exchange(left, middle, 1, _now) + exchange(right, middle, 2, _now) +
				   exchange(middle, top, 7, _now);
		}
		return sent;
	}

	std::vector<Router*> all()
	{
		return {&top, &middle, &left, &right};
	}
};

RC_GTEST_PROP(LoadShare, AfterAnyChangesEachRouterReceivesTheSumOfAllOthersAndThenNothingMore, ())
{
	Chain chain;
	for (int step = 0; step < 5; ++step)
	{
		for (Router* router : chain.all())
		{
			router->setLoad(*rc::gen::inRange<uint32_t>(0, kUpstreams), *rc::gen::inRange<uint32_t>(0, 3),
							double(*rc::gen::inRange(0, 500)));
		}
		RC_ASSERT(chain.exchangeAll(kNow + step) == 0u);
	}
	for (uint32_t idx = 0; idx < kUpstreams; ++idx)
	{
		double all = 0.0;
		for (Router* router : chain.all())
		{
			const UpstreamEntry& entry = router->table.entries.at(idx);
			all += entry.inFlight > 0 ? entry.prefillMs : 0.0;
		}
		for (Router* router : chain.all())
		{
			const UpstreamEntry& entry = router->table.entries.at(idx);
			const double own = entry.inFlight > 0 ? entry.prefillMs : 0.0;
			RC_ASSERT(entry.others.prefillMs == all - own);
		}
	}
}

TEST(LoadShare, OnlyChangesAreSent)
{
	Router child;
	Router parent;
	child.setLoad(0, 1, 100.0);
	child.setLoad(1, 1, 100.0);
	EXPECT_EQ(exchange(child, parent, 1, kNow), 2u);
	EXPECT_EQ(exchange(child, parent, 1, kNow), 0u);
	child.setLoad(1, 2, 150.0);
	EXPECT_EQ(exchange(child, parent, 1, kNow), 1u);
	EXPECT_EQ(parent.table.entries.at(1).others.prefillMs, 150.0);
	child.setLoad(0, 0, 0.0);
	EXPECT_EQ(exchange(child, parent, 1, kNow), 1u) << "an end is a change too";
	EXPECT_EQ(parent.table.entries.at(0).others.inFlight, 0u);
}

TEST(LoadShare, OutdatedLoadsAreExcludedUntilTheNeighbourReportsAgain)
{
	Router child;
	Router parent;
	child.setLoad(0, 2, 50.0);
	exchange(child, parent, 1, kNow);
	applyPeerLoads(parent.share, parent.table, kNow + kLoadLifetime);
	EXPECT_EQ(parent.table.entries.at(0).others.inFlight, 0u);
	exchange(child, parent, 1, kNow + 2 * kLoadLifetime);
	EXPECT_EQ(parent.table.entries.at(0).others.inFlight, 2u) << "included again without a change";
}

TEST(LoadShare, TheLoadOfALostNeighbourIsRemovedAndANewLinkStartsFromZero)
{
	Router child;
	Router parent;
	child.setLoad(0, 2, 50.0);
	exchange(child, parent, 1, kNow);
	removeLoads(parent.share, parent.share.children[1]);
	parent.share.children.erase(1);
	removeLoads(child.share, child.share.parent);
	applyPeerLoads(parent.share, parent.table, kNow);
	EXPECT_EQ(parent.table.entries.at(0).others.inFlight, 0u);
	exchange(child, parent, 2, kNow);
	EXPECT_EQ(parent.table.entries.at(0).others.inFlight, 2u);
}

TEST(LoadShare, UpstreamsThatAreGoneDoNotStayInTheSums)
{
	Router child;
	Router parent;
	for (uint32_t idx = 0; idx < 1000; ++idx)
	{
		const std::vector<LoadChange> begun{{keyOf(upstreamName(idx)), {10, 1}}};
		const std::vector<LoadChange> ended{{keyOf(upstreamName(idx)), {0, 0}}};
		applyLoads(parent.share, parent.share.children[1], begun, kNow);
		applyPeerLoads(parent.share, parent.table, kNow);
		applyLoads(parent.share, parent.share.children[1], ended, kNow);
		applyPeerLoads(parent.share, parent.table, kNow);
	}
	EXPECT_LT(parent.share.sum.size(), 200u);
	EXPECT_TRUE(parent.share.children[1].loads.empty());
}

// Guards against a report of one router that makes all others refuse a service: 4,194,304 units of tokens
// became 0 tokens, and two reports of 2e9 requests overflowed.
TEST(LoadShare, ReportsOutOfRangeAreIgnoredAndCounted)
{
	Router parent;
	NeighbourLoad& child = parent.share.children[1];
	const UpstreamKey key = keyOf(upstreamName(0));
	const std::vector<LoadChange> plausible{{key, {10, 2, 3}}};
	applyLoads(parent.share, child, plausible, kNow);
	const std::vector<LoadChange> implausible{
		{key, {-1, 0, 0}}, {key, {0, 2000000000, 0}}, {key, {0, 0, 2000000000}}};
	applyLoads(parent.share, child, implausible, kNow);
	applyPeerLoads(parent.share, parent.table, kNow);
	EXPECT_EQ(parent.share.rejectedRows, 3u);
	EXPECT_EQ(parent.table.entries.at(0).others.inFlight, 2u);
	EXPECT_EQ(parent.table.entries.at(0).others.tokens, 3 * kTokensPerUnit);
	EXPECT_EQ(tokensOf(4194304), UINT32_MAX);
	EXPECT_EQ(tokensOf(-1), 0u);
}

TEST(LoadShare, InARingWithAnIsolatedRouterSumsDoNotGrow)
{
	Router isolated;
	Router other;
	isolated.share.isolated = true;
	isolated.setLoad(0, 1, 100.0);
	other.setLoad(0, 1, 40.0);
	for (int round = 0; round < 50; ++round)
	{
		exchange(isolated, other, 1, kNow); // Each follows the other.
		exchange(other, isolated, 1, kNow);
	}
	EXPECT_LE(isolated.table.entries.at(0).others.prefillMs, 280.0) << "each twice at most";
	EXPECT_LE(other.table.entries.at(0).others.prefillMs, 280.0);
}
} // namespace
} // namespace spanplank
