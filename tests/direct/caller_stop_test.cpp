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

/// @returns A request of that path and id, with as much time as its caller has.
std::string requestOf(const DirectSystem& _system, const std::string& _line, const std::string& _id,
					  uint32_t _deadlineMs)
{
	return _line + " HTTP/1.1\r\nHost: town.example\r\nRequest-Id: " + _id +
		   "\r\nModel: *\r\nDeadline-Remaining: " + std::to_string(_deadlineMs) + "\r\nKey: " + _system.key +
		   "\r\nContent-Length: 0\r\n\r\n";
}

/// Requests through a whole stop, each on a connection of its own that was open before.
struct LateRequests : CallerStop
{
	static constexpr uint32_t kGraceMs = 4000;
	static constexpr uint32_t kEachMs = 50;
	static constexpr uint32_t kShortMs = 400;
	static constexpr uint32_t kLongMs = 15000;

	DirectSystem system{"graceSeconds: 4\n"};
	std::vector<std::string> got; ///< By request, what came until its connection ended.

	/// @returns Whether an upstream got the request.
	bool wasPassedOn(const std::string& _id) const
	{
		for (const auto& upstream : system.upstreams())
		{
			for (const HttpRequest& request : upstream->requests)
			{
				if (request["Request-Id"] == _id)
				{
					return true;
				}
			}
		}
		return false;
	}

	/// Keeps a connection open and sends a request on it at a time of the stop.
	void sendLate(size_t _number, const std::string& _line, uint32_t _deadlineMs)
	{
		tcp::socket late(testIo());
		const Endpoint to = parseEndpoint(system.listen());
		late.connect({boost::asio::ip::make_address(to.ip), to.port});
		sleepFor(uint32_t(_number) * kEachMs);
		const std::string bytes = requestOf(system, _line, "late-" + std::to_string(_number), _deadlineMs);
		boost::system::error_code ignored; // A connection that was closed shows in what is read.
		boost::asio::write(late, boost::asio::buffer(bytes), ignored);
		awaitIo([&](auto _done) {
			boost::asio::async_read(late, boost::asio::dynamic_buffer(got[_number]), _done);
		});
	}

	/// Stops the router while a request at a silent upstream keeps it at work to the end.
	void stopBeside(const std::string& _line, uint32_t _deadlineMs)
	{
		startAtSilentUpstream(system);
		system.addUpstream("u-engine", "engines").answer = [this](StandInUpstream&, HttpExchange& _exchange) {
			while (!over)
			{
				sleepFor(kPollMs);
			}
			_exchange.abort();
		};
		ASSERT_TRUE(eventually([this] { return system.knownUpstreams() == 2; }));
		const size_t requests = kGraceMs / kEachMs;
		got.resize(requests);
		std::vector<std::function<void()>> bodies;
		for (size_t ii = 0; ii < requests; ++ii)
		{
			bodies.push_back([this, ii, _line, _deadlineMs] { sendLate(ii, _line, _deadlineMs); });
		}
		bodies.push_back([this] {
			system.terminate();
			EXPECT_EQ(system.awaitEnd(), 0);
			over = true;
		});
		together(bodies);
		EXPECT_EQ(readAll().substr(0, 12), "HTTP/1.1 504");
	}

	void expectAnswered()
	{
		size_t refused = 0;
		for (size_t ii = 0; ii < got.size(); ++ii)
		{
			const std::string id = "late-" + std::to_string(ii);
			EXPECT_TRUE(!got[ii].empty() || !wasPassedOn(id)) << id << " was passed on and cut";
			EXPECT_TRUE(got[ii].empty() || got[ii].find("\r\n\r\n") != std::string::npos) << id;
			const bool isRefusal = got[ii].substr(0, 12) == "HTTP/1.1 503";
			refused += isRefusal ? 1 : 0;
			EXPECT_FALSE(isRefusal && wasPassedOn(id)) << id;
		}
		EXPECT_GT(refused, 0u);
		EXPECT_NE(system.log().find("event=stopped cut=\"0\""), std::string::npos) << system.log();
	}
};

TEST_F(LateRequests, ThatMustNotBeRepeatedAreAnsweredOrRefusedAndNeverCut)
{
	stopBeside("POST /once/", kLongMs);
	expectAnswered();
}

TEST_F(LateRequests, WithLittleTimeAreAnsweredOrRefusedAndNeverCut)
{
	stopBeside("POST /once/", kShortMs);
	expectAnswered();
}

TEST_F(LateRequests, ForStreamsAreAnsweredOrRefusedAndNeverCut)
{
	stopBeside("POST /chat/", kLongMs);
	expectAnswered();
}
} // namespace
} // namespace spanplank
