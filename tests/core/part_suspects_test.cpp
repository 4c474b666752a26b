/// Prompt parts as suspects: which crashes count against a part, whom its refusal concerns, what clears it,
/// and updates between routers.
#include <gtest/gtest.h>

#include "spanplank/suspect_subjects.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kStart = 100 * kSecond;
constexpr uint32_t kUpstreams = 20;
constexpr TimeUs kWriting = 60 * kMsToUs;

/// @returns The subjects of a prompt.
SuspectSubjects promptOf(const std::vector<std::string_view>& _parts, const std::string& _body,
						 std::string_view _account = "town")
{
	return makeSubjects({_account, "host", "POST", "/x", _body}, "engines", _parts);
}

struct PartSuspects : testing::Test
{
	SuspectTable table;
	TimeUs now = kStart;
	uint32_t upstream = 0;

	/// Ends an upstream that has just begun to answer a prompt.
	void crash(const SuspectSubjects& _prompt, TimeUs _writing = kWriting)
	{
		now += kSecond;
		ObservedCrash seen{++upstream, now, _writing + kWriting, kUpstreams, 0};
		seen.writingFor = _writing;
		recordInterrupted(table, _prompt, "town POST /x", seen, now);
	}

	void crashes(const std::vector<std::string_view>& _parts, size_t _count,
				 std::string_view _account = "town")
	{
		for (size_t ii = 0; ii < _count; ++ii)
		{
			crash(promptOf(_parts, std::to_string(upstream), _account));
		}
	}

	/// Ends upstreams before they answer.
	void crashesBeforeAnswer(const std::vector<std::string_view>& _parts, uint32_t _count)
	{
		for (uint32_t ii = 0; ii < _count; ++ii)
		{
			now += kSecond;
			const ObservedCrash seen{++upstream, now, kWriting, kUpstreams, 0};
			recordInterrupted(table, promptOf(_parts, std::to_string(upstream)), "town POST /x", seen, now);
		}
	}

	bool isRefused(const std::vector<std::string_view>& _parts, std::string_view _account = "town") const
	{
		return matchSuspects(table, promptOf(_parts, "new", _account), now).state == SuspectState::Refused;
	}
};

TEST_F(PartSuspects, APartIsRefusedAtTheThirdCrashOfDifferentPrompts)
{
	crashes({"first", "bad"}, 2);
	recordHarmlessParts(table, promptOf({"first", "good"}, "x"), now);
	EXPECT_FALSE(isRefused({"first", "bad"}));
	crashes({"first", "bad"}, 1);
	EXPECT_TRUE(isRefused({"first", "bad"}));
	EXPECT_TRUE(isRefused({"bad", "other"})) << "whatever else the prompt holds";
	EXPECT_FALSE(isRefused({"first", "good"}));
	EXPECT_FALSE(isRefused({"first"}));
}

TEST_F(PartSuspects, CrashesOfOneRequestDoNotCountAgainstItsParts)
{
	for (int ii = 0; ii < 3; ++ii)
	{
		crash(promptOf({"first", "bad"}, "the same"));
	}
	EXPECT_FALSE(isRefused({"first", "bad"}));
	EXPECT_EQ(suspectStateOf(table, promptOf({"first", "bad"}, "the same").request, now),
			  SuspectState::Refused);
	crashes({"first", "bad"}, 1);
	EXPECT_TRUE(isRefused({"first", "bad"}));
}

TEST_F(PartSuspects, OfPartsThatAlwaysComeTogetherEachRunsAlone)
{
	crashes({"first", "bad"}, 3);
	EXPECT_TRUE(isRefused({"first", "bad"}));
	EXPECT_FALSE(isRefused({"first", "good"})) << "it shows whether the first part is harmless";
	recordHarmlessParts(table, promptOf({"first", "good"}, "x"), now);
	EXPECT_TRUE(isRefused({"bad"})) << "it is the only one left";
}

