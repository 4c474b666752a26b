/// Upstreams of direct mode: registrations, store outages, health and choice.
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
	upstream.address = {"10.0.0.1", 80};
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

	/// Simulates a store outage during which this process keeps running.
	void simulateOutage(TimeUs _from, TimeUs _to)
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

TEST_F(TableTest, ADrainingUpstreamGetsNothingAndStaysDrainingUnderItsId)
{
	UpstreamRecord draining = record("one");
	registerUpstream(table, draining);
	EXPECT_EQ(pick(query(), 0), "one");
	draining.draining = true;
	registerUpstream(table, draining);
	EXPECT_EQ(pick(query(), 0), "");
	draining.draining = false;
	registerUpstream(table, draining);
	EXPECT_EQ(pick(query(), 0), "");
}

TEST_F(TableTest, AnUpstreamWhoseAnswerSaysThatItLeavesDoesSoWhateverItsRecordSays)
{
	UpstreamRecord one = record("one");
	one.startedAtMs = 1000;
	const UpstreamId leaving = registerUpstream(table, one);
	EXPECT_TRUE(recordLeaving(table, leaving));
	EXPECT_FALSE(recordLeaving(table, leaving)) << "known";
	EXPECT_EQ(pick(query(), 0), "");
	EXPECT_FALSE(maySendTo(table, leaving, 0)) << "chosen before";
	EXPECT_EQ(noUpstreamReason(table, query(), 0), NoUpstream::None);
	replaceRegistrations(table, {&one, 1}, kSecond);
	EXPECT_EQ(pick(query(), kSecond), "") << "listed as ready";
	simulateOutage(kSecond, 20 * kSecond);
	unregisterUpstream(table, "one", 20 * kSecond);
	EXPECT_EQ(pick(query(), 20 * kSecond), "") << "no lapse";
	registerUpstream(table, one, 21 * kSecond);
	EXPECT_EQ(pick(query(), 21 * kSecond), "") << "registered again";
	one.startedAtMs = 2000;
	registerUpstream(table, one, 22 * kSecond);
	EXPECT_EQ(pick(query(), 22 * kSecond), "one") << "started again";
}

TEST_F(TableTest, ARequestLimitedToRegionsGoesToTheirUpstreamsAloneAndIsRememberedThere)
{
	registerUpstream(table, record("near", "a"));
	table.receivesPeerUpdates = true;
	UpstreamQuery limited = query();
	limited.shared = {{77, 500}};
	limited.limit = limitHalls({{"a", "south"}, {"b", "north"}}, std::vector<std::string>{"north"}, {});
	EXPECT_EQ(pick(limited, 0), "");
	EXPECT_EQ(noUpstreamReason(table, limited, 0), NoUpstream::Regions);
	const UpstreamId far = registerUpstream(table, record("far", "b"));
	EXPECT_EQ(pick(limited, 0), "far");
	recordSent(table, far, limited, 0);
	EXPECT_TRUE(table.newHomes.empty()) << "sent to routers of other regions";
	limited.limit = {};
	recordSent(table, far, limited, 20 * kSecond);
	EXPECT_EQ(table.newHomes.size(), 1u);
}

TEST_F(TableTest, ARegistrationRemovedWhileTheStoreIsReachableEndsAtOnce)
{
	registerUpstream(table, record("one"));
	unregisterUpstream(table, "one", 10 * kSecond);
	EXPECT_EQ(pick(query(), 10 * kSecond), "");
}

TEST_F(TableTest, ARegistrationRemovedInAnOutageHasAGracePeriodAndThenEnds)
{
	registerUpstream(table, record("one"));
	simulateOutage(5 * kSecond, 10 * kSecond);
	replaceRegistrations(table, {}, 10 * kSecond);
	EXPECT_EQ(pick(query(), 10 * kSecond + 1700 * kMsToUs), "one");
	EXPECT_EQ(pick(query(), 10 * kSecond + 1800 * kMsToUs), "") << "it may have shut down: the bound is 2 s";
	registerUpstream(table, record("one"));
	EXPECT_EQ(pick(query(), 13 * kSecond), "one");
}

