/// Withdrawn, allowed, exposed: the agent is the last gate, also from its queue and without the store.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "harness.h"
#include "spanplank/types.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

json versionSpec(const char* _state, uint32_t _generation = 1)
{
	return {{"model", "small"}, {"state", _state}, {"generation", _generation}};
}

/// Fills the only slot, queues more, lets `_change` happen while they wait. @returns Answers of the queued
/// ones.
std::vector<Answer> queueThen(System& _system, const std::function<void()>& _change)
{
	constexpr uint32_t kQueued = 6;
	std::vector<Answer> answers(kQueued);
	std::vector<std::function<void()>> bodies;
	ChatOptions blocker;
	blocker.maxTokens = 600;
	blocker.model = "large";
	bodies.emplace_back([&_system, blocker] { _system.chat(0, blocker); });
	for (uint32_t ii = 0; ii < kQueued; ++ii)
	{
		bodies.emplace_back([&_system, &answers, ii] {
			pause(300);
			ChatOptions options;
			options.marker = fmt::format("queued{}", ii);
			answers[ii] = _system.chat(ii % 2, options);
		});
	}
	bodies.emplace_back([&_system, &_change] {
		eventually([&] {
			uint32_t queued = 0;
			const json state = _system.status(0);
			for (const json& agent : state.at("agents"))
			{
				queued += agent.value("queued", 0u);
			}
			return queued >= kQueued;
		});
		_change();
	});
	together(bodies);
	return answers;
}

SystemShape oneSlot(const std::string& _agentExtra = "")
{
	SystemShape shape;
	shape.engines = 1;
	shape.slots = 1;
	shape.tokenMs = 5.0;
	shape.agentExtra = _agentExtra;
	return shape;
}

TEST(Withdrawn, QueuedWorkIsNotRun)
{
	System system(oneSlot());
	system.declareBasics();
	const auto answers =
		queueThen(system, [&] { system.put(0, "versions", "small@1", versionSpec("withdrawn")); });
	for (const Answer& answer : answers)
	{
		EXPECT_EQ(answer.code(), "version_withdrawn") << answer.body;
		EXPECT_EQ(answer.run(), "no");
	}
	EXPECT_EQ(system.runsOfVersion("small@1"), 0u);
}

/// Judged on arrival alone, the queue runs what was withdrawn: the proof can fail.
TEST(Withdrawn, NaiveAgentRunsItsQueue)
{
	System system(oneSlot("judgeTwice: false\n"));
	system.declareBasics();
	queueThen(system, [&] { system.put(0, "versions", "small@1", versionSpec("withdrawn")); });
	EXPECT_GT(system.runsOfVersion("small@1"), 0u);
}

TEST(Allowed, QueuedWorkOfAnAccountThatLostItsRightIsNotRun)
{
	System system(oneSlot());
	system.declareBasics();
	const auto answers = queueThen(system, [&] {
		system.put(0, "accounts", "town", {{"keyHashes", {sha256Hex("key-town")}}, {"allowed", {"large"}}});
	});
	for (const Answer& answer : answers)
	{
		EXPECT_EQ(answer.code(), "not_allowed") << answer.body;
		EXPECT_EQ(answer.run(), "no");
	}
	EXPECT_EQ(system.runsOfVersion("small@1"), 0u);
}

TEST(Withdrawn, HoldsThroughRouterDeathStoreOutageAndBlankStarts)
{
	System system{SystemShape{}};
	system.declareBasics();
	const Answer accepted = system.put(0, "versions", "small@1", versionSpec("withdrawn"));
	ASSERT_EQ(accepted.status, 200);
	system.platformFault({{"store_down", true}});
	system.killHard("router-0");
	system.start("router-0"); // Blank, and the store is down: it learns from the agents.
	ASSERT_TRUE(eventually([&] { return system.chat(0, {}).code() == "version_withdrawn"; }))
		<< system.chat(0, {}).body << "\n"
		<< system.log("router-0");
	EXPECT_FALSE(system.status(0).value("config_from_store", true));
	system.killHard("engine-0");
	system.start("engine-0"); // Blank as well: the routers tell it before any work.
	ASSERT_TRUE(eventually([&] { return system.status(1).at("agents").size() == 3; }));
	for (uint32_t ii = 0; ii < 20; ++ii)
	{
		EXPECT_EQ(system.chat(ii % 2, {}).code(), "version_withdrawn");
	}
	ChatOptions large;
	large.model = "large";
	EXPECT_EQ(system.chat(0, large).status, 200) << "the rest serves on";
	EXPECT_EQ(system.runsOfVersion("small@1"), 0u);
}

