/// Non-repeatable calls run at most once: agents killed, frozen, routers killed, the store down, and the
/// naive agent beside them.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "harness.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kLongWorkMs = 1500;

SystemShape servicesOnly(const std::string& _agentExtra = "")
{
	SystemShape shape;
	shape.engines = 0;
	shape.services = 3;
	shape.agentExtra = _agentExtra;
	return shape;
}

/// Calls again and again, as a caller would, through other routers. @returns The last answer.
Answer insist(System& _system, uint32_t _router, const std::string& _key, uint32_t _tries = 40)
{
	Answer answer;
	for (uint32_t ii = 0; ii < _tries; ++ii)
	{
		answer = _system.callService((_router + ii) % 2, _key);
		if (answer.status == 200 || answer.code() == "in_doubt")
		{
			return answer;
		}
		pause(100);
	}
	return answer;
}

/// Kills the home of a key while the key's call runs; then a caller insists. @returns How often it ran.
uint64_t killHomeMidCall(System& _system, const std::string& _key)
{
	_system.serviceFault({{"work_ms", kLongWorkMs}});
	const std::string home = _system.homeOf(0, _key);
	const uint64_t epoch = _system.homesEpoch();
	Answer first;
	together({[&] { first = _system.callService(0, _key); },
			  [&] {
				  eventually([&] { return _system.runsOf(_key) == 1; });
				  _system.killHard(home);
				  _system.start(home);
			  }});
	EXPECT_EQ(first.run(), "unknown") << first.body;
	_system.serviceFault({{"work_ms", 5}});
	EXPECT_TRUE(_system.homesSettled(3, epoch));
	insist(_system, 1, _key);
	return _system.runsOf(_key);
}

TEST(RunOnceSystem, HomeKilledMidCall)
{
	System system(servicesOnly());
	system.declareBasics();
	for (int ii = 0; ii < 3; ++ii)
	{
		EXPECT_EQ(killHomeMidCall(system, fmt::format("order-{}", ii)), 1u);
	}
	EXPECT_EQ(insist(system, 0, "order-0").code(), "in_doubt");
	EXPECT_EQ(insist(system, 0, "fresh").status, 200) << "fresh keys run on";
}

/// The same failure catches the agent that asks nobody: the proof can fail.
TEST(RunOnceSystem, NaiveAgentRunsTwice)
{
	System system(servicesOnly("askSuccessor: false\n"));
	system.declareBasics();
	uint64_t most = 0;
	for (int ii = 0; ii < 3; ++ii)
	{
		most = std::max(most, killHomeMidCall(system, fmt::format("order-{}", ii)));
	}
	EXPECT_EQ(most, 2u);
}

TEST(RunOnceSystem, HomeFrozenThenWoken)
{
	System system(servicesOnly());
	system.declareBasics();
	const std::string key = "frozen-order";
	const std::string home = system.homeOf(0, key);
	const uint64_t epoch = system.homesEpoch();
	system.freeze(home);
	Answer first;
	Answer second;
	together({[&] { first = system.callService(0, key, "{}", 1000); }, // Waits in the frozen agent's socket.
			  [&] {
				  second = insist(system, 1, key);
			  }});
	EXPECT_EQ(first.status == 200 ? "" : first.run(), first.status == 200 ? "" : "unknown");
	ASSERT_EQ(second.status, 200) << second.body << " the others took over";
	system.wake(home);
	ASSERT_TRUE(system.homesSettled(3, epoch));
	EXPECT_EQ(insist(system, 0, key).status, 200);
	EXPECT_EQ(system.runsOf(key), 1u);
}

TEST(RunOnceSystem, RouterAndHomeKilledTogether)
{
	System system(servicesOnly());
	system.declareBasics();
	system.serviceFault({{"work_ms", kLongWorkMs}});
	const std::string key = "both-order";
	const std::string home = system.homeOf(0, key);
	const uint64_t epoch = system.homesEpoch();
	together({[&] { system.callService(0, key); },
			  [&] {
				  eventually([&] { return system.runsOf(key) == 1; });
				  system.killHard("router-0");
				  system.killHard(home);
			  }});
	system.start("router-0");
	system.start(home);
	system.serviceFault({{"work_ms", 5}});
	ASSERT_TRUE(system.homesSettled(3, epoch));
	EXPECT_EQ(insist(system, 1, key).code(), "in_doubt");
	EXPECT_EQ(system.runsOf(key), 1u);
}

TEST(RunOnceSystem, RouterKilledMidCallAnswerIsReplayed)
{
	System system(servicesOnly());
	system.declareBasics();
	system.serviceFault({{"work_ms", kLongWorkMs}});
	const std::string key = "router-order";
	together({[&] { system.callService(0, key); },
			  [&] {
				  eventually([&] { return system.runsOf(key) == 1; });
				  system.killHard("router-0");
			  }});
	const Answer again = system.callService(1, key);
	EXPECT_EQ(again.status, 200) << again.body;
	EXPECT_EQ(system.runsOf(key), 1u);
}

TEST(RunOnceSystem, StoreDownServesFreshKeys)
{
	System system(servicesOnly());
	system.declareBasics();
	system.platformFault({{"store_down", true}});
	constexpr int kCalls = 200;
	int answered = 0;
	for (int ii = 0; ii < kCalls; ++ii)
	{
		const std::string key = fmt::format("down-{}", ii);
		answered += system.callService(uint32_t(ii % 2), key).status == 200 ? 1 : 0;
		EXPECT_EQ(system.runsOf(key), 1u);
	}
	EXPECT_EQ(answered, kCalls);
}

TEST(RunOnceSystem, OneOfThreeDeadServesFreshKeys)
{
	System system(servicesOnly());
	system.declareBasics();
	system.killHard("service-1");
	constexpr int kCalls = 200;
	int answered = 0;
	for (int ii = 0; ii < kCalls; ++ii) // The first ones wait for the takeover.
	{
		answered += system.callService(uint32_t(ii % 2), fmt::format("dead-{}", ii)).status == 200 ? 1 : 0;
	}
	EXPECT_GE(answered, kCalls * 99 / 100);
}

TEST(RunOnceSystem, StoreLosesAnswersWhileMembersChange)
{
	System system(servicesOnly());
	system.declareBasics();
	system.platformFault({{"store_lose_answers", 0.5}});
	for (int ii = 0; ii < 3; ++ii)
	{
		const std::string victim = fmt::format("service-{}", ii);
		const uint64_t epoch = system.homesEpoch();
		system.killHard(victim);
		system.start(victim);
		ASSERT_TRUE(system.homesSettled(3, epoch));
		const std::string key = fmt::format("lossy-{}", ii);
		EXPECT_EQ(insist(system, 0, key).status, 200);
		EXPECT_EQ(insist(system, 1, key).status, 200);
		EXPECT_EQ(system.runsOf(key), 1u);
	}
}
} // namespace
} // namespace spanplank
