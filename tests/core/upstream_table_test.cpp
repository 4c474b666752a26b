/// Upstreams of direct mode: registrations, outages of the store, health by own traffic, the choice.
#include "spanplank/upstream_table.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;

UpstreamRecord record(const std::string& _id, const std::string& _hall = "a",
					  const std::string& _version = "v1")
{
	UpstreamRecord upstream;
	upstream.id = _id;
	upstream.service = "llm";
	upstream.address = "10.0.0.1:80";
	upstream.hall = _hall;
	upstream.version = _version;
	return upstream;
}

UpstreamQuery query()
{
	UpstreamQuery query;
	query.service = "llm";
	query.hall = "a";
	return query;
}

struct TableTest : testing::Test
{
	UpstreamTable table;
	Random random{1};

	std::string pick(const UpstreamQuery& _query, TimeUs _now)
	{
		const UpstreamId id = pickDirectUpstream(table, _query, _now, random);
		return isValid(id) ? table.entries.at(id.idx).record.id : "";
	}

	/// The store proves nothing between two moments, and this process runs all the time.
	void beAway(TimeUs _from, TimeUs _to)
	{
		recordStoreConfirmation(table.contact, _from, _from);
		for (TimeUs now = _from; now < _to; now += kRunCheckPeriodMs * kMsToUs)
		{
			recordRunning(table.contact, now);
		}
		recordStoreConfirmation(table.contact, _to, _to);
	}

	void fail(UpstreamId _id, HealthOutcome _sign, TimeUs _now)
	{
		recordSent(table, _id, query(), _now);
		recordEnded(table, _id, 0.0, _sign, _now);
	}
};

TEST_F(TableTest, AnUpstreamThatLeavesGetsNothingAndDoesNotComeBackUnderItsId)
{
	UpstreamRecord leaving = record("one");
	registerUpstream(table, leaving);
	EXPECT_EQ(pick(query(), 0), "one");
	leaving.draining = true;
	registerUpstream(table, leaving);
	EXPECT_EQ(pick(query(), 0), "");
	leaving.draining = false;
	registerUpstream(table, leaving);
	EXPECT_EQ(pick(query(), 0), "");
}

TEST_F(TableTest, ARequestLimitedToRegionsGoesToTheirUpstreamsAloneAndIsRememberedThere)
{
	registerUpstream(table, record("near", "a"));
	table.receivesPeerUpdates = true;
	UpstreamQuery limited = query();
	limited.shared = {{77, 500}};
	limited.limit = limitHalls({{"a", "south"}, {"b", "north"}}, {"north"}, {});
	EXPECT_EQ(pick(limited, 0), "");
	EXPECT_EQ(noUpstreamReason(table, limited, 0), NoUpstream::Regions);
	const UpstreamId far = registerUpstream(table, record("far", "b"));
	EXPECT_EQ(pick(limited, 0), "far");
	recordSent(table, far, limited, 0);
	EXPECT_TRUE(table.newHomes.empty()) << "told to routers of other regions";
	limited.limit = {};
	recordSent(table, far, limited, 20 * kSecond);
	EXPECT_EQ(table.newHomes.size(), 1u);
}

TEST_F(TableTest, ARegistrationThatGoesInCalmTimesEndsAtOnce)
{
	registerUpstream(table, record("one"));
	unregisterUpstream(table, "one", 10 * kSecond);
	EXPECT_EQ(pick(query(), 10 * kSecond), "");
}

TEST_F(TableTest, ARegistrationThatGoesInAnOutageIsGivenTimeToReturnAndThenEnds)
{
	registerUpstream(table, record("one"));
	beAway(5 * kSecond, 10 * kSecond);
	replaceRegistrations(table, {}, 10 * kSecond);
	EXPECT_EQ(pick(query(), 10 * kSecond + 1700 * kMsToUs), "one");
	EXPECT_EQ(pick(query(), 10 * kSecond + 1800 * kMsToUs), "") << "it may have left: the bound is 2 s";
	registerUpstream(table, record("one"));
	EXPECT_EQ(pick(query(), 13 * kSecond), "one");
}

TEST_F(TableTest, WhereTheBoundIsLongAnUpstreamHasAsLongToReturnAsLiveOnesTake)
{
	table.drainBound = 10 * kSecond;
	registerUpstream(table, record("one"));
	beAway(5 * kSecond, 10 * kSecond);
	replaceRegistrations(table, {}, 10 * kSecond);
	EXPECT_EQ(pick(query(), 12 * kSecond), "one");
	EXPECT_EQ(pick(query(), 13 * kSecond), "");
}

