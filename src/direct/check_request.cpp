/// Checks of a request before any upstream is asked: configuration, route, key, planned stop.
#include "fiber_runtime_p.h"
#include "serving_p.h"
#include "spanplank/http_status.h"

namespace spanplank
{
namespace
{
/// Of the revocation bound. A request is checked after its caller sent it, and a proof holds from before the
/// store answered: only the rates of clocks and the rounding of settings need a margin.
constexpr double kFreshShare = 0.96;
constexpr uint32_t kUnknownRetryMs = 300; ///< Told while this router knows no configuration, or none fresh.
/// From the start, while the store answers: a small box takes half a second to read a large configuration.
constexpr TimeUs kBlankWait = 1000 * kMsToUs;
constexpr uint32_t kUnreadRetryMs = 150; ///< Another router may come to the request in time.
constexpr uint32_t kBlankPollMs = 3;

/// A router that has just started reads the store sooner than a refused caller would return. One that does
/// not reach the store refuses at once.
void awaitFirstConfig(const DirectRouter& _router)
{
	const TimeUs until = _router.startedAt + kBlankWait;
	while (!isConfigUsable(_router) && monotonicNow() < until && _router.peers.follow.storeFailures == 0)
	{
		sleepFor(kBlankPollMs);
	}
}

/// @returns Whether this router knows a configuration; otherwise the request was refused.
bool takeConfig(Serving& _serving)
{
	awaitFirstConfig(_serving.router);
	_serving.config = _serving.router.config.config;
	if (isConfigUsable(_serving.router))
	{
		return true;
	}
	refuse(_serving, status::kUnavailable, "no_config", "this router knows no configuration yet",
		   kUnknownRetryMs);
	return false;
}

/// @returns Whether there is a route for the request; otherwise it was refused.
bool takeRoute(Serving& _serving)
{
	const HttpRequest& request = _serving.exchange.request();
	const std::string_view target(request.target().data(), request.target().size());
	const boost::beast::string_view host = request[boost::beast::http::field::host];
	_serving.route =
		findRoute(*_serving.config, {host.data(), host.size()}, target.substr(0, target.find('?')));
	if (_serving.route != nullptr)
	{
		return true;
	}
	refuse(_serving, status::kNotFound, "no_route", "no route has this host and path", 0);
	return false;
}

/// Where keys need no proof, one that is known is used with the configuration in force, however old. One that
/// is not known may have been added since: that is no reason to call it wrong.
bool mayUseKeys(const DirectSettings& _settings, bool _proved, bool _known)
{
	return _proved || (_known && !_settings.revocationFailClosed);
}

/// @returns The account of the request's key; null: it has none, several, or one that is not known.
const AccountEntry* accountOf(const Serving& _serving)
{
	return _serving.call.severalKeys ? nullptr : findAccount(*_serving.config, _serving.call.key);
}

/// Answers a request whose key, or having none, is not allowed on its route.
void refuseKey(Serving& _serving, bool _hasKey)
{
	if (_hasKey)
	{
		refuse(_serving, status::kUnauthorized, "unknown_key", "the key is not known, or not the only one",
			   0);
		return;
	}
	refuse(_serving, status::kUnauthorized, "no_key", "the route needs a key", 0);
}

/// @returns Whether the request's key, or its having none, is allowed on the route; otherwise it was refused.
bool takeAccount(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	const bool hasKey = !_serving.call.key.empty() || _serving.call.severalKeys;
	if (!_serving.config->usesAccounts || (!hasKey && _serving.route->anonymous))
	{
		return true;
	}
	const TimeUs bound = TimeUs(double(router.settings.revokeMs) * kFreshShare * double(kMsToUs));
	const bool proved = isConfirmedFresh(router.config, monotonicNow(), bound);
	const AccountEntry* account = accountOf(_serving);
	if (!mayUseKeys(router.settings, proved, account != nullptr))
	{
		refuse(_serving, status::kUnavailable, "config_unproved",
			   "the key can't be checked: the store is not reached", kUnknownRetryMs);
		return false;
	}
	_serving.account = account;
	router.stats.keysUnproved += proved ? 0 : 1;
	if (_serving.account == nullptr)
	{
		refuseKey(_serving, hasKey);
		return false;
	}
	return true;
}
} // namespace

bool admitByConfig(Serving& _serving)
{
	return takeConfig(_serving) && takeRoute(_serving) && takeAccount(_serving);
}

bool admitByRegion(Serving& _serving)
{
	const DirectSettings& settings = _serving.router.settings;
	const AllowedRegions any;
	_serving.limit = limitHalls(settings.regions, _serving.route->regions,
								_serving.account != nullptr ? _serving.account->regions : any);
	if (isAllowed(_serving.limit, settings.hall))
	{
		return true;
	}
	refuse(_serving, status::kUnavailable, "region", "this region may not serve the request", 0);
	return false;
}

bool admitByTime(Serving& _serving)
{
	if (monotonicNow() < _serving.plan.deadline)
	{
		return true;
	}
	refuse(_serving, status::kUnavailable, "unread",
		   "its time was over before this router read it; it has not run", kUnreadRetryMs);
	return false;
}

bool admitByStop(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	const TimeUs now = monotonicNow();
	if (acceptsRequest(router.stop, _serving.plan.deadline, now))
	{
		return true;
	}
	const TimeUs connectedAt = router.settings.policies.stopReturn ? _serving.exchange.connectedAt() : 0;
	refuse(_serving, status::kUnavailable, "stopping", "this router stops before the request could end",
		   retryAfterStopMs(router.stop, connectedAt, now, nextUnit(router.random)));
	return false;
}
} // namespace spanplank
