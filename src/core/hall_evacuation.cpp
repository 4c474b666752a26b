/// Evacuation orders by hall, each in force until the store has a newer state.
#include "spanplank/hall_evacuation.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// @returns Whether the state of the hall changed.
bool setOrder(HallOrders& _orders, const std::string& _hall, bool _evacuated, uint64_t _revision)
{
	HallOrder& order = _orders.halls[_hall];
	if (_revision < std::max(order.revision, _orders.listedRevision))
	{
		return false;
	}
	order.revision = _revision;
	const bool changed = order.evacuated != _evacuated;
	order.evacuated = _evacuated;
	return changed;
}
} // namespace

bool evacuateHall(HallOrders& _orders, const std::string& _hall, uint64_t _revision)
{
	return setOrder(_orders, _hall, true, _revision);
}

bool reopenHall(HallOrders& _orders, const std::string& _hall, uint64_t _revision)
{
	return setOrder(_orders, _hall, false, _revision);
}

std::vector<std::string> reopenOtherHalls(HallOrders& _orders, absl::Span<const std::string> _evacuated,
										  uint64_t _revision)
{
	std::vector<std::string> reopened;
	for (const auto& [hall, order] : _orders.halls)
	{
		const bool listed = std::find(_evacuated.begin(), _evacuated.end(), hall) != _evacuated.end();
		if (!listed && reopenHall(_orders, hall, _revision))
		{
			reopened.push_back(hall);
		}
	}
	_orders.listedRevision = std::max(_orders.listedRevision, _revision);
	return reopened;
}

bool isEvacuated(const HallOrders& _orders, const std::string& _hall)
{
	const auto found = _orders.halls.find(_hall);
	return found != _orders.halls.end() && found->second.evacuated;
}
} // namespace spanplank
