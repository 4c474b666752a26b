/// Evacuated halls: orders, withdrawals and lists in any order, and their effect on the choice of upstreams.
#include "spanplank/hall_evacuation.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "spanplank/request_plan.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
namespace
{
constexpr size_t kHalls = 3;

std::string hallName(size_t _idx)
{
	return fmt::format("hall-{}", _idx);
}

struct Evacuation : testing::Test
{
	UpstreamTable table;
	Random random{1};
	std::set<uint32_t> tried;

	UpstreamId add(const std::string& _id, const std::string& _hall, const std::string& _service = "llm")
	{
		return registerUpstream(table, {_id, _service, {"10.0.0.1", 80}, _hall, "v1", 8, false});
	}

	UpstreamQuery query(std::string_view _hall, std::string_view _service = "llm") const
	{
		UpstreamQuery query;
		query.service = _service;
		query.hall = _hall;
		query.tried = &tried;
		return query;
	}

	std::string pick(const UpstreamQuery& _query)
	{
		const UpstreamId id = pickDirectUpstream(table, _query, 0, random);
		return isValid(id) ? table.entries.at(id.idx).record.id : "";
	}
};

TEST_F(Evacuation, AnEvacuatedHallGetsNothingOfAnyServiceUntilTheOrderIsWithdrawn)
{
	const UpstreamId near = add("near", "a");
	add("far", "b");
	add("plain", "a", "app");
	EXPECT_EQ(pick(query("a")), "near");
	evacuateHall(table.halls, "a", 5);
	EXPECT_EQ(pick(query("a")), "far");
	EXPECT_EQ(pick(query("a", "app")), "");
	EXPECT_FALSE(maySendTo(table, near, 0)) << "checked again before the first byte is sent";
	reopenHall(table.halls, "a", 6);
	EXPECT_EQ(pick(query("a")), "near");
	EXPECT_EQ(pick(query("a", "app")), "plain");
	EXPECT_TRUE(maySendTo(table, near, 0));
}

TEST_F(Evacuation, WithAllHallsEvacuatedARequestIsRefusedWithARetryTime)
{
	add("one", "a");
	add("two", "b");
	evacuateHall(table.halls, "a", 5);
	evacuateHall(table.halls, "b", 6);
	EXPECT_EQ(pick(query("a")), "");
	const NoUpstream why = noUpstreamReason(table, query("a"), 0);
	EXPECT_EQ(why, NoUpstream::Evacuated);
	const FinalAnswer first = finalAnswer({}, AttemptEnd::NotSent, why, 0.0, 0);
	const FinalAnswer last = finalAnswer({}, AttemptEnd::NotSent, why, 1.0, 0);
	EXPECT_EQ(first.status, status::kUnavailable);
	EXPECT_GT(first.retryAfterMs, 0u);
	EXPECT_GT(last.retryAfterMs, first.retryAfterMs) << "the retries of callers are spread";
	EXPECT_EQ(noUpstreamReason(table, query("a", "none"), 0), NoUpstream::None);
}

TEST_F(Evacuation, AnUpstreamThatLapsedInAnOutageIsNotUsedInAnEvacuatedHall)
{
	add("one", "a");
	recordStoreConfirmation(table.contact, 1, 1);
	for (TimeUs now = 0; now < 9000 * kMsToUs; now += kRunCheckPeriodMs * kMsToUs)
	{
		recordRunning(table.contact, now);
	}
	unregisterUpstream(table, "one", 9000 * kMsToUs);
	const TimeUs soon = 9001 * kMsToUs;
	EXPECT_TRUE(isValid(pickDirectUpstream(table, query("a"), soon, random)));
	evacuateHall(table.halls, "a", 2);
	EXPECT_FALSE(isValid(pickDirectUpstream(table, query("a"), soon, random)));
}

/// Whatever part of the store's history arrives, in whatever order, the newest state of a hall is in force.
RC_GTEST_PROP(HallOrders, TheNewestStateInTheStoreIsInForceInAnyOrder, ())
{
	struct Order
	{
		size_t hall;
		bool evacuated;
	};
	std::vector<Order> history; // The revision of each is its position, from 1.
	HallOrders orders;
	std::vector<uint64_t> newest(kHalls, 0); // Newest received revision, by hall.
	for (int ii = 0; ii < 30; ++ii)
	{
		history.push_back({*rc::gen::inRange<size_t>(0, kHalls), *rc::gen::arbitrary<bool>()});
		const uint64_t revision = *rc::gen::inRange<uint64_t>(1, history.size() + 1);
		const auto stateAt = [&](size_t _hall, uint64_t _revision) {
			bool evacuated = false;
			for (size_t at = 0; at < _revision; ++at)
			{
				evacuated = history[at].hall == _hall ? history[at].evacuated : evacuated;
			}
			return evacuated;
		};
		if (*rc::gen::inRange(0, 4) == 0)
		{
			std::vector<std::string> listed;
			for (size_t hall = 0; hall < kHalls; ++hall)
			{
				newest[hall] = std::max(newest[hall], revision);
				if (stateAt(hall, revision))
				{
					listed.push_back(hallName(hall));
					evacuateHall(orders, hallName(hall), revision);
				}
			}
			reopenOtherHalls(orders, listed, revision);
		}
		else
		{
			const Order order = history[revision - 1];
			newest[order.hall] = std::max(newest[order.hall], revision);
			(order.evacuated ? evacuateHall : reopenHall)(orders, hallName(order.hall), revision);
		}
		for (size_t hall = 0; hall < kHalls; ++hall)
		{
			RC_ASSERT(isEvacuated(orders, hallName(hall)) == stateAt(hall, newest[hall]));
		}
	}
}
} // namespace
} // namespace spanplank
