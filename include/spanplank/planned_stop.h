/// A planned stop: which requests a router still takes, and when it tells the others to come back.
#ifndef SPANPLANK_PLANNED_STOP_H_HEADER_GUARD
#define SPANPLANK_PLANNED_STOP_H_HEADER_GUARD

#include <cstdint>

#include "spanplank/types.h"

namespace spanplank
{
/// Until the balancer has seen that a router stops: it polls each second and drops a router at the second
/// miss.
constexpr uint32_t kBalancerMs = 2600;
/// Before the end of a stop: requests at upstreams are ended, and their answers written.
constexpr TimeUs kAnswerTime = 200 * kMsToUs;

struct PlannedStop
{
	TimeUs since = 0;  ///< Of the signal; 0: the router does not stop.
	TimeUs endsAt = 0; ///< What is in flight then is cut.
};

/// @returns Whether a request is taken: before the balancer has seen the stop any is, then those whose
/// deadline is within it, and none in the time that is left for answers.
bool takesRequest(const PlannedStop& _stop, TimeUs _deadline, TimeUs _now);

/// @returns The time in which a refused caller may come back, in milliseconds. One on an old connection meets
/// another router at once. One on a connection that is younger than the balancer's knowledge of the stop came
/// here because no other router is in: it is told to come when this one has started again.
/// @param[in] _connectedAt When the caller's connection was accepted. @param[in] _jitter 0 to 1.
uint32_t retryAfterStopMs(const PlannedStop& _stop, TimeUs _connectedAt, TimeUs _now, double _jitter);
} // namespace spanplank

#endif // SPANPLANK_PLANNED_STOP_H_HEADER_GUARD
