/// Speeds of upstreams: means of ratios, their exchange between routers, and their use in the choice.
#include "spanplank/engine_speed.h"

#include <cmath>
#include <gtest/gtest.h>
#include <iostream>
#include <limits>
#include <numeric>

#include "engine_replay.h"
#include "spanplank/peer_messages.h"

namespace spanplank
{
namespace
{
using engine_replay::kSecond;
constexpr TimeUs kNow = 5 * kSecond;
constexpr UpstreamKey kEngine = 7;

/// A third of the engines at each of the speeds 1, 1.6 and 0.25.
engine_replay::Settings mixedEngines(uint64_t _seed, bool _bySpeed)
{
	engine_replay::Settings settings;
	for (int ii = 0; ii < 18; ++ii)
	{
		constexpr double kSpeeds[] = {1.0, 1.6, 0.25};
		settings.speeds.push_back(kSpeeds[ii % 3]);
	}
	settings.seed = _seed;
	settings.bySpeed = _bySpeed;
	return settings;
}

void print(const char* _name, const engine_replay::Result& _result)
{
	using engine_replay::percentile;
	std::cout << fmt::format(
		"{}: {} first tokens, ratio p50 {:.2f} p90 {:.2f} p99 {:.2f}; to mean p50 {:.2f} p90 {:.2f} p99 "
		"{:.2f}; end p50 {:.2f} p90 {:.2f}; ms p50 {:.0f} p90 {:.0f} p99 {:.0f}\n",
		_name, _result.firstTokenMs.size(), percentile(_result.firstTokenRatios, 0.5),
		percentile(_result.firstTokenRatios, 0.9), percentile(_result.firstTokenRatios, 0.99),
		percentile(_result.meanRatios, 0.5), percentile(_result.meanRatios, 0.9),
		percentile(_result.meanRatios, 0.99), percentile(_result.endRatios, 0.5),
		percentile(_result.endRatios, 0.9), percentile(_result.firstTokenMs, 0.5),
		percentile(_result.firstTokenMs, 0.9), percentile(_result.firstTokenMs, 0.99));
}

// Guards against estimates that take engines of different speed as alike: the targets of
// docs/hard-load.md, which the estimate without speeds misses in the same replay.
TEST(EngineSpeedReplay, ExpectedTimesFollowEnginesOfDifferentSpeed)
{
	using engine_replay::percentile;
	for (uint64_t seed = 1; seed <= 5; ++seed)
	{
		const engine_replay::Result with = engine_replay::Replay(mixedEngines(seed, true)).run();
		const engine_replay::Result without = engine_replay::Replay(mixedEngines(seed, false)).run();
		print("with speeds", with);
		print("without", without);
		EXPECT_LT(percentile(with.firstTokenRatios, 0.9), 2.5) << "seed " << seed;
		EXPECT_LT(percentile(with.firstTokenRatios, 0.99), 8.0) << "seed " << seed;
		EXPECT_LT(percentile(with.endRatios, 0.9), 2.0) << "seed " << seed;
	}
}
} // namespace
} // namespace spanplank
