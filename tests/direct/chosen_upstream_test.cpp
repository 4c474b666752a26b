/// What happens between the choice of an upstream and the first byte sent to it. The router lives within the
/// test's process, so that the test's fiber runs between the steps of a request.
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

const std::string kKey = "key-of-the-town";
constexpr uint32_t kLongMs = 3600000;
constexpr size_t kUpstreams = 3;

DirectSettings localSettings()
{
	DirectSettings settings;
	settings.box = "box-a";
	settings.hall = "hall-a";
	settings.revokeMs = kLongMs;
	return settings;
}

struct ChosenUpstream : testing::Test
{
	DirectRouter router{"", localSettings()};
	Upstream upstreams[kUpstreams];
	std::string address;
	DirectAnswer answer;
	bool answered = false;

	ChosenUpstream()
	{
		router.pool.io = &testIo();
		adoptConfig(router.config, platform::decodeConfig(basicConfig(kKey).dump()));
		router.config.confirmedAt = monotonicNow();
		router.callers.handler = [this](HttpExchange& _exchange) {
			serveDirect(router, _exchange);
		};
		address = loopback(startHttpServer(testIo(), router.callers, {loopbackIp(), 0}));
	}

	~ChosenUpstream() override
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

	void startUpstreams(const std::string& _service)
	{
		for (size_t ii = 0; ii < kUpstreams; ++ii)
		{
			Upstream& upstream = upstreams[ii];
			upstream.id = fmt::format("u-{}", ii);
			upstream.service = _service;
			upstream.answer = [](Upstream& _upstream, HttpExchange& _exchange) {
				answerWell(_upstream, _exchange);
			};
			upstream.http.handler = [&upstream](HttpExchange& _exchange) {
				upstream.requests.push_back(_exchange.request());
				upstream.answer(upstream, _exchange);
			};
			upstream.address = loopback(startHttpServer(testIo(), upstream.http, {loopbackIp(), 0}));
			registerUpstream(router.upstreams, recordOf(upstream));
		}
	}

	static UpstreamRecord recordOf(const Upstream& _upstream)
	{
		UpstreamRecord record;
		record.id = _upstream.id;
		record.service = _upstream.service;
		record.address = parseEndpoint(_upstream.address);
		record.hall = "hall-a";
		record.version = _upstream.version;
		return record;
	}

	void call(const std::string& _method, const std::string& _path)
	{
		spawnFiber([this, _method, _path] {
			HttpClient client;
			client.io = &testIo();
			client.endpoint = parseEndpoint(address);
			HttpCall request;
			request.method = _method;
			request.target = _path;
			request.timeoutMs = 20000;
			request.headers = {{"Host", "town.example"},
							   {"Request-Id", "request-1"},
							   {"Deadline-Remaining", "15000"},
							   {"Key", kKey},
							   {"Model", "*"},
							   {"Token-Counts", "500,20"}};
			try
			{
				const HttpResponse response =
					spanplank::call(client, request, [this](const HttpResponse&, std::string_view _part) {
						answer.body.append(_part);
					});
				answer.status = response.status;
			}
			catch (const HttpFailure&)
			{
				answer.cut = true;
			}
			answered = true;
		});
	}

	/// Gives way to the other fibers until an upstream other than `_not` was chosen and is being connected.
	/// @returns It; null: none was.
	Upstream* awaitChosen(const Upstream* _not = nullptr)
	{
		const TimeUs until = monotonicNow() + TimeUs(kLongMs) * kMsToUs / 60;
		while (monotonicNow() < until && !answered)
		{
			for (Upstream& upstream : upstreams)
			{
				const uint32_t idx = router.upstreams.idxOfId.at(upstream.id);
				if (&upstream != _not && router.upstreams.entries.at(idx).inFlight > 0)
				{
					return &upstream;
				}
			}
			boost::this_fiber::yield();
		}
		return nullptr;
	}

	void leave(const Upstream& _upstream)
	{
		UpstreamRecord record = recordOf(_upstream);
		record.draining = true;
		registerUpstream(router.upstreams, record);
	}

	size_t arrivals() const
	{
		size_t count = 0;
		for (const Upstream& upstream : upstreams)
		{
			count += upstream.requests.size();
		}
		return count;
	}

	size_t extras(const std::string& _service)
	{
		return retryWindow(router, _service).retries.size();
	}
};

