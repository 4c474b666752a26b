/// What routers tell each other about load beyond the loads of upstreams: speeds, use by client accounts,
/// retries.
#ifndef SPANPLANK_LOAD_CONTROL_P_H_HEADER_GUARD
#define SPANPLANK_LOAD_CONTROL_P_H_HEADER_GUARD

#include <cstdint>
#include <vector>

#include "direct_router_p.h"
#include "spanplank/load_controls.h"
#include "spanplank/peer_messages.h"

namespace spanplank
{
/// @returns The parts that apply to a service by the configuration in force.
LoadControls loadControls(const DirectRouter& _router, const std::string& _service);

/// @returns Whether retries can be lent to and borrowed from other routers now.
bool sharesRetries(const DirectRouter& _router);

/// @returns The configuration of a service; null if it is not configured.
const ServiceInfo* serviceInfo(const DirectRouter& _router, const std::string& _service);

/// Applies what a neighbour tells. @param[in] _neighbour Link of the child, or `kParentNeighbour`.
/// @param[in] _lendAge See `retryLoanAge`.
void takeLoadControl(DirectRouter& _router, uint32_t _neighbour, const std::vector<SpeedRow>& _speeds,
					 const std::vector<LoadChange>& _accounts, const std::vector<RetryRow>& _retries,
					 TimeUs _lendAge);

/// Adds what a neighbour is to be told.
void addLoadControl(DirectRouter& _router, uint32_t _neighbour, std::vector<SpeedRow>& _speeds,
					std::vector<LoadChange>& _accounts, std::vector<RetryRow>& _retries);

/// Removes what belongs to a link that has closed.
void forgetLoadControl(DirectRouter& _router, uint32_t _neighbour);

/// Excludes outdated reports from the sums and logs the begin and end of borrowing; called with each ping.
void refreshLoadControl(DirectRouter& _router, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_LOAD_CONTROL_P_H_HEADER_GUARD
