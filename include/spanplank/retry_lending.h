/// Lends unused room of retry windows between routers. A lender counts the lent retries in its own window for
/// as long as the borrower may use them and one window length more, so the sum over all routers keeps the
/// bound whatever messages and routers are lost.
#ifndef SPANPLANK_RETRY_LENDING_H_HEADER_GUARD
#define SPANPLANK_RETRY_LENDING_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "spanplank/retry_window.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Hash of a service's name in messages between routers.
using ServiceKey = uint32_t;

ServiceKey serviceKeyOf(std::string_view _service);

/// What a router tells a neighbour about the retries of one service.
struct RetryRow
{
	ServiceKey service = 0;
	uint32_t wanted = 0; ///< Retries that the sender's side could use.
	uint32_t lent = 0;   ///< Retries that pass to the receiver with this message.
};

/// Retries that a router may use beyond its own window.
struct RetryLoan
{
	uint32_t retries = 0;
	TimeUs until = 0; ///< They lapse then.
};

/// Lending state of one service.
struct ServiceLending
{
	std::deque<RetryLoan> loans;
	std::map<uint32_t, uint32_t> childWants; ///< By link.
	uint32_t parentWants = 0;
	uint32_t ownWants = 0; ///< Retries that were refused for want of room since the last message.
	uint64_t lent = 0;     ///< Total, for metrics.
	uint64_t borrowed = 0;
	uint64_t lapsed = 0;
};

struct RetryLending
{
	std::map<std::string, ServiceLending> services;
	uint64_t rejectedRows = 0; ///< Rows with figures out of range.
};

/// @returns Whether a retry is allowed by the router's own window or by a loan; if so, it is counted.
/// @param[in] _share As for `acquireRetry`.
bool acquireLentRetry(RetryLending& _lending, const std::string& _service, RetryWindow& _window, TimeUs _now,
					  double _share = 1.0);

/// Applies rows of a neighbour. @param[in] _lendAge Time since the neighbour may have lent, us: the loans
/// lapse that much earlier.
void applyRetryRows(RetryLending& _lending, uint32_t _from, absl::Span<const RetryRow> _rows, TimeUs _lendAge,
					TimeUs _now);

/// @returns The rows for a neighbour; what they lend is counted as used in `_windows`.
std::vector<RetryRow> retryRowsFor(RetryLending& _lending, uint32_t _neighbour,
								   std::map<std::string, RetryWindow>& _windows, TimeUs _now);

/// Removes what belongs to a link that has closed.
void forgetRetryNeighbour(RetryLending& _lending, uint32_t _neighbour);
} // namespace spanplank

#endif // SPANPLANK_RETRY_LENDING_H_HEADER_GUARD
