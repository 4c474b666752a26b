/// Upstreams whose answers have no end: what their callers get, what the router spends, and its other
/// callers.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "endless_upstream.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kDeadlineMs = 1000;     ///< Of the requests at the endless upstream.
constexpr uint32_t kHeldMs = 500;          ///< Longest time beyond that, by the users' rule.
constexpr size_t kCallers = 6;             ///< At the endless upstream.
constexpr uint32_t kObjectiveMs = 300;     ///< Of the requests at the sound one.
constexpr double kMostBytes = 80e6;        ///< Half of the memory of the smallest box.
constexpr uint32_t kNeighbourPauseMs = 10; ///< Between two requests at the sound upstream.

struct EndlessAnswer
{
	const char* name;
	bool stream; ///< It answers the streaming route; else the plain one.
	EndlessBytes bytes;
};

void PrintTo(const EndlessAnswer& _answer, std::ostream* _out)
{
	*_out << _answer.name;
}

std::string answerHead(const std::string& _more, int _status = 200, const std::string& _id = "{id}")
{
	return fmt::format(
		"HTTP/1.1 {} Status\r\nRequest-Id: {}\r\nServer-Stamp: stamp\r\nContent-Type: text/plain\r\n"
		"{}\r\n",
		_status, _id, _more);
}

std::vector<EndlessAnswer> endlessAnswers()
{
	const std::string chunked = "Transfer-Encoding: chunked\r\n";
	const std::string text(64, 'x');
	const std::string chunk = "40\r\n" + text + "\r\n";
	const std::string event = "id: 1\ndata: " + text;
	return {
		{"AStreamWithoutTheEndOfAnEvent", true, {answerHead(chunked), chunk}},
		{"AnUnframedStreamWithoutTheEndOfAnEvent", true, {answerHead(""), text}},
		{"AStreamOfComments", true, {answerHead(chunked), "43\r\n:" + text + "\n\n\r\n"}},
		{"APlainBody", false, {answerHead(chunked), chunk}},
		{"AnUnframedBody", false, {answerHead(""), text}},
		{"AnAnswerToAnotherRequest", false, {answerHead(chunked, 200, "another"), chunk}},
		{"AnErrorsBody", false, {answerHead(chunked, 500), chunk}},
		{"AChunkExtension", false, {answerHead(chunked) + "40;", text}},
		{"Trailers", false, {answerHead(chunked) + "0\r\n", "Trailer: " + text + "\r\n"}},
		{"HeadLines", false, {"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n", "Line: " + text + "\r\n"}},
		{"OneHeadField", false, {"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nLine: ", text}},
		{"InterimAnswers", false, {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
		{"NoHttp", false, {"", text}},
	};
}

struct EndlessAnswers : testing::TestWithParam<EndlessAnswer>
{
	DirectSystem system{"memoryMb: 160\n"};
	std::unique_ptr<EndlessUpstream> endless;

	~EndlessAnswers() override
	{
		system.killHard(); // The endless upstream's connections end.
	}

	void start()
	{
		testIo();
		system.config["routes"][0]["target_latency_ms"] = kObjectiveMs;
		system.writeConfig();
		endless = std::make_unique<EndlessUpstream>(loopbackIp(), GetParam().bytes);
		StandInUpstream stand;
		stand.id = "u-endless";
		stand.service = GetParam().stream ? "engines" : "app";
		stand.address = loopback(endless->port());
		system.registerUpstream(stand);
		system.addUpstream("u-sound", GetParam().stream ? "app" : "engines").answer =
			[](StandInUpstream& _upstream, HttpExchange& _exchange) {
				if (_upstream.service == "app")
				{
					answerWell(_upstream, _exchange);
					return;
				}
				answerEvents(_upstream, _exchange, 0, 1, false);
			};
		system.startReady(2);
	}

	/// @returns How long a caller is held, in milliseconds.
	double callEndless()
	{
		const TimeUs begin = monotonicNow();
		const std::vector<HttpHeader> headers = {{"Deadline-Remaining", std::to_string(kDeadlineMs)}};
		GetParam().stream ? system.call("POST", "/chat/x", "", headers)
						  : system.call("GET", "/plain/x", "", headers);
		return double(monotonicNow() - begin) / double(kMsToUs);
	}

	/// @returns Whether a request at the sound upstream is answered in time.
	bool callSound()
	{
		const TimeUs begin = monotonicNow();
		const DirectAnswer answer =
			GetParam().stream ? system.call("GET", "/plain/x") : system.call("POST", "/chat/x");
		return answer.status == 200 && !answer.cut && monotonicNow() - begin <= kObjectiveMs * kMsToUs;
	}

	double peakBytes()
	{
		const std::string bytes = system.metric("spanplank_max_resident_bytes");
		return bytes.empty() ? 0.0 : std::stod(bytes);
	}
};

// Limits that only a timer knows ended nothing while an upstream's bytes were always ready: callers were held
// until they left.
TEST_P(EndlessAnswers, EndAtTheDeadline)
{
	start();
	std::vector<std::function<void()>> callers(
		kCallers, [this] { EXPECT_LE(callEndless(), kDeadlineMs + kHeldMs) << GetParam().name; });
	together(callers);
	EXPECT_TRUE(eventually([this] { return endless->writing() == 0; }));
}

TEST_P(EndlessAnswers, TakeBoundedMemoryAndLeaveOthersServed)
{
	start();
	size_t left = kCallers;
	size_t asked = 0;
	size_t served = 0;
	std::vector<std::function<void()>> bodies(kCallers, [&] {
		callEndless();
		--left;
	});
	bodies.push_back([&] {
		while (left > 0)
		{
			++asked;
			served += callSound() ? 1 : 0;
			sleepFor(kNeighbourPauseMs);
		}
	});
	together(bodies);
	EXPECT_EQ(served, asked);
	EXPECT_GT(peakBytes(), 0.0);
	EXPECT_LE(peakBytes(), kMostBytes);
}

INSTANTIATE_TEST_SUITE_P(Of, EndlessAnswers, testing::ValuesIn(endlessAnswers()));
} // namespace
} // namespace spanplank
