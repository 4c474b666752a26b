/// Requests that wait at a router for room at the upstreams of a service: how much room the upstreams have
/// over all routers, who waits, who is let in next, who is refused at once.
#ifndef SPANPLANK_WAITING_ROOM_H_HEADER_GUARD
#define SPANPLANK_WAITING_ROOM_H_HEADER_GUARD

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// Maximum number of requests that wait for one service at one router.
constexpr size_t kMaxWaitingRequests = 64;

/// Maximum wait, as a share of the latency objective.
constexpr double kMaxRoomWaitShare = 0.25;

/// Up to this excess an account counts as within its part, and accounts with less difference as equal: counts
/// change by so much between two reports.
constexpr double kMaxExcess = 1.25;

/// A request that waits.
struct WaitingRequest
{
	uint32_t urgency = 0;       ///< 0 is served first.
	double accountExcess = 0.0; ///< Above 1 the account uses more than its fair part; see `account_share.h`.
	TimeUs deadline = 0;        ///< Until when the caller takes an answer.
	TimeUs waitsUntil = 0;      ///< It is refused if no room was found by then.
	/// No upstream that it may use had room at the last look. Others that have room pass it.
	bool blocked = false;
};

struct WaitingRoom
{
	std::map<uint64_t, WaitingRequest> waiting; ///< By id.
	uint64_t nextId = 1;
	double workMs = 0.0; ///< Mean time of a request at an upstream, without its queue; 0: no answer yet.
	uint32_t samples = 0;
	/// Waiting requests that may be let in at the router's pace: of accounts within their part, and of
	/// others.
	std::array<double, 2> credits = {};
	TimeUs creditAt = 0;         ///< When `credits` were updated last.
	TimeUs waitsSince = 0;       ///< Since when requests have waited, without a longer pause.
	TimeUs waitsLast = 0;        ///< When one waited last.
	uint32_t refusedUrgency = 0; ///< Least urgent of the requests that found no room lately.
	TimeUs refusedAt = 0;        ///< When that was last; 0: never.
};

/// Records how long an upstream worked on a request.
/// @param[in] _ms From the request until its complete answer.
/// @param[in] _queueFactor Time at the upstream over its work on one request; see `queueFactor`.
void recordWorkTime(WaitingRoom& _room, double _ms, double _queueFactor = 1.0);

/// @returns By how much the requests of all routers at an upstream lengthen the time of one more.
/// @param[in] _slots Requests that the upstream runs at once.
double queueFactor(const UpstreamEntry& _entry, uint32_t _slots);

/// Room that an upstream has for one more request.
struct UpstreamRoom
{
	uint32_t slots = 0;       ///< Requests that run at once; 0: the registration of each upstream states it.
	uint32_t kvTokens = 0;    ///< Memory of an engine in tokens; 0: not an engine.
	double queueableMs = 0.0; ///< Time that a request may queue at the upstream and still be on time.
};

/// @returns Whether an upstream takes one more request without making it late or displacing another.
/// @param[in] _tokens Tokens that the request will hold at most; 0 for plain services.
bool hasRoom(const WaitingRoom& _room, const UpstreamEntry& _entry, const UpstreamRoom& _limits,
			 uint32_t _tokens);

/// An upstream that may receive a request.
struct UpstreamPlaces
{
	uint32_t idx = kInvalidIdx;
	double running = 0.0; ///< Requests of all routers there.
	double limit = 0.0;   ///< Requests that it takes.
	bool room = false;
	bool slotsFull = false; ///< Without room by its slots, whatever its memory.
};

/// Requests that wait at other routers, as last reported.
struct WaitingElsewhere
{
	double all = 0.0;              ///< Requests between arrival and end that run at no upstream.
	double abovePart = 0.0;        ///< Of accounts that use more than their fair part.
	double runningAbovePart = 0.0; ///< Share of such accounts in the running requests of all routers, 0 to 1.
};

/// The upstreams that may receive a request, from this router's counts and the other routers' reports.
struct ServiceRoom
{
	std::vector<UpstreamPlaces> upstreams;
	size_t withRoom = 0;
	double running = 0.0;
	double ownRunning = 0.0; ///< Of this router.
	double slots = 0.0;      ///< Requests that run at once.
	double limit = 0.0;      ///< Requests that the upstreams take.
	WaitingElsewhere elsewhere;
};

ServiceRoom serviceRoom(const WaitingRoom& _room, const UpstreamTable& _table, const UpstreamQuery& _query,
						const UpstreamRoom& _limits, uint32_t _tokens, const WaitingElsewhere& _elsewhere,
						TimeUs _now);

/// @returns Whether so much is free that no request of the service waits or is refused.
bool isFree(const ServiceRoom& _places);

/// @returns Whether a request that has not entered goes to an upstream at once.
bool goesAtOnce(const WaitingRoom& _room, const ServiceRoom& _places);

/// Adds a request. If the room is full, the last one leaves it, which may be this one.
/// @returns Its id; empty if it is not admitted, so that it is refused at once.
/// @param[in] _phase Random number from 0 to 1, so that routers do not let requests in together.
std::optional<uint64_t> enterWaitingRoom(WaitingRoom& _room, const WaitingRequest& _request,
										 const ServiceRoom& _places, double _phase, TimeUs _now);

void leaveWaitingRoom(WaitingRoom& _room, uint64_t _id);

/// @returns Whether a request still waits; one that was displaced by a more urgent one does not.
bool isWaiting(const WaitingRoom& _room, uint64_t _id);

/// @returns Whether no other waiting request of the same kind goes before this one: of accounts within their
/// part, or of others.
bool isNext(const WaitingRoom& _room, uint64_t _id);

/// What becomes of a waiting request.
enum class RoomDecision : uint8_t
{
	Wait,
	Enter,  ///< It goes to an upstream, and has left the room.
	Refuse, ///< It has left the room.
};

/// Decides on a waiting request; called again after `nextLook`.
RoomDecision decideWaiting(WaitingRoom& _room, uint64_t _id, const ServiceRoom& _places, TimeUs _now);

/// @returns Time until the next decision on the request that goes first, us.
TimeUs nextLook(const WaitingRoom& _room, const ServiceRoom& _places);

/// @returns Whether a request that would have to wait ends after its deadline even if it were let in now.
bool endsLate(const WaitingRoom& _room, TimeUs _deadline, TimeUs _now);

/// @returns The upstreams that a request should not go to: those without room while another has room. While
/// the service is contended all but a few are left out, drawn by their room, as the routers would otherwise
/// all choose the same upstream until its load is reported.
/// @param[in] _contended The request has waited.
std::set<uint32_t> upstreamsLeftOut(const ServiceRoom& _places, bool _contended, Random& _random);

/// @returns Retry-After of a refused request in milliseconds, spread over the time in which room is expected.
/// @param[in] _jitter Random number from 0 to 1.
uint32_t retryAfterRefusalMs(const WaitingRoom& _room, const ServiceRoom& _places, double _jitter);
} // namespace spanplank

#endif // SPANPLANK_WAITING_ROOM_H_HEADER_GUARD
