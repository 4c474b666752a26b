/// Requests whose end is not certain (RFC 9112, 6): they are refused, and nothing after their head is run as
/// a request.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

struct FramingCase
{
	const char* name;
	std::string fields; ///< With the end of each line.
	std::string version = "HTTP/1.1";
};

const std::vector<FramingCase>& framingCases()
{
	static const std::vector<FramingCase> s_cases = {
		{"TransferEncodingIdentity", "Transfer-Encoding: identity\r\n"},
		{"TransferEncodingEmpty", "Transfer-Encoding:\r\n"},
		{"TransferEncodingUnknown", "Transfer-Encoding: xchunked\r\n"},
		{"TransferEncodingChunkedNotLast", "Transfer-Encoding: chunked, identity\r\n"},
		{"TransferEncodingChunkedTwice", "Transfer-Encoding: chunked, chunked\r\n"},
		{"TransferEncodingNotOursThenChunked", "Transfer-Encoding: gzip, chunked\r\n"},
		{"TransferEncodingWithParameter", "Transfer-Encoding: chunked;a=b\r\n"},
		{"TransferEncodingQuoted", "Transfer-Encoding: \"chunked\"\r\n"},
		{"TransferEncodingInTwoFields", "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n"},
		{"TransferEncodingInTwoFieldsTurned",
		 "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"},
		{"TransferEncodingOfHttp10", "Transfer-Encoding: chunked\r\n", "HTTP/1.0"},
		{"LengthAndTransferEncoding", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"},
		{"TransferEncodingAndLength", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"},
		{"IdentityAndLength", "Transfer-Encoding: identity\r\nContent-Length: 5\r\n"},
		{"LengthsThatDiffer", "Content-Length: 5\r\nContent-Length: 6\r\n"},
		{"LengthsInOneField", "Content-Length: 5, 6\r\n"},
		{"LengthNegative", "Content-Length: -1\r\n"},
		{"LengthWithSign", "Content-Length: +5\r\n"},
		{"LengthHexadecimal", "Content-Length: 0x5\r\n"},
		{"LengthEmpty", "Content-Length:\r\n"},
		{"LengthTooLarge", "Content-Length: 99999999999999999999999\r\n"},
		{"FoldedTransferEncoding", "Transfer-Encoding:\r\n chunked\r\n"},
		{"FoldedLength", "Content-Length:\r\n\t5\r\n"},
		{"FoldedOther", "X-Other: a\r\n b\r\n"},
		{"SpaceBeforeColon", "Transfer-Encoding : chunked\r\n"},
		{"TabBeforeColon", "Content-Length\t: 5\r\n"},
		{"SpaceBeforeField", " Transfer-Encoding: chunked\r\n"},
		{"LineFeedAlone", "X-Other: a\nTransfer-Encoding: chunked\r\n"},
		{"ReturnAlone", "X-Other: a\rTransfer-Encoding: chunked\r\n"},
		{"ZeroByte", std::string("X-Other: a\0Transfer-Encoding: chunked\r\n", 39)},
		{"NoColon", "Transfer-Encoding chunked\r\n"},
	};
	return s_cases;
}

/// What comes between the head of a case and a request that must not be run: nothing, or a last chunk.
const std::vector<std::string> kBodies = {"", "0\r\n\r\n"};

std::string smuggling(const FramingCase& _case, const std::string& _first, const std::string& _next,
					  const std::string& _common, const std::string& _body)
{
	return fmt::format("POST {} {}\r\n{}{}\r\n{}GET {} HTTP/1.1\r\n{}\r\n", _first, _case.version, _common,
					   _case.fields, _body, _next, _common);
}

size_t countAnswers(const std::string& _bytes)
{
	size_t count = 0;
	for (size_t at = _bytes.find("HTTP/1."); at != std::string::npos; at = _bytes.find("HTTP/1.", at + 1))
	{
		++count;
	}
	return count;
}

void expectRefused(const std::string& _answer, const char* _name)
{
	const std::string status = _answer.substr(0, 12);
	EXPECT_TRUE(status == "HTTP/1.1 400" || status == "HTTP/1.0 400" || status == "HTTP/1.1 501")
		<< _name << ": " << _answer;
	EXPECT_EQ(countAnswers(_answer), 1u) << _name << ": " << _answer;
}

// What followed a head with an undelimited body was run as a request of its own.
TEST(RequestFraming, ThatIsNotCertainIsRefusedByADirectRouterAndRunsNothing)
{
	DirectSystem system;
	StandInUpstream& upstream = system.addUpstream("u", "app");
	system.startReady(1);
	const std::string common =
		"Host: town.example\r\nRequest-Id: r\r\nDeadline-Remaining: 4000\r\nKey: " + system.key + "\r\n";
	for (const FramingCase& framing : framingCases())
	{
		for (const std::string& body : kBodies)
		{
			const std::string bytes = smuggling(framing, "/once/", "/plain/smuggled", common, body);
			expectRefused(system.raw(bytes), framing.name);
		}
	}
	EXPECT_EQ(upstream.requests.size(), 0u);
	EXPECT_EQ(system.call("GET", "/plain/").status, 200);
}

TEST(RequestFraming, ThatIsNotCertainIsRefusedByTheAgentsModesProcesses)
{
	SystemShape shape;
	shape.routers = 1;
	shape.engines = 1;
	System system(shape);
	system.declareBasics();
	for (const std::string& address : {system.boxAddress("router-0"), system.boxAddress("engine-0")})
	{
		for (const FramingCase& framing : framingCases())
		{
			const Endpoint to = parseEndpoint(address);
			tcp::socket caller(testIo());
			caller.connect({boost::asio::ip::make_address(to.ip), to.port});
			const std::string bytes = smuggling(framing, "/healthz", "/healthz", "Host: a\r\n", kBodies[0]);
			std::string answer;
			awaitIo([&](auto _done) { boost::asio::async_write(caller, boost::asio::buffer(bytes), _done); });
			awaitIo([&](auto _done) {
				boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer), _done);
			});
			expectRefused(answer, framing.name);
		}
	}
}

