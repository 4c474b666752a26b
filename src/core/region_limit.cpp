/// Determines the halls in the regions that a route and an account allow.
#include "spanplank/region_limit.h"

#include <algorithm>

namespace spanplank
{
namespace
{
bool allowsRegion(const std::vector<std::string>& _allowed, const std::string& _region)
{
	return _allowed.empty() || std::find(_allowed.begin(), _allowed.end(), _region) != _allowed.end();
}
} // namespace

HallLimit limitHalls(const RegionOfHall& _regions, const std::vector<std::string>& _route,
					 const std::vector<std::string>& _account)
{
	HallLimit limit;
	limit.limited = !_route.empty() || !_account.empty();
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
