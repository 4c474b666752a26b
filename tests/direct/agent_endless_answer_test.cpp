/// The agents' mode at upstreams whose answers have no end: the memory of the agent's box and the router's.
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>

#include "endless_upstream.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kDeadlineMs = 1500;
constexpr uint32_t kHeldMs = 500; ///< Longest time beyond that.
constexpr size_t kCallers = 24;   ///< At the endless upstream.
constexpr uint32_t kSlots = 32;
constexpr double kMostBytes = 80e6; ///< Half of the memory of the smallest box.

struct EndlessCase
{
	const char* name;
	bool service; ///< At a plain service, whose calls must not be repeated; else at an engine.
	bool stream;
	EndlessBytes bytes;
};

void PrintTo(const EndlessCase& _case, std::ostream* _out)
{
	*_out << _case.name;
}

std::vector<EndlessCase> endlessCases()
{
	const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
	const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
	const std::string text(64, 'x');
	const std::string chunk = "40\r\n" + text + "\r\n";
	return {
		{"AStreamWithoutTheEndOfAnEvent", false, true, {chunked, chunk}},
		{"AStreamOfEvents", false, true, {chunked, "48\r\ndata: " + text + "\n\n\r\n"}},
		{"AnAnswerOfAnEngine", false, false, {chunked, chunk}},
		{"AnUnframedAnswerOfAnEngine", false, false, {head + "\r\n", text}},
		{"AnAnswerOfAService", true, false, {chunked, chunk}},
		{"HeadLines", true, false, {"HTTP/1.1 200 OK\r\n", "Line: " + text + "\r\n"}},
		{"NoHttp", true, false, {"", text}},
	};
}

struct AgentEndlessAnswers : testing::TestWithParam<EndlessCase>
{
	EndlessUpstream endless{loopbackIp(), GetParam().bytes};
	std::unique_ptr<System> system;

	~AgentEndlessAnswers() override
	{
		system.reset(); // The endless upstream's connections end.
	}

	void SetUp() override
	{
		SystemShape shape;
		shape.routers = 1;
		shape.engines = 1;
		shape.services = 1;
		shape.slots = kSlots;
		shape.agentExtra = shape.routerExtra = "memoryMb: 160\n";
		shape.upstream = loopback(endless.port());
		system = std::make_unique<System>(shape);
		system->declareBasics();
	}

	Answer callEndless(size_t _number)
	{
		if (GetParam().service)
		{
			return system->callService(0, fmt::format("key-{}", _number), "{}", kDeadlineMs);
		}
		ChatOptions options;
		options.stream = GetParam().stream;
		options.deadlineMs = kDeadlineMs;
		return system->chat(0, options);
	}

	/// Calls by all callers at once. @param[in] _check Gets each answer, and how long its caller was held.
	void callTogether(const std::function<void(const Answer&, TimeUs)>& _check)
	{
		std::vector<std::function<void()>> callers;
		for (size_t ii = 0; ii < kCallers; ++ii)
		{
			callers.push_back([this, ii, &_check] {
				const TimeUs begin = monotonicNow();
				const Answer answer = callEndless(ii);
				_check(answer, monotonicNow() - begin);
			});
		}
		together(callers);
		EXPECT_GE(endless.answered(), kCallers);
	}

	/// @returns A request of the streaming or plain kind that no client's reader is behind.
	std::string requestBytes(size_t _number) const
	{
		const std::string chat = fmt::format(
			R"({{"model":"small","stream":{},"messages":[{{"role":"user","content":"say it"}}]}})",
			GetParam().stream);
		const std::string body = GetParam().service ? "{}" : chat;
		return fmt::format("POST {} HTTP/1.1\r\nHost: town.example\r\nAuthorization: Bearer key-town\r\n"
						   "X-Spanplank-Deadline-Ms: 30000\r\nIdempotency-Key: unread-{}\r\n"
						   "Content-Length: {}\r\n\r\n{}",
						   GetParam().service ? "/v1/services/orders/new" : "/v1/chat/completions", _number,
						   body.size(), body);
	}

	void expectBoundedMemory()
	{
		for (const char* box : {GetParam().service ? "service-0" : "engine-0", "router-0"})
		{
			EXPECT_GT(peakBytes(box), 0.0) << box;
			EXPECT_LE(peakBytes(box), kMostBytes) << box;
		}
	}

	double peakBytes(const std::string& _box)
	{
		const std::string page = system->http(system->boxAddress(_box), "GET", "/metrics").body;
		const std::string name = "\nspanplank_max_resident_bytes ";
		const size_t at = page.find(name);
		return at == std::string::npos ? 0.0 : std::stod(page.substr(at + name.size()));
	}
};

TEST_P(AgentEndlessAnswers, EndAtTheDeadline)
{
	callTogether([](const Answer&, TimeUs _held) {
		EXPECT_LE(double(_held) / double(kMsToUs), kDeadlineMs + kHeldMs);
	});
}

TEST_P(AgentEndlessAnswers, TakeBoundedMemoryAndAreNotPassedOnAsWhole)
{
	callTogether([](const Answer& _answer, TimeUs) {
		EXPECT_TRUE(_answer.cut || _answer.status != 200) << _answer.status;
	});
	EXPECT_TRUE(eventually([this] { return endless.writing() == 0; }));
	expectBoundedMemory();
}

// The router kept what its callers did not read.
TEST_P(AgentEndlessAnswers, TakeBoundedMemoryWhereNobodyReads)
{
	const Endpoint to = parseEndpoint(system->routerAddress(0));
	std::vector<boost::asio::ip::tcp::socket> callers;
	for (size_t ii = 0; ii < kCallers; ++ii)
	{
		callers.emplace_back(testIo());
		callers.back().connect({boost::asio::ip::make_address(to.ip), to.port});
		boost::asio::write(callers.back(), boost::asio::buffer(requestBytes(ii)));
	}
	EXPECT_TRUE(eventually([this] { return endless.answered() >= kCallers; }));
	sleepFor(kDeadlineMs);
	expectBoundedMemory();
}

INSTANTIATE_TEST_SUITE_P(Of, AgentEndlessAnswers, testing::ValuesIn(endlessCases()));
} // namespace
} // namespace spanplank