TEST_F(TableTest, ALapsedUpstreamThatMayHaveLeftIsNotUsedBesideOthersUpToTheBound)
{
	registerUpstream(table, record("lapsed"));
	registerUpstream(table, record("other", "b"));
	beAway(5 * kSecond, 10 * kSecond);
	unregisterUpstream(table, "lapsed", 10 * kSecond);
	EXPECT_EQ(pick(query(), 11 * kSecond), "lapsed");
	EXPECT_EQ(pick(query(), 10 * kSecond + 1700 * kMsToUs), "other");
}

TEST_F(TableTest, TheTimeToReturnCountsFromTheStoresReturnAndNotFromWhenTheRegistrationWasMissed)
{
	registerUpstream(table, record("one"));
	beAway(5 * kSecond, 10 * kSecond);
	unregisterUpstream(table, "one", 10 * kSecond + 900 * kMsToUs);
	EXPECT_EQ(pick(query(), 10 * kSecond + 1700 * kMsToUs), "one");
	EXPECT_EQ(pick(query(), 10 * kSecond + 1800 * kMsToUs), "");
}

TEST_F(TableTest, AnUpstreamThatSaidThatItLeavesIsNotUsedAfterAnOutageEither)
{
	UpstreamRecord leaving = record("one");
	leaving.draining = true;
	registerUpstream(table, record("one"));
	registerUpstream(table, leaving);
	beAway(5 * kSecond, 10 * kSecond);
	unregisterUpstream(table, "one", 10 * kSecond);
	EXPECT_EQ(pick(query(), 10 * kSecond), "");
}

TEST_F(TableTest, WhatWasChosenMayBeSentWhileTheUpstreamIsThereOrMayReturn)
{
	const UpstreamId one = registerUpstream(table, record("one"));
	const UpstreamId two = registerUpstream(table, record("two"));
	EXPECT_TRUE(maySendTo(table, one, 0));
	EXPECT_FALSE(maySendTo(table, UpstreamId{99}, 0));
	unregisterUpstream(table, "one", kSecond);
	EXPECT_FALSE(maySendTo(table, one, kSecond));
	beAway(5 * kSecond, 10 * kSecond);
	unregisterUpstream(table, "two", 10 * kSecond);
	EXPECT_TRUE(maySendTo(table, two, 10 * kSecond + 1700 * kMsToUs)) << "chosen as there was none else";
	EXPECT_FALSE(maySendTo(table, two, 10 * kSecond + 1800 * kMsToUs));
	UpstreamRecord leaving = record("three");
	leaving.draining = true;
	EXPECT_FALSE(maySendTo(table, registerUpstream(table, leaving), 0));
}

TEST_F(TableTest, AnUnreachableUpstreamIsAvoidedAndTriedAgainByOneRepeatableRequest)
{
	const UpstreamId bad = registerUpstream(table, record("bad"));
	registerUpstream(table, record("good", "b"));
	fail(bad, HealthOutcome::Unreachable, 0);
	EXPECT_EQ(pick(query(), 1), "good");
	const TimeUs later = 3 * kSecond;
	EXPECT_EQ(pick(query(), later), "good") << "a request that can't be repeated is no trial";
	UpstreamQuery repeatable = query();
	repeatable.repeatable = true;
	EXPECT_EQ(pick(repeatable, later), "bad");
	recordSent(table, bad, repeatable, later);
	EXPECT_EQ(pick(repeatable, later), "good") << "one trial at a time";
	EXPECT_EQ(recordEnded(table, bad, 0.0, HealthOutcome::Good, later), HealthChange::Returned);
	EXPECT_EQ(pick(query(), later), "bad");
}

TEST_F(TableTest, WithAllEjectedAnyIsBetterThanNone)
{
	const UpstreamId only = registerUpstream(table, record("only"));
	fail(only, HealthOutcome::Unreachable, 0);
	EXPECT_EQ(pick(query(), 1), "only");
}

TEST_F(TableTest, ARateThatServicesHaveByThemselvesDoesNotEject)
{
	const UpstreamId one = registerUpstream(table, record("one"));
	registerUpstream(table, record("two", "b"));
	Random luck{7};
	uint32_t ejected = 0;
	for (uint32_t ii = 0; ii < 2000; ++ii)
	{
		fail(one, nextUnit(luck) < 0.14 ? HealthOutcome::Failed : HealthOutcome::Good, ii * kSecond);
		ejected += table.entries.at(one.idx).health.ejections > 0 ? 1 : 0;
	}
	EXPECT_LT(ejected, 100u);
}

