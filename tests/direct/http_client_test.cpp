/// Calls of the HTTP client that are cancelled while their fiber works on what has come.
#include <gtest/gtest.h>

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
} // namespace
} // namespace spanplank
