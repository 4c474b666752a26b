/// What a router makes of the store, whatever else is written there and by whichever way it learns of it: the
/// same as a router that starts blank and reads a list.
#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "platform/records_p.h"
#include "platform/store_protocol_p.h"
#include "spanplank/peer_messages.h"
#include "spanplank/record_fault.h"
#include "usage_duty_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr size_t kIds = 3;
constexpr size_t kHalls = 2;
constexpr uint64_t kFirstBorn = 1700000000000;

json upstreamRecord(size_t _hall, uint64_t _born, const char* _state)
{
	return json{{"service", "app"},
				{"address", "127.0.0.1:9"},
				{"zone", fmt::format("hall-{}", _hall)},
				{"version", "v1"},
				{"slots", 8},
				{"state", _state},
				{"born", _born},
				{"cold_remaining_ms", 0},
				{"sequence", 1}};
}

/// The store with its history, as its answers show it.
struct RawStore
{
	std::vector<json> changes; ///< The revision of each is its place, from 1.
	std::vector<uint64_t> born = std::vector<uint64_t>(kIds, 0);
	std::vector<bool> leaves = std::vector<bool>(kIds, false);

	uint64_t revision() const
	{
		return changes.size();
	}

	void write(const std::string& _key, const json& _value)
	{
		changes.push_back({{"private_key", _key}, {"revision", revision() + 1}, {"value", _value}});
	}

	void remove(const std::string& _key)
	{
		changes.push_back({{"private_key", _key}, {"revision", revision() + 1}, {"removed", true}});
	}

	HttpResponse answer(const char* _name, json _items, uint64_t _revision) const
	{
		HttpResponse response;
		response.status = 200;
		response.body = json{{_name, _items}, {"as_of", _revision}, {"has_more", false}}.dump();
		return response;
	}

	StoreList watchedBetween(uint64_t _from, uint64_t _to, const json& _noise) const
	{
		json events = json::array({_noise});
		for (uint64_t at = _from; at < _to; ++at)
		{
			events.push_back(changes[at]);
		}
		return platform::storeProtocol().decodeWatch(answer("events", events, _to));
	}

	StoreList listAt(uint64_t _revision, const json& _noise) const
	{
		std::map<std::string, json> items;
		for (size_t ii = 0; ii < _revision; ++ii)
		{
			items[changes[ii]["private_key"].get<std::string>()] = changes[ii];
		}
		json listed = json::array({_noise});
		for (const auto& [key, item] : items)
		{
			if (!item.contains("removed"))
			{
				listed.push_back(item);
			}
		}
		return platform::storeProtocol().decodeList(answer("items", listed, _revision));
	}
};

json anyJson()
{
	switch (*rc::gen::inRange(0, 8))
	{
	case 0:
		return *rc::gen::arbitrary<int>();
	case 1:
		return -1.5e300;
	case 2:
		return nullptr;
	case 3:
		return "text";
	case 4:
		return json::array({1, "x", json::object()});
	case 5:
		return json::object({{"name", 7}});
	case 6:
		return 18446744073709551615ull;
	default:
		return true;
	}
}

bool isSound(const json& _record)
{
	try
	{
		platform::decodeUpstream("u", _record.dump());
		return true;
	}
	catch (const RecordFailure&)
	{
		return false;
	}
}

/// A record that some other program wrote: one of an upstream with a field missing or of any type, or bytes.
json foreignValue()
{
	json record = upstreamRecord(0, kFirstBorn, "ready");
	const auto field = *rc::gen::elementOf(std::vector<std::string>{
		"service", "address", "zone", "version", "slots", "state", "born", "sequence", "cold_remaining_ms"});
	switch (*rc::gen::inRange(0, 5))
	{
	case 0:
		record.erase(field);
		record["state"] = isSound(record) ? json("resting") : record.value("state", json());
		return absl::Base64Escape(record.dump());
	case 1:
		record[field] = anyJson();
		record["state"] = isSound(record) ? json("resting") : record["state"];
		return absl::Base64Escape(record.dump());
	case 2:
		return absl::Base64Escape(*rc::gen::arbitrary<std::string>());
	case 3:
		return "*no base64*";
	default:
		return anyJson();
	}
}

