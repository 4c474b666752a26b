/// Follows the platform's store: configuration with proofs of its freshness. Registered upstreams are in
/// `store_upstreams.cpp`, roll-outs in `store_rollouts.cpp`, evacuations in `store_evacuations.cpp`.
#include <algorithm>
#include <cmath>
#include <optional>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/records_p.h"
#include "rate_sharing_p.h"
#include "spanplank/store_position.h"
#include "store_items_p.h"
#include "usage_duty_p.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kRetryLeastMs = 50; ///< First pause after a call of the store failed.
/// Longest pause: a router must learn of a return within the bounds.
constexpr uint32_t kRetryMostMs = 400;
/// The same for a router whose parent answers: that one asks often and tells at once. Each call is priced,
/// and the fleet's calls in an outage are nearly all of followers.
constexpr uint32_t kFollowerRetryLeastMs = 400;
constexpr uint32_t kFollowerRetryMostMs = 3200;
constexpr uint32_t kMostDoublings = 5; ///< Of the first pause; the longest is reached by then.
constexpr uint32_t kFollowPollMs = 50; ///< Between looks whether the parent still keeps this router informed.
/// For the first proof of a parent, at the first start of the whole fleet, before which there are no callers.
/// At any other start callers may wait at a blank router, and its parent may be as blank.
constexpr TimeUs kFirstProofPatience = 2000 * kMsToUs;
/// Longest wait of the watch that brings the first proof.
constexpr uint32_t kFirstWatchMs = 1;
/// At that start the routers begin within this time, few of them early, so that most find others to follow.
constexpr double kFirstStartSpreadMs = 5000.0;
constexpr uint32_t kRelayPauseMs = 500; ///< Between watches of a router that others follow.
constexpr size_t kMostLoggedKey = 64;
/// For the answer on a kept connection. One that has fallen silent for good is given up soon and the call
/// made again on a new one: waiting as long as for a slow store takes more than the tightest bound on leaving
/// upstreams, 0.8 s of pause included.
constexpr uint32_t kKeptPatienceMs = 500;
/// A connection that was not used for longer may be forgotten on its way, and a new one takes one round trip.
constexpr TimeUs kLongestUnused = 2000 * kMsToUs;

/// Pause between calls that fail, with jitter so that routers do not come together.
uint32_t backoff(DirectRouter& _router, uint32_t _failures)
{
	// One whose parent can't tell it what it missed learns of changes by its own calls alone.
	const bool told = _router.view.listed && !_router.peers.behind;
	const bool follows = told && hasParent(_router, monotonicNow()) && !_router.peers.follow.detached;
	const uint32_t least = follows ? kFollowerRetryLeastMs : kRetryLeastMs;
	const uint32_t longest = follows ? kFollowerRetryMostMs : kRetryMostMs;
	const uint32_t most = std::min(longest, least << std::min(_failures, kMostDoublings));
	const double half = double(most) / 2.0;
	return uint32_t(half + nextUnit(_router.random) * half);
}

void takeOperatorItem(DirectRouter& _router, const StoreItem& _item, TimeUs _now)
{
	if (hasPrefix(_item.key, platform::kEvacuationPrefix))
	{
		takeEvacuationItem(_router, _item);
		return;
	}
	if (_item.deleted)
	{
		return; // A configuration never goes back, and an order stays until the next one.
	}
	if (_item.key == platform::kConfigKey)
	{
		takeConfigItem(_router, _item);
	}
	else if (hasPrefix(_item.key, platform::kOrderPrefix))
	{
		takeOrderItem(_router, _item, _now);
	}
	else if (hasPrefix(_item.key, platform::kStatusPrefix))
	{
		takeStatusItem(_router, _item);
	}
	else if (hasPrefix(_item.key, kProgressPrefix))
	{
		takeProgressItem(_router, _item, _now);
	}
}

void takeItemOfKind(DirectRouter& _router, const StoreItem& _item, StoreWay _way)
{
	if (hasPrefix(_item.key, platform::kUpstreamPrefix))
	{
		takeUpstreamItem(_router, _item, _way);
	}
	else if (hasPrefix(_item.key, kSuspectPrefix))
	{
		takeSuspectItem(_router, _item);
	}
	else if (_item.key == kUsageDutyItem)
	{
		takeUsageDutyItem(_router, _item);
	}
	else if (hasPrefix(_item.key, kPeerPrefix) || _item.key == kLinkKeyItem)
	{
		takePeerItem(_router, _item);
	}
	else
	{
		takeOperatorItem(_router, _item, monotonicNow());
	}
}

