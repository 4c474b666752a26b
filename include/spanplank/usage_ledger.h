/// Number of requests of each client account that began to run in each time window. Every router counts its
/// own requests; the counts are aggregated along the tree in which routers follow each other.
///
/// Each row has a single writer and its counts only increase (a grow-only counter), so routers forward the
/// rows of others unchanged and merge them by maximum. The result depends neither on the number of paths by
/// which a row arrives nor on whether its writer still runs.
#ifndef SPANPLANK_USAGE_LEDGER_H_HEADER_GUARD
#define SPANPLANK_USAGE_LEDGER_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// Number of requests that began to run, by account.
using AccountCounts = std::map<std::string, uint64_t>;

/// Key of a row in the ledger.
struct UsageKey
{
	uint64_t window = 0; ///< Number of the window since 1970.
	uint32_t writer = 0; ///< Hash of a router's incarnation; a router that restarts is a new writer.

	bool operator<(const UsageKey& _other) const
	{
		return std::tie(window, writer) < std::tie(_other.window, _other.writer);
	}
};

struct UsageRow
{
	UsageKey key;
	AccountCounts counts;
};

/// This router's copy of a row.
struct UsageEntry
{
	AccountCounts counts;
	uint64_t changeNumber = 0; ///< Value of `UsageLedger::lastChange` at the last change of the row.
};

struct UsageLedger
{
	uint32_t writer = 0; ///< Writer of this router's own rows.
	std::map<UsageKey, UsageEntry> rows;
	uint64_t lastChange = 0; ///< Number of the last change of any row.
};

/// Position of the updates sent to the parent router.
struct SentUsage
{
	uint64_t change = 0; ///< Changes up to this number were sent.
	TimeUs at = 0;       ///< When the last update was sent; 0 if there was none.
};

/// Interval between updates. A router that terminates loses at most the counts of this time.
constexpr TimeUs kUsageUpdateIntervalUs = 500 * kMsToUs;
/// Number of windows retained before the current one, for reports that are late or repeated.
constexpr uint64_t kUsageWindowsRetained = 8;

/// @returns The number of the window that contains a wall time. @param[in] _wall Wall time since 1970.
uint64_t usageWindowAt(TimeUs _wall, TimeUs _length);

/// Counts a request of an account that began to run.
void countUsage(UsageLedger& _ledger, const std::string& _account, uint64_t _window);

/// Merges rows received from another router.
void applyUsage(UsageLedger& _ledger, absl::Span<const UsageRow> _rows);

/// @returns Rows that changed since the last update; none until `kUsageUpdateIntervalUs` has passed.
std::vector<UsageRow> usageUpdateFor(const UsageLedger& _ledger, SentUsage& _sent, TimeUs _now);

/// @returns The sum of a window's counts over all writers.
AccountCounts totalUsage(const UsageLedger& _ledger, uint64_t _window);

/// Removes windows that are not reported any more. @param[in] _newest The current window.
void expireUsage(UsageLedger& _ledger, uint64_t _newest);
} // namespace spanplank

#endif // SPANPLANK_USAGE_LEDGER_H_HEADER_GUARD
