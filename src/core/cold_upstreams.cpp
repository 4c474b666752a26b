/// Division of a cold upstream's rate among routers, and this router's share of it.
#include "spanplank/cold_upstreams.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// Chooses the number of owners with the highest total rate. The bound must hold even if `owners` + 1 routers
/// act as owners and each sends one request more than its rate in some second.
OwnerPlan planOwners(const ColdService& _service, const ColdBounds& _bounds, size_t _routers)
{
	const double bound = _service.perSecond * _bounds.overshoot + _bounds.slack;
	OwnerPlan best;
	for (uint32_t owners = 1; owners <= std::min<size_t>(kMaxOwners, _routers); ++owners)
	{
		const double safe = bound / double(owners + 1) - 1.0;
		const double rate = std::min(_service.perSecond / double(owners), safe);
		if (rate * owners >= best.perSecond * best.owners)
		{
			best = {owners, rate};
		}
	}
	return best;
}

TimeUs ownerSpacing(const ColdService& _service, const ColdBounds& _bounds, const Fleet& _fleet,
					uint64_t _upstream, std::string_view _hall)
{
	const OwnerPlan plan = planOwners(_service, _bounds, _fleet.others.size() + 1);
	const size_t before = routersBefore(_fleet, _upstream, _hall);
	return before < plan.owners ? spacingOf(plan.perSecond) : 0;
}
} // namespace

TimeUs coldSpacing(const ColdService& _service, const ColdBounds& _bounds, const Fleet& _fleet,
				   uint64_t _upstream, std::string_view _hall, ColdSharing _sharing)
{
	if (!_fleet.synced)
	{
		return 0;
	}
	if (_sharing == ColdSharing::EqualShares)
	{
		return spacingOf(_service.perSecond / double(_fleet.others.size() + 1));
	}
	return ownerSpacing(_service, _bounds, _fleet, _upstream, _hall);
}

const char* name(ColdCause _cause)
{
	constexpr const char* kNames[] = {"told", "hall opened", "unreachable"};
	return kNames[size_t(_cause)];
}

bool markCold(ColdState& _state, ColdCause _cause, TimeUs _until)
{
	if (_until <= _state.until)
	{
		return false;
	}
	_state.until = _until;
	_state.cause = _cause;
	_state.logged = false;
	return true;
}
} // namespace spanplank
