/// Links to parent and children, choice of the parent, pings with loads, changes passed on. The registration
/// in the store is in `peer_registration.cpp`.
#include "peer_links_p.h"

#include <algorithm>
#include <fmt/format.h>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"

namespace spanplank
{
namespace
{
/// Loads change as fast as prompts are read, which takes some 100 ms. Measured beside 30 and 200.
constexpr uint32_t kPingMs = 60;
constexpr uint32_t kTickMs = 500; ///< Between looks at the registration and the choice of the parent.
/// Without an answer for this long the parent is not relied on; a slow box may pause for some 100 ms.
constexpr TimeUs kPongPatience = 700 * kMsToUs;
/// Oldest proof that is good enough. A change must be in force within 2 s where bounds are tightest.
constexpr TimeUs kOldestProof = 1600 * kMsToUs;
constexpr TimeUs kLinkPatience = 1500 * kMsToUs; ///< For a new link to come up and answer.
/// Times in a row that this router reached the store while its parent answered and could not prove anything.
/// After an outage the parent is back before that.
constexpr uint32_t kMostAsked = 3;

std::string addressText(const Endpoint& _endpoint)
{
	return fmt::format("{}:{}", _endpoint.ip, _endpoint.port);
}

/// @returns The open link to the parent; invalid: none.
LinkId parentLink(const PeerLinks& _peers)
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

// ---- Messages ---------------------------------------------------------------------------------------------

void answerPing(DirectRouter& _router, LinkId _link, const PeerPing& _ping)
{
	PeerLinks& peers = _router.peers;
	const TimeUs now = monotonicNow();
	peers.loads.children[_link.idx] = {_ping.loads, now};
	applyOthersLoad(peers.loads, _router.upstreams, now);
	collectOwnHomes(peers.homes, _router.upstreams);
	takeHomes(peers.homes, _router.upstreams, _link.idx, _ping.homes, now);
	PeerPong pong;
	pong.seq = _ping.seq;
	pong.revision = _router.view.listed ? _router.view.revision : 0;
	pong.proofAge = now - _router.config.provedAt;
	pong.loads = loadForChild(peers.loads, ownLoad(_router.upstreams), _link.idx, now);
	pong.homes = homesForChild(peers.homes, _link.idx);
	peers.hub->send(_link, MessageType::PeerPong, pong);
}

/// The proof holds from when the ping was sent, less the age that the parent told: the answer was made later.
void takePong(DirectRouter& _router, const PeerPong& _pong)
{
	PeerLinks& peers = _router.peers;
	if (_pong.seq != peers.pingSeq)
	{
		return; // Of an earlier parent, or overtaken by the next ping.
	}
	const TimeUs now = monotonicNow();
	if (peers.pongAt == 0)
	{
		noteFollowed(peers.tree, peers.parent);
		logEvent("peer_followed", {{"box", peers.parent},
								   {"revision", std::to_string(_pong.revision)},
								   {"proof_age_ms", std::to_string(_pong.proofAge / kMsToUs)}});
	}
	peers.pongAt = now;
	peers.loads.parent = {_pong.loads, now};
	applyOthersLoad(peers.loads, _router.upstreams, now);
	takeHomes(peers.homes, _router.upstreams, kParentOfTree, _pong.homes, now);
	if (!_router.view.listed || _router.view.revision < _pong.revision)
	{
		peers.behind = true;
		return;
	}
	if (_pong.revision == 0)
	{
		return; // The parent knows nothing yet.
	}
	_router.config.provedAt = std::max(_router.config.provedAt, peers.pingSentAt - _pong.proofAge);
	peers.asked = isFollowing(_router, now) ? 0 : peers.asked;
}

void takeChangesOfParent(DirectRouter& _router, const StoreChanges& _changes)
{
	if (!_router.view.listed || _router.view.revision < _changes.from)
	{
		_router.peers.behind = true;
		return;
	}
	takeStoreChanges(_router, {_changes.to, _changes.items, false});
}

void takeMessage(DirectRouter& _router, LinkId _link, const LinkMessage& _message)
{
	switch (_message.type)
	{
	case MessageType::PeerPing:
		answerPing(_router, _link, _message.body.get<PeerPing>());
		break;
	case MessageType::PeerPong:
		takePong(_router, _message.body.get<PeerPong>());
		break;
	case MessageType::StoreChanges:
		takeChangesOfParent(_router, _message.body.get<StoreChanges>());
		break;
	default:
		break; // Of the agent mode.
	}
}

// ---- Parent -----------------------------------------------------------------------------------------------

void dropParent(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	const auto found = peers.tree.peers.find(peers.parent);
	if (found != peers.tree.peers.end())
	{
		peers.hub->disconnect(parseEndpoint(found->second.record.address));
	}
	const LinkId link = parentLink(peers);
	if (isValid(link) && peers.loads.children.count(link.idx) == 0)
	{
		peers.hub->close(link);
	}
	peers.parent.clear();
	peers.pongAt = 0;
	peers.loads.parent = {};
	peers.homes.parent = {}; // What waited for it would be news no more to the next one.
}

void follow(DirectRouter& _router, const std::string& _box, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	dropParent(_router);
	peers.parentSince = _now;
	logEvent("peer_chosen", {{"box", _box}, {"peers", std::to_string(peers.tree.peers.size())}});
	if (_box.empty())
	{
		return;
	}
	peers.parent = _box;
	peers.hub->connect(parseEndpoint(peers.tree.peers.at(_box).record.address));
}

void leaveParent(DirectRouter& _router, const char* _why, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	logEvent("peer_lost", {{"box", peers.parent}, {"why", _why}});
	avoidPeer(peers.tree, peers.parent, _now);
	follow(_router, chooseParent(peers.tree, _now), _now);
}

void reviewParent(DirectRouter& _router, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	const bool answers = hasParent(_router, _now);
	const TimeUs since = std::max(peers.parentSince, peers.pongAt);
	if (!peers.parent.empty() && !answers && _now - since > kLinkPatience)
	{
		leaveParent(_router, "no answer", _now);
		return;
	}
	const std::string best = chooseParent(peers.tree, _now);
	const bool known = peers.parent.empty() || peers.tree.peers.count(peers.parent) != 0;
	if (best != peers.parent && (known || !answers))
	{
		follow(_router, best, _now);
	}
}

void pingParent(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	const LinkId link = parentLink(peers);
	if (!isValid(link))
	{
		return;
	}
	const TimeUs now = monotonicNow();
	PeerPing ping;
	ping.seq = ++peers.pingSeq;
	ping.loads = loadForParent(peers.loads, ownLoad(_router.upstreams), now);
	collectOwnHomes(peers.homes, _router.upstreams);
	ping.homes = homesForParent(peers.homes);
	peers.pingSentAt = now;
	peers.hub->send(link, MessageType::PeerPing, ping);
}

// ---- Links ------------------------------------------------------------------------------------------------

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
		_router.peers.loads.children.erase(_link.idx);
		_router.peers.homes.children.erase(_link.idx);
		applyOthersLoad(_router.peers.loads, _router.upstreams, monotonicNow());
	};
	peers.hub = std::make_unique<LinkHub>(_router.io, std::move(init));
	peers.hub->listen(_router.settings.link);
}

