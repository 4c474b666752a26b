/// Outages of the store, judged by its proofs and by the times in which this process ran.
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

// Twelve of thirty routers had no proof for 2947 ms, as the store turned the first of them away and the
// others followed each other; the store served the rest all along. An upstream that left then was used by the
// twelve for up to 2.88 s after the first router had heard of it (upstream_unregistered why="store away"
// silence_ms="2958"): an outage counted from two heartbeats, though a registration lapses after three.
TEST_F(StoreContactTest, ATimeWithoutProofsThatIsShorterThanThreeHeartbeatsIsNoOutage)
{
	run(2960 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
	EXPECT_FALSE(recordStoreConfirmation(contact, now, now));
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
}

TEST_F(StoreContactTest, ProofsThatAreMissingForThreeHeartbeatsAreAnOutage)
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

TEST_F(StoreContactTest, ShortHeartbeatsMakeNoOutageOfTheGapsBetweenProofsOfAStoreThatIsThere)
{
	contact.heartbeatPeriod = 200 * kMsToUs;
	run(2900 * kMsToUs);
	EXPECT_EQ(cause(), RemovalCause::Deregistered);
}

// A process that is not run for seconds hears no proof either. Its calls time out when it wakes, and what
// went meanwhile has left: the store was there.
TEST_F(StoreContactTest, ATimeInWhichThisProcessWasNotRunIsNoOutage)
{
	run(500 * kMsToUs);
	stall(20 * kSecond);
	EXPECT_EQ(cause(), RemovalCause::Deregistered) << "before any step was noted";
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

TEST_F(StoreContactTest, BeforeTheFirstProofThereIsNoOutage)
{
	StoreContact unconfirmed;
	recordRunning(unconfirmed, kBegin);
	recordRunning(unconfirmed, kBegin + 300 * kMsToUs);
	EXPECT_EQ(assessRemoval(unconfirmed, kBegin + 300 * kMsToUs).cause, RemovalCause::Deregistered);
	EXPECT_FALSE(recordStoreConfirmation(unconfirmed, kBegin + 300 * kMsToUs, kBegin + 300 * kMsToUs));
}

/// Proofs of a store that is there, by an answer that took a while, with pauses of the process at any place.
RC_GTEST_FIXTURE_PROP(StoreContactTest, AStoreThatIsThereNeverCountsAsAway, ())
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

/// Whatever came before, an outage that this process lived through is seen, and for a while after its end.
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
