/// Counters of completion in time, for the metrics page.
#ifndef SPANPLANK_COMPLETION_STATS_P_H_HEADER_GUARD
#define SPANPLANK_COMPLETION_STATS_P_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>

namespace spanplank
{
/// Bounds of the buckets of observed over expected times to the end of a stream.
constexpr double kEndRatioBuckets[] = {0.1, 0.25, 0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 2.5, 4.0, 8.0, 25.0};
constexpr size_t kEndRatioBucketCount = sizeof(kEndRatioBuckets) / sizeof(kEndRatioBuckets[0]);

struct CompletionStats
{
	uint64_t noTime = 0;                ///< Requests refused as no upstream can finish them in time.
	uint64_t secondRunsWithoutTime = 0; ///< Answers kept as the next model's would end after the deadline.
	uint64_t lengthsIgnored = 0;        ///< Invalid estimates of answer lengths.
	uint64_t endRatios[kEndRatioBucketCount + 1] =
		{}; ///< Observed over expected time to the end of a stream.
	double endRatioSum = 0.0;
};
} // namespace spanplank

#endif // SPANPLANK_COMPLETION_STATS_P_H_HEADER_GUARD
