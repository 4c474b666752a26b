/// The router that this one follows: its choice, the link to it, what it tells. When it is left is decided in
/// `peer_follow.h`, by rank it is chosen in `peer_tree.h`.
#ifndef SPANPLANK_PEER_PARENT_P_H_HEADER_GUARD
#define SPANPLANK_PEER_PARENT_P_H_HEADER_GUARD

#include "spanplank/peer_messages.h"
#include "spanplank/types.h"

namespace spanplank
{
struct DirectRouter;

/// Leaves the parent if there is a reason to, and follows the one that the ranks say now.
void reviewParent(DirectRouter& _router, TimeUs _now);

/// Leaves the parent for a while and follows another. @param[in] _why For the log.
void leaveParent(DirectRouter& _router, const char* _why, TimeUs _now);

/// Tells the parent what has changed, and asks for the same.
void pingParent(DirectRouter& _router);

/// Messages of the parent.
void takePong(DirectRouter& _router, LinkId _link, const PeerPong& _pong);
void takeChangesOfParent(DirectRouter& _router, const StoreChanges& _changes);
void takeSnapshotOfParent(DirectRouter& _router, const StoreSnapshot& _snapshot);
} // namespace spanplank

#endif // SPANPLANK_PEER_PARENT_P_H_HEADER_GUARD
