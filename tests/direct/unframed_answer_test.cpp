/// Answers with neither a length nor chunks, which end with their connection, and answers that are cut.
#include "unframed_upstreams.h"
#include "upstream_client_p.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kUpstreamMs = 5000;

TEST_F(UnframedUpstreams, AWholeAnswerIsPassedOnWithItsOwnEnd)
{
	start("app", {{"text/plain", "all of it"}});
	const DirectAnswer answer = system.call("GET", "/plain/x");
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "all of it");
	EXPECT_FALSE(answer.cut);
}

TEST_F(UnframedUpstreams, AnAnswerThatIsResetIsNotPassedOn)
{
	start("app", {{"text/plain", "a part", SocketEnd::Reset}, {"text/plain", "all of it"}});
	const DirectAnswer answer = system.call("GET", "/plain/x");
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "all of it");
	EXPECT_EQ(arrivals, 2u);
}

TEST_F(UnframedUpstreams, AnAnswerThatIsResetAndMustNotBeRepeatedFails)
{
	start("app", {{"text/plain", "a part", SocketEnd::Reset}});
	const DirectAnswer answer = system.call("POST", "/once/x");
	EXPECT_EQ(answer.status, 502);
	EXPECT_EQ(arrivals, 1u);
}

TEST_F(UnframedUpstreams, AWholeStreamIsPassedOnWithItsOwnEnd)
{
	start("engines", {events(0, 3)});
	const DirectAnswer answer = system.call("POST", "/chat/x");
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, events(0, 3).body);
	EXPECT_FALSE(answer.cut);
}

TEST_F(UnframedUpstreams, AStreamThatEndsInsideAnEventGoesOnElsewhere)
{
	start("engines", {events(0, 1, "id: 2\nda"), events(2, 3)});
	const DirectAnswer answer = system.call("POST", "/chat/x");
	EXPECT_EQ(answer.body, events(0, 3).body);
	EXPECT_FALSE(answer.cut);
}

TEST_F(UnframedUpstreams, AStreamThatIsResetGoesOnElsewhere)
{
	start("engines", {events(0, 1, "", SocketEnd::Reset), events(2, 3)});
	const DirectAnswer answer = system.call("POST", "/chat/x");
	EXPECT_EQ(answer.body, events(0, 3).body);
	EXPECT_FALSE(answer.cut);
}

// The head came, and the upstream ended before its first event: that is no end of the stream.
TEST_F(UnframedUpstreams, AStreamThatGoesOnWithNothingIsNotWhole)
{
	start("engines", {events(0, 1, "id: 2\nda"), events(2, 1), events(2, 3)});
	const DirectAnswer answer = system.call("POST", "/chat/x");
	EXPECT_TRUE(answer.cut || answer.body == events(0, 3).body) << answer.body;
}

// The end of an upstream closes its connections too, and looks like the end of such an answer.
TEST_F(UnframedUpstreams, AnAnswerWithWhichTheUpstreamEndsIsNotPassedOn)
{
	start("app", {{"text/plain", "a part", SocketEnd::UpstreamEnds}, {"text/plain", "all of it"}});
	const DirectAnswer answer = system.call("GET", "/plain/x");
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "all of it");
	EXPECT_EQ(arrivals, 2u);
}

TEST_F(UnframedUpstreams, AStreamWithWhichTheUpstreamEndsGoesOnElsewhere)
{
	start("engines", {events(0, 1, "", SocketEnd::UpstreamEnds), events(2, 3)});
	const DirectAnswer answer = system.call("POST", "/chat/x");
	EXPECT_EQ(answer.body, events(0, 3).body);
	EXPECT_FALSE(answer.cut);
}

TEST_F(UnframedUpstreams, ARequestWithWhoseAnswersUpstreamsEndIsRefused)
{
	constexpr size_t kUpstreams = 5;
	constexpr size_t kMostEnds = 3;
	start("app", {{"text/plain", "a part", SocketEnd::UpstreamEnds}}, kUpstreams);
	for (size_t ii = 0; ii <= kMostEnds; ++ii)
	{
		system.call("POST", "/once/x");
	}
	EXPECT_EQ(arrivals, kMostEnds);
}

