/// Calls of the HTTP client that are cancelled, or whose time passes, while their fiber works on what has
/// come.
#include <chrono>
#include <gtest/gtest.h>
#include <thread>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "http_p.h"
#include "ports.h"

namespace spanplank
{
namespace
{
constexpr int kParts = 40;

// A call that was cancelled between two reads went on to its end: only an operation under way was cancelled,
// and nothing looked again. All 40 parts were still sent to a caller that had left.
TEST(HttpCancelled, BetweenTwoReadsACallEnds)
{
	HttpServer server;
	bool left = false;
	server.handler = [&](HttpExchange& _exchange) {
		_exchange.startStream(200, {}, "text/plain");
		for (int ii = 0; ii < kParts && !left; ++ii)
		{
			left = !_exchange.write("part") || _exchange.callerGone();
			sleepFor(50);
		}
		_exchange.finish();
	};
	const uint16_t port = startHttpServer(testIo(), server, {loopbackIp(), 0});
	HttpClient client;
	client.io = &testIo();
	client.endpoint = {loopbackIp(), port};
	HttpCancel stop;
	EXPECT_THROW(call(
					 client, {}, [&](const HttpResponse&, std::string_view) { cancel(stop); }, &stop),
				 HttpFailure);
	client.idle.clear();
	stopListening(server);
	EXPECT_TRUE(eventually([&] { return server.connections == 0 && !server.accepting; }));
	EXPECT_TRUE(left);
}

// A limit that passed in the turn of the loop that made the connection closed it, and setting an option of
// the closed socket threw past all callers: a router that was frozen meanwhile never read the store again.
TEST(HttpConnect, WhoseLimitPassesInTheSameTurnOfTheLoopIsAFailedCall)
{
	constexpr uint32_t kLimitMs = 20;
	boost::asio::ip::tcp::acceptor acceptor(testIo(), {boost::asio::ip::make_address(loopbackIp()), 0});
	HttpClient client;
	client.io = &testIo();
	client.endpoint = {loopbackIp(), acceptor.local_endpoint().port()};
	HttpCall request;
	request.timeoutMs = kLimitMs;
	together({[&] {
				  try
				  {
					  call(client, request);
					  ADD_FAILURE() << "nobody answers";
				  }
				  catch (const HttpFailure& failure)
				  {
					  EXPECT_FALSE(failure.sent());
				  }
				  catch (const std::exception& failure)
				  {
					  ADD_FAILURE() << failure.what();
				  }
			  },
			  [] {
				  std::this_thread::sleep_for(std::chrono::milliseconds(3 * kLimitMs));
			  }}); // Frozen.
}

// An endpoint that is no address threw past all callers in the same way.
TEST(HttpConnect, ToWhatIsNoAddressIsAFailedCall)
{
	HttpClient client;
	client.io = &testIo();
	client.endpoint = {"nowhere", 80};
	EXPECT_THROW(call(client, {}), HttpFailure);
	EXPECT_FALSE(refusesConnections(client));
}
} // namespace
} // namespace spanplank