// Two refused bystanders together were at all crashes of the part that caused them, and it ran on.
TEST_F(PartSuspects, SeveralHarmlessPartsTogetherDoNotExplainTheCrashesOfAnother)
{
	constexpr uint32_t kHalf = 5;
	crashesBeforeAnswer({"bystander"}, kHalf);
	crashesBeforeAnswer({"another"}, kHalf);
	crashesBeforeAnswer({"bystander"}, kHalf); // At yet other upstreams.
	crashesBeforeAnswer({"another"}, kHalf);
	ASSERT_TRUE(isRefused({"bystander"}));
	ASSERT_TRUE(isRefused({"another"}));
	for (UpstreamKey ended = 1; ended <= 2 * kHalf; ++ended)
	{
		ObservedCrash seen{ended, kStart + TimeUs(ended) * kSecond, 2 * kWriting, kUpstreams, 0};
		seen.writingFor = kWriting;
		recordInterrupted(table, promptOf({"bad"}, std::to_string(ended)), "town POST /x", seen, now);
	}
	EXPECT_TRUE(isRefused({"bad"}));
}

// A part that was answered before had room for too few crashes to be refused.
TEST_F(PartSuspects, APartThatWasAnsweredBeforeIsRefusedInTheEnd)
{
	constexpr size_t kEnough = 13;
	recordHarmlessParts(table, promptOf({"bad"}, "x"), now);
	for (size_t ii = 0; ii < kEnough; ++ii)
	{
		EXPECT_FALSE(isRefused({"bad"})) << "after " << ii;
		crash(promptOf({"bad"}, std::to_string(ii)), 2 * kEndsWithin);
	}
	EXPECT_TRUE(isRefused({"bad"}));
}

TEST_F(PartSuspects, ALongWrittenAnswerIsNoEvidenceAgainstItsParts)
{
	for (int ii = 0; ii < 6; ++ii)
	{
		crash(promptOf({"first", "good"}, std::to_string(ii)), kHarmlessWriting);
	}
	EXPECT_FALSE(isRefused({"first", "good"}));
}

// Callers name the parts of their prompts themselves.
TEST_F(PartSuspects, OneAccountsCrashesConcernNoOtherAccount)
{
	crashes({"bad"}, 3, "town");
	EXPECT_TRUE(isRefused({"bad"}, "town"));
	EXPECT_FALSE(isRefused({"bad"}, "city"));
	crashes({"bad"}, 1, "city");
	EXPECT_TRUE(isRefused({"bad"}, "village"));
}

TEST_F(PartSuspects, APopularPartIsNotRefusedWhileUpstreamsCrash)
{
	for (int ii = 0; ii < 30; ++ii)
	{
		crashes({"popular"}, 2);
		recordHarmlessParts(table, promptOf({"popular"}, "x"), now);
		EXPECT_FALSE(isRefused({"popular"}));
	}
}

// A router that had just started knew of no answer to the part that all prompts share, and gave up the
// answers of the prompts that were beside the one that ended their upstream.
TEST_F(PartSuspects, APromptBesideTheOneThatEndsUpstreamsMayBeTriedAgain)
{
	crashes({"first", "bad"}, 2);
	const SuspectSubjects beside = promptOf({"first", "good"}, "beside");
	crash(beside);
	EXPECT_FALSE(isLikelyToCrash(table, beside));
	EXPECT_TRUE(isLikelyToCrash(table, promptOf({"first", "bad"}, "x")));
}

TEST_F(PartSuspects, AnAnswerAtAnotherRouterClears)
{
	crashes({"good"}, 2);
	SuspectTable other;
	recordHarmlessParts(other, promptOf({"good"}, "x"), now + kSecond);
	uint64_t sent = 0;
	uint64_t back = 0;
	applySuspectUpdates(other, suspectUpdatesFor(table, sent, now + 2 * kSecond), now + 2 * kSecond);
	applySuspectUpdates(table, suspectUpdatesFor(other, back, now + 2 * kSecond), now + 2 * kSecond);
	now += 2 * kSecond;
	crashes({"good"}, 2);
	EXPECT_FALSE(isRefused({"good"}));
}

