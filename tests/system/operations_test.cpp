/// Configuration, bills, leaving, planned stops, links: under kills, races, outages and lost answers.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "http_p.h"
#include "spanplank/billing.h"
#include "spanplank/types.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

TEST(Configuration, RacingOperatorsWithLostAnswersAreToldTheTruth)
{
	System system{SystemShape{}};
	system.declareBasics();
	system.platformFault({{"store_lose_answers", 0.2}});
	constexpr uint32_t kClients = 100;
	std::vector<std::function<void()>> bodies;
	std::set<std::string> accepted;
	std::set<std::string> refused;
	for (uint32_t ii = 0; ii < kClients; ++ii)
	{
		bodies.emplace_back([&, ii] {
			const std::string op = fmt::format("race-{}", ii);
			for (uint32_t tries = 0; tries < 50; ++tries)
			{
				const Answer answer = system.put(
					ii % 2, "accounts", "raced",
					{{"keyHashes", {fmt::format("hash-{}", ii)}}, {"allowed", {"small"}}}, {{"op", op}});
				if (answer.status == 200)
				{
					accepted.insert(op);
					return;
				}
				if (answer.code() == "revision_conflict")
				{
					refused.insert(op);
					return;
				}
				pause(20); // Unknown or unavailable: the same operation again.
			}
		});
	}
	together(bodies);
	system.platformFault({{"store_lose_answers", 0.0}});
	const json items = system.readStore("config/accounts/raced").at("items");
	const auto ops = json::parse(items.at(0).value("value", ""))["ops"].get<std::vector<std::string>>();
	const std::set<std::string> once(ops.begin(), ops.end());
	EXPECT_EQ(once.size(), ops.size()) << "an operation took effect twice";
	EXPECT_EQ(once, accepted) << "told accepted = in the history";
	for (const std::string& op : refused)
	{
		EXPECT_EQ(once.count(op), 0u) << op << " was told refused but took effect";
	}
	EXPECT_GT(accepted.size(), 50u);
	EXPECT_TRUE(eventually([&] { return system.inForce(items.at(0).value("revision", uint64_t(0))); }, 5));
}

TEST(Configuration, ExpectedRevisionLetsOneWin)
{
	System system{SystemShape{}};
	system.declareBasics();
	const json spec{{"quality", 0.5}};
	const Answer base = system.put(0, "models", "contested", spec, {{"expected", 0}});
	ASSERT_EQ(base.status, 200) << base.body;
	const uint64_t revision = base.json()["revision"];
	int won = 0;
	std::vector<std::function<void()>> bodies;
	for (uint32_t ii = 0; ii < 20; ++ii)
	{
		bodies.emplace_back([&, ii] {
			const Answer answer = system.put(ii % 2, "models", "contested", spec, {{"expected", revision}});
			won += answer.status == 200 ? 1 : 0;
			EXPECT_TRUE(answer.status == 200 || answer.code() == "revision_conflict") << answer.body;
		});
	}
	together(bodies);
	EXPECT_EQ(won, 1);
}

TEST(Configuration, RefusedWithATypeWhileTheStoreIsDownAndNothingReverts)
{
	System system{SystemShape{}};
	system.declareBasics();
	const uint64_t before = system.status(0)["revision"];
	system.platformFault({{"store_down", true}});
	const Answer refused = system.put(0, "models", "new", {{"quality", 0.5}});
	EXPECT_EQ(refused.code(), "store_unavailable");
	EXPECT_EQ(system.chat(0, {}).status, 200);
	system.killHard("router-1");
	system.start("router-1");
	EXPECT_TRUE(eventually([&] {
		const json state = system.status(1);
		return state.is_object() && state["revision"] == before;
	})) << "a blank router takes what its agents hold";
	EXPECT_TRUE(eventually([&] { return system.chat(1, {}).status == 200; }));
}

/// Bills of all owners in the store, by account.
uint64_t billedInStore(System& _system)
{
	uint64_t billed = 0;
	const json items = _system.readStore("bills/").at("items");
	for (const json& item : items)
	{
		billed += json::parse(item.value("value", "")).get<BillingLedger>().billed;
	}
	return billed;
}

struct LoadResult
{
	uint64_t answered = 0;
	uint64_t refused = 0;
	uint64_t unknown = 0;
	uint64_t refusedConnections = 0;
	std::map<std::string, uint64_t> codes;
};