TEST(Withdrawn, ComesBackOnlyWithAnotherGeneration)
{
	System system{SystemShape{}};
	system.declareBasics();
	ASSERT_EQ(system.put(0, "versions", "small@1", versionSpec("withdrawn")).status, 200);
	EXPECT_EQ(system.put(1, "versions", "small@1", versionSpec("serving")).code(), "bad_request");
	const Answer again = system.put(1, "versions", "small@1", versionSpec("serving", 2));
	ASSERT_EQ(again.status, 200) << again.body;
	EXPECT_TRUE(eventually([&] { return system.chat(0, {}).status == 200; }));
}

TEST(Session, KeepsItsVersionThroughAnyRouterAndIsNeverMoved)
{
	SystemShape shape;
	shape.versions = {"small@1", "small@2"};
	System system(shape);
	system.declareBasics();
	ChatOptions begin;
	begin.session = "new";
	const Answer first = system.chat(0, begin);
	ASSERT_EQ(first.status, 200) << first.body;
	const std::string version = first.header("X-Spanplank-Version");
	ChatOptions next;
	next.session = first.header("X-Spanplank-Session");
	ASSERT_FALSE(next.session.empty());
	for (uint32_t ii = 0; ii < 20; ++ii)
	{
		EXPECT_EQ(system.chat(ii % 2, next).header("X-Spanplank-Version"), version);
	}
	ChatOptions foreign = next;
	foreign.key = "key-village";
	EXPECT_EQ(system.chat(0, foreign).code(), "session_invalid");

	// Retiring: this session goes on, new ones begin on the other version.
	const Answer retired = system.put(0, "versions", version, versionSpec("retiring"));
	const uint64_t revision = retired.json().value("revision", uint64_t(0));
	ASSERT_TRUE(eventually([&] { return system.inForce(revision); }));
	EXPECT_EQ(system.chat(1, next).header("X-Spanplank-Version"), version);
	EXPECT_NE(system.chat(1, begin).header("X-Spanplank-Version"), version);

	// Withdrawn: a typed refusal, not another version.
	const Answer gone = system.put(0, "versions", version, versionSpec("withdrawn"));
	ASSERT_TRUE(eventually([&] { return system.inForce(gone.json().value("revision", uint64_t(0))); }));
	const Answer refused = system.chat(0, next);
	EXPECT_EQ(refused.code(), "version_withdrawn");
	EXPECT_EQ(refused.run(), "no");
}

SystemShape rolloutShape(const std::string& _agentExtra = "")
{
	SystemShape shape;
	shape.versions = {"small@1", "small@2"};
	shape.agentExtra = _agentExtra;
	return shape;
}

/// Declares small@2 as a candidate that all its engines answer badly.
void declareBadCandidate(System& _system, uint32_t _exposure)
{
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		_system.engineFault(ii, {{"bad_rate", {{"small@2", 1.0}}}});
	}
	_system.declareBasics();
	_system.put(0, "versions", "small@2", {{"model", "small"}, {"state", "withdrawn"}});
	_system.put(0, "versions", "small@2", {{"model", "small"}, {"state", "candidate"}, {"generation", 2}});
	const Answer last = _system.put(0, "rollouts", "two",
									{{"candidate", "small@2"}, {"exposure", _exposure}, {"share", 1.0}});
	eventually([&] { return _system.inForce(last.json().value("revision", uint64_t(0))); });
}

