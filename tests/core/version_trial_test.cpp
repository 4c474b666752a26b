/// Roll-outs in direct mode: sessions, exposure, halts and completion over several routers.
#include "spanplank/version_trial.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <vector>

namespace spanplank
{
namespace
{
constexpr uint32_t kDurationMs = 20000;
constexpr TimeUs kDuration = TimeUs(kDurationMs) * kMsToUs;
const std::string kService = "llm";

TrialBook ordered(TimeUs _at)
{
	TrialBook book;
	takeOrder(book, {kService, "v2", kDurationMs}, 5, _at);
	return book;
}

void feed(TrialBook& _book, const std::string& _version, uint32_t _good, uint32_t _bad,
		  double _slowness = 1.0)
{
	for (uint32_t ii = 0; ii < _good + _bad; ++ii)
	{
		noteTrialResult(_book, kService, _version, "route", fmt::format("u{}", ii % 4),
						ii >= _good ? TrialSign::Bad : TrialSign::Good, _slowness);
	}
}

bool isNew(const VersionChoice& _choice)
{
	return _choice.only == "v2";
}

TEST(VersionTrial, NoSessionMovesInTheFirstHalfAndNoneMovesBackOnAnyRouter)
{
	// The order reaches the routers at slightly different times.
	const std::vector<TrialBook> routers = {ordered(0), ordered(30 * kMsToUs)};
	uint32_t backwards = 0;
	for (uint64_t session = 0; session < 500; ++session)
	{
		bool was = false;
		for (TimeUs now = 0; now < kDuration; now += 97 * kMsToUs)
		{
			const bool is = isNew(chooseVersion(routers[size_t(now) % 2], kService,
												stableHash(fmt::format("{}", session)), now));
			EXPECT_FALSE(is && now < kDuration / 2);
			backwards += was && !is ? 1 : 0;
			was = is;
		}
		EXPECT_TRUE(was);
	}
	EXPECT_LE(backwards, 5u) << "only sessions whose move falls between the two routers' clocks";
}

TEST(VersionTrial, BeforeCompletionTheNewVersionGetsLessThanTheExposureBound)
{
	for (const double bound : {0.02, 0.05, 0.15, 0.3})
	{
		TrialBook book = ordered(0);
		book.exposureShare = bound;
		uint32_t exposed = 0;
		uint32_t all = 0;
		for (TimeUs now = 0; now < kDuration; now += kMsToUs)
		{
			++all;
			const bool decided = now > TimeUs(0.83 * double(kDuration)); // A verdict is in by then.
			const VersionChoice choice =
				chooseVersion(book, kService, stableHash(fmt::format("{}", now)), now);
			exposed += !decided && isNew(choice) ? 1 : 0;
		}
		EXPECT_LT(double(exposed) / all, bound);
		EXPECT_GT(double(exposed) / all, 0.5 * bound) << "enough of it to judge the version";
	}
}

TEST(VersionTrial, AFailingVersionIsHaltedAtOnceAndForGood)
{
	TrialBook book = ordered(0);
	feed(book, "v1", 50, 1);
	feed(book, "v2", 6, 6);
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::RolledBack);
	EXPECT_EQ(chooseVersion(book, kService, 1, kDuration).never, "v2");
	EXPECT_EQ(haltedVersion(book, kService), "v2");
	RolloutStatus status;
	EXPECT_TRUE(wantsStatus(book.trials.at(kService), kDuration / 2, status));
	EXPECT_EQ(status.state, RolloutState::RolledBack);
	takeStatus(book, kService, {"v2", RolloutState::Running}, 9);
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::RolledBack)
		<< "another router's word does not undo it";
	EXPECT_TRUE(wantsStatus(book.trials.at(kService), kDuration / 2, status))
		<< "the store is still to be told";
}

TEST(VersionTrial, AHaltThatComesAfterTheCompletionIsInTheStoreTakesNothingAway)
{
	// The old version's upstreams stop at the completion: without the new ones nothing would be left.
	TrialBook book = ordered(0);
	feed(book, "v1", 50, 1);
	feed(book, "v2", 6, 6);
	ASSERT_EQ(book.trials.at(kService).state, RolloutState::RolledBack);
	EXPECT_TRUE(takeStatus(book, kService, {"v2", RolloutState::Completed}, 9));
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::Completed);
	EXPECT_EQ(chooseVersion(book, kService, 1, kDuration).only, "v2");
	EXPECT_EQ(haltedVersion(book, kService), "");
	RolloutStatus status;
	EXPECT_FALSE(wantsStatus(book.trials.at(kService), kDuration, status)) << "nothing is written over it";
	feed(book, "v2", 0, 20);
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::Completed);
}

