/// Planned work: reloads, stops, configurations, upstreams that leave.
#include "soak_planned.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

#include "soak_faults.h"
#include "soak_upstreams.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kStopWaitS = 6; ///< Over the grace, until a router must have ended.
/// A request on its way is well within what callers leave of each.
constexpr uint32_t kIdleLimitsMs[] = {1500, 3000, 4500, 7000};

void changeIdleLimit(Soak& _soak)
{
	const uint32_t limit = kIdleLimitsMs[below(_soak, uint32_t(std::size(kIdleLimitsMs)))];
	note(_soak,
		 fmt::format("the idle limit changes from {} to {} ms", _soak.idleLimits.back().second, limit));
	_soak.config["limits"]["idle_timeout_ms"] = limit;
	writeConfig(_soak);
}
} // namespace

void startRouter(SoakRouter& _router)
{
	_router.process->start();
	_router.renewedAt = monotonicNow();
	_router.starts.push_back(_router.renewedAt);
	_router.up = eventually([&] { return _router.process->isReady(); });
	_router.disturbedAt = std::max(_router.disturbedAt, monotonicNow());
}

void restartPlanned(Soak& _soak, uint32_t _idx)
{
	SoakRouter& router = *_soak.routers[_idx];
	if (router.claimed || !router.up)
	{
		return;
	}
	note(_soak, fmt::format("router {} is asked to stop", _idx));
	router.claimed = true;
	router.stopAt = router.disturbedAt = monotonicNow();
	router.process->signal(SIGTERM);
	if (!eventually([&] { return router.process->hasEnded(); }, kGraceMs / 1000 + kStopWaitS))
	{
		breach(_soak, fmt::format("router {} did not end within its grace", _idx));
		router.process->killHard();
	}
	else if (router.process->awaitEnd() != 0)
	{
		breach(_soak, fmt::format("router {} was asked to stop and ended otherwise", _idx));
	}
	router.stoppedAt = monotonicNow();
	router.up = false;
	startRouter(router);
	router.claimed = false;
}

void reloadInSeries(Soak& _soak, uint32_t _idx)
{
	const SoakRouter& router = *_soak.routers[_idx];
	for (uint32_t left = 1 + below(_soak, 4); left > 0 && router.up; --left)
	{
		note(_soak, fmt::format("router {} gets SIGHUP", _idx));
		router.process->signal(SIGHUP);
		sleepFor(below(_soak, 200));
	}
}

void writeConfig(Soak& _soak)
{
	_soak.config["version"] = _soak.config["version"].get<uint64_t>() + 1 + below(_soak, 5);
	setItem(_soak.store, "op/config", _soak.config.dump());
	const uint32_t limit = _soak.config["limits"]["idle_timeout_ms"];
	if (_soak.idleLimits.empty() || _soak.idleLimits.back().second != limit)
	{
		_soak.idleLimits.emplace_back(monotonicNow(), limit);
	}
}

void changeKeys(Soak& _soak)
{
	nlohmann::json& keys = _soak.config["tenants"][0]["api_keys"];
	if (keys.size() > 1)
	{
		const std::string removed = keys.back();
		keys.erase(keys.size() - 1);
		writeConfig(_soak);
		_soak.revokedAt[removed] = monotonicNow();
		note(_soak, "a key is removed");
		return;
	}
	keys.push_back(fmt::format("key-{}", _soak.nextRequest++));
	writeConfig(_soak);
	note(_soak, "a key is added");
}

void leaveInSeries(Soak& _soak)
{
	constexpr uint32_t kLaterMs = 2800; ///< Until a new one comes: none may be left meanwhile.
	constexpr double kAlikeChance = 0.8;
	constexpr double kAgainChance = 0.3; ///< Of an upstream that leaves, to start again under its id.
	const std::string service = happens(_soak, 0.5) ? "app" : "engines";
	const bool later = happens(_soak, 0.3);
	const uint32_t most = later ? UINT32_MAX : 1 + below(_soak, 3);
	const bool says = happens(_soak, 0.5);
	// A replacement that comes meanwhile may leave too, but not without end, nor after the faults.
	const TimeUs until = std::min(_soak.until, monotonicNow() + kLaterMs * kMsToUs);
	uint32_t left = 0;
	for (size_t ii = 0; ii < _soak.ends.size() && left < most && monotonicNow() < until; ++ii)
	{
		SoakUpstream& end = *_soak.ends[ii];
		if (end.leaving.since != 0 || end.upstream->service != service)
		{
			continue;
		}
		++left;
		if (happens(_soak, kAgainChance))
		{
			spawnFiber([&_soak, &end] {
				sleepFor(kLaterMs);
				startAgain(_soak, end);
			});
			addEnd(_soak, service, end.upstream->version);
		}
		else if (later)
		{
			spawnFiber([&_soak, &end, service] {
				sleepFor(kLaterMs);
				addEnd(_soak, service, end.upstream->version);
			});
		}
		else
		{
			addEnd(_soak, service, end.upstream->version);
		}
		leave(_soak, end, happens(_soak, kAlikeChance) == says);
		sleepFor(below(_soak, 300));
	}
}

void evacuateOn(Soak& _soak)
{
	constexpr uint32_t kPauseMostMs = 3000;
	constexpr uint32_t kLastsLeastMs = 200; ///< Some are taken back before all routers know them.
	constexpr uint32_t kLastsMostMs = 6000;
	playSteps(_soak, "evacuate", kPauseMostMs, [&_soak] {
		const std::string hall = happens(_soak, 0.5) ? "hall-a" : "hall-b";
		const std::string key = "op/evacuate/" + hall;
		note(_soak, hall + " is evacuated");
		if (!isMutant("evacuation"))
		{
			setItem(_soak.store, key, "{}");
		}
		_soak.evacuated[hall] = noticeNow(_soak);
		sleepFor(kLastsLeastMs + below(_soak, kLastsMostMs));
		_soak.evacuated.erase(hall); // Before the store takes it: from then on the hall may be used.
		removeItem(_soak.store, key);
		note(_soak, hall + " is taken back");
	});
}

void signalOn(Soak& _soak, uint32_t _signaller)
{
	constexpr uint32_t kPauseMostMs = 1500;
	playSteps(_soak, fmt::format("signal-{}", _signaller), kPauseMostMs, [&_soak] {
		const uint32_t idx = below(_soak, uint32_t(_soak.routers.size()));
		happens(_soak, 0.5) ? reloadInSeries(_soak, idx) : restartPlanned(_soak, idx);
	});
}

void changeOn(Soak& _soak)
{
	constexpr uint32_t kPauseMostMs = 6000;
	playSteps(_soak, "change", kPauseMostMs, [&_soak] {
		for (uint32_t left = 1 + below(_soak, 3); left > 0; --left)
		{
			happens(_soak, 0.7) ? changeIdleLimit(_soak) : writeConfig(_soak);
			sleepFor(below(_soak, 400));
		}
	});
}
} // namespace spanplank
