/// The belief of how long prompts take to read, under a load that replays busy engines: most answers wait for
/// long prompts of a larger model, few find an engine idle.
#include <gtest/gtest.h>

#include "spanplank/upstream_table.h"

namespace spanplank
{
namespace
{
constexpr double kTrueTokenMs = 0.0053; ///< Of the smallest model on an idle engine.
constexpr double kFixedMs = 18.0;       ///< Ways and steps before the first token.
constexpr double kLongReadMs = 400.0;   ///< A prompt of the largest model, ahead in the queue.
constexpr double kBusyShare = 0.7;      ///< Part of the time for which one is being read.
constexpr uint32_t kTokens = 4000;

struct BusyEngine
{
	UpstreamTable table;
	Random random{5};
	UpstreamId engine = registerUpstream(table, {"u", "llm", "10.0.0.1:80", "a", "v1", 64, false});

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

// The belief followed the mean of what waited: 114 ms for a prompt that takes 21.
TEST(PrefillEstimate, OfABusyEngineIsBelievedWithinTwiceTheTruth)
{
	BusyEngine engine;
	engine.answer(200, kTrueTokenMs);
	EXPECT_LT(engine.estimatedMs(), 2.0 * kTrueTokenMs * kTokens);
	EXPECT_GT(engine.estimatedMs(), 0.5 * kTrueTokenMs * kTokens);
}

// An engine that had once been queued at for long was believed slow from then on, as nothing was sent there
// that could have shown otherwise: of 28 engines 21 were in use while prompts waited for 0.7 s at them.
TEST(PrefillEstimate, AnEngineThatWasOnceBusyIsUsedAgainWhenItsQueueIsGone)
{
	BusyEngine engines;
	const UpstreamId other =
		registerUpstream(engines.table, {"v", "llm", "10.0.0.2:80", "a", "v1", 64, false});
	UpstreamQuery query = engines.query();
	engines.answer(200, kTrueTokenMs);
	for (int ii = 0; ii < 20; ++ii) // A burst, each behind the one before.
	{
		const double prefillMs = recordSent(engines.table, other, query, 0);
		recordFirstToken(engines.table, other, query, prefillMs, TimeUs(ii) * 100 * kMsToUs);
		recordEnded(engines.table, other, 0.0, HealthOutcome::Good, 0);
	}
	int used = 0;
	for (uint64_t ii = 0; ii < 100; ++ii)
	{
		query.shared = {{1000 + ii, 0}}; // Prompts that no engine keeps a part of.
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
