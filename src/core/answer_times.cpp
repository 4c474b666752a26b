/// Newest times of answers, and ranks among them.
#include "spanplank/answer_times.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// An answer is slow above so many times what most of the reference take.
constexpr double kSlowFactor = 4.0;
constexpr double kMost = 0.75;

struct Measure
{
	const std::string& kind;
	double ms;
};

Measure measureOf(TimeKind _kind, const AnswerTimes& _times)
{
	return _kind == TimeKind::Head ? Measure{_times.headKind, _times.headMs}
								   : Measure{_times.paceKind, _times.paceMs};
}

void add(TimeSample& _sample, double _ms, TimeUs _now)
{
	if (_sample.newest.size() < kTimesKept)
	{
		_sample.newest.push_back({float(_ms), _now});
		return;
	}
	_sample.newest[_sample.next] = {float(_ms), _now};
	_sample.next = (_sample.next + 1) % kTimesKept;
}

/// @returns The times of the last moments, or the newest ones where those are few; newest first.
std::vector<float> compared(const TimeSample& _sample, TimeUs _now)
{
	std::vector<float> times;
	const size_t count = _sample.newest.size();
	const size_t newest = count < kTimesKept ? count : _sample.next + kTimesKept;
	for (size_t ii = 1; ii <= count; ++ii)
	{
		const TimedAnswer& answer = _sample.newest[(newest - ii) % kTimesKept];
		if (times.size() >= kLeastCompared && _now - answer.at > kCompared)
		{
			break;
		}
		times.push_back(answer.ms);
	}
	return times;
}

/// @returns The value below or at which a share of the times lies.
float quantile(std::vector<float> _times, double _share)
{
	const auto rank = std::ptrdiff_t(_share * double(_times.size() - 1));
	std::nth_element(_times.begin(), _times.begin() + rank, _times.end());
	return _times[size_t(rank)];
}
} // namespace

void noteTimes(TimeReference& _reference, const AnswerTimes& _times, TimeUs _now)
{
	for (const TimeKind kind : {TimeKind::Head, TimeKind::Pace})
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
	if (measure.kind.empty() || found == samples.end() || found->second.newest.size() < kLeastTimes)
	{
		return std::nullopt;
	}
	const std::vector<float> times = compared(found->second, _now);
	if (measure.ms <= double(quantile(times, _quickShare)))
	{
		return TimeRank::Quick;
	}
	return measure.ms > kSlowFactor * double(quantile(times, kMost)) ? TimeRank::Slow : TimeRank::Usual;
}
} // namespace spanplank
