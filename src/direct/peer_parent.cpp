/// Choice of the parent, the link to it, its proofs, changes and loads.
#include "peer_parent_p.h"

#include <algorithm>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "load_control_p.h"
#include "log_p.h"
#include "store_items_p.h"
#include "suspects_p.h"
#include "upstream_notices_p.h"

namespace spanplank
{
namespace
{
/// @returns The open link to the parent; invalid: none.
LinkId openParentLink(const PeerLinks& _peers)
{
	if (_peers.hub == nullptr || _peers.parent.empty())
	{
		return LinkId{};
	}
	for (const LinkId link : _peers.hub->openLinks())
	{
		const PeerInfo* peer = _peers.hub->peer(link);
		if (peer != nullptr && peer->box == _peers.parent)
		{
			return link;
		}
	}
	return LinkId{};
}

/// What was told over a link counts for that link alone.
void forgetParentLink(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	forgetLoadControl(_router, kParentNeighbour);
	peers.parentLink = {};
	peers.pongSeq = 0;
	peers.askedFrom = 0;
	peers.toldUsage = {};
	removeLoads(peers.loads, peers.loads.parent);
	peers.homes.parent = {}; // What waited for it would be news no more to the next one.
}

void dropParent(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	const auto found = peers.tree.peers.find(peers.parent);
	if (found != peers.tree.peers.end())
	{
		peers.hub->disconnect(found->second.record.address);
	}
	const LinkId link = openParentLink(peers);
	peers.parent.clear();
	forgetParentLink(_router); // Before the link closes: its end is no loss of the next parent.
	if (isValid(link) && peers.loads.children.count(link.idx) == 0)
	{
		peers.hub->close(link);
	}
}

void followParent(DirectRouter& _router, const std::string& _box, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	dropParent(_router);
	recordParent(peers.follow, !_box.empty(), _now);
	logEvent("peer_chosen", {{"box", _box},
							 {"peers", std::to_string(peers.tree.peers.size())},
							 {"detached", peers.tree.selfRanksLast ? "yes" : "no"}});
	if (_box.empty())
	{
		return;
	}
	peers.parent = _box;
	peers.hub->connect(peers.tree.peers.at(_box).record.address);
}

/// A router that ranks itself last may come to follow one that follows it.
void rankSelfLast(PeerLinks& _peers, bool _last)
{
	_peers.tree.selfRanksLast = _last;
	_peers.loads.isolated = _last;
}

/// While this router is cut off the store it may follow any other one.
void searchParent(DirectRouter& _router, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	recordSearch(peers.follow, _now);
	rankSelfLast(peers, true);
	if (peers.parent.empty())
	{
		followParent(_router, chooseParent(peers.tree, _now), _now);
		return;
	}
	leaveParent(_router, name(FollowAction::Search), _now);
}

/// The parent is asked once for what this router does not know, the store after that.
void askForChanges(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	const uint64_t known = _router.view.revision;
	if (!_router.view.listed || peers.askedFrom == known)
	{
		return;
	}
	peers.askedFrom = known;
	peers.hub->send(peers.parentLink, MessageType::StoreRequest, StoreChangesRequest{known});
}

/// Whatever its proof is worth by now, what the parent tells of loads and homes it tells once.
void takeSharesOfParent(DirectRouter& _router, const PeerPong& _pong, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	applyHomes(peers.homes, _router.upstreams, kParentNeighbour, _pong.homes, _now);
	applyLoads(peers.loads, peers.loads.parent, _pong.loads, _now);
}

/// @returns Whether the parent's answer is one that this router can use.
bool takeParentAnswer(DirectRouter& _router, const PeerPong& _pong, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	const bool first = peers.follow.answeredAt == 0;
	const TimeUs confirmationAge = _now - peers.pingSentAt + _pong.confirmationAge;
	recordParentAnswer(peers.follow, confirmationAge, _pong.chain, peerKeyOf(_router.settings.box), _now);
	if (first)
	{
		recordFollowed(peers.tree, peers.parent);
		logEvent("peer_followed", {{"box", peers.parent},
								   {"revision", std::to_string(_pong.revision)},
								   {"proof_age_ms", std::to_string(_pong.confirmationAge / kMsToUs)}});
	}
	return _pong.revision != 0 && !peers.follow.inCycle;
}
} // namespace

void leaveParent(DirectRouter& _router, const char* _why, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	logEvent("peer_lost", {{"box", peers.parent}, {"why", _why}});
	avoidPeer(peers.tree, peers.parent, _now);
	followParent(_router, chooseParent(peers.tree, _now), _now);
}

void reviewParent(DirectRouter& _router, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	if (peers.hub == nullptr || _router.stopping)
	{
		return;
	}
	const FollowAction move = nextFollowAction(peers.follow, _now);
	rankSelfLast(peers, peers.follow.detached);
	if (move == FollowAction::Search)
	{
		searchParent(_router, _now);
		return;
	}
	if (move != FollowAction::Keep)
	{
		leaveParent(_router, name(move), _now);
		return;
	}
	if (peers.follow.detached && !peers.parent.empty())
	{
		return; // By rank it might come to one that is cut off too; `Search` moves it on if this one proves
				// nothing.
	}
	const std::string best = chooseParent(peers.tree, _now);
	const bool known = peers.parent.empty() || peers.tree.peers.count(peers.parent) != 0;
	if (best != peers.parent && (known || !hasParent(_router, _now)))
	{
		followParent(_router, best, _now);
	}
}

void pingParent(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	const LinkId link = openParentLink(peers);
	if (!isValid(link))
	{
		return;
	}
	if (link.idx != peers.parentLink.idx)
	{
		forgetParentLink(_router);
		peers.parentLink = link;
	}
	PeerPing ping;
	ping.seq = ++peers.pingSeq;
	ping.loads = loadChangesFor(peers.loads, peers.loads.parent);
	collectOwnHomes(peers.homes, _router.upstreams);
	ping.homes = homesForParent(peers.homes);
	ping.halts = unwrittenHalts(_router.trials);
	ping.trials = trialNews(_router, link, ping.seq);
	peers.pingSentAt = monotonicNow();
	ping.suspects = suspectUpdatesFor(_router.suspects, peers.toldSuspects[link.idx], peers.pingSentAt);
	ping.limits = limitUpdatesFor(_router.upstreams, peers.toldLimits[link.idx]);
	recordRetryMessage(_router.lending, kParentNeighbour, ping.seq, peers.pingSentAt);
	addLoadControl(_router, kParentNeighbour, ping.speeds, ping.accounts, ping.retries);
	ping.answered = peers.pongSeq;
	ping.usage = usageUpdateFor(_router.usage, peers.toldUsage, peers.pingSentAt);
	peers.hub->send(link, MessageType::PeerPing, ping);
}

/// The proof holds from when the ping was sent, less the age that the parent told: the answer was made later.
void takePong(DirectRouter& _router, LinkId _link, const PeerPong& _pong)
{
	PeerLinks& peers = _router.peers;
	if (_link.idx != peers.parentLink.idx)
	{
		return; // Of an earlier parent.
	}
	const TimeUs now = monotonicNow();
	takeSharesOfParent(_router, _pong, now);
	takePeerHalts(_router, _pong.halts);
	takePeerTrials(_router, _pong.trials, _link.idx);
	takePeerSuspects(_router, _pong.suspects);
	takePeerLimits(_router, _pong.limits, _link);
	takeLoadControl(_router, kParentNeighbour, _pong.speeds, _pong.accounts, _pong.retries,
					retryLoanAge(_router.lending, kParentNeighbour, _pong.seq, now));
	peers.pongSeq = _pong.seq;
	if (syncWallClock(_router.wall, _pong.wall, now))
	{
		logEvent("wall_clock_corrected", {{"box", peers.parent}});
	}
	if (_pong.stopping && !_router.stopping)
	{
		leaveParent(_router, "it stops", now);
		return;
	}
	if (_pong.seq != peers.pingSeq || !takeParentAnswer(_router, _pong, now))
	{
		return; // Overtaken by the next ping, or of no use.
	}
	if (!_router.view.listed || _router.view.revision < _pong.revision)
	{
		askForChanges(_router);
		return;
	}
	peers.behind = false;
	const TimeUs provedAt = peers.pingSentAt - _pong.confirmationAge;
	noteStorePresent(_router, provedAt);
	_router.config.confirmedAt = std::max(_router.config.confirmedAt, provedAt);
}

void takeChangesOfParent(DirectRouter& _router, const StoreChanges& _changes)
{
	if (!_router.view.listed || _router.view.revision < _changes.from)
	{
		_router.peers.behind = true;
		return;
	}
	takeStoreChanges(_router, {_changes.to, _changes.items, false}, StoreWay::Parent);
}

void takeSnapshotOfParent(DirectRouter& _router, const StoreSnapshot& _snapshot)
{
	logEvent("snapshot_taken", {{"box", _router.peers.parent},
								{"revision", std::to_string(_snapshot.revision)},
								{"known", std::to_string(_router.view.revision)},
								{"items", std::to_string(_snapshot.items.size())}});
	takeStoreList(_router, {_snapshot.revision, _snapshot.items, false}, StoreWay::Snapshot);
}
} // namespace spanplank
