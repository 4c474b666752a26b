/// What an exchange tells of an answer whose caller closes its side while the answer is written.
#include <gtest/gtest.h>
#include <optional>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "http_p.h"
#include "ports.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

constexpr size_t kBodyBytes = 8u << 20; ///< More than the buffers of both sockets hold.

/// A server that answers each request with a body that its caller must read for the write to end.
struct SlowlyReadAnswer : testing::Test
{
	HttpServer server;
	tcp::socket caller{testIo()};
	bool noticed = false;          ///< The server saw the caller close its side.
	std::optional<bool> delivered; ///< What `passOn` told.

	SlowlyReadAnswer()
	{
		server.handler = [this](HttpExchange& _exchange) {
			_exchange.onCallerGone([this] { noticed = true; });
			const std::string body(kBodyBytes, 'x');
			delivered = _exchange.passOn(200, {}, body);
		};
		const uint16_t port = startHttpServer(testIo(), server, {loopbackIp(), 0});
		caller.connect({boost::asio::ip::make_address(loopbackIp()), port});
		const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
		boost::asio::write(caller, boost::asio::buffer(request));
		caller.shutdown(tcp::socket::shutdown_send);
	}

	~SlowlyReadAnswer() override
	{
		boost::system::error_code ignored;
		caller.close(ignored);
		stopListening(server);
		eventually([this] { return server.connections == 0 && !server.accepting; }, 5);
	}

	void readAll()
	{
		std::vector<char> bytes(65536);
		boost::system::error_code error;
		while (!error)
		{
			const IoResult read =
				awaitIo([&](auto _done) { caller.async_read_some(boost::asio::buffer(bytes), _done); });
			error = read.error;
		}
	}
};

TEST_F(SlowlyReadAnswer, IsDeliveredIfTheCallerReadsAllOfItThoughItClosedItsSideBefore)
{
	ASSERT_TRUE(eventually([this] { return noticed; }, 5));
	EXPECT_FALSE(delivered.has_value()) << "the write is under way";
	readAll();
	ASSERT_TRUE(eventually([this] { return delivered.has_value(); }, 5));
	EXPECT_TRUE(*delivered);
}

TEST_F(SlowlyReadAnswer, IsNotDeliveredIfTheCallerLeavesMidway)
{
	ASSERT_TRUE(eventually([this] { return noticed; }, 5));
	boost::system::error_code ignored;
	caller.set_option(boost::asio::socket_base::linger(true, 0), ignored);
	caller.close(ignored);
	ASSERT_TRUE(eventually([this] { return delivered.has_value(); }, 5));
	EXPECT_FALSE(*delivered);
}
} // namespace
} // namespace spanplank
