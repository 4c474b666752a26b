/// Exchange of speeds, use by client accounts and retries with the neighbours in the tree of routers.
#include "load_control_p.h"

#include <fmt/format.h>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "spanplank/home_share.h"
#include "spanplank/load_controls.h"

namespace spanplank
{
namespace
{
/// @returns What a neighbour reported of client accounts. The first message of a child adds it.
NeighbourLoad& accountNeighbour(DirectRouter& _router, uint32_t _neighbour)
{
	LoadShare& loads = _router.accounts.loads;
	return _neighbour == kParentNeighbour ? loads.parent : loads.children[_neighbour];
}

/// In a ring of routers a loan could come back to its lender.
bool lendsRetries(const DirectRouter& _router)
{
	return _router.settings.policies.retryLending && !_router.peers.loads.isolated;
}

void logBorrowing(DirectRouter& _router, TimeUs _now)
{
	for (const BorrowingChange& change : borrowingChanges(_router.lending, _router.retries, _now))
	{
		logEvent(change.begins ? "retries_borrowed" : "retry_borrowing_ended",
				 {{"service", change.service},
				  {"retries_used", fmt::format("{:.2f}", change.usedShare)},
				  {"wanted", std::to_string(change.wanted)},
				  {"borrowed", std::to_string(change.borrowed)},
				  {"lapsed", std::to_string(change.lapsed)},
				  {"refused", std::to_string(change.refused)}});
	}
}

/// Logs upstreams that have become slow, and those that are no longer.
void logSpeedChanges(DirectRouter& _router, TimeUs _now)
{
	UpstreamTable& table = _router.upstreams;
	for (const SpeedChange& change : takeSpeedChanges(table.speeds, _now))
	{
		const auto idx = table.idxOfKey.find(change.upstream);
		const auto entry =
			idx == table.idxOfKey.end() ? table.entries.end() : table.entries.find(idx->second);
		if (entry == table.entries.end())
		{
			continue; // Known to other routers alone.
		}
		logEvent(change.slow ? "upstream_slow" : "upstream_speed_normal",
				 {{"upstream", entry->second.record.id},
				  {"service", entry->second.record.service},
				  {"hall", entry->second.record.hall},
				  {"first_token_factor", fmt::format("{:.2f}", change.firstToken)},
				  {"token_factor", fmt::format("{:.2f}", change.token)}});
	}
}
} // namespace

bool sharesRetries(const DirectRouter& _router)
{
	return lendsRetries(_router) && hasRetryNeighbour(_router.lending);
}

const ServiceInfo* serviceInfo(const DirectRouter& _router, const std::string& _service)
{
	const auto& services = _router.config.config->services;
	const auto found = services.find(_service);
	return found == services.end() ? nullptr : &found->second;
}

LoadControls loadControls(const DirectRouter& _router, const std::string& _service)
{
	return loadControlsFor(serviceInfo(_router, _service), _router.settings.policies);
}

void takeLoadControl(DirectRouter& _router, uint32_t _neighbour, const std::vector<SpeedRow>& _speeds,
					 const std::vector<LoadChange>& _accounts, const std::vector<RetryRow>& _retries,
					 TimeUs _lendAge)
{
	const TimeUs now = monotonicNow();
	const bool forward = !_router.peers.loads.isolated;
	applySpeedRows(_router.upstreams.speeds, _neighbour, _speeds, forward, now);
	applyLoads(_router.accounts.loads, accountNeighbour(_router, _neighbour), _accounts, now);
	if (lendsRetries(_router))
	{
		applyRetryRows(_router.lending, _neighbour, _retries, _router.retries, _lendAge, now);
	}
}

void addLoadControl(DirectRouter& _router, uint32_t _neighbour, std::vector<SpeedRow>& _speeds,
					std::vector<LoadChange>& _accounts, std::vector<RetryRow>& _retries)
{
	const TimeUs now = monotonicNow();
	_speeds = speedRowsFor(_router.upstreams.speeds, _neighbour, now);
	// Together with the loads, which are up to date: the difference of the two is what waits.
	updateOwnAccounts(_router.accounts);
	_accounts = loadChangesFor(_router.accounts.loads, accountNeighbour(_router, _neighbour));
	if (lendsRetries(_router))
	{
		_retries = retryRowsFor(_router.lending, _neighbour, _router.retries, now);
	}
}

void forgetLoadControl(DirectRouter& _router, uint32_t _neighbour)
{
	LoadShare& loads = _router.accounts.loads;
	removeLoads(loads, accountNeighbour(_router, _neighbour));
	EngineSpeedTable& speeds = _router.upstreams.speeds;
	if (_neighbour == kParentNeighbour)
	{
		speeds.parent = {};
	}
	else
	{
		loads.children.erase(_neighbour);
		speeds.children.erase(_neighbour);
	}
	forgetRetryNeighbour(_router.lending, _neighbour);
}

void refreshLoadControl(DirectRouter& _router, TimeUs _now)
{
	_router.accounts.loads.isolated = _router.peers.loads.isolated;
	refreshAccounts(_router.accounts, _now);
	logSpeedChanges(_router, _now);
	expireSpeeds(_router.upstreams.speeds, _now);
	logBorrowing(_router, _now);
}
} // namespace spanplank
