/// The operators' configuration of a direct router: routes, services, client accounts and limits.
#ifndef SPANPLANK_SERVICE_CONFIG_H_HEADER_GUARD
#define SPANPLANK_SERVICE_CONFIG_H_HEADER_GUARD

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "spanplank/cold_upstreams.h"
#include "spanplank/types.h"

namespace spanplank
{
/// What may be repeated on a route.
enum class RouteKind : uint8_t
{
	Safe,   ///< May run more than once.
	Unsafe, ///< Runs at most once.
	Stream, ///< Answers with events; may be repeated only if the route is resumable.
};

/// One target of a route and its part of the requests.
struct RouteTarget
{
	std::string service;
	double weight = 1.0;
};

struct Route
{
	std::string name;
	std::string host;       ///< Lower case, without a port.
	std::string pathPrefix; ///< Begins and ends with a slash.
	RouteKind kind = RouteKind::Unsafe;
	uint32_t timeoutMs = 30000; ///< The final answer is due by then.
	uint32_t targetMs = 1000;   ///< Latency objective: up to the whole answer, of a stream the first event.
	uint32_t eventGapMs = 1000; ///< Longest pause between events of a timely stream.
	uint32_t maxAttempts = 1;   ///< Upstreams that may run one request.
	uint32_t priority = 0;      ///< Lower goes first.
	bool anonymous = false;     ///< Needs no key.
	bool resumable = false;     ///< A broken stream may go on at another upstream.
	/// The router chooses among these, smallest first. Empty: the caller does.
	std::vector<std::string> models;
	std::vector<RouteTarget> targets;
	std::vector<std::string> regions; ///< Only there it may be served and remembered; empty: anywhere.
};

/// A model that a service offers.
struct ModelOffer
{
	std::string name;
	double cost = 0.0; ///< Per 1,000 output tokens; a prompt token counts as a quarter.
};

struct ServiceInfo
{
	std::string name;
	uint32_t connectionLimit = 100; ///< Of one upstream, from all routers together.
	uint32_t slots = 0;             ///< Requests that an engine batches; 0: a plain service.
	std::vector<ModelOffer> models;
	ColdService cold; ///< What an upstream bears after its start.
};

/// A client account as the configuration of the direct mode lists it.
struct AccountEntry
{
	std::string name;
	uint32_t priority = 0;            ///< Goes before the route's; lower goes first.
	std::vector<std::string> regions; ///< As `Route::regions`.
};

/// Bounds on what callers may send and how long they may take.
struct CallerLimits
{
	uint32_t headerBytes = 16u << 10;
	uint32_t bodyBytes = 1u << 20;
	uint32_t headerMs = 5000; ///< From the first byte of a head to its last.
	uint32_t idleMs = 15000;  ///< Between requests of one connection.
};

/// One version of the configuration. Never changed once published: requests hold on to the one they began
/// with.
struct ServiceConfig
{
	uint64_t version = 0; ///< Rises with each change; 0: none is known.
	std::vector<Route> routes;
	std::unordered_map<std::string, ServiceInfo> services;
	std::vector<AccountEntry> accounts;
	std::unordered_map<std::string, size_t> accountOfKey; ///< Index in `accounts`.
	CallerLimits limits;
	std::unordered_map<std::string, std::vector<size_t>> routesOfHost; ///< Longest prefix first.
};
using ServiceConfigPtr = std::shared_ptr<const ServiceConfig>;

/// Builds the look-up tables of a configuration whose other fields are filled.
void indexRoutes(ServiceConfig& _config);

/// @param[in] _host Value of the Host header; a port is ignored. @param[in] _path Without the query.
/// @returns The route with the longest prefix, or null.
const Route* findRoute(const ServiceConfig& _config, std::string_view _host, std::string_view _path);

/// @returns The account of a key, or null.
const AccountEntry* findAccount(const ServiceConfig& _config, const std::string& _key);

/// @returns The service for a request, by the weights of the route; the same for the same `_hash`.
const std::string& pickService(const Route& _route, uint64_t _hash);

/// @returns Whether a request of this route may run more than once.
inline bool isRepeatable(const Route& _route)
{
	return _route.kind == RouteKind::Safe || (_route.kind == RouteKind::Stream && _route.resumable);
}

/// The configuration in force and the moment for which the store last proved it.
struct ConfigCache
{
	ServiceConfigPtr config = std::make_shared<ServiceConfig>();
	TimeUs provedAt = 0; ///< Monotonic; the store's answer to a call sent then held this version. 0: never.
};

/// Takes a configuration unless it is older than the one in force.
/// @returns Whether it is now in force and was not before.
bool adoptConfig(ConfigCache& _cache, ServiceConfigPtr _config);

/// @returns Whether a configuration is known that the store has proved once. The first that a router reads
/// may be old.
bool knowsConfig(const ConfigCache& _cache);

/// @returns Whether keys may still be trusted: a removed key must stop working within the bound.
bool isProvedFresh(const ConfigCache& _cache, TimeUs _now, TimeUs _bound);
} // namespace spanplank

#endif // SPANPLANK_SERVICE_CONFIG_H_HEADER_GUARD
