/// Signals that meet a router in a planned stop: none of them ends it before its requests have their answers.
#include <csignal>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"

namespace spanplank
{
namespace
{
/// A router that has been asked to stop while one request is at an upstream, which answers once it may.
struct SignalInStop : testing::Test
{
	DirectSystem system;
	StandInUpstream& upstream = system.addUpstream("u", "app");
	bool mayAnswer = false;

	SignalInStop()
	{
		upstream.answer = [this](StandInUpstream& _upstream, HttpExchange& _exchange) {
			eventually([this] { return mayAnswer; });
			answerWell(_upstream, _exchange);
		};
		system.startReady(1);
	}

	/// Sends `_second` once the router stops. @returns What the caller gets.
	DirectAnswer answerBeside(int _second)
	{
		DirectAnswer answer;
		together({[&] { answer = system.call("POST", "/once/", "x"); },
				  [&] {
					  EXPECT_TRUE(eventually([&] { return upstream.requests.size() == 1; }));
					  system.terminate();
					  EXPECT_TRUE(eventually([&] { return !system.isReady(); }));
					  system.signal(_second);
					  EXPECT_TRUE(eventually(
						  [&] { return system.log().find("signal_ignored") != std::string::npos; }));
					  mayAnswer = true;
				  }});
		return answer;
	}
};

// A reload that met a router in a planned stop ended it at once, with every request that it had: the caller's
// connection was closed without an answer while the upstream was at work. The log of such a router ends with
// event=stopping and has no event=stopped. The handlers of the signals went with the wait for the first
// SIGTERM, and from then on the kernel's default for SIGHUP and SIGTERM, which ends the process, was back.
TEST_F(SignalInStop, AReloadCutsNoRequest)
{
	EXPECT_EQ(answerBeside(SIGHUP).status, 200);
	EXPECT_EQ(system.awaitEnd(), 0);
}

TEST_F(SignalInStop, ASecondRequestToStopCutsNoRequest)
{
	EXPECT_EQ(answerBeside(SIGTERM).status, 200);
	EXPECT_EQ(system.awaitEnd(), 0);
}
} // namespace
} // namespace spanplank
