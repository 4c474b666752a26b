/// The newest changes of the store that a router has passed on, for followers that missed some: one that
/// changed whom it follows, or whose own way to the store is cut.
#ifndef SPANPLANK_CHANGE_LOG_H_HEADER_GUARD
#define SPANPLANK_CHANGE_LOG_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "spanplank/store_item.h"

namespace spanplank
{
/// Changes of the store, passed on as they were read.
struct StoreChanges
{
	uint64_t from = 0; ///< Whoever knows everything up to this revision ...
	uint64_t to = 0;   ///< ... knows everything up to this one afterwards.
	std::vector<StoreItem> items;
};

/// Changes without a gap between them, oldest first.
struct ChangeLog
{
	std::deque<StoreChanges> changes;
	size_t bytes = 0; ///< Of all keys and values.
};

/// Takes the newest changes. Ones that do not follow on the last begin the log anew.
void noteChanges(ChangeLog& _log, const StoreChanges& _changes);

/// Forgets all: what happened between two lists of the store is not known.
void clearChanges(ChangeLog& _log);

/// @returns All that changed after a revision; if that is not known, nothing, with `from` the newest
/// revision.
/// @param[in] _known Up to which the router that asks knows everything. @param[in] _newest The same of this
/// one.
StoreChanges changesSince(const ChangeLog& _log, uint64_t _known, uint64_t _newest);

/// Most bytes kept. A change of a large configuration is some 50 kB; the changes of the last seconds are what
/// followers miss.
constexpr size_t kMostLogBytes = 512u << 10;
constexpr size_t kMostLogChanges = 256;
} // namespace spanplank

#endif // SPANPLANK_CHANGE_LOG_H_HEADER_GUARD
