/// One call to an upstream whose limit passes: what has arrived by then counts.
#include <boost/asio/write.hpp>
#include <chrono>
#include <gtest/gtest.h>
#include <optional>
#include <thread>
#include <utility>

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

	/// Connects, sends the request and reads the head of its answer.
	ExchangeState open(TimeUs _headBy)
	{
		const ExchangeState connected = call->connect(monotonicNow() + kFar);
		return connected == ExchangeState::Ok ? call->send(_headBy) : connected;
	}

	/// The caller's side has the head of a chunked answer.
	void openStream()
	{
		spawnFiber([this] {
			awaitIo([this](auto _done) { acceptor.async_accept(upstream, _done); });
			send("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n");
		});
		ASSERT_EQ(open(monotonicNow() + kFar), ExchangeState::Ok);
	}

	/// The same of an answer that ends with its connection, and a part of its body.
	void openUnframed()
	{
		spawnFiber([this] {
			awaitIo([this](auto _done) { acceptor.async_accept(upstream, _done); });
			send("HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\na part");
		});
		ASSERT_EQ(open(monotonicNow() + kFar), ExchangeState::Ok);
		std::string piece;
		ASSERT_EQ(next(piece, monotonicNow() + kFar), ExchangeState::Ok);
		ASSERT_EQ(piece, "a part");
	}

	void resetConnection()
	{
		upstream.set_option(boost::asio::socket_base::linger(true, 0));
		upstream.close();
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

// The same while the event is passed on: writing to a slow caller takes the rest of the limit, which was
// meant for the upstream alone.
TEST_F(OneCall, ALimitThatPassesBetweenTwoReadsEndsNothing)
{
	openStream();
	send("5\r\nfirst\r\n");
	std::string piece;
	ASSERT_EQ(next(piece, monotonicNow() + kLimit), ExchangeState::Ok);
	sleepFor(uint32_t(kStall.count()));
	send("6\r\nsecond\r\n0\r\n\r\n");
	EXPECT_EQ(next(piece, monotonicNow() + kFar), ExchangeState::Ok) << call->error();
	EXPECT_EQ(piece, "second");
}

// A limit that passes while no step waits ends nothing, but the next step still has it: here an answer to
// another request and the limit are due in the same turn, and nothing follows.
TEST_F(OneCall, TimesOutAfterAnAnswerToAnotherRequestThatCameAtTheLimit)
{
	spawnFiber([this] {
		awaitIo([this](auto _done) { acceptor.async_accept(upstream, _done); });
		sleepFor(1); // The request is on its way and its answer awaited.
		send("HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 0\r\n\r\n");
		std::this_thread::sleep_for(kStall);
	});
	std::optional<ExchangeState> state;
	together({[&] { state = open(monotonicNow() + kLimit); },
			  [&] {
				  eventually([&state] { return state.has_value(); });
				  call->cancel();
			  }});
	EXPECT_EQ(state, ExchangeState::TimedOut) << call->error();
}

// A begun stream that stays silent after the record of its upstream's restart was at the incarnation before:
// waiting for it until the deadline would lose the answer.
TEST_F(OneCall, EndsAsLostIfItStaysSilentAfterARestart)
{
	request.stream = true;
	openStream();
	call->onLate([] { return monotonicNow() + 50 * kMsToUs; });
	const RestartedCalls calls = endCalls(pool, request.upstream, {request.address, std::nullopt});
	EXPECT_EQ(calls.kept, 1u);
	EXPECT_EQ(calls.ended, 0u);
	std::string piece;
	EXPECT_EQ(next(piece, monotonicNow() + 50 * kMsToUs), ExchangeState::Broken);
	EXPECT_TRUE(call->lost());
}

TEST_F(OneCall, WaitsOnAfterARestartOnceAnEventHasCome)
{
	request.stream = true;
	openStream();
	endCalls(pool, request.upstream, {request.address, std::nullopt});
	send("5\r\nfirst\r\n");
	std::string piece;
	ASSERT_EQ(next(piece, monotonicNow() + kFar), ExchangeState::Ok);
	sleepFor(uint32_t(kStall.count()));
	call->onLate([&, asked = false]() mutable {
		return std::exchange(asked, true) ? std::optional<TimeUs>() : monotonicNow() + 50 * kMsToUs;
	});
	EXPECT_EQ(next(piece, monotonicNow() + 50 * kMsToUs), ExchangeState::TimedOut);
	EXPECT_FALSE(call->lost());
}

// The last event of the previous incarnation, which had come before the record and was read after it, was
// taken for a sign of the new one.
TEST_F(OneCall, EndsAsLostIfOnlyWhatHadComeBeforeTheRestartIsReadAfterIt)
{
	request.stream = true;
	openStream();
	send("5\r\nfirst\r\n");
	endCalls(pool, request.upstream, {request.address, std::nullopt});
	std::string piece;
	ASSERT_EQ(next(piece, monotonicNow() + kFar), ExchangeState::Ok);
	EXPECT_EQ(piece, "first");
	const TimeUs until = monotonicNow() + 3 * kLimit;
	call->onLate([until] {
		return monotonicNow() < until ? std::optional<TimeUs>(monotonicNow() + 50 * kMsToUs) : std::nullopt;
	});
	EXPECT_EQ(next(piece, monotonicNow() + 50 * kMsToUs), ExchangeState::Broken);
	EXPECT_TRUE(call->lost());
}

TEST_F(OneCall, WaitsOnAfterARestartOnceAnEventHasComeAfterThoseFromBefore)
{
	request.stream = true;
	openStream();
	send("5\r\nfirst\r\n");
	endCalls(pool, request.upstream, {request.address, std::nullopt});
	std::string piece;
	ASSERT_EQ(next(piece, monotonicNow() + kFar), ExchangeState::Ok);
	send("6\r\nsecond\r\n");
	ASSERT_EQ(next(piece, monotonicNow() + kFar), ExchangeState::Ok);
	sleepFor(uint32_t(kStall.count()));
	EXPECT_EQ(next(piece, monotonicNow() + 50 * kMsToUs), ExchangeState::TimedOut);
	EXPECT_FALSE(call->lost());
}

// A look at the connection met the reset, and the read after it found the end of the answer.
TEST_F(OneCall, IsBrokenByAResetThatTheRecordOfARestartMet)
{
	openUnframed();
	resetConnection();
	endCalls(pool, request.upstream, {request.address, std::nullopt});
	std::string piece;
	EXPECT_EQ(next(piece, monotonicNow() + kFar), ExchangeState::Broken);
}

TEST_F(OneCall, IsBrokenByAResetThatMeetsItsLimit)
{
	openUnframed();
	spawnFiber([this] { // Runs once the read below waits, and holds the loop until its limit has passed.
		std::this_thread::sleep_for(kStall);
		resetConnection();
	});
	std::string piece;
	EXPECT_NE(next(piece, monotonicNow() + kLimit), ExchangeState::Ok);
}

// An upstream that starts again at another address can't have been reached at the old one.
TEST_F(OneCall, EndsIfItsUpstreamStartsAgainElsewhere)
{
	request.stream = true;
	openStream();
	EXPECT_EQ(endCalls(pool, request.upstream, {{"127.0.0.1", 1}, std::nullopt}).ended, 1u);
	EXPECT_TRUE(call->lost());
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
