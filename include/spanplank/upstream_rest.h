/// Rest of upstreams. An upstream that rejects a request may ask the router that sent it for a time without
/// requests. That time is the router's own: the other routers are asked by themselves.
#ifndef SPANPLANK_UPSTREAM_REST_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_REST_H_HEADER_GUARD

#include "spanplank/types.h"

namespace spanplank
{
/// Rest of one upstream on this router.
struct RestState
{
	TimeUs until = 0; ///< The upstream receives nothing before this time.
};

/// Longest rest that an upstream can ask for at a time.
constexpr TimeUs kMaxRest = 60000 * kMsToUs;

/// @returns The length of a rest that an upstream asks for, at most `kMaxRest`.
TimeUs restLength(double _askedMs);

inline bool isResting(const RestState& _rest, TimeUs _now)
{
	return _now < _rest.until;
}
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_REST_H_HEADER_GUARD
