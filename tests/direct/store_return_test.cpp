/// The store comes back from an older copy: its revisions go back and are given out again. Routers must
/// neither stay deaf to what is written there from then on, nor let what was in force go back.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "fleet_fixture.h"
#include "harness.h"

namespace spanplank
{
namespace
{
constexpr int kChanges = 40;          ///< Lost by a return.
constexpr uint32_t kBoundS = 4;       ///< Until what is written after a return must be in force.
constexpr uint32_t kKeptForMs = 1500; ///< A while in which nothing may go back.

/// A router that knows two upstreams, and a store that has taken changes since a copy was made.
struct StoreReturn : testing::Test
{
	DirectSystem system{"revokeMs: 3000\nleaveMs: 2000\nretryRatio: 5\n"};
	StandInUpstream& one = system.addUpstream("u-one", "app");
	StandInUpstream& two = system.addUpstream("u-two", "app");
	StoreCopy copy;

	StoreReturn()
	{
		system.startReady(2);
		copy = copyOf(system.store);
		for (int ii = 0; ii < kChanges; ++ii)
		{
			system.registerUpstream(one);
		}
		eventually([this] { return system.knownUpstreams() == 2; });
		sleepFor(1500); // Until the router has read all of them.
	}

	int status(const std::string& _path = "/plain/x")
	{
		return system.call("GET", _path).status;
	}

	size_t arrivals() const
	{
		return one.requests.size() + two.requests.size();
	}

	/// @returns Whether only one of the two gets requests.
	bool isOnlyUsed(const StandInUpstream& _upstream)
	{
		const size_t all = arrivals();
		const size_t its = _upstream.requests.size();
		for (int ii = 0; ii < 10; ++ii)
		{
			status();
		}
		return _upstream.requests.size() - its == arrivals() - all && arrivals() > all;
	}
};

// After its return the store's revisions lay below the one that the router knew, and everything at or below
// that was taken for old: a configuration written 1 s after the return was not in force 15 s later, with 774
// calls of the store in that time (410, list, ignored, again).
TEST_F(StoreReturn, AConfigurationWrittenAfterItIsInForce)
{
	returnFrom(system.store, copy);
	system.config["routes"][0]["path_prefix"] = "/moved/";
	system.writeConfig();
	const uint64_t calls = system.store.calls;
	EXPECT_TRUE(eventually([this] { return status("/moved/x") == 200; }, kBoundS)) << system.log();
	EXPECT_LE(system.store.calls - calls, 40u);
	EXPECT_TRUE(
		eventually([this] { return system.log().find("event=store_returned") != std::string::npos; }));
}

// The same: a key taken away after the return still served 8 s later.
TEST_F(StoreReturn, AKeyTakenAwayAfterItServesNoLonger)
{
	returnFrom(system.store, copy);
	system.config["tenants"][0]["api_keys"] = {"another-key"};
	system.writeConfig();
	EXPECT_TRUE(eventually([this] { return status() == 401; }, kBoundS)) << system.log();
}

TEST_F(StoreReturn, AKeyTakenAwayBeforeItStaysAway)
{
	system.config["tenants"][0]["api_keys"] = {"another-key"};
	system.writeConfig();
	ASSERT_TRUE(eventually([this] { return status() == 401; }, kBoundS));
	returnFrom(system.store, copy);
	const TimeUs until = monotonicNow() + TimeUs(kKeptForMs) * kMsToUs;
	while (monotonicNow() < until)
	{
		EXPECT_NE(status(), 200) << "an older configuration came back to life";
		sleepFor(50);
	}
}

// An upstream that stated after the return that it leaves got work 4 s later.
TEST_F(StoreReturn, AnUpstreamThatLeavesAfterItGetsNoMoreWork)
{
	returnFrom(system.store, copy);
	system.registerUpstream(one, true);
	EXPECT_TRUE(eventually([this] { return isOnlyUsed(two); }, kBoundS)) << system.log();
}

TEST_F(StoreReturn, AnUpstreamThatHadLeftIsNotUsedBecauseTheCopySaysReady)
{
	system.registerUpstream(one, true);
	ASSERT_TRUE(eventually([this] { return isOnlyUsed(two); }, kBoundS));
	removeItem(system.store, "servers/u-one");
	sleepFor(1500);
	returnFrom(system.store, copy);
	const TimeUs until = monotonicNow() + TimeUs(kKeptForMs) * kMsToUs;
	while (monotonicNow() < until)
	{
		EXPECT_TRUE(isOnlyUsed(two));
		sleepFor(50);
	}
}

TEST_F(StoreReturn, AnUpstreamThatIsGoneIsNotUsedUntilItIsWrittenAgain)
{
	removeItem(system.store, "servers/u-one");
	ASSERT_TRUE(eventually([this] { return isOnlyUsed(two); }, kBoundS));
	returnFrom(system.store, copy);
	const TimeUs until = monotonicNow() + TimeUs(kKeptForMs) * kMsToUs;
	while (monotonicNow() < until)
	{
		EXPECT_TRUE(isOnlyUsed(two));
		sleepFor(50);
	}
	system.registerUpstream(one);
	removeItem(system.store, "servers/u-two");
	EXPECT_TRUE(eventually([this] { return isOnlyUsed(one); }, kBoundS)) << system.log();
}

TEST_F(StoreReturn, AnUpstreamThatTheCopyDoesNotKnowIsNotTakenForGoneAtOnce)
{
	StandInUpstream& three = system.addUpstream("u-three", "app");
	ASSERT_TRUE(eventually([this] { return system.knownUpstreams() == 3; }));
	one.answer = two.answer = [](StandInUpstream&, HttpExchange& _exchange) {
		answerNotRun(_exchange);
	};
	ASSERT_EQ(status(), 200);
	returnFrom(system.store, copy);
	ASSERT_TRUE(eventually([this] { return system.log().find("event=store_returned") != std::string::npos; },
						   kBoundS))
		<< system.log();
	EXPECT_EQ(status(), 200);
	system.registerUpstream(three);
	sleepFor(2 * kKeptForMs);
	EXPECT_EQ(status(), 200) << "its entry is written again";
}

/// The same where upstreams state their starts.
struct StoreReturnOfStarts : StoreReturn
{
	static constexpr uint64_t kBorn = 1700000000000;
	static constexpr uint32_t kSecondListS = 12; ///< The store is listed again within 7 s of its return.

