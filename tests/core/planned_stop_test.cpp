/// Planned stops: which requests are accepted, and when refused callers may retry.
#include "spanplank/planned_stop.h"

#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kSignal = 50 * kSecond;
constexpr TimeUs kEnd = kSignal + 8 * kSecond;
const PlannedStop kStop{kSignal, kEnd};

TEST(PlannedStop, ARouterThatDoesNotStopTakesAll)
{
	EXPECT_TRUE(acceptsRequest({}, kEnd + 60 * kSecond, kSignal));
}

TEST(PlannedStop, AllAreAcceptedUntilTheBalancerDetectsItThenThoseWhoseDeadlineIsWithinTheStop)
{
	EXPECT_TRUE(acceptsRequest(kStop, kEnd + kSecond, kSignal + 2 * kSecond));
	EXPECT_FALSE(acceptsRequest(kStop, kEnd + kSecond, kSignal + 3 * kSecond));
	EXPECT_TRUE(acceptsRequest(kStop, kEnd, kSignal + 3 * kSecond));
}

// Guards against a request that arrives when only answers are still written: it was sent to an upstream and
// aborted.
TEST(PlannedStop, NoneIsTakenInTheTimeThatIsLeftForAnswers)
{
	const PlannedStop brief{kSignal, kSignal + kSecond}; // It ends before the balancer has detected it.
	EXPECT_TRUE(acceptsRequest(brief, kEnd, brief.endsAt - kAnswerReserveUs - 1));
	EXPECT_FALSE(acceptsRequest(brief, kEnd, brief.endsAt - kAnswerReserveUs));
	EXPECT_FALSE(acceptsRequest(brief, brief.endsAt, brief.endsAt - 1));
	EXPECT_FALSE(acceptsRequest(brief, kEnd, brief.endsAt + kSecond))
		<< "the time is past the end, as the process was not scheduled";
}

TEST(PlannedStop, OnAnOldConnectionTheCallerGoesToAnotherRouterAtOnce)
{
	EXPECT_LT(retryAfterStopMs(kStop, kSignal - kSecond, kSignal + 3 * kSecond, 1.0), 100u);
	EXPECT_LT(retryAfterStopMs(kStop, kSignal + kSecond, kSignal + 3 * kSecond, 1.0), 100u);
}

TEST(PlannedStop, ACallerThatArrivesAfterTheBalancerDetectedItRetriesAfterTheRestart)
{
	const TimeUs now = kSignal + 4 * kSecond;
	const TimeUs retryAt = now + retryAfterStopMs(kStop, now, now, 0.0) * kMsToUs;
	EXPECT_GE(retryAt, kEnd + kSecond);
	EXPECT_LT(retryAt, kEnd + 3 * kSecond);
	EXPECT_GT(retryAfterStopMs(kStop, now, now, 1.0), retryAfterStopMs(kStop, now, now, 0.0))
		<< "the retries must be spread";
}
} // namespace
} // namespace spanplank
