/// Rest that upstreams ask for: what they get meanwhile and after it, and what callers are told.
#include "spanplank/upstream_rest.h"

#include <gtest/gtest.h>

#include "spanplank/request_plan.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;

TEST(UpstreamRest, LastsAsLongAsItIsAskedForAndLittleLonger)
{
	for (const double spread : {0.0, 0.5, 1.0})
	{
		RestState rest;
		EXPECT_TRUE(recordRestAsked(rest, 3000.0, spread, kSecond));
		EXPECT_TRUE(isResting(rest, 4 * kSecond - 1));
		EXPECT_FALSE(isResting(rest, 5 * kSecond));
	}
}

TEST(UpstreamRest, IsNeitherEndlessNorShortenedByALaterAnswer)
{
	RestState rest;
	EXPECT_FALSE(recordRestAsked(rest, 0.0, 0.0, 0));
	EXPECT_TRUE(mayReceive(rest, 0));
	recordRestAsked(rest, 1e300, 0.0, 0);
	EXPECT_EQ(rest.until, kMaxRest);
	EXPECT_FALSE(recordRestAsked(rest, 10.0, 0.0, kSecond)) << "it rests already";
	EXPECT_EQ(rest.until, kMaxRest);
}

TEST(UpstreamRest, IsFollowedByOneRequestUntilThatIsAccepted)
{
	RestState rest;
	recordRestAsked(rest, 1000.0, 0.0, 0);
	EXPECT_TRUE(mayReceive(rest, kSecond));
	EXPECT_TRUE(recordRestProbe(rest));
	EXPECT_FALSE(mayReceive(rest, kSecond));
	recordRestAsked(rest, 1000.0, 0.0, kSecond);
	endRestProbe(rest, false);
	EXPECT_FALSE(mayReceive(rest, kSecond + 1)) << "it rests again";
	EXPECT_TRUE(recordRestProbe(rest));
	endRestProbe(rest, true);
	EXPECT_TRUE(mayReceive(rest, 2 * kSecond));
	EXPECT_FALSE(recordRestProbe(rest)) << "no probe is needed any more";
	EXPECT_TRUE(mayReceive(rest, 2 * kSecond));
}

struct RestTable : testing::Test
{
	UpstreamTable table;
	Random random{1};
	UpstreamId one = add("one");

	UpstreamId add(const std::string& _id)
	{
		UpstreamRecord record;
		record.id = _id;
		record.service = "app";
		return registerUpstream(table, record);
	}

	static UpstreamQuery query()
	{
		UpstreamQuery query;
		query.service = "app";
		return query;
	}

	void askForRest(UpstreamId _upstream, double _ms)
	{
		recordRestAsked(table.entries.at(_upstream.idx).rest, _ms, 0.0, 0);
	}
};

TEST_F(RestTable, OthersAreChosenMeanwhile)
{
	const UpstreamId two = add("two");
	askForRest(one, 3000.0);
	for (int ii = 0; ii < 20; ++ii)
	{
		EXPECT_TRUE(pickDirectUpstream(table, query(), kSecond, random) == two);
	}
	EXPECT_FALSE(maySendTo(table, one, kSecond)) << "chosen before";
}

TEST_F(RestTable, WhereAllRestTheRefusalFollowsFromTheShortestRest)
{
	const UpstreamId two = add("two");
	askForRest(one, 3000.0);
	askForRest(two, 2000.0);
	EXPECT_FALSE(isValid(pickDirectUpstream(table, query(), kSecond, random)));
	EXPECT_EQ(noUpstreamReason(table, query(), kSecond), NoUpstream::Resting);
	const std::set<uint32_t> tried{one.idx, two.idx};
	UpstreamQuery rejected = query();
	rejected.tried = &tried;
	EXPECT_EQ(noUpstreamReason(table, rejected, kSecond), NoUpstream::Resting) << "both rejected it";
	const std::optional<TimeUs> acceptsAt = nextSendAt(table, query(), kSecond);
	EXPECT_EQ(acceptsAt, 2 * kSecond);
	const FinalAnswer answer =
		finalAnswer({}, AttemptEnd::NotRun, NoUpstream::Resting, 0.0, kSecond, *acceptsAt);
	EXPECT_EQ(answer.status, status::kUnavailable);
	EXPECT_EQ(answer.retryAfterMs, 1000u);
	EXPECT_LE(finalAnswer({}, AttemptEnd::NotRun, NoUpstream::Resting, 1.0, 0, kNever).retryAfterMs,
			  uint32_t(kMaxRest / kMsToUs) + 1000u);
}

TEST_F(RestTable, AProbeIsOneRequestAndNobodyWaitsForItsEnd)
{
	askForRest(one, 1000.0);
	ASSERT_TRUE(pickDirectUpstream(table, query(), kSecond, random) == one);
	recordSent(table, one, query(), kSecond);
	EXPECT_FALSE(isValid(pickDirectUpstream(table, query(), kSecond, random)));
	EXPECT_EQ(nextSendAt(table, query(), kSecond), kNever);
}

TEST_F(RestTable, ARestartUnderTheSameIdDoesNotRest)
{
	UpstreamRecord record = table.entries.at(one.idx).record;
	record.startedAtMs = 1000;
	registerUpstream(table, record);
	askForRest(one, 3000.0);
	record.startedAtMs = 2000;
	registerUpstream(table, record);
	EXPECT_TRUE(isValid(pickDirectUpstream(table, query(), kSecond, random)));
}
} // namespace
} // namespace spanplank
