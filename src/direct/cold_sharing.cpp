/// Works out this router's part of each cold upstream from the registered routers, again and again while any
/// is cold.
#include "cold_sharing_p.h"

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"

namespace spanplank
{
namespace
{
/// Between two looks. An upstream that turned cold gets nothing of this router until the next one.
constexpr uint32_t kShareMs = 100;
/// From this router's registration until the others have read it and it has read theirs: a watch and its
/// pause, and the links below.
constexpr TimeUs kSettle = 2000 * kMsToUs;

void logCold(const UpstreamEntry& _entry, TimeUs _now)
{
	logEvent("upstream_cold", {{"upstream", _entry.record.id},
							   {"hall", _entry.record.hall},
							   {"why", name(_entry.cold.cause)},
							   {"for_ms", std::to_string((_entry.cold.until - _now) / kMsToUs)},
							   {"spacing_ms", std::to_string(_entry.cold.spacing / kMsToUs)}});
}

void shareOnce(DirectRouter& _router, TimeUs _now)
{
	UpstreamTable& table = _router.upstreams;
	const ColdSharing sharing =
		_router.settings.policies.coldOwners ? ColdSharing::Owners : ColdSharing::EqualShares;
	std::optional<Fleet> fleet;
	for (auto& [idx, entry] : table.entries)
	{
		const auto service = table.coldServices.find(entry.record.service);
		if (!isCold(entry.cold, _now) || service == table.coldServices.end())
		{
			continue;
		}
		fleet = fleet ? fleet : fleetOf(_router, _now);
		const TimeUs spacing = coldSpacing(service->second, _router.settings.coldBounds, *fleet, entry.key,
										   entry.record.hall, sharing);
		setColdSpacing(entry.cold, spacing, nextUnit(_router.random), _now);
		if (!entry.cold.logged)
		{
			logCold(entry, _now);
			entry.cold.logged = true;
		}
	}
}
} // namespace

/// Without links routers do not know each other: each takes itself for the only one.
Fleet fleetOf(const DirectRouter& _router, TimeUs _now)
{
	const PeerLinks& peers = _router.peers;
	Fleet fleet;
	fleet.self = {_router.settings.box, _router.settings.hall};
	for (const auto& [box, entry] : peers.tree.peers)
	{
		fleet.others.push_back({box, entry.record.hall});
	}
	const TimeUs since = peers.registration.standsSince;
	fleet.synced = _router.settings.link.port == 0 || (since != 0 && _now - since >= kSettle);
	return fleet;
}

void shareColdUpstreams(DirectRouter& _router)
{
	while (true)
	{
		shareOnce(_router, monotonicNow());
		sleepFor(kShareMs);
	}
}
} // namespace spanplank
