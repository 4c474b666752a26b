/// Entries of other writers among the registered upstreams: they name no upstream to use, the others hold,
/// and no caller's request is refused for them.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <optional>
#include <vector>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint64_t kBorn = 1700000000000; ///< Unix milliseconds of the sound upstreams' start.
constexpr int kCallsOfEntry = 6;          ///< For each entry, over both sound upstreams.

/// A field of an entry and what another writer put there. Without a value the field is missing.
struct WrongField
{
	const char* field;
	std::optional<json> value;
};

/// @param[in] _address Of nothing that listens.
std::vector<WrongField> wrongFields(const std::string& _address)
{
	const std::string ip = _address.substr(0, _address.find(':'));
	const std::string port = _address.substr(_address.find(':') + 1);
	std::vector<WrongField> fields;
	for (const char* name : {"service", "address", "zone", "version", "slots", "state"})
	{
		fields.push_back({name, std::nullopt});
		fields.push_back({name, nullptr});
		fields.push_back({name, json::array({"app"})});
	}
	for (const char* name : {"service", "address", "zone", "version", "state"})
	{
		fields.push_back({name, ""});
		fields.push_back({name, 7});
		fields.push_back({name, std::string(5000, 'x')});
	}
	for (const std::string& address : {_address + "\n",
									   " " + _address,
									   "\t" + _address,
									   fmt::format("{}: {}", ip, port),
									   fmt::format("{}:+{}", ip, port),
									   fmt::format("{}:0{}", ip, port),
									   ip + ":",
									   ip + ":0",
									   ip + ":65536",
									   ip + ":-1",
									   ip,
									   port,
									   ":" + port,
									   "localhost:" + port,
									   "[::1]:" + port,
									   "::1:" + port,
									   "0.0.0.0:" + port,
									   "255.255.255.255:" + port,
									   "224.0.0.1:" + port,
									   std::string("127.0.0.1\0:", 11) + port,
									   _address + std::string(1, '\0'),
									   "http://" + _address})
	{
		fields.push_back({"address", address});
	}
	for (const char* service : {"no-such-service", "app\n", " app", "APP"})
	{
		fields.push_back({"service", service});
	}
	for (const char* state : {"resting", "ready\n", "READY"})
	{
		fields.push_back({"state", state});
	}
	for (const char* name : {"zone", "version"})
	{
		fields.push_back({name, "v1\r\nTenant: other"});
	}
	for (const json& slots : {json(0), json(-1), json(1.5), json("8"), json(1e30)})
	{
		fields.push_back({"slots", slots});
	}
	for (const json& born : {json(-1), json(1.5), json("now"), json(nullptr)})
	{
		fields.push_back({"born", born});
	}
	return fields;
}

/// A router between two sound upstreams.
struct ForeignEntry : testing::Test
{
	DirectSystem system;
	StandInUpstream& first = system.addUpstream("u-first", "app");
	StandInUpstream& second = system.addUpstream("u-second", "app");

	ForeignEntry()
	{
		for (StandInUpstream* upstream : {&first, &second})
		{
			upstream->born = kBorn;
			system.registerUpstream(*upstream);
		}
		system.startReady(2);
	}

	json recordAt(const std::string& _address) const
	{
		return {{"service", "app"}, {"address", _address}, {"zone", "hall-a"}, {"version", "v1"},
				{"slots", 8},       {"state", "ready"},    {"sequence", 1},    {"cold_remaining_ms", 0},
				{"born", kBorn}};
	}

	/// Writes an entry, and waits until the router has followed the store beyond it.
	void write(const std::string& _id, const std::string& _value)
	{
		setItem(system.store, "servers/" + _id, _value);
		system.writeConfig();
		const std::string version = system.config["version"].dump();
		EXPECT_TRUE(eventually([&] { return system.metric("spanplank_config_version") == version; }))
			<< _value.substr(0, 200);
	}

	/// @returns How many proper requests were not answered with 200.
	int refusedOf(int _calls)
	{
		int refused = 0;
		for (int ii = 0; ii < _calls; ++ii)
		{
			const DirectAnswer answer =
				ii % 2 == 0 ? system.call("POST", "/once/") : system.call("GET", "/plain/");
			refused += answer.status == 200 ? 0 : 1;
		}
		return refused;
	}

	/// @returns Whether an upstream gets requests again within a few seconds.
	bool isUsed(const StandInUpstream& _upstream)
	{
		const size_t before = _upstream.requests.size();
		return eventually(
			[&] {
				refusedOf(2);
				return _upstream.requests.size() > before;
			},
			5);
	}
};

