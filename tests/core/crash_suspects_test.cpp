/// Suspects: crashes that count against a request, what clears it, and updates between routers.
#include "spanplank/crash_suspects.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <set>

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kStart = 100 * kSecond;
constexpr uint32_t kUpstreams = 20;
const RequestDigest kOne{1, 1};
const RequestDigest kOther{2, 2};

ObservedCrash crashAt(TimeUs _at, UpstreamKey _upstream, TimeUs _runningFor = 50 * kMsToUs,
					  uint32_t _copies = 0)
{
	return {_upstream, _at, _runningFor, kUpstreams, _copies};
}

/// @returns Whether a request is refused after a number of crashes, one second apart.
bool refusedAfter(SuspectTable& _suspects, const RequestDigest& _digest, uint32_t _crashes,
				  TimeUs _from = kStart, UpstreamKey _first = 1)
{
	for (uint32_t ii = 0; ii < _crashes; ++ii)
	{
		const TimeUs at = _from + ii * kSecond;
		recordCrash(_suspects, _digest, "town GET /x", crashAt(at, _first + ii), at);
	}
	return suspectStateOf(_suspects, _digest, _from + _crashes * kSecond) == SuspectState::Refused;
}

TEST(RequestDigest, DependsOnAllPartsOfTheRequestAndOnNothingElse)
{
	const RequestParts parts{"town", "host", "GET", "/a?b", "body"};
	EXPECT_TRUE(digestOf(parts) == digestOf(parts));
	const RequestParts others[] = {{"city", "host", "GET", "/a?b", "body"},
								   {"town", "hos", "tGET", "/a?b", "body"},
								   {"town", "host", "GET", "/a?bb", "ody"},
								   {"town", "host", "POST", "/a?b", "body"},
								   {"", "host", "GET", "/a?b", "body"}};
	for (const RequestParts& other : others)
	{
		EXPECT_FALSE(digestOf(parts) == digestOf(other));
	}
	EXPECT_TRUE(*digestFromHex(digestToHex(digestOf(parts))) == digestOf(parts));
	EXPECT_FALSE(digestFromHex("0123").has_value());
	EXPECT_FALSE(digestFromHex(std::string(32, 'g')).has_value());
}

TEST(CrashSuspects, OneIsRefusedAtItsThirdCrashAndNotBefore)
{
	SuspectTable suspects;
	EXPECT_FALSE(refusedAfter(suspects, kOne, 2));
	EXPECT_EQ(suspectStateOf(suspects, kOne, kStart), SuspectState::Suspected);
	SuspectTable another;
	EXPECT_TRUE(refusedAfter(another, kOne, 3));
	EXPECT_EQ(suspectStateOf(another, kOther, kStart), SuspectState::Unknown);
}

TEST(CrashSuspects, ThreeCrashesOfOneRequestAreEnough)
{
	SuspectTable suspects;
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		const TimeUs at = kStart + TimeUs(ii) * 40 * kMsToUs;
		recordCrash(suspects, kOne, "", crashAt(at, ii + 1, 30 * kMsToUs), at);
	}
	EXPECT_EQ(suspectStateOf(suspects, kOne, kStart), SuspectState::Refused);
}

TEST(CrashSuspects, ACompleteAnswerClears)
{
	SuspectTable suspects;
	refusedAfter(suspects, kOne, 2);
	EXPECT_TRUE(clearSuspect(suspects, kOne, kStart));
	EXPECT_FALSE(clearSuspect(suspects, kOne, kStart));
	EXPECT_FALSE(refusedAfter(suspects, kOne, 5, kStart + 10 * kSecond, 10)) << "it has run before";
	EXPECT_TRUE(refusedAfter(suspects, kOne, 6, kStart + 20 * kSecond, 10));
}

TEST(CrashSuspects, AHallThatIsLostUnderManyCopiesCountsOnce)
{
	SuspectTable suspects;
	for (uint32_t ii = 0; ii < 8; ++ii)
	{
		const TimeUs at = kStart + TimeUs(ii) * 10 * kMsToUs;
		recordCrash(suspects, kOne, "", crashAt(at, ii + 1, kSecond), at);
	}
	EXPECT_EQ(suspectStateOf(suspects, kOne, kStart), SuspectState::Suspected);
}

