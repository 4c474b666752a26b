/// Restricts the halls that may serve a request: routes and client accounts can be limited to regions.
#ifndef SPANPLANK_REGION_LIMIT_H_HEADER_GUARD
#define SPANPLANK_REGION_LIMIT_H_HEADER_GUARD

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spanplank
{
/// Region of each hall. A hall without an entry is in no region.
using RegionOfHall = std::map<std::string, std::string>;

/// Regions that a route or an account allows; none may be among them. Without a list all are allowed.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// The halls in which a request may be served.
struct HallLimit
{
	bool limited = false; ///< If false, all halls may serve the request.
	std::set<std::string> halls;
};

/// @returns The halls that both the route and the account allow.
HallLimit limitHalls(const RegionOfHall& _regions, const AllowedRegions& _route,
					 const AllowedRegions& _account);

/// @returns Whether a hall may serve the request.
bool isAllowed(const HallLimit& _limit, const std::string& _hall);
} // namespace spanplank

#endif // SPANPLANK_REGION_LIMIT_H_HEADER_GUARD
