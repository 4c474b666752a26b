/// Evacuated halls, seen from callers and upstreams: by watch, by list, taken back, to routers that start
/// blank.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"

namespace spanplank
{
namespace
{
constexpr int kCalls = 12;

struct EvacuatedHall : testing::Test
{
	DirectSystem system;
	StandInUpstream& near = system.addUpstream("u-near", "app");
	StandInUpstream& far = system.addUpstream("u-far", "app");

	EvacuatedHall()
	{
		far.hall = "hall-b";
		system.registerUpstream(far);
		system.startReady(2);
	}

	bool logged(const std::string& _text) const
	{
		return eventually([&] { return system.log().find(_text) != std::string::npos; });
	}

	void evacuate(const std::string& _hall)
	{
		setItem(system.store, "op/evacuate/" + _hall, "{}");
	}

	void callAll(int _status)
	{
		near.requests.clear();
		far.requests.clear();
		for (int ii = 0; ii < kCalls; ++ii)
		{
			EXPECT_EQ(system.call("GET", "/plain/x").status, _status);
		}
	}
};

// The order was decoded nowhere: all of 12 requests still reached the hall.
TEST_F(EvacuatedHall, GetsNothingUntilTheOrderIsTakenBack)
{
	evacuate("hall-a");
	ASSERT_TRUE(logged("event=hall_evacuated hall=\"hall-a\""));
	callAll(200);
	EXPECT_EQ(near.requests.size(), 0u);
	removeItem(system.store, "op/evacuate/hall-a");
	ASSERT_TRUE(logged("event=hall_reopened hall=\"hall-a\""));
	callAll(200);
	EXPECT_GT(near.requests.size(), 0u);
}

TEST_F(EvacuatedHall, IsOpenAgainWhenAListComesWithoutTheOrder)
{
	evacuate("hall-a");
	ASSERT_TRUE(logged("event=hall_evacuated"));
	removeItem(system.store, "op/evacuate/hall-a");
	forgetHistory(system.store);
	ASSERT_TRUE(logged("event=hall_reopened hall=\"hall-a\""));
	callAll(200);
	EXPECT_GT(near.requests.size(), 0u);
}

TEST_F(EvacuatedHall, IsKnownToARouterThatStartsBlank)
{
	evacuate("hall-a");
	ASSERT_TRUE(logged("event=hall_evacuated"));
	system.killHard();
	system.startReady(2);
	callAll(200);
	EXPECT_EQ(near.requests.size(), 0u);
}

TEST_F(EvacuatedHall, WithNoOtherLeftRefusesTruthfullyWithATimeToComeBack)
{
	evacuate("hall-a");
	evacuate("hall-b");
	ASSERT_TRUE(logged("hall=\"hall-b\""));
	callAll(503);
	EXPECT_EQ(near.requests.size() + far.requests.size(), 0u);
	const DirectAnswer answer = system.call("POST", "/once/x");
	EXPECT_EQ(answer.status, 503);
	EXPECT_NE(answer.header("Retry-After"), "");
	EXPECT_TRUE(logged("code=\"evacuated\""));
}

TEST_F(EvacuatedHall, LetsAStreamAtWorkGoOn)
{
	StandInUpstream& engine = system.addUpstream("u-engine", "engines");
	engine.answer = [](StandInUpstream& _upstream, HttpExchange& _exchange) {
		answerEvents(_upstream, _exchange, 8, 60, false);
	};
	ASSERT_TRUE(logged("u-engine"));
	DirectAnswer answer;
	together({[&] { answer = system.call("POST", "/chat/x"); },
			  [&] {
				  eventually([&] { return engine.open == 1; });
				  evacuate("hall-a");
				  evacuate("hall-b");
			  }});
	EXPECT_EQ(answer.status, 200);
	EXPECT_FALSE(answer.cut);
	EXPECT_NE(answer.body.find("id: 8\n"), std::string::npos);
}
} // namespace
} // namespace spanplank