TEST(CrashSuspects, ARequestThatRunsAtMostUpstreamsIsNotRefused)
{
	SuspectTable suspects;
	recordAnswered(suspects, kOne, kStart);
	for (uint32_t ii = 0; ii < kMaxCrashesPerSuspect; ++ii)
	{
		const TimeUs at = kStart + ii * kSecond;
		recordCrash(suspects, kOne, "", crashAt(at, ii + 1, kSecond, kUpstreams - 1), at);
	}
	EXPECT_EQ(suspectStateOf(suspects, kOne, kStart), SuspectState::Suspected);
}

TEST(CrashSuspects, CrashesAttributedToARefusedOneDoNotCountAgainstOthers)
{
	SuspectTable suspects;
	ASSERT_TRUE(refusedAfter(suspects, kOne, 3));
	EXPECT_FALSE(refusedAfter(suspects, kOther, 2)) << "the same upstreams";
	EXPECT_FALSE(refusedAfter(suspects, kOther, 1, kStart, 10)) << "two of three are explained";
}

TEST(CrashSuspects, AHarmlessRequestRefusedByMistakeDoesNotProtectTheOther)
{
	SuspectTable suspects;
	ASSERT_TRUE(refusedAfter(suspects, kOther, 3)) << "it was running at the same three";
	EXPECT_TRUE(refusedAfter(suspects, kOne, 3));
}

TEST(CrashSuspects, ThreeCrashesAreNotEnoughWhileManyUpstreamsEndWithoutTheRequest)
{
	SuspectTable suspects;
	for (uint32_t ii = 0; ii < 20; ++ii) // Running other requests, twice a second.
	{
		const TimeUs at = kStart + ii * kSecond / 2;
		recordCrash(suspects, RequestDigest{100, ii}, "", crashAt(at, 100 + ii), at);
	}
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		const TimeUs at = kStart + (3 + ii) * kSecond;
		recordCrash(suspects, kOne, "", crashAt(at, ii + 1, 2 * kSecond), at);
	}
	EXPECT_EQ(suspectStateOf(suspects, kOne, kStart), SuspectState::Suspected);
}

TEST(CrashSuspects, ARefusalEndsWithOneProbe)
{
	SuspectTable suspects;
	refusedAfter(suspects, kOne, 3);
	const TimeUs due = kStart + 3 * kSecond + kRefusalTime;
	EXPECT_EQ(suspectStateOf(suspects, kOne, due), SuspectState::ProbeDue);
	EXPECT_TRUE(beginProbe(suspects, kOne));
	EXPECT_FALSE(beginProbe(suspects, kOne)) << "one at a time";
	recordCrash(suspects, kOne, "", crashAt(due, 50), due);
	EXPECT_EQ(suspectStateOf(suspects, kOne, due + kRefusalTime + kSecond), SuspectState::Refused)
		<< "twice as long";
	EXPECT_EQ(suspectStateOf(suspects, kOne, due + 2 * kRefusalTime + kSecond), SuspectState::ProbeDue);
	EXPECT_TRUE(beginProbe(suspects, kOne));
	EXPECT_TRUE(clearSuspect(suspects, kOne, due));
	EXPECT_EQ(suspectStateOf(suspects, kOne, due), SuspectState::Unknown);
}

TEST(CrashSuspects, TheTableIsBoundedAndRemovesRefusedOnesLast)
{
	SuspectTable suspects;
	refusedAfter(suspects, kOne, 3);
	for (uint32_t ii = 0; ii < 2 * kMaxSuspects; ++ii)
	{
		recordCrash(suspects, RequestDigest{100, ii}, std::string(1000, 'x'), crashAt(kStart, 1000 + ii),
					kStart);
	}
	EXPECT_EQ(suspects.suspects.size(), kMaxSuspects);
	EXPECT_EQ(suspects.byChange.size(), kMaxSuspects);
	EXPECT_LE(suspects.crashes.size(), kMaxCrashes);
	EXPECT_EQ(suspectStateOf(suspects, kOne, kStart), SuspectState::Refused);
	EXPECT_LE(suspects.suspects.rbegin()->second.label.size(), kMaxLabelBytes);
	expireSuspects(suspects, kStart + kSuspicionTime + kRefusalTime + 9 * kSecond);
	EXPECT_TRUE(suspects.suspects.empty());
	EXPECT_TRUE(suspects.byChange.empty());
	EXPECT_TRUE(suspects.explainedBy.empty());
}

