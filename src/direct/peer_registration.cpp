/// The shared key of the links and this router's registration in the store, and what other routers
/// registered.
#include "peer_registration_p.h"

#include <algorithm>
#include <openssl/rand.h>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "spanplank/json_text.h"
#include "store_items_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kLeaseMs = 60000; ///< A box that is gone is forgotten after this long.
constexpr TimeUs kRenewEvery = 20000 * kMsToUs;
/// After a call for the registration failed; doubled each time.
constexpr TimeUs kRetryFirst = 1000 * kMsToUs;
constexpr uint32_t kMostDoublings = 3;
constexpr size_t kKeyBytes = 32;
/// For a registration that the parent was asked for to stand, before it is asked again.
constexpr TimeUs kAskAgain = 3000 * kMsToUs;
/// Then this router registers by itself: the parent may be of an earlier version, or not reach the store.
constexpr uint32_t kMostAsks = 3;
/// For a parent to answer first, before this router registers by itself.
constexpr TimeUs kParentPatience = 2000 * kMsToUs;

std::string newLinkKey()
{
	unsigned char bytes[kKeyBytes];
	RAND_bytes(bytes, sizeof(bytes));
	return sha256Hex({reinterpret_cast<const char*>(bytes), sizeof(bytes)});
}

std::string encodePeer(const PeerRecord& _record)
{
	return json{{"hall", _record.hall},
				{"address", endpointText(_record.address)},
				{"cores", _record.capacity.cores},
				{"linkMbps", _record.capacity.linkMbps}}
		.dump();
}

/// @throws Failure, json::exception
void decodePeer(const std::string& _value, PeerRecord& _record)
{
	const json value = parseJson(_value);
	_record.hall = value.at("hall").get<std::string>();
	_record.capacity.cores = value.value("cores", 0.0); // One of an earlier version tells none.
	_record.capacity.linkMbps = value.value("linkMbps", 0.0);
	_record.address = parseEndpoint(value.at("address").get<std::string>());
	if (!isConnectable(_record.address))
	{
		throw Failure(ErrorCode::BadRequest, "the address is not that of a process");
	}
}

/// @returns Whether this router's registration in the store says what it should.
bool isRegistered(const PeerLinks& _peers)
{
	return _peers.registration.revision != 0 && _peers.registration.value == encodePeer(_peers.tree.self);
}

/// @returns Whether it does, and goes with this process's lease. The lease of a parent that has died lapses.
bool isRegisteredByItself(const PeerLinks& _peers)
{
	return isRegistered(_peers) && _peers.registration.revision == _peers.registration.ownRevision;
}

void noteStanding(PeerRegistration& _registration, uint64_t _revision)
{
	_registration.revision = _revision;
	if (_revision == 0 || _registration.standsSince == 0)
	{
		_registration.standsSince = _revision == 0 ? 0 : monotonicNow();
	}
}

/// Renews this process's lease in time. One that is over is replaced at once: an item that is written without
/// a lease outlives its router.
void renewLease(DirectRouter& _router)
{
	PeerRegistration& registration = _router.peers.registration;
	const TimeUs now = monotonicNow();
	if (registration.lease != 0 && now - registration.renewedAt < kRenewEvery)
	{
		return;
	}
	if (registration.lease != 0)
	{
		registration.lease = leaseStore(_router.store, registration.lease, kLeaseMs);
	}
	if (registration.lease == 0)
	{
		registration.lease = leaseStore(_router.store, 0, kLeaseMs);
	}
	registration.failures = 0;
	registration.renewedAt = now;
}

/// A write under the lease was not done: the lease may be over, which its renewal tells. It is kept if it
/// holds, as registrations of followers go with it.
void doubtLease(PeerRegistration& _registration)
{
	_registration.renewedAt = monotonicNow() - kRenewEvery;
}

/// The pause grows with each failure in a row.
void postponeRegistration(PeerRegistration& _registration)
{
	const uint32_t doublings = std::min(_registration.failures++, kMostDoublings);
	_registration.retryAt = monotonicNow() + (kRetryFirst << doublings);
}

void writeRegistration(DirectRouter& _router)
{
	const PeerRecord& self = _router.peers.tree.self;
	PeerRegistration& registration = _router.peers.registration;
	renewLease(_router);
	uint64_t revision = 0;
	const std::string value = encodePeer(self);
	const CasResult result = casStore(_router.store, std::string(kPeerPrefix) + self.box, value,
									  registration.revision, revision, registration.lease);
	if (result == CasResult::Done)
	{
		noteStanding(registration, revision);
		registration.ownRevision = revision;
		registration.value = value;
		registration.failures = 0;
	}
	else
	{
		doubtLease(registration);
		postponeRegistration(registration);
	}
	logEvent("peer_registered", {{"result", name(result)}, {"revision", std::to_string(revision)}});
}

/// Writes registrations of followers, as many as one call takes.
void writeFollowers(DirectRouter& _router)
{
	PeerRegistration& registration = _router.peers.registration;
	renewLease(_router);
	std::vector<StoreWrite> writes;
	for (const auto& [box, value] : registration.wanted)
	{
		if (writes.size() < kMostWrites)
		{
			writes.push_back({std::string(kPeerPrefix) + box, value});
		}
	}
	const CasResult result = writeAllStore(_router.store, writes, registration.lease);
	logEvent("followers_registered", {{"result", name(result)}, {"count", std::to_string(writes.size())}});
	if (result != CasResult::Done)
	{
		doubtLease(registration);
		postponeRegistration(registration);
		return;
	}
	registration.failures = 0;
	for (const StoreWrite& write : writes)
	{
		registration.wanted.erase(afterPrefix(write.key, kPeerPrefix));
	}
}

