/// The record of an upstream's restart comes while a call is under way there. Nothing tells which incarnation
/// the call has reached: the previous one, which never answers, or the new one, which does.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "scripted_arrivals.h"

namespace spanplank
{
namespace
{
using Answer = ScriptedArrivals::Answer;

constexpr uint64_t kFirstStartMs = 1700000000000;
constexpr int64_t kStartAgeMs = 100;   ///< Of the new incarnation when its record comes.
constexpr int64_t kClockJumpMs = 2400; ///< By which the clock of a box may be wrong.
constexpr int kBegunEvents = 4;        ///< Events of a stream before its first upstream breaks it.
constexpr int kLastEvent = 9;

const std::vector<HttpHeader> kPrompt = {{"Model", "*"}};

struct RestartRecord : testing::Test
{
	ScriptedArrivals arrivals;
	StandInUpstream* holder = nullptr; ///< Has the call under way when the record comes.
	bool released = false;             ///< It may answer.
	int64_t statedAgeMs = kStartAgeMs; ///< Of the new incarnation by the start that its record states.
	bool left = false;                 ///< The router has closed the call's connection.
	/// Two retries in the window of each service, whatever the requests. Its destructor waits for answers
	/// under way, which use the members above.
	DirectSystem system{"retryRatio: 0\n"};

	/// Starts upstreams, and a router that knows their first incarnations.
	void start(const std::string& _service, const std::vector<std::string>& _ids,
			   std::vector<Answer> _answers)
	{
		arrivals.serveBy(system, _service, _ids, std::move(_answers));
		for (const auto& upstream : system.upstreams())
		{
			upstream->born = kFirstStartMs;
			system.registerUpstream(*upstream);
		}
		system.startReady(_ids.size());
	}

	bool logged(const std::string& _text) const
	{
		return eventually([&] { return system.log().find(_text) != std::string::npos; });
	}

	/// Answers once the record of the restart has been read, or never.
	Answer hold(const Answer& _answer)
	{
		return [this, _answer](StandInUpstream& _upstream, HttpExchange& _exchange) {
			holder = &_upstream;
			eventually([&] { return released || _exchange.callerGone(); });
			left = _exchange.callerGone();
			if (left)
			{
				_exchange.abort();
				return;
			}
			_answer(_upstream, _exchange);
		};
	}

