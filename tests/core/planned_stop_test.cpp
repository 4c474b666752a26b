/// Planned stops: what is still taken, and when refused callers come back.
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

TEST(PlannedStop, AllAreTakenUntilTheBalancerKnowsThenThoseWhoseDeadlineIsWithinTheStop)
{
	EXPECT_TRUE(acceptsRequest(kStop, kEnd + kSecond, kSignal + 2 * kSecond));
	EXPECT_FALSE(acceptsRequest(kStop, kEnd + kSecond, kSignal + 3 * kSecond));
	EXPECT_TRUE(acceptsRequest(kStop, kEnd, kSignal + 3 * kSecond));
}

// A request that came as answers alone were still written was sent to an upstream and cut there.
TEST(PlannedStop, NoneIsTakenInTheTimeThatIsLeftForAnswers)
{
	const PlannedStop brief{kSignal, kSignal + kSecond}; // It ends before the balancer knows.
	EXPECT_TRUE(acceptsRequest(brief, kEnd, brief.endsAt - kAnswerReserveUs - 1));
	EXPECT_FALSE(acceptsRequest(brief, kEnd, brief.endsAt - kAnswerReserveUs));
	EXPECT_FALSE(acceptsRequest(brief, brief.endsAt, brief.endsAt - 1));
	EXPECT_FALSE(acceptsRequest(brief, kEnd, brief.endsAt + kSecond)) << "late, as the process was not run";
}

TEST(PlannedStop, OnAnOldConnectionTheCallerGoesToAnotherRouterAtOnce)
{
	EXPECT_LT(retryAfterStopMs(kStop, kSignal - kSecond, kSignal + 3 * kSecond, 1.0), 100u);
	EXPECT_LT(retryAfterStopMs(kStop, kSignal + kSecond, kSignal + 3 * kSecond, 1.0), 100u);
}

TEST(PlannedStop, ACallerWhoWasSentHereThoughTheBalancerKnowsComesBackAfterTheRestart)
{
	const TimeUs now = kSignal + 4 * kSecond;
	const TimeUs back = now + retryAfterStopMs(kStop, now, now, 0.0) * kMsToUs;
	EXPECT_GE(back, kEnd + kSecond);
	EXPECT_LT(back, kEnd + 3 * kSecond);
	EXPECT_GT(retryAfterStopMs(kStop, now, now, 1.0), retryAfterStopMs(kStop, now, now, 0.0))
		<< "not all at once";
}
} // namespace
} // namespace spanplank
