/// One call to an upstream whose limit passes: what has arrived by then counts.
#include <boost/asio/write.hpp>
#include <chrono>
#include <gtest/gtest.h>
#include <thread>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "upstream_http_p.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

constexpr TimeUs kFar = 60000 * kMsToUs; ///< Longer than any test runs.
constexpr TimeUs kLimit = 1000 * kMsToUs;
constexpr std::chrono::milliseconds kStall(1200); ///< Longer than `kLimit`.

/// A call whose answer the test writes byte by byte.
struct OneCall : testing::Test
{
	boost::asio::io_context& io = testIo();
	tcp::acceptor acceptor{io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
	tcp::socket upstream{io};
	UpstreamPool pool;
	boost::beast::http::fields head;
	AttemptRequest request;
	std::unique_ptr<UpstreamCall> call;

	OneCall()
	{
		pool.io = &io;
		request.address = {"127.0.0.1", acceptor.local_endpoint().port()};
		request.methodText = "GET";
		request.target = "/";
		request.head = &head;
		request.idHeader = "Request-Id";
		request.requestId = "r";
		call = std::make_unique<UpstreamCall>(pool, request);
	}

	void send(std::string_view _bytes)
	{
		boost::asio::write(upstream, boost::asio::buffer(_bytes.data(), _bytes.size()));
	}

	/// The caller's side has the head of a chunked answer.
	void openStream()
	{
		spawnFiber([this] {
			awaitIo([this](auto _done) { acceptor.async_accept(upstream, _done); });
			send("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n");
		});
		ASSERT_EQ(call->open(monotonicNow() + kFar, monotonicNow() + kFar), ExchangeState::Ok);
	}

	/// Reads until bytes of the body or an end have come.
	ExchangeState next(std::string& _bytes, TimeUs _by)
	{
		std::string_view piece;
		ExchangeState state = ExchangeState::Ok;
		while (state == ExchangeState::Ok && piece.empty() && !call->done())
		{
			state = call->read(piece, _by);
		}
		_bytes = piece;
		return state;
	}
};

// A box that was not run for a while found the event of a stream and the end of the stream's limit due in the
// same turn of its event loop. The event was read, and the limit closed the connection before the fiber that
// waited for the event could set the next limit: the stream broke off after an event that had come in time.
TEST_F(OneCall, BytesThatHaveArrivedGoBeforeALimitThatIsDue)
{
	openStream();
	spawnFiber([this] { // Runs once the read below waits, and holds the loop until both are due.
		send("5\r\nfirst\r\n");
		std::this_thread::sleep_for(kStall);
	});
	std::string piece;
	EXPECT_EQ(next(piece, monotonicNow() + kLimit), ExchangeState::Ok);
	EXPECT_EQ(piece, "first");
	send("6\r\nsecond\r\n0\r\n\r\n");
	EXPECT_EQ(next(piece, monotonicNow() + kFar), ExchangeState::Ok) << call->error();
	EXPECT_EQ(piece, "second");
}

TEST_F(OneCall, TimesOutWhenNothingCame)
{
	openStream();
	std::string piece;
	EXPECT_EQ(next(piece, monotonicNow() + kMsToUs), ExchangeState::TimedOut);
	EXPECT_TRUE(piece.empty());
}
} // namespace
} // namespace spanplank
