/// When a router leaves its parent or searches for another one.
#include "spanplank/peer_follow.h"

#include <gtest/gtest.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kStart = 100 * kSecond;
constexpr TimeUs kRecentAge = 100 * kMsToUs;
constexpr TimeUs kStaleAge = 3 * kSecond;
constexpr PeerKey kSelf = 1;
const std::vector<PeerKey> kChain{2};
const std::vector<PeerKey> kCycle{2, kSelf};

FollowState followed()
{
	FollowState state;
	recordParent(state, true, kStart);
	recordParentAnswer(state, kRecentAge, kChain, kSelf, kStart);
	return state;
}

TEST(PeerFollow, AParentThatAnswersAndConfirmsIsRetained)
{
	FollowState state = followed();
	EXPECT_EQ(nextFollowAction(state, kStart + kSecond / 2), FollowAction::Keep);
	EXPECT_EQ(state.chain, kChain);
	EXPECT_EQ(nextFollowAction(state, kStart + 2 * kSecond), FollowAction::LeaveUnresponsive);
	FollowState fresh;
	recordParent(fresh, true, kStart);
	EXPECT_EQ(nextFollowAction(fresh, kStart + kSecond), FollowAction::Keep) << "its link may still come up";
	EXPECT_EQ(nextFollowAction(fresh, kStart + 2 * kSecond), FollowAction::LeaveUnresponsive);
}

TEST(PeerFollow, AfterAnOutageOfTheStoreAParentHasTimeToReachItToo)
{
	FollowState state = followed();
	recordStoreFailed(state, kStart);
	recordParentAnswer(state, kStaleAge, kChain, kSelf, kStart + kSecond);
	recordStoreReached(state, kStart + kSecond);
	EXPECT_EQ(nextFollowAction(state, kStart + kSecond), FollowAction::Keep);
	recordParentAnswer(state, kRecentAge, kChain, kSelf, kStart + kSecond + 1);
	EXPECT_EQ(state.unconfirmedCalls, 0u);
}

TEST(PeerFollow, FollowersOfTheRootCallTheStoreBeforeTheLevelsBelow)
{
	FollowState next = followed();
	FollowState below = followed();
	recordParentAnswer(below, kRecentAge, std::vector<PeerKey>{3, 2}, kSelf, kStart);
	EXPECT_LT(maxConfirmationAge(next), maxConfirmationAge(below));
	EXPECT_LT(maxConfirmationAge(below), 2 * kSecond);
}

TEST(PeerFollow, AParentThatIsCutOffIsLeftByRoutersThatReachTheStore)
{
	FollowState state = followed();
	for (TimeUs now = kStart; now < kStart + 5 * kSecond; now += kSecond)
	{
		recordParentAnswer(state, kStaleAge, kChain, kSelf, now);
		EXPECT_EQ(nextFollowAction(state, now), now > kStart ? FollowAction::LeaveStale : FollowAction::Keep);
		recordStoreReached(state, now);
		EXPECT_EQ(nextFollowAction(state, now), FollowAction::LeaveStale);
	}
	recordParentAnswer(state, kRecentAge, kChain, kSelf, kStart + 6 * kSecond);
	EXPECT_EQ(nextFollowAction(state, kStart + 6 * kSecond), FollowAction::Keep)
		<< "the parent reaches the store again";
}

// Guards against leaving a new parent because of a store call that was sent before the parent's first answer.
// A router that had just started logged "peer_lost why=it does not reach the store" 0.18 s after
// peer_followed, although the parent's confirmation was 65 ms old.
TEST(PeerFollow, ACallFromBeforeTheParentAnsweredIsNotHeldAgainstIt)
{
	FollowState state;
	recordParent(state, true, kStart);
	recordParentAnswer(state, kRecentAge, kChain, kSelf, kStart + kSecond);
	recordStoreReached(state, kStart + kSecond - 1);
	EXPECT_EQ(nextFollowAction(state, kStart + kSecond), FollowAction::Keep);
	recordStoreReached(state, kStart + kSecond);
	EXPECT_EQ(nextFollowAction(state, kStart + kSecond), FollowAction::LeaveStale);
}