TEST_F(TableTest, WithALongDrainBoundTheGracePeriodIsThatOfRunningUpstreams)
{
	table.drainBound = 10 * kSecond;
	registerUpstream(table, record("one"));
	simulateOutage(5 * kSecond, 10 * kSecond);
	replaceRegistrations(table, {}, 10 * kSecond);
	EXPECT_EQ(pick(query(), 12 * kSecond), "one");
	EXPECT_EQ(pick(query(), 13 * kSecond), "");
}

TEST_F(TableTest, ALapsedUpstreamIsUsedBesideOthersOnlyForAShareOfTheBound)
{
	registerUpstream(table, record("lapsed"));
	registerUpstream(table, record("other", "b"));
	simulateOutage(5 * kSecond, 10 * kSecond);
	unregisterUpstream(table, "lapsed", 10 * kSecond);
	EXPECT_EQ(pick(query(), 11 * kSecond), "lapsed");
	EXPECT_EQ(pick(query(), 10 * kSecond + 1700 * kMsToUs), "other");
}

TEST_F(TableTest, TheGracePeriodCountsFromTheEndOfTheOutageAndNotFromTheLossOfTheRegistration)
{
	registerUpstream(table, record("one"));
	simulateOutage(5 * kSecond, 10 * kSecond);
	unregisterUpstream(table, "one", 10 * kSecond + 900 * kMsToUs);
	EXPECT_EQ(pick(query(), 10 * kSecond + 1700 * kMsToUs), "one");
	EXPECT_EQ(pick(query(), 10 * kSecond + 1800 * kMsToUs), "");
}

TEST_F(TableTest, ADrainingUpstreamIsNotUsedAfterAnOutageEither)
{
	UpstreamRecord draining = record("one");
	draining.draining = true;
	registerUpstream(table, record("one"));
	registerUpstream(table, draining);
	simulateOutage(5 * kSecond, 10 * kSecond);
	unregisterUpstream(table, "one", 10 * kSecond);
	EXPECT_EQ(pick(query(), 10 * kSecond), "");
}

TEST_F(TableTest, ARequestMayBeSentWhileItsUpstreamIsRegisteredOrInItsGracePeriod)
{
	const UpstreamId one = registerUpstream(table, record("one"));
	const UpstreamId two = registerUpstream(table, record("two"));
	EXPECT_TRUE(maySendTo(table, one, 0));
	EXPECT_FALSE(maySendTo(table, UpstreamId{99}, 0));
	unregisterUpstream(table, "one", kSecond);
	EXPECT_FALSE(maySendTo(table, one, kSecond));
	simulateOutage(5 * kSecond, 10 * kSecond);
	unregisterUpstream(table, "two", 10 * kSecond);
	EXPECT_TRUE(maySendTo(table, two, 10 * kSecond + 1700 * kMsToUs)) << "chosen as there was no other";
	EXPECT_FALSE(maySendTo(table, two, 10 * kSecond + 1800 * kMsToUs));
	UpstreamRecord draining = record("three");
	draining.draining = true;
	EXPECT_FALSE(maySendTo(table, registerUpstream(table, draining), 0));
}

TEST_F(TableTest, AnUnreachableUpstreamIsAvoidedAndTriedAgainByOneRepeatableRequest)
{
	const UpstreamId bad = registerUpstream(table, record("bad"));
	registerUpstream(table, record("good", "b"));
	fail(bad, HealthOutcome::Unreachable, 0);
	EXPECT_EQ(pick(query(), 1), "good");
	const TimeUs later = 3 * kSecond;
	EXPECT_EQ(pick(query(), later), "good") << "a request that can't be repeated is no probe";
	UpstreamQuery repeatable = query();
	repeatable.repeatable = true;
	EXPECT_EQ(pick(repeatable, later), "bad");
	recordSent(table, bad, repeatable, later);
	EXPECT_EQ(pick(repeatable, later), "good") << "one probe at a time";
	EXPECT_EQ(recordEnded(table, bad, 0.0, HealthOutcome::Good, later), HealthChange::Returned);
	EXPECT_EQ(pick(query(), later), "bad");
}

TEST_F(TableTest, WithAllEjectedAnyIsBetterThanNone)
{
	const UpstreamId only = registerUpstream(table, record("only"));
	fail(only, HealthOutcome::Unreachable, 0);
	EXPECT_EQ(pick(query(), 1), "only");
}

