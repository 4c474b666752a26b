/// Single pieces of planned work.
#ifndef SPANPLANK_TESTS_SOAK_PLANNED_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_PLANNED_H_HEADER_GUARD

#include "soak_state.h"

namespace spanplank
{
/// Starts a router that has ended and waits until it is ready.
void startRouter(SoakRouter& _router);
/// A planned stop, which must end within the grace, and a start.
void restartPlanned(Soak& _soak, uint32_t _idx);
/// One SIGHUP or a few, also to a router that stops.
void reloadInSeries(Soak& _soak, uint32_t _idx);
void changeKeys(Soak& _soak);
/// A few upstreams of one service leave, and as many new ones come, soon or later.
void leaveInSeries(Soak& _soak);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_PLANNED_H_HEADER_GUARD
