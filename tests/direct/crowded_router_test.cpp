/// The balancer hands most new connections to one router, while callers open them more often.
#include <csignal>

#include "fiber_runtime_p.h"
#include "fleet_fixture.h"

namespace spanplank
{
namespace
{
constexpr size_t kCallers = 60;
constexpr uint32_t kCalmPauseMs = 100; ///< Between two calls of a caller.
constexpr uint32_t kCrowdPauseMs = 40;
constexpr uint32_t kCalmMs = 2000;
constexpr uint32_t kCrowdMs = 5000;
constexpr double kLeastShare = 0.75; ///< Of the share that was served before.

struct Served
{
	size_t read = 0; ///< Requests that a router has read, or that no other one served either.
	size_t whole = 0;

	double share() const
	{
		return read == 0 ? 0.0 : double(whole) / double(read);
	}
};

struct CrowdedRouter : FleetTest
{
	/// Each call is made on a new connection.
	Served play(uint32_t _forMs, uint32_t _pauseMs, const std::function<size_t(size_t)>& _routerOf)
	{
		Served served;
		const TimeUs until = monotonicNow() + TimeUs(_forMs) * kMsToUs;
		std::vector<std::function<void()>> bodies;
		for (size_t caller = 0; caller < kCallers; ++caller)
		{
			bodies.push_back([&, caller] {
				for (size_t number = caller; monotonicNow() < until; ++number)
				{
					const size_t router = _routerOf(number);
					const int status = call(router, "kept-key");
					const bool triedElsewhere =
						status == 0 && call((router + 1) % kRouters, "kept-key") == 200;
					served.read += triedElsewhere ? 0 : 1;
					served.whole += status == 200 ? 1 : 0;
					sleepFor(_pauseMs);
				}
			});
		}
		together(bodies);
		return served;
	}
};

TEST_F(CrowdedRouter, ServesRequestsAsOftenAsBefore)
{
	const Served calm = play(kCalmMs, kCalmPauseMs, [](size_t _number) { return _number % kRouters; });
	const Served crowd = play(kCrowdMs, kCrowdPauseMs, [](size_t) { return size_t(0); });
	EXPECT_GT(calm.whole, 0u);
	EXPECT_GE(crowd.share(), kLeastShare * calm.share())
		<< crowd.whole << " of " << crowd.read << ", before " << calm.whole << " of " << calm.read;
}

// A box that got most new connections of its hall called itself ready, however late it came to them.
TEST(OverloadedRouter, IsNotReadyUntilItIsRunAgain)
{
	constexpr size_t kRequests = 12;
	constexpr size_t kStops = 5;
	constexpr uint32_t kStoppedMs = 400;
	constexpr uint32_t kRunMs = 20;
	DirectSystem system;
	bool over = false;
	system.addUpstream("u-silent", "app").answer = [&over](StandInUpstream&, HttpExchange& _exchange) {
		while (!over && !_exchange.callerGone())
		{
			sleepFor(kRunMs);
		}
		_exchange.abort();
	};
	system.startReady(1);
	std::vector<std::function<void()>> bodies(kRequests, [&system] {
		system.call("POST", "/once/x", "", {{"Deadline-Remaining", "15000"}});
	});
	bodies.push_back([&] {
		EXPECT_TRUE(eventually([&] { return system.upstreams()[0]->requests.size() == kRequests; }));
		EXPECT_TRUE(system.isReady());
		for (size_t ii = 0; ii < kStops; ++ii)
		{
			system.signal(SIGSTOP);
			sleepFor(kStoppedMs);
			system.signal(SIGCONT);
			sleepFor(kRunMs);
		}
		EXPECT_FALSE(system.isReady());
		EXPECT_TRUE(eventually([&] { return system.isReady(); }));
		over = true;
	});
	together(bodies);
}
} // namespace
} // namespace spanplank