/// Takes one item, listed or changed. Whatever is wrong with it, those after it are taken.
void takeItem(DirectRouter& _router, const StoreItem& _item, StoreWay _way)
{
	try
	{
		takeItemOfKind(_router, _item, _way);
	}
	catch (const std::exception& failure)
	{
		++_router.stats.recordsRejected["failed"];
		logEvent("store_item_failed", {{"key", _item.key.substr(0, kMostLoggedKey)},
									   {"revision", std::to_string(_item.revision)},
									   {"error", failure.what()}});
	}
}

/// What an operator ordered before the store came back from an older copy is written again; until then it is
/// believed.
constexpr TimeUs kRewrittenWithin = 5000 * kMsToUs;
constexpr TimeUs kLookUpSpread = 2000 * kMsToUs; ///< Of the routers' next lists after that.
/// Leases are taken anew within this time, so that not all routers come at once.
constexpr TimeUs kLeaseSpread = 3000 * kMsToUs;

/// The store has come back from an older copy: what this router wrote there may be gone, and what is missing
/// in the copy is not gone for that.
void noteStoreReturned(DirectRouter& _router, const StoreList& _list, StoreWay _way, TimeUs _now)
{
	++_router.stats.storeReturns;
	logEvent("store_returned", {{"known", std::to_string(_router.view.revision)},
								{"revision", std::to_string(_list.revision)},
								{"way", name(_way)}});
	_router.upstreams.contact.recoveredAt =
		_now; // Registrations that are missing may come back, as after an outage.
	_router.view.listAgainAt =
		_now + kRewrittenWithin + TimeUs(nextUnit(_router.random) * double(kLookUpSpread));
	forgetOwnLease(_router, _now + TimeUs(nextUnit(_router.random) * double(kLeaseSpread)));
	_router.storedSuspects.clear();
	recordDutyStoreRestore(_router.usageDuty, _router.settings.dutyBounds,
						   wallTime(_router.wall, wallNow(), _now));
	for (auto& [service, trial] : _router.trials.trials)
	{
		trial.progressRevision = 0;
		trial.storedElapsed = 0; // Written again at once.
	}
}

/// Takes a full list of what the operators, the upstreams and the routers keep in the store.
/// @param[in] _returned It is the first after the store came back from an older copy.
void takeAll(DirectRouter& _router, const StoreList& _list, StoreWay _way, bool _returned)
{
	StoreList upstreams;
	upstreams.revision = _list.revision;
	for (const StoreItem& item : _list.items)
	{
		if (hasPrefix(item.key, platform::kUpstreamPrefix))
		{
			upstreams.items.push_back(item);
		}
		else if (!_returned || !isOtherOrder(_router, item))
		{
			takeItem(_router, item, _way);
		}
	}
	if (!_returned)
	{
		keepListedEvacuations(_router, _list);
	}
	takeUpstreamList(_router, upstreams, _way, _returned);
	keepListedPeers(_router, _list);
}

/// The watch on the store: lists first, then waits for changes, and lists anew if the history is gone.
struct StoreFollower
{
	StoreClient client;    ///< A connection of its own, so that a waiting watch holds up nothing else.
	uint32_t failures = 0; ///< In a row.
	TimeUs usedAt = 0;     ///< When the connection of its watches was used last.
};

/// @returns Whether a failed call was sent and its answer did not come.
bool isAnswerLost(const Refusal& _refusal)
{
	return _refusal.code == ErrorCode::StoreUnavailable && _refusal.run == RunState::Unknown;
}

/// @returns How long a watch waits for changes.
uint32_t watchWaitMs(const DirectRouter& _router)
{
	return _router.config.confirmedAt == 0 ? kFirstWatchMs : _router.settings.configWaitMs;
}

/// Watches on a kept connection if there is one that is likely sound. One that has fallen silent does not
/// count as a failure of the store: cut-off routers that count it follow one another in a ring for 16 s.
/// @returns The changes; nothing if the connection has fallen silent: it is closed then.
std::optional<StoreList> watchOnKept(DirectRouter& _router, StoreFollower& _follower)
{
	HttpClient& http = _follower.client.watchHttp;
	if (monotonicNow() - _follower.usedAt > kLongestUnused)
	{
		http.idle.clear();
	}
	if (http.idle.empty())
	{
		return std::nullopt;
	}
	try
	{
		return watchStore(_follower.client, "", _router.view.revision, watchWaitMs(_router), kKeptPatienceMs);
	}
	catch (const Failure& failure)
	{
		if (!isAnswerLost(failure.refusal()))
		{
			throw;
		}
		http.idle.clear();
		logEvent("store_connection_lost", {{"error", failure.refusal().detail}});
		return std::nullopt;
	}
}

