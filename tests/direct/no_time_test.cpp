/// Requests that no engine can finish before their deadline. The router lives within the test's process, so
/// that its table of speeds can be filled.
#include <fmt/format.h>
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
using Upstream = StandInUpstream;
using nlohmann::json;

const std::string kKey = "key-of-the-town";
constexpr uint32_t kLongMs = 3600000;
constexpr uint32_t kPromptTokens = 500;

DirectSettings localSettings()
{
	DirectSettings settings;
	settings.box = "box-a";
	settings.hall = "hall-a";
	settings.revokeMs = kLongMs;
	return settings;
}

std::string engineConfig()
{
	json config = basicConfig(kKey);
	config["services"][1]["engine"]["kv_cache_tokens"] = 500000;
	return config.dump();
}

struct NoTime : testing::Test
{
	DirectRouter router{"", localSettings()};
	Upstream upstreams[2];
	std::string address;
	uint32_t heldWhileRunning = 0;

	NoTime()
	{
		router.pool.io = &testIo();
		adoptConfig(router.config, platform::decodeConfig(engineConfig()));
		router.config.confirmedAt = monotonicNow();
		router.callers.handler = [this](HttpExchange& _exchange) {
			serveDirect(router, _exchange);
		};
		address = loopback(startHttpServer(testIo(), router.callers, {loopbackIp(), 0}));
		for (Upstream& upstream : upstreams)
		{
			start(upstream, fmt::format("u-{}", &upstream - upstreams));
		}
	}

	~NoTime() override
	{
		router.pool.idle.clear();
		end(router.callers);
		for (Upstream& upstream : upstreams)
		{
			end(upstream.http);
		}
	}

	/// Their fibers refer to the fixture.
	static void end(HttpServer& _server)
	{
		stopListening(_server);
		EXPECT_TRUE(eventually([&] { return _server.connections == 0 && !_server.accepting; }));
	}

	void start(Upstream& _upstream, const std::string& _id)
	{
		_upstream.id = _id;
		_upstream.service = "engines";
		_upstream.answer = [](Upstream& _from, HttpExchange& _exchange) {
			answerEvents(_from, _exchange, 5, 1, false);
		};
		_upstream.http.handler = [this, &_upstream](HttpExchange& _exchange) {
			_upstream.requests.push_back(_exchange.request());
			heldWhileRunning = held();
			_upstream.answer(_upstream, _exchange);
		};
		_upstream.address = loopback(startHttpServer(testIo(), _upstream.http, {loopbackIp(), 0}));
		UpstreamRecord record;
		record.id = _upstream.id;
		record.service = _upstream.service;
		record.address = parseEndpoint(_upstream.address);
		record.hall = "hall-a";
		record.version = _upstream.version;
		registerUpstream(router.upstreams, record);
	}

	/// Teaches the router the time per token of a model.
	void learn(const std::string& _model, double _tokenMs)
	{
		constexpr int kSamples = 100;
		for (int ii = 0; ii < kSamples; ++ii)
		{
			for (const auto& [idx, entry] : router.upstreams.entries)
			{
				recordTokenTime(router.upstreams.speeds, entry.key, "engines " + _model, _tokenMs,
								monotonicNow());
			}
		}
	}

	uint32_t held() const
	{
		uint32_t tokens = 0;
		for (const auto& [idx, entry] : router.upstreams.entries)
		{
			tokens += entry.heldTokens;
		}
		return tokens;
	}

	size_t arrivals() const
	{
		return upstreams[0].requests.size() + upstreams[1].requests.size();
	}

	DirectAnswer call(const std::string& _length, const std::vector<HttpHeader>& _more = {})
	{
		HttpClient client;
		client.io = &testIo();
		client.endpoint = parseEndpoint(address);
		HttpCall request;
		request.method = "POST";
		request.target = "/chat/x";
		request.timeoutMs = 20000;
		request.headers = {{"Host", "town.example"},
						   {"Request-Id", "request-1"},
						   {"Deadline-Remaining", "4000"},
						   {"Key", kKey},
						   {"Model", "*"},
						   {"Token-Counts", fmt::format("{},400000", kPromptTokens)},
						   {"Length-Hint", _length}};
		request.headers.insert(request.headers.end(), _more.begin(), _more.end());
		DirectAnswer answer;
		try
		{
			const HttpResponse response =
				spanplank::call(client, request, [&answer](const HttpResponse&, std::string_view _part) {
					answer.body.append(_part);
				});
			answer.status = response.status;
			answer.headers = response.headers;
		}
		catch (const HttpFailure&)
		{
			answer.cut = true;
		}
		return answer;
	}
};

