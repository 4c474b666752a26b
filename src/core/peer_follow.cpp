/// Leaving and searching a parent, with the limits behind it.
#include "spanplank/peer_follow.h"

#include <algorithm>

namespace spanplank
{
namespace
{
constexpr TimeUs kLinkPatience = 1500 * kMsToUs; ///< For a new link to come up and answer.
/// Own calls in a row that reached the store while the parent answered and proved nothing. After an outage
/// the parent is back before the second.
constexpr uint32_t kMostAsked = 2;
/// Own calls in a row that failed, before this router counts as cut off: one may be lost.
constexpr uint32_t kLeastFailures = 2;
/// For a parent to prove something, before another is tried. A proof passes a level of the tree in 60 ms.
constexpr TimeUs kProofPatience = 1000 * kMsToUs;
/// Between searches, doubled each time: while the store is away from all, each search only breaks a link.
constexpr TimeUs kSearchPause = 1000 * kMsToUs;
constexpr uint32_t kMostSearchDoublings = 3;
/// Then this router takes its rank again and calls the store itself, to learn of its return.
constexpr TimeUs kDetached = 5000 * kMsToUs;
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
	if (_state.hasParent && _now - std::max(_state.parentSince, _state.answeredAt) > kLinkPatience)
	{
		return FollowMove::LeaveSilent;
	}
	if (_state.hasParent && _state.ring && reaches)
	{
		return FollowMove::LeaveRing;
	}
	if (_state.hasParent && _state.asked >= kMostAsked)
	{
		return FollowMove::LeaveCutOff;
	}
	const bool unproven = _now - std::max(_state.parentSince, _state.provenAt) > kProofPatience;
	if (!reaches && unproven && _now >= _state.searchAt)
	{
		return FollowMove::Search;
	}
	return FollowMove::Keep;
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
	_state.answeredAt = _now;
	_state.chain.assign(_chain.begin(), _chain.begin() + std::min(_chain.size(), kMostChain));
	_state.ring = std::find(_chain.begin(), _chain.end(), _self) != _chain.end();
	if (_proofAge < kOldestProof && !_state.ring)
	{
		_state.provenAt = _now;
		_state.asked = 0;
		_state.searches = 0;
	}
}

void noteStoreReached(FollowState& _state)
{
	_state.storeFailures = 0;
	_state.detachedUntil = 0;
	_state.searches = 0;
	_state.asked += _state.answeredAt != 0 ? 1 : 0;
}

void noteStoreFailed(FollowState& _state)
{
	++_state.storeFailures;
}

void noteSearch(FollowState& _state, TimeUs _now)
{
	_state.detachedUntil = _now + kDetached;
	_state.searchAt = _now + (kSearchPause << std::min(_state.searches, kMostSearchDoublings));
	++_state.searches;
}
} // namespace spanplank
