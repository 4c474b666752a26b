/// When a router leaves the one that it follows.
#include "spanplank/peer_follow.h"

#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kStart = 100 * kSecond;
constexpr TimeUs kYoung = 100 * kMsToUs;
constexpr TimeUs kOld = 3 * kSecond;
constexpr PeerKey kSelf = 1;
const std::vector<PeerKey> kChain{2, 3};
const std::vector<PeerKey> kRing{2, kSelf};

FollowState followed()
{
	FollowState state;
	noteParent(state, true, kStart);
	noteParentAnswer(state, kYoung, kChain, kSelf, kStart);
	return state;
}

TEST(PeerFollow, AParentThatAnswersAndProvesIsKept)
{
	FollowState state = followed();
	EXPECT_EQ(nextFollowMove(state, kStart + kSecond), FollowMove::Keep);
	EXPECT_EQ(state.chain, kChain);
	EXPECT_EQ(nextFollowMove(state, kStart + 2 * kSecond), FollowMove::LeaveSilent);
}

TEST(PeerFollow, AParentThatIsCutOffIsLeftByRoutersThatReachTheStore)
{
	FollowState state = followed();
	for (TimeUs now = kStart; now < kStart + 5 * kSecond; now += kSecond)
	{
		noteParentAnswer(state, kOld, kChain, kSelf, now);
		noteStoreReached(state);
		const bool twice = now > kStart;
		EXPECT_EQ(nextFollowMove(state, now), twice ? FollowMove::LeaveCutOff : FollowMove::Keep);
	}
	noteParentAnswer(state, kYoung, kChain, kSelf, kStart + 6 * kSecond);
	EXPECT_EQ(nextFollowMove(state, kStart + 6 * kSecond), FollowMove::Keep) << "it is back";
}

TEST(PeerFollow, ARouterThatIsCutOffKeepsAParentThatProves)
{
	FollowState state = followed();
	for (TimeUs now = kStart; now < kStart + 9 * kSecond; now += kSecond / 2)
	{
		noteStoreFailed(state);
		noteParentAnswer(state, kYoung, kChain, kSelf, now);
		EXPECT_EQ(nextFollowMove(state, now), FollowMove::Keep);
	}
}

TEST(PeerFollow, ARouterThatIsCutOffAlongWithItsParentSearchesEverMoreSeldom)
{
	FollowState state = followed();
	size_t searches = 0;
	for (TimeUs now = kStart; now < kStart + 20 * kSecond; now += kSecond / 2)
	{
		noteStoreFailed(state);
		noteParentAnswer(state, kOld, kChain, kSelf, now);
		if (nextFollowMove(state, now) == FollowMove::Search)
		{
			noteSearch(state, now);
			EXPECT_GT(state.detachedUntil, now);
			noteParent(state, true, now);
			++searches;
		}
	}
	EXPECT_GE(searches, 3u);
	EXPECT_LE(searches, 6u) << "while the store is away from all, each search only breaks a link";
	noteStoreReached(state);
	EXPECT_EQ(state.detachedUntil, 0) << "it takes its rank again at once";
}

TEST(PeerFollow, ARouterWithoutAParentSearchesOnceItIsCutOff)
{
	FollowState state;
	noteParent(state, false, kStart);
	EXPECT_EQ(nextFollowMove(state, kStart + 5 * kSecond), FollowMove::Keep);
	noteStoreFailed(state);
	noteStoreFailed(state);
	EXPECT_EQ(nextFollowMove(state, kStart + 5 * kSecond), FollowMove::Search);
}

TEST(PeerFollow, InARingTheOneThatReachesTheStoreLeaves)
{
	FollowState reaches = followed();
	noteParentAnswer(reaches, kYoung, kRing, kSelf, kStart + kSecond);
	EXPECT_TRUE(reaches.ring);
	EXPECT_EQ(nextFollowMove(reaches, kStart + kSecond), FollowMove::LeaveRing);
	FollowState cut = reaches;
	noteStoreFailed(cut);
	noteStoreFailed(cut);
	EXPECT_EQ(nextFollowMove(cut, kStart + kSecond / 2), FollowMove::Keep);
	EXPECT_EQ(nextFollowMove(cut, kStart + 2 * kSecond), FollowMove::Search) << "a ring proves nothing";
}

TEST(PeerFollow, AChainThatNeverEndsIsCutShort)
{
	FollowState state = followed();
	noteParentAnswer(state, kYoung, std::vector<PeerKey>(1000, 7), kSelf, kStart);
	EXPECT_EQ(state.chain.size(), kMostChain);
}
} // namespace
} // namespace spanplank
