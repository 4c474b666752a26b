/// Keeps the newest store changes that a router has forwarded, for followers that missed some because they
/// changed their parent or lost their own connection to the store.
#ifndef SPANPLANK_CHANGE_LOG_H_HEADER_GUARD
#define SPANPLANK_CHANGE_LOG_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "spanplank/store_item.h"

namespace spanplank
{
/// A batch of store changes, forwarded in the order in which they were read.
struct StoreChanges
{
	uint64_t from = 0; ///< The batch applies to a router that has all changes up to this revision.
	uint64_t to = 0;   ///< Revision up to which that router has all changes afterwards.
	std::vector<StoreItem> items;
};

/// Contiguous batches of changes, oldest first.
struct ChangeLog
{
	std::deque<StoreChanges> changes;
	size_t bytes = 0; ///< Size of all keys and values.
};

/// Appends a batch. A batch that is not contiguous with the last one replaces the log.
void recordChanges(ChangeLog& _log, const StoreChanges& _changes);

/// Clears the log. Needed after a new list of the store, as changes between two lists are unknown.
void clearChanges(ChangeLog& _log);

/// @returns All changes after a revision; an empty batch from `_newestRevision` if the log does not reach
/// back to that revision.
/// @param[in] _knownRevision Revision up to which the requesting router has all changes.
/// @param[in] _newestRevision Revision up to which this router has all changes.
StoreChanges changesSince(const ChangeLog& _log, uint64_t _knownRevision, uint64_t _newestRevision);

/// Limits of the log. A change of a large configuration is about 50 kB; followers usually miss the changes of
/// the last seconds.
constexpr size_t kMaxLogBytes = 512u << 10;
constexpr size_t kMaxLogChanges = 256;
} // namespace spanplank

#endif // SPANPLANK_CHANGE_LOG_H_HEADER_GUARD
