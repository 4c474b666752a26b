/// Links between routers: messages, answers to followers, changes passed on to them. The parent is in
/// `peer_parent.cpp`, the registration in the store in `peer_registration.cpp`.
#include "peer_links_p.h"

#include <fmt/format.h>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "load_control_p.h"
#include "log_p.h"
#include "peer_parent_p.h"
#include "store_items_p.h"
#include "suspects_p.h"
#include "upstream_notices_p.h"

namespace spanplank
{
namespace
{
/// Loads change as fast as prompts are read, which takes some 100 ms. Measured beside 30 and 200.
constexpr uint32_t kPingMs = 60;
constexpr uint32_t kTickMs = 500;     ///< Between looks at the registration.
constexpr uint32_t kFirstTickMs = 50; ///< The same until links are open.
constexpr uint32_t kReviewPings = 4;  ///< Between looks at the choice of the parent.
constexpr uint32_t kTrialPings = 4;   ///< Between news of the trials over one link.
/// Without an answer for this long the parent is not relied on; a slow box may pause for some 100 ms.
constexpr TimeUs kPongPatience = 700 * kMsToUs;
/// Oldest proof of a router that is between two parents. A new link takes some 0.1 s: without this each
/// change of parent cost a call of the store (3,600 calls of a fleet of 103 on a quiet day of 48 s).
constexpr TimeUs kOldestUnledProof = 900 * kMsToUs;

// ---- Messages ---------------------------------------------------------------------------------------------

void answerPing(DirectRouter& _router, LinkId _link, const PeerPing& _ping)
{
	PeerLinks& peers = _router.peers;
	const TimeUs now = monotonicNow();
	NeighbourLoad& child = peers.loads.children[_link.idx];
	applyLoads(peers.loads, child, _ping.loads, now);
	updateOwnLoad(peers.loads, _router.upstreams);
	collectOwnHomes(peers.homes, _router.upstreams);
	applyHomes(peers.homes, _router.upstreams, _link.idx, _ping.homes, now);
	takePeerHalts(_router, _ping.halts);
	takePeerTrials(_router, _ping.trials, _link.idx);
	takePeerSuspects(_router, _ping.suspects);
	takePeerLimits(_router, _ping.limits, _link);
	takeLoadControl(_router, _link.idx, _ping.speeds, _ping.accounts, _ping.retries,
					retryLoanAge(_router.lending, _link.idx, _ping.answered, now));
	applyUsage(_router.usage, _ping.usage);
	PeerPong pong;
	pong.seq = _ping.seq;
	pong.halts = unwrittenHalts(_router.trials);
	pong.trials = trialNews(_router, _link, _ping.seq);
	pong.suspects = suspectUpdatesFor(_router.suspects, peers.toldSuspects[_link.idx], now);
	pong.limits = limitUpdatesFor(_router.upstreams, peers.toldLimits[_link.idx]);
	pong.revision = _router.view.listed ? _router.view.revision : 0;
	pong.confirmationAge = now - _router.config.confirmedAt;
	pong.loads = loadChangesFor(peers.loads, child);
	pong.homes = homesForChild(peers.homes, _link.idx);
	addLoadControl(_router, _link.idx, pong.speeds, pong.accounts, pong.retries);
	recordRetryMessage(_router.lending, _link.idx, pong.seq, now);
	pong.stopping = _router.stopping;
	pong.wall = wallTime(_router.wall, wallNow(), now);
	pong.chain = peers.follow.chain;
	pong.chain.insert(pong.chain.begin(), peerKeyOf(_router.settings.box));
	peers.hub->send(_link, MessageType::PeerPong, pong);
}

void answerAsk(DirectRouter& _router, LinkId _link, const StoreChangesRequest& _ask)
{
	const StoreChanges since = changesSince(_router.peers.changes, _ask.knownRevision, _router.view.revision);
	_router.peers.hub->send(_link, MessageType::StoreChanges, since);
}

void takeMessage(DirectRouter& _router, LinkId _link, const LinkMessage& _message)
{
	switch (_message.type)
	{
	case MessageType::PeerPing:
		answerPing(_router, _link, _message.body.get<PeerPing>());
		break;
	case MessageType::PeerPong:
		takePong(_router, _link, _message.body.get<PeerPong>());
		break;
	case MessageType::PeerRegister:
		takePeerRegister(_router, _message.body.get<PeerRegistrationRequest>());
		break;
	case MessageType::StoreChanges:
		takeChangesOfParent(_router, _message.body.get<StoreChanges>());
		break;
	case MessageType::StoreRequest:
		answerAsk(_router, _link, _message.body.get<StoreChangesRequest>());
		break;
	case MessageType::StoreSnapshot:
		takeSnapshotOfParent(_router, _message.body.get<StoreSnapshot>());
		break;
	case MessageType::PeerConfigRequest:
		answerConfigRequest(_router, _link, _message.body.get<PeerConfigRequest>());
		break;
	case MessageType::PeerConfig:
		takePeerConfig(_router, _link, _message.body.get<PeerConfig>());
		break;
	default:
		break; // Of the agent mode.
	}
}

// ---- Links ------------------------------------------------------------------------------------------------

void takeClose(DirectRouter& _router, LinkId _link)
{
	PeerLinks& peers = _router.peers;
	const auto child = peers.loads.children.find(_link.idx);
	if (child != peers.loads.children.end())
	{
		removeLoads(peers.loads, child->second);
		peers.loads.children.erase(child);
	}
	peers.homes.children.erase(_link.idx);
	peers.toldTrials.erase(_link.idx);
	peers.toldSuspects.erase(_link.idx);
	peers.toldLimits.erase(_link.idx);
	forgetLoadControl(_router, _link.idx);
	if (_link.idx == peers.parentLink.idx && !_router.stopping)
	{
		leaveParent(_router, "its link closed", monotonicNow());
	}
}

void openHub(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	LinkInit init;
	init.self.role = "router";
	init.self.box = _router.settings.box;
	init.self.hall = _router.settings.hall;
	init.self.incarnation = fmt::format("{}-{}", _router.settings.box, wallNow());
	init.keys = {peers.key};
	init.handlers.onOpen = [](LinkId, const PeerInfo&) {
	};
	init.handlers.onMessage = [&_router](LinkId _link, const LinkMessage& _message) {
		takeMessage(_router, _link, _message);
	};
	init.handlers.onClose = [&_router](LinkId _link) {
		takeClose(_router, _link);
	};
	peers.hub = std::make_unique<LinkHub>(_router.io, std::move(init));
}

/// Listens for other routers' links; tried again while another process has the port.
bool isListening(DirectRouter& _router)
{
	LinkHub& hub = *_router.peers.hub;
	try
	{
		if (!hub.isListening())
		{
			hub.listen(_router.settings.link);
		}
	}
	catch (const Failure& failure)
	{
		logEvent("links_not_taken", {{"error", failure.refusal().detail}});
	}
	return hub.isListening();
}

void keepLinked(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	if (!_router.view.listed || _router.stopping)
	{
		return;
	}
	if ((peers.key.empty() || !peers.keyStands) && _router.config.confirmedAt != 0)
	{
		writeLinkKey(_router);
	}
	if (peers.hub == nullptr && !peers.key.empty())
	{
		openHub(_router);
		reviewParent(_router, monotonicNow());
	}
	if (peers.hub == nullptr)
	{
		return;
	}
	if (isListening(_router)) // Others learn of an address that takes links.
	{
		keepRegistered(_router);
	}
}

/// While the store refuses, registration can wait: the links that are open go on.
void runLinks(DirectRouter& _router)
{
	while (true)
	{
		noteIteration();
		try
		{
			keepLinked(_router);
		}
		catch (const Failure& failure)
		{
			noteNotRegistered(_router, failure);
		}
		sleepFor(_router.peers.hub != nullptr ? kTickMs : kFirstTickMs);
	}
}

/// Never waits for the store: a router that is cut off it has to find another parent.
void runPings(DirectRouter& _router)
{
	for (uint32_t ping = 0;; ++ping)
	{
		noteIteration();
		if (ping % kReviewPings == 0)
		{
			reviewParent(_router, monotonicNow());
		}
		applyPeerLoads(_router.peers.loads, _router.upstreams, monotonicNow());
		refreshLoadControl(_router, monotonicNow());
		pingParent(_router);
		sleepFor(kPingMs);
	}
}
} // namespace

std::vector<TrialUpdate> trialNews(DirectRouter& _router, LinkId _link, uint64_t _ping)
{
	if (_ping % kTrialPings != 0)
	{
		return {};
	}
	SentTrials& told = _router.peers.toldTrials[_link.idx];
	return trialUpdatesFor(_router.trials, told, neighbourOf(_link.idx), monotonicNow());
}

bool hasParent(const DirectRouter& _router, TimeUs _now)
{
	const PeerLinks& peers = _router.peers;
	const TimeUs answeredAt = peers.follow.answeredAt;
	return !peers.parent.empty() && answeredAt != 0 && _now - answeredAt < kPongPatience;
}

bool mayFollow(const DirectRouter& _router, TimeUs _now)
{
	const PeerLinks& peers = _router.peers;
	const bool linkable = _router.settings.link.port != 0 && !peers.key.empty();
	return linkable && !chooseParent(peers.tree, _now).empty();
}

bool isFollowing(const DirectRouter& _router, TimeUs _now)
{
	const PeerLinks& peers = _router.peers;
	const TimeUs oldest = hasParent(_router, _now) ? maxConfirmationAge(peers.follow) : kOldestUnledProof;
	const bool listed = _router.view.listed && !peers.behind;
	return listed && !peers.parent.empty() && _now - _router.config.confirmedAt < oldest;
}

void passChangesOn(DirectRouter& _router, uint64_t _from, const StoreList& _changes)
{
	PeerLinks& peers = _router.peers;
	const StoreChanges changes{_from, _changes.revision, _changes.items};
	recordChanges(peers.changes, changes);
	for (const auto& [link, child] : peers.loads.children)
	{
		peers.hub->send(LinkId{link}, MessageType::StoreChanges, changes);
	}
}

void passListOn(DirectRouter& _router, const StoreList& _list)
{
	PeerLinks& peers = _router.peers;
	clearChanges(peers.changes);
	const StoreSnapshot snapshot{_list.revision, _list.items};
	for (const auto& [link, child] : peers.loads.children)
	{
		peers.hub->send(LinkId{link}, MessageType::StoreSnapshot, snapshot);
	}
}

void noteAskedStore(DirectRouter& _router, TimeUs _sentAt)
{
	_router.peers.behind = false;
	recordStoreReached(_router.peers.follow, _sentAt);
}

size_t followers(const DirectRouter& _router)
{
	return _router.peers.loads.children.size();
}

void startPeerLinks(DirectRouter& _router)
{
	if (_router.settings.link.port == 0)
	{
		return;
	}
	const DirectSettings& settings = _router.settings;
	const Endpoint& announced = settings.linkAnnounced.port != 0 ? settings.linkAnnounced : settings.link;
	_router.peers.tree.self = {settings.box, settings.hall, announced, settings.capacity};
	keepRunning("links", [&_router] { runLinks(_router); });
	keepRunning("pings", [&_router] { runPings(_router); });
}
} // namespace spanplank