/// Asks the parent for this router's registration: over each new link, and again while it does not stand.
void askParent(DirectRouter& _router, TimeUs _now)
{
	PeerLinks& peers = _router.peers;
	PeerRegistration& registration = peers.registration;
	const bool asked = registration.toldOver == peers.parentLink;
	if (asked && (isRegistered(peers) || _now - registration.toldAt < kAskAgain))
	{
		return;
	}
	registration.toldOver = peers.parentLink;
	registration.toldAt = _now;
	registration.asks = isRegistered(peers) ? 0 : registration.asks + 1;
	const PeerRegistrationRequest wanted{peers.tree.self.box, encodePeer(peers.tree.self)};
	peers.hub->send(peers.parentLink, MessageType::PeerRegister, wanted);
}

/// @returns Whether this router's registration is a parent's matter: one answers, or may soon.
bool isParents(const DirectRouter& _router, TimeUs _now)
{
	const TimeUs since = std::max(_router.peers.registration.parentAt, _router.view.firstListAt);
	return !_router.peers.parent.empty() && _now - since < kParentPatience;
}
} // namespace

void writeLinkKey(DirectRouter& _router)
{
	if (monotonicNow() < _router.peers.registration.retryAt)
	{
		return;
	}
	uint64_t revision = 0;
	const std::string& key = _router.peers.key;
	casStore(_router.store, std::string(kLinkKeyItem), key.empty() ? newLinkKey() : key, 0, revision);
	takePeerItem(_router, readStore(_router.store, std::string(kLinkKeyItem)));
}

void keepRegistered(DirectRouter& _router)
{
	const PeerLinks& peers = _router.peers;
	PeerRegistration& registration = _router.peers.registration;
	const TimeUs now = monotonicNow();
	if (hasParent(_router, now))
	{
		registration.parentAt = now;
		askParent(_router, now);
	}
	if (now < registration.retryAt || _router.config.confirmedAt == 0)
	{
		return;
	}
	if (!registration.wanted.empty())
	{
		writeFollowers(_router);
	}
	const bool byItself = !isParents(_router, now) || registration.asks > kMostAsks;
	// One that stands under another's lease lapses later: it can wait for a store that answers.
	const bool due = !isRegistered(peers) || (!isRegisteredByItself(peers) && _router.store.reachable);
	if (byItself && due)
	{
		writeRegistration(_router);
	}
	else if (registration.lease != 0)
	{
		renewLease(_router);
	}
}

void takePeerRegister(DirectRouter& _router, const PeerRegistrationRequest& _register)
{
	_router.peers.registration.wanted[_register.box] = _register.value;
}

void forgetOwnLease(DirectRouter& _router, TimeUs _from)
{
	PeerRegistration& registration = _router.peers.registration;
	registration.lease = 0;
	registration.toldOver = {};
	registration.failures = 0;
	registration.retryAt = _from;
	noteStanding(registration, 0); // Written anew under the new lease; what the copy holds is read first.
}

void noteNotRegistered(DirectRouter& _router, const Failure& _failure)
{
	postponeRegistration(_router.peers.registration);
	logEvent("peer_not_registered", {{"error", _failure.refusal().detail}});
}

void takePeerItem(DirectRouter& _router, const StoreItem& _item)
{
	PeerLinks& peers = _router.peers;
	if (_item.key == kLinkKeyItem)
	{
		peers.keyStands = !_item.deleted;
		peers.key = peers.key.empty() ? _item.value : peers.key;
		return;
	}
	PeerRecord record;
	record.box = afterPrefix(_item.key, kPeerPrefix);
	const bool own = record.box == peers.tree.self.box;
	if (own)
	{
		noteStanding(peers.registration, _item.deleted ? 0 : _item.revision);
		peers.registration.value = _item.value;
		return;
	}
	if (_item.deleted)
	{
		unregisterPeer(peers.tree, record.box);
		return;
	}
	try
	{
		decodePeer(_item.value, record);
	}
	catch (const std::exception& failure)
	{
		logEvent("peer_rejected", {{"box", record.box}, {"error", failure.what()}});
		return;
	}
	registerPeer(peers.tree, record);
}

void keepListedPeers(DirectRouter& _router, const StoreList& _list)
{
	std::set<std::string> boxes;
	_router.peers.keyStands = false;
	for (const StoreItem& item : _list.items)
	{
		_router.peers.keyStands = _router.peers.keyStands || item.key == kLinkKeyItem;
		if (hasPrefix(item.key, kPeerPrefix))
		{
			boxes.insert(afterPrefix(item.key, kPeerPrefix));
		}
	}
	retainPeers(_router.peers.tree, boxes);
	PeerRegistration& registration = _router.peers.registration;
	noteStanding(registration, boxes.count(_router.peers.tree.self.box) == 0 ? 0 : registration.revision);
}
} // namespace spanplank
