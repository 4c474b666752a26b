/// Histograms of times, for metrics.
#ifndef SPANPLANK_LATENCY_HISTOGRAM_P_H_HEADER_GUARD
#define SPANPLANK_LATENCY_HISTOGRAM_P_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>

#include "spanplank/types.h"

namespace spanplank
{
/// Bounds of a latency histogram's buckets, in milliseconds.
constexpr double kLatencyBuckets[] = {5, 10, 25, 50, 100, 150, 250, 500, 1000, 2000, 4000, 8000};
constexpr size_t kLatencyBucketCount = sizeof(kLatencyBuckets) / sizeof(kLatencyBuckets[0]);

struct LatencyHistogram
{
	uint64_t buckets[kLatencyBucketCount + 1] = {};
	double sumMs = 0.0;
};

inline void noteLatency(LatencyHistogram& _histogram, TimeUs _latency)
{
	const double ms = double(_latency) / double(kMsToUs);
	size_t bucket = 0;
	while (bucket < kLatencyBucketCount && ms > kLatencyBuckets[bucket])
	{
		++bucket;
	}
	++_histogram.buckets[bucket];
	_histogram.sumMs += ms;
}
} // namespace spanplank

#endif // SPANPLANK_LATENCY_HISTOGRAM_P_H_HEADER_GUARD
