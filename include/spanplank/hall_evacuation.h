/// Halls that the operators evacuate: nothing is sent to their upstreams until the order is taken back.
///
/// The load it answers: a third of a service's upstreams goes out of use within one bound, while orders and
/// removals come in series, by watches, lists and other routers, late and overtaken by one another. An order
/// is in force for as long as its item stands in the store, whatever the item holds: an order that can't be
/// read empties the hall all the same, as a request too few is less harm than one sent to an evacuated hall.
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
/// What is known of one hall.
struct HallOrder
{
	bool evacuated = false;
	uint64_t revision = 0; ///< Of the store, at which the order was written or taken back.
};

struct HallOrders
{
	std::map<std::string, HallOrder> halls; ///< Those for which there ever was an order.
	uint64_t listedAt =
		0; ///< Of the store, at which all orders were listed last: all halls are known as of then.
};

/// An evacuation was ordered. News that is older than what is known changes nothing.
/// @returns Whether the hall was open until now.
bool evacuateHall(HallOrders& _orders, const std::string& _hall, uint64_t _revision);

/// An order was taken back. News that is older than what is known changes nothing.
/// @returns Whether the hall was evacuated until now.
bool reopenHall(HallOrders& _orders, const std::string& _hall, uint64_t _revision);

/// All orders were listed at a revision of the store: the halls that are not among them are open.
/// @returns The halls that were evacuated until now and are not any more.
std::vector<std::string> reopenOtherHalls(HallOrders& _orders, absl::Span<const std::string> _evacuated,
										  uint64_t _revision);

/// @returns Whether nothing may be sent to the upstreams of a hall.
bool isEvacuated(const HallOrders& _orders, const std::string& _hall);
} // namespace spanplank

#endif // SPANPLANK_HALL_EVACUATION_H_HEADER_GUARD
