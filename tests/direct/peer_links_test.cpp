/// Several direct routers that follow each other: one watches the store, and what happens when that fails.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

#include "fiber_runtime_p.h"
#include "fleet_fixture.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
namespace
{
TEST_F(FleetTest, OneWatchesForAllAndAChangeReachesAll)
{
	EXPECT_TRUE(allAnswer("other-key", 200));
	const uint64_t callsBefore = store.calls;
	const TimeUs begin = monotonicNow();
	sleepFor(3000);
	const double each = double(store.calls - callsBefore) / (double(monotonicNow() - begin) / 1000000.0);
	EXPECT_LT(each, 10.0) << "one router's watches of 0.2 s, not three routers'";
	removeKey();
	EXPECT_TRUE(eventually([this] { return allAnswer("other-key", 401); }, 2));
	EXPECT_TRUE(allAnswer("kept-key", 200));
}

TEST_F(FleetTest, TheOthersGoOnWhenTheWatchingRouterIsKilled)
{
	const size_t killed = watcher();
	routers[killed]->killHard();
	removeKey();
	for (size_t ii = 0; ii < kRouters; ++ii)
	{
		if (ii != killed)
		{
			EXPECT_TRUE(eventually([&] { return call(ii, "other-key") == 401; }, 3));
			EXPECT_EQ(call(ii, "kept-key"), 200);
		}
	}
	routers[killed]->start();
	settle();
	EXPECT_TRUE(eventually([this] { return allAnswer("other-key", 401) && allAnswer("kept-key", 200); }, 5));
}

TEST_F(FleetTest, AFrozenWatchingRouterHoldsNobodyUpAndTrustsNoKeyWhenItWakes)
{
	const size_t frozen = watcher();
	routers[frozen]->signal(SIGSTOP);
	removeKey();
	const TimeUs removedAt = monotonicNow();
	for (size_t ii = 0; ii < kRouters; ++ii)
	{
		if (ii != frozen)
		{
			EXPECT_TRUE(eventually([&] { return call(ii, "other-key") == 401; }, 3));
		}
	}
	while (monotonicNow() - removedAt < TimeUs(kRevokeMs) * kMsToUs)
	{
		sleepFor(50);
	}
	routers[frozen]->signal(SIGCONT);
	EXPECT_NE(call(frozen, "other-key"), 200);
	settle();
}

TEST_F(FleetTest, AWatchingRouterThatAloneIsCutOffTheStoreIsLeftAndMisleadsNobody)
{
	const size_t cut = watcher();
	toStore[cut].fault = ProxyFault::Refuse;
	resetConnections(toStore[cut]);
	sleepFor(1000);
	// In the trouble of one router a registration that goes has gone for the others.
	removeItem(store, "servers/u-one");
	for (size_t ii = 0; ii < kRouters; ++ii)
	{
		if (ii != cut)
		{
			EXPECT_TRUE(eventually([&] { return call(ii, "kept-key") == 503; }, 2));
			for (int again = 0; again < 20; ++again)
			{
				EXPECT_EQ(call(ii, "kept-key"), 503) << "an upstream that left is not lapsed";
				sleepFor(20);
			}
		}
	}
	EXPECT_TRUE(eventually([&] { return watchers() <= 2; }, kSettleSeconds));
	toStore[cut].fault = ProxyFault::None;
	settle();
}

TEST_F(FleetTest, ARegistrationWhoseLeaseLapsedIsWrittenAnewUnderAnother)
{
	const uint64_t firstNew = store.nextLease;
	for (auto& [lease, until] : store.leases)
	{
		until = monotonicNow();
	}
	const auto registered = [this, firstNew] {
		size_t count = 0;
		for (size_t ii = 0; ii < kRouters; ++ii)
		{
			const auto item = store.items.find(fmt::format("spanplank/router/router-{}", ii));
			count += item != store.items.end() && item->second.lease >= firstNew ? 1 : 0;
		}
		return count;
	};
	EXPECT_TRUE(eventually([&] { return registered() == kRouters; }, 8));
	settle();
}

/// By rank, as all boxes are of one size.
std::vector<size_t> rankedRouters()
{
	std::vector<size_t> ranked{0, 1, 2};
	std::sort(ranked.begin(), ranked.end(), [](size_t _one, size_t _other) {
		return stableHash(fmt::format("router-{}", _one)) < stableHash(fmt::format("router-{}", _other));
	});
	return ranked;
}

uint64_t leaseOf(const StandInStore& _store, size_t _router)
{
	const auto item = _store.items.find(fmt::format("spanplank/router/router-{}", _router));
	return item == _store.items.end() ? 0 : item->second.lease;
}

// Each start of a router cost some ten calls of the store: a list of all pages, watches until it was linked,
// the key of the links, a lease and the registration under it. The calls of a fleet grow with its routers
// that way: 357 of them made 2,361 on a quiet minute, most of them in the first seconds.
TEST_F(FleetTest, ARouterThatStartsAgainListsOnceAndIsRegisteredByTheOneThatItFollows)
{
	const size_t root = watcher();
	const size_t follower = (root + 1) % kRouters;
	routers[follower]->killHard();
	removeItem(store, fmt::format("spanplank/router/router-{}", follower));
	routers[follower]->start();
	EXPECT_TRUE(eventually([&] { return leaseOf(store, follower) == leaseOf(store, root); }, 8));
	EXPECT_TRUE(eventually([&] { return isFollowing(follower); }, 5));
	EXPECT_EQ(routers[follower]->metric("spanplank_store_reads_total"), "1");
	EXPECT_EQ(routers[follower]->metric("spanplank_store_writes_total"), "0");
}

TEST_F(FleetTest, RegistrationsMoveToTheNextParentWhenTheOneThatKeptThemIsKilled)
{
	const size_t killed = watcher();
	const uint64_t lease = leaseOf(store, killed);
	routers[killed]->killHard();
	EXPECT_TRUE(eventually([this] { return watchers() == 2; }, 5)) << "the killed one counts as one";
	for (size_t ii = 0; ii < kRouters; ++ii)
	{
		EXPECT_TRUE(ii == killed || eventually([&] { return leaseOf(store, ii) != lease; }, 8));
	}
	store.leases[lease] = 0;
	sleepFor(1000);
	for (size_t ii = 0; ii < kRouters; ++ii)
	{
		EXPECT_EQ(leaseOf(store, ii) == 0, ii == killed) << "only the one that is gone is forgotten";
	}
	routers[killed]->start();
	settle();
}

// A router that another one had registered became the first of all and left its registration under the dead
// one's lease: it lapsed within 60 s, and the others forgot the router that they followed.
TEST_F(FleetTest, ARouterThatComesFirstIsRegisteredUnderItsOwnLease)
{
	const std::vector<size_t> ranked = rankedRouters();
	ASSERT_EQ(watcher(), ranked[0]);
	const uint64_t lease = leaseOf(store, ranked[0]);
	routers[ranked[1]]->killHard();
	removeItem(store, fmt::format("spanplank/router/router-{}", ranked[1]));
	routers[ranked[1]]->start();
	ASSERT_TRUE(eventually([&] { return leaseOf(store, ranked[1]) == lease; }, 8));
	routers[ranked[0]]->killHard();
	EXPECT_TRUE(eventually([&] { return leaseOf(store, ranked[1]) != lease; }, 8));
	EXPECT_NE(leaseOf(store, ranked[1]), 0u) << "it goes with its router";
}

// A write whose answer was lost made the router take another lease, and registrations of followers lapsed
// with the first one, which nobody renewed.
TEST_F(FleetTest, AWriteWhoseAnswerIsLostCostsNoFollowerItsRegistration)
{
	const size_t root = watcher();
	const size_t follower = (root + 1) % kRouters;
	routers[follower]->killHard();
	removeItem(store, fmt::format("spanplank/router/router-{}", follower));
	routers[follower]->start();
	ASSERT_TRUE(eventually([&] { return leaseOf(store, follower) == leaseOf(store, root); }, 8));
	store.loseWrites = true;
	removeItem(store, fmt::format("spanplank/router/router-{}", root));
	ASSERT_TRUE(eventually([&] { return leaseOf(store, root) != 0; }, 8)) << "written, and not answered";
	sleepFor(2000);
	store.loseWrites = false;
	ASSERT_TRUE(eventually(
		[&] {
			return routers[root]->log().find("event=peer_registered result=\"lost\"") != std::string::npos;
		},
		5));
	// Whatever is written next goes with the lease that holds.
	removeItem(store, fmt::format("spanplank/router/router-{}", root));
	ASSERT_TRUE(eventually([&] { return leaseOf(store, root) != 0; }, 12));
	EXPECT_EQ(leaseOf(store, follower), leaseOf(store, root));
}

TEST_F(FleetTest, ARegistrationThatCanNotBeReadIsRejectedAndDisturbsNobody)
{
	setItem(store, "spanplank/router/aa", R"({"hall":"hall-a","address":"nowhere"})");
	setItem(store, "spanplank/router/ab", "not JSON");
	EXPECT_TRUE(eventually(
		[this] { return routers[0]->log().find("event=peer_rejected box=\"ab\"") != std::string::npos; }, 5));
	EXPECT_NE(routers[0]->log().find("event=peer_rejected box=\"aa\""), std::string::npos);
	settle();
	EXPECT_TRUE(allAnswer("kept-key", 200));
}

TEST_F(FleetTest, RoutersThatAreNotThereAnyMoreAreForgottenWithTheirLease)
{
	const size_t gone = watcher();
	routers[gone]->killHard();
	for (auto& [lease, until] : store.leases)
	{
		const auto item = store.items.find(fmt::format("spanplank/router/router-{}", gone));
		if (item != store.items.end() && item->second.lease == lease)
		{
			until = monotonicNow();
		}
	}
	for (size_t ii = 0; ii < kRouters; ++ii)
	{
		if (ii != gone)
		{
			EXPECT_TRUE(eventually([&] { return routers[ii]->metric("spanplank_peers") == "1"; }, 5));
		}
	}
	EXPECT_EQ(store.items.count(fmt::format("spanplank/router/router-{}", gone)), 0u);
}

TEST_F(FleetTest, AFollowerThatIsCutOffTheStoreGoesOnByTheNextRouterThatItFollows)
{
	const std::vector<size_t> ranked = rankedRouters();
	ASSERT_EQ(watcher(), ranked[0]);
	const size_t cut = ranked[2];
	toStore[cut].fault = ProxyFault::Refuse;
	resetConnections(toStore[cut]);
	routers[ranked[0]]->killHard();
	const TimeUs cutAt = monotonicNow();
	removeKey(); // It has to hear from its next parent what it misses between the two.
	EXPECT_TRUE(eventually([&] { return call(cut, "other-key") == 401; }, 3));
	while (monotonicNow() - cutAt < 2 * TimeUs(kRevokeMs) * kMsToUs)
	{
		EXPECT_EQ(call(cut, "kept-key"), 200) << "its next parent proves that the key holds";
		writeConfig();
		sleepFor(200);
	}
	toStore[cut].fault = ProxyFault::None;
	routers[ranked[0]]->start();
	settle();
}

TEST_F(FleetTest, OneRouterListsTheStoreForAllAfterItHasForgottenItsHistory)
{
	removeKey();
	forgetHistory(store);
	writeConfig();
	forgetHistory(store);
	EXPECT_TRUE(eventually([this] { return allAnswer("other-key", 401) && allAnswer("kept-key", 200); }, 5));
	settle();
	const auto snapshots = [this] {
		size_t count = 0;
		for (const auto& router : routers)
		{
			count += router->log().find("event=snapshot_taken") != std::string::npos ? 1 : 0;
		}
		return count;
	};
	EXPECT_TRUE(eventually([&] { return snapshots() == kRouters - 1; }, 5)) << "log lines come a little late";
}

TEST_F(FleetTest, WhileOneRouterReachesTheStoreTheOthersGoOnByItThoughTheyRankBefore)
{
	const std::vector<size_t> ranked = rankedRouters();
	for (const size_t cut : {ranked[0], ranked[1]})
	{
		toStore[cut].fault = ProxyFault::Refuse;
		resetConnections(toStore[cut]);
	}
	const TimeUs cutAt = monotonicNow();
	removeKey();
	EXPECT_TRUE(eventually([&] { return allAnswer("other-key", 401); }, 10));
	EXPECT_TRUE(eventually([&] { return allAnswer("kept-key", 200); }, 10));
	const TimeUs settledAt = monotonicNow();
	EXPECT_LT(settledAt - cutAt, 3 * TimeUs(kRevokeMs) * kMsToUs);
	while (monotonicNow() - settledAt < TimeUs(kRevokeMs) * kMsToUs)
	{
		EXPECT_TRUE(allAnswer("kept-key", 200)) << "they keep hearing proofs";
		sleepFor(100);
	}
	for (const size_t cut : {ranked[0], ranked[1]})
	{
		toStore[cut].fault = ProxyFault::None;
	}
	settle();
}

TEST_F(FleetTest, AHaltReachesTheOtherRoutersWhileTheStoreIsAwayAndNoneCompletesTheVersion)
{
	std::vector<std::unique_ptr<StandInUpstream>> bad;
	for (const char* id : {"u-bad-one", "u-bad-two"})
	{
		bad.push_back(std::make_unique<StandInUpstream>());
		StandInUpstream& failing = *bad.back();
		failing.id = id;
		failing.http.handler = [&failing](HttpExchange& _exchange) {
			_exchange.respond({500,
							   {{"Request-Id", std::string(_exchange.request()["Request-Id"])},
								{"Server-Stamp", "stamp-" + failing.id}},
							   "failed"});
		};
		failing.address = loopback(startHttpServer(testIo(), failing.http, {loopbackIp(), 0}));
		const json record{{"service", "app"}, {"address", failing.address},
						  {"zone", "hall-a"}, {"version", "v2"},
						  {"slots", 8},       {"state", "ready"}};
		setItem(store, "servers/" + failing.id, record.dump());
	}
	const json order{{"service", "app"}, {"target_version", "v2"}, {"duration_s", 20}};
	setItem(store, "op/rollout/app", order.dump());
	setItem(store, "spanplank/rollout/app", "15000000"); // Microseconds: the new version has its first share.
	const auto allLogged = [this](const std::string& _text, size_t _least) {
		size_t count = 0;
		for (const auto& router : routers)
		{
			count += router->log().find(_text) != std::string::npos ? 1 : 0;
		}
		return count >= _least;
	};
	ASSERT_TRUE(eventually([&] { return allLogged("event=rollout_ordered", kRouters); }, 5));
	store.fault = StandInStore::Fault::Reset;
	const auto halts = [&] {
		call(0, "kept-key");
		return routers[0]->log().find("event=rollout_halted") != std::string::npos;
	};
	ASSERT_TRUE(eventually(halts, 20)) << "it alone sees the version";
	EXPECT_TRUE(eventually([&] { return allLogged("event=rollout_halt_heard", kRouters - 1); }, 5));
	store.fault = StandInStore::Fault::None;
	EXPECT_TRUE(eventually(
		[this] {
			const auto item = store.items.find("status/rollout/app");
			return item != store.items.end() && item->second.value.find("rolled_back") != std::string::npos;
		},
		10));
	for (const auto& failing : bad)
	{
		stopListening(failing->http);
		eventually([&] { return failing->http.connections == 0 && !failing->http.accepting; }, 5);
	}
}
} // namespace
} // namespace spanplank
