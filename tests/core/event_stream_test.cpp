/// Events of a stream are passed on whole, in order and once, however their bytes arrive.
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
		const std::string whole = takeEvents(splitter, std::string_view(bytes).substr(at, step));
		const bool endsWhole = whole.empty() || whole.substr(whole.size() - 2) == "\n\n";
		RC_ASSERT(endsWhole);
		seen += whole;
		at += step;
	}
	RC_ASSERT(seen == bytes);
	RC_ASSERT(splitter.rest.empty());
	RC_ASSERT(splitter.lastId == count - 1);
}

TEST(EventStream, AnotherUpstreamGoesOnAfterTheLastWholeEvent)
{
	EventSplitter splitter;
	EXPECT_EQ(takeEvents(splitter, eventText(0) + "id: 1\nda"), eventText(0));
	EXPECT_EQ(splitter.lastId, 0);
	dropPartialEvent(splitter);
	EXPECT_EQ(takeEvents(splitter, eventText(1)), eventText(1));
	EXPECT_FALSE(splitter.disordered);
}

TEST(EventStream, AnEventThatWasPassedOnAlreadyStopsTheStream)
{
	EventSplitter splitter;
	takeEvents(splitter, eventText(3));
	EXPECT_EQ(takeEvents(splitter, eventText(3) + eventText(4)), "");
	EXPECT_TRUE(splitter.disordered);
}

TEST(EventStream, LineEndsOfBothKinds)
{
	EventSplitter splitter;
	EXPECT_EQ(takeEvents(splitter, "id:7\r\ndata: x\r\n\r\nrest"), "id:7\r\ndata: x\r\n\r\n");
	EXPECT_EQ(splitter.lastId, 7);
	EXPECT_EQ(splitter.rest, "rest");
}
} // namespace
} // namespace spanplank
