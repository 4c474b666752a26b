/// Decides when to leave a parent and when to search for another one, with the timeouts of both.
#include "spanplank/peer_follow.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// Time for the link to a new parent to open and for its first answer.
constexpr TimeUs kLinkTimeoutUs = 1500 * kMsToUs;
/// Time without an answer of a parent that has answered before. Followers of a root that becomes unresponsive
/// have another parent before the confirmations of the levels below are too old, so that these need not call
/// the store.
constexpr TimeUs kAnswerTimeoutUs = 800 * kMsToUs;
/// Failed own calls in a row from which the store counts as unreachable: a single one may be lost.
constexpr uint32_t kMinStoreFailures = 2;
/// Time without a confirmation after which a follower of the root searches for another parent. Each further
/// level waits four times as long, so that the routers above search first and then confirm to all their
/// followers.
constexpr TimeUs kConfirmationTimeoutUs = 1000 * kMsToUs;
constexpr uint32_t kMaxTimeoutLevels = 3;
/// Time after a failed own call in which the store may have been unreachable for all routers, so that the
/// parent may reach it again in a moment.
constexpr TimeUs kOutageRecoveryUs = 3000 * kMsToUs;
/// Pause after the first search, doubled by each further one: while the store is unreachable for all routers,
/// a search only closes a link.
constexpr TimeUs kSearchPauseUs = 1000 * kMsToUs;
constexpr uint32_t kMaxSearchDoublings = 3;
/// Pause between own store calls of a detached router whose parent confirms.
constexpr TimeUs kProbePeriodUs = 3000 * kMsToUs;

/// @returns The number of routers between this one and the store, as far as it is known; at least 1.
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
	// Direct followers of a router that can't reach the store leave it first. By the time the levels below
	// would leave, they receive confirmations again and stay.
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
