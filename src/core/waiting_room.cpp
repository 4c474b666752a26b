/// Order and bounds of the requests that wait for room.
#include "spanplank/waiting_room.h"

namespace spanplank
{
void recordWorkTime(WaitingRoom&, double)
{
}

bool hasRoom(const WaitingRoom&, const UpstreamEntry&, const UpstreamRoom&, uint32_t)
{
	return true;
}

std::optional<uint64_t> enterWaitingRoom(WaitingRoom&, const WaitingRequest&)
{
	return std::nullopt;
}

void leaveWaitingRoom(WaitingRoom&, uint64_t)
{
}

bool isNext(const WaitingRoom&, uint64_t)
{
	return true;
}

bool goesFirst(const WaitingRoom&, const WaitingRequest&)
{
	return true;
}

uint32_t retryAfterRefusalMs(const WaitingRoom&, double)
{
	return 0;
}
} // namespace spanplank