	void startAgain(uint64_t _born, bool _leaving = false)
	{
		one.born = _born;
		system.registerUpstream(one, _leaving);
	}

	size_t restarts() const
	{
		const std::string log = system.log();
		size_t count = 0;
		for (size_t at = log.find("event=upstream_restarted"); at != std::string::npos;
			 at = log.find("event=upstream_restarted", at + 1))
		{
			++count;
		}
		return count;
	}

	/// The upstream has started twice, the copy is of between.
	void startTwice(uint64_t _first, uint64_t _second, bool _leavingInCopy = false)
	{
		startAgain(_first, _leavingInCopy);
		ASSERT_TRUE(eventually(
			[&] { return system.log().find(fmt::format("born=\"{}\"", _first)) != std::string::npos; },
			kBoundS));
		copy = copyOf(system.store);
		for (int ii = 0; ii < kChanges; ++ii)
		{
			system.registerUpstream(two);
		}
		startAgain(_second);
		ASSERT_TRUE(eventually([&] { return restarts() > 0; }, kBoundS));
	}
};

TEST_F(StoreReturnOfStarts, AnEarlierStartInTheCopyEndsNothingWhateverTimeItStates)
{
	startTwice(kBorn, kBorn - 400, true);
	const size_t before = restarts();
	removeItem(system.store, "servers/u-two");
	copy.items.erase("servers/u-two");
	returnFrom(system.store, copy);
	const TimeUs until = monotonicNow() + TimeUs(kKeptForMs) * kMsToUs;
	while (monotonicNow() < until)
	{
		EXPECT_EQ(status(), 200) << "the copy says that the start before leaves";
		sleepFor(50);
	}
	startAgain(kBorn - 400); // It is written again.
	sleepFor(kKeptForMs);
	EXPECT_EQ(status(), 200);
	EXPECT_EQ(restarts(), before) << system.log();
}

TEST_F(StoreReturnOfStarts, ALaterStartThatStatesALowerTimeIsHeardAsItLeaves)
{
	startTwice(kBorn, kBorn + 400);
	returnFrom(system.store, copy);
	sleepFor(kKeptForMs);
	startAgain(kBorn + 100);
	startAgain(kBorn + 100, true);
	EXPECT_TRUE(eventually([this] { return isOnlyUsed(two); }, kBoundS)) << system.log();
}

TEST_F(StoreReturnOfStarts, ALaterStartThatIsWrittenBeforeTheFirstListIsHeardByTheSecond)
{
	startTwice(kBorn, kBorn + 400);
	returnFrom(system.store, copy);
	startAgain(kBorn + 100, true);
	EXPECT_TRUE(eventually([this] { return isOnlyUsed(two); }, kSecondListS)) << system.log();
}

// An evacuation ordered after the return was not known 8 s later.
TEST_F(StoreReturn, AnEvacuationOrderedAfterItIsInForceAndOneBeforeItIsKept)
{
	two.hall = "hall-b";
	system.registerUpstream(two);
	setItem(system.store, "op/evacuate/hall-a", "{}");
	ASSERT_TRUE(eventually([this] { return isOnlyUsed(two); }, kBoundS));
	copy = copyOf(system.store);
	removeItem(system.store, "op/evacuate/hall-a");
	copy.items.erase("op/evacuate/hall-a");
	setItem(system.store, "op/evacuate/hall-b", "{}");
	ASSERT_TRUE(eventually([this] { return isOnlyUsed(one); }, kBoundS));
	returnFrom(system.store, copy);
	EXPECT_TRUE(
		eventually([this] { return system.log().find("event=store_returned") != std::string::npos; }));
	EXPECT_TRUE(isOnlyUsed(one)) << "the copy has no order; the operator writes it again";
	setItem(system.store, "op/evacuate/hall-b", "{}");
	sleepFor(kKeptForMs);
	EXPECT_TRUE(isOnlyUsed(one));
	removeItem(system.store, "op/evacuate/hall-b");
	setItem(system.store, "op/evacuate/hall-a", "{}");
	EXPECT_TRUE(eventually([this] { return isOnlyUsed(two); }, kBoundS)) << system.log();
}

TEST_F(StoreReturn, OfAnEraThatIsNotToldOrIsRubbishEndsNothing)
{
	for (const char* era : {"", "rubbish", "-3", "99999999999999999999", "0"})
	{
		system.store.era = era;
		system.config["routes"][0]["path_prefix"] = "/plain/";
		system.writeConfig();
		sleepFor(300);
		EXPECT_EQ(status(), 200) << era;
	}
	system.config["routes"][0]["path_prefix"] = "/moved/";
	system.writeConfig();
	EXPECT_TRUE(eventually([this] { return status("/moved/x") == 200; }, kBoundS)) << system.log();
}

TEST_F(StoreReturn, TwiceInARowIsFollowed)
{
	returnFrom(system.store, copy);
	sleepFor(300);
	returnFrom(system.store, copy);
	system.config["routes"][0]["path_prefix"] = "/moved/";
	system.writeConfig();
	EXPECT_TRUE(eventually([this] { return status("/moved/x") == 200; }, kBoundS)) << system.log();
}

/// The same on routers that follow one another.
struct FleetReturn : FleetTest
{
};

TEST_F(FleetReturn, WhatIsWrittenAfterItIsInForceOnAllRoutersAndTheyRegisterAgain)
{
	const StoreCopy copy = copyOf(store);
	for (int ii = 0; ii < kChanges; ++ii)
	{
		writeConfig();
	}
	sleepFor(1500);
	returnFrom(store, copy);
	removeKey();
	EXPECT_TRUE(eventually([this] { return allAnswer("other-key", 401); }, kBoundS));
	EXPECT_TRUE(allAnswer("kept-key", 200));
	sleepFor(3000);
	EXPECT_TRUE(eventually([this] { return watchers() == 1; }));
	EXPECT_TRUE(allAnswer("other-key", 401));
}

/// A router that starts blank while the store, back from an older copy, still has a key that was removed.
struct BlankReturn : FleetReturn
{
	static constexpr size_t kBlank = 1;

