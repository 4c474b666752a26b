/// Division of a cold upstream's rate among routers, and this router's share of it.
#include "spanplank/cold_upstreams.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// Maximum number of owners of a cold upstream. With a single owner the rate is unused while that router has
/// no work; each further owner may add one request in a second.
constexpr uint32_t kMaxOwners = 4;
constexpr double kSecondUs = 1000.0 * double(kMsToUs);

struct OwnerPlan
{
	uint32_t owners = 0;
	double perSecond = 0.0; ///< Rate of each owner.
};

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

struct OwnerRank
{
	bool far = false;
	uint64_t hash = 0;
	std::string_view box;

	bool operator<(const OwnerRank& _other) const
	{
		if (far != _other.far)
		{
			return !far;
		}
		return hash != _other.hash ? hash < _other.hash : box < _other.box;
	}
};

OwnerRank rankOf(const FleetMember& _member, uint64_t _upstream, std::string_view _hall)
{
	return {_member.hall != _hall, stableHash(_member.box, _upstream), _member.box};
}

TimeUs spacingOf(double _perSecond)
{
	return _perSecond > 0.0 ? TimeUs(kSecondUs / _perSecond) : 0;
}

TimeUs ownerSpacing(const ColdService& _service, const ColdBounds& _bounds, const Fleet& _fleet,
					uint64_t _upstream, std::string_view _hall)
{
	const OwnerPlan plan = planOwners(_service, _bounds, _fleet.others.size() + 1);
	const OwnerRank self = rankOf(_fleet.self, _upstream, _hall);
	const auto before =
		std::count_if(_fleet.others.begin(), _fleet.others.end(),
					  [&](const FleetMember& _member) { return rankOf(_member, _upstream, _hall) < self; });
	return before < int64_t(plan.owners) ? spacingOf(plan.perSecond) : 0;
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

void setColdSpacing(ColdState& _state, TimeUs _spacing, double _phase, TimeUs _now)
{
	if (_state.spacing == 0)
	{
		_state.nextAt = std::max(_state.nextAt, _now + TimeUs(_phase * double(_spacing)));
	}
	_state.spacing = _spacing;
}

bool mayAcceptRequest(const ColdState& _state, TimeUs _now)
{
	return !isCold(_state, _now) || (_state.spacing != 0 && _now >= _state.nextAt);
}

void recordColdRequest(ColdState& _state, TimeUs _now)
{
	if (isCold(_state, _now))
	{
		_state.nextAt = _now + _state.spacing;
	}
}

TimeUs nextRequestAt(const ColdState& _state)
{
	return _state.spacing == 0 ? _state.until : std::min(_state.until, _state.nextAt);
}
} // namespace spanplank