/// Steady load from several lanes until told to stop.
LoadResult loadWhile(System& _system, const std::function<void()>& _meanwhile, bool _stream = false)
{
	bool stop = false;
	LoadResult result;
	std::vector<std::function<void()>> bodies;
	for (uint32_t lane = 0; lane < 6; ++lane)
	{
		bodies.emplace_back([&, lane] {
			ChatOptions options;
			options.stream = _stream;
			options.maxTokens = 20;
			for (uint32_t ii = 0; !stop; ++ii)
			{
				const uint32_t router = (lane + ii) % 2;
				if (_system.http(_system.routerAddress(router), "GET", "/readyz").status != 200)
				{
					pause(10); // The balancer would not send it there.
					continue;
				}
				const Answer answer = _system.chat(router, options);
				if (answer.status == 200 && !answer.cut)
				{
					++result.answered;
				}
				else if (answer.status == 0)
				{
					++result.refusedConnections; // The router went between the look and the call.
				}
				else
				{
					++(answer.run() == "no" ? result.refused : result.unknown);
					++result.codes[answer.code()];
				}
			}
		});
	}
	bodies.emplace_back([&] {
		_meanwhile();
		stop = true;
	});
	together(bodies);
	return result;
}

TEST(Billing, LedgerEqualsTheAnswersThroughKills)
{
	System system{SystemShape{}};
	system.declareBasics();
	system.platformFault({{"store_lose_answers", 0.3}});
	const LoadResult result = loadWhile(system, [&] {
		pause(500);
		system.killHard("engine-0");
		system.start("engine-0");
		pause(1500);
		system.killHard("router-1");
		system.start("router-1");
		pause(1500);
	});
	system.platformFault({{"store_lose_answers", 0.0}});
	ASSERT_GT(result.answered, 100u);
	// Requests that the killed router had in flight may be billed although their callers saw a cut: at most
	// one for each lane.
	const uint64_t most = result.answered + result.unknown + 6;
	EXPECT_TRUE(eventually([&] { return billedInStore(system) >= result.answered; }));
	pause(1500);
	EXPECT_GE(billedInStore(system), result.answered);
	EXPECT_LE(billedInStore(system), most);
	for (uint32_t ii = 0; ii < 2; ++ii)
	{
		EXPECT_EQ(system.status(ii)["bills_kept"], 0);
	}
}

TEST(Billing, StoreOutageLosesNothing)
{
	System system{SystemShape{}};
	system.declareBasics();
	system.platformFault({{"store_down", true}});
	const LoadResult result = loadWhile(system, [&] { pause(1500); });
	const uint64_t kept =
		system.status(0).value("bills_kept", uint64_t(0)) + system.status(1).value("bills_kept", uint64_t(0));
	EXPECT_EQ(kept, result.answered);
	system.platformFault({{"store_down", false}});
	EXPECT_TRUE(eventually([&] { return billedInStore(system) == result.answered; }))
		<< billedInStore(system) << " of " << result.answered;
}

TEST(Leaving, ListedAsLeavingGetsNoNewWork)
{
	System system{SystemShape{}};
	system.declareBasics();
	system.setBoxState("engine-1", "leaving");
	pause(3000);
	const uint64_t before = system.engineCounts(1)["runs_by_version"].value("small@1", uint64_t(0));
	const LoadResult result = loadWhile(system, [&] { pause(1500); });
	EXPECT_GT(result.answered, 50u);
	EXPECT_EQ(result.refused + result.unknown, 0u);
	EXPECT_EQ(system.engineCounts(1)["runs_by_version"].value("small@1", uint64_t(0)), before);
}

// A process of the agent mode had no handler for SIGHUP, so that a reload sent to all processes of a box
// ended it at once: it went by the signal (exit code -1 here instead of 0) with everything that it had under
// way.
TEST(PlannedStop, AHangUpEndsNoProcess)
{
	System system{SystemShape{}};
	system.declareBasics();
	for (const char* process : {"router-0", "engine-0"})
	{
		EXPECT_TRUE(eventually([&] { return !system.log(process).empty(); }))
			<< "handlers stand before the first line";
		system.hangUp(process);
		EXPECT_TRUE(eventually([&] {
			return system.log(process).find("signal_ignored") != std::string::npos;
		})) << process;
		EXPECT_EQ(system.stopPlanned(process), 0) << process;
	}
}

// A router of the agent mode in a planned stop cut a request whose head was still coming, with nearly all of
// its 20 s to drain left: the stop waited for those alone that were at an agent. The connection ended without
// a byte.
TEST(PlannedStop, ARequestThatIsBeingReadIsAnsweredWhenTheRestHasCome)
{
	using boost::asio::ip::tcp;
	System system{SystemShape{}};
	system.declareBasics();
	const Endpoint router = parseEndpoint(system.routerAddress(0));
	tcp::socket caller(testIo());
	caller.connect({boost::asio::ip::make_address(router.ip), router.port});
	boost::asio::write(caller, boost::asio::buffer(std::string("GET /healthz HTTP/1.1\r\n")));
	int exitCode = -1;
	std::string answer;
	together({[&] { exitCode = system.stopPlanned("router-0"); },
			  [&] {
				  EXPECT_TRUE(eventually(
					  [&] { return system.log("router-0").find("stopping") != std::string::npos; }));
				  pause(1500); // Longer than the balancer needs, far shorter than the time to drain.
				  boost::system::error_code ignored; // An end of the connection shows in what is read.
				  boost::asio::write(caller, boost::asio::buffer(std::string("Host: a\r\n\r\n")), ignored);
				  awaitIo([&](auto _done) {
					  boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer), _done);
				  });
			  }});
	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(exitCode, 0);
}

