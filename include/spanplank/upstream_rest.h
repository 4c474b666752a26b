/// Rest of upstreams. An upstream that rejects a request may ask the router that sent it for a time without
/// requests. That time is the router's own: the other routers are asked by themselves. After it one request
/// shows whether the upstream accepts requests again; it is sent somewhat later than asked, so that routers
/// which were asked together do not return together.
#ifndef SPANPLANK_UPSTREAM_REST_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_REST_H_HEADER_GUARD

#include "spanplank/types.h"

namespace spanplank
{
/// Rest of one upstream on this router.
struct RestState
{
	TimeUs until = 0;       ///< The upstream receives nothing before this time.
	bool returning = false; ///< It has rested and not accepted a request since.
	bool probing = false;   ///< One request is in flight that shows whether it accepts requests again.
};

/// Longest rest that an upstream can ask for at a time.
constexpr TimeUs kMaxRest = 60000 * kMsToUs;

/// Records that an upstream asks for rest.
/// @param[in] _askedMs Length of the rest in milliseconds; 0 asks for none.
/// @param[in] _spread Random number from 0 to 1 that spreads the returns of routers.
/// @returns Whether a rest begins; false if the upstream rests already.
bool recordRestAsked(RestState& _rest, double _askedMs, double _spread, TimeUs _now);

inline bool isResting(const RestState& _rest, TimeUs _now)
{
	return _now < _rest.until;
}

/// @returns Whether a request may be sent to an upstream: it neither rests nor is probed after a rest.
inline bool mayReceive(const RestState& _rest, TimeUs _now)
{
	return !isResting(_rest, _now) && !_rest.probing;
}

/// Records that an upstream was chosen for a request. @returns Whether that request is the probe.
bool recordRestProbe(RestState& _rest);

/// Records the end of a probe. @param[in] _accepted The upstream did not ask for rest again.
void endRestProbe(RestState& _rest, bool _accepted);
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_REST_H_HEADER_GUARD