// The same beside an agent.
TEST_F(UnframedUpstreams, AnAgentTakesNoAnswerWithWhichItsUpstreamEnds)
{
	start("app", {{"text/plain", "all of it"}, {"text/plain", "a part", SocketEnd::UpstreamEnds}});
	HttpClient client;
	client.io = &io;
	client.endpoint = parseEndpoint(ends[0].address);
	Submit submit;
	submit.request = "request-1";
	submit.service = "app";
	submit.path = "work";
	submit.body = "{}";
	std::string body;
	UpstreamHandlers handlers;
	handlers.onStart = [](int, const std::string&) {
	};
	handlers.onPart = [&body](const std::string& _part) {
		body += _part;
	};
	HttpCancel cancel;
	EXPECT_TRUE(forwardWork(client, submit, kUpstreamMs, handlers, cancel).endsWithConnection);
	EXPECT_EQ(body, "all of it");
	EXPECT_THROW(forwardWork(client, submit, kUpstreamMs, handlers, cancel), HttpFailure);
}

/// Upstreams that say that they leave while they answer, and then end.
struct LeavingUpstreams : UnframedUpstreams
{
	static constexpr uint32_t kAnswerMs = 300; ///< Too short for another attempt beside it.

	DirectAnswer callAsTheFirstLeaves(const std::string& _method, const std::string& _path)
	{
		DirectAnswer answer;
		together({[&] { answer = system.call(_method, _path); },
				  [&] {
					  EXPECT_TRUE(eventually([this] { return arrivals == 1; }));
					  for (const StandInUpstream& end : ends)
					  {
						  system.registerUpstream(end, true);
					  }
					  EXPECT_TRUE(eventually(
						  [this] { return system.log().find("leaving=\"yes\"") != std::string::npos; }));
					  other = &system.addUpstream("u-other", ends[0].service);
					  other->answer = [](StandInUpstream& _upstream, HttpExchange& _exchange) {
						  _upstream.service == "app" ? answerWell(_upstream, _exchange, "all of it")
													 : void(answerEvents(_upstream, _exchange, 3, 0, false));
					  };
				  }});
		return answer;
	}

	StandInUpstream* other = nullptr; ///< Comes as the others leave.
};

// The end of an upstream that was known to leave passed for the end of its answer: a half was passed on as
// whole.
TEST_F(LeavingUpstreams, AnAnswerWithWhichOneEndsIsAskedForElsewhere)
{
	start("app", {{"text/plain", "a part", SocketEnd::UpstreamEnds, kAnswerMs}});
	const DirectAnswer answer = callAsTheFirstLeaves("GET", "/plain/x");
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "all of it");
}

TEST_F(LeavingUpstreams, AnAnswerWithWhichOneEndsAndThatMustNotBeRepeatedFails)
{
	start("app", {{"text/plain", "a part", SocketEnd::UpstreamEnds, kAnswerMs}});
	EXPECT_EQ(callAsTheFirstLeaves("POST", "/once/x").status, 502);
	EXPECT_EQ(arrivals, 1u);
	EXPECT_TRUE(other->requests.empty());
}

TEST_F(LeavingUpstreams, AStreamWithWhichOneEndsGoesOnElsewhere)
{
	UnframedAnswer half = events(0, 1, "", SocketEnd::UpstreamEnds);
	half.afterMs = kAnswerMs;
	start("engines", {half});
	const DirectAnswer answer = callAsTheFirstLeaves("POST", "/chat/x");
	EXPECT_FALSE(answer.cut);
	EXPECT_NE(answer.body.find("id: 3\n"), std::string::npos) << answer.body;
	EXPECT_EQ(other->requests.size(), 1u);
}

// The sockets of a process close one after the other: where it took a connection for a moment after it had
// closed those of its answers, halves passed for whole, 5 of 40.
TEST_F(LeavingUpstreams, AnAnswerWhoseConnectionClosesBeforeTheListenerIsAskedForElsewhere)
{
	start("app", {{"text/plain", "a part", SocketEnd::UpstreamEndsLast, kAnswerMs}});
	const DirectAnswer answer = callAsTheFirstLeaves("GET", "/plain/x");
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "all of it");
}

// One that goes on taking connections after its answer has not ended with it.
TEST_F(LeavingUpstreams, AnAnswerThatEndsBeforeItsUpstreamIsPassedOn)
{
	start("app", {{"text/plain", "all of it", SocketEnd::Closed, kAnswerMs}});
	const DirectAnswer answer = callAsTheFirstLeaves("POST", "/once/x");
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "all of it");
}

constexpr size_t kLongestAnswer = 400; ///< Bytes, with its head.
const std::string kText = "all of it";

