/// Which parts of the control of load apply to a service: the configuration asks for them, and policies can
/// disable each.
#ifndef SPANPLANK_LOAD_CONTROLS_H_HEADER_GUARD
#define SPANPLANK_LOAD_CONTROLS_H_HEADER_GUARD

#include "spanplank/policies.h"
#include "spanplank/service_config.h"

namespace spanplank
{
struct LoadControls
{
	bool engineSpeeds = false;   ///< Estimates follow the measured speed of each engine.
	bool completionTime = false; ///< Answers that cannot end before the deadline are not begun.
	bool waitingRoom = false; ///< Running requests are bounded over all routers, others wait or are refused.
	bool accountShares = false; ///< Client accounts are held to fair shares while the service is full.
	bool serviceLoad = false;   ///< The confidence limit follows the load over all routers.
};

/// @param[in] _service Null: the service is unknown, and no part applies.
LoadControls loadControlsFor(const ServiceInfo* _service, const Policies& _policies);
} // namespace spanplank

#endif // SPANPLANK_LOAD_CONTROLS_H_HEADER_GUARD
