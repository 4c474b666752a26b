/// Changes that a router can send to a follower that missed some.
#include "spanplank/change_log.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spanplank
{
namespace
{
StoreChanges changeOf(uint64_t _from, uint64_t _to, size_t _bytes = 10)
{
	StoreChanges changes{_from, _to, {}};
	for (uint64_t revision = _from + 1; revision <= _to; ++revision)
	{
		changes.items.push_back({"key", std::string(_bytes, 'x'), revision, false});
	}
	return changes;
}

RC_GTEST_PROP(ChangeLog, AFollowerWithinTheLogReceivesExactlyTheChangesThatItMissed, ())
{
	ChangeLog log;
	uint64_t newest = 100;
	const int steps = *rc::gen::inRange(1, 20);
	for (int step = 0; step < steps; ++step)
	{
		const uint64_t to = newest + *rc::gen::inRange<uint64_t>(1, 4);
		recordChanges(log, changeOf(newest, to));
		newest = to;
	}
	const uint64_t known = *rc::gen::inRange<uint64_t>(100, newest + 1);
	const StoreChanges since = changesSince(log, known, newest);
	RC_ASSERT(since.from == known);
	RC_ASSERT(since.to == newest);
	RC_ASSERT(since.items.size() == newest - known);
	for (size_t ii = 0; ii < since.items.size(); ++ii)
	{
		RC_ASSERT(since.items[ii].revision == known + 1 + ii);
	}
}

TEST(ChangeLog, AFollowerFromBeforeTheLogReceivesNoChanges)
{
	ChangeLog log;
	recordChanges(log, changeOf(100, 103));
	const StoreChanges since = changesSince(log, 99, 103);
	EXPECT_EQ(since.from, 103u) << "a follower at 99 must detect that the changes don't continue from there";
	EXPECT_TRUE(since.items.empty());
}

TEST(ChangeLog, AGapBeginsItAnew)
{
	ChangeLog log;
	recordChanges(log, changeOf(100, 103));
	recordChanges(log, changeOf(105, 106));
	EXPECT_EQ(changesSince(log, 103, 106).from, 106u);
	EXPECT_EQ(changesSince(log, 105, 106).items.size(), 1u);
	EXPECT_EQ(changesSince(log, 105, 108).from, 108u)
		<< "the log ends before the newest revision of the router";
}

TEST(ChangeLog, ItKeepsBoundedMemory)
{
	ChangeLog log;
	for (uint64_t revision = 0; revision < 100; ++revision)
	{
		recordChanges(log, changeOf(revision, revision + 1, kMaxLogBytes / 10));
	}
	EXPECT_LE(log.bytes, kMaxLogBytes);
	EXPECT_LE(log.changes.size(), 10u);
	recordChanges(log, changeOf(100, 101, 2 * kMaxLogBytes));
	EXPECT_TRUE(log.changes.empty()) << "a batch above the limit is not retained";
	EXPECT_EQ(log.bytes, 0u);
}
} // namespace
} // namespace spanplank
