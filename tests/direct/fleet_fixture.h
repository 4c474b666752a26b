/// Three direct routers of one hall on one store, each with its own path to it, and an upstream.
#ifndef SPANPLANK_TESTS_FLEET_FIXTURE_H_HEADER_GUARD
#define SPANPLANK_TESTS_FLEET_FIXTURE_H_HEADER_GUARD

#include <filesystem>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

#include "direct_harness.h"
#include "fault_proxy.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
using nlohmann::json;

inline constexpr size_t kRouters = 3;
inline constexpr uint32_t kRevokeMs = 3000;
inline constexpr uint32_t kSettleSeconds = 10; ///< Until all have registered and chosen whom to follow.

/// Three routers of one hall on one store, each with its own path to it.
struct FleetTest : testing::Test
{
	StandInStore store;
	std::string storeAddress;
	json config = basicConfig("kept-key");
	std::string dir;
	FaultProxy toStore[kRouters];
	std::vector<std::unique_ptr<RouterProcess>> routers;
	StandInUpstream upstream;
	uint64_t nextRequest = 1;

	FleetTest()
	{
		testIo();
		char pattern[] = "/tmp/spanplank-fleet-XXXXXX";
		dir = ::mkdtemp(pattern);
		store.http.handler = [this](HttpExchange& _exchange) {
			answerStoreCall(store, _exchange);
		};
		storeAddress = loopback(startHttpServer(testIo(), store.http, {loopbackIp(), 0}));
		config["tenants"][0]["api_keys"].push_back("other-key");
		writeConfig();
		startUpstream();
		for (size_t ii = 0; ii < kRouters; ++ii)
		{
			startProxy(toStore[ii], storeAddress);
			routers.push_back(std::make_unique<RouterProcess>(
				dir, fmt::format("router-{}", ii), toStore[ii].address,
				fmt::format("revokeMs: {}\nleaveMs: 2000\nlink: {}\n", kRevokeMs, loopback(freePort()))));
			routers.back()->start();
		}
		awaitRegistered();
		settle();
	}

	~FleetTest() override
	{
		for (const auto& router : routers)
		{
			router->killHard();
			if (HasFailure())
			{
				fmt::print("{}", router->log());
			}
		}
		stopListening(store.http);
		stopListening(upstream.http);
		for (FaultProxy& proxy : toStore)
		{
			stopProxy(proxy);
		}
		// Servers must outlive their accept loops too, which end only once they get a turn.
		eventually([this] { return store.http.connections == 0 && !store.http.accepting; }, 5);
		eventually([this] { return upstream.http.connections == 0 && !upstream.http.accepting; }, 5);
		std::filesystem::remove_all(dir);
	}

	void startUpstream()
	{
		upstream.id = "u-one";
		upstream.service = "app";
		upstream.http.handler = [this](HttpExchange& _exchange) {
			answerWell(upstream, _exchange);
		};
		upstream.address = loopback(startHttpServer(testIo(), upstream.http, {loopbackIp(), 0}));
		setItem(store, "servers/u-one",
				json{{"service", "app"},
					 {"address", upstream.address},
					 {"zone", "hall-a"},
					 {"version", "v1"},
					 {"slots", 8},
					 {"state", "ready"}}
					.dump());
	}

	void writeConfig()
	{
		config["version"] = config["version"].get<uint64_t>() + 1;
		setItem(store, "op/config", config.dump());
	}

	bool isFollowing(size_t _router)
	{
		return routers[_router]->metric("spanplank_following") == "1";
	}

	size_t watchers()
	{
		size_t count = 0;
		for (size_t ii = 0; ii < kRouters; ++ii)
		{
			count += isFollowing(ii) ? 0 : 1;
		}
		return count;
	}

	/// One may follow another before both know of the third.
	void awaitRegistered()
	{
		for (const auto& router : routers)
		{
			EXPECT_TRUE(eventually([&] { return router->metric("spanplank_peers") == "2"; }, kSettleSeconds));
		}
	}

	void settle()
	{
		EXPECT_TRUE(eventually([this] { return watchers() == 1; }, kSettleSeconds));
	}

	/// @returns The router that watches the store.
	size_t watcher()
	{
		size_t found = 0;
		for (size_t ii = 0; ii < kRouters; ++ii)
		{
			found = isFollowing(ii) ? found : ii;
		}
		return found;
	}

	int call(size_t _router, const std::string& _key)
	{
		HttpClient client;
		client.io = &testIo();
		client.endpoint = parseEndpoint(routers[_router]->listen());
		HttpCall request;
		request.method = "GET";
		request.target = "/plain/x";
		request.headers = {{"Host", "town.example"},
						   {"Request-Id", fmt::format("request-{}", nextRequest++)},
						   {"Deadline-Remaining", "2000"},
						   {"Key", _key}};
		try
		{
			return spanplank::call(client, request).status;
		}
		catch (const HttpFailure&)
		{
			return 0;
		}
	}

	bool allAnswer(const std::string& _key, int _status)
	{
		bool all = true;
		for (size_t ii = 0; ii < kRouters; ++ii)
		{
			all = all && call(ii, _key) == _status;
		}
		return all;
	}

	void removeKey()
	{
		config["tenants"][0]["api_keys"] = {"kept-key"};
		writeConfig();
	}
};

} // namespace spanplank

#endif // SPANPLANK_TESTS_FLEET_FIXTURE_H_HEADER_GUARD
