/// How many requests of each client account began to run in each window of time, counted by every router and
/// put together along the tree in which routers follow each other.
///
/// A count has one writer and only rises, so routers pass rows of others on as they are and keep the higher
/// of two: it does not matter by how many ways a row comes, or whether its writer still runs.
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
/// Requests that began to run, by account.
using AccountCounts = std::map<std::string, uint64_t>;

/// A row of the ledger.
struct UsageKey
{
	uint64_t window = 0; ///< Number of the window since 1970.
	uint32_t writer = 0; ///< Hash of a router's life: one that starts again is another.

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

/// A row as this router knows it.
struct UsageEntry
{
	AccountCounts counts;
	uint64_t order = 0; ///< Of its last change.
};

struct UsageLedger
{
	uint32_t writer = 0; ///< Of this router's own rows.
	std::map<UsageKey, UsageEntry> rows;
	uint64_t lastChange = 0;
};

/// What the router that is followed has been told.
struct ToldUsage
{
	uint64_t change = 0; ///< Up to this change.
	TimeUs at = 0;
};

/// Pause between tellings: what is lost with a router that ends is at most what it counted in this time.
constexpr TimeUs kUsageEvery = 500 * kMsToUs;
/// Windows before the newest one that are kept, for reports that are late or made again.
constexpr uint64_t kUsageWindowsKept = 8;

/// @returns The number of the window that holds a moment. @param[in] _wall Since 1970.
uint64_t usageWindowOf(TimeUs _wall, TimeUs _length);

/// A request of an account began to run.
void countUsage(UsageLedger& _ledger, const std::string& _account, uint64_t _window);

/// Takes rows that another router told.
void takeUsage(UsageLedger& _ledger, absl::Span<const UsageRow> _rows);

/// @returns Rows that changed since the last telling; none before the pause is over.
std::vector<UsageRow> usageNewsFor(const UsageLedger& _ledger, ToldUsage& _told, TimeUs _now);

/// @returns The sum over all writers of a window.
AccountCounts usageOf(const UsageLedger& _ledger, uint64_t _window);

/// Forgets the windows that no report is made of any more. @param[in] _newest The window under way.
void forgetUsage(UsageLedger& _ledger, uint64_t _newest);
} // namespace spanplank

#endif // SPANPLANK_USAGE_LEDGER_H_HEADER_GUARD
