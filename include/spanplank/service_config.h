/// Configuration of a direct router by the operators: routes, services, client accounts and limits.
#ifndef SPANPLANK_SERVICE_CONFIG_H_HEADER_GUARD
#define SPANPLANK_SERVICE_CONFIG_H_HEADER_GUARD

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "spanplank/cold_upstreams.h"
#include "spanplank/region_limit.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Whether requests of a route may be repeated.
enum class RouteKind : uint8_t
{
	Safe,   ///< Requests may run more than once.
	Unsafe, ///< Requests run at most once.
	Stream, ///< Answers are event streams; requests may be repeated only if the route is resumable.
};

/// A service to which a route sends requests, with its relative weight.
struct RouteTarget
{
	std::string service;
	double weight = 1.0;
};

/// Which requests belong to a route, and how they are served.
struct Route
{
	std::string name;
	std::string host;       ///< Lower case, without a port.
	std::string pathPrefix; ///< Begins and ends with a slash.
	RouteKind kind = RouteKind::Unsafe;
	uint32_t timeoutMs = 30000; ///< Deadline of the final answer.
	uint32_t targetMs = 1000;   ///< Latency objective of the complete answer, of a stream its first event.
	uint32_t eventGapMs = 1000; ///< Latency objective between events of a stream.
	uint32_t maxAttempts = 1;   ///< Maximum number of upstreams that may run a request.
	uint32_t priority = 0;      ///< Lower values are served first.
	bool anonymous = false;     ///< Requests need no key.
	bool resumable = false;     ///< An aborted stream may continue at another upstream.
	/// Models among which the router chooses, smallest first; empty: the caller chooses the model.
	std::vector<std::string> models;
	std::vector<RouteTarget> targets;
	AllowedRegions regions; ///< Where requests may be served and stored.
};

/// A model that a service offers.
struct ModelOffer
{
	std::string name;
	double cost = 0.0; ///< Cost of 1,000 output tokens; a prompt token costs a quarter of an output token.
};

/// Properties of a service and its upstreams.
struct ServiceInfo
{
	std::string name;
	uint32_t connectionLimit = 100; ///< Maximum connections to an upstream from all routers together.
	uint32_t slots = 0;          ///< Requests that an engine runs in a batch; 0: the service has no engine.
	uint32_t kvTokens = 0;       ///< Tokens that an engine's memory holds; 0: not stated.
	uint32_t tokensPerEvent = 1; ///< Output tokens in one event of a stream.
	std::vector<ModelOffer> models;
	ColdService cold; ///< Load limits of an upstream after its start.
};

/// A client account in the configuration of direct mode.
struct AccountEntry
{
	std::string name;
	uint32_t priority = 0;  ///< Takes precedence over the route's; lower values are served first.
	AllowedRegions regions; ///< Same as `Route::regions`.
};

/// Limits of the size and the duration of callers' requests.
struct CallerLimits
{
	uint32_t headerBytes = 16u << 10;
	uint32_t bodyBytes = 1u << 20;
	uint32_t headerMs = 5000; ///< Maximum time from the first byte of a head to its last.
	uint32_t idleMs = 15000;  ///< Maximum idle time between two requests on a connection.
};

/// A version of the configuration. Immutable once published: a request uses the version with which it began.
struct ServiceConfig
{
	uint64_t version = 0; ///< Increases with each change; 0: no configuration is known.
	std::vector<Route> routes;
	std::unordered_map<std::string, ServiceInfo> services;
	/// Requests need a key of an account, of which there may be none. If false, accounts are not used at all.
	bool usesAccounts = false;
	std::vector<AccountEntry> accounts;
	std::unordered_map<std::string, size_t> accountOfKey; ///< Index in `accounts`. No key is empty.
	CallerLimits limits;
	/// Indices in `routes` by host, longest prefix first.
	std::unordered_map<std::string, std::vector<size_t>> routesOfHost;
};
using ServiceConfigPtr = std::shared_ptr<const ServiceConfig>;

/// Builds `routesOfHost` of a configuration whose other fields are filled.
void indexRoutes(ServiceConfig& _config);

/// @param[in] _host Value of the Host header; a port is ignored.
/// @param[in] _path Path without the query.
/// @returns The route with the longest prefix, or null.
const Route* findRoute(const ServiceConfig& _config, std::string_view _host, std::string_view _path);

/// @returns The account of a key, or null.
const AccountEntry* findAccount(const ServiceConfig& _config, const std::string& _key);

/// @returns Whether a service is configured: it is described, or a route sends requests to it.
bool isKnownService(const ServiceConfig& _config, const std::string& _service);

/// @returns The service for a request, chosen by the weights of the route; the same for the same `_hash`.
const std::string& pickService(const Route& _route, uint64_t _hash);

/// @returns Whether a request of the route may run more than once.
inline bool isRepeatable(const Route& _route)
{
	return _route.kind == RouteKind::Safe || (_route.kind == RouteKind::Stream && _route.resumable);
}

/// The configuration in force and the moment for which the store last confirmed it.
struct ConfigCache
{
	ServiceConfigPtr config = std::make_shared<ServiceConfig>();
	/// Monotonic time at which a store call was sent whose answer contained this version; 0: never.
	TimeUs confirmedAt = 0;
};

/// Replaces the configuration in force by a newer one.
/// @returns Whether it was replaced.
bool adoptConfig(ConfigCache& _cache, ServiceConfigPtr _config);

/// @returns Whether a configuration is known that the store has confirmed at least once. The first one that a
/// router reads may be old.
bool hasConfirmedConfig(const ConfigCache& _cache);

/// @returns Whether the last confirmation is younger than `_bound`, us, so that keys may still be accepted: a
/// removed key must stop working within the bound.
bool isConfirmedFresh(const ConfigCache& _cache, TimeUs _now, TimeUs _bound);
} // namespace spanplank

#endif // SPANPLANK_SERVICE_CONFIG_H_HEADER_GUARD
