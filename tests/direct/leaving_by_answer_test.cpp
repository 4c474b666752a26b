/// Upstreams that say in their answers that they leave, while the store is never told.
#include "limited_fleet.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kBoundMs = 2000; ///< From the first answer that says so.
constexpr uint32_t kMeasuredMs = 4000;
const std::vector<HttpHeader> kLeaving = {{"Server-Leaving", "1"}};

struct LeavingByAnswer : LimitedFleet
{
	/// @returns Requests that an upstream got later than the bound after all routers had been told.
	size_t lateAt(const std::vector<size_t>& _places)
	{
		load(kBoundMs);
		countAnew();
		load(kMeasuredMs);
		size_t late = 0;
		for (const size_t place : _places)
		{
			late += places[place]->arrivals.size();
		}
		return late;
	}
};

// Of four upstreams one said so in its answers of 200 and got 126 requests later than the bound.
TEST_F(LeavingByAnswer, GetsNothingAfterTheBoundAndNoCallerIsRefused)
{
	places[0]->stand.notices = kLeaving;
	EXPECT_EQ(lateAt({0}), 0u);
	EXPECT_EQ(refused(), 0u);
}

// The same in a rejection.
TEST_F(LeavingByAnswer, IsHeededWhereARejectionSaysSo)
{
	places[0]->stand.notices = kLeaving;
	places[0]->rejects = true;
	EXPECT_EQ(lateAt({0}), 0u);
	EXPECT_EQ(refused(), 0u);
}

// A failure without a signature says so as well.
TEST_F(LeavingByAnswer, IsHeededWhereAFailureSaysSo)
{
	HttpServer& http = places[0]->stand.http;
	http.handler = [this](HttpExchange& _exchange) {
		places[0]->arrivals.push_back(monotonicNow());
		const std::string id(_exchange.request()["Request-Id"]);
		_exchange.respond({500, {{"Request-Id", id}, kLeaving.front()}, ""});
	};
	EXPECT_EQ(lateAt({0}), 0u);
}

// A store that was away told of the upstream as ready once it was back.
TEST_F(LeavingByAnswer, StaysSoWhateverTheStoreSaysLater)
{
	places[0]->stand.notices = kLeaving;
	load(kBoundMs);
	store.fault = StandInStore::Fault::Reset;
	load(1000);
	store.fault = StandInStore::Fault::None;
	registerPlace(*places[0]);
	forgetHistory(store);
	EXPECT_EQ(lateAt({0}), 0u);
	EXPECT_EQ(refused(), 0u);
}

// Two of two said so and got 111 requests later than the bound.
TEST_F(LeavingByAnswer, WhereNoOtherIsLeftRequestsAreRefusedWithATimeToComeBack)
{
	for (const auto& place : places)
	{
		place->stand.notices = kLeaving;
	}
	EXPECT_EQ(lateAt({0, 1, 2, 3}), 0u);
	EXPECT_GT(refused(), 0u);
	EXPECT_EQ(refusedWithoutTime, 0u);
}

TEST_F(LeavingByAnswer, WithAnotherValueStaysInUse)
{
	places[0]->stand.notices = {{"Server-Leaving", "0"}};
	EXPECT_GT(lateAt({0}), 0u);
	EXPECT_EQ(refused(), 0u);
}
} // namespace
} // namespace spanplank
