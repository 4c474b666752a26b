/// Unplanned faults: routers are killed and paused, paths and the store are harmed.
#include "soak_faults.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

#include "soak_planned.h"

namespace spanplank
{
namespace
{
void harmRouter(Soak& _soak)
{
	const uint32_t idx = below(_soak, uint32_t(_soak.routers.size()));
	SoakRouter& router = *_soak.routers[idx];
	const uint32_t lasts = 200 + below(_soak, 3000);
	const uint32_t kind = below(_soak, 4);
	if (kind > 1)
	{
		kind == 2 ? restartPlanned(_soak, idx) : reloadInSeries(_soak, idx);
		return;
	}
	if (router.claimed || !router.up)
	{
		return;
	}
	router.claimed = true;
	router.disturbedAt = router.unplannedAt = monotonicNow() + TimeUs(lasts) * kMsToUs;
	if (kind == 0)
	{
		note(_soak, fmt::format("router {} is killed and started", idx));
		router.up = false;
		router.process->killHard();
		sleepFor(below(_soak, 500));
		startRouter(router);
	}
	else
	{
		note(_soak, fmt::format("router {} is paused for {} ms", idx, lasts));
		router.paused = true;
		router.process->signal(SIGSTOP);
		sleepFor(lasts);
		router.process->signal(SIGCONT);
		router.renewedAt = monotonicNow();
		router.paused = false;
	}
	router.claimed = false;
	router.disturbedAt = router.unplannedAt = std::max(router.unplannedAt, monotonicNow());
}

void harmProxy(Soak& _soak, FaultProxy& _proxy, const std::string& _what, uint32_t _lasts)
{
	const auto fault = ProxyFault(1 + below(_soak, 5));
	note(_soak, fmt::format("{}: {} for {} ms", _what, name(fault), _lasts));
	_proxy.delayMs = 1 + below(_soak, 200);
	_proxy.fault = fault;
	if (happens(_soak, 0.5))
	{
		resetConnections(_proxy);
	}
	sleepFor(_lasts);
	_proxy.fault = ProxyFault::None;
	resetConnections(_proxy); // What was dropped is lost: the connections can't go on.
}

uint32_t harmMs(Soak& _soak)
{
	return 100 + below(_soak, 2500);
}

void harmUpstreamPath(Soak& _soak)
{
	SoakUpstream& end = *_soak.ends[below(_soak, uint32_t(_soak.ends.size()))];
	const uint32_t lasts = harmMs(_soak);
	end.harmedAt = monotonicNow() + TimeUs(lasts) * kMsToUs;
	harmProxy(_soak, end.proxy, "path to " + end.upstream->id, lasts);
	end.harmedAt = std::max(end.harmedAt, monotonicNow());
}

void harmStorePath(Soak& _soak, uint32_t _lasts)
{
	const uint32_t idx = below(_soak, uint32_t(_soak.routers.size()));
	SoakRouter& router = *_soak.routers[idx];
	const TimeUs until = monotonicNow() + TimeUs(_lasts) * kMsToUs;
	router.disturbedAt = router.unplannedAt = std::max(router.unplannedAt, until);
	harmProxy(_soak, router.toStore, fmt::format("path of router {} to the store", idx), _lasts);
	router.disturbedAt = router.unplannedAt = std::max(router.unplannedAt, monotonicNow());
}

void harmStore(Soak& _soak)
{
	if (happens(_soak, 0.3))
	{
		note(_soak, "the store forgets its history");
		forgetHistory(_soak.store);
		return;
	}
	const uint32_t lasts = 100 + below(_soak, 4000);
	_soak.storeHarmedAt = std::max(_soak.storeHarmedAt, monotonicNow() + TimeUs(lasts) * kMsToUs);
	_soak.store.fault = StandInStore::Fault(1 + below(_soak, 3));
	note(_soak, fmt::format("the store is down ({}) for {} ms", int(_soak.store.fault), lasts));
	sleepFor(lasts);
	_soak.store.fault = StandInStore::Fault::None;
	_soak.storeHarmedAt = std::max(_soak.storeHarmedAt, monotonicNow());
}

void harmLink(Soak& _soak)
{
	// No excuse for any router: whoever follows one that is not reached must notice in time.
	const uint32_t idx = below(_soak, uint32_t(_soak.routers.size()));
	harmProxy(_soak, _soak.routers[idx]->toLink, fmt::format("links to router {}", idx), harmMs(_soak));
}

void harmOnce(Soak& _soak)
{
	const bool planned = absl::GetFlag(FLAGS_planned);
	switch (below(_soak, 7))
	{
	case 0:
	case 1:
		planned ? harmLink(_soak) : harmRouter(_soak);
		break;
	case 2:
		harmUpstreamPath(_soak);
		break;
	case 3:
		planned ? harmLink(_soak) : harmStorePath(_soak, harmMs(_soak));
		break;
	case 4:
		planned ? changeKeys(_soak) : harmStore(_soak);
		break;
	case 5:
		harmLink(_soak);
		break;
	default:
		changeKeys(_soak);
		break;
	}
}

void failCalls(Soak& _soak, StandInStore::Fault _fault)
{
	_soak.store.faultyCalls = 1 + below(_soak, 3);
	_soak.store.callFault = _fault;
	note(_soak, fmt::format("the store fails {} calls ({})", _soak.store.faultyCalls, int(_fault)));
}

/// Trouble beside which an upstream leaves; none of it excuses a router for longer than it lasts.
void troubleStoreCalls(Soak& _soak)
{
	constexpr uint32_t kCutOffMostMs = 900;
	switch (below(_soak, absl::GetFlag(FLAGS_planned) ? 4 : 6))
	{
	case 0:
		note(_soak, "the store forgets its history");
		forgetHistory(_soak.store);
		break;
	case 1:
		failCalls(_soak, StandInStore::Fault::Busy);
		break;
	case 2:
		failCalls(_soak, StandInStore::Fault::Reset);
		break;
	case 3:
		break;
	case 4:
	{
		SoakRouter& router = *_soak.routers[below(_soak, uint32_t(_soak.routers.size()))];
		router.disturbedAt = router.unplannedAt = std::max(router.unplannedAt, monotonicNow());
		note(_soak, router.process->listen() + ": its open connections to the store fall silent");
		silenceConnections(router.toStore);
		break;
	}
	default:
		harmStorePath(_soak, 50 + below(_soak, kCutOffMostMs));
		break;
	}
}
} // namespace

void harmOn(Soak& _soak, uint32_t _harmer)
{
	constexpr uint32_t kPauseMostMs = 800;
	playSteps(_soak, fmt::format("harm-{}", _harmer), kPauseMostMs, [&_soak] { harmOnce(_soak); });
}

void leaveOn(Soak& _soak)
{
	constexpr uint32_t kPauseMostMs = 2500;
	constexpr uint32_t kBesideMostMs = 1300; ///< From a failed call until a registration goes.
	playSteps(_soak, "leave", kPauseMostMs, [&_soak] {
		troubleStoreCalls(_soak);
		sleepFor(below(_soak, kBesideMostMs));
		leaveInSeries(_soak);
	});
}
} // namespace spanplank
