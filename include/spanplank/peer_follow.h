/// Decides when a router stops following its parent, and when it searches for a parent regardless of rank.
///
/// Handles a partition in which a part of the fleet, including routers that others follow, can't reach the
/// store. Routers that reach the store leave a parent whose confirmations are stale. Routers that can't reach
/// it search for a parent that can, also among lower-ranked routers, so that they keep serving with the
/// confirmations of others.
#ifndef SPANPLANK_PEER_FOLLOW_H_HEADER_GUARD
#define SPANPLANK_PEER_FOLLOW_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// Identifies a router in messages between routers: a hash of the name of its box.
using PeerKey = uint32_t;

/// @returns The key of the router on a box.
PeerKey peerKeyOf(std::string_view _box);

/// State of a router's parent, and of its own connection to the store.
struct FollowState
{
	bool hasParent = false;        ///< A parent is chosen.
	TimeUs parentSince = 0;        ///< When the current choice was made.
	TimeUs answeredAt = 0;         ///< Last answer of the parent; 0: none yet.
	TimeUs firstAnswerAt = 0;      ///< First answer of the parent.
	TimeUs confirmedAt = 0;        ///< Last answer with a recent enough confirmation; 0: none yet.
	bool inCycle = false;          ///< The parent follows this router, directly or through others.
	uint32_t unconfirmedCalls = 0; ///< Successful own store calls since the last recent confirmation.
	uint32_t storeFailures = 0;    ///< Failed own store calls in a row.
	TimeUs storeFailedAt = 0;      ///< Last failed own store call; 0: none yet.
	bool detached = false;         ///< This router can't reach the store and ranks itself last.
	TimeUs probeAt = 0;            ///< When a detached router next calls the store itself.
	TimeUs nextSearchAt = 0;       ///< Earliest next search for another parent.
	uint32_t searches = 0;         ///< Searches in a row; each doubles the pause before the next.
	std::vector<PeerKey> chain;    ///< The parent, the parent's parent, and so on.
};

/// What to do with the current parent.
enum class FollowAction : uint8_t
{
	Keep,              ///< Keep it, or switch to the one that the ranking now yields.
	LeaveUnresponsive, ///< Leave it: it does not answer.
	LeaveCycle,        ///< Leave it: it follows this router, which reaches the store.
	LeaveStale,        ///< Leave it: its confirmations are stale although this router reaches the store.
	Search, ///< Search for any router that reaches the store: neither the parent nor this one does.
};

/// @returns A name for logs.
const char* name(FollowAction _action);

/// @returns The action that is due at `_now`.
FollowAction nextFollowAction(const FollowState& _state, TimeUs _now);

/// Records that a parent was chosen, or that there is none, and resets the state of the previous one.
void recordParent(FollowState& _state, bool _hasParent, TimeUs _now);

/// Records an answer of the parent.
/// @param[in] _confirmationAge Time since the moment for which the store confirmed the configuration, us.
/// @param[in] _chain The parent, the parent's parent, and so on.
void recordParentAnswer(FollowState& _state, TimeUs _confirmationAge, absl::Span<const PeerKey> _chain,
						PeerKey _self, TimeUs _now);

/// Records a successful own store call.
/// @param[in] _sentAt When it was sent; calls sent before the parent's first answer are not held against it.
void recordStoreReached(FollowState& _state, TimeUs _sentAt);

/// Records a failed own store call.
void recordStoreFailed(FollowState& _state, TimeUs _now);

/// @returns Whether a detached router must call the store to find out whether it is reachable again.
bool isProbeDue(const FollowState& _state, TimeUs _now);

/// Records the start of a search: this router ranks itself last until it reaches the store.
void recordSearch(FollowState& _state, TimeUs _now);

/// @returns The age of the parent's confirmation, us, from which this router calls the store itself.
TimeUs maxConfirmationAge(const FollowState& _state);

/// Maximum ages of a confirmation for the followers of the root, and for all further levels. Both are below
/// the 2 s within which a change must be in force where bounds are tightest. The level below the root has the
/// lower one: it calls the store on behalf of all levels while these still wait.
constexpr TimeUs kMaxConfirmationAgeLevel1Us = 1200 * kMsToUs;
constexpr TimeUs kMaxConfirmationAgeBelowUs = 1700 * kMsToUs;
/// Maximum number of routers in a chain; a cycle is detected long before.
constexpr size_t kMaxChainLength = 16;
} // namespace spanplank

#endif // SPANPLANK_PEER_FOLLOW_H_HEADER_GUARD
