/// What a caller gets on a kept connection when limits change, come due or the process stops.
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "http_p.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr uint32_t kShortMs = 400;    ///< A limit that the tests let pass.
constexpr uint32_t kLongMs = 60000;   ///< A limit that doesn't pass in a test.
constexpr uint32_t kSettleMs = 50;    ///< For the server to begin its next wait.
constexpr int kMostArrangements = 20; ///< Of a state that a busy machine may miss.

/// A server in the test's process and one caller's connection to it.
struct CallerConnection : testing::Test
{
	HttpServer server;
	tcp::socket caller{testIo()};
	uint16_t port = 0;
	size_t handled = 0;

	CallerConnection()
	{
		server.handler = [this](HttpExchange& _exchange) {
			++handled;
			_exchange.respond({200, {}, "done"});
		};
		port = startHttpServer(testIo(), server, {"127.0.0.1", 0});
	}

	~CallerConnection() override
	{
		hangUp();
		stopListening(server);
		eventually([this] { return server.connections == 0 && !server.accepting; });
	}

	void hangUp()
	{
		boost::system::error_code ignored;
		caller.close(ignored);
	}

	/// Opens a new connection and waits until the server serves it.
	void connect()
	{
		hangUp();
		ASSERT_TRUE(eventually([this] { return server.connections == 0; }));
		caller.connect({boost::asio::ip::make_address("127.0.0.1"), port});
		ASSERT_TRUE(eventually([this] { return server.connections == 1; }));
		sleepFor(kSettleMs);
	}

	/// Writes without giving the server a turn.
	void send(const std::string& _bytes)
	{
		boost::system::error_code ignored; // A connection that was closed shows in what is read.
		boost::asio::write(caller, boost::asio::buffer(_bytes), ignored);
	}

	/// @returns What came up to the mark, or to the connection's end.
	std::string readTo(const std::string& _mark)
	{
		std::string got;
		awaitIo([&](auto _done) {
			boost::asio::async_read_until(caller, boost::asio::dynamic_buffer(got), _mark, _done);
		});
		return got;
	}

	/// Sends a request and reads its answer.
	std::string ask()
	{
		send(kRequest);
		return readTo("done");
	}
};

// Connections that ended with a request begun and no whole answer left no trace, so that the reports of lost
// requests could not be told apart.
TEST_F(CallerConnection, ItsEndIsCountedByReasonIfSomethingOfItWasNotAnswered)
{
	connect();
	ask();
	hangUp();
	ASSERT_TRUE(eventually([this] { return server.connections == 0; }));
	EXPECT_TRUE(server.ended.empty()) << "an end between requests is a normal one";
	connect();
	send("GET / HTTP/1.1\r\n");
	hangUp();
	ASSERT_TRUE(eventually([this] { return server.connections == 0; }));
	EXPECT_EQ(server.ended, (std::map<std::string, uint64_t>{{"caller_closed", 1}}));
	connect();
	send("nonsense\r\n\r\n");
	EXPECT_EQ(readTo("no such text").substr(0, 12), "HTTP/1.1 400");
	ASSERT_TRUE(eventually([this] { return server.connections == 0; }));
	EXPECT_EQ(server.ended["malformed"], 1u);
}

// A caller kept a connection for less than the idle limit in force and got no answer. The limit had been
// raised while the connection waited, and the wait went on by the limit that it had begun with: the server
// closed after 400 ms with 60 s in force. Only the caller sees such an end: it reads the end of the
// connection in place of an answer, and the server counts nothing.
TEST_F(CallerConnection, WaitsByTheIdleLimitInForceNotByTheOneItBeganToWaitWith)
{
	for (int ii = 0; ii < kMostArrangements; ++ii)
	{
		server.limits.idleMs = kShortMs;
		connect();
		ask();
		sleepFor(kSettleMs);
		if (server.connections == 1)
		{
			break; // Else the short limit was over before it could be raised.
		}
	}
	ASSERT_EQ(server.connections, 1u);
	server.limits.idleMs = kLongMs;
	sleepFor(2 * kShortMs);
	EXPECT_NE(ask().find("200 OK"), std::string::npos) << "the connection was closed by a limit not in force";
}

} // namespace
} // namespace spanplank