TEST(PeerFollow, RoutersFurtherDownWaitForThoseNextToTheOneThatIsCutOff)
{
	const auto callsUntilLeaving = [](const std::vector<PeerKey>& _chain) {
		FollowState state = followed();
		uint32_t calls = 0;
		while (nextFollowAction(state, kStart) == FollowAction::Keep)
		{
			recordParentAnswer(state, kStaleAge, _chain, kSelf, kStart);
			recordStoreReached(state, kStart);
			++calls;
		}
		return calls;
	};
	EXPECT_EQ(callsUntilLeaving({2}), 1u);
	EXPECT_EQ(callsUntilLeaving({3, 2}), 2u);
	EXPECT_EQ(callsUntilLeaving({4, 3, 2}), 3u);
}

TEST(PeerFollow, ARouterThatIsCutOffRetainsAParentThatConfirms)
{
	FollowState state = followed();
	for (TimeUs now = kStart; now < kStart + 9 * kSecond; now += kSecond / 2)
	{
		recordStoreFailed(state, now);
		recordParentAnswer(state, kRecentAge, kChain, kSelf, now);
		EXPECT_EQ(nextFollowAction(state, now), FollowAction::Keep);
	}
}

TEST(PeerFollow, ARouterThatIsCutOffAlongWithItsParentSearchesEverMoreSeldom)
{
	FollowState state = followed();
	size_t searches = 0;
	for (TimeUs now = kStart; now < kStart + 20 * kSecond; now += kSecond / 2)
	{
		recordStoreFailed(state, now);
		recordParentAnswer(state, kStaleAge, kChain, kSelf, now);
		if (nextFollowAction(state, now) == FollowAction::Search)
		{
			recordSearch(state, now);
			EXPECT_TRUE(state.detached);
			recordParent(state, true, now);
			++searches;
		}
	}
	EXPECT_GE(searches, 3u);
	EXPECT_LE(searches, 6u) << "while the store is unreachable for all routers, a search only closes a link";
	EXPECT_FALSE(isProbeDue(state, kStart + 20 * kSecond));
	EXPECT_TRUE(isProbeDue(state, kStart + 25 * kSecond))
		<< "it must detect that the store is reachable again";
	recordStoreReached(state, kStart + 25 * kSecond);
	EXPECT_FALSE(state.detached) << "it returns to its rank at once";
	EXPECT_FALSE(isProbeDue(state, kStart + 25 * kSecond));
}

TEST(PeerFollow, ARouterWithoutAParentSearchesOnceItIsCutOff)
{
	FollowState state;
	recordParent(state, false, kStart);
	EXPECT_EQ(nextFollowAction(state, kStart + 5 * kSecond), FollowAction::Keep);
	recordStoreFailed(state, kStart + 4 * kSecond);
	recordStoreFailed(state, kStart + 4 * kSecond);
	EXPECT_EQ(nextFollowAction(state, kStart + 5 * kSecond), FollowAction::Search);
}

TEST(PeerFollow, InACycleTheRouterThatReachesTheStoreLeaves)
{
	FollowState reaches = followed();
	recordParentAnswer(reaches, kRecentAge, kCycle, kSelf, kStart + kSecond);
	EXPECT_TRUE(reaches.inCycle);
	EXPECT_EQ(nextFollowAction(reaches, kStart + kSecond), FollowAction::LeaveCycle);
	FollowState cut = reaches;
	recordStoreFailed(cut, kStart + kSecond);
	recordStoreFailed(cut, kStart + kSecond);
	EXPECT_EQ(nextFollowAction(cut, kStart + kSecond), FollowAction::Keep);
	recordParentAnswer(cut, kRecentAge, kCycle, kSelf, kStart + 6 * kSecond);
	EXPECT_EQ(nextFollowAction(cut, kStart + 6 * kSecond), FollowAction::Search)
		<< "answers within a cycle confirm nothing";
}

TEST(PeerFollow, ALongChainIsTruncated)
{
	FollowState state = followed();
	recordParentAnswer(state, kRecentAge, std::vector<PeerKey>(1000, 7), kSelf, kStart);
	EXPECT_EQ(state.chain.size(), kMaxChainLength);
}
} // namespace
} // namespace spanplank