void writeUpstream(RawStore& _store, size_t _id, const char* _state)
{
	const json record = upstreamRecord(_id % kHalls, _store.born[_id], _state);
	_store.write(fmt::format("servers/u-{}", _id), absl::Base64Escape(record.dump()));
}

void changeStore(RawStore& _store)
{
	const size_t id = *rc::gen::inRange<size_t>(0, kIds);
	const std::string hallKey = fmt::format("op/evacuate/hall-{}", id % kHalls);
	switch (*rc::gen::inRange(0, 7))
	{
	case 0: // Starts, or starts again, under its id.
		// The clock of its box may jump; it never states a time twice.
		_store.born[id] =
			kFirstBorn + (*rc::gen::arbitrary<bool>() ? 1 : -1) * int64_t(_store.revision() + 1);
		_store.leaves[id] = false;
		writeUpstream(_store, id, "ready");
		break;
	case 1:
		_store.leaves[id] = true;
		writeUpstream(_store, id, "draining");
		break;
	case 2:
		if (!_store.leaves[id] && _store.born[id] != 0)
		{
			writeUpstream(_store, id, "ready");
		}
		break;
	case 3:
		_store.remove(fmt::format("servers/u-{}", id));
		break;
	case 4:
		_store.write(fmt::format("servers/u-{}", id), foreignValue());
		break;
	case 5:
		_store.write(hallKey, *rc::gen::arbitrary<bool>() ? json("e30=") : anyJson());
		break;
	default:
		_store.remove(hallKey);
		break;
	}
}

std::set<std::string> usableOf(const DirectRouter& _router)
{
	std::set<std::string> usable;
	for (const auto& [id, idx] : _router.upstreams.idxOfId)
	{
		if (maySendTo(_router.upstreams, UpstreamId{idx}, monotonicNow(), true))
		{
			usable.insert(id);
		}
	}
	return usable;
}

/// Over a link: as CBOR.
template <typename Message>
Message overLink(const Message& _message)
{
	return json::from_cbor(json::to_cbor(json(_message))).template get<Message>();
}

RC_GTEST_PROP(StoreView, IsThatOfABlankRouterWhateverIsWrittenAndByWhicheverWayItComes, ())
{
	RawStore store;
	DirectRouter router("", DirectSettings{});
	const auto steps = *rc::gen::inRange(1, 40);
	for (int ii = 0; ii < steps; ++ii)
	{
		changeStore(store);
		const uint64_t known = router.view.revision;
		const uint64_t now = *rc::gen::inRange<uint64_t>(known, store.revision() + 1);
		const json noise = anyJson();
		const int way = router.view.listed ? *rc::gen::inRange(0, 4) : *rc::gen::inRange(2, 4);
		if (way < 2)
		{
			const StoreList changes = store.watchedBetween(known, now, noise);
			const StoreChanges told{known, now, changes.items};
			takeStoreChanges(router, way == 0 ? changes : StoreList{now, overLink(told).items},
							 StoreWay::Watch);
		}
		else
		{
			const StoreList list = store.listAt(now, noise);
			const StoreSnapshot snapshot{now, list.items};
			router.view.listed = false;
			takeStoreList(router, way == 2 ? list : StoreList{now, overLink(snapshot).items}, StoreWay::List);
		}
		DirectRouter blank("", DirectSettings{});
		takeStoreList(blank, store.listAt(now, noise), StoreWay::List);
		RC_ASSERT(router.view.revision == now);
		RC_ASSERT(usableOf(router) == usableOf(blank));
	}
}

// A value that is not base64 failed the whole call: each router was blind as if the store were away.
TEST(StoreView, AnItemThatCantBeReadSpoilsNoOther)
{
	RawStore store;
	store.born = {kFirstBorn, kFirstBorn, kFirstBorn};
	writeUpstream(store, 0, "ready");
	store.write("servers/u-1", "*no base64*");
	writeUpstream(store, 2, "ready");
	DirectRouter router("", DirectSettings{});
	takeStoreList(router, store.listAt(3, 7), StoreWay::List);
	EXPECT_EQ(usableOf(router), (std::set<std::string>{"u-0", "u-2"}));
	EXPECT_EQ(router.stats.recordsRejected.at("encoding"), 1u);
	EXPECT_EQ(router.stats.itemsSkipped, 1u);
}

