/// Detection of store outages from its confirmations and the stalls of this process.
#include "spanplank/store_contact.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kBegin = 100 * kSecond;

struct StoreContactTest : testing::Test
{
	StoreContact contact;
	TimeUs now = kBegin;

	StoreContactTest()
	{
		recordStoreConfirmation(contact, now, now);
	}

	void run(TimeUs _for)
	{
		for (const TimeUs until = now + _for; now < until;)
		{
			now = std::min(until, now + TimeUs(kRunCheckPeriodMs) * kMsToUs);
			recordRunning(contact, now);
		}
	}

	void stall(TimeUs _for)
	{
		now += _for;
	}

	RemovalCause cause() const
	{
		return assessRemoval(contact, now).cause;
	}
};

// Guards against counting two missed heartbeats as an outage, though a registration lapses after three.
// Twelve of thirty routers had no confirmation for 2947 ms, as the store rejected the first of them and the
// others followed each other, while it served all other routers. The twelve used an upstream that had shut
// down for up to 2.88 s after the first router had learned of it (upstream_unregistered why="store away"
// silence_ms="2958").
TEST_F(StoreContactTest, LessThanThreeHeartbeatsWithoutConfirmationAreNoOutage)
{
	run(2960 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
	EXPECT_FALSE(recordStoreConfirmation(contact, now, now));
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
}

TEST_F(StoreContactTest, ThreeHeartbeatsWithoutConfirmationAreAnOutage)
{
	run(3500 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
	run(100 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::StoreOutage);
	EXPECT_TRUE(recordStoreConfirmation(contact, now, now));
	EXPECT_EQ(cause(), RemovalCause::StoreRecovered);
	run(900 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::StoreRecovered);
	EXPECT_EQ(assessRemoval(contact, now).since, now - 900 * kMsToUs);
	run(100 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
}

TEST_F(StoreContactTest, LongerHeartbeatsTakeLongerToLapse)
{
	contact.heartbeatPeriod = 5 * kSecond;
	run(14 * kSecond);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
	run(1 * kSecond);
	EXPECT_EQ(cause(), RemovalCause::StoreOutage);
}

TEST_F(StoreContactTest, ShortHeartbeatsDoNotTurnTheGapsBetweenConfirmationsIntoAnOutage)
{
	contact.heartbeatPeriod = 200 * kMsToUs;
	run(2900 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
}

// A process that is not scheduled for seconds receives no confirmations, and its calls time out when it
// resumes. The store was reachable all along, so upstreams whose registrations were removed have shut down.
TEST_F(StoreContactTest, ATimeInWhichThisProcessWasNotRunIsNoOutage)
{
	run(500 * kMsToUs);
	stall(20 * kSecond);
	EXPECT_EQ(cause(), RemovalCause::Deregistered) << "before any step was recorded";
	run(500 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
	EXPECT_FALSE(recordStoreConfirmation(contact, now, now));
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
}

TEST_F(StoreContactTest, ACallThatWasUnderWayWhenTheProcessStoppedMakesNoOutageEither)
{
	run(500 * kMsToUs);
	const TimeUs sentAt = now;
	stall(20 * kSecond);
	EXPECT_FALSE(recordStoreConfirmation(contact, sentAt, now));
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
	run(kSecond);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
}

TEST_F(StoreContactTest, BeforeTheFirstConfirmationThereIsNoOutage)
{
	StoreContact unconfirmed;
	recordRunning(unconfirmed, kBegin);
	recordRunning(unconfirmed, kBegin + 300 * kMsToUs);
	EXPECT_EQ(assessRemoval(unconfirmed, kBegin + 300 * kMsToUs).cause, RemovalCause::Deregistered);
	EXPECT_FALSE(recordStoreConfirmation(unconfirmed, kBegin + 300 * kMsToUs, kBegin + 300 * kMsToUs));
}

/// Confirmations of a reachable store by slow answers, with stalls of the process at random points.
RC_GTEST_FIXTURE_PROP(StoreContactTest, AReachableStoreNeverCountsAsUnreachable, ())
{
	const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1900));
	for (const int step : steps)
	{
		const TimeUs sentAt = now;
		if (*rc::gen::inRange(0, 3) == 0)
		{
			stall(*rc::gen::inRange<TimeUs>(0, 30) * kSecond);
		}
		run(TimeUs(step) * kMsToUs / 2);
		RC_ASSERT(!recordStoreConfirmation(contact, sentAt, now));
		RC_ASSERT(cause() == RemovalCause::Deregistered);
		run(TimeUs(step) * kMsToUs / 2);
		RC_ASSERT(cause() == RemovalCause::Deregistered);
	}
}

/// An outage during which this process ran is detected, and still reported for a while after its end,
/// whatever came before.
RC_GTEST_FIXTURE_PROP(StoreContactTest, AnOutageIsSeenWhateverCameBefore, ())
{
	const auto before = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10000));
	for (const int step : before)
	{
		*rc::gen::arbitrary<bool>() ? run(TimeUs(step) * kMsToUs) : stall(TimeUs(step) * kMsToUs);
		recordStoreConfirmation(contact, now, now);
	}
	run(*rc::gen::inRange<TimeUs>(3600, 30000) * kMsToUs);
	RC_ASSERT(cause() == RemovalCause::StoreOutage);
	RC_ASSERT(recordStoreConfirmation(contact, now, now));
	RC_ASSERT(assessRemoval(contact, now).since == now);
	RC_ASSERT(cause() == RemovalCause::StoreRecovered);
}
} // namespace
} // namespace spanplank