// A router of the agent mode ended with a request at a silent service, and its connection was closed without
// an answer.
TEST(PlannedStop, ARequestAtASilentServiceIsAnsweredBeforeTheRouterEnds)
{
	SystemShape shape;
	shape.services = 3;
	System system(shape);
	system.declareBasics();
	system.changeSettings("router-0", "drainMs: 20000", "drainMs: 3000");
	EXPECT_EQ(system.stopPlanned("router-0"), 0);
	system.start("router-0");
	EXPECT_TRUE(eventually([&] { return system.callService(0, "first").status == 200; }));
	system.serviceFault({{"work_ms", 60000}});
	Answer answer;
	int exitCode = -1;
	together({[&] { answer = system.callService(0, "second", "{}", 30000); },
			  [&] {
				  pause(1000); // The request is at its service by then.
				  exitCode = system.stopPlanned("router-0");
			  }});
	EXPECT_EQ(answer.status, 502);
	EXPECT_EQ(answer.run(), "unknown");
	EXPECT_EQ(exitCode, 0);
}

TEST(PlannedStop, RollingRestartUnderLoadCutsNothing)
{
	System system{SystemShape{}};
	system.declareBasics();
	const LoadResult result = loadWhile(
		system,
		[&] {
			for (const char* process : {"engine-0", "engine-1", "engine-2", "router-0", "router-1"})
			{
				EXPECT_EQ(system.stopPlanned(process), 0) << process;
				EXPECT_NE(system.log(process).find("event=drained"), std::string::npos);
				EXPECT_NE(system.log(process).find("0 cut, 0 bills kept"), std::string::npos)
					<< system.log(process);
				system.start(process);
				pause(1500);
			}
		},
		true);
	EXPECT_GT(result.answered, 200u);
	EXPECT_EQ(result.refused, 0u) << json(result.codes).dump();
	EXPECT_EQ(result.unknown, 0u);
	EXPECT_EQ(result.refusedConnections, 0u);
}

TEST(Links, SubsetsServeAndConfigurationReachesEveryAgentAndBack)
{
	SystemShape shape;
	shape.routers = 3;
	shape.engines = 6;
	shape.routerExtra = "routersPerAgent: 1\nwatchers: 1\n";
	System system(shape);
	eventually([&] { return system.put(0, "models", "small", {{"quality", 0.8}}).status == 200; });
	system.put(0, "versions", "small@1", {{"model", "small"}, {"state", "serving"}});
	// Another router than the one above, which may start a moment later.
	Answer last;
	ASSERT_TRUE(eventually([&] {
		last = system.put(1, "accounts", "town",
						  {{"keyHashes", {sha256Hex("key-town")}}, {"allowed", {"small"}}});
		return last.status == 200;
	}));
	const uint64_t revision = last.json().value("revision", uint64_t(0));
	ASSERT_GT(revision, 0u);
	std::map<std::string, uint64_t> linked;
	EXPECT_TRUE(eventually([&] {
		linked.clear();
		bool behind = false;
		for (uint32_t ii = 0; ii < 3; ++ii)
		{
			const json state = system.status(ii);
			behind = behind || state.value("revision", uint64_t(0)) < revision;
			for (const json& agent : state.at("agents"))
			{
				linked[agent.value("box", "")] += agent.value("linked", false) ? 1 : 0;
				behind = behind || agent.value("revision", uint64_t(0)) < revision;
			}
		}
		return linked.size() == 6 && !behind;
	}));
	for (const auto& [box, routers] : linked)
	{
		EXPECT_EQ(routers, 1u) << box;
	}
}

TEST(Links, RouterWithAnotherKeyIsRefusedAndTheRestServesOn)
{
	System system{SystemShape{}};
	system.declareBasics();
	system.killHard("router-1");
	system.changeSettings("router-1", "a-link-key-of-32-characters-1234",
						  "another-link-key-of-32-characters");
	system.start("router-1");
	ASSERT_TRUE(eventually([&] { return system.log("engine-0").find("wrong key") != std::string::npos; }));
	const json state = system.status(1);
	EXPECT_TRUE(state.at("agents").empty());
	EXPECT_EQ(system.chat(0, {}).status, 200);
	EXPECT_NE(system.chat(1, {}).status, 200);
}
} // namespace
} // namespace spanplank