/// @returns JSON that is nested deeper than any stack bears a call for each level.
std::string deepArray()
{
	constexpr size_t kDeep = 200000;
	return std::string(kDeep, '[') + std::string(kDeep, ']');
}

// One value of another writer, under any key that is followed, was to hide no change after it.
TEST(StoreView, AnOddValueUnderAnyKeyHidesNothingAfterIt)
{
	const std::vector<std::string> keys = {"op/config",
										   "op/rollout/app",
										   "op/rollout/",
										   "op/evacuate/hall-0",
										   "status/rollout/app",
										   "status/rollout/",
										   "spanplank/rollout/app",
										   "spanplank/suspect/0123",
										   "spanplank/suspect/",
										   "spanplank/router/b",
										   "spanplank/router/",
										   std::string(kUsageDutyItem),
										   "spanplank/link-key",
										   "servers/u-0",
										   "servers/",
										   "servers/a/b",
										   "another/prefix",
										   ""};
	const std::vector<std::string> values = {
		"",
		"{",
		"[]",
		"[7]",
		"7",
		"null",
		"\"text\"",
		"{}",
		std::string("\xff\xfe\x00", 3),
		std::string(20000, '['),
		deepArray(),
		R"({"version":9,"routes":)" + deepArray() + "}",
		R"({"suspect":)" + deepArray() + R"(,"at":1})",
		"12 " + deepArray(),
		R"({"version":1e999,"target_version":"v9","duration_s":1e999})",
		R"({"version":"x","routes":7})",
		R"({"version":9,"routes":[7],"tenants":{"a":1}})",
		R"({"service":7,"target_version":[],"duration_s":"soon","state":7})",
		R"({"service":"app","target_version":"v9","duration_s":-1e300,"state":"no such"})",
		R"({"hall":7,"address":7})",
		R"({"hall":"hall-0","address":"nowhere:1\n"})",
		R"({"suspect":{},"at":"x"})",
		R"({"suspect":[1,2,3,4,5,6,7,[1]],"at":1})",
		R"({"holder":7,"life":[],"era":-1,"window":"x","counts":7})",
		"12 [1,2",
		"-9223372036854775808 [[]]",
	};
	DirectRouter router("", DirectSettings{});
	RawStore store;
	store.born = {kFirstBorn, kFirstBorn, kFirstBorn};
	writeUpstream(store, 1, "ready");
	takeStoreList(router, store.listAt(1, 7), StoreWay::List);
	uint64_t known = store.revision();
	for (const std::string& key : keys)
	{
		for (const std::string& value : values)
		{
			store.write(key, absl::Base64Escape(value));
			writeUpstream(store, 2, store.revision() % 4 == 0 ? "draining" : "ready");
			ASSERT_NO_THROW(
				takeStoreChanges(router, store.watchedBetween(known, store.revision(), 7), StoreWay::Watch))
				<< key << ": " << value.substr(0, 60);
			known = store.revision();
			EXPECT_EQ(router.view.revision, known) << key;
		}
		store.remove(key);
		ASSERT_NO_THROW(
			takeStoreChanges(router, store.watchedBetween(known, store.revision(), 7), StoreWay::Watch))
			<< key;
		known = store.revision();
		EXPECT_EQ(usableOf(router).count("u-1"), 1u) << key;
	}
}