TEST(VersionTrial, TheEvidenceOfAHaltCanBeRead)
{
	TrialBook book = ordered(0);
	feed(book, "v1", 50, 1);
	feed(book, "v2", 6, 6);
	EXPECT_EQ(describeEvidence(book.trials.at(kService)),
			  "route: new 6 good 6 bad 0 slow 0 silent, old 50 good 1 bad 0 slow 0 silent");
}

TEST(VersionTrial, ASlowVersionIsHalted)
{
	TrialBook book = ordered(0);
	feed(book, "v1", 50, 0, 1.0);
	feed(book, "v2", 24, 0, 8.0);
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::RolledBack);
}

TEST(VersionTrial, AFewSlowAnswersOfColdUpstreamsDoNotHaltAGoodVersion)
{
	// Seen on a day with a good version: 8 of its first 20 answers on one route waited for others' prompts.
	TrialBook book = ordered(0);
	feed(book, "v1", 108, 0, 1.0);
	feed(book, "v2", 12, 0, 1.0);
	feed(book, "v2", 8, 0, 8.0);
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::Running);
	feed(book, "v2", 12, 0, 8.0);
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::RolledBack) << "20 of 32 are no chance";
}

TEST(VersionTrial, ColdPromptCachesDoNotHaltAGoodVersion)
{
	TrialBook book = ordered(0);
	feed(book, "v1", 50, 0, 1.0);
	feed(book, "v2", 200, 0, 3.0);
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::Running);
}

TEST(VersionTrial, AVersionWithHalfOfItsAnswersSlowIsHaltedOneWithAThirdOfFewIsNot)
{
	TrialBook queued = ordered(0);
	feed(queued, "v1", 73, 0, 1.0);
	feed(queued, "v2", 8, 0, 1.0);
	feed(queued, "v2", 4, 0, 9.0);
	EXPECT_EQ(queued.trials.at(kService).state, RolloutState::Running)
		<< "seen on a quiet day: queues, not the version";
	TrialBook slow = ordered(0);
	feed(slow, "v1", 73, 0, 1.0);
	for (int ii = 0; ii < 14; ++ii)
	{
		feed(slow, "v2", 1, 0, 1.0);
		feed(slow, "v2", 1, 0, 8.0);
	}
	EXPECT_EQ(slow.trials.at(kService).state, RolloutState::RolledBack);
}

TEST(VersionTrial, AVersionThatOftenStaysSilentIsHaltedCrashesOfAQuarterDoNotHalt)
{
	const auto silence = [](TrialBook& _book, uint32_t _every) {
		for (uint32_t ii = 0; ii < 40; ++ii)
		{
			const TrialSign sign = ii % _every == 0 ? TrialSign::Silent : TrialSign::Good;
			noteTrialResult(_book, kService, "v2", "route", fmt::format("u{}", ii % 4), sign, 1.0);
		}
	};
	TrialBook slow = ordered(0);
	feed(slow, "v1", 60, 0);
	silence(slow, 2);
	EXPECT_EQ(slow.trials.at(kService).state, RolloutState::RolledBack);
	TrialBook crashed = ordered(0);
	feed(crashed, "v1", 60, 0);
	silence(crashed, 4);
	EXPECT_EQ(crashed.trials.at(kService).state, RolloutState::Running);
}

TEST(VersionTrial, AVersionThatFailsOnOneRouteOnlyIsHalted)
{
	TrialBook book = ordered(0);
	feed(book, "v1", 50, 0);
	feed(book, "v2", 100, 0);
	for (uint32_t ii = 0; ii < 10; ++ii)
	{
		noteTrialResult(book, kService, "v2", "other", fmt::format("u{}", ii % 3),
						ii % 2 == 0 ? TrialSign::Bad : TrialSign::Good, 1.0);
	}
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::RolledBack);
}

TEST(VersionTrial, TroubleThatBothVersionsHaveHaltsNothing)
{
	TrialBook book = ordered(0);
	feed(book, "v1", 60, 30);
	feed(book, "v2", 20, 10);
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::Running);
}

