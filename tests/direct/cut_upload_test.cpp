/// Upstreams that answer before they have read their request, and reset the connection.
#include "unframed_upstreams.h"
#include "upstream_client_p.h"

namespace spanplank
{
namespace
{
constexpr size_t kUploadBytes = 12u << 20; ///< More than the sockets of both sides hold.
constexpr int kFewBytes = 4096;            ///< For which the upstream's socket has room.
constexpr uint32_t kUpstreamMs = 5000;
const std::string kText = "all of it";

struct CutUpload : UnframedUpstreams
{
	const std::string upload = std::string(kUploadBytes, 'u');

	CutUpload()
	{
		system.config["limits"]["max_body_bytes"] = 2 * kUploadBytes;
		system.writeConfig();
	}

	/// @returns An answer after which the connection is reset.
	static UnframedAnswer resetAnswer(const std::string& _body, const std::string& _fields = "")
	{
		UnframedAnswer answer{"text/plain", _body, SocketEnd::Reset};
		answer.fields = _fields;
		return answer;
	}

	/// @returns Answers without a length whose connection ends while the upload is being written.
	static std::vector<UnframedAnswer> brokenAnswers(const std::string& _body)
	{
		std::vector<UnframedAnswer> broken;
		for (const SocketEnd end :
			 {SocketEnd::Reset, SocketEnd::EndThenReset, SocketEnd::EndThenOpen, SocketEnd::Closed})
		{
			for (const size_t readsBytes : {size_t(0), kUploadBytes / 2})
			{
				for (const char* fields : {"", "Connection: close\r\n"})
				{
					broken.push_back({"text/plain", _body, end});
					broken.back().readsBytes = readsBytes;
					broken.back().fields = fields;
				}
			}
		}
		return broken;
	}

	/// @returns An answer without a length to a request that has been read to its end.
	static UnframedAnswer wholeAnswer(const std::string& _body)
	{
		UnframedAnswer answer{"text/plain", _body};
		answer.readsBytes = kUploadBytes;
		return answer;
	}

	static std::vector<UnframedAnswer> framedAnswers()
	{
		const std::string chunks = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", kText.size(), kText);
		return {resetAnswer(kText, fmt::format("Content-Length: {}\r\n", kText.size())),
				resetAnswer(chunks, "Transfer-Encoding: chunked\r\n")};
	}
};

// The write of the request took the reset away, and the read that followed found the end of the answer.
TEST_F(CutUpload, WithWhichAnAnswerWithoutALengthEndsIsRepeated)
{
	start("app", {wholeAnswer(kText)});
	for (const UnframedAnswer& part : brokenAnswers("a part"))
	{
		answers = {part, wholeAnswer(kText)};
		arrivals = 0;
		const DirectAnswer answer = system.call("PUT", "/plain/x", upload);
		EXPECT_EQ(answer.status, 200);
		EXPECT_EQ(answer.body, kText);
		EXPECT_EQ(arrivals, 2u);
		callSound();
	}
}

TEST_F(CutUpload, WithWhichAnAnswerWithoutALengthEndsFailsWhereItMustNotBeRepeated)
{
	start("app", {wholeAnswer(kText)});
	for (const UnframedAnswer& part : brokenAnswers("a part"))
	{
		answers = {part};
		arrivals = 0;
		EXPECT_EQ(system.call("POST", "/once/x", upload).status, 502);
		EXPECT_EQ(arrivals, 1u);
	}
}

TEST_F(CutUpload, WithWhichAStreamWithoutALengthEndsGoesOnElsewhere)
{
	start("engines", {wholeAnswer(kText)});
	for (UnframedAnswer part : brokenAnswers(events(0, 1).body))
	{
		part.type = "text/event-stream";
		UnframedAnswer rest = events(2, 3);
		rest.readsBytes = kUploadBytes;
		answers = {part, rest};
		arrivals = 0;
		const DirectAnswer answer = system.call("POST", "/chat/x", upload);
		EXPECT_EQ(answer.body, events(0, 3).body);
		EXPECT_FALSE(answer.cut);
		EXPECT_EQ(arrivals, 2u);
		callSound("POST", "/chat/x", events(0, 3));
	}
}

// Its length or its last chunk tells that it is whole, however the connection ends.
TEST_F(CutUpload, TakesNothingFromAnAnswerWithALength)
{
	start("app", framedAnswers());
	for (const UnframedAnswer& framed : framedAnswers())
	{
		answers = {framed};
		const DirectAnswer answer = system.call("POST", "/once/x", upload);
		EXPECT_EQ(answer.status, 200) << framed.fields;
		EXPECT_EQ(answer.body, kText) << framed.fields;
	}
}

TEST_F(CutUpload, IsNotPassedOnWhereALengthTellsThatPartIsMissing)
{
	start("app", framedAnswers());
	for (UnframedAnswer framed : framedAnswers())
	{
		framed.missing = 1;
		answers = {framed};
		EXPECT_EQ(system.call("POST", "/once/x", upload).status, 502) << framed.fields;
	}
}

// Its end tells that it is whole, as the upstream had the whole request.
TEST_F(CutUpload, IsNoneWhereTheUpstreamHasReadTheWholeRequest)
{
	start("app", {wholeAnswer(kText)});
	for (int ii = 0; ii < 3; ++ii)
	{
		const DirectAnswer answer = system.call("POST", "/once/x", upload);
		EXPECT_EQ(answer.status, 200);
		EXPECT_EQ(answer.body, kText);
	}
}

// The router's socket holds the rest of the request: its write has succeeded.
TEST_F(CutUpload, WithWhichAnAnswerWithoutALengthEndsFailsThoughTheRequestIsWritten)
{
	receiveBytes = kFewBytes;
	start("app", {wholeAnswer(kText)});
	for (const size_t bytes : {size_t(60) << 10, size_t(300) << 10, size_t(900) << 10})
	{
		for (UnframedAnswer part : brokenAnswers("a part"))
		{
			part.readsBytes = 0;
			answers = {part};
			EXPECT_EQ(system.call("POST", "/once/x", upload.substr(0, bytes)).status, 502) << bytes;
		}
	}
}

/// A call of an upstream as an agent makes it.
struct AgentCutUpload : CutUpload
{
	/// @returns Whether the answer counts as whole.
	bool forward(const UnframedAnswer& _answer, size_t _bytes)
	{
		answers = {_answer};
		HttpClient client;
		client.io = &io;
		client.endpoint = parseEndpoint(ends[0].address);
		Submit submit;
		submit.request = "request-1";
		submit.service = "app";
		submit.path = "work";
		submit.body = upload.substr(0, _bytes);
		UpstreamHandlers handlers;
		handlers.onStart = [](int, const std::string&) {
		};
		handlers.onPart = [](const std::string&) {
		};
		HttpCancel cancel;
		try
		{
			forwardWork(client, submit, kUpstreamMs, handlers, cancel);
			return true;
		}
		catch (const HttpFailure&)
		{
			return false;
		}
	}
};

TEST_F(AgentCutUpload, EndsAnAnswerWithoutALength)
{
	receiveBytes = kFewBytes;
	start("app", {wholeAnswer(kText)});
	for (const size_t bytes : {size_t(60) << 10, size_t(900) << 10, kUploadBytes})
	{
		for (UnframedAnswer part : brokenAnswers("a part"))
		{
			part.readsBytes = std::min(part.readsBytes, bytes / 2);
			EXPECT_FALSE(forward(part, bytes)) << bytes;
		}
	}
	EXPECT_TRUE(forward(wholeAnswer(kText), kUploadBytes));
}
} // namespace
} // namespace spanplank
