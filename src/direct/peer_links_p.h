/// Links between direct routers: one follows another for changes of the store, proofs of freshness and loads.
/// The choice of whom to follow is in `peer_tree.h`, the sums of loads in `load_share.h`, the registration in
/// `peer_registration_p.h`.
#ifndef SPANPLANK_PEER_LINKS_P_H_HEADER_GUARD
#define SPANPLANK_PEER_LINKS_P_H_HEADER_GUARD

#include <cstdint>
#include <memory>
#include <string>

#include "link_p.h"
#include "peer_registration_p.h"
#include "settings_p.h"
#include "spanplank/load_share.h"
#include "spanplank/peer_messages.h"
#include "spanplank/peer_tree.h"
#include "store_client_p.h"

namespace spanplank
{
struct DirectRouter;

struct PeerLinks
{
	PeerTree tree;
	LoadShare loads;
	HomeShare homes;
	PeerRegistration registration;
	std::string key;              ///< Of the links; empty: not known yet.
	std::unique_ptr<LinkHub> hub; ///< Null until the key is known.
	std::string parent;           ///< Box that this router follows or tries to; empty: none.
	TimeUs parentSince = 0;       ///< When it was chosen.
	uint64_t pingSeq = 0;
	TimeUs pingSentAt = 0; ///< Of the last ping.
	TimeUs pongAt = 0;     ///< When the parent answered last; 0: it has not.
	bool behind = false;   ///< A change was missed: the store is to be asked.
	uint32_t asked = 0;    ///< Times in a row that the store was asked while the parent answered.
};

/// @returns Whether the parent keeps this router informed, so that it need not ask the store.
bool isFollowing(const DirectRouter& _router, TimeUs _now);

/// @returns Whether the parent answers, whatever it knows of the store.
bool hasParent(const DirectRouter& _router, TimeUs _now);

/// Passes changes of the store on to the routers that follow this one.
void passChangesOn(DirectRouter& _router, uint64_t _from, const StoreList& _changes);

/// This router had to ask the store itself and reached it: a parent that could not tell is left out for a
/// while.
void noteAskedStore(DirectRouter& _router, TimeUs _now);

/// Starts registration, links and pings.
void startPeerLinks(DirectRouter& _router);

/// @returns The number of routers that follow this one.
size_t followers(const DirectRouter& _router);
} // namespace spanplank

#endif // SPANPLANK_PEER_LINKS_P_H_HEADER_GUARD