void watchOnce(DirectRouter& _router, StoreFollower& _follower)
{
	TimeUs sentAt = monotonicNow();
	std::optional<StoreList> changes = watchOnKept(_router, _follower);
	if (!changes)
	{
		sentAt = monotonicNow();
		changes = watchStore(_follower.client, "", _router.view.revision, watchWaitMs(_router));
	}
	_follower.usedAt = monotonicNow();
	noteStorePresent(_router, sentAt); // First: what went is judged by it.
	takeStoreChanges(_router, *changes, StoreWay::Watch);
	_router.config.confirmedAt = std::max(_router.config.confirmedAt, sentAt);
}

/// A blank router begins with a list that may be old. It takes no requests by it: a watch from there, or the
/// parent's proof and changes, make it the newest.
void listFirst(DirectRouter& _router, StoreFollower& _follower)
{
	takeStoreList(_router, listStore(_follower.client, "", ListAge::MayBeOld), StoreWay::List);
	_router.view.firstListAt = monotonicNow();
}

/// @returns Whether a router that has just listed the store may yet get the first proof from a parent.
bool awaitsFirstProof(const DirectRouter& _router, TimeUs _now)
{
	const bool blank = _router.settings.firstStart && _router.config.confirmedAt == 0;
	return blank && _router.view.listed && !_router.peers.behind &&
		   _now - _router.view.firstListAt < kFirstProofPatience && mayFollow(_router, _now);
}

void listOnce(DirectRouter& _router, StoreFollower& _follower)
{
	if (_router.view.revision == 0)
	{
		listFirst(_router, _follower);
		return;
	}
	const TimeUs sentAt = monotonicNow();
	const StoreList list = listStore(_follower.client, "");
	noteStorePresent(_router, sentAt);
	takeStoreList(_router, list, StoreWay::List);
	_router.config.confirmedAt = std::max(_router.config.confirmedAt, sentAt);
}

void followOnce(DirectRouter& _router, StoreFollower& _follower)
{
	if (_router.view.listed)
	{
		watchOnce(_router, _follower);
		return;
	}
	listOnce(_router, _follower);
}

void noteLost(DirectRouter& _router, StoreFollower& _follower, const Refusal& _refusal)
{
	if (_follower.failures++ == 0)
	{
		logEvent("store_lost", {{"code", std::string(name(_refusal.code))},
								{"error", _refusal.detail},
								{"revision", std::to_string(_router.view.revision)}});
	}
	_router.view.listed = _router.view.listed && _refusal.code != ErrorCode::NotFound;
}

void noteRegained(DirectRouter& _router, StoreFollower& _follower)
{
	if (_follower.failures == 0)
	{
		return;
	}
	logEvent("store_regained", {{"failures", std::to_string(_follower.failures)},
								{"revision", std::to_string(_router.view.revision)}});
	_follower.failures = 0;
}

/// Waits, at most until another router keeps this one informed again, or until the parent falls silent, on
/// which the length of the pause relied.
void pauseUnlessFollowing(DirectRouter& _router, uint32_t _ms)
{
	const TimeUs until = monotonicNow() + TimeUs(_ms) * kMsToUs;
	const bool relied = hasParent(_router, monotonicNow());
	while (monotonicNow() < until && !isFollowing(_router, monotonicNow()) &&
		   relied == hasParent(_router, monotonicNow()))
	{
		sleepFor(std::min(_ms, kFollowPollMs));
	}
}

/// A router that others follow asks more often: they learn of changes by it.
void pauseAfterCall(DirectRouter& _router)
{
	const uint32_t longest = followers(_router) == 0 ? _router.settings.watchPauseMs
													 : std::min(_router.settings.watchPauseMs, kRelayPauseMs);
	const bool known = _router.config.config->version != 0 && _router.config.confirmedAt != 0;
	pauseUnlessFollowing(_router, known ? longest : 0);
}

void followChanges(DirectRouter& _router)
{
	StoreFollower follower;
	follower.client.http.io = &_router.io;
	follower.client.watchHttp.io = &_router.io;
	follower.client.protocol = _router.store.protocol;
	if (_router.settings.firstStart && _router.view.revision == 0)
	{
		sleepFor(uint32_t(kFirstStartSpreadMs * std::cbrt(nextUnit(_router.random))));
	}
	while (true)
	{
		noteIteration();
		const TimeUs now = monotonicNow();
		if (_router.view.listAgainAt != 0 && now >= _router.view.listAgainAt)
		{
			_router.view.listAgainAt = 0;
			const bool believed =
				holdsEvacuations(_router) || !_router.trials.trials.empty() || _router.view.unsettledRecords;
			_router.view.unsettledRecords = false;
			_router.view.listed = _router.view.listed && !believed;
		}
		const bool served = isFollowing(_router, now) || awaitsFirstProof(_router, now);
		if (served && !isProbeDue(_router.peers.follow, now))
		{
			sleepFor(kFollowPollMs);
			continue;
		}
		follower.client.http.endpoint = _router.store.http.endpoint;
		follower.client.watchHttp.endpoint = _router.store.http.endpoint;
		bool failed = false;
		try
		{
			followOnce(_router, follower);
			noteRegained(_router, follower);
			noteAskedStore(_router, now);
			pauseAfterCall(_router);
		}
		catch (const Failure& failure)
		{
			noteLost(_router, follower, failure.refusal());
			recordStoreFailed(_router.peers.follow, monotonicNow());
			failed = true;
		}
		catch (const std::exception&)
		{
			recordStoreFailed(_router.peers.follow, monotonicNow()); // Another router's word may help.
			throw;
		}
		if (failed)
		{
			pauseUnlessFollowing(_router, backoff(_router, follower.failures));
		}
		_router.followCalls = follower.client.stats;
	}
}
} // namespace

