/// Evacuation orders by hall. Nothing is sent to the upstreams of a hall until its order is withdrawn.
///
/// An evacuation takes a third of a service's upstreams out of use within one time bound. Orders and
/// withdrawals come in bursts, through watches, lists and other routers, and may be late or superseded. An
/// order is in force while its item exists in the store, whatever the item contains: an order that cannot be
/// parsed evacuates the hall too, since withholding a request does less harm than sending one to an evacuated
/// hall.
#ifndef SPANPLANK_HALL_EVACUATION_H_HEADER_GUARD
#define SPANPLANK_HALL_EVACUATION_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// Last known state of one hall.
struct HallOrder
{
	bool evacuated = false;
	uint64_t revision = 0; ///< Store revision at which the order was written or withdrawn.
};

struct HallOrders
{
	std::map<std::string, HallOrder> halls; ///< Halls that have ever had an order.
	uint64_t listedRevision =
		0; ///< Store revision of the last complete list; all halls are known as of then.
};

/// Applies an evacuation order. One that is older than the known state has no effect.
/// @returns Whether the hall was open until now.
bool evacuateHall(HallOrders& _orders, const std::string& _hall, uint64_t _revision);

/// Applies the withdrawal of an order. One that is older than the known state has no effect.
/// @returns Whether the hall was evacuated until now.
bool reopenHall(HallOrders& _orders, const std::string& _hall, uint64_t _revision);

/// Reopens the halls that are missing from a complete list of orders at a store revision.
/// @returns The halls that were evacuated until now.
std::vector<std::string> reopenOtherHalls(HallOrders& _orders, absl::Span<const std::string> _evacuated,
										  uint64_t _revision);

/// @returns Whether nothing may be sent to the upstreams of a hall.
bool isEvacuated(const HallOrders& _orders, const std::string& _hall);
} // namespace spanplank

#endif // SPANPLANK_HALL_EVACUATION_H_HEADER_GUARD
