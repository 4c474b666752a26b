/// Divides the request rate of an upstream among routers. No router can count what the others send within the
/// same second, so the rate is divided in advance: a hash that is the same on all routers ranks them for each
/// upstream, the first of them are its owners, and each owner maintains a minimum interval between two
/// requests. In any second an owner sends at most one request more than its rate. The owners of two views of
/// the fleet differ by no more than the routers in which the views differ.
#ifndef SPANPLANK_RATE_SHARE_H_HEADER_GUARD
#define SPANPLANK_RATE_SHARE_H_HEADER_GUARD

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
struct FleetMember
{
	std::string box;
	std::string hall;
};

/// The routers of a deployment, in the view of one of them.
struct Fleet
{
	FleetMember self;
	std::vector<FleetMember> others;
	bool synced = false; ///< This router and the others have had time to exchange their registrations.
};

/// Owners of an upstream's rate.
struct OwnerPlan
{
	uint32_t owners = 0;
	double perSecond = 0.0; ///< Rate of each owner.
};

/// Maximum number of owners of an upstream. With a single owner the rate is unused while that router has no
/// work; each further owner may add one request to an interval.
constexpr uint32_t kMaxOwners = 4;

/// @returns The number of routers that rank before this one for an upstream. Routers in the upstream's hall
/// rank before all others.
/// @param[in] _upstream Key of the upstream; must be the same on all routers.
/// @param[in] _hall Hall of the upstream.
size_t routersBefore(const Fleet& _fleet, uint64_t _upstream, std::string_view _hall);

/// @returns The number of routers in a hall.
size_t routersIn(const Fleet& _fleet, std::string_view _hall);

/// @returns The interval between two requests at a rate, at least 1 us; 0 if the rate is 0.
TimeUs spacingOf(double _perSecond);

/// This router's requests to an upstream whose rate is divided.
struct RequestPace
{
	TimeUs spacing = 0; ///< Minimum interval between two requests; 0 if this router sends none.
	TimeUs nextAt = 0;  ///< Earliest time of the next request.
};

/// Sets the minimum interval between two requests.
/// @param[in] _phase Share of the interval before the first request, 0 to 1, so that routers do not start
/// together.
void setSpacing(RequestPace& _pace, TimeUs _spacing, double _phase, TimeUs _now);

/// @returns Whether this router may send a request now.
inline bool isDue(const RequestPace& _pace, TimeUs _now)
{
	return _pace.spacing != 0 && _now >= _pace.nextAt;
}

/// Records that the upstream was chosen for a request.
inline void recordPacedRequest(RequestPace& _pace, TimeUs _now)
{
	_pace.nextAt = _now + _pace.spacing;
}
} // namespace spanplank

#endif // SPANPLANK_RATE_SHARE_H_HEADER_GUARD
