/// Ranks of routers for an upstream, and the pace of this router's requests.
#include "spanplank/rate_share.h"

#include <algorithm>

namespace spanplank
{
namespace
{
constexpr double kSecondUs = 1000.0 * double(kMsToUs);

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
} // namespace

size_t routersBefore(const Fleet& _fleet, uint64_t _upstream, std::string_view _hall)
{
	const OwnerRank self = rankOf(_fleet.self, _upstream, _hall);
	return size_t(std::count_if(_fleet.others.begin(), _fleet.others.end(), [&](const FleetMember& _member) {
		return rankOf(_member, _upstream, _hall) < self;
	}));
}

size_t routersIn(const Fleet& _fleet, std::string_view _hall)
{
	const auto others = std::count_if(_fleet.others.begin(), _fleet.others.end(),
									  [_hall](const FleetMember& _member) { return _member.hall == _hall; });
	return size_t(others) + (_fleet.self.hall == _hall ? 1 : 0);
}

TimeUs spacingOf(double _perSecond)
{
	return _perSecond > 0.0 ? std::max<TimeUs>(1, TimeUs(kSecondUs / _perSecond)) : 0;
}

void setSpacing(RequestPace& _pace, TimeUs _spacing, double _phase, TimeUs _now)
{
	if (_pace.spacing == 0)
	{
		_pace.nextAt = std::max(_pace.nextAt, _now + TimeUs(_phase * double(_spacing)));
	}
	_pace.spacing = _spacing;
	if (_spacing != 0)
	{
		_pace.nextAt = std::min(_pace.nextAt, _now + _spacing); // The rate may have risen.
	}
}
} // namespace spanplank
