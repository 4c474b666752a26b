/// Answers whose heads are not those of an answer (RFC 9110, 5.1 and 15): upstreams in trouble sent them.
#include "unframed_upstreams.h"
#include "upstream_client_p.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kUpstreamMs = 5000;
const std::string kText = "all of it";

struct HeadCase
{
	const char* name;
	std::string status = "200 OK";
	std::string fields = {};      ///< Its last lines.
	std::string firstFields = {}; ///< Its first ones.
};

std::vector<HeadCase> brokenHeads()
{
	std::vector<HeadCase> heads = {{"Status000", "000 Trouble"}, {"Status000WithoutReason", "000 "},
								   {"Status001", "001 Trouble"}, {"Status099", "099 Trouble"},
								   {"Status600", "600 Trouble"}, {"Status999", "999 Trouble"}};
	const std::string zero(1, '\0');
	const std::vector<std::pair<const char*, std::string>> lines = {
		{"BlankInAName", "X Other: a\r\n"},
		{"BlankBeforeAName", " X-Other: a\r\n"},
		{"TabBeforeAName", "\tX-Other: a\r\n"},
		{"BlankAfterAName", "X-Other : a\r\n"},
		{"TabInAName", "X\tOther: a\r\n"},
		{"ControlByteInAName", "X-\x01Other: a\r\n"},
		{"ZeroByteInAName", "X-" + zero + "Other: a\r\n"},
		{"DeleteInAName", "X-\x7fOther: a\r\n"},
		{"ReturnInAName", "X-\rOther: a\r\n"},
		{"LineFeedInAName", "X-\nOther: a\r\n"},
		{"NoName", ": a\r\n"},
		{"BlankBeforeALength", " Content-Length: 3\r\n"},
		{"TabBeforeALength", "\tContent-Length: 3\r\n"},
		{"BlankAfterALength", "Content-Length : 3\r\n"},
		{"BlankInALength", "Content Length: 3\r\n"},
		{"ControlByteAfterALength", "Content-Length\x01: 3\r\n"},
		{"BlankBeforeACoding", " Transfer-Encoding: chunked\r\n"},
		{"BlankAfterACoding", "Transfer-Encoding : chunked\r\n"},
	};
	for (const auto& [name, line] : lines)
	{
		heads.push_back({name, "200 OK", line});
		heads.push_back({name, "200 OK", "", line});
		heads.push_back({name, "200 OK", line + fmt::format("Content-Length: {}\r\n", kText.size())});
	}
	return heads;
}

std::vector<HeadCase> soundHeads()
{
	return {{"Status299", "299 Odd"},
			{"Status404", "404 Not Found"},
			{"Status499", "499 Odd"},
			{"NoReason", "200 "},
			{"OddName", "200 OK", "x!#$%&'*+-.^_`|~9: a\r\n"},
			{"EmptyValue", "200 OK", "X-Other:\r\n"},
			{"BlanksAroundAValue", "200 OK", "X-Other: \t a b \t\r\n"},
			{"HighBytesInAValue", "200 OK", "X-Other: \xc3\xa9\r\n"},
			{"Length", "200 OK", fmt::format("content-length: {}\r\n", kText.size())}};
}

UnframedAnswer answerWith(const HeadCase& _head, const std::string& _type = "text/plain",
						  const std::string& _body = kText)
{
	UnframedAnswer answer{_type, _body, SocketEnd::Closed, 0};
	answer.status = _head.status;
	answer.fields = _head.fields;
	answer.firstFields = _head.firstFields;
	return answer;
}

Submit serviceWork()
{
	Submit submit;
	submit.request = "request-1";
	submit.service = "app";
	submit.path = "work";
	submit.body = "{}";
	return submit;
}

/// Upstreams that answer so, and a call of one as an agent makes it.
struct BrokenHead : UnframedUpstreams
{
	/// @returns The status that the agent passes on; 0: the call has failed.
	int forward(const UnframedAnswer& _answer, std::string& _body)
	{
		answers = {_answer};
		HttpClient client;
		client.io = &io;
		client.endpoint = parseEndpoint(ends[0].address);
		int status = 0;
		UpstreamHandlers handlers;
		handlers.onStart = [&status](int _status, const std::string&) {
			status = _status;
		};
		handlers.onPart = [&_body](const std::string& _part) {
			_body += _part;
		};
		HttpCancel cancel;
		try
		{
			forwardWork(client, serviceWork(), kUpstreamMs, handlers, cancel);
			return status;
		}
		catch (const HttpFailure&)
		{
			return 0;
		}
	}
};

