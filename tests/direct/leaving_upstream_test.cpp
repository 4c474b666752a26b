/// Upstreams whose registration goes: how long a router may still use them, whatever happened to its calls of
/// the store.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"

namespace spanplank
{
namespace
{
using Upstream = StandInUpstream;

constexpr int kCalls = 30; ///< Enough that both of two equal upstreams would get some.

/// A router with two upstreams of the plain service, of which the first goes without saying that it leaves.
struct LeavingUpstream : testing::Test
{
	/// No outage is so long that registrations lapse in it, however slow the machine is.
	DirectSystem system{"heartbeatMs: 600000\n"};
	Upstream& first = system.addUpstream("u-first", "app");
	Upstream& second = system.addUpstream("u-second", "app");

	LeavingUpstream()
	{
		system.startReady(2);
	}

	~LeavingUpstream() override
	{
		if (HasFailure())
		{
			fmt::print("{}", system.log());
		}
	}

	bool logged(const std::string& _text)
	{
		return eventually([&] { return system.log().find(_text) != std::string::npos; });
	}

	/// Waits until the router knows that the first is gone, and calls. @returns Requests that it got then.
	size_t requestsAfterItWent()
	{
		EXPECT_TRUE(logged("event=upstream_unregistered upstream=\"u-first\""));
		first.requests.clear();
		for (int ii = 0; ii < kCalls; ++ii)
		{
			EXPECT_EQ(system.call("GET", "/plain/x").status, 200);
		}
		return first.requests.size();
	}
};

// The store forgot its history while an upstream went, so that the router learned of it by a list. It took
// the answer 410 for an outage in which registrations lapse, and used the upstream for 0.8 of the bound,
// counted from the list. The line that settled it: upstream_unregistered way="list" proof_age_ms="121"
// lapsed="yes".
TEST_F(LeavingUpstream, GetsNothingAfterAListToldThatItIsGoneBecauseTheHistoryWasLost)
{
	removeItem(system.store, "servers/u-first");
	forgetHistory(system.store);
	EXPECT_EQ(requestsAfterItWent(), 0u);
}

// One call of the store failed, and the next one brought the removal. Each failed call counted as an outage
// for a second: the line was the same, with way="watch" and lapsed="yes".
TEST_F(LeavingUpstream, GetsNothingAfterOneCallOfTheStoreFailedAndTheNextToldThatItIsGone)
{
	system.store.fault = StandInStore::Fault::Reset;
	EXPECT_TRUE(logged("event=store_lost"));
	removeItem(system.store, "servers/u-first");
	system.store.fault = StandInStore::Fault::None;
	EXPECT_EQ(requestsAfterItWent(), 0u);
}

// A kept connection to the store went silent for good while an upstream went. The router waited 1.2 s for the
// watch's answer and 0.1 s more before the next call, on top of the pause of 0.8 s: later than a bound of 2
// s. The line that settled it: store_lost, between the silence and upstream_unregistered.
TEST_F(LeavingUpstream, IsKnownToBeGoneByANewConnectionAtOnceWhenTheKeptOneIsSilent)
{
	int watches = 0;
	bool released = false;
	system.store.http.handler = [&](HttpExchange& _exchange) {
		const bool watch = std::string(_exchange.request().target()).find("/kv-watch") == 0;
		watches += watch ? 1 : 0;
		if (watch && watches == 2) // The first one leaves a connection that is kept.
		{
			removeItem(system.store, "servers/u-first");
			eventually([&] { return released; });
			return;
		}
		answerStoreCall(system.store, _exchange);
	};
	EXPECT_EQ(requestsAfterItWent(), 0u);
	EXPECT_EQ(system.log().find("event=store_lost"), std::string::npos);
	released = true;
	system.killHard();
	EXPECT_TRUE(eventually([&] { return system.store.http.connections == 0; }));
}

// A router whose watch waits long took the wait for an outage: what a watch proves is when it began, and with
// a wait of 5 s each removal after a quiet spell was lapsed="yes" why="store away". Of 30 requests 9 reached
// the upstream that was gone, though the store had been there all the time.
TEST(LongWatch, OfAStoreThatIsThereIsNoOutage)
{
	DirectSystem system("configWaitMs: 20000\n");
	Upstream& first = system.addUpstream("u-first", "app");
	system.addUpstream("u-second", "app");
	system.startReady(2);
	sleepFor(4000); // Longer than three heartbeats, far shorter than the watch.
	removeItem(system.store, "servers/u-first");
	ASSERT_TRUE(
		eventually([&] { return system.log().find("event=upstream_unregistered") != std::string::npos; }));
	first.requests.clear();
	for (int ii = 0; ii < kCalls; ++ii)
	{
		EXPECT_EQ(system.call("GET", "/plain/x").status, 200);
	}
	EXPECT_EQ(first.requests.size(), 0u) << system.log();
}
} // namespace
} // namespace spanplank