// An order that names no version, or no time, replaced the trial under way: the version on trial got all
// requests.
TEST(StoreView, AnOrderThatOrdersNothingEndsNoTrial)
{
	DirectRouter router("", DirectSettings{});
	RawStore store;
	const json sound{{"service", "app"}, {"target_version", "v2"}, {"duration_s", 20}};
	store.write("op/rollout/app", absl::Base64Escape(sound.dump()));
	takeStoreList(router, store.listAt(1, 7), StoreWay::List);
	for (const auto& [field, value] : std::vector<std::pair<const char*, json>>{{"target_version", nullptr},
																				{"target_version", ""},
																				{"target_version", 7},
																				{"target_version", "v3\n"},
																				{"duration_s", nullptr},
																				{"duration_s", 0},
																				{"duration_s", -5},
																				{"duration_s", 1e300},
																				{"duration_s", "soon"}})
	{
		json order = sound;
		order["target_version"] = "v3";
		order[field] = value;
		const uint64_t known = store.revision();
		store.write("op/rollout/app", absl::Base64Escape(order.dump()));
		takeStoreChanges(router, store.watchedBetween(known, store.revision(), 7), StoreWay::Watch);
		EXPECT_EQ(router.trials.trials.at("app").order.version, "v2") << order;
	}
	json next = sound;
	next["target_version"] = "v3";
	const uint64_t known = store.revision();
	store.write("op/rollout/app", absl::Base64Escape(next.dump()));
	takeStoreChanges(router, store.watchedBetween(known, store.revision(), 7), StoreWay::Watch);
	EXPECT_EQ(router.trials.trials.at("app").order.version, "v3");
}

TEST(StoreView, BytesThatAreNoUtf8SpoilNoOtherItem)
{
	HttpResponse answer;
	answer.status = 200;
	answer.body = "{\"items\":[{\"private_key\":\"servers/\xff\xfe\",\"revision\":1,\"value\":\"\xc3\"},"
				  "{\"private_key\":\"op/x\",\"revision\":2,\"value\":\"e30=\"}],\"as_of\":2}";
	const StoreList list = platform::storeProtocol().decodeList(answer);
	ASSERT_EQ(list.items.size(), 2u);
	EXPECT_TRUE(list.items[0].malformed);
	EXPECT_EQ(list.items[1].value, "{}");
}

TEST(StoreView, EachFaultOfARecordIsNamed)
{
	const auto faultOf = [](const char* _field, const json& _value) {
		json record = upstreamRecord(0, kFirstBorn, "ready");
		record[_field] = _value;
		try
		{
			platform::decodeUpstream("u", record.dump());
		}
		catch (const RecordFailure& failure)
		{
			return failure.fault();
		}
		return RecordFault::Count;
	};
	EXPECT_EQ(faultOf("state", "resting"), RecordFault::State);
	EXPECT_EQ(faultOf("address", "nowhere"), RecordFault::Address);
	EXPECT_EQ(faultOf("address", "10.0.0.1:70000"), RecordFault::Address);
	// One parser skipped white space, the one that reads the address for each attempt did not.
	for (const char* address :
		 {"10.0.0.1:8080\n", "10.0.0.1: 8080", "10.0.0.1:+8080", "10.0.0.1:8080 ", " 10.0.0.1:8080",
		  "10.0.0.1\n:80", "10.0.0.1:0", "10.0.0.1:", ":8080", "host.example:80", "10.0.0.1:80800000000000"})
	{
		EXPECT_EQ(faultOf("address", address), RecordFault::Address) << address;
	}
	EXPECT_EQ(faultOf("slots", -3), RecordFault::Range);
	EXPECT_EQ(faultOf("slots", 1e30), RecordFault::Range);
	EXPECT_EQ(faultOf("slots", 18446744073709551615ull), RecordFault::Range);
	EXPECT_EQ(faultOf("slots", "8"), RecordFault::Type);
	EXPECT_EQ(faultOf("born", 1.5), RecordFault::Range);
	EXPECT_EQ(faultOf("born", "now"), RecordFault::Type);
	EXPECT_EQ(faultOf("service", ""), RecordFault::Missing);
	EXPECT_EQ(faultOf("service", 7), RecordFault::Type);
	EXPECT_EQ(faultOf("slots", 4), RecordFault::Count) << "a sound one";
	EXPECT_THROW(platform::decodeUpstream("u\r\nHost: x", upstreamRecord(0, 1, "ready").dump()),
				 RecordFailure);
}
} // namespace
} // namespace spanplank
