/// A version that was rolled back, whose upstreams are still there when the next one is ordered.
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "harness.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr int kRequests = 60;

/// A service with an upstream of each version.
struct HaltedVersion : testing::Test
{
	DirectSystem system;
	StandInUpstream& settled = add("u-1", "v1");
	StandInUpstream& halted = add("u-2", "v2");
	StandInUpstream& next = add("u-3", "v3");

	StandInUpstream& add(const std::string& _id, const std::string& _version)
	{
		StandInUpstream& upstream = system.addUpstream(_id, "app");
		upstream.version = _version;
		system.registerUpstream(upstream);
		return upstream;
	}

	void order(const std::string& _version)
	{
		const json order{{"service", "app"}, {"target_version", _version}, {"duration_s", 30}};
		setItem(system.store, "op/rollout/app", order.dump());
	}

	/// Orders one version, rolls it back and orders the next one.
	void orderInTurn()
	{
		order("v2");
		setItem(system.store, "status/rollout/app",
				json{{"target_version", "v2"}, {"state", "rolled_back"}}.dump());
		order("v3");
		system.writeConfig();
	}

	void expectNoneAtHalted()
	{
		const std::string version = system.config["version"].dump();
		ASSERT_TRUE(eventually([&] { return system.metric("spanplank_config_version") == version; }));
		const size_t before = halted.requests.size();
		for (int ii = 0; ii < kRequests; ++ii)
		{
			EXPECT_EQ(system.call("GET", "/plain/").status, 200);
		}
		EXPECT_EQ(halted.requests.size(), before);
		EXPECT_GT(settled.requests.size(), 0u);
	}
};

// Half of the requests went back to the version that had just been rolled back.
TEST_F(HaltedVersion, GetsNoRequestsWhileTheNextOneIsTried)
{
	system.startReady(3);
	orderInTurn();
	expectNoneAtHalted();
}

TEST_F(HaltedVersion, GetsNoneFromARouterThatStartsBlankEither)
{
	orderInTurn();
	system.startReady(3);
	expectNoneAtHalted();
}

// An upstream that fails is asked again elsewhere, but not there.
TEST_F(HaltedVersion, IsNoFallback)
{
	system.startReady(3);
	orderInTurn();
	settled.answer = [](StandInUpstream&, HttpExchange& _exchange) {
		answerNotRun(_exchange);
	};
	next.answer = settled.answer;
	const std::string version = system.config["version"].dump();
	ASSERT_TRUE(eventually([&] { return system.metric("spanplank_config_version") == version; }));
	for (int ii = 0; ii < kRequests / 6; ++ii)
	{
		EXPECT_EQ(system.call("GET", "/plain/").status, 503);
	}
	EXPECT_EQ(halted.requests.size(), 0u);
}
} // namespace
} // namespace spanplank
