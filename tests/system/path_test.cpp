/// The whole path through real processes: answers, streams, typed refusals.
#include <gtest/gtest.h>

#include "fiber_runtime_p.h"
#include "harness.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

class Path : public ::testing::Test
{
protected:
	static void SetUpTestSuite()
	{
		SystemShape shape;
		shape.services = 3;
		s_system = new System(shape);
		s_system->declareBasics();
	}

	static void TearDownTestSuite()
	{
		delete s_system;
		s_system = nullptr;
	}

	static System* s_system;
};

System* Path::s_system = nullptr;

TEST_F(Path, WholeAnswerNamesItsVersionRequestAndCost)
{
	const Answer answer = s_system->chat(0, {});
	ASSERT_EQ(answer.status, 200) << answer.body;
	EXPECT_EQ(answer.json()["choices"][0]["message"]["content"], "hello hello hello hello ");
	EXPECT_EQ(answer.header("X-Spanplank-Version"), "small@1");
	EXPECT_FALSE(answer.header("X-Spanplank-Request").empty());
	EXPECT_GT(std::stod(answer.header("X-Spanplank-Cost")), 0.0);
}

TEST_F(Path, StreamedAnswerEndsWithItsMark)
{
	ChatOptions options;
	options.stream = true;
	const Answer answer = s_system->chat(1, options);
	ASSERT_EQ(answer.status, 200);
	EXPECT_FALSE(answer.cut);
	EXPECT_NE(answer.body.find("data: [DONE]"), std::string::npos);
	EXPECT_EQ(answer.header("Content-Type"), "text/event-stream");
}

TEST_F(Path, StreamCutByTheEngineIsATypedErrorAndACut)
{
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		s_system->engineFault(ii, {{"cut_after_tokens", 2}});
	}
	ChatOptions options;
	options.stream = true;
	const Answer answer = s_system->chat(0, options);
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		s_system->engineFault(ii, {{"cut_after_tokens", 0}});
	}
	EXPECT_TRUE(answer.cut);
	EXPECT_NE(answer.body.find("event: error"), std::string::npos);
	EXPECT_NE(answer.body.find("\"run\":\"unknown\""), std::string::npos);
	EXPECT_EQ(answer.body.find("[DONE]"), std::string::npos);
}

// The deadline began when the router came to the request.
TEST_F(Path, RequestThatWaitedWhileTheRouterWasNotRunEndsAtItsDeadline)
{
	constexpr uint32_t kUnreadMs = 700;
	constexpr uint32_t kLateMs = 500;
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		s_system->engineFault(ii, {{"token_ms", 500.0}});
	}
	ChatOptions options;
	options.deadlineMs = 1000;
	options.maxTokens = 16;
	const TimeUs sentAt = monotonicNow();
	s_system->freeze("router-0");
	together({[&] { EXPECT_NE(s_system->chat(0, options).status, 200); },
			  [&] {
				  sleepFor(kUnreadMs);
				  s_system->wake("router-0");
			  }});
	EXPECT_LE(monotonicNow() - sentAt, TimeUs(options.deadlineMs + kLateMs) * kMsToUs);
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		s_system->engineFault(ii, {{"token_ms", 1.0}});
	}
}

TEST_F(Path, ListsTheAccountsModels)
{
	const Answer answer = s_system->http(s_system->routerAddress(0), "GET", "/v1/models", "",
										 {{"Authorization", "Bearer key-village"}});
	ASSERT_EQ(answer.status, 200);
	ASSERT_EQ(answer.json()["data"].size(), 1u);
	EXPECT_EQ(answer.json()["data"][0]["id"], "small");
}

TEST_F(Path, PlainServiceAnswers)
{
	const Answer answer = s_system->callService(0, "path-1", R"({"pole": 7})");
	ASSERT_EQ(answer.status, 200) << answer.body;
	EXPECT_EQ(answer.json()["done"], "new");
	EXPECT_EQ(s_system->runsOf("path-1"), 1u);
}

TEST_F(Path, RepeatedKeyIsReplayedThroughAnyRouter)
{
	const Answer first = s_system->callService(0, "path-2");
	const Answer second = s_system->callService(1, "path-2");
	ASSERT_EQ(first.status, 200) << first.body;
	ASSERT_EQ(second.status, 200) << second.body;
	EXPECT_EQ(first.body, second.body);
	EXPECT_EQ(second.header("X-Spanplank-Replayed"), "true");
	EXPECT_EQ(s_system->runsOf("path-2"), 1u);
	EXPECT_EQ(s_system->callService(0, "path-2", R"({"other": 1})").code(), "key_reused");
}

