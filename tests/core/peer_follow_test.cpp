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
const std::vector<PeerKey> kChain{2};
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
	EXPECT_EQ(nextFollowMove(state, kStart + kSecond / 2), FollowMove::Keep);
	EXPECT_EQ(state.chain, kChain);
	EXPECT_EQ(nextFollowMove(state, kStart + 2 * kSecond), FollowMove::LeaveSilent);
	FollowState fresh;
	noteParent(fresh, true, kStart);
	EXPECT_EQ(nextFollowMove(fresh, kStart + kSecond), FollowMove::Keep) << "its link may still come up";
	EXPECT_EQ(nextFollowMove(fresh, kStart + 2 * kSecond), FollowMove::LeaveSilent);
}

TEST(PeerFollow, AfterAnOutageOfTheStoreAParentHasTimeToReachItToo)
{
	FollowState state = followed();
	noteStoreFailed(state, kStart);
	noteParentAnswer(state, kOld, kChain, kSelf, kStart + kSecond);
	noteStoreReached(state, kStart + kSecond);
	EXPECT_EQ(nextFollowMove(state, kStart + kSecond), FollowMove::Keep);
	noteParentAnswer(state, kYoung, kChain, kSelf, kStart + kSecond + 1);
	EXPECT_EQ(state.asked, 0u);
}

TEST(PeerFollow, RoutersNextToTheFirstOfAllAskBeforeTheLevelsBelow)
{
	FollowState next = followed();
	FollowState below = followed();
	noteParentAnswer(below, kYoung, std::vector<PeerKey>{3, 2}, kSelf, kStart);
	EXPECT_LT(oldestProof(next), oldestProof(below));
	EXPECT_LT(oldestProof(below), 2 * kSecond);
}

TEST(PeerFollow, AParentThatIsCutOffIsLeftByRoutersThatReachTheStore)
{
	FollowState state = followed();
	for (TimeUs now = kStart; now < kStart + 5 * kSecond; now += kSecond)
	{
		noteParentAnswer(state, kOld, kChain, kSelf, now);
		EXPECT_EQ(nextFollowMove(state, now), now > kStart ? FollowMove::LeaveCutOff : FollowMove::Keep);
		noteStoreReached(state, now);
		EXPECT_EQ(nextFollowMove(state, now), FollowMove::LeaveCutOff);
	}
	noteParentAnswer(state, kYoung, kChain, kSelf, kStart + 6 * kSecond);
	EXPECT_EQ(nextFollowMove(state, kStart + 6 * kSecond), FollowMove::Keep) << "it is back";
}

// A router that had just started asked the store, met its parent while that call was under way, and left it
// for the call: "peer_lost why=it does not reach the store" 0.18 s after peer_followed with a proof of 65 ms.
TEST(PeerFollow, ACallFromBeforeTheParentAnsweredSaysNothingOfIt)
{
	FollowState state;
	noteParent(state, true, kStart);
	noteParentAnswer(state, kYoung, kChain, kSelf, kStart + kSecond);
	noteStoreReached(state, kStart + kSecond - 1);
	EXPECT_EQ(nextFollowMove(state, kStart + kSecond), FollowMove::Keep);
	noteStoreReached(state, kStart + kSecond);
	EXPECT_EQ(nextFollowMove(state, kStart + kSecond), FollowMove::LeaveCutOff);
}

TEST(PeerFollow, RoutersFurtherDownWaitForThoseNextToTheOneThatIsCutOff)
{
	const auto callsUntilLeft = [](const std::vector<PeerKey>& _chain) {
		FollowState state = followed();
		uint32_t calls = 0;
		while (nextFollowMove(state, kStart) == FollowMove::Keep)
		{
			noteParentAnswer(state, kOld, _chain, kSelf, kStart);
			noteStoreReached(state, kStart);
			++calls;
		}
		return calls;
	};
	EXPECT_EQ(callsUntilLeft({2}), 1u);
	EXPECT_EQ(callsUntilLeft({3, 2}), 2u);
	EXPECT_EQ(callsUntilLeft({4, 3, 2}), 3u);
}

TEST(PeerFollow, ARouterThatIsCutOffKeepsAParentThatProves)
{
	FollowState state = followed();
	for (TimeUs now = kStart; now < kStart + 9 * kSecond; now += kSecond / 2)
	{
		noteStoreFailed(state, now);
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
		noteStoreFailed(state, now);
		noteParentAnswer(state, kOld, kChain, kSelf, now);
		if (nextFollowMove(state, now) == FollowMove::Search)
		{
			noteSearch(state, now);
			EXPECT_TRUE(state.detached);
			noteParent(state, true, now);
			++searches;
		}
	}
	EXPECT_GE(searches, 3u);
	EXPECT_LE(searches, 6u) << "while the store is away from all, each search only breaks a link";
	EXPECT_FALSE(wantsProbe(state, kStart + 20 * kSecond));
	EXPECT_TRUE(wantsProbe(state, kStart + 25 * kSecond)) << "it must learn that the store is back";
	noteStoreReached(state, kStart + 25 * kSecond);
	EXPECT_FALSE(state.detached) << "it takes its rank again at once";
	EXPECT_FALSE(wantsProbe(state, kStart + 25 * kSecond));
}

TEST(PeerFollow, ARouterWithoutAParentSearchesOnceItIsCutOff)
{
	FollowState state;
	noteParent(state, false, kStart);
	EXPECT_EQ(nextFollowMove(state, kStart + 5 * kSecond), FollowMove::Keep);
	noteStoreFailed(state, kStart + 4 * kSecond);
	noteStoreFailed(state, kStart + 4 * kSecond);
	EXPECT_EQ(nextFollowMove(state, kStart + 5 * kSecond), FollowMove::Search);
}

TEST(PeerFollow, InARingTheOneThatReachesTheStoreLeaves)
{
	FollowState reaches = followed();
	noteParentAnswer(reaches, kYoung, kRing, kSelf, kStart + kSecond);
	EXPECT_TRUE(reaches.ring);
	EXPECT_EQ(nextFollowMove(reaches, kStart + kSecond), FollowMove::LeaveRing);
	FollowState cut = reaches;
	noteStoreFailed(cut, kStart + kSecond);
	noteStoreFailed(cut, kStart + kSecond);
	EXPECT_EQ(nextFollowMove(cut, kStart + kSecond), FollowMove::Keep);
	noteParentAnswer(cut, kYoung, kRing, kSelf, kStart + 6 * kSecond);
	EXPECT_EQ(nextFollowMove(cut, kStart + 6 * kSecond), FollowMove::Search) << "a ring proves nothing";
}

TEST(PeerFollow, AChainThatNeverEndsIsCutShort)
{
	FollowState state = followed();
	noteParentAnswer(state, kYoung, std::vector<PeerKey>(1000, 7), kSelf, kStart);
	EXPECT_EQ(state.chain.size(), kMostChain);
}
} // namespace
} // namespace spanplank
