/// Histogram of ratios of observed to expected times.
#ifndef SPANPLANK_RATIO_HISTOGRAM_P_H_HEADER_GUARD
#define SPANPLANK_RATIO_HISTOGRAM_P_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>

namespace spanplank
{
/// Upper bounds of the buckets.
constexpr double kRatioBuckets[] = {0.1, 0.25, 0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 2.5, 4.0, 8.0, 25.0};
constexpr size_t kRatioBucketCount = sizeof(kRatioBuckets) / sizeof(kRatioBuckets[0]);

struct RatioHistogram
{
	uint64_t buckets[kRatioBucketCount + 1] = {};
	double sum = 0.0;
};

void noteRatio(RatioHistogram& _histogram, double _ratio);
} // namespace spanplank

#endif // SPANPLANK_RATIO_HISTOGRAM_P_H_HEADER_GUARD
