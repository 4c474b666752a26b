/// Suspicion of requests that end upstreams: what counts against them, what clears them, what routers tell.
#include "spanplank/crash_suspects.h"

#include <gtest/gtest.h>
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

ObservedCrash crashAt(TimeUs _at, UpstreamKey _upstream, TimeUs _atWork = 50 * kMsToUs, uint32_t _copies = 0)
{
	return {_upstream, _at, _atWork, kUpstreams, _copies};
}

/// @returns Whether it is refused after that many crashes, a second apart.
bool refusedAfter(SuspectTable& _book, const RequestDigest& _digest, uint32_t _crashes, TimeUs _from = kStart,
				  UpstreamKey _first = 1)
{
	for (uint32_t ii = 0; ii < _crashes; ++ii)
	{
		const TimeUs at = _from + ii * kSecond;
		recordCrash(_book, _digest, "town GET /x", crashAt(at, _first + ii), at);
	}
	return suspectStateOf(_book, _digest, _from + _crashes * kSecond) == SuspectState::Refused;
}

TEST(RequestDigest, IsThatOfWhatCallersRepeatAndOfNothingElse)
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
	SuspectTable book;
	EXPECT_FALSE(refusedAfter(book, kOne, 2));
	EXPECT_EQ(suspectStateOf(book, kOne, kStart), SuspectState::Suspected);
	SuspectTable another;
	EXPECT_TRUE(refusedAfter(another, kOne, 3));
	EXPECT_EQ(suspectStateOf(another, kOther, kStart), SuspectState::Unknown);
}

TEST(CrashSuspects, ThreeCrashesInOneTryAreEnough)
{
	SuspectTable book;
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		const TimeUs at = kStart + TimeUs(ii) * 40 * kMsToUs;
		recordCrash(book, kOne, "", crashAt(at, ii + 1, 30 * kMsToUs), at);
	}
	EXPECT_EQ(suspectStateOf(book, kOne, kStart), SuspectState::Refused);
}

TEST(CrashSuspects, AWholeAnswerClears)
{
	SuspectTable book;
	refusedAfter(book, kOne, 2);
	EXPECT_TRUE(clearSuspect(book, kOne, kStart));
	EXPECT_FALSE(clearSuspect(book, kOne, kStart));
	EXPECT_FALSE(refusedAfter(book, kOne, 5, kStart + 10 * kSecond, 10)) << "it has run before";
	EXPECT_TRUE(refusedAfter(book, kOne, 6, kStart + 20 * kSecond, 10));
}

TEST(CrashSuspects, AHallThatIsLostUnderManyCopiesCountsOnce)
{
	SuspectTable book;
	for (uint32_t ii = 0; ii < 8; ++ii)
	{
		const TimeUs at = kStart + TimeUs(ii) * 10 * kMsToUs;
		recordCrash(book, kOne, "", crashAt(at, ii + 1, kSecond), at);
	}
	EXPECT_EQ(suspectStateOf(book, kOne, kStart), SuspectState::Suspected);
}

TEST(CrashSuspects, OneThatIsAtMostUpstreamsIsAtMostCrashesToo)
{
	SuspectTable book;
	recordAnswered(book, kOne, kStart);
	for (uint32_t ii = 0; ii < kMaxCrashesPerSuspect; ++ii)
	{
		const TimeUs at = kStart + ii * kSecond;
		recordCrash(book, kOne, "", crashAt(at, ii + 1, kSecond, kUpstreams - 1), at);
	}
	EXPECT_EQ(suspectStateOf(book, kOne, kStart), SuspectState::Suspected);
}

TEST(CrashSuspects, CrashesUnderARefusedOneAreNotHeldAgainstOthers)
{
	SuspectTable book;
	ASSERT_TRUE(refusedAfter(book, kOne, 3));
	EXPECT_FALSE(refusedAfter(book, kOther, 2)) << "the same upstreams";
	EXPECT_FALSE(refusedAfter(book, kOther, 1, kStart, 10)) << "two of three are explained";
}

TEST(CrashSuspects, ABystanderThatIsRefusedByMistakeDoesNotCoverUpForTheOther)
{
	SuspectTable book;
	ASSERT_TRUE(refusedAfter(book, kOther, 3)) << "it was at work at the same three";
	EXPECT_TRUE(refusedAfter(book, kOne, 3));
}

TEST(CrashSuspects, OneOfManyRunsWhileUpstreamsEndByThemselvesIsNotRefusedForThree)
{
	SuspectTable book;
	for (uint32_t ii = 0; ii < 20; ++ii) // Under other requests, twice a second.
	{
		const TimeUs at = kStart + ii * kSecond / 2;
		recordCrash(book, RequestDigest{100, ii}, "", crashAt(at, 100 + ii), at);
	}
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		const TimeUs at = kStart + (3 + ii) * kSecond;
		recordCrash(book, kOne, "", crashAt(at, ii + 1, 2 * kSecond), at);
	}
	EXPECT_EQ(suspectStateOf(book, kOne, kStart), SuspectState::Suspected);
}