// Each proper request that chose an entry whose address ends with a line feed was refused with 400.
TEST_F(ForeignEntry, WithOneWrongFieldIsNotUsedAndRefusesNoRequest)
{
	const std::string nothing = loopback(freePort());
	int number = 0;
	for (const WrongField& wrong : wrongFields(nothing))
	{
		json record = recordAt(nothing);
		record.erase(wrong.field);
		if (wrong.value)
		{
			record[wrong.field] = *wrong.value;
		}
		const std::string text = record.dump();
		write(fmt::format("i-other-{}", number++), text);
		EXPECT_EQ(refusedOf(kCallsOfEntry), 0) << text.substr(0, 300);
	}
	EXPECT_EQ(system.knownUpstreams(), 2u);
	EXPECT_EQ(system.log().find("end=\"not_sent\""), std::string::npos)
		<< "an attempt at an entry of another writer";
}

// Bytes that can't be read as a record were to leave the others as they are.
TEST_F(ForeignEntry, OfBytesThatAreNoRecordIsNotUsedAndRefusesNoRequest)
{
	int number = 0;
	for (const std::string& bytes :
		 {std::string(), std::string("{"), std::string("[]"), std::string("null"), std::string("7"),
		  std::string("\xff\xfe\x00", 3), std::string(20000, '['),
		  std::string("{\"service\":\"app\",\"service\":")})
	{
		write(fmt::format("i-other-{}", number++), bytes);
		EXPECT_EQ(refusedOf(kCallsOfEntry), 0) << bytes.substr(0, 50);
	}
	EXPECT_EQ(system.knownUpstreams(), 2u);
}

// Entries with which routers of other operators ended again and again, or followed the store no longer.
TEST_F(ForeignEntry, ThatIsNestedDeeplyOrHasNumbersOutOfRangeEndsNothing)
{
	constexpr size_t kDeep = 50000; // Levels; the store takes no value over 100 kB.
	const std::string deep = std::string(kDeep, '[') + std::string(kDeep, ']');
	const std::string nothing = loopback(freePort());
	int number = 0;
	for (const char* name : {"service", "address", "zone", "version", "slots", "state", "born", "other"})
	{
		for (const std::string& value :
			 {deep, std::string("1e999"), std::string("-1e999"), std::string("1e308"),
			  std::string("99999999999999999999999999"), std::string("-9223372036854775809")})
		{
			json record = recordAt(nothing);
			record[name] = "HERE";
			std::string text = record.dump();
			text.replace(text.find("\"HERE\""), 6, value);
			write(fmt::format("i-other-{}", number++), text);
			EXPECT_EQ(refusedOf(kCallsOfEntry), 0) << text.substr(0, 200);
			removeItem(system.store, fmt::format("servers/i-other-{}", number - 1));
		}
	}
	StandInUpstream& third = system.addUpstream("u-third", "app");
	EXPECT_TRUE(isUsed(third));
	EXPECT_TRUE(system.isReady());
}

// A wrong address under an upstream's own id, with a later start, ended the router's watch of the store.
TEST_F(ForeignEntry, UnderALiveIdEndsNoWatchOfTheStore)
{
	json record = recordAt(loopback(freePort()) + "\n");
	record["born"] = kBorn + 1;
	setItem(system.store, "servers/" + first.id, record.dump());
	system.addUpstream("u-third", "app");
	EXPECT_TRUE(eventually([&] { return isUsed(*system.upstreams().back()); }, 10));
	system.registerUpstream(first);
	EXPECT_TRUE(isUsed(first));
}

// An upstream whose entry was overwritten by one of an unknown service that drains was never used again.
TEST_F(ForeignEntry, OfAnUnknownServiceUnderALiveIdDoesNotKeepItFromUse)
{
	json record = recordAt(first.address);
	record["service"] = "no-such-service";
	record["state"] = "draining";
	write(first.id, record.dump());
	EXPECT_EQ(refusedOf(kCallsOfEntry), 0);
	system.registerUpstream(first);
	EXPECT_TRUE(isUsed(first));
}

// An upstream whose entry was overwritten by one without a start time that drains was never used again.
TEST_F(ForeignEntry, WithoutAStartUnderALiveIdDoesNotKeepItFromUse)
{
	json record = recordAt(first.address);
	record["state"] = "draining";
	record.erase("born");
	write(first.id, record.dump());
	EXPECT_EQ(refusedOf(kCallsOfEntry), 0);
	system.registerUpstream(first);
	EXPECT_TRUE(isUsed(first));
}

// An upstream that registers before its service is configured is used once it is.
TEST_F(ForeignEntry, OfAServiceThatIsConfiguredLaterBecomesAnUpstream)
{
	StandInUpstream& later = system.addUpstream("u-later", "app-two");
	write("u-none", "{}"); // The router has followed the store up to here.
	EXPECT_EQ(refusedOf(kCallsOfEntry), 0);
	json service = system.config["services"][0];
	service["name"] = "app-two";
	system.config["services"].push_back(service);
	for (json& route : system.config["routes"])
	{
		if (route["path_prefix"] == "/plain/")
		{
			route["service"] = "app-two";
		}
	}
	system.writeConfig();
	EXPECT_TRUE(isUsed(later));
	EXPECT_EQ(system.call("GET", "/plain/").status, 200);
}
} // namespace
} // namespace spanplank
