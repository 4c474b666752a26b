/// Newest times of reference answers, and ranks among them.
#include "spanplank/answer_times.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// An answer is slow above this multiple of the reference time at `kUsualQuantile`.
constexpr double kSlowFactor = 4.0;
constexpr double kUsualQuantile = 0.75;

struct Measure
{
	const std::string& kind;
	double ms;
};

Measure measureOf(TimeKind _kind, const AnswerTimes& _times)
{
	return _kind == TimeKind::FirstToken ? Measure{_times.firstTokenKind, _times.firstTokenMs}
										 : Measure{_times.timePerTokenKind, _times.timePerTokenMs};
}

void add(TimeRing& _ring, double _ms, TimeUs _now)
{
	if (_ring.newest.size() < kMaxTimes)
	{
		_ring.newest.push_back({float(_ms), _now});
		return;
	}
	_ring.newest[_ring.next] = {float(_ms), _now};
	_ring.next = (_ring.next + 1) % kMaxTimes;
}

/// @returns The times within `kMaxComparedAge`, but at least the newest `kMinCompared` ones; newest first.
std::vector<float> recentTimes(const TimeRing& _ring, TimeUs _now)
{
	std::vector<float> times;
	const size_t count = _ring.newest.size();
	const size_t newest = count < kMaxTimes ? count : _ring.next + kMaxTimes;
	for (size_t ii = 1; ii <= count; ++ii)
	{
		const TimedValue& answer = _ring.newest[(newest - ii) % kMaxTimes];
		if (times.size() >= kMinCompared && _now - answer.recordedAt > kMaxComparedAge)
		{
			break;
		}
		times.push_back(answer.ms);
	}
	return times;
}

/// @returns The quantile of the times.
float quantile(std::vector<float> _times, double _share)
{
	const auto rank = std::ptrdiff_t(_share * double(_times.size() - 1));
	std::nth_element(_times.begin(), _times.begin() + rank, _times.end());
	return _times[size_t(rank)];
}
} // namespace

void recordTimes(TimeReference& _reference, const AnswerTimes& _times, TimeUs _now)
{
	for (const TimeKind kind : {TimeKind::FirstToken, TimeKind::PerToken})
	{
		const Measure measure = measureOf(kind, _times);
		if (!measure.kind.empty())
		{
			add(_reference.samples[size_t(kind)][measure.kind], measure.ms, _now);
		}
	}
}

std::optional<TimeRank> rankOf(const TimeReference& _reference, TimeKind _kind, const AnswerTimes& _times,
							   double _quickShare, TimeUs _now)
{
	const Measure measure = measureOf(_kind, _times);
	const auto& samples = _reference.samples[size_t(_kind)];
	const auto found = samples.find(measure.kind);
	if (measure.kind.empty() || found == samples.end() || found->second.newest.size() < kMinTimes)
	{
		return std::nullopt;
	}
	const std::vector<float> times = recentTimes(found->second, _now);
	if (measure.ms <= double(quantile(times, _quickShare)))
	{
		return TimeRank::Quick;
	}
	return measure.ms > kSlowFactor * double(quantile(times, kUsualQuantile)) ? TimeRank::Slow
																			  : TimeRank::Usual;
}
} // namespace spanplank