// A protocol that the server does not change to is no fault (RFC 9110, 7.8): the request is served as it is.
TEST(RequestFraming, ThatOffersAnotherProtocolIsServedWithoutIt)
{
	DirectSystem system;
	StandInUpstream& upstream = system.addUpstream("u", "app");
	system.startReady(1);
	const std::string answer = system.raw("GET /plain/ HTTP/1.1\r\nHost: town.example\r\nKey: " + system.key +
										  "\r\nConnection: Upgrade, close\r\nUpgrade: h2c\r\n\r\n");
	EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
	ASSERT_EQ(upstream.requests.size(), 1u);
	EXPECT_EQ(upstream.requests[0].count("Upgrade"), 0u);
}

/// A server that notes what its handler is given.
struct NotingServer
{
	HttpServer server;
	std::vector<std::pair<std::string, std::string>> handled; ///< Target and body.
	uint16_t port = 0;

	NotingServer()
	{
		server.handler = [this](HttpExchange& _exchange) {
			const HttpRequest& request = _exchange.request();
			handled.emplace_back(std::string(request.target()), request.body());
			_exchange.respond({200, {}, ""});
		};
		port = startHttpServer(testIo(), server, {loopbackIp(), 0});
	}

	~NotingServer()
	{
		stopListening(server);
		eventually([this] { return server.connections == 0 && !server.accepting; }, 5);
	}

	std::string send(const std::string& _bytes) const
	{
		tcp::socket caller(testIo());
		caller.connect({boost::asio::ip::make_address(loopbackIp()), port});
		std::string answer;
		awaitIo([&](auto _done) { boost::asio::async_write(caller, boost::asio::buffer(_bytes), _done); });
		boost::system::error_code ignored;
		caller.shutdown(tcp::socket::shutdown_send, ignored);
		awaitIo(
			[&](auto _done) { boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer), _done); });
		return answer;
	}
};

std::string oneOf(const std::vector<std::string>& _texts)
{
	return _texts[*rc::gen::inRange<size_t>(0, _texts.size())];
}

constexpr const char* kInner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";

/// What a field says of the length of a body.
enum class Framing : uint8_t
{
	Nothing,
	Empty, ///< A length of 0.
	Right, ///< The length of the body as it is without chunks.
	Chunks,
	Wrong, ///< No request may have such a field.
};

struct FramingField
{
	std::string text;
	Framing says;
};

/// A request that holds another one in its body, with any fields on its length.
struct NestedRequest
{
	std::string bytes;
	bool mustBeRefused = false;
	bool isWhole = false;      ///< The body is the nested request.
	bool mayRunNested = false; ///< The body is said to be empty: what follows is a request.
};