// A change of the store that says an upstream leaves came while a request that had chosen it waited for its
// connection. The choice was not looked at again: the request was sent all the same. While a process is
// hardly run such a wait takes as long as it is not.
TEST_F(ChosenUpstream, ThatLeavesWhileItIsConnectedGetsNothingAndAnotherIsAsked)
{
	startUpstreams("app");
	call("POST", "/once/x");
	Upstream* chosen = awaitChosen();
	ASSERT_NE(chosen, nullptr);
	leave(*chosen);
	ASSERT_TRUE(eventually([this] { return answered; }));
	EXPECT_EQ(chosen->requests.size(), 0u);
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(arrivals(), 1u);
	EXPECT_EQ(extras("app"), 0u);
}

// The same as a begun stream goes on elsewhere: that attempt was paid for when the first one broke, and what
// was not sent costs no second one.
TEST_F(ChosenUpstream, ThatLeavesBeforeAStreamGoesOnThereCostsNoFurtherAttempt)
{
	startUpstreams("engines");
	for (Upstream& upstream : upstreams)
	{
		upstream.answer = [this](Upstream& _upstream, HttpExchange& _exchange) {
			const bool cut = arrivals() == 1;
			answerEvents(_upstream, _exchange, cut ? 2 : 5, 1, cut);
		};
	}
	call("POST", "/chat/x");
	Upstream* first = awaitChosen();
	ASSERT_NE(first, nullptr);
	Upstream* second = awaitChosen(first);
	ASSERT_NE(second, nullptr);
	leave(*second);
	ASSERT_TRUE(eventually([this] { return answered; }));
	EXPECT_EQ(second->requests.size(), 0u);
	EXPECT_EQ(answer.status, 200);
	EXPECT_FALSE(answer.cut);
	EXPECT_NE(answer.body.find("id: 5\n"), std::string::npos);
	EXPECT_EQ(arrivals(), 2u);
	EXPECT_EQ(extras("engines"), 1u);
}

// An upstream for which no attempt can be prepared, here for an id that no header holds, cost the request.
TEST_F(ChosenUpstream, ForWhichNoAttemptCanBePreparedIsLeftForAnother)
{
	constexpr int kCalls = 8;
	startUpstreams("app");
	UpstreamRecord record = recordOf(upstreams[0]);
	record.id = std::string(70000, 'x');
	registerUpstream(router.upstreams, record);
	for (int ii = 0; ii < kCalls; ++ii)
	{
		answered = false;
		call("POST", "/once/x");
		ASSERT_TRUE(eventually([this] { return answered; }));
		EXPECT_EQ(answer.status, 200);
	}
	EXPECT_EQ(arrivals(), size_t(kCalls));
	const UpstreamEntry& entry = router.upstreams.entries.at(router.upstreams.idxOfId.at(record.id));
	EXPECT_EQ(entry.inFlight, 0u);
}

TEST_F(ChosenUpstream, WhereAllLeaveTheRequestIsTruthfullyToldNotRun)
{
	startUpstreams("app");
	call("POST", "/once/x");
	ASSERT_NE(awaitChosen(), nullptr);
	for (const Upstream& upstream : upstreams)
	{
		leave(upstream);
	}
	ASSERT_TRUE(eventually([this] { return answered; }));
	EXPECT_EQ(answer.status, 503);
	EXPECT_EQ(arrivals(), 0u);
	EXPECT_EQ(router.upstreams.entries.begin()->second.inFlight, 0u);
}
// A version was rolled back while a request waited for its connection, and the request was still sent to it:
// the upstream had been looked at again, its version had not. The rolled back version's upstream saw one
// request.
TEST_F(ChosenUpstream, WhoseVersionIsHaltedWhileItIsConnectedGetsNothing)
{
	for (size_t ii = 0; ii < kUpstreams; ++ii)
	{
		upstreams[ii].version = fmt::format("v{}", ii);
	}
	startUpstreams("app");
	call("POST", "/once/x");
	Upstream* chosen = awaitChosen();
	ASSERT_NE(chosen, nullptr);
	applyOrder(router.trials, {"app", chosen->version, 60000}, 1, monotonicNow());
	applyStatus(router.trials, "app", {chosen->version, RolloutState::RolledBack}, 2);
	ASSERT_EQ(haltedVersion(router.trials, "app"), chosen->version);
	ASSERT_TRUE(eventually([this] { return answered; }));
	EXPECT_EQ(chosen->requests.size(), 0u);
	EXPECT_EQ(answer.status, 200);
}
} // namespace
} // namespace spanplank
