/// Routers that share what they learn: which one a router follows, so that few of them watch the store.
///
/// Each router ranks all routers, the same everywhere: the larger boxes first, a hash of the name between
/// equal ones. Within a hall the first takes as followers as many of the next ones as its box bears, the
/// second those after them, and so on; the firsts of the halls follow each other in the same way; the first
/// of all follows nobody and watches the store. A router follows only routers that rank before it, whatever
/// it believes of the others, so that no two follow each other; but for those that are cut off the store,
/// which rank themselves last. A router that can't follow watches the store itself: a wrong view costs calls,
/// never correctness. When one leaves its parent is in `peer_follow.h`.
#ifndef SPANPLANK_PEER_TREE_H_HEADER_GUARD
#define SPANPLANK_PEER_TREE_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "spanplank/types.h"

namespace spanplank
{
/// What a box gives its router.
struct BoxCapacity
{
	double cores = 0.0;    ///< Processor time, as a share of a core; 0: unknown, the smallest.
	double linkMbps = 0.0; ///< Rate of its network link; 0: unknown, the smallest.
};

/// What a router registers of itself for the others.
struct PeerRecord
{
	std::string box; ///< Stable over restarts.
	std::string hall;
	std::string address; ///< ip:port where it listens for links.
	BoxCapacity capacity;
};

struct PeerEntry
{
	PeerRecord record;
	TimeUs avoidUntil = 0; ///< It could not be followed.
	uint32_t failures = 0; ///< In a row; each doubles the time for which it is avoided.
};

struct PeerTree
{
	PeerRecord self;
	std::map<std::string, PeerEntry> peers; ///< By box, without this router.
	bool selfLast = false; ///< This router ranks itself last: it looks for anyone that reaches the store.
};

/// A router registered, or changed its record. A record of this router itself is left out.
void registerPeer(PeerTree& _tree, const PeerRecord& _record);

/// A router's registration went.
void unregisterPeer(PeerTree& _tree, const std::string& _box);

/// Drops all routers but the listed ones, by box.
void keepPeers(PeerTree& _tree, const std::set<std::string>& _boxes);

/// @returns The most routers that may follow one on such a box.
uint32_t mostFollowers(const BoxCapacity& _capacity);

/// @returns The box to follow; empty: none, this router watches the store.
std::string chooseParent(const PeerTree& _tree, TimeUs _now);

/// @returns How many of the known routers rank before this one, whether they can be followed or not.
size_t routersBefore(const PeerTree& _tree);

/// A router could not be followed: it is left out for a while.
void avoidPeer(PeerTree& _tree, const std::string& _box, TimeUs _now);

/// A router is followed: what was held against it is forgotten.
void noteFollowed(PeerTree& _tree, const std::string& _box);

/// How long a router that could not be followed is left out at first; each further time doubles it.
constexpr TimeUs kAvoidPeer = 2000 * kMsToUs;
constexpr uint32_t kMostAvoidDoublings = 4;
} // namespace spanplank

#endif // SPANPLANK_PEER_TREE_H_HEADER_GUARD
