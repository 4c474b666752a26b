#include "spanplank/exposure.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace spanplank
{
namespace
{
/// @returns The log likelihood ratio of the tally: bad rate `_to` against bad rate `_from`.
double logRatio(const RatingTally& _tally, double _from, double _to)
{
	return double(_tally.bad) * std::log(_to / _from) +
		   double(_tally.good) * std::log((1.0 - _to) / (1.0 - _from));
}

double clampRate(double _rate)
{
	return std::clamp(_rate, 1e-4, 0.95);
}
} // namespace

double evidenceOfBad(const RatingTally& _tally, const Rollout& _rollout)
{
	const double base = clampRate(_rollout.badRate);
	const std::array<double, 3> worse = {clampRate(std::max(_rollout.haltRate, base * 1.5)),
										 clampRate(std::max(0.4, base * 1.5)), 0.95};
	// A mean of martingales is a martingale: each worse rate has a weight of one third.
	double largest = std::numeric_limits<double>::lowest();
	std::array<double, 3> logs{};
	for (size_t ii = 0; ii < worse.size(); ++ii)
	{
		logs[ii] = logRatio(_tally, base, worse[ii]);
		largest = std::max(largest, logs[ii]);
	}
	double sum = 0.0;
	for (const double value : logs)
	{
		sum += std::exp(value - largest);
	}
	return largest + std::log(sum / double(logs.size()));
}

double evidenceOfGood(const RatingTally& _tally, const Rollout& _rollout)
{
	const double base = clampRate(std::max(_rollout.haltRate, _rollout.badRate * 1.5));
	return logRatio(_tally, base, clampRate(_rollout.badRate));
}

RolloutVerdict judgeRatings(const RatingTally& _tally, const Rollout& _rollout)
{
	if (evidenceOfBad(_tally, _rollout) >= -std::log(kFalseHaltProbability))
	{
		return RolloutVerdict::Halt;
	}
	if (evidenceOfGood(_tally, _rollout) >= -std::log(kFalseServeProbability))
	{
		return RolloutVerdict::Serve;
	}
	return RolloutVerdict::Undecided;
}

bool observe(DriftWatch& _watch, const RatingTally& _ratings, double _badRate, double _haltRate)
{
	constexpr double kSevereRate = 0.5;
	const double base = clampRate(_badRate);
	const double halt = clampRate(std::max(_haltRate, base * 1.5));
	const auto add = [&](double& _sum, double _rate) {
		_sum = std::max(0.0, _sum + logRatio({_ratings.good, 0}, base, _rate));
		_sum = std::max(0.0, _sum + logRatio({0, _ratings.bad}, base, _rate));
	};
	add(_watch.mild, halt);
	add(_watch.severe, std::max(kSevereRate, halt));
	return std::max(_watch.mild, _watch.severe) >= kDriftThreshold;
}

uint64_t exposureAllowance(const RatingTally& _tally, const Rollout& _rollout)
{
	const uint64_t rated = _tally.good + _tally.bad;
	const double good = double(_tally.good);
	const double earned = good * good / double(std::max(1u, _rollout.exposure));
	return _rollout.exposure + rated + uint64_t(earned);
}

uint64_t grantableCredits(const ExposureLedger& _ledger, const RatingTally& _tally, const Rollout& _rollout,
						  uint64_t _requested)
{
	if (_rollout.paused || judgeRatings(_tally, _rollout) == RolloutVerdict::Halt)
	{
		return 0;
	}
	const uint64_t allowance = exposureAllowance(_tally, _rollout);
	return allowance <= _ledger.granted ? 0 : std::min(_requested, allowance - _ledger.granted);
}

void addGrant(ExposureLedger& _ledger, const std::string& _incarnation, uint64_t _seq, uint64_t _credits)
{
	_ledger.granted += _credits;
	_ledger.grantSeq[_incarnation] = _seq;
}

bool spendCredit(ExposureCredits& _credits, uint32_t _generation)
{
	if (_credits.generation != _generation || _credits.remaining == 0)
	{
		++_credits.refused;
		return false;
	}
	--_credits.remaining;
	++_credits.spent;
	return true;
}
} // namespace spanplank
