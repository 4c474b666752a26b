/// Averages of speed ratios and their exchange between routers.
#include "spanplank/engine_speed.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>

#include "spanplank/home_share.h"

namespace spanplank
{
namespace
{
/// Time in which the weight of a sample falls to 1/e. Engines were seen to slow down and recover within 4 s.
constexpr double kDecayUs = 2000.0 * double(kMsToUs);
/// Samples with the prior ratio that are part of every mean, so that one odd answer does not condemn an
/// upstream.
constexpr double kPriorSamples = 2.0;
/// Maximum weight of a mean. Without it a busy upstream, with 100 samples a second, would be avoided for 6 s
/// instead of 2 s after it was slow, as no request would show that it has recovered.
constexpr double kMaxWeight = 32.0;
/// An upstream without samples for this time has a weight below 0.02 and is removed.
constexpr TimeUs kSpeedLifetime = 15000 * kMsToUs;
/// Weight of the newest stream in the mean time per token of its model; the first ones are averaged with
/// equal weights. Ratios of the last seconds refer to nearly the same mean.
constexpr double kTokenTimeWeight = 0.02;
/// Models may be named by callers, so the number of means is bounded.
constexpr size_t kMaxTokenTimes = 1000;
/// Bound on the memory for upstreams that neighbours name; the largest fleets have some hundreds.
constexpr size_t kMaxSpeeds = 10000;
/// Rows for a neighbour that is sent no messages for this time are dropped: they would arrive as new.
constexpr TimeUs kOutboxLifetime = 1000 * kMsToUs;
constexpr double kPerHundred = 100.0;

bool isMeasured(double _ms)
{
	return std::isfinite(_ms) && _ms > 0.0;
}

double clampedLogRatio(double _seen, double _expected)
{
	const double limit = std::log(kMaxSpeedRatio);
	return std::clamp(std::log(_seen) - std::log(_expected), -limit, limit);
}

int32_t hundredths(double _logRatio)
{
	return int32_t(std::lround(_logRatio * kPerHundred));
}

double decayedShare(const LogRatioMean& _mean, TimeUs _now)
{
	return std::exp(-double(std::max<TimeUs>(0, _now - _mean.at)) / kDecayUs);
}

void addSamples(LogRatioMean& _mean, double _sum, double _count, TimeUs _now)
{
	const double share = decayedShare(_mean, _now);
	_mean.sum = _mean.sum * share + _sum;
	_mean.weight = _mean.weight * share + _count;
	_mean.at = std::max(_mean.at, _now);
	if (_mean.weight > kMaxWeight)
	{
		_mean.sum *= kMaxWeight / _mean.weight;
		_mean.weight = kMaxWeight;
	}
}

double factorOf(const LogRatioMean& _mean, TimeUs _now, double _prior)
{
	const double share = decayedShare(_mean, _now);
	return std::exp((_mean.sum * share + _prior * kPriorSamples) / (_mean.weight * share + kPriorSamples));
}

/// Sum of the decayed samples of several upstreams.
struct SampleSum
{
	double sum = 0.0;
	double weight = 0.0;

	void add(const LogRatioMean& _mean, TimeUs _now)
	{
		const double share = decayedShare(_mean, _now);
		sum += _mean.sum * share;
		weight += _mean.weight * share;
	}

