/// When an event loop counts as overloaded.
#include "spanplank/loop_overload.h"

#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
void play(LoopOverload& _overload, TimeUs _turnMs, TimeUs _pauseMs, TimeUs _forMs)
{
	for (TimeUs at = 0; at < _forMs; at += _turnMs + _pauseMs)
	{
		recordTurn(_overload, _turnMs * kMsToUs, (_turnMs + _pauseMs) * kMsToUs);
	}
}

TEST(LoopOverload, BeginsWithLongTurnsAndEndsOnceTheyAreShortAgain)
{
	LoopOverload overload;
	play(overload, 100, 0, 1000);
	EXPECT_TRUE(overload.overloaded);
	play(overload, 30, 0, 2000);
	EXPECT_TRUE(overload.overloaded);
	play(overload, 5, 0, 2000);
	EXPECT_FALSE(overload.overloaded);
}

// A process with a share of a core stands still for most of a tenth of a second now and then.
TEST(LoopOverload, OneLongTurnIsNone)
{
	LoopOverload overload;
	play(overload, 1, 10, 1000);
	recordTurn(overload, 95 * kMsToUs, 95 * kMsToUs);
	EXPECT_FALSE(overload.overloaded);
}

TEST(LoopOverload, AnIdleLoopIsNot)
{
	LoopOverload overload;
	play(overload, 0, 200, 2000);
	EXPECT_FALSE(overload.overloaded);
}
} // namespace
} // namespace spanplank