/// Sends the updates of `_from` to `_to` in the wire format. @returns The size of the message in bytes.
size_t sendUpdates(const SuspectTable& _from, uint64_t& _sent, SuspectTable& _to, TimeUs _now,
				   std::vector<RequestDigest>* _refused = nullptr)
{
	const nlohmann::json wire(suspectUpdatesFor(_from, _sent, _now));
	const auto refused = applySuspectUpdates(_to, wire.get<std::vector<SuspectUpdate>>(), _now);
	if (_refused != nullptr)
	{
		*_refused = refused;
	}
	return nlohmann::json::to_cbor(wire).size();
}

TEST(SuspectUpdate, CrashesThatThreeRoutersObservedAreOneSuspect)
{
	SuspectTable tables[3];
	uint64_t sent[3] = {};
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		const TimeUs at = kStart + ii * kSecond;
		recordCrash(tables[ii], kOne, "town GET /x", crashAt(at, ii + 1), at);
	}
	const TimeUs now = kStart + 3 * kSecond;
	std::vector<RequestDigest> refused;
	sendUpdates(tables[0], sent[0], tables[1], now);
	sendUpdates(tables[1], sent[1], tables[2], now, &refused);
	ASSERT_EQ(refused.size(), 1u);
	EXPECT_EQ(suspectStateOf(tables[2], kOne, now), SuspectState::Refused);
	EXPECT_EQ(tables[2].suspects.at(kOne).label, "town GET /x");
	uint64_t back = 0;
	sendUpdates(tables[2], back, tables[0], now, &refused);
	EXPECT_EQ(refused.size(), 1u);
	EXPECT_EQ(suspectStateOf(tables[0], kOne, now), SuspectState::Refused);
}

// A label with bytes that are no UTF-8 could not be written as JSON.
RC_GTEST_PROP(SuspectUpdate, HoldsAnyLabelAsItCame, (const std::string& _bytes))
{
	SuspectUpdate update;
	update.suspect.label = _bytes + "\xff\\x41\"" + _bytes;
	const std::string text = nlohmann::json(update).dump();
	RC_ASSERT(nlohmann::json::parse(text).get<SuspectUpdate>().suspect.label == update.suspect.label);
}

TEST(SuspectUpdate, PassesARingOnce)
{
	SuspectTable left;
	SuspectTable right;
	refusedAfter(left, kOne, 3);
	uint64_t toRight = 0;
	uint64_t toLeft = 0;
	TimeUs now = kStart + 5 * kSecond;
	sendUpdates(left, toRight, right, now);
	sendUpdates(right, toLeft, left, now += 100 * kMsToUs);
	const uint64_t synced = left.changes + right.changes;
	for (int ii = 0; ii < 5; ++ii)
	{
		sendUpdates(left, toRight, right, now += 100 * kMsToUs);
		sendUpdates(right, toLeft, left, now += 100 * kMsToUs);
	}
	EXPECT_EQ(left.changes + right.changes, synced);
}

TEST(SuspectUpdate, AClearedOneIsClearedEverywhereAndLateUpdatesOfItHaveNoEffect)
{
	SuspectTable left;
	SuspectTable right;
	refusedAfter(left, kOne, 3);
	uint64_t sent = 0;
	sendUpdates(left, sent, right, kStart + 5 * kSecond);
	SuspectTable late = left;
	clearSuspect(right, kOne, kStart + 6 * kSecond);
	uint64_t back = 0;
	sendUpdates(right, back, left, kStart + 7 * kSecond);
	EXPECT_EQ(suspectStateOf(left, kOne, kStart + 7 * kSecond), SuspectState::Unknown);
	uint64_t fromLate = 0;
	sendUpdates(late, fromLate, right, kStart + 7 * kSecond);
	EXPECT_EQ(suspectStateOf(right, kOne, kStart + 7 * kSecond), SuspectState::Unknown);
}

TEST(SuspectUpdate, AMessageIsBoundedAndTheRestFollows)
{
	SuspectTable left;
	SuspectTable right;
	for (uint32_t ii = 0; ii < 3 * kMaxSuspectUpdates; ++ii)
	{
		recordCrash(left, RequestDigest{9, ii}, std::string(1000, 'x'), crashAt(kStart, ii), kStart);
	}
	uint64_t sent = 0;
	constexpr size_t kMaxBytes = 16u << 10;
	for (int ii = 0; ii < 3; ++ii)
	{
		EXPECT_LE(sendUpdates(left, sent, right, kStart), kMaxBytes);
	}
	EXPECT_EQ(right.suspects.size(), 3 * kMaxSuspectUpdates);
}
} // namespace
} // namespace spanplank