TEST_F(TableTest, RequestsThatShareAPromptPartMeetAtOneUpstreamUntilItIsLoaded)
{
	for (int ii = 0; ii < 6; ++ii)
	{
		registerUpstream(table, record(fmt::format("u{}", ii)));
	}
	UpstreamQuery shared = query();
	shared.shared = {{42, 4000}};
	shared.ownTokens = 2000; // Read anew each time.
	const std::string home = pick(shared, 0);
	for (int ii = 0; ii < 20; ++ii)
	{
		EXPECT_EQ(pick(shared, 0), home);
	}
	const UpstreamId id{table.idxOfId.at(home)};
	for (int ii = 0; ii < 20; ++ii)
	{
		recordSent(table, id, shared, 0);
	}
	EXPECT_NE(pick(shared, 0), home);
}

TEST_F(TableTest, AKeptFirstPartDoesNotTieAPromptToALoadedHome)
{
	for (int ii = 0; ii < 4; ++ii)
	{
		registerUpstream(table, record(fmt::format("u{}", ii)));
	}
	UpstreamQuery prompt = query();
	prompt.shared = {{7, 2000}, {8, 2000}};
	UpstreamQuery sibling = query();
	sibling.shared = {{7, 2000}, {9, 2000}};
	// An upstream that is the first of neither order, so that nothing is presumed of it.
	UpstreamId home;
	const double whole = prefillMsAt(table, prompt, UpstreamId{99}, 0);
	for (uint32_t ii = 0; ii < 4; ++ii)
	{
		const bool plain = prefillMsAt(table, prompt, UpstreamId{ii}, 0) == whole &&
						   prefillMsAt(table, sibling, UpstreamId{ii}, 0) == whole;
		home = plain ? UpstreamId{ii} : home;
	}
	ASSERT_TRUE(isValid(home));
	EXPECT_EQ(recordSent(table, home, prompt, 0), whole);
	EXPECT_EQ(prefillMsAt(table, prompt, home, 1), 0.0) << "both parts are kept now";
	EXPECT_NEAR(prefillMsAt(table, sibling, home, 1), whole / 2, 1.0)
		<< "the first part is kept, the second is not";
}

TEST_F(TableTest, TheFirstOfTheOrderIsPresumedToKeepMostOfWhatOthersSentThere)
{
	for (int ii = 0; ii < 4; ++ii)
	{
		registerUpstream(table, record(fmt::format("u{}", ii)));
	}
	UpstreamQuery prompt = query();
	prompt.shared = {{7, 2000}, {8, 2000}};
	prompt.ownTokens = 1000;
	const UpstreamId home{table.idxOfId.at(pick(prompt, 0))};
	const double whole = prefillMsAt(table, prompt, UpstreamId{99}, 0);
	EXPECT_LT(prefillMsAt(table, prompt, home, 0), 0.4 * whole);
	EXPECT_GT(prefillMsAt(table, prompt, home, 0), 0.2 * whole) << "its own part is read in any case";
}

TEST_F(TableTest, AHomeThatWouldBeLateIsLeftForOneThatIsInTime)
{
	for (int ii = 0; ii < 4; ++ii)
	{
		registerUpstream(table, record(fmt::format("u{}", ii)));
	}
	UpstreamQuery prompt = query();
	prompt.shared = {{7, 6000}};
	prompt.ownTokens = 1000;
	const std::string home = pick(prompt, 0);
	table.receivesPeerUpdates = true;
	// At 0.02 ms a token: 26 ms of reading and 61 of waiting there; 44 or more of reading elsewhere.
	table.entries.at(table.idxOfId.at(home)).others = {60.0, 4};
	EXPECT_EQ(pick(prompt, 0), home) << "reading it elsewhere costs more than this wait";
	prompt.firstTokenTargetMs = 80.0;
	EXPECT_NE(pick(prompt, 0), home);
	prompt.firstTokenTargetMs = 1.0;
	EXPECT_NE(pick(prompt, 0), home) << "none is in time: the soonest";
}

TEST_F(TableTest, APromptCrossesToAnotherHallForALargeKeptPartOrToBeInTimeAndNotForLess)
{
	registerUpstream(table, record("near", "a"));
	registerUpstream(table, record("far", "b"));
	const UpstreamId near{table.idxOfId.at("near")};
	const UpstreamId far{table.idxOfId.at("far")};
	table.receivesPeerUpdates = true;
	recordPeerHome(table, {7, keyOf("far")}, 0);
	UpstreamQuery prompt = query();
	prompt.shared = {{7, 3000}}; // 60 ms of reading at the pace before any was measured.
	prompt.firstTokenTargetMs = 1000.0;
	EXPECT_EQ(pick(prompt, 0), "near") << "reading it again costs less than the bytes";
	prompt.shared = {{7, 13000}};
	EXPECT_EQ(pick(prompt, 0), "far") << "reading it again costs more than the bytes";
	prompt.shared = {{7, 3000}};
	table.entries.at(near.idx).prefillMs = 2000.0;
	EXPECT_EQ(pick(prompt, 0), "far") << "the near one would be late";
	EXPECT_NEAR(expectedFirstTokenMs(table, prompt, far, 0), 0.0, 1.0) << "its price is no time";
}

