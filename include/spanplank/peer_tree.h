/// Routers that share what they learn: which one a router follows, so that few of them watch the store.
///
/// Each router ranks all routers by a hash, the same everywhere. The first of a hall follows the first of
/// all, the others follow the first of their hall; the first of all follows nobody and watches the store. A
/// router that can't follow watches the store itself, so a wrong view costs calls, never correctness.
#ifndef SPANPLANK_PEER_TREE_H_HEADER_GUARD
#define SPANPLANK_PEER_TREE_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "spanplank/types.h"

namespace spanplank
{
/// What a router registers of itself for the others.
struct PeerRecord
{
	std::string box; ///< Stable over restarts.
	std::string hall;
	std::string address; ///< ip:port where it listens for links.
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
};

/// A router registered, or changed its record. A record of this router itself is left out.
void registerPeer(PeerTree& _tree, const PeerRecord& _record);

/// A router's registration went.
void unregisterPeer(PeerTree& _tree, const std::string& _box);

/// Drops all routers but the listed ones, by box.
void keepPeers(PeerTree& _tree, const std::set<std::string>& _boxes);

/// @returns The box to follow; empty: none, this router watches the store.
std::string chooseParent(const PeerTree& _tree, TimeUs _now);

/// A router could not be followed: it is left out for a while.
void avoidPeer(PeerTree& _tree, const std::string& _box, TimeUs _now);

/// A router is followed: what was held against it is forgotten.
void noteFollowed(PeerTree& _tree, const std::string& _box);

/// How long a router that could not be followed is left out at first; each further time doubles it.
constexpr TimeUs kAvoidPeer = 2000 * kMsToUs;
constexpr uint32_t kMostAvoidDoublings = 4;
} // namespace spanplank

#endif // SPANPLANK_PEER_TREE_H_HEADER_GUARD
