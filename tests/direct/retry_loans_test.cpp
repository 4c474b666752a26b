/// Retries that linked routers lend each other.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "fiber_runtime_p.h"
#include "fleet_fixture.h"

namespace spanplank
{
namespace
{
struct RetryLoans : FleetTest
{
	StandInUpstream second;
	uint64_t arrivals = 0;
	bool rejects = false;

	RetryLoans()
	{
		second.id = "u-two";
		for (StandInUpstream* each : {&upstream, &second})
		{
			each->http.handler = [this, each](HttpExchange& _exchange) {
				++arrivals;
				rejects ? answerNotRun(_exchange) : answerWell(*each, _exchange);
			};
		}
		second.address = loopback(startHttpServer(testIo(), second.http, {loopbackIp(), 0}));
		setItem(store, "servers/u-two",
				json{{"service", "app"},
					 {"address", second.address},
					 {"zone", "hall-a"},
					 {"version", "v1"},
					 {"slots", 8},
					 {"state", "ready"}}
					.dump());
		for (const auto& router : routers)
		{
			EXPECT_TRUE(eventually([&] { return router->metric("spanplank_upstreams") == "2"; }, 5));
		}
	}

	~RetryLoans() override
	{
		stopListening(second.http);
		eventually([this] { return second.http.connections == 0 && !second.http.accepting; }, 5);
	}

	double loans(size_t _router, const std::string& _kind)
	{
		const std::string value =
			routers[_router]->metric(fmt::format("spanplank_retry_loans_total{{kind=\"{}\"}}", _kind));
		return value.empty() ? -1.0 : std::stod(value);
	}
};

// Guards against loans that the cores can make but the routers' messages don't carry.
TEST_F(RetryLoans, ReachARouterWhoseWindowIsUsedUpAndTheFleetKeepsTheBound)
{
	constexpr size_t kEach = 60;
	const size_t borrower = (watcher() + 1) % kRouters; // Its loans come over the link to its parent.
	for (size_t ii = 0; ii < kEach; ++ii)
	{
		for (size_t router = 0; router < kRouters; ++router)
		{
			EXPECT_TRUE(router == borrower || call(router, "kept-key") == 200);
		}
	}
	const uint64_t before = arrivals;
	rejects = true;
	uint64_t requests = 0;
	const TimeUs until = monotonicNow() + 4000 * kMsToUs; // Shorter than the window of 10 s.
	while (monotonicNow() < until)
	{
		EXPECT_EQ(call(borrower, "kept-key"), 503);
		++requests;
		sleepFor(10);
	}
	double lent = 0.0;
	for (size_t router = 0; router < kRouters; ++router)
	{
		lent += loans(router, "lent");
	}
	EXPECT_GT(loans(borrower, "borrowed"), 0.0);
	EXPECT_GE(lent, loans(borrower, "borrowed"));
	const double retries = double(arrivals - before - requests);
	EXPECT_GT(retries, 0.9 * double(requests) + 2.0) << "without loans it can't make more";
	EXPECT_LE(retries, 0.9 * double(requests + 2 * kEach) + 2.0 * double(kRouters));
}
} // namespace
} // namespace spanplank
