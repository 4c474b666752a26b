/// What a router makes of a call that is under way when the record of its upstream's restart arrives.
#include "spanplank/upstream_restart.h"

#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kNow = 1000 * kSecond;

/// A call whose connection was opened a second ago at the address of the new incarnation.
CallAtRestart callWithoutEvidence()
{
	CallAtRestart call;
	call.sameAddress = true;
	call.openedAt = kNow - kSecond;
	return call;
}

TEST(UpstreamRestart, ACallEndsIfTheNewIncarnationHasAnotherAddress)
{
	CallAtRestart call = callWithoutEvidence();
	call.sameAddress = false;
	call.startedBy = kNow - 2 * kSecond;
	EXPECT_EQ(evidenceOf(call), RestartEvidence::OtherAddress);
	EXPECT_EQ(verdictOn(evidenceOf(call), false), RestartVerdict::Ended);
}

TEST(UpstreamRestart, ACallEndsIfItIsNotConnected)
{
	CallAtRestart call = callWithoutEvidence();
	call.openedAt = 0;
	EXPECT_EQ(evidenceOf(call), RestartEvidence::NotConnected);
	EXPECT_EQ(verdictOn(evidenceOf(call), false), RestartVerdict::Ended);
}

TEST(UpstreamRestart, ACallIsKeptIfItsConnectionWasOpenedAfterTheStart)
{
	CallAtRestart call = callWithoutEvidence();
	call.startedBy = call.openedAt;
	EXPECT_EQ(evidenceOf(call), RestartEvidence::OpenedAfterStart);
	EXPECT_EQ(verdictOn(evidenceOf(call), false), RestartVerdict::Kept);
	call.startedBy = call.openedAt + 1;
	EXPECT_EQ(evidenceOf(call), RestartEvidence::None);
}

// A start that is stated as 2.4 s ago may have been a moment ago: clocks of boxes jump by so much. A call
// from between was taken for one at the new incarnation, and waited there for its own limit.
TEST(UpstreamRestart, AStatedStartTellsNothingWithinTheDifferenceOfClocks)
{
	constexpr TimeUs kWall = 1700000000 * kSecond;
	const auto by = [](TimeUs _age) {
		return startedBy(uint64_t((kWall - _age) / kMsToUs), kWall, kNow);
	};
	EXPECT_FALSE(by(2400 * kMsToUs));
	EXPECT_FALSE(by(-2400 * kMsToUs));
	EXPECT_FALSE(by(kMaxClockDifference));
	EXPECT_EQ(by(kMaxClockDifference + 2 * kSecond), kNow - 2 * kSecond);
	EXPECT_TRUE(by(kMaxStartAge));
	EXPECT_FALSE(by(kMaxStartAge + kSecond));
	EXPECT_FALSE(startedBy(0, kWall, kNow));
}

TEST(UpstreamRestart, ACallWithoutEvidenceEndsOnlyIfAnotherAttemptTakesItsPlace)
{
	EXPECT_EQ(verdictOn(evidenceOf(callWithoutEvidence()), true), RestartVerdict::Ended);
	EXPECT_EQ(verdictOn(evidenceOf(callWithoutEvidence()), false), RestartVerdict::Doubted);
}

TEST(UpstreamRestart, ADoubtedCallIsWaitedForUntilItsAnswerIsLate)
{
	EXPECT_EQ(silenceLimit(0, kNow), kNow + kSilenceAfterRestart);
	EXPECT_EQ(silenceLimit(kNow - kSecond, kNow), kNow + kSilenceAfterRestart);
	EXPECT_EQ(silenceLimit(kNow + 3 * kSecond, kNow), kNow + 3 * kSecond);
}
} // namespace
} // namespace spanplank