// Answers that could not end were begun, and their callers got nothing by the deadline.
TEST_F(NoTime, ARequestThatNoEngineCanFinishIsRefusedAtOnceAsNotRun)
{
	learn("small", 10.0);
	learn("large", 20.0);
	const DirectAnswer answer = call("100000");
	EXPECT_EQ(answer.status, 503);
	EXPECT_NE(answer.body.find("\"no_time\""), std::string::npos) << answer.body;
	EXPECT_EQ(answer.header("Retry-After"), "") << "the answer is too long at any time";
	EXPECT_EQ(arrivals(), 0u);
	EXPECT_EQ(router.stats.completion.noTime, 1u);
	EXPECT_EQ(router.stats.answers["no_time"], 1u);
}

TEST_F(NoTime, ARequestThatCanEndIsServedAndHoldsItsTokensMeanwhile)
{
	learn("small", 10.0);
	learn("large", 20.0);
	EXPECT_EQ(call("120").status, 200);
	EXPECT_EQ(heldWhileRunning, kPromptTokens + 120);
	EXPECT_TRUE(eventually([this] { return held() == 0; }));
	EXPECT_EQ(router.answerLengths.routes["chat"].tokens, 6.0) << "six events of one token";
	EXPECT_EQ(router.stats.completion.noTime, 0u);
}

// A router that has just started knows no speed and must refuse nothing.
TEST_F(NoTime, WithoutKnownSpeedsNothingIsRefused)
{
	EXPECT_EQ(call("100000").status, 200);
	EXPECT_EQ(router.stats.completion.noTime, 0u);
}

TEST_F(NoTime, WithThePolicyDisabledNothingIsRefused)
{
	router.settings.policies.completionTime = false;
	learn("small", 10.0);
	learn("large", 20.0);
	EXPECT_EQ(call("100000").status, 200);
	EXPECT_EQ(router.stats.completion.noTime, 0u);
}

TEST_F(NoTime, InvalidEstimatesAreIgnoredAndCounted)
{
	learn("small", 10.0);
	learn("large", 20.0);
	uint64_t sent = 0;
	for (const char* length : {"-1", "many", "nan", "1e300", "0"})
	{
		EXPECT_EQ(call(length).status, 200) << length;
		EXPECT_EQ(router.stats.completion.lengthsIgnored, ++sent) << length;
	}
}

// The second answer of a long doubted one came after the deadline, and the caller got neither.
TEST_F(NoTime, ADoubtedAnswerIsKeptIfTheNextModelsCannotEnd)
{
	for (Upstream& upstream : upstreams)
	{
		upstream.answer = [](Upstream& _from, HttpExchange& _exchange) {
			answerEvents(_from, _exchange, 5, 1, false, 10.0);
		};
	}
	learn("small", 1.0);
	learn("large", 100.0);
	EXPECT_EQ(call("200").status, 200);
	EXPECT_EQ(arrivals(), 1u);
	EXPECT_EQ(router.stats.completion.secondRunsWithoutTime, 1u);
	EXPECT_EQ(router.stats.escalated, 0u);
}

// What has begun is never ended for its expected end.
TEST_F(NoTime, ABegunStreamGoesOnElsewhereWhateverItsExpectedEnd)
{
	for (Upstream& upstream : upstreams)
	{
		upstream.answer = [this](Upstream& _from, HttpExchange& _exchange) {
			const bool first = arrivals() == 1;
			if (first)
			{
				learn("small", 1000.0);
				learn("large", 1000.0);
			}
			answerEvents(_from, _exchange, first ? 2 : 5, 1, first);
		};
	}
	const DirectAnswer answer = call("200");
	EXPECT_EQ(answer.status, 200);
	EXPECT_FALSE(answer.cut);
	EXPECT_NE(answer.body.find("id: 5\n"), std::string::npos);
	EXPECT_EQ(arrivals(), 2u);
	EXPECT_EQ(router.stats.completion.noTime, 0u);
	EXPECT_TRUE(eventually([this] { return held() == 0; })) << "one attempt broke, and one was whole";
}

// The part that the caller has was made by a run of the same request.
TEST_F(NoTime, AStreamThatItsCallerResumesIsNotRefused)
{
	learn("small", 1000.0);
	learn("large", 1000.0);
	EXPECT_EQ(call("200", {{"Last-Event-Id", "2"}}).status, 200);
	EXPECT_EQ(router.stats.completion.noTime, 0u);
	EXPECT_EQ(call("200").status, 503);
}
} // namespace
} // namespace spanplank
