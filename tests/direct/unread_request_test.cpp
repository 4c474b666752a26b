/// Requests that wait before the router reads them: what their route allows counts from their sending.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

#include "direct_harness.h"
#include "endless_upstream.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

constexpr uint32_t kTimeOutMs = 800; ///< Of the route.
constexpr uint32_t kUnreadMs = 700;  ///< What passes before the router has read the request.
constexpr uint32_t kHeldMs = 500;    ///< Longest time beyond the time-out, by the users' rule.
constexpr uint32_t kPollMs = 20;
constexpr size_t kBodyBytes = 4;

struct UnreadRequest : testing::Test
{
	DirectSystem system;
	tcp::socket caller{testIo()};
	TimeUs sentAt = 0;
	bool over = false; ///< Until then the upstream is silent.

	~UnreadRequest() override
	{
		over = true;
		system.killHard();
	}

	void startAtSilentUpstream()
	{
		system.config["routes"][1]["timeout_ms"] = kTimeOutMs;
		system.writeConfig();
		system.addUpstream("u-silent", "app").answer = [this](StandInUpstream&, HttpExchange& _exchange) {
			while (!over && !_exchange.callerGone())
			{
				sleepFor(kPollMs);
			}
			_exchange.abort();
		};
		system.startReady(1);
	}

	void connect()
	{
		const Endpoint to = parseEndpoint(system.listen());
		caller.connect({boost::asio::ip::make_address(to.ip), to.port});
	}

	void send(const std::string& _bytes)
	{
		sentAt = sentAt != 0 ? sentAt : monotonicNow();
		boost::asio::write(caller, boost::asio::buffer(_bytes));
	}

	std::string head(const std::string& _target, uint32_t _deadlineMs) const
	{
		return fmt::format("POST {} HTTP/1.1\r\nHost: town.example\r\nRequest-Id: request-1\r\n"
						   "Deadline-Remaining: {}\r\nKey: {}\r\nModel: *\r\nConnection: close\r\n"
						   "Content-Length: {}\r\n\r\n",
						   _target, _deadlineMs, system.key, kBodyBytes);
	}

	/// @returns How long after its sending the request is answered, in milliseconds.
	uint32_t awaitAnswer()
	{
		std::string got;
		awaitIo(
			[&](auto _done) { boost::asio::async_read(caller, boost::asio::dynamic_buffer(got), _done); });
		EXPECT_EQ(got.substr(0, 10), "HTTP/1.1 5") << got;
		return uint32_t((monotonicNow() - sentAt) / kMsToUs);
	}
};

// The time-out began when the request had been read: 770 ms late on a crowded box.
TEST_F(UnreadRequest, ThatWaitedWhileTheRouterWasNotRunEndsByItsRoutesTimeOut)
{
	startAtSilentUpstream();
	system.signal(SIGSTOP);
	connect();
	send(head("/once/x", 4000) + "body");
	sleepFor(kUnreadMs);
	system.signal(SIGCONT);
	EXPECT_LE(awaitAnswer(), kTimeOutMs + kHeldMs) << system.log();
}

TEST_F(UnreadRequest, WhoseBodyComesLateEndsByItsRoutesTimeOut)
{
	startAtSilentUpstream();
	connect();
	send(head("/once/x", 4000));
	sleepFor(kUnreadMs);
	send("body");
	EXPECT_LE(awaitAnswer(), kTimeOutMs + kHeldMs) << system.log();
}

// A process that is idle reads a request as it comes: nothing is taken off its time.
TEST_F(UnreadRequest, HasItsWholeTimeAtAnIdleRouter)
{
	startAtSilentUpstream();
	sleepFor(2 * kTimeOutMs);
	connect();
	send(head("/once/x", 4000) + "body");
	EXPECT_GE(awaitAnswer(), kTimeOutMs);
}

// One write to a caller had 30 s, whatever the deadline: the upstream was held for as long.
TEST_F(UnreadRequest, WhoseCallerDoesNotReadHoldsNoUpstreamBeyondItsDeadline)
{
	const std::string comment = "43\r\n:" + std::string(64, 'x') + "\n\n\r\n";
	EndlessUpstream endless(loopbackIp(), {"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\n"
										   "Transfer-Encoding: chunked\r\n\r\n",
										   comment});
	StandInUpstream stand;
	stand.id = "u-endless";
	stand.service = "engines";
	stand.address = loopback(endless.port());
	system.registerUpstream(stand);
	system.startReady(1);
	connect();
	send(head("/chat/x", kTimeOutMs) + "body");
	EXPECT_TRUE(eventually([&] { return endless.writing() == 1; }));
	sleepFor(kTimeOutMs + kHeldMs);
	EXPECT_EQ(endless.writing(), 0u);
	system.killHard();
}

/// A server whose event loop takes long turns.
struct BusyLoop : testing::Test
{
	HttpServer server;
	bool over = false;
	size_t turns = 0;

	~BusyLoop() override
	{
		stopListening(server);
		eventually([this] { return server.connections == 0 && !server.accepting; });
	}
};

// One connection was accepted in each turn: on a box whose turns are long, new connections waited for
// seconds.
TEST_F(BusyLoop, AcceptsWhatWaitsInOneTurn)
{
	constexpr size_t kConnections = 60;
	constexpr size_t kMostTurns = 10;
	constexpr std::chrono::milliseconds kTurn(5);
	server.handler = [](HttpExchange& _exchange) {
		_exchange.respond({200, {}, ""});
	};
	const uint16_t port = startHttpServer(testIo(), server, {loopbackIp(), 0});
	std::vector<tcp::socket> callers;
	for (size_t ii = 0; ii < kConnections; ++ii)
	{
		callers.emplace_back(testIo());
		callers.back().connect({boost::asio::ip::make_address(loopbackIp()), port});
	}
	while (server.connections < kConnections && turns < kConnections)
	{
		++turns;
		std::this_thread::sleep_for(kTurn);
		sleepFor(0);
	}
	EXPECT_EQ(server.connections, kConnections);
	EXPECT_LE(turns, kMostTurns);
}
} // namespace
} // namespace spanplank
