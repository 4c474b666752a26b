/// Works out this router's share of each upstream that is cold or states a limit from the registered routers,
/// again and again while there are any.
#include "rate_sharing_p.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"

namespace spanplank
{
namespace
{
/// Between two looks. An upstream that turned cold or stated a limit gets nothing of this router until the
/// next one.
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
							   {"spacing_ms", std::to_string(_entry.pace.spacing / kMsToUs)}});
}

void logShare(const UpstreamEntry& _entry)
{
	logEvent("upstream_limit_share", {{"upstream", _entry.record.id},
									  {"per_second", fmt::format("{:.3f}", *_entry.limit.perSecond)},
									  {"version", std::to_string(_entry.limit.version)},
									  {"spacing_ms", std::to_string(_entry.pace.spacing / kMsToUs)}});
}

/// @returns The spacing that holds where two apply; 0, none is sent, is the strictest.
TimeUs stricter(std::optional<TimeUs> _one, TimeUs _other)
{
	if (!_one)
	{
		return _other;
	}
	return *_one == 0 || _other == 0 ? 0 : std::max(*_one, _other);
}

/// @returns The minimum interval between two requests of this router to an upstream; empty if it is neither
/// cold nor states a limit.
std::optional<TimeUs> spacingAt(const DirectRouter& _router, const UpstreamEntry& _entry, const Fleet& _fleet,
								TimeUs _now)
{
	const DirectSettings& settings = _router.settings;
	const auto& services = _router.upstreams.coldServices;
	const auto service = services.find(_entry.record.service);
	std::optional<TimeUs> spacing;
	if (isCold(_entry.cold, _now) && service != services.end())
	{
		const ColdSharing sharing =
			settings.policies.coldOwners ? ColdSharing::Owners : ColdSharing::EqualShares;
		spacing = coldSpacing(service->second, settings.coldBounds, _fleet, _entry.key, _entry.record.hall,
							  sharing);
	}
	if (_entry.limit.perSecond)
	{
		spacing =
			stricter(spacing, limitSpacing(*_entry.limit.perSecond, _fleet, _entry.key, _entry.record.hall));
	}
	return spacing;
}

void shareOnce(DirectRouter& _router, TimeUs _now)
{
	std::optional<Fleet> fleet;
	for (auto& [idx, entry] : _router.upstreams.entries)
	{
		if (!isPaced(entry, _now))
		{
			continue;
		}
		fleet = fleet ? fleet : fleetOf(_router, _now);
		const std::optional<TimeUs> spacing = spacingAt(_router, entry, *fleet, _now);
		if (!spacing)
		{
			continue;
		}
		const TimeUs before = entry.pace.spacing;
		setSpacing(entry.pace, *spacing, nextUnit(_router.random), _now);
		if (isCold(entry.cold, _now) && !entry.cold.logged)
		{
			logCold(entry, _now);
			entry.cold.logged = true;
		}
		if (entry.limit.perSecond && (!entry.limit.shareLogged || before != *spacing))
		{
			logShare(entry);
			entry.limit.shareLogged = true;
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

void shareUpstreamRates(DirectRouter& _router)
{
	while (true)
	{
		noteIteration();
		shareOnce(_router, monotonicNow());
		sleepFor(kShareMs);
	}
}
} // namespace spanplank