void keepLinked(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	if (!_router.view.listed || _router.stopping)
	{
		return;
	}
	if (peers.key.empty())
	{
		writeLinkKey(_router);
	}
	if (peers.hub == nullptr && !peers.key.empty())
	{
		openHub(_router);
	}
	if (peers.hub != nullptr)
	{
		reviewParent(_router, monotonicNow());
		keepRegistered(_router);
	}
}

/// While the store refuses, registration can wait: the links that are open go on.
void runLinks(DirectRouter& _router)
{
	while (true)
	{
		try
		{
			keepLinked(_router);
		}
		catch (const Failure& failure)
		{
			noteNotRegistered(_router, failure);
		}
		sleepFor(kTickMs);
	}
}

void runPings(DirectRouter& _router)
{
	while (true)
	{
		pingParent(_router);
		sleepFor(kPingMs);
	}
}
} // namespace

bool hasParent(const DirectRouter& _router, TimeUs _now)
{
	const PeerLinks& peers = _router.peers;
	return !peers.parent.empty() && peers.pongAt != 0 && _now - peers.pongAt < kPongPatience;
}

bool isFollowing(const DirectRouter& _router, TimeUs _now)
{
	return hasParent(_router, _now) && !_router.peers.behind && _now - _router.config.provedAt < kOldestProof;
}

void passChangesOn(DirectRouter& _router, uint64_t _from, const StoreList& _changes)
{
	const PeerLinks& peers = _router.peers;
	if (peers.loads.children.empty())
	{
		return;
	}
	const StoreChanges changes{_from, _changes.revision, _changes.items};
	for (const auto& [link, child] : peers.loads.children)
	{
		peers.hub->send(LinkId{link}, MessageType::StoreChanges, changes);
	}
}

void noteAskedStore(DirectRouter& _router, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	peers.behind = false;
	if (hasParent(_router, _now) && ++peers.asked >= kMostAsked)
	{
		peers.asked = 0;
		leaveParent(_router, "it does not reach the store", _now);
	}
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
	_router.peers.tree.self = {settings.box, settings.hall, addressText(announced)};
	spawnFiber([&_router] { runLinks(_router); });
	spawnFiber([&_router] { runPings(_router); });
}
} // namespace spanplank
