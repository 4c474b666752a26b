/// Tests of exposure: false halts, missed faults, and the ledger compared with a naive count.
#include "spanplank/exposure.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "spanplank/types.h"

namespace spanplank
{
namespace
{
/// Draws ratings one by one and evaluates the test after each. @returns The verdict, at the latest after
/// `_most` ratings.
RolloutVerdict rollOut(Random& _random, double _badRate, const Rollout& _rollout, uint64_t _most,
					   uint64_t& _rated)
{
	RatingTally tally;
	RolloutVerdict verdict = RolloutVerdict::Undecided;
	for (_rated = 0; _rated < _most && verdict == RolloutVerdict::Undecided; ++_rated)
	{
		++(nextUnit(_random) < _badRate ? tally.bad : tally.good);
		verdict = judgeRatings(tally, _rollout);
	}
	return verdict;
}

TEST(SequentialTest, FalseHaltsStayUnderOneInAThousandWithALookAfterEachRating)
{
	Random random{20261202};
	const Rollout rollout;
	uint64_t halted = 0;
	constexpr uint64_t kRollouts = 5000;
	for (uint64_t ii = 0; ii < kRollouts; ++ii)
	{
		uint64_t rated = 0;
		const RolloutVerdict verdict = rollOut(random, rollout.badRate, rollout, 5000, rated);
		halted += verdict == RolloutVerdict::Halt ? 1 : 0;
	}
	EXPECT_LE(halted, kRollouts / 1000);
}

TEST(SequentialTest, WhollyBadIsHaltedWithinThreeRatings)
{
	Random random{1};
	uint64_t rated = 0;
	EXPECT_EQ(rollOut(random, 1.0, Rollout{}, 100, rated), RolloutVerdict::Halt);
	EXPECT_LE(rated, 3u);
}

TEST(SequentialTest, VersionAtTheHaltRateIsNotPromoted)
{
	Random random{2};
	const Rollout rollout;
	uint64_t served = 0;
	for (uint64_t ii = 0; ii < 2000; ++ii)
	{
		uint64_t rated = 0;
		served += rollOut(random, rollout.haltRate, rollout, 20000, rated) == RolloutVerdict::Serve ? 1 : 0;
	}
	EXPECT_LE(served, 8u);
}

TEST(DriftWatch, DetectsAChangeQuicklyWithoutFalseHalts)
{
	Random random{3};
	DriftWatch watch;
	uint64_t falseHalts = 0;
	for (uint64_t ii = 0; ii < 2000000; ++ii)
	{
		const bool bad = nextUnit(random) < 0.02;
		if (observe(watch, {bad ? 0u : 1u, bad ? 1u : 0u}, 0.02, 0.10))
		{
			++falseHalts;
			watch = DriftWatch{};
		}
	}
	EXPECT_EQ(falseHalts, 0u);
	uint64_t needed = 0;
	watch = DriftWatch{};
	while (!observe(watch, {0, 1}, 0.02, 0.10))
	{
		++needed;
	}
	EXPECT_LE(needed, 5u);
}

TEST(ExposureLedger, UnratedAnswersNeverExceedTheBudgetForAnyOrderOfGrants)
{
	const bool held = rc::check("bounded", [](const std::vector<std::pair<uint8_t, uint8_t>>& _steps) {
		const Rollout rollout;
		ExposureLedger ledger;
		RatingTally tally;
		uint64_t spent = 0; // Naive count: the total of answers given.
		for (const auto& [want, rated] : _steps)
		{
			const uint64_t credits = grantableCredits(ledger, tally, rollout, want);
			addGrant(ledger, "agent", ledger.grantSeq["agent"] + 1, credits);
			spent += credits;
			const uint64_t allowance = exposureAllowance(tally, rollout);
			RC_ASSERT(spent <= allowance);
			RC_ASSERT(tally.good > 0 || spent - tally.bad <= rollout.exposure);
			const uint64_t ratings = std::min<uint64_t>(rated % 4, spent - tally.good - tally.bad);
			tally.good += ratings;
		}
	});
	EXPECT_TRUE(held);
}

TEST(ExposureCredits, ACreditOfAnotherGenerationIsRefused)
{
	ExposureCredits credits;
	credits.generation = 1;
	credits.remaining = 1;
	EXPECT_FALSE(spendCredit(credits, 2));
	EXPECT_TRUE(spendCredit(credits, 1));
	EXPECT_FALSE(spendCredit(credits, 1));
}
} // namespace
} // namespace spanplank
