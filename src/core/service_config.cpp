/// Looks up routes, accounts and services in a configuration, and replaces the one in force by a newer one.
#include "spanplank/service_config.h"

#include <algorithm>
#include <cctype>

#include "hash_range_p.h"

namespace spanplank
{
namespace
{
std::string hostName(std::string_view _host)
{
	std::string host(_host.substr(0, _host.find(':')));
	std::transform(host.begin(), host.end(), host.begin(),
				   [](unsigned char _c) { return char(std::tolower(_c)); });
	return host;
}

bool startsWith(std::string_view _text, std::string_view _prefix)
{
	return _text.substr(0, _prefix.size()) == _prefix;
}
} // namespace

void indexRoutes(ServiceConfig& _config)
{
	_config.routesOfHost.clear();
	for (size_t ii = 0; ii < _config.routes.size(); ++ii)
	{
		Route& route = _config.routes[ii];
		route.host = hostName(route.host);
		_config.routesOfHost[route.host].push_back(ii);
	}
	for (auto& entry : _config.routesOfHost)
	{
		std::stable_sort(entry.second.begin(), entry.second.end(), [&_config](size_t _a, size_t _b) {
			return _config.routes[_a].pathPrefix.size() > _config.routes[_b].pathPrefix.size();
		});
	}
}

const Route* findRoute(const ServiceConfig& _config, std::string_view _host, std::string_view _path)
{
	const auto found = _config.routesOfHost.find(hostName(_host));
	if (found == _config.routesOfHost.end())
	{
		return nullptr;
	}
	for (const size_t idx : found->second)
	{
		if (startsWith(_path, _config.routes[idx].pathPrefix))
		{
			return &_config.routes[idx];
		}
	}
	return nullptr;
}

const AccountEntry* findAccount(const ServiceConfig& _config, const std::string& _key)
{
	const auto found = _key.empty() ? _config.accountOfKey.end() : _config.accountOfKey.find(_key);
	return found == _config.accountOfKey.end() ? nullptr : &_config.accounts[found->second];
}

bool isKnownService(const ServiceConfig& _config, const std::string& _service)
{
	const auto isTarget = [&_service](const RouteTarget& _target) {
		return _target.service == _service;
	};
	return _config.services.count(_service) != 0 ||
		   std::any_of(_config.routes.begin(), _config.routes.end(), [&isTarget](const Route& _route) {
			   return std::any_of(_route.targets.begin(), _route.targets.end(), isTarget);
		   });
}

const std::string& pickService(const Route& _route, uint64_t _hash)
{
	static const std::string s_none;
	double total = 0.0;
	for (const RouteTarget& target : _route.targets)
	{
		total += std::max(0.0, target.weight);
	}
	double at = double(_hash) / kHashRange * total;
	for (const RouteTarget& target : _route.targets)
	{
		at -= std::max(0.0, target.weight);
		if (at < 0.0)
		{
			return target.service;
		}
	}
	return _route.targets.empty() ? s_none : _route.targets.back().service;
}

bool adoptConfig(ConfigCache& _cache, ServiceConfigPtr _config)
{
	if (_config->version <= _cache.config->version)
	{
		return false;
	}
	_cache.config = std::move(_config);
	return true;
}

bool hasConfirmedConfig(const ConfigCache& _cache)
{
	return _cache.config->version != 0 && _cache.confirmedAt != 0;
}

bool isConfirmedFresh(const ConfigCache& _cache, TimeUs _now, TimeUs _bound)
{
	return _cache.confirmedAt != 0 && _now - _cache.confirmedAt < _bound;
}
} // namespace spanplank