// Callers got them as answers: a status of 000, and a line folded into the one before it.
TEST_F(BrokenHead, IsNotPassedOnAndTheRequestIsRepeated)
{
	start("app", {{"text/plain", kText}});
	for (const HeadCase& head : brokenHeads())
	{
		answers = {answerWith(head, "text/plain", "broken"), {"text/plain", kText, SocketEnd::Closed, 0}};
		arrivals = 0;
		const DirectAnswer answer = system.call("GET", "/plain/x");
		EXPECT_EQ(answer.status, 200) << head.name << head.fields << head.firstFields;
		EXPECT_EQ(answer.body, kText) << head.name << head.fields << head.firstFields;
		EXPECT_FALSE(answer.cut) << head.name;
		EXPECT_EQ(arrivals, 2u) << head.name << head.fields << head.firstFields;
		callSound();
	}
}

TEST_F(BrokenHead, OfARequestThatMustNotBeRepeatedFails)
{
	start("app", {{"text/plain", kText}});
	for (const HeadCase& head : brokenHeads())
	{
		answers = {answerWith(head)};
		arrivals = 0;
		EXPECT_EQ(system.call("POST", "/once/x").status, 502) << head.name << head.fields << head.firstFields;
		EXPECT_EQ(arrivals, 1u) << head.name;
	}
}

// A promise that the request has not run is worth nothing in such a head.
TEST_F(BrokenHead, IsNotBelievedThatTheRequestHasNotRun)
{
	start("app", {{"text/plain", kText}});
	for (HeadCase head : brokenHeads())
	{
		head.fields = "Not-Executed: 1\r\n" + head.fields;
		answers = {answerWith(head)};
		arrivals = 0;
		EXPECT_EQ(system.call("POST", "/once/x").status, 502) << head.name << head.fields << head.firstFields;
		EXPECT_EQ(arrivals, 1u) << head.name;
	}
}

TEST_F(BrokenHead, OfAStreamIsNotPassedOnAndTheStreamIsWritten)
{
	const UnframedAnswer whole = events(0, 3);
	start("engines", {whole});
	for (const HeadCase& head : brokenHeads())
	{
		answers = {answerWith(head, whole.type, events(0, 1).body), whole};
		const DirectAnswer answer = system.call("POST", "/chat/x");
		EXPECT_EQ(answer.status, 200) << head.name << head.fields << head.firstFields;
		EXPECT_EQ(answer.body, whole.body) << head.name << head.fields << head.firstFields;
		EXPECT_FALSE(answer.cut) << head.name;
	}
}

TEST_F(BrokenHead, IsNotPassedOnByAnAgent)
{
	start("app", {{"text/plain", kText}});
	for (const HeadCase& head : brokenHeads())
	{
		std::string body;
		EXPECT_EQ(forward(answerWith(head), body), 0) << head.name << head.fields << head.firstFields;
		EXPECT_EQ(body, "") << head.name;
	}
}

// Trailers were passed on as fields of the head, a folded line joined to the one before it.
TEST_F(BrokenHead, IsNotMadeOfTrailers)
{
	start("app", {{"text/plain", kText}});
	for (const char* status : {"200 OK", "404 Not Found", "500 Trouble"})
	{
		UnframedAnswer answer{"text/plain", "", SocketEnd::Closed, 0};
		answer.status = status;
		answer.fields = "Transfer-Encoding: chunked\r\nX-Head: head\r\n";
		answer.body =
			fmt::format("{:x}\r\n{}\r\n0\r\nX-Head: trailer\r\nX-Trailer: a\r\n Server-Stamp: b\r\n\r\n",
						kText.size(), kText);
		answers = {answer};
		const DirectAnswer got = system.call("POST", "/once/x");
		EXPECT_EQ(got.status, std::stoi(status));
		EXPECT_EQ(got.body, kText);
		EXPECT_EQ(got.header("X-Head"), "head");
		EXPECT_EQ(got.header("X-Trailer"), "");
	}
}

TEST_F(BrokenHead, IsNoneWhereTheHeadIsSound)
{
	start("app", {{"text/plain", kText}});
	for (const HeadCase& head : soundHeads())
	{
		answers = {answerWith(head)};
		const DirectAnswer answer = system.call("POST", "/once/x");
		const int status = std::stoi(head.status);
		EXPECT_EQ(answer.status, status) << head.name;
		EXPECT_EQ(answer.body, kText) << head.name;
		std::string body;
		EXPECT_EQ(forward(answerWith(head), body), status) << head.name;
		EXPECT_EQ(body, kText) << head.name;
	}
	EXPECT_EQ(system.call("GET", "/plain/x").header("Content-Length"), std::to_string(kText.size()));
}
} // namespace
} // namespace spanplank
