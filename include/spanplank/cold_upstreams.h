/// Limits the request rate of cold upstreams. An upstream that has just started, or has become cold again,
/// sustains only a few requests per second from all routers together and fails well above that.
///
/// When a whole hall returns, its upstreams appear idle to every router, and all would send to them at once.
/// The rate is therefore divided among a few owners, see `rate_share.h`. The bound also holds with one owner
/// too many, as when one router's view of the fleet includes a router that the other views lack.
///
/// `ColdSharing::EqualShares` gives each router an equal share of the rate instead. A wrong count of routers
/// then breaks the bound, and with hundreds of routers a share is one request in many seconds, so that most
/// of the rate remains unused.
#ifndef SPANPLANK_COLD_UPSTREAMS_H_HEADER_GUARD
#define SPANPLANK_COLD_UPSTREAMS_H_HEADER_GUARD

#include <cstdint>
#include <string_view>

#include "spanplank/rate_share.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Capacity of a service's cold upstreams, from the configuration.
struct ColdService
{
	double perSecond =
		0.0; ///< Requests per second from all routers to one upstream; 0 if no limit is configured.
	TimeUs warmupTime = 0; ///< How long an upstream is cold after a start.
};

/// Tolerance of a deployment, from the settings: in any second a cold upstream receives at most
/// `perSecond` x `overshoot` + `slack` requests.
struct ColdBounds
{
	double overshoot = 1.0;
	double slack = 0.0;
};

/// How routers divide the rate of a cold upstream.
enum class ColdSharing : uint8_t
{
	Owners,      ///< A few routers send requests, the others none.
	EqualShares, ///< Each router sends an equal share.
};

/// @returns The minimum interval between two requests of this router to a cold upstream; 0 if it sends none.
/// @param[in] _upstream Key of the upstream; must be the same on all routers.
/// @param[in] _hall Hall of the upstream; routers in the same hall are preferred as owners.
TimeUs coldSpacing(const ColdService& _service, const ColdBounds& _bounds, const Fleet& _fleet,
				   uint64_t _upstream, std::string_view _hall, ColdSharing _sharing);

/// Why an upstream is treated as cold.
enum class ColdCause : uint8_t
{
	Reported,    ///< Its registration says so.
	HallOpened,  ///< Its hall was evacuated until just before.
	Unreachable, ///< A connection failed: it may have restarted without a new registration yet.
};

/// @returns A name for logs.
const char* name(ColdCause _cause);

/// Cold state of one upstream on this router.
struct ColdState
{
	TimeUs until = 0; ///< The upstream is treated as cold before this time.
	ColdCause cause = ColdCause::Reported;
	bool logged = false;
};

/// Treats an upstream as cold until a point in time.
/// @returns Whether this starts or extends its cold time.
bool markCold(ColdState& _state, ColdCause _cause, TimeUs _until);

inline bool isCold(const ColdState& _state, TimeUs _now)
{
	return _now < _state.until;
}
} // namespace spanplank

#endif // SPANPLANK_COLD_UPSTREAMS_H_HEADER_GUARD
