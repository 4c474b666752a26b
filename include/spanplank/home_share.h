/// Which upstream read which parts of prompts, told along the tree in which routers follow each other: each
/// router passes on what it learns to all its neighbours but the one that told it.
#ifndef SPANPLANK_HOME_SHARE_H_HEADER_GUARD
#define SPANPLANK_HOME_SHARE_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <vector>

#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// What is still to be told to a neighbour, at most `kMostUntold`. A neighbour that takes nothing for long
/// misses some: they are hints.
using HomeOutbox = std::vector<NewHome>;

struct HomeShare
{
	std::map<uint32_t, HomeOutbox> children; ///< By link.
	HomeOutbox parent;
};

/// Most parts that wait to be told to one neighbour; some 14 bytes each on the wire.
constexpr size_t kMostUntold = 1000;

/// Key of the parent beside the links of children.
constexpr uint32_t kParentOfTree = kInvalidIdx;

/// Takes what this router itself has sent since the last call.
void collectOwnHomes(HomeShare& _share, UpstreamTable& _table);

/// Takes what a neighbour told. @param[in] _from Link of the child, or `kParentOfTree`.
void takeHomes(HomeShare& _share, UpstreamTable& _table, uint32_t _from, absl::Span<const NewHome> _homes,
			   TimeUs _now);

/// @returns What to tell the parent, which is then told.
std::vector<NewHome> homesForParent(HomeShare& _share);

/// @returns What to tell a child, which is then told. A child is known from its first call on.
std::vector<NewHome> homesForChild(HomeShare& _share, uint32_t _child);
} // namespace spanplank

#endif // SPANPLANK_HOME_SHARE_H_HEADER_GUARD