const char* name(StoreWay _way)
{
	constexpr const char* kNames[] = {"watch", "list", "parent", "snapshot"};
	return kNames[size_t(_way)];
}

void takeConfigItem(DirectRouter& _router, const StoreItem& _item)
{
	try
	{
		const ServiceConfigPtr config = platform::decodeConfig(_item.value);
		if (!adoptConfig(_router.config, config))
		{
			return;
		}
		_router.inquiry.record = _item.value;
		_router.inquiry.revision = _item.revision;
		++_router.stats.configs;
		takeNewlyConfigured(_router);
		for (const auto& [service, info] : config->services)
		{
			_router.upstreams.coldServices[service] = info.cold;
		}
		HttpServerLimits& limits = _router.callers.limits;
		limits.headerBytes = config->limits.headerBytes;
		limits.bodyBytes = config->limits.bodyBytes;
		limits.headerMs = config->limits.headerMs;
		limits.idleMs = config->limits.idleMs;
		logEvent("config_in_force", {{"version", std::to_string(config->version)},
									 {"revision", std::to_string(_item.revision)},
									 {"routes", std::to_string(config->routes.size())},
									 {"keys", std::to_string(config->accountOfKey.size())}});
	}
	catch (const Failure& failure)
	{
		++_router.stats.recordsRejected["config"];
		logEvent("config_rejected",
				 {{"revision", std::to_string(_item.revision)}, {"error", failure.refusal().detail}});
	}
}

void takeStoreChanges(DirectRouter& _router, const StoreList& _changes, StoreWay _way)
{
	_router.stats.itemsSkipped += _changes.skipped;
	const uint64_t known = _router.view.revision;
	for (const StoreItem& item : _changes.items)
	{
		if (item.revision > known) // The others came by another way already.
		{
			takeItem(_router, item, _way);
		}
	}
	if (_changes.revision > known)
	{
		_router.view.revision = _changes.revision;
		passChangesOn(_router, known, _changes);
	}
}

void takeStoreList(DirectRouter& _router, const StoreList& _list, StoreWay _way)
{
	const uint64_t known = _router.view.revision;
	if (_list.revision < known || (_list.revision == known && _router.view.listed))
	{
		return; // Nothing new: the next call of the store, or the router that is followed, brings more.
	}
	_router.stats.itemsSkipped += _list.skipped;
	const bool returned = known != 0 && eraOf(_list.revision) > eraOf(known);
	if (returned)
	{
		noteStoreReturned(_router, _list, _way, monotonicNow());
	}
	takeAll(_router, _list, _way, returned);
	_router.view.revision = _list.revision;
	_router.view.listed = true;
	if (_list.revision > known)
	{
		passListOn(_router, _list);
	}
}

void noteStorePresent(DirectRouter& _router, TimeUs _provedAt)
{
	StoreContact& contact = _router.upstreams.contact;
	const TimeUs before = contact.confirmedAt;
	if (recordStoreConfirmation(contact, _provedAt, monotonicNow()))
	{
		logEvent("store_outage_ended", {{"unproved_ms", std::to_string((_provedAt - before) / kMsToUs)}});
	}
}

void followStore(DirectRouter& _router)
{
	keepRunning("run_check", [&_router] {
		while (true)
		{
			noteIteration();
			recordRunning(_router.upstreams.contact, monotonicNow());
			sleepFor(kRunCheckPeriodMs);
		}
	});
	keepRunning("store", [&_router] { followChanges(_router); });
	keepRunning("config_inquiry", [&_router] { runConfigInquiry(_router); });
	keepRunning("rollouts", [&_router] { runRollouts(_router); });
	keepRunning("suspects", [&_router] { keepSuspectsStored(_router); });
	keepRunning("upstream_rates", [&_router] { shareUpstreamRates(_router); });
	keepRunning("usage_duty", [&_router] { doUsageDuty(_router); });
	startPeerLinks(_router);
}
} // namespace spanplank
