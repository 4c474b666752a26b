/// When a router leaves the one that it follows, and when it looks for one outside its rank.
///
/// The load it answers: a part of the fleet is cut off the store, among it routers that others follow.
/// Routers that reach the store leave a parent that proves nothing; routers that don't look for a parent that
/// does, also among those that rank after them, so that they go on serving with proofs from the others.
#ifndef SPANPLANK_PEER_FOLLOW_H_HEADER_GUARD
#define SPANPLANK_PEER_FOLLOW_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// Short name of a router between routers: a hash of its box.
using PeerKey = uint32_t;

/// @returns The key of a box.
PeerKey peerKeyOf(std::string_view _box);

/// What a router knows of the one that it follows, and of its own way to the store.
struct FollowState
{
	bool hasParent = false;     ///< One was chosen.
	TimeUs parentSince = 0;     ///< When it was chosen.
	TimeUs answeredAt = 0;      ///< When it answered last; 0: it has not.
	TimeUs followedAt = 0;      ///< When it answered first.
	TimeUs provenAt = 0;        ///< When its proof was young last; 0: it has not been.
	bool ring = false;          ///< It follows this router, by whatever way.
	uint32_t asked = 0;         ///< Own calls that reached the store in a row, while it proved nothing.
	uint32_t storeFailures = 0; ///< Own calls that failed in a row.
	TimeUs storeFailedAt = 0;   ///< When one failed last; 0: none has.
	bool detached = false;      ///< Cut off the store: this router ranks itself last.
	TimeUs probeAt = 0;         ///< When a detached router calls the store though its parent proves.
	TimeUs searchAt = 0;        ///< No search for another parent before.
	uint32_t searches = 0;      ///< In a row; each doubles the pause before the next.
	std::vector<PeerKey> chain; ///< The parent, whom that follows, and so on.
};

/// What to do about the parent.
enum class FollowMove : uint8_t
{
	Keep,        ///< Or the one that the ranks now say.
	LeaveSilent, ///< It does not answer.
	LeaveRing,   ///< It follows this router, which reaches the store.
	LeaveCutOff, ///< It proves nothing, though this router reaches the store.
	Search,      ///< Neither it nor this router reaches the store: any other may.
};

/// @returns A name for logs.
const char* name(FollowMove _move);

/// @returns What to do now.
FollowMove nextFollowMove(const FollowState& _state, TimeUs _now);

/// A parent was chosen, or none.
void noteParent(FollowState& _state, bool _has, TimeUs _now);

/// The parent answered. @param[in] _proofAge Of what it proves. @param[in] _chain It, and whom it follows.
void noteParentAnswer(FollowState& _state, TimeUs _proofAge, absl::Span<const PeerKey> _chain, PeerKey _self,
					  TimeUs _now);

/// An own call of the store ended. @param[in] _sentAt One from before the parent's first answer says nothing
/// of it.
void noteStoreReached(FollowState& _state, TimeUs _sentAt);
void noteStoreFailed(FollowState& _state, TimeUs _now);

/// @returns Whether a router that ranks itself last is to learn whether it reaches the store again.
bool wantsProbe(const FollowState& _state, TimeUs _now);

/// A search begins: this router ranks itself last until it reaches the store.
void noteSearch(FollowState& _state, TimeUs _now);

/// @returns The oldest proof that is good enough, before this router asks the store itself.
TimeUs oldestProof(const FollowState& _state);

/// Oldest proof next to the first of all, and further down: a change must be in force within 2 s where bounds
/// are tightest, and those next to it ask for all while the others still wait.
constexpr TimeUs kOldestProof = 1200 * kMsToUs;
constexpr TimeUs kOldestProofBelow = 1700 * kMsToUs;
/// Longest chain that is told; a ring is seen long before.
constexpr size_t kMostChain = 16;
} // namespace spanplank

#endif // SPANPLANK_PEER_FOLLOW_H_HEADER_GUARD
