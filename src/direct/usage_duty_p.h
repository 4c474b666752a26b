/// The duty of reporting usage to the platform, as this router does it or follows it.
#ifndef SPANPLANK_USAGE_DUTY_P_H_HEADER_GUARD
#define SPANPLANK_USAGE_DUTY_P_H_HEADER_GUARD

#include <string_view>

#include "spanplank/store_item.h"

namespace spanplank
{
struct DirectRouter;
struct Serving;

constexpr std::string_view kUsageDutyItem =
	"spanplank/duty/usage"; ///< Who holds the duty, and its last report.

/// Counts a request as begun, once. @param[in,out] _serving Its upstream has begun to answer.
void countBegun(Serving& _serving);

/// The record of the duty was read or changed.
void takeUsageDutyItem(DirectRouter& _router, const StoreItem& _item);

/// Reports usage whenever the duty is this router's. Does not return.
void doUsageDuty(DirectRouter& _router);
} // namespace spanplank

#endif // SPANPLANK_USAGE_DUTY_P_H_HEADER_GUARD