TEST_F(Path, DuplicateInFlightGetsTheSameAnswer)
{
	s_system->serviceFault({{"work_ms", 300}});
	std::vector<Answer> answers(4);
	std::vector<std::function<void()>> bodies;
	for (uint32_t ii = 0; ii < 4; ++ii)
	{
		bodies.emplace_back([&answers, ii] { answers[ii] = s_system->callService(ii % 2, "path-3"); });
	}
	together(bodies);
	s_system->serviceFault({{"work_ms", 5}});
	for (const Answer& answer : answers)
	{
		ASSERT_EQ(answer.status, 200) << answer.body;
		EXPECT_EQ(answer.body, answers[0].body);
	}
	EXPECT_EQ(s_system->runsOf("path-3"), 1u);
}

struct RefusalCase
{
	const char* name;
	std::string key;
	std::string body;
	std::vector<HttpHeader> headers;
	int status;
	const char* code;
};

/// Names a case in the runner's output.
void PrintTo(const RefusalCase& _case, std::ostream* _out)
{
	*_out << _case.name;
}

class Refusals : public Path, public ::testing::WithParamInterface<RefusalCase>
{
};

TEST_P(Refusals, IsTypedAndNotRun)
{
	const RefusalCase& refusal = GetParam();
	uint64_t before = s_system->runsOfVersion("small@1") + s_system->runsOfVersion("large@1");
	std::vector<HttpHeader> headers = refusal.headers;
	headers.push_back({"Authorization", "Bearer " + refusal.key});
	const Answer answer =
		s_system->http(s_system->routerAddress(0), "POST", "/v1/chat/completions", refusal.body, headers);
	EXPECT_EQ(answer.status, refusal.status) << answer.body;
	EXPECT_EQ(answer.code(), refusal.code);
	EXPECT_EQ(answer.run(), "no");
	EXPECT_EQ(s_system->runsOfVersion("small@1") + s_system->runsOfVersion("large@1"), before);
}

const std::string kGood = R"({"model":"small","messages":[{"role":"user","content":"x"}]})";

INSTANTIATE_TEST_SUITE_P(
	Caller, Refusals,
	::testing::Values(
		RefusalCase{"BadKey", "nobody", kGood, {}, 401, "bad_key"},
		RefusalCase{"Malformed", "key-town", "{", {}, 400, "bad_request"},
		RefusalCase{"NoMessages", "key-town", R"({"model":"small"})", {}, 400, "bad_request"},
		RefusalCase{"UnknownModel",
					"key-town",
					R"({"model":"huge","messages":[{"content":"x"}]})",
					{},
					404,
					"unknown_model"},
		RefusalCase{"NotAllowed",
					"key-village",
					R"({"model":"large","messages":[{"content":"x"}]})",
					{},
					403,
					"not_allowed"},
		RefusalCase{"NotAllowedByVersion",
					"key-village",
					R"({"model":"large@1","messages":[{"content":"x"}]})",
					{},
					403,
					"not_allowed"},
		RefusalCase{
			"DeadlinePast", "key-town", kGood, {{"X-Spanplank-Deadline-Ms", "0"}}, 408, "deadline_passed"},
		RefusalCase{
			"BadDeadline", "key-town", kGood, {{"X-Spanplank-Deadline-Ms", "soon"}}, 400, "bad_request"},
		RefusalCase{
			"BadSession", "key-town", kGood, {{"X-Spanplank-Session", "forged"}}, 400, "session_invalid"},
		RefusalCase{"Oversize", "key-town", std::string(2u << 20, 'x'), {}, 413, "oversize"}),
	[](const ::testing::TestParamInfo<RefusalCase>& _info) { return _info.param.name; });

TEST_F(Path, OperatorsNeedTheirToken)
{
	const Answer none = s_system->http(s_system->routerAddress(0), "GET", "/v1/resources");
	EXPECT_EQ(none.status, 401);
	const Answer caller = s_system->http(s_system->routerAddress(0), "GET", "/v1/resources", "",
										 {{"Authorization", "Bearer key-town"}});
	EXPECT_EQ(caller.code(), "bad_key");
}

TEST_F(Path, HealthMetricsAndTimeline)
{
	const std::string& router = s_system->routerAddress(0);
	EXPECT_EQ(s_system->http(router, "GET", "/healthz").status, 200);
	EXPECT_EQ(s_system->http(router, "GET", "/readyz").status, 200);
	EXPECT_NE(s_system->http(router, "GET", "/metrics").body.find("spanplank_requests_total"),
			  std::string::npos);
	EXPECT_FALSE(s_system->http(router, "GET", "/timeline").json()["events"].empty());
	EXPECT_EQ(s_system->http(router, "GET", "/nowhere").code(), "not_found");
}
} // namespace
} // namespace spanplank
