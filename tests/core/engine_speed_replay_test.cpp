/// Replays of routers and engines of different speed: estimates, avoidance and return of slow engines.
#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <numeric>

#include "engine_replay.h"

namespace spanplank
{
namespace
{
using engine_replay::kSecond;

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
	for (uint64_t seed = 1; seed <= 10; ++seed)
	{
		const engine_replay::Result with = engine_replay::Replay(mixedEngines(seed, true)).run();
		const engine_replay::Result without = engine_replay::Replay(mixedEngines(seed, false)).run();
		print("with speeds", with);
		print("without", without);
		EXPECT_LT(percentile(with.firstTokenRatios, 0.9), 2.5) << "seed " << seed;
		EXPECT_LT(percentile(with.firstTokenRatios, 0.99), 8.0) << "seed " << seed;
		EXPECT_LT(percentile(with.endRatios, 0.9), 2.0) << "seed " << seed;
		EXPECT_GT(percentile(without.firstTokenRatios, 0.9), 2.5) << "seed " << seed;
		EXPECT_GT(percentile(without.firstTokenRatios, 0.99), 8.0) << "seed " << seed;
		EXPECT_LT(percentile(with.firstTokenMs, 0.99), percentile(without.firstTokenMs, 0.99))
			<< "seed " << seed;
	}
}

/// @returns The share of requests that are sent to the first of the engines, by second.
std::vector<double> sharesOfFirst(const engine_replay::Result& _result, double _perSecond)
{
	std::vector<double> shares;
	const auto perSecond = size_t(_perSecond);
	for (size_t from = 0; from + perSecond <= _result.picks.size(); from += perSecond)
	{
		const auto begin = _result.picks.begin() + long(from);
		shares.push_back(double(std::count(begin, begin + long(perSecond), 0u)) / _perSecond);
	}
	return shares;
}

// Guards against an engine that stays avoided after it was slow from 10 s to 20 s. Its old samples have a
// weight below 0.2 from 31 s on.
TEST(EngineSpeedReplay, AnEngineThatSlowsDownIsAvoidedAndUsedAgainAfterwards)
{
	for (uint64_t seed = 1; seed <= 5; ++seed)
	{
		engine_replay::Settings settings;
		settings.speeds.assign(6, 1.0);
		settings.perSecond = 40.0;
		settings.duration = 42 * kSecond;
		settings.newPartsPerSecond = 12.0;
		settings.seed = seed;
		settings.speedAt = [](uint32_t _engine, TimeUs _now) {
			const bool slow = _engine == 0 && _now >= 11 * kSecond && _now < 21 * kSecond;
			return slow ? 0.1 : 1.0;
		};
		const std::vector<double> shares = sharesOfFirst(engine_replay::Replay(settings).run(), 40.0);
		ASSERT_GE(shares.size(), 39u);
		const auto mean = [&](size_t _from, size_t _to) {
			return std::accumulate(shares.begin() + long(_from), shares.begin() + long(_to), 0.0) /
				   double(_to - _from);
		};
		std::cout << fmt::format(
			"share of the first engine: {:.3f} before, {:.3f} while slow, {:.3f} after\n", mean(2, 10),
			mean(12, 20), mean(31, 39));
		EXPECT_LT(mean(12, 20), 0.5 * mean(2, 10)) << "seed " << seed;
		EXPECT_GT(mean(31, 39), 0.6 * mean(2, 10)) << "seed " << seed;
	}
}

// Guards against a part that changes something with spare capacity: alike engines with little load get the
// same requests as without speeds.
TEST(EngineSpeedReplay, NothingChangesWhileEnginesAreAlikeAndIdle)
{
	for (const double noise : {0.0, 0.15})
	{
		engine_replay::Settings settings;
		settings.speeds.assign(6, 1.0);
		settings.perSecond = 5.0;
		settings.noise = noise;
		settings.stallShare = 0.0;
		settings.bySpeed = true;
		const std::vector<uint32_t> with = engine_replay::Replay(settings).run().picks;
		settings.bySpeed = false;
		const std::vector<uint32_t> without = engine_replay::Replay(settings).run().picks;
		ASSERT_EQ(with.size(), without.size());
		size_t same = 0;
		for (size_t ii = 0; ii < with.size(); ++ii)
		{
			same += with[ii] == without[ii] ? 1 : 0;
		}
		std::cout << fmt::format("noise {}: {} of {} picks are the same\n", noise, same, with.size());
		EXPECT_EQ(same, with.size()) << "noise " << noise;
	}
}
} // namespace
} // namespace spanplank
