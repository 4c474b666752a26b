/// What answers may hold stays bounded, and one that holds little is never the one that ends.
#include "spanplank/answer_buffers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spanplank
{
namespace
{
constexpr size_t kMebibyte = 1u << 20;

TEST(AnswerBuffers, OneAnswerMayTakeTheWholeLimit)
{
	AnswerBuffers buffers;
	buffers.limitBytes = 8 * kMebibyte;
	EXPECT_TRUE(mayHold(buffers, 0, buffers.limitBytes));
	EXPECT_FALSE(mayHold(buffers, 0, buffers.limitBytes + 1));
}

TEST(AnswerBuffers, ASmallAnswerHasRoomBesideLargeOnes)
{
	AnswerBuffers buffers;
	buffers.limitBytes = 8 * kMebibyte;
	recordHeld(buffers, 0, buffers.limitBytes);
	EXPECT_TRUE(mayHold(buffers, 0, kReservedAnswerBytes));
	EXPECT_TRUE(mayHold(buffers, 0, buffers.limitBytes / 2));
	EXPECT_FALSE(mayHold(buffers, buffers.limitBytes, buffers.limitBytes + 1));
}

TEST(AnswerBuffers, AnAnswerIsAppendedToWhileMemoryIsLeftForIt)
{
	AnswerBuffers buffers;
	buffers.limitBytes = kMebibyte;
	const std::string half(kMebibyte / 2, 'x');
	std::string answer;
	size_t held = 0;
	EXPECT_TRUE(appendHeld(buffers, held, answer, half));
	EXPECT_TRUE(appendHeld(buffers, held, answer, half));
	EXPECT_FALSE(appendHeld(buffers, held, answer, half));
	EXPECT_EQ(answer.size(), kMebibyte);
	EXPECT_EQ(buffers.heldBytes, kMebibyte);
	recordHeld(buffers, held, 0);
	EXPECT_EQ(buffers.heldBytes, 0u);
}

RC_GTEST_PROP(AnswerBuffers, AnswersWithoutAnEndStayWithinTwiceTheLimit, ())
{
	AnswerBuffers buffers;
	buffers.limitBytes = size_t(*rc::gen::inRange(1, 65)) * kMebibyte;
	std::vector<size_t> held(size_t(*rc::gen::inRange(1, 200)), 0);
	for (int ii = 0; ii < 2000; ++ii)
	{
		size_t& answer = held[size_t(*rc::gen::inRange<int>(0, int(held.size())))];
		const size_t next = answer + size_t(*rc::gen::inRange(1, int(kMebibyte)));
		const size_t now = mayHold(buffers, answer, next) ? next : 0; // One that may not grow ends.
		recordHeld(buffers, answer, now);
		answer = now;
	}
	size_t sum = 0;
	for (const size_t answer : held)
	{
		sum += answer;
	}
	RC_ASSERT(sum == buffers.heldBytes);
	RC_ASSERT(sum <= 2 * buffers.limitBytes + held.size() * kReservedAnswerBytes);
}
} // namespace
} // namespace spanplank
