/// Upstreams that start again under the id that they had: another upstream under a known name.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"

namespace spanplank
{
namespace
{
constexpr uint64_t kBorn = 1700000000000;

struct RestartedUpstream : testing::Test
{
	DirectSystem system;
	StandInUpstream& only = system.addUpstream("u-only", "app");

	RestartedUpstream()
	{
		startAgain(kBorn);
		system.startReady(1);
	}

	void startAgain(uint64_t _born)
	{
		only.born = _born;
		system.registerUpstream(only);
	}

	bool logged(const std::string& _text) const
	{
		return eventually([&] { return system.log().find(_text) != std::string::npos; });
	}
};

// An upstream that had left stayed so under its id for good: 503 to all that came after its new start.
TEST_F(RestartedUpstream, ThatLeftBeforeIsUsedAgain)
{
	system.registerUpstream(only, true);
	ASSERT_TRUE(logged("leaving=\"yes\""));
	EXPECT_EQ(system.call("GET", "/plain/x").status, 503);
	startAgain(kBorn + 1000);
	ASSERT_TRUE(logged("event=upstream_restarted"));
	EXPECT_EQ(system.call("GET", "/plain/x").status, 200);
}

// An upstream that started again while the clock of its box was behind was not heard any more: it got
// requests while it left, 160 in 8 s, and those under way were lost as it ended.
TEST_F(RestartedUpstream, WhoseClockJumpedBackIsHeardAsItLeaves)
{
	startAgain(kBorn - 400);
	ASSERT_TRUE(logged("event=upstream_restarted"));
	EXPECT_EQ(system.call("GET", "/plain/x").status, 200);
	system.registerUpstream(only, true);
	ASSERT_TRUE(logged("leaving=\"yes\""));
	EXPECT_TRUE(eventually([&] { return system.call("GET", "/plain/x").status == 503; }, 3)) << system.log();
}

// The same at another address: requests went on to the old one.
TEST_F(RestartedUpstream, WhoseClockJumpedBackIsFoundAtItsNewAddress)
{
	StandInUpstream& moved = system.addUpstream("u-moved", "none");
	only.address = moved.address;
	startAgain(kBorn - 400);
	EXPECT_TRUE(eventually(
		[&] {
			system.call("GET", "/plain/x");
			return !moved.requests.empty();
		},
		3));
	const size_t late = only.requests.size();
	EXPECT_EQ(system.call("GET", "/plain/x").status, 200);
	EXPECT_EQ(only.requests.size(), late) << "sent to the address before";
}

// An upstream that was back at once took the connection that was to show whether it had ended: only its next
// record tells, upstream_ended why="started_again". A request that ended it each time was sent there again
// without end.
TEST_F(RestartedUpstream, ThatEndedUnderOneRequestThriceDoesNotGetItAgain)
{
	only.answer = [](StandInUpstream&, HttpExchange& _exchange) {
		_exchange.abort();
	};
	for (uint64_t start = 1; start <= 3; ++start)
	{
		EXPECT_EQ(system.call("POST", "/once/end").status, 502);
		startAgain(kBorn + start * 1000);
		ASSERT_TRUE(logged(
			fmt::format("event=upstream_restarted upstream=\"u-only\" born=\"{}\"", kBorn + start * 1000)));
	}
	only.answer = [](StandInUpstream& _upstream, HttpExchange& _exchange) {
		answerWell(_upstream, _exchange);
	};
	const DirectAnswer refused = system.call("POST", "/once/end");
	EXPECT_EQ(refused.status, 503);
	EXPECT_NE(refused.body.find("ends_upstreams"), std::string::npos);
	EXPECT_FALSE(refused.header("Retry-After").empty());
	EXPECT_EQ(system.call("POST", "/once/other").status, 200);
}

// The entry of an incarnation that has ended reads as one that leaves: no request that was at it was
// suspected.
TEST_F(RestartedUpstream, ThatFellSilentUnderOneRequestThriceDoesNotGetItAgain)
{
	bool released = false;
	only.answer = [&](StandInUpstream&, HttpExchange&) {
		eventually([&] { return released; });
	};
	for (uint64_t start = 1; start <= 3; ++start)
	{
		int status = 0;
		together({[&] {
					  status = system.call("POST", "/once/end", "", {{"Deadline-Remaining", "9000"}}).status;
				  },
				  [&] {
					  eventually([&] { return only.open == start; });
					  startAgain(kBorn + start * 1000);
				  }});
		EXPECT_EQ(status, 502);
	}
	released = true;
	const DirectAnswer refused = system.call("POST", "/once/end");
	EXPECT_EQ(refused.status, 503);
	EXPECT_NE(refused.body.find("ends_upstreams"), std::string::npos) << refused.body << system.log();
	EXPECT_TRUE(eventually([&] { return only.open == 0; }));
}

// A request at an upstream that fell silent as it ended waited for its time limit.
TEST_F(RestartedUpstream, EndsTheRequestsThatWereAtTheOneBefore)
{
	bool released = false;
	only.answer = [&](StandInUpstream& _upstream, HttpExchange& _exchange) {
		if (_upstream.requests.size() == 1)
		{
			eventually([&] { return released; });
			return;
		}
		answerWell(_upstream, _exchange);
	};
	DirectAnswer answer;
	TimeUs took = 0;
	together({[&] {
				  const TimeUs begin = monotonicNow();
				  answer = system.call("GET", "/plain/x", "", {{"Deadline-Remaining", "9000"}});
				  took = monotonicNow() - begin;
			  },
			  [&] {
				  eventually([&] { return only.open == 1; });
				  startAgain(kBorn + 1000);
			  }});
	released = true;
	EXPECT_EQ(answer.status, 200) << "asked again at the new one, which it has not tried";
	EXPECT_TRUE(logged("calls_ended=\"1\""));
	EXPECT_LT(took, 5000 * kMsToUs) << system.log();
}

// A stream that was sent after its upstream had started again was ended by the record of that restart, which
// came later (soak seeds 60012 and 60048).
TEST_F(RestartedUpstream, ABegunStreamGoesOnWhenTheRecordOfTheRestartComesLater)
{
	constexpr int kLast = 20;
	constexpr uint32_t kPauseMs = 50;
	StandInUpstream& engine = system.addUpstream("u-engine", "engines");
	engine.born = kBorn;
	system.registerUpstream(engine);
	ASSERT_TRUE(eventually([&] { return system.knownUpstreams() == 2; }));
	engine.answer = [](StandInUpstream& _upstream, HttpExchange& _exchange) {
		answerEvents(_upstream, _exchange, kLast, kPauseMs, false);
	};
	DirectAnswer answer;
	together({[&] {
				  answer = system.call("POST", "/chat/x", "", {{"Model", "*"}});
			  },
			  [&] {
				  eventually([&] { return engine.open == 1; });
				  sleepFor(4 * kPauseMs);
				  engine.born = kBorn + 1000;
				  system.registerUpstream(engine);
			  }});
	EXPECT_EQ(answer.status, 200);
	EXPECT_FALSE(answer.cut);
	EXPECT_NE(answer.body.find(fmt::format("id: {}\n", kLast)), std::string::npos) << answer.body;
	EXPECT_EQ(engine.requests.size(), 1u) << "the stream went on at the upstream that had begun it";
	EXPECT_TRUE(logged("calls_ended=\"0\" calls_kept=\"1\""));
}

/// A request that must not run twice, and whose answer has not begun when the record of a restart comes.
struct RequestBeforeTheRecord : RestartedUpstream
{
	/// Sends it, and registers the upstream anew once it has arrived.
	DirectAnswer callAndRegister(uint64_t _born)
	{
		const size_t before = only.requests.size();
		bool registered = false;
		only.answer = [&](StandInUpstream& _upstream, HttpExchange& _exchange) {
			eventually([&] { return registered; });
			answerWell(_upstream, _exchange);
		};
		DirectAnswer answer;
		together({[&] { answer = system.call("POST", "/once/x"); },
				  [&] {
					  eventually([&] { return only.requests.size() > before; });
					  startAgain(_born);
					  EXPECT_TRUE(logged("event=upstream_restarted"));
					  registered = true;
				  }});
		return answer;
	}
};

// It had reached the new incarnation by a connection opened after the router saw the old one's close, and its
// caller got 502 for a request that ran.
TEST_F(RequestBeforeTheRecord, GoesOnIfItsConnectionWasOpenedAfterAnotherWasClosed)
{
	only.answer = [](StandInUpstream&, HttpExchange& _exchange) {
		_exchange.abort();
	};
	EXPECT_EQ(system.call("POST", "/once/end").status, 502);
	EXPECT_EQ(callAndRegister(kBorn + 1000).status, 200) << system.log();
}

// The same without a connection that was closed, after a record that came seconds late.
TEST_F(RequestBeforeTheRecord, GoesOnIfItsConnectionWasOpenedAfterTheStartThatTheRecordStates)
{
	constexpr int64_t kLateMs = 3000;
	EXPECT_EQ(callAndRegister(uint64_t(wallNowMs() - kLateMs)).status, 200) << system.log();
}

// Nothing tells it from a request that was lost with the old incarnation, as clocks of boxes differ by more.
// It was ended, and its caller got 502 for a request that ran.
TEST_F(RequestBeforeTheRecord, GoesOnIfNothingTellsWhereItIs)
{
	EXPECT_EQ(callAndRegister(uint64_t(wallNowMs())).status, 200) << system.log();
}
} // namespace
} // namespace spanplank
