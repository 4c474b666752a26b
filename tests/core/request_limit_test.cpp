/// Limits that upstreams state: what begins, changes and ends one.
#include "spanplank/request_limit.h"

#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;

LimitAnswer stating(double _perSecond, TimeUs _sentAt)
{
	return {_perSecond, true, _sentAt};
}

LimitAnswer statingNone(TimeUs _sentAt)
{
	return {std::nullopt, true, _sentAt};
}

TEST(RequestLimit, HoldsUntilAnAnswerToALaterRequestStatesNone)
{
	RequestLimit limit;
	EXPECT_EQ(recordLimitAnswer(limit, stating(1.4, 0), kSecond), LimitChange::Stated);
	EXPECT_EQ(recordLimitAnswer(limit, stating(1.4, kSecond), 2 * kSecond), LimitChange::None);
	EXPECT_EQ(recordLimitAnswer(limit, stating(1.9, kSecond), 3 * kSecond), LimitChange::Changed);
	EXPECT_EQ(recordLimitAnswer(limit, statingNone(4 * kSecond), 5 * kSecond), LimitChange::Ended);
	EXPECT_FALSE(limit.perSecond);
	EXPECT_EQ(recordLimitAnswer(limit, statingNone(5 * kSecond), 6 * kSecond), LimitChange::None);
}

TEST(RequestLimit, IsNotEndedByAnAnswerThatWasUnderWayWhenItWasStated)
{
	RequestLimit limit;
	recordLimitAnswer(limit, stating(1.4, 0), 2 * kSecond);
	EXPECT_EQ(recordLimitAnswer(limit, statingNone(kSecond), 3 * kSecond), LimitChange::None);
	EXPECT_EQ(limit.perSecond, 1.4);
}

TEST(RequestLimit, IsNotEndedByARejection)
{
	RequestLimit limit;
	recordLimitAnswer(limit, stating(1.4, 0), kSecond);
	EXPECT_EQ(recordLimitAnswer(limit, {std::nullopt, false, 2 * kSecond}, 3 * kSecond), LimitChange::None);
	EXPECT_EQ(limit.perSecond, 1.4);
}
} // namespace
} // namespace spanplank
