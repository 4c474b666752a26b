/// Tests of the estimated prompt processing time under a load that simulates busy engines: most answers wait
/// for long prompts of a larger model, few reach an idle engine.
#include <gtest/gtest.h>

#include "spanplank/upstream_table.h"

namespace spanplank
{
namespace
{
constexpr double kTrueTokenMs = 0.0053; ///< Of the smallest model on an idle engine.
constexpr double kFixedMs = 18.0; ///< Network and processing time before the first token, without the prompt.
constexpr double kLongReadMs = 400.0; ///< Longest wait for a prompt of the largest model ahead in the queue.
constexpr double kBusyShare = 0.7;    ///< Share of the time in which such a prompt is processed.
constexpr uint32_t kTokens = 4000;

struct BusyEngine
{
	UpstreamTable table;
	Random random{5};
	UpstreamId engine = registerUpstream(table, {"u", "llm", {"10.0.0.1", 80}, "a", "v1", 64, false});

	UpstreamQuery query() const
	{
		UpstreamQuery query;
		query.service = "llm";
		query.hall = "a";
		query.model = "small";
		query.shared = {{7, 0}};
		query.ownTokens = kTokens;
		return query;
	}

	void answer(int _count, double _tokenMs)
	{
		for (int ii = 0; ii < _count; ++ii)
		{
			const double wait = nextUnit(random) < kBusyShare ? nextUnit(random) * kLongReadMs : 0.0;
			const TimeUs latency = TimeUs((kFixedMs + wait + _tokenMs * kTokens) * double(kMsToUs));
			const double prefillMs = recordSent(table, engine, query(), 0);
			recordFirstToken(table, engine, query(), prefillMs, latency);
			recordEnded(table, engine, 0.0, HealthOutcome::Good, 0);
		}
	}

	double estimatedMs() const
	{
		return prefillMsAt(table, query(), engine, 0);
	}
};

// Guards against an estimate that follows the mean time including queueing: 114 ms for a prompt that takes
// 21 ms.
TEST(PrefillEstimate, OfABusyEngineIsEstimatedWithinTwiceTheTrueValue)
{
	BusyEngine engine;
	engine.answer(200, kTrueTokenMs);
	EXPECT_LT(engine.estimatedMs(), 2.0 * kTrueTokenMs * kTokens);
	EXPECT_GT(engine.estimatedMs(), 0.5 * kTrueTokenMs * kTokens);
}

// Guards against an engine that is avoided forever after a long queue: its estimate stayed high because no
// requests were sent there that could have lowered it. Of 28 engines 21 were in use, and prompts waited for
// 0.7 s at them.
TEST(PrefillEstimate, AnEngineThatWasOnceBusyIsUsedAgainWhenItsQueueIsGone)
{
	BusyEngine engines;
	const UpstreamId other =
		registerUpstream(engines.table, {"v", "llm", {"10.0.0.2", 80}, "a", "v1", 64, false});
	UpstreamQuery query = engines.query();
	engines.answer(200, kTrueTokenMs);
	for (int ii = 0; ii < 20; ++ii) // A burst in which each request waits for the one before.
	{
		const double prefillMs = recordSent(engines.table, other, query, 0);
		recordFirstToken(engines.table, other, query, prefillMs, TimeUs(ii) * 100 * kMsToUs);
		recordEnded(engines.table, other, 0.0, HealthOutcome::Good, 0);
	}
	int used = 0;
	for (uint64_t ii = 0; ii < 100; ++ii)
	{
		query.shared = {{1000 + ii, 0}}; // Prompts of which no engine has a cached prefix.
		used += pickDirectUpstream(engines.table, query, 0, engines.random) == other ? 1 : 0;
	}
	EXPECT_GT(used, 30);
}

TEST(PrefillEstimate, FollowsEnginesThatBecomeSlowForGood)
{
	BusyEngine engine;
	engine.answer(200, kTrueTokenMs);
	engine.answer(400, 4.0 * kTrueTokenMs);
	EXPECT_GT(engine.estimatedMs(), 2.0 * kTrueTokenMs * kTokens);
}
} // namespace
} // namespace spanplank
