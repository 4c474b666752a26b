/// Roll-outs over several routers as real processes: what the store, the callers and the upstreams see of
/// them.
#include <gtest/gtest.h>

#include "fiber_runtime_p.h"
#include "fleet_fixture.h"
#include "ports.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kTrialSeconds = 20;
constexpr uint32_t kQuietMs = 3000;      ///< Without callers, until a verdict falls due by the clock.
constexpr uint32_t kVerdictSeconds = 25; ///< Longest wait for a verdict in the store.

struct TrialFleet : FleetTest
{
	std::vector<std::unique_ptr<StandInUpstream>> ends;
	std::map<std::string, uint32_t> answersOf; ///< By version.
	bool everCompleted = false;

	~TrialFleet() override
	{
		for (const auto& end : ends)
		{
			stopListening(end->http);
			eventually([&end] { return end->http.connections == 0 && !end->http.accepting; }, 5);
		}
	}

	using Answer = std::function<void(StandInUpstream&, HttpExchange&, uint32_t)>;

	/// @param[in] _answer Told how many answers its version has given before.
	void addEnd(const std::string& _id, const std::string& _version, const Answer& _answer)
	{
		ends.push_back(std::make_unique<StandInUpstream>());
		StandInUpstream& end = *ends.back();
		end.id = _id;
		end.version = _version;
		end.http.handler = [this, &end, _answer](HttpExchange& _exchange) {
			_answer(end, _exchange, answersOf[end.version]++);
		};
		end.address = loopback(startHttpServer(testIo(), end.http, {loopbackIp(), 0}));
		const json record{{"service", "app"}, {"address", end.address},
						  {"zone", "hall-a"}, {"version", _version},
						  {"slots", 8},       {"state", "ready"}};
		setItem(store, "servers/" + end.id, record.dump());
	}

	/// Orders a roll-out that is under way for some time already.
	void order(uint32_t _forMs)
	{
		const json order{{"service", "app"}, {"target_version", "v2"}, {"duration_s", kTrialSeconds}};
		setItem(store, "op/rollout/app", order.dump());
		setItem(store, "spanplank/rollout/app", std::to_string(TimeUs(_forMs) * kMsToUs));
		for (const auto& router : routers)
		{
			ASSERT_TRUE(eventually(
				[&] { return router->log().find("event=rollout_ordered") != std::string::npos; }, 5));
		}
	}

	/// Each router serves one request.
	void callAll()
	{
		for (size_t ii = 0; ii < kRouters; ++ii)
		{
			call(ii, "kept-key");
		}
	}

	/// @returns The verdict in the store; empty: none yet.
	std::string verdict()
	{
		const auto item = store.items.find("status/rollout/app");
		const std::string state =
			item == store.items.end() ? "" : json::parse(item->second.value).at("state").get<std::string>();
		everCompleted = everCompleted || state == "completed";
		return state == "running" ? "" : state;
	}

	/// Serves requests until there is a verdict.
	std::string awaitVerdict()
	{
		eventually(
			[this] {
				callAll();
				return !verdict().empty();
			},
			kVerdictSeconds);
		return verdict();
	}
};

/// Not a multiple of the routers that ask in turn: each sees some of the failures.
constexpr uint32_t kFailEvery = 4;

void failOften(StandInUpstream& _upstream, HttpExchange& _exchange, uint32_t _before)
{
	if (_before % kFailEvery != kFailEvery - 1)
	{
		answerWell(_upstream, _exchange);
		return;
	}
	_exchange.respond({500,
					   {{"Request-Id", std::string(_exchange.request()["Request-Id"])},
						{"Server-Stamp", "stamp-" + _upstream.id}},
					   "failed"});
}

void answerAtOnce(StandInUpstream& _upstream, HttpExchange& _exchange, uint32_t)
{
	answerWell(_upstream, _exchange);
}

void answerSoon(StandInUpstream& _upstream, HttpExchange& _exchange, uint32_t)
{
	sleepFor(10);
	answerWell(_upstream, _exchange);
}

void answerSlowly(StandInUpstream& _upstream, HttpExchange& _exchange, uint32_t)
{
	sleepFor(30);
	answerWell(_upstream, _exchange);
}

// The store was away over the last part of a roll-out. Before, all routers together had seen 21 good and 5
// failed answers of the new version, none of them enough failures to halt it. The share grew with the clock
// meanwhile, and once the store was back one router wrote `rollout_written state="completed"` on the good
// answers that it had seen by itself: up to half of the requests failed from then on, and no `rollout_halted`
// came from anyone.
TEST_F(TrialFleet, AVersionThatFailsOftenIsNotCompletedByARouterThatSawLittleOfIt)
{
	for (const char* id : {"u-new-one", "u-new-two", "u-new-three"})
	{
		addEnd(id, "v2", failOften);
	}
	order(15500);
	store.fault = StandInStore::Fault::Reset;
	for (int round = 0; round < 200 && answersOf["v2"] < 9 * kRouters; ++round)
	{
		callAll();
		sleepFor(10);
	}
	sleepFor(kQuietMs);
	store.fault = StandInStore::Fault::None;
	EXPECT_EQ(awaitVerdict(), "rolled_back");
	EXPECT_FALSE(everCompleted);
}

// A version whose answers took three times as long was completed in full health, in each of 30 runs. A router
// called an answer slow only above four times the mean of the old ones, and compared it with a time that it
// expected of the new version by what that had shown before.
TEST_F(TrialFleet, AVersionWhoseAnswersTakeThreeTimesAsLongIsRolledBack)
{
	for (const char* id : {"u-old-one", "u-old-two", "u-old-three"})
	{
		addEnd(id, "v1", answerSoon);
	}
	removeItem(store, "servers/u-one");
	for (const char* id : {"u-new-one", "u-new-two", "u-new-three"})
	{
		addEnd(id, "v2", answerSlowly);
	}
	order(10000);
	EXPECT_EQ(awaitVerdict(), "rolled_back");
	EXPECT_FALSE(everCompleted);
}

TEST_F(TrialFleet, AGoodVersionIsCompletedThoughTheStoreIsAwayFromTheSecondHalfOn)
{
	for (const char* id : {"u-new-one", "u-new-two", "u-new-three"})
	{
		addEnd(id, "v2", answerAtOnce);
	}
	order(9000);
	store.fault = StandInStore::Fault::Silent;
	for (int round = 0; round < 150; ++round)
	{
		callAll();
		sleepFor(10);
	}
	store.fault = StandInStore::Fault::None;
	EXPECT_EQ(awaitVerdict(), "completed");
}
} // namespace
} // namespace spanplank
