/// Leaving and searching a parent, with the limits behind it.
#include "spanplank/peer_follow.h"

#include <algorithm>

namespace spanplank
{
namespace
{
constexpr TimeUs kLinkPatience = 1500 * kMsToUs; ///< For a new link to come up and answer.
/// For a parent that has answered before. Those next to a first of all that fell silent have another by the
/// time that the proofs of the levels below them grow old, and these need not ask the store.
constexpr TimeUs kSilentPatience = 800 * kMsToUs;
/// Own calls in a row that failed, before this router counts as cut off: one may be lost.
constexpr uint32_t kLeastFailures = 2;
/// For a parent next to the first of all to prove something, before another is tried; four times that for
/// each level below: the routers above search first, and prove it to all that follow them.
constexpr TimeUs kProofPatience = 1000 * kMsToUs;
constexpr uint32_t kMostPatientLevels = 3;
/// Own calls failed within this time: the store was away from all, and the parent may be back in a moment.
constexpr TimeUs kOutageTail = 3000 * kMsToUs;
/// Between searches, doubled each time: while the store is away from all, each search only breaks a link.
constexpr TimeUs kSearchPause = 1000 * kMsToUs;
constexpr uint32_t kMostSearchDoublings = 3;
constexpr TimeUs kProbeEvery = 3000 * kMsToUs; ///< Calls of a detached router whose parent proves.

/// @returns Routers between this one and the store, as far as they are known; at least 1.
uint32_t levelsAbove(const FollowState& _state)
{
	return uint32_t(std::max<size_t>(1, _state.chain.size()));
}
} // namespace

PeerKey peerKeyOf(std::string_view _box)
{
	return PeerKey(stableHash(_box));
}

const char* name(FollowMove _move)
{
	switch (_move)
	{
	case FollowMove::Keep:
		return "keep";
	case FollowMove::LeaveSilent:
		return "no answer";
	case FollowMove::LeaveRing:
		return "it follows this router";
	case FollowMove::LeaveCutOff:
		return "it does not reach the store";
	case FollowMove::Search:
		break;
	}
	return "neither it nor this router reaches the store";
}

FollowMove nextFollowMove(const FollowState& _state, TimeUs _now)
{
	const bool reaches = _state.storeFailures < kLeastFailures;
	const TimeUs patience = _state.answeredAt == 0 ? kLinkPatience : kSilentPatience;
	if (_state.hasParent && _now - std::max(_state.parentSince, _state.answeredAt) > patience)
	{
		return FollowMove::LeaveSilent;
	}
	if (_state.hasParent && _state.ring && reaches)
	{
		return FollowMove::LeaveRing;
	}
	// Those next to the one that is cut off leave first: the levels below are proved again by then, and stay.
	const bool afterOutage = _state.storeFailedAt != 0 && _now - _state.storeFailedAt < kOutageTail;
	if (_state.hasParent && _state.asked >= levelsAbove(_state) + (afterOutage ? 1 : 0))
	{
		return FollowMove::LeaveCutOff;
	}
	const uint32_t levels = std::min(levelsAbove(_state), kMostPatientLevels);
	const TimeUs patienceToProve = kProofPatience << 2 * (levels - 1);
	const bool unproven = _now - std::max(_state.parentSince, _state.provenAt) > patienceToProve;
	if (!reaches && unproven && _now >= _state.searchAt)
	{
		return FollowMove::Search;
	}
	return FollowMove::Keep;
}

TimeUs oldestProof(const FollowState& _state)
{
	return levelsAbove(_state) == 1 ? kOldestProof : kOldestProofBelow;
}

void noteParent(FollowState& _state, bool _has, TimeUs _now)
{
	_state.hasParent = _has;
	_state.parentSince = _now;
	_state.answeredAt = 0;
	_state.provenAt = 0;
	_state.ring = false;
	_state.asked = 0;
	_state.chain.clear();
}

void noteParentAnswer(FollowState& _state, TimeUs _proofAge, absl::Span<const PeerKey> _chain, PeerKey _self,
					  TimeUs _now)
{
	_state.followedAt = _state.answeredAt == 0 ? _now : _state.followedAt;
	_state.answeredAt = _now;
	_state.chain.assign(_chain.begin(), _chain.begin() + std::min(_chain.size(), kMostChain));
	_state.ring = std::find(_chain.begin(), _chain.end(), _self) != _chain.end();
	if (_proofAge < oldestProof(_state) && !_state.ring)
	{
		_state.provenAt = _now;
		_state.asked = 0;
		_state.searches = 0;
	}
}

void noteStoreReached(FollowState& _state, TimeUs _sentAt)
{
	_state.storeFailures = 0;
	_state.detached = false;
	_state.searches = 0;
	_state.asked += _state.answeredAt != 0 && _sentAt >= _state.followedAt ? 1 : 0;
}

void noteStoreFailed(FollowState& _state, TimeUs _now)
{
	++_state.storeFailures;
	_state.storeFailedAt = _now;
	_state.probeAt = _now + kProbeEvery;
}

bool wantsProbe(const FollowState& _state, TimeUs _now)
{
	return _state.detached && _now >= _state.probeAt;
}

void noteSearch(FollowState& _state, TimeUs _now)
{
	_state.detached = true;
	_state.searchAt = _now + (kSearchPause << std::min(_state.searches, kMostSearchDoublings));
	++_state.searches;
}
} // namespace spanplank
