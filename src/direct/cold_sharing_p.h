/// This router's part of what cold upstreams bear: worked out from the routers that it knows.
#ifndef SPANPLANK_COLD_SHARING_P_H_HEADER_GUARD
#define SPANPLANK_COLD_SHARING_P_H_HEADER_GUARD

#include "spanplank/cold_upstreams.h"

namespace spanplank
{
struct DirectRouter;

/// @returns The routers of the fleet as this one knows them.
Fleet fleetOf(const DirectRouter& _router, TimeUs _now);

/// Keeps the parts of all cold upstreams up to date, and logs those that turned cold. Does not return.
void shareColdUpstreams(DirectRouter& _router);
} // namespace spanplank

#endif // SPANPLANK_COLD_SHARING_P_H_HEADER_GUARD
