/// Upstreams that are cold: freshly started, or cold again, they bear only a few requests a second from all
/// routers together, and fall over well above that.
///
/// The load it answers: a hall returns as a whole, every router finds its upstreams idle, and all send there
/// at once. No router can count what the others send within the second, so the rate is parted beforehand:
/// each cold upstream has a few owners among the routers, found by a hash that all routers agree on, and
/// each owner keeps a least time between two requests. In any second an owner sends at most one request more
/// than its rate. The bound holds with one owner too many, as when one router knows of another that the
/// others have not heard of: owners of two views differ by no more than the routers in which the views do.
///
/// Beside it stands an equal part for each router (`ColdSharing::EqualParts`): nobody owns anything, but a
/// wrong count of routers breaks the bound, and with hundreds of routers a part is one request in many
/// seconds, most of which pass unused.
#ifndef SPANPLANK_COLD_UPSTREAMS_H_HEADER_GUARD
#define SPANPLANK_COLD_UPSTREAMS_H_HEADER_GUARD

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// What the upstreams of a service bear while they are cold, from the configuration.
struct ColdService
{
	double perSecond = 0.0; ///< Requests of all routers to one upstream; 0: no bound is known.
	TimeUs startTime = 0;   ///< How long an upstream is cold after a start.
};

/// What a deployment tolerates beyond that, from the settings: in any second a cold upstream gets at most
/// `perSecond` x `overshoot` + `slack` requests.
struct ColdBounds
{
	double overshoot = 1.0;
	double slack = 0.0;
};

/// How routers part the rate of a cold upstream.
enum class ColdSharing : uint8_t
{
	Owners,     ///< A few routers send, the others none.
	EqualParts, ///< Each router sends its part.
};

struct FleetMember
{
	std::string box;
	std::string hall;
};

/// The routers as one of them knows them.
struct Fleet
{
	FleetMember self;
	std::vector<FleetMember> others;
	bool settled = false; ///< The others have had time to learn of this router, and it of them.
};

/// @returns The least time between two requests of this router to a cold upstream; 0: it sends none.
/// @param[in] _upstream The same for all routers. @param[in] _hall Of the upstream: its own routers go first.
TimeUs coldSpacing(const ColdService& _service, const ColdBounds& _bounds, const Fleet& _fleet,
				   uint64_t _upstream, std::string_view _hall, ColdSharing _sharing);

/// Why an upstream is taken for cold.
enum class ColdCause : uint8_t
{
	Told,        ///< By its registration.
	HallOpened,  ///< Its hall was evacuated until a moment ago.
	Unreachable, ///< It took no connection: it may have started again without this router's knowing.
};

/// @returns A name for logs.
const char* name(ColdCause _cause);

/// One upstream as this router sees it.
struct ColdState
{
	TimeUs until = 0; ///< Taken for cold before this moment.
	ColdCause cause = ColdCause::Told;
	TimeUs spacing = 0; ///< Least time between two requests of this router; 0: it sends none.
	TimeUs nextAt = 0;  ///< No request before.
	bool logged = false;
};

/// An upstream is taken for cold, or for longer than it was. @returns Whether that is news.
bool noteCold(ColdState& _state, ColdCause _cause, TimeUs _until);

/// This router's part was worked out. @param[in] _phase 0 to 1: routers do not begin together.
void setColdSpacing(ColdState& _state, TimeUs _spacing, double _phase, TimeUs _now);

inline bool isCold(const ColdState& _state, TimeUs _now)
{
	return _now < _state.until;
}

/// @returns Whether this router may send a request to an upstream now; one that is not cold takes any.
bool mayTake(const ColdState& _state, TimeUs _now);

/// A request was chosen for an upstream.
void noteTaken(ColdState& _state, TimeUs _now);

/// @returns When this router may send the next request to an upstream that takes none now.
TimeUs nextTake(const ColdState& _state);
} // namespace spanplank

#endif // SPANPLANK_COLD_UPSTREAMS_H_HEADER_GUARD
