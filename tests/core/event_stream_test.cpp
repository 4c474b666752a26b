/// Events of a stream are returned complete, in order and once, however their bytes are split.
#include "spanplank/event_stream.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spanplank
{
namespace
{
std::string eventText(int64_t _id)
{
	return fmt::format("id: {}\ndata: token {}\n\n", _id, _id);
}

RC_GTEST_PROP(EventStream, AnySplitOfTheBytesGivesTheSameEvents, ())
{
	const auto count = *rc::gen::inRange(0, 20);
	std::string bytes;
	for (int ii = 0; ii < count; ++ii)
	{
		bytes += eventText(ii);
	}
	EventSplitter splitter;
	std::string seen;
	size_t at = 0;
	while (at < bytes.size())
	{
		const size_t step = std::min<size_t>(size_t(*rc::gen::inRange(1, 40)), bytes.size() - at);
		const std::string events = splitEvents(splitter, std::string_view(bytes).substr(at, step));
		const bool endsComplete = events.empty() || events.substr(events.size() - 2) == "\n\n";
		RC_ASSERT(endsComplete);
		seen += events;
		at += step;
	}
	RC_ASSERT(seen == bytes);
	RC_ASSERT(splitter.partialEvent.empty());
	RC_ASSERT(splitter.lastEventId == count - 1);
}

TEST(EventStream, AnotherUpstreamResumesAfterTheLastCompleteEvent)
{
	EventSplitter splitter;
	EXPECT_EQ(splitEvents(splitter, eventText(0) + "id: 1\nda"), eventText(0));
	EXPECT_EQ(splitter.lastEventId, 0);
	dropPartialEvent(splitter);
	EXPECT_EQ(splitEvents(splitter, eventText(1)), eventText(1));
	EXPECT_FALSE(splitter.outOfOrder);
}

TEST(EventStream, AnEventThatWasPassedOnAlreadyStopsTheStream)
{
	EventSplitter splitter;
	splitEvents(splitter, eventText(3));
	EXPECT_EQ(splitEvents(splitter, eventText(3) + eventText(4)), "");
	EXPECT_TRUE(splitter.outOfOrder);
}

// An event without an end was kept whole, and searched again from its beginning with each piece.
TEST(EventStream, AnEventWithoutAnEndIsTooLong)
{
	const std::string piece(8192, 'x');
	EventSplitter splitter;
	size_t pieces = 0;
	while (!splitter.tooLong && pieces * piece.size() <= 2 * kMaxEventBytes)
	{
		EXPECT_EQ(splitEvents(splitter, piece), "");
		EXPECT_EQ(splitter.searchedBytes, splitter.partialEvent.size());
		++pieces;
	}
	EXPECT_TRUE(splitter.tooLong);
	EXPECT_LE(splitter.partialEvent.size(), kMaxEventBytes + piece.size());
}

TEST(EventStream, TheEndOfAnEventMayComeByteByByte)
{
	EventSplitter splitter;
	std::string seen;
	for (const char byte : std::string("id: 0\r\ndata: a\r\n\r\nid: 1\ndata: b\n\n"))
	{
		seen += splitEvents(splitter, {&byte, 1});
	}
	EXPECT_EQ(seen, "id: 0\r\ndata: a\r\n\r\nid: 1\ndata: b\n\n");
	EXPECT_EQ(splitter.lastEventId, 1);
}

TEST(EventStream, LineEndsOfBothKinds)
{
	EventSplitter splitter;
	EXPECT_EQ(splitEvents(splitter, "id:7\r\ndata: x\r\n\r\nrest"), "id:7\r\ndata: x\r\n\r\n");
	EXPECT_EQ(splitter.lastEventId, 7);
	EXPECT_EQ(splitter.partialEvent, "rest");
}
} // namespace
} // namespace spanplank