TEST_F(TableTest, TheUsualFailureRateOfAServiceDoesNotEject)
{
	const UpstreamId one = registerUpstream(table, record("one"));
	registerUpstream(table, record("two", "b"));
	Random chance{7};
	uint32_t ejected = 0;
	for (uint32_t ii = 0; ii < 2000; ++ii)
	{
		fail(one, nextUnit(chance) < 0.14 ? HealthOutcome::Failed : HealthOutcome::Good, ii * kSecond);
		ejected += table.entries.at(one.idx).health.ejections > 0 ? 1 : 0;
	}
	EXPECT_LT(ejected, 100u);
}

TEST_F(TableTest, RequestsThatShareAPromptPartGoToOneUpstreamUntilItIsLoaded)
{
	for (int ii = 0; ii < 6; ++ii)
	{
		registerUpstream(table, record(fmt::format("u{}", ii)));
	}
	UpstreamQuery shared = query();
	shared.shared = {{42, 4000}};
	shared.ownTokens = 2000; // Read again each time.
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

TEST_F(TableTest, ACachedFirstPartDoesNotBindAPromptToALoadedHome)
{
	for (int ii = 0; ii < 4; ++ii)
	{
		registerUpstream(table, record(fmt::format("u{}", ii)));
	}
	UpstreamQuery prompt = query();
	prompt.shared = {{7, 2000}, {8, 2000}};
	UpstreamQuery sibling = query();
	sibling.shared = {{7, 2000}, {9, 2000}};
	// An upstream that is presumed to have cached neither prompt.
	UpstreamId home;
	const double uncachedMs = prefillMsAt(table, prompt, UpstreamId{99}, 0);
	for (uint32_t ii = 0; ii < 4; ++ii)
	{
		const bool plain = prefillMsAt(table, prompt, UpstreamId{ii}, 0) == uncachedMs &&
						   prefillMsAt(table, sibling, UpstreamId{ii}, 0) == uncachedMs;
		home = plain ? UpstreamId{ii} : home;
	}
	ASSERT_TRUE(isValid(home));
	EXPECT_EQ(recordSent(table, home, prompt, 0), uncachedMs);
	EXPECT_EQ(prefillMsAt(table, prompt, home, 1), 0.0) << "both parts are cached now";
	EXPECT_NEAR(prefillMsAt(table, sibling, home, 1), uncachedMs / 2, 1.0)
		<< "the first part is cached, the second is not";
}

TEST_F(TableTest, TheFirstOfTheOrderIsPresumedToHaveCachedMostOfWhatOthersSentThere)
{
	for (int ii = 0; ii < 4; ++ii)
	{
		registerUpstream(table, record(fmt::format("u{}", ii)));
	}
	UpstreamQuery prompt = query();
	prompt.shared = {{7, 2000}, {8, 2000}};
	prompt.ownTokens = 1000;
	const UpstreamId home{table.idxOfId.at(pick(prompt, 0))};
	const double uncachedMs = prefillMsAt(table, prompt, UpstreamId{99}, 0);
	EXPECT_LT(prefillMsAt(table, prompt, home, 0), 0.4 * uncachedMs);
	EXPECT_GT(prefillMsAt(table, prompt, home, 0), 0.2 * uncachedMs) << "its own part is read in any case";
}

TEST_F(TableTest, AnUpstreamThatIsInTimeIsPreferredToAHomeThatWouldBeLate)
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
	// At 0.02 ms a token: 26 ms of prefill and 61 of waiting there; 44 or more of prefill elsewhere.
	table.entries.at(table.idxOfId.at(home)).others = {60.0, 4};
	EXPECT_EQ(pick(prompt, 0), home) << "reading it elsewhere costs more than this wait";
	prompt.firstTokenTargetMs = 80.0;
	EXPECT_NE(pick(prompt, 0), home);
	prompt.firstTokenTargetMs = 1.0;
	EXPECT_NE(pick(prompt, 0), home) << "none is in time: the fastest";
}

