/// Counters of completion in time, for the metrics page.
#ifndef SPANPLANK_COMPLETION_STATS_P_H_HEADER_GUARD
#define SPANPLANK_COMPLETION_STATS_P_H_HEADER_GUARD

#include <cstdint>

#include "ratio_histogram_p.h"

namespace spanplank
{
struct CompletionStats
{
	uint64_t noTime = 0;                ///< Requests refused as no upstream can finish them in time.
	uint64_t secondRunsWithoutTime = 0; ///< Answers kept as the next model's would end after the deadline.
	uint64_t lengthsIgnored = 0;        ///< Invalid estimates of answer lengths.
	RatioHistogram streamEnd;           ///< Observed over expected time to the end of a stream.
};
} // namespace spanplank

#endif // SPANPLANK_COMPLETION_STATS_P_H_HEADER_GUARD
