/// Leaving and searching a parent, with the limits behind it.
#include "spanplank/peer_follow.h"

#include <algorithm>

namespace spanplank
{
namespace
{
constexpr TimeUs kLinkTimeoutUs = 1500 * kMsToUs; ///< For a new link to come up and answer.
/// For a parent that has answered before. Those next to a first of all that fell silent have another by the
/// time that the proofs of the levels below them grow old, and these need not ask the store.
constexpr TimeUs kAnswerTimeoutUs = 800 * kMsToUs;
/// Own calls in a row that failed, before this router counts as cut off: one may be lost.
constexpr uint32_t kMinStoreFailures = 2;
/// For a parent next to the first of all to prove something, before another is tried; four times that for
/// each level below: the routers above search first, and prove it to all that follow them.
constexpr TimeUs kConfirmationTimeoutUs = 1000 * kMsToUs;
constexpr uint32_t kMaxTimeoutLevels = 3;
/// Own calls failed within this time: the store was away from all, and the parent may be back in a moment.
constexpr TimeUs kOutageRecoveryUs = 3000 * kMsToUs;
/// Between searches, doubled each time: while the store is away from all, each search only breaks a link.
constexpr TimeUs kSearchPauseUs = 1000 * kMsToUs;
constexpr uint32_t kMaxSearchDoublings = 3;
constexpr TimeUs kProbePeriodUs = 3000 * kMsToUs; ///< Calls of a detached router whose parent proves.

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

const char* name(FollowAction _action)
{
	switch (_action)
	{
	case FollowAction::Keep:
		return "keep";
	case FollowAction::LeaveUnresponsive:
		return "no answer";
	case FollowAction::LeaveCycle:
		return "it follows this router";
	case FollowAction::LeaveStale:
		return "it does not reach the store";
	case FollowAction::Search:
		break;
	}
	return "neither it nor this router reaches the store";
}

FollowAction nextFollowAction(const FollowState& _state, TimeUs _now)
{
	const bool reachesStore = _state.storeFailures < kMinStoreFailures;
	const TimeUs answerTimeout = _state.answeredAt == 0 ? kLinkTimeoutUs : kAnswerTimeoutUs;
	if (_state.hasParent && _now - std::max(_state.parentSince, _state.answeredAt) > answerTimeout)
	{
		return FollowAction::LeaveUnresponsive;
	}
	if (_state.hasParent && _state.inCycle && reachesStore)
	{
		return FollowAction::LeaveCycle;
	}
	// Those next to the one that is cut off leave first: the levels below are proved again by then, and stay.
	const bool afterOutage = _state.storeFailedAt != 0 && _now - _state.storeFailedAt < kOutageRecoveryUs;
	if (_state.hasParent && _state.unconfirmedCalls >= levelsAbove(_state) + (afterOutage ? 1 : 0))
	{
		return FollowAction::LeaveStale;
	}
	const uint32_t levels = std::min(levelsAbove(_state), kMaxTimeoutLevels);
	const TimeUs confirmationTimeout = kConfirmationTimeoutUs << 2 * (levels - 1);
	const bool unconfirmed = _now - std::max(_state.parentSince, _state.confirmedAt) > confirmationTimeout;
	if (!reachesStore && unconfirmed && _now >= _state.nextSearchAt)
	{
		return FollowAction::Search;
	}
	return FollowAction::Keep;
}

TimeUs maxConfirmationAge(const FollowState& _state)
{
	return levelsAbove(_state) == 1 ? kMaxConfirmationAgeLevel1Us : kMaxConfirmationAgeBelowUs;
}

void recordParent(FollowState& _state, bool _hasParent, TimeUs _now)
{
	_state.hasParent = _hasParent;
	_state.parentSince = _now;
	_state.answeredAt = 0;
	_state.confirmedAt = 0;
	_state.inCycle = false;
	_state.unconfirmedCalls = 0;
	_state.chain.clear();
}

void recordParentAnswer(FollowState& _state, TimeUs _confirmationAge, absl::Span<const PeerKey> _chain,
						PeerKey _self, TimeUs _now)
{
	_state.firstAnswerAt = _state.answeredAt == 0 ? _now : _state.firstAnswerAt;
	_state.answeredAt = _now;
	_state.chain.assign(_chain.begin(), _chain.begin() + std::min(_chain.size(), kMaxChainLength));
	_state.inCycle = std::find(_chain.begin(), _chain.end(), _self) != _chain.end();
	if (_confirmationAge < maxConfirmationAge(_state) && !_state.inCycle)
	{
		_state.confirmedAt = _now;
		_state.unconfirmedCalls = 0;
		_state.searches = 0;
	}
}

void recordStoreReached(FollowState& _state, TimeUs _sentAt)
{
	_state.storeFailures = 0;
	_state.detached = false;
	_state.searches = 0;
	_state.unconfirmedCalls += _state.answeredAt != 0 && _sentAt >= _state.firstAnswerAt ? 1 : 0;
}

void recordStoreFailed(FollowState& _state, TimeUs _now)
{
	++_state.storeFailures;
	_state.storeFailedAt = _now;
	_state.probeAt = _now + kProbePeriodUs;
}

bool isProbeDue(const FollowState& _state, TimeUs _now)
{
	return _state.detached && _now >= _state.probeAt;
}

void recordSearch(FollowState& _state, TimeUs _now)
{
	_state.detached = true;
	_state.nextSearchAt = _now + (kSearchPauseUs << std::min(_state.searches, kMaxSearchDoublings));
	++_state.searches;
}
} // namespace spanplank
