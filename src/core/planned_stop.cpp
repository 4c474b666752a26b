/// Admission of requests during a planned stop, and the Retry-After of those that are refused.
#include "spanplank/planned_stop.h"

#include <algorithm>

namespace spanplank
{
namespace
{
constexpr uint32_t kOtherRouterMs = 20; ///< Retry-After where another router can accept the request at once.
/// Time from the end of a process until its successor has read the configuration and the balancer has
/// detected it.
constexpr uint32_t kRestartMs = 1200;
constexpr uint32_t kReturnSpreadMs = 600; ///< Spreads the retries of refused callers.

bool hasBalancerDetected(const PlannedStop& _stop, TimeUs _at)
{
	return _stop.since != 0 && _at - _stop.since >= _stop.detection;
}
} // namespace

bool acceptsRequest(const PlannedStop& _stop, TimeUs _deadline, TimeUs _now)
{
	const bool isInAnswerReserve = _stop.since != 0 && _now >= _stop.endsAt - kAnswerReserveUs;
	return !isInAnswerReserve && (!hasBalancerDetected(_stop, _now) || _deadline <= _stop.endsAt);
}

uint32_t retryAfterStopMs(const PlannedStop& _stop, TimeUs _connectedAt, TimeUs _now, double _jitter)
{
	if (!hasBalancerDetected(_stop, _connectedAt))
	{
		return kOtherRouterMs;
	}
	const TimeUs remaining = std::max<TimeUs>(0, _stop.endsAt - _now);
	return uint32_t(remaining / kMsToUs) + kRestartMs + uint32_t(_jitter * kReturnSpreadMs);
}
} // namespace spanplank
