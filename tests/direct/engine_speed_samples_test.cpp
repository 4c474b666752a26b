/// Which answers of engines count as samples of their speed. The router lives within the test's process.
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "platform/records_p.h"
#include "ports.h"

namespace spanplank
{
namespace
{
const std::string kKey = "key-of-the-town";
const std::string kKind = "engines small";
constexpr uint32_t kPauseMs = 20;
constexpr uint32_t kTokensPerEvent = 2;

DirectSettings localSettings()
{
	DirectSettings settings;
	settings.box = "box-a";
	settings.hall = "hall-a";
	settings.revokeMs = 3600000;
	return settings;
}

struct EngineSpeedSamples : testing::Test
{
	DirectRouter router{"", localSettings()};
	StandInUpstream engine;
	std::string address;
	UpstreamKey key = 0;

	EngineSpeedSamples()
	{
		router.pool.io = &testIo();
		nlohmann::json config = basicConfig(kKey);
		config["services"][1]["engine"]["kv_cache_tokens"] = 100000;
		config["services"][1]["engine"]["stride"] = kTokensPerEvent;
		adoptConfig(router.config, platform::decodeConfig(config.dump()));
		router.config.confirmedAt = monotonicNow();
		router.callers.handler = [this](HttpExchange& _exchange) {
			serveDirect(router, _exchange);
		};
		address = loopback(startHttpServer(testIo(), router.callers, {loopbackIp(), 0}));
		engine.id = "e-0";
		engine.service = "engines";
		engine.http.handler = [this](HttpExchange& _exchange) {
			engine.answer(engine, _exchange);
		};
		UpstreamRecord record;
		record.id = engine.id;
		record.service = engine.service;
		record.address = {loopbackIp(), startHttpServer(testIo(), engine.http, {loopbackIp(), 0})};
		record.hall = "hall-a";
		record.version = engine.version;
		key = router.upstreams.entries.at(registerUpstream(router.upstreams, record).idx).key;
	}

	~EngineSpeedSamples() override
	{
		router.pool.idle.clear();
		for (HttpServer* server : {&router.callers, &engine.http})
		{
			stopListening(*server);
			EXPECT_TRUE(eventually([&] { return server->connections == 0 && !server->accepting; }));
		}
	}

	/// Sends a request, and waits until it has ended at the router.
	/// @param[in] _partsToRead Parts of the answer after which the caller leaves; 0: it reads to the end.
	void call(uint32_t _partsToRead = 0)
	{
		bool answered = false;
		spawnFiber([&] {
			HttpClient client;
			client.io = &testIo();
			client.endpoint = parseEndpoint(address);
			HttpCall request;
			request.method = "POST";
			request.target = "/chat/x";
			request.timeoutMs = 5000;
			HttpCancel leave;
			uint32_t parts = 0;
			request.headers = {{"Host", "town.example"},
							   {"Request-Id", "request-1"},
							   {"Key", kKey},
							   {"Deadline-Remaining", "3000"},
							   {"Model", "*"},
							   {"Token-Counts", "500,40"},
							   {"Prompt-Prefix", "aa:300,bb:100,cc:100"}};
			try
			{
				const auto onPart = [&](const HttpResponse&, std::string_view) {
					if (++parts == _partsToRead)
					{
						cancel(leave);
					}
				};
				spanplank::call(client, request, onPart, &leave);
			}
			catch (const HttpFailure&)
			{
			}
			answered = true;
		});
		ASSERT_TRUE(eventually([&] { return answered && router.inFlight.empty(); }));
	}

	double weightOf(LogRatioMean EngineSpeed::*_mean) const
	{
		const auto found = router.upstreams.speeds.speeds.find(key);
		return found == router.upstreams.speeds.speeds.end() ? 0.0 : (found->second.*_mean).weight;
	}
};

TEST_F(EngineSpeedSamples, AWholeStreamGivesOneOfItsFirstTokenAndOneOfItsTokens)
{
	engine.answer = [](StandInUpstream& _engine, HttpExchange& _exchange) {
		answerEvents(_engine, _exchange, 10, kPauseMs, false);
	};
	call();
	EXPECT_NEAR(weightOf(&EngineSpeed::firstToken), 1.0, 0.3);
	EXPECT_NEAR(weightOf(&EngineSpeed::token), 1.0, 0.3);
	const double tokenMs = meanTokenMs(router.upstreams.speeds, kKind);
	EXPECT_GE(tokenMs, 0.9 * kPauseMs / kTokensPerEvent);
	EXPECT_LE(tokenMs, 5.0 * kPauseMs / kTokensPerEvent) << "the box is busy with other tests at times";
	EXPECT_NE(directMetrics(router).find("first_token_ratio_count 1"), std::string::npos);
	EXPECT_NE(directMetrics(router).find("service_load{service=\"engines\"} 0"), std::string::npos);
}

// Guards against speeds that follow what is not the engine's: connections, callers, errors.
TEST_F(EngineSpeedSamples, ACutStreamACallerWhoLeavesAndFewEventsGiveNoneOfTokens)
{
	for (const int events : {10, 3})
	{
		engine.answer = [events](StandInUpstream& _engine, HttpExchange& _exchange) {
			answerEvents(_engine, _exchange, events, 1, events > 3);
		};
		call();
	}
	engine.answer = [](StandInUpstream& _engine, HttpExchange& _exchange) {
		answerEvents(_engine, _exchange, 20, kPauseMs, false);
	};
	call(10);
	EXPECT_EQ(router.stats.attempts["caller_left"], 1u);
	EXPECT_EQ(weightOf(&EngineSpeed::token), 0.0);
	EXPECT_EQ(meanTokenMs(router.upstreams.speeds, kKind), 0.0);
}

TEST_F(EngineSpeedSamples, ErrorsAndRejectionsGiveNone)
{
	engine.answer = [](StandInUpstream&, HttpExchange& _exchange) {
		answerNotRun(_exchange);
	};
	call();
	engine.answer = [](StandInUpstream&, HttpExchange& _exchange) {
		_exchange.respond({500, {}, "failed"});
	};
	call();
	EXPECT_TRUE(router.upstreams.speeds.speeds.empty());
}

TEST_F(EngineSpeedSamples, ThereAreNoneWhileThePolicyIsOff)
{
	router.settings.policies.engineSpeeds = false;
	engine.answer = [](StandInUpstream& _engine, HttpExchange& _exchange) {
		answerEvents(_engine, _exchange, 10, 1, false);
	};
	call();
	EXPECT_TRUE(router.upstreams.speeds.speeds.empty());
}
} // namespace
} // namespace spanplank
