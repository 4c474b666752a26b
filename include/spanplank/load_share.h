/// What all routers have waiting at each upstream, summed along the tree in which they follow each other:
/// each tells its parent the sum of its subtree, and each child the sum of all others. A neighbour is told
/// only what has changed since it was told last, over a link that loses and reorders nothing.
#ifndef SPANPLANK_LOAD_SHARE_H_HEADER_GUARD
#define SPANPLANK_LOAD_SHARE_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// Work at one upstream, in whole numbers so that sums can be corrected without a rest.
struct LoadCount
{
	int32_t prefillMs = 0; ///< Expected reading time of prompts that have no first token yet.
	int32_t inFlight = 0;

	bool operator==(const LoadCount& _other) const
	{
		return prefillMs == _other.prefillMs && inFlight == _other.inFlight;
	}
};

using LoadTable = std::unordered_map<UpstreamKey, LoadCount>;

/// The load at an upstream, as it is now.
struct LoadChange
{
	UpstreamKey upstream = 0;
	LoadCount load;
};

/// A neighbour in the tree, or this router itself.
struct NeighbourLoad
{
	LoadTable loads;      ///< What it has, as it told.
	LoadTable told;       ///< What it was told of the others.
	TimeUs toldAt = 0;    ///< When it told last; 0: never.
	bool counted = false; ///< `loads` is part of the sum.
};

struct LoadShare
{
	LoadTable sum; ///< Of this router and all neighbours that told lately.
	NeighbourLoad own;
	std::map<uint32_t, NeighbourLoad> children; ///< By link.
	NeighbourLoad parent;                       ///< All that is not in this router's subtree.
	/// This router follows one that may follow it in turn: it tells its parent what it has itself, and its
	/// children nothing of the parent. In a ring of routers each round would add up what the rounds before
	/// told.
	bool isolated = false;
};

/// Takes what this router itself has at the upstreams now.
void takeOwnLoad(LoadShare& _share, const UpstreamTable& _table);

/// Takes what a neighbour told.
void takeLoads(LoadShare& _share, NeighbourLoad& _neighbour, absl::Span<const LoadChange> _changes,
			   TimeUs _now);

/// A neighbour is gone, or begins anew over another link.
void dropLoads(LoadShare& _share, NeighbourLoad& _neighbour);

/// @returns What has changed for a neighbour, which is then told.
std::vector<LoadChange> changesFor(const LoadShare& _share, NeighbourLoad& _neighbour);

/// Leaves out of the sum what was told too long ago, and puts what the others have into the table.
void applyOthersLoad(LoadShare& _share, UpstreamTable& _table, TimeUs _now);

/// Loads that were told longer ago say nothing any more: most prompts are read by then.
constexpr TimeUs kLoadLifetime = 1000 * kMsToUs;
} // namespace spanplank

#endif // SPANPLANK_LOAD_SHARE_H_HEADER_GUARD
