/// Links between direct routers: one follows another for changes of the store, proofs of freshness and loads.
/// The choice of whom to follow is in `peer_tree.h`, the sums of loads in `load_share.h`, the registration in
/// `peer_registration_p.h`.
#ifndef SPANPLANK_PEER_LINKS_P_H_HEADER_GUARD
#define SPANPLANK_PEER_LINKS_P_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "link_p.h"
#include "peer_registration_p.h"
#include "settings_p.h"
#include "spanplank/change_log.h"
#include "spanplank/home_share.h"
#include "spanplank/load_share.h"
#include "spanplank/peer_follow.h"
#include "spanplank/peer_tree.h"
#include "spanplank/usage_ledger.h"
#include "spanplank/version_trial.h"
#include "store_client_p.h"

namespace spanplank
{
struct DirectRouter;

struct PeerLinks
{
	PeerTree tree;
	LoadShare loads;
	HomeShare homes;
	std::map<uint32_t, SentTrials> toldTrials; ///< By link.
	/// Last change of the suspects that was told, by link. A new link begins with all.
	std::map<uint32_t, uint64_t> toldSuspects;
	std::map<uint32_t, uint64_t> toldLimits; ///< As `toldSuspects`, of the upstreams' limits.
	SentUsage toldUsage;                     ///< To the parent over its link.
	PeerRegistration registration;
	std::string key;              ///< Of the links; empty: not known yet.
	bool keyStands = false;       ///< The store has it.
	std::unique_ptr<LinkHub> hub; ///< Null until the key is known.
	std::string parent;           ///< Box that this router follows or tries to; empty: none.
	FollowState follow;           ///< Of the parent, and when another is to be chosen.
	LinkId parentLink;            ///< Over which it was pinged last; invalid: it was not.
	uint64_t pingSeq = 0;
	TimeUs pingSentAt = 0;  ///< Of the last ping.
	uint64_t pongSeq = 0;   ///< Of the last answer over `parentLink`; 0: none came.
	ChangeLog changes;      ///< Newest changes of the store, for followers that missed some.
	uint64_t askedFrom = 0; ///< Revision from which the parent was asked for changes; 0: it was not.
	bool behind = false;    ///< Changes were missed that the parent can't tell: the store is to be asked.
};

/// @returns News of the trials that run for a neighbour; nothing with most pings, as evidence may be some
/// 100 ms old.
std::vector<TrialUpdate> trialNews(DirectRouter& _router, LinkId _link, uint64_t _ping);

/// @returns Whether this router need not ask the store: its parent keeps it informed, or it is between two
/// parents and its newest proof is young.
bool isFollowing(const DirectRouter& _router, TimeUs _now);

/// @returns Whether there is another router that this one would follow.
bool mayFollow(const DirectRouter& _router, TimeUs _now);

/// @returns Whether the parent answers, whatever it knows of the store.
bool hasParent(const DirectRouter& _router, TimeUs _now);

/// Passes changes of the store on to the routers that follow this one.
void passChangesOn(DirectRouter& _router, uint64_t _from, const StoreList& _changes);

/// Passes a full list of the store on. Without it each follower would list the store by itself once the
/// history is gone.
void passListOn(DirectRouter& _router, const StoreList& _list);

/// This router had to ask the store itself and reached it. @param[in] _sentAt When it asked.
void noteAskedStore(DirectRouter& _router, TimeUs _sentAt);

/// Starts registration, links and pings.
void startPeerLinks(DirectRouter& _router);

/// @returns The number of routers that follow this one.
size_t followers(const DirectRouter& _router);
} // namespace spanplank

#endif // SPANPLANK_PEER_LINKS_P_H_HEADER_GUARD
