/// What all routers have waiting at each upstream, summed along the tree in which they follow each other:
/// each tells its parent the sum of its subtree, and each child the sum of all others.
#ifndef SPANPLANK_LOAD_SHARE_H_HEADER_GUARD
#define SPANPLANK_LOAD_SHARE_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string>

#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// Work at upstreams, by the upstream's id.
using LoadMap = std::map<std::string, SharedLoad>;

/// The loads of one neighbour in the tree, as it told them last.
struct NeighbourLoad
{
	LoadMap loads;
	TimeUs toldAt = 0;
};

struct LoadShare
{
	std::map<uint32_t, NeighbourLoad> children; ///< By link.
	NeighbourLoad parent;                       ///< All that is not in this router's subtree.
};

/// @returns What this router itself has at the upstreams.
LoadMap ownLoad(const UpstreamTable& _table);

/// @returns What to tell the parent.
LoadMap loadForParent(const LoadShare& _share, const LoadMap& _own, TimeUs _now);

/// @returns What to tell a child.
LoadMap loadForChild(const LoadShare& _share, const LoadMap& _own, uint32_t _child, TimeUs _now);

/// Puts what the other routers have at the upstreams into the table.
void applyOthersLoad(const LoadShare& _share, UpstreamTable& _table, TimeUs _now);

/// Loads that were told longer ago say nothing any more: most prompts are read by then.
constexpr TimeUs kLoadLifetime = 1000 * kMsToUs;
} // namespace spanplank

#endif // SPANPLANK_LOAD_SHARE_H_HEADER_GUARD
