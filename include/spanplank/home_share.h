/// Which upstream has read which prompt parts, propagated along the tree in which routers follow each other:
/// each router forwards what is new to it to all neighbours except the sender.
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
/// Homes to send to a neighbour, at most `kMaxUnsentHomes`. A neighbour that receives nothing for long misses
/// some, which is acceptable for hints.
using HomeOutbox = std::vector<NewHome>;

struct HomeShare
{
	std::map<uint32_t, HomeOutbox> children; ///< By link.
	HomeOutbox parent;
};

/// Maximum number of homes waiting for one neighbour; about 14 bytes each on the wire.
constexpr size_t kMaxUnsentHomes = 1000;

/// Denotes the parent where children are denoted by their link.
constexpr uint32_t kParentNeighbour = kInvalidIdx;

/// Collects the prompt parts that this router has sent to upstreams since the last call.
void collectOwnHomes(HomeShare& _share, UpstreamTable& _table);

/// Applies homes received from a neighbour. @param[in] _from Link of the child, or `kParentNeighbour`.
void applyHomes(HomeShare& _share, UpstreamTable& _table, uint32_t _from, absl::Span<const NewHome> _homes,
				TimeUs _now);

/// @returns The homes to send to the parent, which are removed from its outbox.
std::vector<NewHome> homesForParent(HomeShare& _share);

/// @returns The homes to send to a child, which are removed from its outbox. The first call adds the child.
std::vector<NewHome> homesForChild(HomeShare& _share, uint32_t _child);
} // namespace spanplank

#endif // SPANPLANK_HOME_SHARE_H_HEADER_GUARD
