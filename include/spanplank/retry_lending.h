/// Lends unused room of retry windows between routers. A lender counts the lent retries in its own window for
/// as long as the borrower may use them and one window length more, so the sum over all routers keeps the
/// bound whatever messages and routers are lost.
///
/// A child reports with each ping what its subtree wants, and the answer lends it. What a router can't lend
/// from its own window it asks of its other children and of its parent, and relays. Whatever is asked holds
/// for one exchange only.
#ifndef SPANPLANK_RETRY_LENDING_H_HEADER_GUARD
#define SPANPLANK_RETRY_LENDING_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "spanplank/retry_window.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Time for which a loan can be used.
constexpr TimeUs kRetryLoanLife = 1000 * kMsToUs;

/// Hash of a service's name in messages between routers.
using ServiceKey = uint32_t;

ServiceKey serviceKeyOf(std::string_view _service);

/// What a router tells a neighbour about the retries of one service.
struct RetryRow
{
	ServiceKey service = 0;
	uint32_t wanted = 0; ///< Retries that the sender asks for.
	uint32_t lent = 0;   ///< Retries that pass to the receiver with this message.
	uint32_t leftMs = 0; ///< Time left of the loan's life at sending.
};

/// What a neighbour and this router asked of each other for one service.
struct NeighbourRetries
{
	uint32_t wanted = 0;  ///< By the neighbour, with its last message.
	uint32_t asked = 0;   ///< Of the neighbour, since its last message.
	uint32_t misses = 0;  ///< Messages of the neighbour in a row that lent less than was asked.
	TimeUs askedAt = 0;   ///< When `asked` was set.
	TimeUs skipUntil = 0; ///< The neighbour is not asked before, as it had nothing to lend.
};

/// A neighbour in the tree of routers.
struct LendingNeighbour
{
	std::map<ServiceKey, NeighbourRetries> services;
	std::deque<std::pair<uint64_t, TimeUs>> sent; ///< Number and time of the latest messages to it.
	bool heard = false;                           ///< A message of it has come.
};

/// Lending state of one service.
struct ServiceLending
{
	std::deque<RetryLoan> relayed; ///< Loans for neighbours that are still to be passed on.
	bool borrowing = false;        ///< A loan for this router's own use came within the last few loan lives.
	TimeUs borrowedAt = 0;         ///< When the last one came.
	uint64_t borrowed = 0;         ///< Retries borrowed since the start.
	uint64_t borrowedBefore = 0;   ///< `borrowed` when borrowing ended last.
	uint64_t lapsedBefore = 0;     ///< `RetryWindow::lapsed` when borrowing began.
	uint64_t refusedBefore = 0;    ///< `RetryWindow::refused` when borrowing began.
};

struct RetryLending
{
	std::map<ServiceKey, ServiceLending> services;
	std::map<uint32_t, LendingNeighbour> neighbours; ///< By link.
	uint64_t lent = 0;                               ///< Retries lent from this router's own windows.
	uint64_t borrowed = 0;                           ///< Retries borrowed for this router's own use.
	uint64_t relayed = 0;                            ///< Retries passed on between neighbours.
	uint64_t relayedLapsed = 0;                      ///< Retries that lapsed before they were passed on.
	uint64_t rejectedRows = 0;                       ///< Rows with figures out of range.
};

/// By service.
using RetryWindows = std::map<std::string, RetryWindow>;

/// Records that a message with this number was sent to a neighbour.
void recordRetryMessage(RetryLending& _lending, uint32_t _neighbour, uint64_t _seq, TimeUs _now);

/// @returns How long ago the neighbour may at most have sent a message that answers message `_seq` to it:
/// loans in it lapse that much earlier. The whole life of a loan if that message is not known.
TimeUs retryLoanAge(const RetryLending& _lending, uint32_t _neighbour, uint64_t _seq, TimeUs _now);

/// Applies the rows of a message of a neighbour. @param[in] _age See `retryLoanAge`.
void applyRetryRows(RetryLending& _lending, uint32_t _from, absl::Span<const RetryRow> _rows,
					RetryWindows& _windows, TimeUs _age, TimeUs _now);

/// @returns The rows for a neighbour; what they lend is counted as used in `_windows`.
/// @param[in] _neighbour Link of the child, or `kParentNeighbour` of `home_share.h`.
std::vector<RetryRow> retryRowsFor(RetryLending& _lending, uint32_t _neighbour, RetryWindows& _windows,
								   TimeUs _now);

/// @returns Whether a neighbour is there that may lend or borrow.
bool hasRetryNeighbour(const RetryLending& _lending);

/// Removes what belongs to a link that has closed.
void forgetRetryNeighbour(RetryLending& _lending, uint32_t _neighbour);

/// A router that has begun to borrow, or has stopped.
struct BorrowingChange
{
	std::string service;
	bool begins = false;
	uint64_t borrowed = 0; ///< Retries borrowed from the begin to the end.
	uint64_t lapsed = 0;   ///< Those of them that were not used in time.
	uint64_t refused = 0;  ///< Retries refused for want of room from the begin to the end.
	double usedShare = 0.0;
	uint32_t wanted = 0; ///< Retries wanted now beyond the loans.
};

/// @returns The changes since the last call, for the log.
std::vector<BorrowingChange> borrowingChanges(RetryLending& _lending, RetryWindows& _windows, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_RETRY_LENDING_H_HEADER_GUARD
