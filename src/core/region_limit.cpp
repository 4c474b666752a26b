/// Determines the halls in the regions that a route and an account allow.
#include "spanplank/region_limit.h"

#include <algorithm>

namespace spanplank
{
namespace
{
bool allowsRegion(const AllowedRegions& _allowed, const std::string& _region)
{
	return !_allowed || std::find(_allowed->begin(), _allowed->end(), _region) != _allowed->end();
}
} // namespace

HallLimit limitHalls(const RegionOfHall& _regions, const AllowedRegions& _route,
					 const AllowedRegions& _account)
{
	HallLimit limit;
	limit.limited = _route.has_value() || _account.has_value();
	for (const auto& [hall, region] : _regions)
	{
		if (limit.limited && allowsRegion(_route, region) && allowsRegion(_account, region))
		{
			limit.halls.insert(hall);
		}
	}
	return limit;
}

bool isAllowed(const HallLimit& _limit, const std::string& _hall)
{
	return !_limit.limited || _limit.halls.count(_hall) != 0;
}
} // namespace spanplank
