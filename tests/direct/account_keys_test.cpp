/// Keys of client accounts: a missing one, an unknown one and one that was removed are told apart on every
/// route.
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "harness.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

/// A router with an upstream, `/plain/` open to callers without a key and `/once/` closed to them.
struct AccountKeys : testing::Test
{
	DirectSystem system;
	StandInUpstream& upstream = system.addUpstream("u", "app");

	AccountKeys()
	{
		system.config["routes"][0]["allow_anonymous"] = true;
		system.writeConfig();
		system.startReady(1);
	}

	/// Writes the configuration, and waits until it is in force.
	void writeConfig()
	{
		system.writeConfig();
		const std::string version = system.config["version"].dump();
		EXPECT_TRUE(eventually([&] { return system.metric("spanplank_config_version") == version; }));
	}

	/// @returns The status of a request whose key fields are given as they go over the wire.
	std::string statusOf(const char* _path, const std::string& _keyFields)
	{
		const std::string answer =
			system.raw(std::string("GET ") + _path + "x HTTP/1.1\r\nHost: town.example\r\n" +
					   "Request-Id: raw\r\nDeadline-Remaining: 4000\r\n" + "Connection: close\r\n" +
					   _keyFields + "\r\n");
		return answer.substr(0, 12);
	}
};

constexpr const char* kOpen = "/plain/";
constexpr const char* kClosed = "/once/";
constexpr const char* kRan = "HTTP/1.1 200";
constexpr const char* kDenied = "HTTP/1.1 401";

TEST_F(AccountKeys, AMissingKeyIsAnonymousOnARouteThatNeedsNoneAlone)
{
	for (const char* fields : {"", "Key:\r\n", "Key:  \r\n"})
	{
		EXPECT_EQ(statusOf(kOpen, fields), kRan) << fields;
		EXPECT_EQ(statusOf(kClosed, fields), kDenied) << fields;
	}
	ASSERT_FALSE(upstream.requests.empty());
	EXPECT_EQ(upstream.requests.back().count("Tenant"), 0u);
}

// A removed key ran on an open route beside an empty field, and on any route beside a known key.
TEST_F(AccountKeys, OneBesideAnotherIsNoKey)
{
	const std::string known = "Key: " + system.key + "\r\n";
	const std::string removed = "Key: removed\r\n";
	for (const char* path : {kOpen, kClosed})
	{
		EXPECT_EQ(statusOf(path, known), kRan) << path;
		EXPECT_EQ(statusOf(path, "Key:\r\n" + removed), kDenied) << path;
		EXPECT_EQ(statusOf(path, known + removed), kDenied) << path;
		EXPECT_EQ(statusOf(path, removed + known), kDenied) << path;
	}
	EXPECT_EQ(upstream.requests.size(), 2u);
}

// Once the last account was removed, its key and every other one ran on all routes.
TEST_F(AccountKeys, OfTheLastAccountStopsWorkingWithIt)
{
	system.config["tenants"] = json::array();
	writeConfig();
	EXPECT_EQ(system.call("GET", kClosed).status, 401);
	EXPECT_EQ(system.call("GET", kOpen).status, 401);
	system.key = "";
	EXPECT_EQ(system.call("GET", kClosed).status, 401);
	EXPECT_EQ(upstream.requests.size(), 0u);
	EXPECT_EQ(system.call("GET", kOpen).status, 200) << "it carries no key";
}

// A configuration without accounts needs no keys.
TEST_F(AccountKeys, AreNotNeededWhereTheConfigurationNamesNoAccounts)
{
	system.config.erase("tenants");
	writeConfig();
	EXPECT_EQ(system.call("GET", kClosed).status, 200);
	system.key = "";
	EXPECT_EQ(system.call("GET", kClosed).status, 200);
}

// An account with an empty key got all requests without one, also on closed routes.
TEST_F(AccountKeys, AnEmptyOneInTheConfigurationBelongsToNobody)
{
	system.config["tenants"].push_back({{"name", "village"}, {"api_keys", {"", "key-of-the-village"}}});
	writeConfig();
	system.key = "";
	EXPECT_EQ(system.call("GET", kClosed).status, 401);
	EXPECT_EQ(system.call("GET", kOpen).status, 200);
	ASSERT_EQ(upstream.requests.size(), 1u);
	EXPECT_EQ(upstream.requests.back().count("Tenant"), 0u);
	system.key = "key-of-the-village";
	EXPECT_EQ(system.call("GET", kClosed).status, 200);
}

TEST_F(AccountKeys, BringTheirRegionsToARouteThatNeedsNone)
{
	system.config["tenants"][0]["allowed_regions"] = {"elsewhere"};
	writeConfig();
	EXPECT_EQ(system.call("GET", kOpen).status, 503);
	const std::string known = system.key;
	system.key = "unknown";
	EXPECT_EQ(system.call("GET", kOpen).status, 401);
	system.key = "";
	EXPECT_EQ(system.call("GET", kOpen).status, 200);
	EXPECT_EQ(upstream.requests.size(), 1u);
}

// An empty list of allowed regions let requests into all regions.
TEST_F(AccountKeys, OfAnAccountThatMayUseNoRegionReachNoUpstream)
{
	system.config["tenants"][0]["allowed_regions"] = json::array();
	writeConfig();
	EXPECT_EQ(system.call("GET", kClosed).status, 503);
	system.config["tenants"][0].erase("allowed_regions");
	system.config["routes"][1]["allowed_regions"] = json::array();
	writeConfig();
	EXPECT_EQ(system.call("GET", kClosed).status, 503);
	EXPECT_EQ(upstream.requests.size(), 0u);
}

// The name of an account and that of a model go out in headers: one with a line feed sent a header of its
// own.
TEST_F(AccountKeys, AConfigurationWithANameThatForgesAHeaderIsNotTaken)
{
	const std::string inForce = system.config["version"].dump();
	const json sound = system.config;
	for (const char* kind : {"account", "model"})
	{
		system.config["tenants"] = sound["tenants"];
		system.config["routes"] = sound["routes"];
		if (kind == std::string("account"))
		{
			system.config["tenants"][0]["name"] = "town\r\nX-Forged: 1";
		}
		else
		{
			system.config["routes"][1]["sizes"] = {"small\r\nX-Forged: 1"};
		}
		system.writeConfig();
		const size_t before = upstream.requests.size();
		EXPECT_TRUE(eventually(
			[&] {
				return system.call("GET", kClosed).status == 200 &&
					   system.metric("spanplank_records_rejected_total{fault=\"config\"}") ==
						   (kind == std::string("account") ? "1" : "2");
			},
			5))
			<< kind;
		ASSERT_GT(upstream.requests.size(), before);
		EXPECT_EQ(upstream.requests.back().count("X-Forged"), 0u) << kind;
	}
	EXPECT_EQ(system.metric("spanplank_config_version"), inForce);
	EXPECT_EQ(system.call("GET", kClosed).status, 200) << "the one in force stays";
}

// Logs and metrics called a missing key and an unknown one the same.
TEST_F(AccountKeys, AMissingAndAnUnknownOneAreCountedApart)
{
	system.key = "unknown";
	EXPECT_EQ(system.call("GET", kClosed).status, 401);
	EXPECT_EQ(system.call("GET", kOpen).status, 401);
	system.key = "";
	EXPECT_EQ(system.call("GET", kClosed).status, 401);
	EXPECT_EQ(system.metric("spanplank_answers_total{kind=\"unknown_key\"}"), "2");
	EXPECT_EQ(system.metric("spanplank_answers_total{kind=\"no_key\"}"), "1");
}
} // namespace
} // namespace spanplank
