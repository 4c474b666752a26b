/// Evacuation orders in the platform's store: taken into the table, each change logged.
#include <algorithm>
#include <string>
#include <vector>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/records_p.h"
#include "store_items_p.h"

namespace spanplank
{
namespace
{
void logHall(const char* _event, const std::string& _hall, uint64_t _revision)
{
	logEvent(_event, {{"hall", _hall}, {"revision", std::to_string(_revision)}});
}
} // namespace

void takeEvacuationItem(DirectRouter& _router, const StoreItem& _item)
{
	const std::string hall = afterPrefix(_item.key, platform::kEvacuationPrefix);
	HallOrders& orders = _router.upstreams.halls;
	if (!_item.deleted && evacuateHall(orders, hall, _item.revision))
	{
		logHall("hall_evacuated", hall, _item.revision);
	}
	if (_item.deleted && reopenHall(orders, hall, _item.revision))
	{
		recordHallReopened(_router.upstreams, hall, monotonicNow());
		logHall("hall_reopened", hall, _item.revision);
	}
}

bool holdsEvacuations(const DirectRouter& _router)
{
	const auto& halls = _router.upstreams.halls.halls;
	return std::any_of(halls.begin(), halls.end(), [](const auto& _hall) { return _hall.second.evacuated; });
}

void keepListedEvacuations(DirectRouter& _router, const StoreList& _list)
{
	std::vector<std::string> evacuated;
	for (const StoreItem& item : _list.items)
	{
		if (hasPrefix(item.key, platform::kEvacuationPrefix))
		{
			evacuated.push_back(afterPrefix(item.key, platform::kEvacuationPrefix));
		}
	}
	for (const std::string& hall : reopenOtherHalls(_router.upstreams.halls, evacuated, _list.revision))
	{
		recordHallReopened(_router.upstreams, hall, monotonicNow());
		logHall("hall_reopened", hall, _list.revision);
	}
}
} // namespace spanplank
