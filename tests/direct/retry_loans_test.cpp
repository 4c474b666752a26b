/// Retries that linked routers lend each other.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "fiber_runtime_p.h"
#include "fleet_fixture.h"
#include "load_control_p.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kChild = 4;

/// A router without network that has requests, and a child that asks for retries.
struct AskedRouter : testing::Test
{
	DirectRouter router{"", DirectSettings()};

	/// @returns How many rows the child is sent. @param[in] _lent What it lends.
	size_t rows(uint32_t _lent = 0)
	{
		RetryWindow& window = router.retries["app"];
		for (int ii = 0; ii < 100; ++ii)
		{
			recordRequest(window, monotonicNow());
		}
		std::vector<SpeedRow> speeds;
		std::vector<LoadChange> accounts;
		std::vector<RetryRow> retries;
		takeLoadControl(router, kChild, {}, {}, {{serviceKeyOf("app"), 5, _lent, 1000}}, 0);
		addLoadControl(router, kChild, speeds, accounts, retries);
		return retries.size();
	}
};

TEST_F(AskedRouter, Lends)
{
	EXPECT_EQ(rows(), 1u);
	EXPECT_TRUE(retryWindow(router, "app").shared);
}

// Guards against loans that come back to their lender in a ring.
TEST_F(AskedRouter, NeitherLendsNorBorrowsInARing)
{
	router.peers.loads.isolated = true;
	EXPECT_EQ(rows(3), 0u);
	EXPECT_TRUE(router.lending.services.empty()) << "what the child lent is not taken";
	EXPECT_FALSE(retryWindow(router, "app").shared);
}

TEST_F(AskedRouter, NeitherLendsNorBorrowsWithoutThePolicy)
{
	router.settings.policies.retryLending = false;
	EXPECT_EQ(rows(3), 0u);
	EXPECT_FALSE(retryWindow(router, "app").shared);
}

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
