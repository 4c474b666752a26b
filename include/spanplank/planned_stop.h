/// Admission of requests during a planned stop, and the Retry-After of those that are refused.
#ifndef SPANPLANK_PLANNED_STOP_H_HEADER_GUARD
#define SPANPLANK_PLANNED_STOP_H_HEADER_GUARD

#include <cstdint>

#include "spanplank/types.h"

namespace spanplank
{
/// Time until the balancer has detected that a router stops, ms: it polls every second and removes a router
/// after the second failed poll.
constexpr uint32_t kBalancerDetectionMs = 2600;
/// Time reserved at the end of a stop to end the requests that are at upstreams and to write their answers.
constexpr TimeUs kAnswerReserveUs = 200 * kMsToUs;

/// Start and end of a planned stop.
struct PlannedStop
{
	TimeUs since = 0;                                  ///< When the signal came; 0: the router does not stop.
	TimeUs endsAt = 0;                                 ///< Requests that are in flight then are aborted.
	TimeUs detection = kBalancerDetectionMs * kMsToUs; ///< Time until the balancer has detected the stop.
};

/// @returns Whether a request is accepted. All are until the balancer has detected the stop, then those whose
/// deadline is before its end, and none in the time that is reserved for answers.
bool acceptsRequest(const PlannedStop& _stop, TimeUs _deadline, TimeUs _now);

/// @returns The time after which a refused caller may retry, ms. A caller on an older connection reaches
/// another router at once. A caller whose connection was accepted after the balancer had detected the stop
/// was sent here because no other router is available: it may retry once this one has restarted.
/// @param[in] _connectedAt When the caller's connection was accepted.
/// @param[in] _jitter Random number from 0 to 1 that spreads the retries.
uint32_t retryAfterStopMs(const PlannedStop& _stop, TimeUs _connectedAt, TimeUs _now, double _jitter);
} // namespace spanplank

#endif // SPANPLANK_PLANNED_STOP_H_HEADER_GUARD
