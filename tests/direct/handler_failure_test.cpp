/// A handler that fails is never the caller's fault.
#include <gtest/gtest.h>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "http_p.h"
#include "ports.h"

namespace spanplank
{
namespace
{
/// A server whose handler throws.
struct HandlerFailure : testing::Test
{
	HttpServer server;
	HttpClient client;

	~HandlerFailure() override
	{
		client.idle.clear();
		stopListening(server);
		eventually([this] { return server.connections == 0 && !server.accepting; }, 5);
	}

	HttpResponse callThat(const std::function<void()>& _throws)
	{
		server.handler = [_throws](HttpExchange&) {
			_throws();
		};
		const uint16_t port = startHttpServer(testIo(), server, {loopbackIp(), 0});
		client.io = &testIo();
		client.endpoint = {loopbackIp(), port};
		return call(client, HttpCall{});
	}
};

// What went wrong beside the request was answered with the code of the failure: a wrong address of an
// upstream became the caller's 400, without a line in the log.
TEST_F(HandlerFailure, ThatSpeaksOfARequestIsAnsweredAsTheServersOwn)
{
	const HttpResponse answer = callThat([] { throw Failure(ErrorCode::BadRequest, "'x' is not ip:port"); });
	EXPECT_EQ(answer.status, 500);
	EXPECT_NE(answer.body.find("\"unknown\""), std::string::npos) << "it may have run: " << answer.body;
	EXPECT_EQ(answer.body.find("ip:port"), std::string::npos) << "an address of the inside: " << answer.body;
	EXPECT_EQ(server.ended["handler_failed"], 1u);
}

TEST_F(HandlerFailure, ThatSpeaksOfTheServerIsAnsweredWithItsCode)
{
	EXPECT_EQ(callThat([] { throw Failure(ErrorCode::Overloaded, "busy"); }).status, 429);
}

TEST_F(HandlerFailure, OfAnyOtherKindIsAnsweredAsTheServersOwn)
{
	const HttpResponse answer = callThat([] { throw std::out_of_range("map::at"); });
	EXPECT_EQ(answer.status, 500);
	EXPECT_EQ(server.ended["handler_failed"], 1u);
}
} // namespace
} // namespace spanplank
