/// Attempts that were closed just before their upstream ended.
#include <gtest/gtest.h>

#include "spanplank/abandoned_attempts.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kNow = 100000 * kMsToUs;
constexpr UpstreamKey kUpstream = 7;

AbandonedAttempt closedAt(TimeUs _closed, const std::string& _id = "request")
{
	AbandonedAttempt attempt;
	attempt.subjects = makeSubjects({"town", "host", "POST", "/x", _id}, "engines", {"part"});
	attempt.requestId = _id;
	attempt.sentAt = _closed - 100 * kMsToUs;
	attempt.beganAt = _closed - 10 * kMsToUs;
	attempt.closedAt = _closed;
	return attempt;
}

struct AbandonedAttemptsTest : testing::Test
{
	AbandonedAttempts abandoned;
	SuspectTable suspects;

	/// Another router reports a crash.
	void crashAt(UpstreamKey _upstream, TimeUs _at)
	{
		suspects.crashes[_upstream] = _at;
	}
};

TEST_F(AbandonedAttemptsTest, CountAtACrashThatFollowsAtOnce)
{
	recordAbandoned(abandoned, kUpstream, closedAt(kNow));
	crashAt(kUpstream, kNow + 50 * kMsToUs);
	const std::vector<AbandonedAtCrash> taken = takeAtKnownCrashes(abandoned, suspects, kNow + 500 * kMsToUs);
	ASSERT_EQ(taken.size(), 1u);
	EXPECT_EQ(taken.front().crash.at, kNow + 50 * kMsToUs);
	EXPECT_EQ(taken.front().crash.runningFor, 150 * kMsToUs);
	EXPECT_EQ(taken.front().crash.writingFor, 60 * kMsToUs);
	EXPECT_TRUE(takeAtKnownCrashes(abandoned, suspects, kNow + 500 * kMsToUs).empty()) << "once";
}

TEST_F(AbandonedAttemptsTest, DoNotCountAtEarlierOrLaterCrashesOrElsewhere)
{
	recordAbandoned(abandoned, kUpstream, closedAt(kNow));
	for (const TimeUs crash : {kNow - 100 * kMsToUs, kNow + kRunsOn + kMsToUs})
	{
		crashAt(kUpstream, crash);
		EXPECT_TRUE(takeAtKnownCrashes(abandoned, suspects, kNow + 500 * kMsToUs).empty());
	}
	suspects.crashes.clear();
	crashAt(kUpstream + 1, kNow + 50 * kMsToUs);
	EXPECT_TRUE(takeAtKnownCrashes(abandoned, suspects, kNow + 500 * kMsToUs).empty());
}

TEST_F(AbandonedAttemptsTest, CountAtAnEndThatWasLearntInTime)
{
	recordAbandoned(abandoned, kUpstream, closedAt(kNow - kRunsOn - kMsToUs, "early"));
	recordAbandoned(abandoned, kUpstream, closedAt(kNow, "late"));
	const std::vector<AbandonedAtCrash> taken = takeAtEnd(abandoned, kUpstream, kNow + kMsToUs);
	ASSERT_EQ(taken.size(), 1u);
	EXPECT_EQ(taken.front().attempt.requestId, "late");
	EXPECT_TRUE(takeAtEnd(abandoned, kUpstream + 1, kNow).empty());
}

TEST_F(AbandonedAttemptsTest, AreBoundedAndForgotten)
{
	for (size_t ii = 0; ii < 2 * kMaxAbandoned; ++ii)
	{
		recordAbandoned(abandoned, kUpstream, closedAt(kNow));
	}
	EXPECT_EQ(abandoned.at(kUpstream).size(), kMaxAbandoned);
	takeAtKnownCrashes(abandoned, suspects, kNow + kCrashReportTime + kMsToUs);
	EXPECT_TRUE(abandoned.empty());
}

TEST_F(AbandonedAttemptsTest, RefuseAPartAtItsThirdCrash)
{
	for (UpstreamKey upstream = 1; upstream <= 3; ++upstream)
	{
		const TimeUs closed = kNow + TimeUs(upstream) * 1000 * kMsToUs;
		recordAbandoned(abandoned, upstream, closedAt(closed, std::to_string(upstream)));
		recordInterrupted(suspects, takeAtEnd(abandoned, upstream, closed + 50 * kMsToUs),
						  closed + 50 * kMsToUs);
	}
	const SuspectSubjects other = makeSubjects({"town", "host", "POST", "/x", "new"}, "engines", {"part"});
	EXPECT_EQ(matchSuspects(suspects, other, kNow + 4000 * kMsToUs).state, SuspectState::Refused);
}
} // namespace
} // namespace spanplank