/// @returns The same answer in each framing.
std::vector<UnframedAnswer> framedAnswers()
{
	const UnframedAnswer open{"text/plain", kText, SocketEnd::Closed, 0};
	UnframedAnswer sized = open;
	sized.fields = fmt::format("Content-Length: {}\r\n", kText.size());
	UnframedAnswer chunked = open;
	chunked.fields = "Transfer-Encoding: chunked\r\n";
	chunked.body = fmt::format("{:x};part=1\r\n{}\r\n0\r\nChecksum: 12\r\n\r\n", kText.size(), kText);
	UnframedAnswer hinted = sized;
	hinted.before = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n";
	return {open, sized, chunked, hinted};
}

// An interim answer was passed on as the final one, which then stood where the next answer begins.
TEST_F(UnframedUpstreams, AnAnswerAfterAnInterimOneIsPassedOn)
{
	start("app", {framedAnswers().back()});
	for (int ii = 0; ii < 4; ++ii)
	{
		const DirectAnswer answer = system.call("POST", "/once/x");
		EXPECT_EQ(answer.status, 200);
		EXPECT_EQ(answer.body, kText);
	}
}

// An upstream that stops within the head of its answer, a chunk's size or the trailer, and closes, has given
// no answer: none was to be passed on as whole.
TEST_F(UnframedUpstreams, AnAnswerThatIsCutAnywhereIsNotPassedOnAsWhole)
{
	start("app", framedAnswers());
	for (const UnframedAnswer& whole : framedAnswers())
	{
		const bool open = whole.fields.empty();
		size_t reached = 0;
		for (size_t missing = open ? kText.size() + 1 : 1; missing < kLongestAnswer; missing += 3)
		{
			UnframedAnswer cut = whole;
			cut.missing = missing;
			answers = {cut, whole};
			arrivals = 0;
			const DirectAnswer repeated = system.call("GET", "/plain/x");
			EXPECT_FALSE(repeated.cut) << missing;
			EXPECT_TRUE(repeated.status != 200 || repeated.body == kText)
				<< missing << whole.fields << repeated.body;
			reached += arrivals;
			answers = {cut};
			EXPECT_NE(system.call("POST", "/once/x").status, 200)
				<< missing << " " << whole.before << whole.fields;
		}
		EXPECT_GT(reached, kLongestAnswer / 6) << "most requests reach an upstream";
	}
}

// The same of a stream: what has been passed on is not ended as whole.
TEST_F(UnframedUpstreams, AStreamThatIsCutAnywhereIsNotPassedOnAsWhole)
{
	const std::string text = "id: 0\ndata: 0\n\n";
	UnframedAnswer whole{"text/event-stream", "", SocketEnd::Closed, 0};
	whole.fields = "Transfer-Encoding: chunked\r\n";
	whole.body = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", text.size(), text);
	start("engines", {whole});
	for (size_t missing = 1; missing < kLongestAnswer / 2; missing += 3)
	{
		UnframedAnswer cut = whole;
		cut.missing = missing;
		answers = {cut};
		const DirectAnswer answer = system.call("POST", "/chat/x");
		EXPECT_TRUE(answer.status != 200 || answer.cut || answer.body == text) << missing << answer.body;
		EXPECT_FALSE(answer.status == 200 && !answer.cut && answer.body.empty()) << missing;
	}
}

// The same beside an agent.
TEST_F(UnframedUpstreams, AnAgentTakesNoAnswerThatIsCutAnywhere)
{
	start("app", framedAnswers());
	HttpClient client;
	client.io = &io;
	client.endpoint = parseEndpoint(ends[0].address);
	Submit submit;
	submit.request = "request-1";
	submit.service = "app";
	submit.path = "work";
	submit.body = "{}";
	UpstreamHandlers handlers;
	int status = 0;
	handlers.onStart = [&status](int _status, const std::string&) {
		status = _status;
	};
	handlers.onPart = [](const std::string&) {
	};
	for (const UnframedAnswer& whole : framedAnswers())
	{
		answers = {whole};
		HttpCancel none;
		forwardWork(client, submit, kUpstreamMs, handlers, none);
		EXPECT_EQ(status, 200) << whole.before;
		const size_t first = whole.fields.empty() ? kText.size() + 1 : 1;
		for (size_t missing = first; missing < kLongestAnswer; missing += 3)
		{
			UnframedAnswer cut = whole;
			cut.missing = missing;
			answers = {cut};
			HttpCancel cancel;
			EXPECT_THROW(forwardWork(client, submit, kUpstreamMs, handlers, cancel), HttpFailure)
				<< missing << " " << whole.before << whole.fields;
		}
	}
}
} // namespace
} // namespace spanplank
