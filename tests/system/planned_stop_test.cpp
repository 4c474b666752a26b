/// A planned stop of a router while callers use connections that they have kept open.
#include <csignal>
#include <gtest/gtest.h>

#include "fiber_runtime_p.h"
#include "harness.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kDrainMs = 3000;
constexpr uint32_t kLateMs = 1500; ///< From the signal on: late in that time.
constexpr uint32_t kWorkMs = 8000; ///< Of the service, past the end of the stop.
constexpr uint32_t kLongDeadlineMs = 10000;
constexpr uint32_t kShortDeadlineMs = 800;
constexpr uint32_t kAtOnceMs = 300;

struct RouterStop : testing::Test
{
	static SystemShape shape()
	{
		SystemShape shape;
		shape.routers = 2; // The first one stops, the second one is asked for what has run.
		shape.engines = 1;
		shape.services = 1;
		return shape;
	}

	System system{shape()};
	HttpClient kept; ///< With an open connection to the first router.

	RouterStop()
	{
		system.declareBasics();
		system.killHard("router-0");
		system.changeSettings("router-0", "drainMs: 20000", "drainMs: " + std::to_string(kDrainMs));
		system.start("router-0");
		eventually([this] { return callOrders("warm-up", kLongDeadlineMs).status == 200; });
		kept.io = &testIo();
		kept.endpoint = parseEndpoint(system.routerAddress(0));
		HttpCall look;
		look.method = "GET";
		look.target = "/healthz";
		call(kept, look);
	}

	Answer callOrders(const std::string& _key, uint32_t _deadlineMs)
	{
		return system.callService(0, _key, "{}", _deadlineMs);
	}

	/// @returns What the kept connection brings; a status of 0: it was closed without an answer.
	Answer callKept(const std::string& _target, const std::string& _body, uint32_t _deadlineMs)
	{
		HttpCall request;
		request.target = _target;
		request.body = _body;
		request.timeoutMs = 30000;
		request.headers = {{"Authorization", "Bearer key-town"},
						   {"X-Spanplank-Deadline-Ms", std::to_string(_deadlineMs)},
						   {"Idempotency-Key", "late"}};
		Answer answer;
		try
		{
			const HttpResponse response =
				call(kept, request, [&answer](const HttpResponse& _head, std::string_view _part) {
					answer.status = _head.status;
					answer.body.append(_part);
				});
			answer.status = response.status;
			answer.headers = response.headers;
		}
		catch (const HttpFailure&)
		{
			answer.cut = answer.status != 0;
		}
		return answer;
	}

	/// Stops the router while a request of another caller keeps it at work, and calls it late in the stop.
	void stopAnd(const std::function<void()>& _late)
	{
		system.serviceFault({{"work_ms", kWorkMs}});
		together({[this] { EXPECT_NE(callOrders("early", kLongDeadlineMs).status, 0); },
				  [this] {
					  pause(300);
					  EXPECT_EQ(system.stopPlanned("router-0"), 0);
				  },
				  [&] {
					  pause(300 + kLateMs);
					  _late();
				  }});
	}
};

// It was passed on, and at the end of the stop its caller was told that it may have run.
TEST_F(RouterStop, RefusesALateRequestThatItCannotEndInTime)
{
	stopAnd([this] {
		const TimeUs begin = monotonicNow();
		const Answer answer = callKept("/v1/services/orders/new", "{}", kLongDeadlineMs);
		EXPECT_EQ(answer.status, 503) << answer.body;
		EXPECT_EQ(answer.run(), "no") << answer.body;
		EXPECT_LE(monotonicNow() - begin, kAtOnceMs * kMsToUs);
	});
	EXPECT_EQ(system.runsOf("late"), 0u);
}

// It was begun, and cut at the end of the stop.
TEST_F(RouterStop, RefusesALateStreamThatItCannotEndInTime)
{
	stopAnd([this] {
		system.engineFault(0, {{"token_ms", 500}});
		const json chat{{"model", "small"},
						{"stream", true},
						{"max_tokens", 100},
						{"messages", {{{"role", "user"}, {"content", "say it"}}}}};
		const Answer answer = callKept("/v1/chat/completions", chat.dump(), kLongDeadlineMs);
		EXPECT_EQ(answer.status, 503) << answer.body;
		EXPECT_EQ(answer.run(), "no") << answer.body;
		EXPECT_FALSE(answer.cut);
	});
}

TEST_F(RouterStop, TakesALateRequestWhoseDeadlineIsBeforeItsEnd)
{
	stopAnd([this] {
		const json chat{
			{"model", "small"}, {"max_tokens", 4}, {"messages", {{{"role", "user"}, {"content", "say it"}}}}};
		EXPECT_EQ(callKept("/v1/chat/completions", chat.dump(), kShortDeadlineMs).status, 200);
	});
}
} // namespace
} // namespace spanplank
