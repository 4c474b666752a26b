/// What callers get of a router in a planned stop whose requests have not come whole yet.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "spanplank/planned_stop.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

constexpr uint32_t kPollMs = 20;
constexpr uint32_t kBeforeAnswersMs = 3300; ///< Of a stop of 4 s, which ends what is at upstreams at 3.4 s.
constexpr uint32_t kPastTheEndMs = 500;     ///< From then on: past the end of such a stop, at 3.6 s.

/// @returns A request whose deadline is long after the end of the stop.
std::string longRequest(const DirectSystem& _system)
{
	return "POST /once/ HTTP/1.1\r\nHost: town.example\r\nRequest-Id: r1\r\nDeadline-Remaining: "
		   "15000\r\nKey: " +
		   _system.key + "\r\nContent-Length: 4\r\n\r\nabcd";
}

/// A router process and one caller's connection to it.
struct CallerStop : testing::Test
{
	tcp::socket caller{testIo()};
	bool over = false; ///< Until then the upstream is silent; its fiber must end within the test.

	void connect(const DirectSystem& _system)
	{
		const Endpoint to = parseEndpoint(_system.listen());
		caller.connect({boost::asio::ip::make_address(to.ip), to.port});
	}

	void send(const std::string& _bytes)
	{
		boost::system::error_code ignored; // A connection that was closed shows in what is read.
		boost::asio::write(caller, boost::asio::buffer(_bytes), ignored);
	}

	/// @returns What came until the connection ended.
	std::string readAll()
	{
		std::string got;
		awaitIo(
			[&](auto _done) { boost::asio::async_read(caller, boost::asio::dynamic_buffer(got), _done); });
		return got;
	}

	/// Starts the router with a request of the caller at an upstream that keeps silent.
	void startAtSilentUpstream(DirectSystem& _system)
	{
		StandInUpstream& upstream = _system.addUpstream("u-first", "app");
		upstream.answer = [this](StandInUpstream&, HttpExchange& _exchange) {
			while (!over)
			{
				sleepFor(kPollMs);
			}
			_exchange.abort();
		};
		_system.startReady(1);
		connect(_system);
		send(longRequest(_system));
		ASSERT_TRUE(eventually([&] { return upstream.requests.size() == 1; }));
	}

	/// Stops the router and waits until its balancer has seen that, and some more.
	void stopPastTheBalancer(DirectSystem& _system)
	{
		_system.terminate();
		ASSERT_TRUE(eventually([&] { return _system.log().find("event=stopping") != std::string::npos; }));
		sleepFor(kBalancerDetectionMs + 1000);
	}
};

std::string headOf(const DirectSystem& _system, size_t _bodyBytes)
{
	return "POST /once/ HTTP/1.1\r\nHost: town.example\r\nRequest-Id: r1\r\nDeadline-Remaining: "
		   "4000\r\nKey: " +
		   _system.key + "\r\nContent-Length: " + std::to_string(_bodyBytes) + "\r\n\r\n";
}

// A router in a planned stop cut requests that it was reading: the stop waited for those alone that were at
// an upstream. It logged stopping in_flight="0" connections="1" and, 2.6 s later, stopped cut="0"
// connections="1", and ended with half of a request in hand and 27 s of its grace left.
TEST_F(CallerStop, ARequestThatIsBeingReadIsAnsweredWhenTheRestHasCome)
{
	DirectSystem system("graceSeconds: 30\n");
	system.addUpstream("u-first", "app");
	system.startReady(1);
	connect(system);
	send(headOf(system, 4) + "ab");
	stopPastTheBalancer(system);
	send("cd");
	EXPECT_EQ(readAll().substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(system.awaitEnd(), 0);
	EXPECT_NE(system.log().find("event=stopped cut=\"0\""), std::string::npos);
}

// A router in a planned stop had a request at an upstream that did not answer, waited on as no further
// attempt was allowed, and ended with it: stopped cut="1", and reason="stopped" closed_by="stop" status="0"
// request_ms="1857.9" for the caller's connection. Nothing ended a request before the process did.
TEST_F(CallerStop, ARequestWhoseUpstreamStaysSilentIsAnsweredBeforeTheEnd)
{
	DirectSystem system("graceSeconds: 4\n");
	startAtSilentUpstream(system);
	system.terminate();
	EXPECT_EQ(readAll().substr(0, 12), "HTTP/1.1 504");
	EXPECT_EQ(system.awaitEnd(), 0);
	EXPECT_NE(system.log().find("event=stopped cut=\"0\""), std::string::npos);
	over = true;
}

// A router that was not run in the last moments of its stop, as on a busy box, found the time over and ended
// with the request in hand: stopped cut="1".
TEST_F(CallerStop, ARequestIsAnsweredThoughTheRouterIsNotRunAsItsStopEnds)
{
	DirectSystem system("graceSeconds: 4\n");
	startAtSilentUpstream(system);
	system.terminate();
	sleepFor(kBeforeAnswersMs);
	system.signal(SIGSTOP);
	sleepFor(kPastTheEndMs);
	system.signal(SIGCONT);
	EXPECT_EQ(readAll().substr(0, 12), "HTTP/1.1 504");
	EXPECT_EQ(system.awaitEnd(), 0);
	EXPECT_NE(system.log().find("event=stopped cut=\"0\""), std::string::npos);
	over = true;
}

TEST_F(CallerStop, AStreamThatIsCutByTheEndIsNamedWithItsUpstream)
{
	DirectSystem system("graceSeconds: 4\n");
	StandInUpstream& upstream = system.addUpstream("u-first", "engines");
	upstream.answer = [this](StandInUpstream& _upstream, HttpExchange& _exchange) {
		answerEvents(_upstream, _exchange, 200, 100, false);
		over = true;
	};
	system.startReady(1);
	connect(system);
	send(
		"POST /chat/ HTTP/1.1\r\nHost: town.example\r\nRequest-Id: r1\r\nDeadline-Remaining: 15000\r\nModel: "
		"*\r\nKey: " +
		system.key + "\r\nContent-Length: 0\r\n\r\n");
	ASSERT_TRUE(eventually([&] { return upstream.requests.size() == 1; }));
	system.terminate();
	EXPECT_EQ(readAll().substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(system.awaitEnd(), 0);
	EXPECT_NE(system.log().find("event=request_cut request=\"r1\" route=\"chat\" started=\"1\" runs=\"0\" "
								"waits_for=\"u-first for "),
			  std::string::npos)
		<< system.log();
	EXPECT_TRUE(eventually([&] { return over; }));
}

TEST_F(CallerStop, ARequestThatOutlivesTheGraceIsLoggedAsCut)
{
	DirectSystem system("graceSeconds: 4\n");
	system.addUpstream("u-first", "app");
	system.startReady(1);
	connect(system);
	send(headOf(system, 4) + "ab");
	system.terminate();
	EXPECT_EQ(readAll(), "");
	EXPECT_EQ(system.awaitEnd(), 0);
	EXPECT_NE(system.log().find("event=stopped cut=\"1\""), std::string::npos) << system.log();
	EXPECT_NE(system.log().find("event=caller_connection_ended reason=\"stopped\" closed_by=\"stop\""),
			  std::string::npos)
		<< system.log();
}
} // namespace
} // namespace spanplank