TEST_F(TableTest, APromptGoesToAnotherHallOnlyForALargeCachedPartOrToBeInTime)
{
	registerUpstream(table, record("near", "a"));
	registerUpstream(table, record("far", "b"));
	const UpstreamId near{table.idxOfId.at("near")};
	const UpstreamId far{table.idxOfId.at("far")};
	table.receivesPeerUpdates = true;
	recordPeerHome(table, {7, keyOf("far")}, 0);
	UpstreamQuery prompt = query();
	prompt.shared = {{7, 3000}}; // 60 ms of prefill at the initial estimate.
	prompt.firstTokenTargetMs = 1000.0;
	EXPECT_EQ(pick(prompt, 0), "near") << "reading it again costs less than the bytes";
	prompt.shared = {{7, 13000}};
	EXPECT_EQ(pick(prompt, 0), "far") << "reading it again costs more than the bytes";
	prompt.shared = {{7, 3000}};
	table.entries.at(near.idx).prefillMs = 2000.0;
	EXPECT_EQ(pick(prompt, 0), "far") << "the near one would be late";
	EXPECT_NEAR(expectedFirstTokenMs(table, prompt, far, 0), 0.0, 1.0)
		<< "the cost of another hall is not time";
}

TEST_F(TableTest, WorkQueuedByOtherRoutersCountsForPrompts)
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

TEST_F(TableTest, AVersionCanBeRequiredOrExcluded)
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

TEST_F(TableTest, UpstreamsThatAreGoneAreRemoved)
{
	registerUpstream(table, record("one"));
	unregisterUpstream(table, "one", 0);
	removeGoneUpstreams(table, 60 * kSecond);
	EXPECT_TRUE(table.entries.empty());
	EXPECT_TRUE(table.idxOfId.empty());
}

TEST_F(TableTest, ANewIncarnationHasNoStateOfThePreviousOne)
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
	EXPECT_FALSE(before == after) << "a request that tried the previous one may try the new one";
	const UpstreamEntry& entry = table.entries.at(after.idx);
	EXPECT_EQ(entry.inFlight, 0u);
	EXPECT_EQ(entry.health.ejections, 0u);
	EXPECT_NE(entry.key, table.entries.at(before.idx).key)
		<< "loads and homes that others reported for the previous one are not its own";
	EXPECT_EQ(pick(query(), 2 * kSecond), "one");
	EXPECT_FALSE(maySendTo(table, before, 2 * kSecond));
	recordEnded(table, before, 0.0, HealthOutcome::Good, 3 * kSecond);
	removeGoneUpstreams(table, 60 * kSecond);
	EXPECT_EQ(table.entries.count(before.idx), 0u);
	EXPECT_EQ(pick(query(), 60 * kSecond), "one") << "removing the previous one keeps the id of the new one";
}

// Whatever start it states: clocks of boxes jump, the store's revisions do not.
TEST_F(TableTest, ARecordOfAnOlderIncarnationHasNoEffectHoweverItArrives)
{
	UpstreamRecord one = record("one");
	one.startedAtMs = 2000;
	one.revision = 20;
	registerUpstream(table, one);
	for (const uint64_t startedAtMs : {1000, 2000, 3000})
	{
		UpstreamRecord old = record("one");
		old.startedAtMs = startedAtMs;
		old.revision = 10;
		old.draining = true;
		EXPECT_EQ(incarnationOrder(table, old), IncarnationOrder::Older);
		registerUpstream(table, old);
		EXPECT_EQ(pick(query(), 0), "one");
		EXPECT_TRUE(replaceRegistrations(table, {&old, 1}, kSecond).empty());
		EXPECT_EQ(pick(query(), kSecond), "one");
	}
}

// An upstream that started again while the clock of its box was behind was not heard any more: it got
// requests while it left, and some were lost as it ended.
TEST_F(TableTest, AnUpstreamThatStatesALowerStartThanBeforeHasStartedAgain)
{
	UpstreamRecord one = record("one");
	one.startedAtMs = 2000;
	one.revision = 10;
	const UpstreamId before = registerUpstream(table, one);
	one.startedAtMs = 1600;
	one.revision = 11;
	EXPECT_EQ(incarnationOrder(table, one), IncarnationOrder::Newer);
	EXPECT_FALSE(registerUpstream(table, one) == before);
	EXPECT_EQ(pick(query(), 0), "one");
	one.draining = true;
	one.revision = 12;
	registerUpstream(table, one);
	EXPECT_EQ(pick(query(), 0), "");
}

TEST_F(TableTest, ARecordWithoutAStartTimeBelongsToTheKnownIncarnation)
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
	EXPECT_EQ(pick(query(), 0), "") << "it has not restarted";
}
} // namespace
} // namespace spanplank
