/// Load of a service over all routers, against what its living upstreams can bear.
#ifndef SPANPLANK_SERVICE_LOAD_H_HEADER_GUARD
#define SPANPLANK_SERVICE_LOAD_H_HEADER_GUARD

#include <cstdint>
#include <string_view>

#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// Capacity of one upstream, from the configuration.
struct UpstreamCapacity
{
	uint32_t slots = 0;    ///< Requests that run at once; 0: the registration of each upstream says it.
	uint32_t kvTokens = 0; ///< Tokens that fit in the engine's memory; 0: unknown.
};

struct ServiceLoad
{
	uint32_t upstreams = 0; ///< Upstreams that can take requests.
	double slots = 0.0;     ///< Running requests as a share of all places.
	double tokens = 0.0;    ///< Held tokens as a share of all memory.
	double queueMs = 0.0;   ///< Mean queued prefill time of an upstream, by its measured speed.
	/// Queued prefill time that a quarter of the upstreams does not exceed. New requests go to these, so it
	/// is what they wait while others queue at busier upstreams.
	double leastQueueMs = 0.0;
};

/// @returns The load of a service, from this router's own counts and those that the others reported.
/// @param[in] _hall Only the upstreams of this hall; empty: all.
ServiceLoad serviceLoad(const UpstreamTable& _table, std::string_view _service, std::string_view _hall,
						const UpstreamCapacity& _capacity, TimeUs _now);

/// @returns The load as one share: 0 is idle, 1 is full, above 1 requests wait.
/// @param[in] _targetMs Latency objective, ms, against which queued work is measured.
double loadShareOf(const ServiceLoad& _load, double _targetMs);

/// @returns The load as pressure on the confidence limit, 0 to 1, in the unit of `FirstTokenPressure::share`:
/// the share of the latency objective for which a new request waits. Running requests count only beyond the
/// capacity, since they delay no first token before.
double loadPressureOf(const ServiceLoad& _load, double _targetMs);

/// @returns The pressure that recent first tokens of this router show, within what the load over all routers
/// allows: at least the wait at the least loaded upstreams, so that it rises at once, and at most the mean
/// wait, so that it falls at once after a peak.
/// @param[in] _recent `FirstTokenPressure::share`.
double boundedPressure(double _recent, const ServiceLoad& _load, double _targetMs);

/// @returns The share of the price of another hall that applies at a load of the router's own hall: 1 while
/// the hall has capacity, 0 while it is overloaded.
double hallPriceShare(double _hallLoad);
} // namespace spanplank

#endif // SPANPLANK_SERVICE_LOAD_H_HEADER_GUARD