	/// @param[in] _leasesKept The copy has the routers' registrations.
	void startBlankBesideTheCopy(bool _leasesKept)
	{
		StoreCopy copy = copyOf(store);
		removeKey();
		EXPECT_TRUE(eventually([this] { return allAnswer("other-key", 401); }, kBoundS));
		routers[kBlank]->killHard();
		for (auto at = copy.items.begin(); !_leasesKept && at != copy.items.end();)
		{
			at = at->second.lease != 0 ? copy.items.erase(at) : std::next(at);
		}
		returnFrom(store, copy);
		routers[kBlank]->start();
	}

	/// The removed key never works, and the other one does before the operator has written again.
	void expectTheNewerConfiguration()
	{
		constexpr uint32_t kWatchedS = 8;
		EXPECT_TRUE(eventually(
			[this] {
				EXPECT_NE(call(kBlank, "other-key"), 200);
				return call(kBlank, "kept-key") == 200;
			},
			kWatchedS))
			<< routers[kBlank]->log();
		for (int ii = 0; ii < 20; ++ii)
		{
			EXPECT_EQ(call(kBlank, "other-key"), 401);
			sleepFor(50);
		}
		writeConfig();
		EXPECT_TRUE(eventually([this] { return allAnswer("kept-key", 200); }, kBoundS));
		EXPECT_TRUE(allAnswer("other-key", 401));
	}
};

// A removed key worked again at a router that started blank beside such a store, though the others knew
// better.
TEST_F(BlankReturn, DoesNotBringARemovedKeyBack)
{
	startBlankBesideTheCopy(true);
	expectTheNewerConfiguration();
}

// The same where the others have to register again first.
TEST_F(BlankReturn, DoesNotBringARemovedKeyBackWhereTheRegistrationsAreGone)
{
	startBlankBesideTheCopy(false);
	expectTheNewerConfiguration();
}
} // namespace
} // namespace spanplank
