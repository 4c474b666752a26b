/// The parts of the control of load that a service's configuration asks for.
#include "spanplank/load_controls.h"

namespace spanplank
{
LoadControls loadControlsFor(const ServiceInfo* _service, const Policies& _policies)
{
	LoadControls controls;
	if (_service == nullptr)
	{
		return controls;
	}
	// Speeds, ends and load of an engine are judged against its places and its memory.
	const bool engine = _service->slots > 0 && _service->kvTokens > 0;
	const bool plain = _service->slots == 0;
	controls.engineSpeeds = engine && _policies.engineSpeeds;
	controls.completionTime = engine && _policies.completionTime;
	controls.waitingRoom = (engine || plain) && _policies.waitingRoom;
	controls.accountShares = controls.waitingRoom && _policies.accountShares;
	controls.serviceLoad = engine && _policies.serviceLoad;
	return controls;
}
} // namespace spanplank
