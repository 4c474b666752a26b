/// Builds the tree along which routers share state, so that few of them watch the store.
///
/// Each router ranks all routers, in the same order everywhere: larger boxes first, boxes of equal size by a
/// hash of their names. Within a hall the first router takes as many of the next ones as followers as its box
/// has capacity for, the second takes those after them, and so on. The first routers of the halls follow each
/// other in the same way. The root, which ranks before all others, follows none and watches the store. A
/// router follows only higher-ranked routers, whatever state it assumes of the others, so that no cycles
/// form; the exception is routers that can't reach the store, which rank themselves last. A router without a
/// parent watches the store itself: a wrong view costs calls, never correctness. `peer_follow.h` decides when
/// a router leaves its parent.
#ifndef SPANPLANK_PEER_TREE_H_HEADER_GUARD
#define SPANPLANK_PEER_TREE_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "spanplank/endpoint.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Resources of a box that its router may use.
struct BoxCapacity
{
	double cores = 0.0; ///< Processor time in cores, may be a fraction; 0: unknown, treated as the smallest.
	double linkMbps = 0.0; ///< Rate of the network link, Mbit/s; 0: unknown, treated as the smallest.
};

/// Registration of a router, for the other routers.
struct PeerRecord
{
	std::string box; ///< Name of the box, stable over restarts.
	std::string hall;
	Endpoint address; ///< On which it listens for links.
	BoxCapacity capacity;
};

/// Another router, and whether it may be followed.
struct PeerEntry
{
	PeerRecord record;
	TimeUs avoidUntil = 0; ///< Following it failed: it is not chosen as parent until then.
	uint32_t failures = 0; ///< Failures in a row; each doubles the time for which it is avoided.
};

/// This router and all others that are registered.
struct PeerTree
{
	PeerRecord self;
	std::map<std::string, PeerEntry> peers; ///< All other routers, by box.
	bool selfRanksLast = false;             ///< This router may follow any router that reaches the store.
};

/// Adds or updates a router. Ignores the record of this router itself.
void registerPeer(PeerTree& _tree, const PeerRecord& _record);

/// Removes a router whose registration is gone.
void unregisterPeer(PeerTree& _tree, const std::string& _box);

/// Removes all routers except those on the given boxes.
void retainPeers(PeerTree& _tree, const std::set<std::string>& _boxes);

/// @returns The maximum number of routers that may follow one on a box of this capacity.
uint32_t maxFollowers(const BoxCapacity& _capacity);

/// @returns The box of the router to follow; empty if there is none, so that this router watches the store.
std::string chooseParent(const PeerTree& _tree, TimeUs _now);

/// @returns The number of routers that rank before this one, including those that are avoided.
size_t countHigherRanked(const PeerTree& _tree);

/// Excludes a router from the choice of the parent for a while, as following it failed.
void avoidPeer(PeerTree& _tree, const std::string& _box, TimeUs _now);

/// Resets the failures of a router that is now followed.
void recordFollowed(PeerTree& _tree, const std::string& _box);

/// How long a router is avoided after the first failure; each further failure in a row doubles it.
constexpr TimeUs kAvoidPeerUs = 2000 * kMsToUs;
constexpr uint32_t kMaxAvoidDoublings = 4;
} // namespace spanplank

#endif // SPANPLANK_PEER_TREE_H_HEADER_GUARD