TEST_F(TableTest, WhatOtherRoutersHaveWaitingCountsForPrompts)
{
	for (int ii = 0; ii < 4; ++ii)
	{
		registerUpstream(table, record(fmt::format("u{}", ii)));
	}
	UpstreamQuery prompt = query();
	prompt.shared = {{7, 2000}};
	const std::string home = pick(prompt, 0);
	table.receivesPeerUpdates = true;
	table.entries.at(table.idxOfId.at(home)).others = {500.0, 4};
	EXPECT_NE(pick(prompt, 0), home);
	EXPECT_GT(expectedWaitMs(table, UpstreamId{table.idxOfId.at(home)}), 500.0);
}

TEST_F(TableTest, AVersionCanBeAskedForOrExcluded)
{
	registerUpstream(table, record("old", "a", "v1"));
	registerUpstream(table, record("new", "a", "v2"));
	UpstreamQuery versions = query();
	versions.version = "v2";
	EXPECT_EQ(pick(versions, 0), "new");
	versions.version = "";
	versions.notVersion = "v2";
	EXPECT_EQ(pick(versions, 0), "old");
}

TEST_F(TableTest, UpstreamsThatAreGoneAreForgotten)
{
	registerUpstream(table, record("one"));
	unregisterUpstream(table, "one", 0);
	removeGoneUpstreams(table, 60 * kSecond);
	EXPECT_TRUE(table.entries.empty());
	EXPECT_TRUE(table.idxOfId.empty());
}

TEST_F(TableTest, AnUpstreamThatStartsAgainUnderItsIdHasNothingOfTheOneBefore)
{
	UpstreamRecord one = record("one");
	one.startedAtMs = 1000;
	const UpstreamId before = registerUpstream(table, one);
	for (int ii = 0; ii < 3; ++ii)
	{
		fail(before, HealthOutcome::Unreachable, kSecond);
	}
	recordSent(table, before, query(), kSecond);
	one.draining = true;
	registerUpstream(table, one);
	one.draining = false;
	one.startedAtMs = 2000;
	const UpstreamId after = registerUpstream(table, one, 2 * kSecond);
	EXPECT_FALSE(before == after) << "what a request has tried is another upstream";
	const UpstreamEntry& entry = table.entries.at(after.idx);
	EXPECT_EQ(entry.inFlight, 0u);
	EXPECT_EQ(entry.health.ejections, 0u);
	EXPECT_NE(entry.key, table.entries.at(before.idx).key)
		<< "loads and homes that others told are not its own";
	EXPECT_EQ(pick(query(), 2 * kSecond), "one");
	EXPECT_FALSE(maySendTo(table, before, 2 * kSecond));
	recordEnded(table, before, 0.0, HealthOutcome::Good, 3 * kSecond);
	removeGoneUpstreams(table, 60 * kSecond);
	EXPECT_EQ(table.entries.count(before.idx), 0u);
	EXPECT_EQ(pick(query(), 60 * kSecond), "one") << "forgetting the one before keeps the new one's name";
}

TEST_F(TableTest, ARecordOfAnOlderLifeChangesNothingByWhateverWayItComes)
{
	UpstreamRecord one = record("one");
	one.startedAtMs = 2000;
	registerUpstream(table, one);
	UpstreamRecord old = record("one");
	old.startedAtMs = 1000;
	old.draining = true;
	EXPECT_EQ(incarnationOrder(table, old), IncarnationOrder::Older);
	registerUpstream(table, old);
	EXPECT_EQ(pick(query(), 0), "one");
	EXPECT_TRUE(replaceRegistrations(table, {&old, 1}, kSecond).empty());
	EXPECT_EQ(pick(query(), kSecond), "one");
}

TEST_F(TableTest, ARecordThatTellsNoStartIsTakenForTheOneThatIsKnown)
{
	UpstreamRecord one = record("one");
	one.startedAtMs = 2000;
	registerUpstream(table, one);
	one.draining = true;
	one.startedAtMs = 0;
	registerUpstream(table, one);
	EXPECT_EQ(pick(query(), 0), "");
	one.draining = false;
	registerUpstream(table, one);
	EXPECT_EQ(pick(query(), 0), "") << "it has not started again";
}
} // namespace
} // namespace spanplank