TEST(CrashSuspects, ARefusalEndsWithOneRunThatShowsWhatHasChanged)
{
	SuspectTable book;
	refusedAfter(book, kOne, 3);
	const TimeUs due = kStart + 3 * kSecond + kRefusalTime;
	EXPECT_EQ(suspectStateOf(book, kOne, due), SuspectState::ProbeDue);
	EXPECT_TRUE(beginProbe(book, kOne));
	EXPECT_FALSE(beginProbe(book, kOne)) << "one at a time";
	recordCrash(book, kOne, "", crashAt(due, 50), due);
	EXPECT_EQ(suspectStateOf(book, kOne, due + kRefusalTime + kSecond), SuspectState::Refused)
		<< "twice as long";
	EXPECT_EQ(suspectStateOf(book, kOne, due + 2 * kRefusalTime + kSecond), SuspectState::ProbeDue);
	EXPECT_TRUE(beginProbe(book, kOne));
	EXPECT_TRUE(clearSuspect(book, kOne, due));
	EXPECT_EQ(suspectStateOf(book, kOne, due), SuspectState::Unknown);
}

TEST(CrashSuspects, TheBookIsBoundedAndKeepsRefusedOnesLongest)
{
	SuspectTable book;
	refusedAfter(book, kOne, 3);
	for (uint32_t ii = 0; ii < 2 * kMaxSuspects; ++ii)
	{
		recordCrash(book, RequestDigest{100, ii}, std::string(1000, 'x'), crashAt(kStart, 1000 + ii), kStart);
	}
	EXPECT_EQ(book.suspects.size(), kMaxSuspects);
	EXPECT_EQ(book.byChange.size(), kMaxSuspects);
	EXPECT_LE(book.crashes.size(), kMaxCrashes);
	EXPECT_EQ(suspectStateOf(book, kOne, kStart), SuspectState::Refused);
	EXPECT_LE(book.suspects.rbegin()->second.label.size(), kMaxLabelBytes);
	expireSuspects(book, kStart + kSuspicionTime + kRefusalTime + 9 * kSecond);
	EXPECT_TRUE(book.suspects.empty());
	EXPECT_TRUE(book.byChange.empty());
	EXPECT_TRUE(book.explainedBy.empty());
}

/// Tells `_to` what is new at `_from`, through the wire's form. @returns Bytes.
size_t tell(const SuspectTable& _from, uint64_t& _told, SuspectTable& _to, TimeUs _now,
			std::vector<RequestDigest>* _refused = nullptr)
{
	const nlohmann::json wire(suspectUpdatesFor(_from, _told, _now));
	const auto refused = applySuspectUpdates(_to, wire.get<std::vector<SuspectUpdate>>(), _now);
	if (_refused != nullptr)
	{
		*_refused = refused;
	}
	return nlohmann::json::to_cbor(wire).size();
}

TEST(SuspectUpdate, CrashesThatThreeRoutersSawAreOneSuspect)
{
	SuspectTable books[3];
	uint64_t told[3] = {};
	for (uint32_t ii = 0; ii < 3; ++ii)
	{
		const TimeUs at = kStart + ii * kSecond;
		recordCrash(books[ii], kOne, "town GET /x", crashAt(at, ii + 1), at);
	}
	const TimeUs now = kStart + 3 * kSecond;
	std::vector<RequestDigest> refused;
	tell(books[0], told[0], books[1], now);
	tell(books[1], told[1], books[2], now, &refused);
	ASSERT_EQ(refused.size(), 1u);
	EXPECT_EQ(suspectStateOf(books[2], kOne, now), SuspectState::Refused);
	EXPECT_EQ(books[2].suspects.at(kOne).label, "town GET /x");
	uint64_t back = 0;
	tell(books[2], back, books[0], now, &refused);
	EXPECT_EQ(refused.size(), 1u);
	EXPECT_EQ(suspectStateOf(books[0], kOne, now), SuspectState::Refused);
}

TEST(SuspectUpdate, GoRoundARingOnce)
{
	SuspectTable left;
	SuspectTable right;
	refusedAfter(left, kOne, 3);
	uint64_t toRight = 0;
	uint64_t toLeft = 0;
	TimeUs now = kStart + 5 * kSecond;
	tell(left, toRight, right, now);
	tell(right, toLeft, left, now += 100 * kMsToUs);
	const uint64_t settled = left.changes + right.changes;
	for (int ii = 0; ii < 5; ++ii)
	{
		tell(left, toRight, right, now += 100 * kMsToUs);
		tell(right, toLeft, left, now += 100 * kMsToUs);
	}
	EXPECT_EQ(left.changes + right.changes, settled);
}

TEST(SuspectUpdate, AClearedOneIsClearedEverywhereAndLateNewsOfItAreOld)
{
	SuspectTable left;
	SuspectTable right;
	refusedAfter(left, kOne, 3);
	uint64_t told = 0;
	tell(left, told, right, kStart + 5 * kSecond);
	SuspectTable late = left;
	clearSuspect(right, kOne, kStart + 6 * kSecond);
	uint64_t back = 0;
	tell(right, back, left, kStart + 7 * kSecond);
	EXPECT_EQ(suspectStateOf(left, kOne, kStart + 7 * kSecond), SuspectState::Unknown);
	uint64_t fromLate = 0;
	tell(late, fromLate, right, kStart + 7 * kSecond);
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
	uint64_t told = 0;
	constexpr size_t kMostBytes = 16u << 10;
	for (int ii = 0; ii < 3; ++ii)
	{
		EXPECT_LE(tell(left, told, right, kStart), kMostBytes);
	}
	EXPECT_EQ(right.suspects.size(), 3 * kMaxSuspectUpdates);
}
} // namespace
} // namespace spanplank