void load(System& _system, uint32_t _requests)
{
	std::vector<std::function<void()>> bodies;
	for (uint32_t lane = 0; lane < 6; ++lane)
	{
		bodies.emplace_back([&_system, lane, _requests] {
			for (uint32_t ii = 0; ii < _requests / 6; ++ii)
			{
				EXPECT_EQ(_system.chat(lane % 2, {}).status, 200);
			}
		});
	}
	together(bodies);
}

TEST(Exposure, UnratedAnswersStayUnderTheBudgetWhateverTheLoad)
{
	System system(rolloutShape());
	system.platformFault({{"ratings_delay_ms", 600000}}); // No rating ever comes in.
	declareBadCandidate(system, 12);
	eventually([&] {
		load(system, 60);
		return system.runsOfVersion("small@2") == 12;
	});
	system.killHard("engine-0"); // A blank agent must not bring new credit.
	system.start("engine-0");
	system.killHard("router-1");
	system.start("router-1");
	ASSERT_TRUE(eventually([&] { return system.chat(1, {}).status == 200; }));
	load(system, 300);
	EXPECT_LE(system.runsOfVersion("small@2"), 12u);
	EXPECT_GT(system.runsOfVersion("small@2"), 0u);
}

TEST(Exposure, NaiveAgentGoesPastIt)
{
	System system(rolloutShape("boundExposure: false\n"));
	system.platformFault({{"ratings_delay_ms", 600000}});
	declareBadCandidate(system, 12);
	load(system, 120);
	EXPECT_GT(system.runsOfVersion("small@2"), 12u);
}

TEST(Exposure, BadCandidateIsHaltedAlsoWithTheStoreDown)
{
	System system(rolloutShape());
	system.platformFault({{"ratings_delay_ms", 300}});
	declareBadCandidate(system, 12);
	ASSERT_TRUE(eventually([&] {
		load(system, 24);
		return system.runsOfVersion("small@2") > 0;
	}));
	system.platformFault({{"store_down", true}});
	ASSERT_TRUE(eventually([&] {
		load(system, 12);
		const json state = system.status(1);
		return state.at("halted").value("small@2", 0u) == 2u;
	}));
	const uint64_t atHalt = system.runsOfVersion("small@2");
	load(system, 120);
	EXPECT_EQ(system.runsOfVersion("small@2"), atHalt) << "no new work after the halt";
	EXPECT_LE(atHalt, 12u);
	system.platformFault({{"store_down", false}});
	EXPECT_TRUE(eventually([&] { // The store hears of it when it is back.
		const json items = system.readStore("config/versions/small@2").at("items");
		return json::parse(items.at(0).value("value", ""))["spec"]["state"] == "withdrawn";
	}));
}

TEST(Exposure, VersionThatTurnsBadWhileItServesIsHalted)
{
	System system{SystemShape{}};
	system.platformFault({{"ratings_delay_ms", 300}});
	system.declareBasics();
	load(system, 120);
	EXPECT_TRUE(system.status(0).at("halted").empty()) << "a good version serves on";
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		system.engineFault(ii, {{"bad_rate", {{"small@1", 1.0}}}});
	}
	system.platformFault({{"store_down", true}});
	EXPECT_TRUE(eventually([&] { return system.chat(0, {}).code() == "version_withdrawn"; }));
	EXPECT_TRUE(eventually([&] { return system.chat(1, {}).code() == "version_withdrawn"; }));
	const uint64_t atHalt = system.runsOfVersion("small@1");
	pause(1000);
	EXPECT_EQ(system.chat(0, {}).code(), "version_withdrawn");
	EXPECT_EQ(system.runsOfVersion("small@1"), atHalt);
}

TEST(Exposure, GoodCandidateComesToServe)
{
	System system(rolloutShape());
	system.platformFault({{"ratings_delay_ms", 50}});
	declareBadCandidate(system, 30);
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		system.engineFault(ii, {{"bad_rate", json::object()}});
	}
	EXPECT_TRUE(eventually(
		[&] {
			load(system, 30);
			const json items = system.readStore("config/versions/small@2").at("items");
			return json::parse(items.at(0).value("value", ""))["spec"]["state"] == "serving";
		},
		60));
}
} // namespace
} // namespace spanplank