NestedRequest anyNested()
{
	const std::string inner = kInner;
	const std::vector<FramingField> fields = {
		{"", Framing::Nothing},
		{"Content_Length: 0\r\n", Framing::Nothing},
		{fmt::format("Content-Length: {}\r\n", inner.size()), Framing::Right},
		{"Content-Length: 0\r\n", Framing::Empty},
		{"Transfer-Encoding: chunked\r\n", Framing::Chunks},
		{"transfer-encoding:\tCHUNKED \r\n", Framing::Chunks},
		{"Transfer-Encoding: identity\r\n", Framing::Wrong},
		{"Transfer-Encoding: chunked, identity\r\n", Framing::Wrong},
		{"Content-Length:\r\n 0\r\n", Framing::Wrong},
		{"X: a\r\n\tTransfer-Encoding: chunked\r\n", Framing::Wrong},
		{"Transfer-Encoding\x0b: chunked\r\n", Framing::Wrong},
	};
	const FramingField& first = fields[*rc::gen::inRange<size_t>(0, fields.size())];
	const FramingField& second = fields[*rc::gen::inRange<size_t>(0, fields.size())];
	const bool inChunks = *rc::gen::arbitrary<bool>();
	const std::string body = inChunks ? fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", inner.size(), inner) : inner;
	const bool bothSay = first.says != Framing::Nothing && second.says != Framing::Nothing;
	const bool wrong = first.says == Framing::Wrong || second.says == Framing::Wrong;
	const Framing says = first.says != Framing::Nothing ? first.says : second.says;
	NestedRequest request;
	request.bytes = "POST /outer HTTP/1.1\r\nHost: a\r\n" + first.text + second.text + "\r\n" + body;
	// Two lengths that are the same may be taken as one (RFC 9112, 6.3).
	request.mustBeRefused = wrong || (bothSay && (first.says != second.says || says == Framing::Chunks));
	request.isWhole = !bothSay && !wrong && says == (inChunks ? Framing::Chunks : Framing::Right);
	request.mayRunNested = !wrong && !inChunks &&
						   (says == Framing::Nothing || (says == Framing::Empty && !request.mustBeRefused));
	return request;
}

RC_GTEST_PROP(RequestFraming, NeverMakesARequestOfABody, ())
{
	NotingServer noting;
	const NestedRequest request = anyNested();
	const std::string answer = noting.send(request.bytes);
	for (const auto& [target, body] : noting.handled)
	{
		RC_ASSERT(target != "/inner" || request.mayRunNested);
	}
	if (request.isWhole)
	{
		RC_ASSERT(noting.handled.size() == 1u);
		RC_ASSERT(noting.handled[0].second == kInner);
	}
	if (request.mustBeRefused)
	{
		RC_ASSERT(noting.handled.empty());
		RC_ASSERT(answer.substr(0, 12) == "HTTP/1.1 400" || answer.substr(0, 12) == "HTTP/1.1 501");
	}
}

/// Heads and bodies of requests from which the fuzzing starts.
const std::vector<std::string> kCorpus = {
	"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nT: 1\r\n\r\n",
	"PUT /x?y=z HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nb",
	"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
};
constexpr int kMutations = 6;

std::string mutated(std::string _bytes)
{
	const int count = *rc::gen::inRange(1, kMutations);
	for (int ii = 0; ii < count && !_bytes.empty(); ++ii)
	{
		const size_t at = *rc::gen::inRange<size_t>(0, _bytes.size());
		switch (*rc::gen::inRange(0, 5))
		{
		case 0:
			_bytes[at] = char(*rc::gen::inRange(0, 256));
			break;
		case 1:
			_bytes.erase(at, *rc::gen::inRange<size_t>(1, 5));
			break;
		case 2:
			_bytes.insert(
				at, oneOf({"\r\n", "\n", " ", "\t", ":", std::string(1, '\0'), ",", ";", "0", "f", "-"}));
			break;
		case 3:
			_bytes.insert(at,
						  oneOf({"Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "Host: b\r\n"}));
			break;
		default:
			_bytes += _bytes.substr(at);
			break;
		}
	}
	return _bytes;
}

// Whatever comes, the server answers or closes, and goes on.
RC_GTEST_PROP(RequestFraming, OfAnyBytesEndsNoServer, ())
{
	NotingServer noting;
	noting.send(mutated(kCorpus[*rc::gen::inRange<size_t>(0, kCorpus.size())]));
	const size_t before = noting.handled.size();
	const std::string answer = noting.send("GET /after HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
	RC_ASSERT(answer.substr(0, 12) == "HTTP/1.1 200");
	RC_ASSERT(noting.handled.size() == before + 1);
}
} // namespace
} // namespace spanplank