	double mean() const
	{
		return sum / (weight + kPriorSamples);
	}
};

/// Applies samples to the means of an upstream. @returns Whether there is room for the upstream.
bool applyRow(EngineSpeedTable& _table, const SpeedRow& _row, TimeUs _now)
{
	if (_table.speeds.size() >= kMaxSpeeds && _table.speeds.count(_row.upstream) == 0)
	{
		return false;
	}
	EngineSpeed& speed = _table.speeds[_row.upstream];
	if (_row.firstTokens > 0)
	{
		addSamples(speed.firstToken, _row.firstTokenSum / kPerHundred, _row.firstTokens, _now);
	}
	if (_row.streams > 0)
	{
		addSamples(speed.token, _row.streamSum / kPerHundred, _row.streams, _now);
	}
	return true;
}

void queueFor(SpeedOutbox& _outbox, const SpeedRow& _row, TimeUs _now)
{
	if (_outbox.askedAt == 0 || _now - _outbox.askedAt > kOutboxLifetime)
	{
		return;
	}
	SpeedRow& row = _outbox.rows[_row.upstream];
	row.upstream = _row.upstream;
	if (row.firstTokens + _row.firstTokens <= kMaxRowSamples)
	{
		row.firstTokens += _row.firstTokens;
		row.firstTokenSum += _row.firstTokenSum;
	}
	if (row.streams + _row.streams <= kMaxRowSamples)
	{
		row.streams += _row.streams;
		row.streamSum += _row.streamSum;
	}
}

/// Queues samples for all neighbours but one.
void queueRow(EngineSpeedTable& _table, std::optional<uint32_t> _except, const SpeedRow& _row, TimeUs _now)
{
	for (auto& [link, outbox] : _table.children)
	{
		if (_except != link)
		{
			queueFor(outbox, _row, _now);
		}
	}
	if (_except != kParentNeighbour)
	{
		queueFor(_table.parent, _row, _now);
	}
}

/// Records a sample of this router's own.
void recordOwn(EngineSpeedTable& _table, const SpeedRow& _row, TimeUs _now)
{
	if (applyRow(_table, _row, _now))
	{
		queueRow(_table, std::nullopt, _row, _now);
	}
}

bool isInRange(uint32_t _count, int32_t _sum)
{
	const int64_t limit = int64_t(_count) * hundredths(std::log(kMaxSpeedRatio));
	return _count <= kMaxRowSamples && std::abs(int64_t(_sum)) <= limit;
}

void dropUnsent(SpeedOutbox& _outbox, TimeUs _now)
{
	if (_now - _outbox.askedAt > kOutboxLifetime)
	{
		_outbox.rows.clear();
	}
}
} // namespace

void recordFirstTokenRatio(EngineSpeedTable& _table, UpstreamKey _upstream, double _expectedMs,
						   double _seenMs, TimeUs _now)
{
	if (isMeasured(_expectedMs) && isMeasured(_seenMs))
	{
		recordOwn(_table, {_upstream, 1, hundredths(clampedLogRatio(_seenMs, _expectedMs)), 0, 0}, _now);
	}
}

void recordTokenTime(EngineSpeedTable& _table, UpstreamKey _upstream, const std::string& _kind,
					 double _tokenMs, TimeUs _now)
{
	const auto known = _table.tokenTimes.find(_kind);
	if (!isMeasured(_tokenMs) ||
		(known == _table.tokenTimes.end() && _table.tokenTimes.size() >= kMaxTokenTimes))
	{
		return;
	}
	TokenTimeMean& mean = known == _table.tokenTimes.end() ? _table.tokenTimes[_kind] : known->second;
	if (mean.samples == 0)
	{
		mean.logMs = std::log(_tokenMs);
	}
	const double logRatio = clampedLogRatio(_tokenMs, std::exp(mean.logMs));
	const double early = 1.0 / double(++mean.samples);
	mean.logMs += logRatio * std::max(kTokenTimeWeight, early);
	recordOwn(_table, {_upstream, 0, 0, 1, hundredths(logRatio)}, _now);
}

SpeedPrior speedPrior(const EngineSpeedTable& _table, absl::Span<const UpstreamKey> _upstreams, TimeUs _now)
{
	SampleSum firstTokens;
	SampleSum tokens;
	for (const UpstreamKey upstream : _upstreams)
	{
		const auto found = _table.speeds.find(upstream);
		if (found != _table.speeds.end())
		{
			firstTokens.add(found->second.firstToken, _now);
			tokens.add(found->second.token, _now);
		}
	}
	return {firstTokens.mean(), tokens.mean()};
}

double firstTokenFactor(const EngineSpeedTable& _table, UpstreamKey _upstream, TimeUs _now,
						const SpeedPrior& _prior)
{
	const auto found = _table.speeds.find(_upstream);
	return factorOf(found == _table.speeds.end() ? LogRatioMean{} : found->second.firstToken, _now,
					_prior.firstToken);
}

double tokenFactor(const EngineSpeedTable& _table, UpstreamKey _upstream, TimeUs _now,
				   const SpeedPrior& _prior)
{
	const auto found = _table.speeds.find(_upstream);
	return factorOf(found == _table.speeds.end() ? LogRatioMean{} : found->second.token, _now, _prior.token);
}

double meanTokenMs(const EngineSpeedTable& _table, std::string_view _kind)
{
	const auto found = _table.tokenTimes.find(_kind);
	return found == _table.tokenTimes.end() ? 0.0 : std::exp(found->second.logMs);
}

double tokenMsAt(const EngineSpeedTable& _table, UpstreamKey _upstream, std::string_view _kind, TimeUs _now)
{
	return meanTokenMs(_table, _kind) * tokenFactor(_table, _upstream, _now);
}

void applySpeedRows(EngineSpeedTable& _table, uint32_t _from, absl::Span<const SpeedRow> _rows, bool _forward,
					TimeUs _now)
{
	for (const SpeedRow& row : _rows)
	{
		if (!isInRange(row.firstTokens, row.firstTokenSum) || !isInRange(row.streams, row.streamSum) ||
			!applyRow(_table, row, _now))
		{
			++_table.rejectedRows;
		}
		else if (_forward)
		{
			queueRow(_table, _from, row, _now);
		}
	}
}

std::vector<SpeedRow> speedRowsFor(EngineSpeedTable& _table, uint32_t _neighbour, TimeUs _now)
{
	SpeedOutbox& outbox = _neighbour == kParentNeighbour ? _table.parent : _table.children[_neighbour];
	dropUnsent(outbox, _now);
	outbox.askedAt = _now;
	if (outbox.rows.empty() || (outbox.sentAt != 0 && _now - outbox.sentAt < kSpeedInterval))
	{
		return {};
	}
	std::vector<SpeedRow> rows;
	rows.reserve(outbox.rows.size());
	for (const auto& [upstream, row] : outbox.rows)
	{
		rows.push_back(row);
	}
	outbox.rows.clear();
	outbox.sentAt = _now;
	return rows;
}

std::vector<SpeedChange> takeSpeedChanges(EngineSpeedTable& _table, TimeUs _now)
{
	std::vector<SpeedChange> changes;
	for (auto& [upstream, speed] : _table.speeds)
	{
		const double firstToken = factorOf(speed.firstToken, _now, 0.0);
		const double token = factorOf(speed.token, _now, 0.0);
		const double highest = std::max(firstToken, token);
		const bool slow = highest > (speed.slow ? kNormalFactor : kSlowFactor);
		if (slow != speed.slow)
		{
			speed.slow = slow;
			changes.push_back({upstream, slow, firstToken, token});
		}
	}
	return changes;
}

size_t countSlow(const EngineSpeedTable& _table)
{
	return size_t(std::count_if(_table.speeds.begin(), _table.speeds.end(),
								[](const auto& _item) { return _item.second.slow; }));
}

void expireSpeeds(EngineSpeedTable& _table, TimeUs _now)
{
	for (auto at = _table.speeds.begin(); at != _table.speeds.end();)
	{
		const TimeUs last = std::max(at->second.firstToken.at, at->second.token.at);
		at = _now - last > kSpeedLifetime ? _table.speeds.erase(at) : std::next(at);
	}
	dropUnsent(_table.parent, _now);
	for (auto& [link, outbox] : _table.children)
	{
		dropUnsent(outbox, _now);
	}
}
} // namespace spanplank
