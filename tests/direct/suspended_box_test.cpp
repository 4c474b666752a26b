/// A box that is suspended: the steady clock does not count the time, limits and deadlines do.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"
#include "upstream_http_p.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kLongMs = 20000;              ///< Far longer than a test may take.
constexpr TimeUs kSuspended = 30000 * kMsToUs;   ///< Longer than that.
constexpr uint32_t kBeforeMs = 30;               ///< Until the suspension.
constexpr std::chrono::milliseconds kSoon(2000); ///< Of the steady clock, after it.

/// @returns Time of the steady clock that something took beside a suspension.
std::chrono::steady_clock::duration besideSuspension(const std::function<void()>& _wait)
{
	const auto begin = std::chrono::steady_clock::now();
	together({_wait, [] {
				  sleepFor(kBeforeMs);
				  skipTime(kSuspended);
			  }});
	return std::chrono::steady_clock::now() - begin;
}

/// A server that takes connections and says nothing.
struct SilentServer
{
	HttpServer http;
	Endpoint address{loopbackIp(), 0};
	bool released = false;

	SilentServer()
	{
		http.handler = [this](HttpExchange&) {
			while (!released)
			{
				sleepFor(1);
			}
		};
		address.port = startHttpServer(testIo(), http, address);
	}

	~SilentServer()
	{
		released = true;
		stopListening(http);
		closeIdle(http);
		eventually([this] { return http.connections == 0 && !http.accepting; });
	}
};

struct SuspendedBox : testing::Test
{
	SuspendedBox()
	{
		testIo();
	}
};

// Deadlines were read from the clock that counts a suspension, and all waits for them went by the steady
// clock: after 30 s of suspension a wait of 20 s lasted 20 s more.
TEST_F(SuspendedBox, ASleepIsOver)
{
	EXPECT_LT(besideSuspension([] { sleepFor(kLongMs); }), kSoon);
}

TEST_F(SuspendedBox, APauseThatAnotherFiberMayEndIsOver)
{
	FiberAlarm alarm(testIo());
	EXPECT_LT(besideSuspension([&alarm] { alarm.wait(kLongMs); }), kSoon);
}

TEST_F(SuspendedBox, AnAttemptWhoseTimeIsUpEnds)
{
	SilentServer server;
	UpstreamPool pool;
	pool.io = &testIo();
	boost::beast::http::fields head;
	head.set("Host", "town.example");
	AttemptRequest request;
	request.upstream = UpstreamId{1};
	request.address = server.address;
	request.methodText = "GET";
	request.target = "/x";
	request.head = &head;
	request.idHeader = "Request-Id";
	request.requestId = "one";
	ExchangeState state = ExchangeState::Ok;
	EXPECT_LT(besideSuspension([&] {
				  UpstreamCall call(pool, request);
				  const TimeUs by = monotonicNow() + TimeUs(kLongMs) * kMsToUs;
				  EXPECT_EQ(call.connect(by), ExchangeState::Ok);
				  state = call.send(by);
			  }),
			  kSoon);
	EXPECT_EQ(state, ExchangeState::TimedOut);
}

TEST_F(SuspendedBox, AnIdleConnectionOfACallerIsClosed)
{
	SilentServer server;
	server.http.limits.idleMs = kLongMs;
	boost::asio::ip::tcp::socket socket(testIo());
	EXPECT_LT(besideSuspension([&] {
				  const boost::asio::ip::tcp::endpoint to(boost::asio::ip::make_address(loopbackIp()),
														  server.address.port);
				  awaitIo([&](auto _done) { socket.async_connect(to, _done); });
				  char byte = 0;
				  awaitIo([&](auto _done) { socket.async_read_some(boost::asio::buffer(&byte, 1), _done); });
			  }),
			  kSoon);
}

TEST_F(SuspendedBox, ACallOfTheStoreIsGivenUp)
{
	SilentServer server;
	HttpClient client;
	client.io = &testIo();
	client.endpoint = server.address;
	HttpCall request;
	request.timeoutMs = kLongMs;
	EXPECT_LT(besideSuspension([&] { EXPECT_THROW(call(client, request), HttpFailure); }), kSoon);
}
} // namespace
} // namespace spanplank
