/// Exchange of speeds, use by client accounts and retries with the neighbours in the tree of routers.
#include "load_control_p.h"

#include "fiber_runtime_p.h"
#include "spanplank/home_share.h"
#include "spanplank/load_controls.h"

namespace spanplank
{
namespace
{
/// Callers come and go with links; the map of children is created by the first message of a child.
NeighbourLoad& accountNeighbour(DirectRouter& _router, uint32_t _neighbour)
{
	LoadShare& loads = _router.accounts.loads;
	return _neighbour == kParentNeighbour ? loads.parent : loads.children[_neighbour];
}
} // namespace

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
	applyRetryRows(_router.lending, _neighbour, _retries, _lendAge, now);
}

void addLoadControl(DirectRouter& _router, uint32_t _neighbour, std::vector<SpeedRow>& _speeds,
					std::vector<LoadChange>& _accounts, std::vector<RetryRow>& _retries)
{
	const TimeUs now = monotonicNow();
	_speeds = speedRowsFor(_router.upstreams.speeds, _neighbour, now);
	// Together with the loads, which are up to date: the difference of the two is what waits.
	updateOwnAccounts(_router.accounts);
	_accounts = loadChangesFor(_router.accounts.loads, accountNeighbour(_router, _neighbour));
	if (!_router.peers.loads.isolated)
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
	expireSpeeds(_router.upstreams.speeds, _now);
}
} // namespace spanplank