	/// Calls, and registers the upstream that holds the call as started again.
	/// @param[in] _answers Whether the call has reached the new incarnation.
	DirectAnswer callAcrossRestart(const std::string& _method, const std::string& _path, bool _answers)
	{
		DirectAnswer answer;
		together({[&] { answer = system.call(_method, _path, "prompt", kPrompt); },
				  [&] {
					  ASSERT_TRUE(eventually([&] { return holder != nullptr; }));
					  holder->born = uint64_t(wallNowMs() - statedAgeMs);
					  system.registerUpstream(*holder);
					  EXPECT_TRUE(logged("event=upstream_restarted"));
					  released = _answers;
				  }});
		return answer;
	}
};

void reject(StandInUpstream& /*_upstream*/, HttpExchange& _exchange)
{
	answerNotRun(_exchange);
}

void answer(StandInUpstream& _upstream, HttpExchange& _exchange)
{
	answerWell(_upstream, _exchange);
}

void stream(StandInUpstream& _upstream, HttpExchange& _exchange)
{
	answerEvents(_upstream, _exchange, kLastEvent, 0, false);
}

void beginAndBreak(StandInUpstream& _upstream, HttpExchange& _exchange)
{
	answerEvents(_upstream, _exchange, kBegunEvents - 1, 0, true);
}

/// @returns The body of a stream whose events came from several upstreams, by the ids alone.
std::string idsOf(const std::string& _body)
{
	std::string ids;
	for (size_t at = _body.find("id: "); at != std::string::npos; at = _body.find("id: ", at + 1))
	{
		ids += _body.substr(at + 4, _body.find('\n', at) - at - 4) + " ";
	}
	return ids;
}

const std::string kAllIds = "0 1 2 3 4 5 6 7 8 9 ";
const std::string kLost = "error=\"the upstream has started again";

// A stream that had been broken elsewhere was resumed at an upstream that had started again, and the record
// of that start ended the call before its head came. The retry window was full, and the caller's stream was
// cut:
//   upstream_restarted calls_ended="1" calls_kept="0"
//   attempt_ended end="broken" error="the upstream has started again" head_ms="0.0" last_event="3"
//   answer_broken last="broken" last_event="3" runs="2" window_room="0"
TEST_F(RestartRecord, AStreamThatBeganElsewhereGoesOnAtTheNewIncarnation)
{
	start("engines", {"e-one", "e-two"}, {reject, stream, beginAndBreak, hold(stream)});
	ASSERT_EQ(system.call("POST", "/chat/x", "prompt", kPrompt).status, 200) << "takes the first retry";
	const DirectAnswer got = callAcrossRestart("POST", "/chat/x", true);
	EXPECT_EQ(got.status, 200);
	EXPECT_FALSE(got.cut) << system.log();
	EXPECT_EQ(idsOf(got.body), kAllIds);
	EXPECT_EQ(arrivals.askedAt.size(), 4u);
}

TEST_F(RestartRecord, AStreamThatBeganElsewhereEndsIfTheCallStaysSilent)
{
	start("engines", {"e-one", "e-two"}, {reject, stream, beginAndBreak, hold(stream)});
	ASSERT_EQ(system.call("POST", "/chat/x", "prompt", kPrompt).status, 200) << "takes the first retry";
	const DirectAnswer got = callAcrossRestart("POST", "/chat/x", false);
	EXPECT_TRUE(got.cut) << "no retry is left";
	EXPECT_EQ(idsOf(got.body), "0 1 2 3 ");
	EXPECT_TRUE(logged(kLost)) << system.log();
	EXPECT_TRUE(eventually([&] { return left; }));
}

// With a retry left the stream goes on at another upstream.
TEST_F(RestartRecord, AStreamThatBeganElsewhereGoesOnAtAThirdUpstreamIfTheCallStaysSilent)
{
	start("engines", {"e-one", "e-two", "e-three"}, {beginAndBreak, hold(stream), stream});
	const DirectAnswer got = callAcrossRestart("POST", "/chat/x", false);
	EXPECT_FALSE(got.cut) << system.log();
	EXPECT_EQ(idsOf(got.body), kAllIds);
	EXPECT_EQ(arrivals.askedAt.size(), 3u);
}

// A stream that began at this upstream, and one retry is left: too few to leave an upstream for a pause.
TEST_F(RestartRecord, AStreamThatBeganHereGoesOnElsewhereIfTheCallStaysSilent)
{
	const auto beginAndHold = [this](StandInUpstream& _upstream, HttpExchange& _exchange) {
		const std::string id(_exchange.request()["Request-Id"]);
		_exchange.startStream(
			200, {{"Request-Id", id}, {"Server-Stamp", "stamp-" + _upstream.id}, {"Confidence", "100"}},
			"text/event-stream");
		_exchange.write("id: 0\ndata: begun\n\n");
		hold(stream)(_upstream, _exchange);
	};
	start("engines", {"e-one", "e-two"}, {reject, stream, beginAndHold, stream});
	ASSERT_EQ(system.call("POST", "/chat/x", "prompt", kPrompt).status, 200) << "takes the first retry";
	const DirectAnswer got = callAcrossRestart("POST", "/chat/x", false);
	EXPECT_FALSE(got.cut) << system.log();
	EXPECT_EQ(idsOf(got.body), kAllIds);
	EXPECT_TRUE(logged(kLost)) << system.log();
}

// A stream that had not begun, with the retry window full: its caller got 502 for a stream that was about to
// begin.
TEST_F(RestartRecord, AStreamThatHasNotBegunGoesOnIfNoOtherAttemptIsAllowed)
{
	start("engines", {"e-one", "e-two"}, {reject, stream, hold(stream)});
	ASSERT_EQ(system.call("POST", "/chat/x", "prompt", kPrompt).status, 200) << "takes the only retry";
	const DirectAnswer got = callAcrossRestart("POST", "/chat/x", true);
	EXPECT_EQ(got.status, 200) << system.log();
	EXPECT_EQ(idsOf(got.body), kAllIds);
	EXPECT_EQ(arrivals.askedAt.size(), 3u);
}

TEST_F(RestartRecord, AStreamThatHasNotBegunEndsIfTheCallStaysSilent)
{
	start("engines", {"e-one", "e-two"}, {reject, stream, hold(stream)});
	ASSERT_EQ(system.call("POST", "/chat/x", "prompt", kPrompt).status, 200) << "takes the only retry";
	EXPECT_EQ(callAcrossRestart("POST", "/chat/x", false).status, 502);
	EXPECT_TRUE(logged(kLost)) << system.log();
}

TEST_F(RestartRecord, AStreamThatHasNotBegunMovesAtOnceIfAnotherAttemptIsAllowed)
{
	start("engines", {"e-one", "e-two"}, {hold(stream), stream});
	EXPECT_EQ(idsOf(callAcrossRestart("POST", "/chat/x", false).body), kAllIds);
	EXPECT_TRUE(logged("calls_ended=\"1\" calls_kept=\"0\"")) << system.log();
}

// The same for an answer that is passed on whole.
TEST_F(RestartRecord, AnAnswerIsWaitedForIfNoOtherAttemptIsAllowed)
{
	start("app", {"u-one", "u-two"}, {reject, answer, hold(answer)});
	ASSERT_EQ(system.call("GET", "/plain/x").status, 200) << "takes the only retry";
	EXPECT_EQ(callAcrossRestart("GET", "/plain/x", true).status, 200) << system.log();
	EXPECT_EQ(arrivals.askedAt.size(), 3u);
}

TEST_F(RestartRecord, AnAnswerIsNotWaitedForIfTheCallStaysSilent)
{
	start("app", {"u-one", "u-two"}, {reject, answer, hold(answer)});
	ASSERT_EQ(system.call("GET", "/plain/x").status, 200) << "takes the only retry";
	EXPECT_EQ(callAcrossRestart("GET", "/plain/x", false).status, 502);
	EXPECT_TRUE(logged(kLost)) << system.log();
}

TEST_F(RestartRecord, AnAnswerIsAskedForElsewhereAtOnceIfAnotherAttemptIsAllowed)
{
	start("app", {"u-one", "u-two"}, {hold(answer), answer});
	EXPECT_EQ(callAcrossRestart("GET", "/plain/x", false).status, 200);
	EXPECT_TRUE(logged("calls_ended=\"1\" calls_kept=\"0\"")) << system.log();
}

// A request that must not run twice is never asked elsewhere: ended, its caller got 502 for one that ran
// well.
TEST_F(RestartRecord, ARequestThatMustNotRunTwiceGoesOnAtTheNewIncarnation)
{
	start("app", {"u-one", "u-two"}, {hold(answer)});
	EXPECT_EQ(callAcrossRestart("POST", "/once/x", true).status, 200) << system.log();
	EXPECT_EQ(arrivals.askedAt.size(), 1u);
}

TEST_F(RestartRecord, ARequestThatMustNotRunTwiceEndsIfTheCallStaysSilent)
{
	start("app", {"u-one", "u-two"}, {hold(answer)});
	EXPECT_EQ(callAcrossRestart("POST", "/once/x", false).status, 502);
	EXPECT_TRUE(logged(kLost)) << system.log();
	EXPECT_EQ(arrivals.askedAt.size(), 1u);
}

void breakOff(StandInUpstream& /*_upstream*/, HttpExchange& _exchange)
{
	_exchange.abort();
}

void answerAndClose(StandInUpstream& _upstream, HttpExchange& _exchange)
{
	answerWell(_upstream, _exchange);
	_exchange.abort();
}

// An upstream that broke one answer off was taken for one that had ended, and the next call there for one at
// the new incarnation: it was left at the previous one until its own limit.
//   restart_met_call verdict="kept" evidence="opened_after_close"
TEST_F(RestartRecord, AnAnswerThatWasBrokenOffBeforeIsNoSignOfTheRestart)
{
	start("app", {"u-one"}, {breakOff, hold(answer), answer});
	ASSERT_EQ(system.call("GET", "/plain/x").status, 502);
	EXPECT_EQ(callAcrossRestart("GET", "/plain/x", false).status, 200);
	EXPECT_TRUE(logged("calls_ended=\"1\" calls_kept=\"0\"")) << system.log();
}

// The same with an upstream that closed an idle connection.
TEST_F(RestartRecord, AConnectionThatWasClosedBeforeIsNoSignOfTheRestart)
{
	start("app", {"u-one"}, {answerAndClose, hold(answer), answer});
	ASSERT_EQ(system.call("GET", "/plain/x").status, 200);
	EXPECT_EQ(callAcrossRestart("GET", "/plain/x", false).status, 200);
	EXPECT_TRUE(logged("calls_ended=\"1\" calls_kept=\"0\"")) << system.log();
}

// An address that refuses connections shows that the previous incarnation has ended.
TEST_F(RestartRecord, ACallThatWasOpenedAfterARefusalIsNotRepeated)
{
	start("app", {"u-one"}, {hold(answer)});
	StandInUpstream& only = *system.upstreams().front();
	stopListening(only.http);
	ASSERT_TRUE(eventually([&] { return !only.http.accepting; }));
	ASSERT_EQ(system.call("GET", "/plain/x").status, 503);
	startHttpServer(testIo(), only.http, parseEndpoint(only.address));
	EXPECT_EQ(callAcrossRestart("GET", "/plain/x", true).status, 200);
	EXPECT_TRUE(logged("verdict=\"doubted\" evidence=\"opened_after_refusal\"")) << system.log();
	EXPECT_EQ(only.requests.size(), 1u);
}

// The clock of the upstream's box was 2.4 s behind: by its stated start it had started before the call, which
// was taken for one at the new incarnation.
//   restart_met_call verdict="kept" evidence="opened_after_start"
TEST_F(RestartRecord, AClockThatIsWrongBySecondsIsNoSignOfWhereACallIs)
{
	statedAgeMs = kStartAgeMs + kClockJumpMs;
	start("app", {"u-one"}, {hold(answer), answer});
	EXPECT_EQ(callAcrossRestart("GET", "/plain/x", false).status, 200);
	EXPECT_TRUE(logged("calls_ended=\"1\" calls_kept=\"0\"")) << system.log();
}

// A start that is stated before the one before it: a clock was wrong, by however much.
TEST_F(RestartRecord, AStartThatIsStatedBeforeTheOneBeforeIsNoSignOfWhereACallIs)
{
	constexpr int64_t kWrongByMs = 20000;
	statedAgeMs = kWrongByMs;
	start("app", {"u-one"}, {hold(answer), answer});
	StandInUpstream& upstream = *system.upstreams().front();
	upstream.born = uint64_t(wallNowMs() - kStartAgeMs);
	system.registerUpstream(upstream);
	ASSERT_TRUE(logged("event=upstream_restarted"));
	sleepFor(200);
	EXPECT_EQ(callAcrossRestart("GET", "/plain/x", false).status, 200);
	EXPECT_TRUE(logged("event=restart_met_call")) << system.log();
	EXPECT_EQ(system.log().find("verdict=\"kept\""), std::string::npos) << system.log();
}

// A call that went on across one restart was forgotten by the next: it waited at an incarnation that had
// ended until its own limit.
TEST_F(RestartRecord, ACallThatWentOnEndsWithTheNextRestart)
{
	constexpr int64_t kEarlierMs = 20000;
	start("app", {"u-one"}, {hold(answer), answer});
	DirectAnswer got;
	together({[&] {
				  got = system.call("GET", "/plain/x", "", {{"Deadline-Remaining", "9000"}});
			  },
			  [&] {
				  ASSERT_TRUE(eventually([&] { return holder != nullptr; }));
				  holder->born = uint64_t(wallNowMs() - kEarlierMs);
				  system.registerUpstream(*holder);
				  EXPECT_TRUE(logged("verdict=\"kept\" evidence=\"opened_after_start\"")) << system.log();
				  holder->born = uint64_t(wallNowMs() - kStartAgeMs);
				  system.registerUpstream(*holder);
			  }});
	EXPECT_EQ(got.status, 200);
	EXPECT_TRUE(logged("calls_ended=\"1\" calls_kept=\"0\"")) << system.log();
}
} // namespace
} // namespace spanplank
