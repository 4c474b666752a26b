/// Requests that wait at a router for room at the upstreams of a service: who waits, who is let in next, who
/// is refused at once.
#ifndef SPANPLANK_WAITING_ROOM_H_HEADER_GUARD
#define SPANPLANK_WAITING_ROOM_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <optional>

#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// Maximum number of requests that wait for one service at one router.
constexpr size_t kMaxWaitingRequests = 64;

/// A request that waits.
struct WaitingRequest
{
	uint32_t urgency = 0;       ///< 0 is served first.
	double accountExcess = 0.0; ///< Above 1 the account uses more than its fair part; see `account_share.h`.
	TimeUs deadline = 0;        ///< Until when the request's first byte is on time.
	TimeUs waitsUntil = 0;      ///< It is refused if no room was found by then.
};

struct WaitingRoom
{
	std::map<uint64_t, WaitingRequest> waiting; ///< By id.
	uint64_t nextId = 1;
	double workMs = 0.0; ///< Mean time of a request at an upstream of the service; 0: no answer yet.
	uint32_t samples = 0;
};

/// Records how long an upstream of a plain service worked on a request.
void recordWorkTime(WaitingRoom& _room, double _ms);

/// Room that an upstream has for one more request.
struct UpstreamRoom
{
	uint32_t slots = 0;       ///< Requests that run at once.
	uint32_t kvTokens = 0;    ///< Memory of an engine in tokens; 0: not an engine.
	double queueableMs = 0.0; ///< Time that a request may queue at the upstream and still be on time.
};

/// @returns Whether an upstream takes one more request without making it late or displacing another.
/// @param[in] _tokens Tokens that the request will hold at most; 0 for plain services.
bool hasRoom(const WaitingRoom& _room, const UpstreamEntry& _entry, const UpstreamRoom& _limits,
			 uint32_t _tokens);

/// Adds a request. @returns Its id; empty if the room is full, so that the request is refused.
std::optional<uint64_t> enterWaitingRoom(WaitingRoom& _room, const WaitingRequest& _request);

void leaveWaitingRoom(WaitingRoom& _room, uint64_t _id);

/// @returns Whether no other waiting request goes before this one.
bool isNext(const WaitingRoom& _room, uint64_t _id);

/// @returns Whether a request that has not entered goes before all that wait.
bool goesFirst(const WaitingRoom& _room, const WaitingRequest& _request);

/// @returns Retry-After of a refused request in milliseconds, spread over the time in which room is expected.
/// @param[in] _jitter Random number from 0 to 1.
uint32_t retryAfterRefusalMs(const WaitingRoom& _room, double _jitter);
} // namespace spanplank

#endif // SPANPLANK_WAITING_ROOM_H_HEADER_GUARD