TEST_F(PartSuspects, OthersAreHeardBeforeAPartIsRefused)
{
	for (int ii = 0; ii < 3; ++ii)
	{
		now -= kSecond - 50 * kMsToUs;
		crash(promptOf({"bad"}, std::to_string(ii)));
	}
	EXPECT_FALSE(isRefused({"bad"}));
	now += kHearingTime;
	EXPECT_EQ(decidePendingParts(table, now).size(), 1u);
	EXPECT_TRUE(isRefused({"bad"}));
}

TEST_F(PartSuspects, ARefusedPartIsTriedOnceAfterItsPeriodAndOneAnswerClearsIt)
{
	crashes({"bad"}, 3);
	const SuspectSubjects prompt = promptOf({"bad"}, "x");
	now += kRefusalTime + kSecond;
	const SuspectMatch match = matchSuspects(table, prompt, now);
	ASSERT_EQ(match.state, SuspectState::ProbeDue);
	EXPECT_TRUE(beginProbe(table, match.digest));
	EXPECT_FALSE(beginProbe(table, match.digest)) << "one at a time";
	EXPECT_EQ(recordHarmlessParts(table, prompt, now).size(), 1u);
	EXPECT_FALSE(isRefused({"bad"}));
}

// The caller of the one run left before the crash, so that its probe had ended.
TEST_F(PartSuspects, ACrashAfterTheRefusalPeriodBeginsTheNextOne)
{
	crashes({"bad"}, 3);
	now += kRefusalTime + kSecond;
	const SuspectMatch match = matchSuspects(table, promptOf({"bad"}, "x"), now);
	ASSERT_EQ(match.state, SuspectState::ProbeDue);
	ASSERT_TRUE(beginProbe(table, match.digest));
	endProbe(table, match.digest);
	crashes({"bad"}, 1);
	EXPECT_TRUE(isRefused({"bad"}));
	EXPECT_GT(refusedFor(table.suspects.at(match.digest), now), kRefusalTime);
}

TEST_F(PartSuspects, ABlankRouterRefusesWhatItsNeighbourTells)
{
	crashes({"bad"}, 2, "town");
	crashes({"bad"}, 1, "city");
	SuspectTable blank;
	uint64_t sent = 0;
	const nlohmann::json wire(suspectUpdatesFor(table, sent, now));
	applySuspectUpdates(blank, wire.get<std::vector<SuspectUpdate>>(), now);
	EXPECT_EQ(matchSuspects(blank, promptOf({"bad"}, "new", "village"), now).state, SuspectState::Refused);
	EXPECT_EQ(matchSuspects(blank, promptOf({"good"}, "new"), now).state, SuspectState::Unknown);
}

TEST_F(PartSuspects, ARefusalIsToldAheadOfManyBystanders)
{
	uint64_t sent = 0;
	for (size_t ii = 0; ii < 10 * kMaxSuspectUpdates; ++ii)
	{
		ObservedCrash seen{1000, now, kSecond, kUpstreams, 0};
		recordInterrupted(table, promptOf({}, std::to_string(ii)), std::string(1000, 'x'), seen, now);
	}
	crashes({"bad"}, 3);
	ASSERT_TRUE(isRefused({"bad"}));
	SuspectTable other;
	const nlohmann::json wire(suspectUpdatesFor(table, sent, now));
	applySuspectUpdates(other, wire.get<std::vector<SuspectUpdate>>(), now);
	EXPECT_EQ(matchSuspects(other, promptOf({"bad"}, "new"), now).state, SuspectState::Refused);
	constexpr size_t kMaxBytes = 16u << 10;
	EXPECT_LE(nlohmann::json::to_cbor(wire).size(), kMaxBytes);
}

TEST_F(PartSuspects, RequestsWithManyPartsAreBounded)
{
	std::vector<std::string> names;
	for (size_t ii = 0; ii < 100; ++ii)
	{
		names.push_back(std::to_string(ii));
	}
	EXPECT_EQ(promptOf({names.begin(), names.end()}, "x").parts.size(), kMaxJudgedParts);
}
} // namespace
} // namespace spanplank