TEST(VersionTrial, AGoodVersionIsCompletedInTimeOnceTheOldOneHasNoWork)
{
	TrialBook book = ordered(0);
	feed(book, "v1", 50, 0);
	feed(book, "v2", 30, 0);
	noteTrialSent(book, kService, "v1");
	VersionTrial& trial = book.trials.at(kService);
	trial.statusRevision = 6;
	RolloutStatus status;
	EXPECT_FALSE(wantsStatus(trial, kDuration * 85 / 100, status)) << "the old version still works";
	noteTrialEnded(book, kService, "v1");
	EXPECT_TRUE(wantsStatus(trial, kDuration * 85 / 100, status));
	EXPECT_EQ(status.state, RolloutState::Completed);
}

TEST(VersionTrial, ABlankRouterGoesOnFromTheStoresProgress)
{
	TrialBook book = ordered(100 * kDuration);
	VersionTrial& trial = book.trials.at(kService);
	takeProgress(trial, kDuration / 2, 7, 100 * kDuration);
	EXPECT_EQ(trial.startedAt, 100 * kDuration - kDuration / 2);
	takeProgress(trial, kDuration / 4, 8, 100 * kDuration);
	EXPECT_EQ(trial.startedAt, 100 * kDuration - kDuration / 2) << "it never moves forward again";
}

TEST(VersionTrial, ANewOrderBeginsAnewAndAnOldStatusDoesNotCount)
{
	TrialBook book = ordered(0);
	takeOrder(book, {kService, "v3", kDurationMs}, 20, 0);
	EXPECT_FALSE(takeStatus(book, kService, {"v2", RolloutState::RolledBack}, 15));
	EXPECT_EQ(book.trials.at(kService).state, RolloutState::Running);
}

TEST(VersionTrial, ARequestThatMayNotFailAgainStaysOffTheVersionOnTrialUntilItIsSettled)
{
	TrialBook book;
	takeOrder(book, {kService, "v2", uint32_t(kDuration / kMsToUs)}, 1, 0);
	const TimeUs late = kDuration * 85 / 100; // Everything is offered to the new version.
	ASSERT_EQ(chooseVersion(book, kService, 1, late).only, "v2");
	EXPECT_TRUE(isOnTrial(book, kService, "v2"));
	EXPECT_FALSE(isOnTrial(book, kService, "v1"));
	EXPECT_EQ(chooseVersion(book, kService, 1, late, TrialUse::SettledOnly).never, "v2");
	takeStatus(book, kService, {"v2", RolloutState::Completed}, 2);
	EXPECT_FALSE(isOnTrial(book, kService, "v2"));
	EXPECT_EQ(chooseVersion(book, kService, 1, late, TrialUse::SettledOnly).only, "v2");
}

TEST(VersionTrial, AHaltThatAnotherRouterTellsIsObeyedPassedOnAndForgottenOnceItIsInTheStore)
{
	TrialBook book;
	takeOrder(book, {kService, "v2", kDurationMs}, 7, 0);
	EXPECT_FALSE(takeHalt(book, {kService, 6})) << "of an earlier order";
	EXPECT_FALSE(takeHalt(book, {"other", 7}));
	EXPECT_TRUE(unwrittenHalts(book).empty());
	EXPECT_TRUE(takeHalt(book, {kService, 7}));
	EXPECT_FALSE(takeHalt(book, {kService, 7})) << "known";
	EXPECT_EQ(chooseVersion(book, kService, 1, kDuration).never, "v2");
	ASSERT_EQ(unwrittenHalts(book).size(), 1u);
	EXPECT_EQ(unwrittenHalts(book)[0].orderRevision, 7u);
	takeStatus(book, kService, {"v2", RolloutState::RolledBack}, 8);
	EXPECT_TRUE(unwrittenHalts(book).empty());
}

TEST(VersionTrial, ACompletionInTheStoreIsNotHaltedByWhatAnotherRouterTells)
{
	TrialBook book;
	takeOrder(book, {kService, "v2", kDurationMs}, 7, 0);
	takeStatus(book, kService, {"v2", RolloutState::Completed}, 8);
	EXPECT_FALSE(takeHalt(book, {kService, 7})) << "the old version's upstreams have stopped";
}

TEST(VersionTrial, WritesThatFailComeEverMoreSeldom)
{
	VersionTrial trial;
	TimeUs now = 0;
	TimeUs last = 0;
	for (int ii = 0; ii < 4; ++ii)
	{
		noteWriteLost(trial, now, 1.0);
		EXPECT_GT(trial.writeAfter - now, last);
		last = trial.writeAfter - now;
		now = trial.writeAfter;
	}
	noteWriteLost(trial, now, 1.0);
	EXPECT_EQ(trial.writeAfter - now, last) << "a halt is written soon after the store is back";
}
} // namespace
} // namespace spanplank
