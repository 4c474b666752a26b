/// This router's share of the upstreams whose request rate is divided, worked out from the routers that it
/// knows.
#ifndef SPANPLANK_RATE_SHARING_P_H_HEADER_GUARD
#define SPANPLANK_RATE_SHARING_P_H_HEADER_GUARD

#include "spanplank/rate_share.h"

namespace spanplank
{
struct DirectRouter;

/// @returns The routers of the fleet as this one knows them.
Fleet fleetOf(const DirectRouter& _router, TimeUs _now);

/// Keeps this router's shares of all upstreams that are cold or state a limit up to date, and logs them. Does
/// not return.
void shareUpstreamRates(DirectRouter& _router);
} // namespace spanplank

#endif // SPANPLANK_RATE_SHARING_P_H_HEADER_GUARD
