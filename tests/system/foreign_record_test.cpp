/// Agents' mode beside other writers and odd upstreams: what one record or answer holds spoils no other, and
/// is never the caller's fault.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "box_list_p.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "upstream_client_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

/// Values that another writer may leave where a resource is expected.
const std::vector<std::string> kNoResources = {
	"",
	"no json",
	"[]",
	"7",
	R"({"kind":"accounts","name":"other","spec":{"keyHashes":7,"allowed":["small"]}})",
	R"({"kind":"accounts","name":"other","spec":[]})",
	R"({"kind":"accounts","name":"other"})",
	R"({"kind":"versions","name":"other@1","spec":{"model":"small","state":9}})",
	R"({"kind":7,"name":"other","spec":{}})",
	R"({"kind":"services","name":"other","spec":{"repeatable":"yes"}})",
};

// One resource that could not be read ended each router's watch of the store: a removed key worked on for
// good.
TEST(ForeignRecord, AmongTheResourcesDoesNotKeepARemovedKeyWorking)
{
	System system{SystemShape{}};
	system.declareBasics();
	for (size_t ii = 0; ii < kNoResources.size(); ++ii)
	{
		system.writeStore(fmt::format("config/accounts/other-{}", ii), kNoResources[ii]);
	}
	pause(1000);
	const json spec{{"keyHashes", {sha256Hex("key-next")}}, {"allowed", {"small", "large"}}};
	ASSERT_EQ(system.put(1, "accounts", "town", spec).status, 200);
	EXPECT_TRUE(eventually([&] { return system.chat(0, {}).status == 401; }, 10));
	ChatOptions options;
	options.key = "key-next";
	EXPECT_TRUE(eventually([&] { return system.chat(0, options).status == 200; }, 10));
}

// A copy of an account under another key of the store took the account's place: a key that was removed worked
// again.
TEST(ForeignRecord, ThatIsACopyOfAnAccountBringsBackNoRemovedKey)
{
	System system{SystemShape{}};
	system.declareBasics();
	const std::string copy = system.readStore("config/accounts/town")["items"][0]["value"];
	const json spec{{"keyHashes", {sha256Hex("key-next")}}, {"allowed", {"small", "large"}}};
	ASSERT_EQ(system.put(1, "accounts", "town", spec).status, 200);
	EXPECT_TRUE(eventually([&] { return system.chat(0, {}).status == 401; }, 10));
	system.writeStore("config/accounts/town.bak", copy);
	pause(1000);
	EXPECT_EQ(system.chat(0, {}).status, 401);
	EXPECT_EQ(system.chat(1, {}).status, 401);
}

// A router that starts blank beside such resources reads the others.
TEST(ForeignRecord, AmongTheResourcesDoesNotKeepARouterFromStarting)
{
	System system{SystemShape{}};
	system.declareBasics();
	for (size_t ii = 0; ii < kNoResources.size(); ++ii)
	{
		system.writeStore(fmt::format("config/accounts/other-{}", ii), kNoResources[ii]);
	}
	system.killHard("router-0");
	system.start("router-0");
	EXPECT_TRUE(eventually([&] { return system.chat(0, {}).status == 200; }, 10));
}

// One box that could not be read ended the reading of the list: a router linked no agent that was listed
// after it.
TEST(ForeignRecord, InTheListOfBoxesHidesNoOtherBox)
{
	System system{SystemShape{}};
	system.declareBasics();
	for (const json& box :
		 {json(7), json::array(), json(nullptr), json{{"box", 7}, {"role", "agent"}},
		  json{{"box", "other"}, {"role", "agent"}, {"link", "127.0.0.1:9\n"}, {"state", "live"}},
		  json{{"box", "other"}, {"role", "agent"}, {"link", "nowhere"}, {"state", "live"}},
		  json{{"box", "other"}, {"role", "agent"}, {"state", "live"}}, json{{"role", "router"}}})
	{
		system.addBox(box);
	}
	system.killHard("router-0");
	system.start("router-0");
	EXPECT_TRUE(eventually([&] { return system.chat(0, {}).status == 200; }, 10));
}

/// @returns JSON that is nested deeper than the stack of a fiber bears a call for each level.
std::string deepArray()
{
	constexpr size_t kDeep = 20000;
	return std::string(kDeep, '[') + std::string(kDeep, ']');
}

// A resource that was nested deeply overflowed the stack of each router that read it: they ended, and ended
// again as they started.
TEST(ForeignRecord, ThatIsNestedDeeplyEndsNoRouter)
{
	System system{SystemShape{}};
	system.declareBasics();
	for (const std::string& value : {deepArray(), std::string("1e999")})
	{
		system.writeStore("config/accounts/other-" + std::to_string(value.size()),
						  R"({"kind":"accounts","name":"other","spec":{"allowed":)" + value + "}}");
	}
	pause(1000);
	EXPECT_EQ(system.chat(0, {}).status, 200);
	EXPECT_EQ(system.chat(1, {}).status, 200);
	system.killHard("router-0");
	system.start("router-0");
	EXPECT_TRUE(eventually([&] { return system.chat(0, {}).status == 200; }, 10));
}

// One box with a number out of range spoiled the whole list, and the log line on one that is nested deeply
// overflowed the stack of each process that read it.
TEST(ForeignRecord, ThatIsNestedDeeplyOrHasANumberOutOfRangeHidesNoOtherBox)
{
	const std::string sound = R"({"box":"b","role":"agent","link":"127.0.0.1:9","state":"live"})";
	HttpServer platform;
	std::string list;
	platform.handler = [&list](HttpExchange& _exchange) {
		_exchange.respond({200, {}, list});
	};
	HttpClient client;
	client.io = &testIo();
	client.endpoint = {"127.0.0.1", startHttpServer(testIo(), platform, {"127.0.0.1", 0})};
	const std::string deep(200000, '[');
	for (const std::string& other :
		 {deep + std::string(deep.size(), ']'), R"({"box":)" + deep + std::string(deep.size(), ']') + "}",
		  std::string("1e999"), std::string(R"({"box":"c","role":"router","cores":1e999})"),
		  std::string(R"({"box":"c","role":"agent","link":"127.0.0.1:70000"})"),
		  std::string(R"({"box":"c","role":"agent","link":"127.0.0.1:99999999999999999999999"})"),
		  std::string(R"({"box":"c","role":"agent","link":"127.0.0.1:-1"})")})
	{
		list = fmt::format("[{},{}]", other, sound);
		const std::vector<BoxEntry> boxes = readBoxList(client);
		ASSERT_EQ(boxes.size(), 1u) << other.substr(0, 80);
		EXPECT_EQ(boxes[0].box, "b");
	}
	list = "[]";
	EXPECT_TRUE(readBoxList(client).empty());
	list = "{}";
	EXPECT_THROW(readBoxList(client), Failure);
	client.idle.clear();
	stopListening(platform);
	EXPECT_TRUE(eventually([&] { return platform.connections == 0 && !platform.accepting; }));
}

/// A system of one engine with two slots and one service.
SystemShape smallShape()
{
	SystemShape shape;
	shape.routers = 1;
	shape.engines = 1;
	shape.services = 1;
	shape.slots = 2;
	return shape;
}

// An engine that told its usage in another type ended the agent's call without an answer: the caller got a
// 408, and the slot was never free again.
TEST(OddUpstream, WhoseUsageCantBeReadIsAnsweredAndKeepsItsSlots)
{
	System system(smallShape());
	system.declareBasics();
	for (const json& usage :
		 {json{{"prompt_tokens", nullptr}, {"completion_tokens", nullptr}},
		  json{{"prompt_tokens", "12"}, {"completion_tokens", 4}, {"confidence", "high"}},
		  json{{"prompt_tokens", -1}, {"completion_tokens", 1.5}}, json(7), json::array()})
	{
		system.engineFault(0, {{"usage", usage}});
		for (const bool stream : {false, true})
		{
			ChatOptions options;
			options.stream = stream;
			options.deadlineMs = 2000;
			const Answer answer = system.chat(0, options);
			EXPECT_EQ(answer.status, 200) << usage << (stream ? " stream" : "") << answer.body;
			EXPECT_FALSE(answer.cut) << usage;
		}
	}
}

// The log line on usage that is nested deeply overflowed the stack of the agent.
TEST(OddUpstream, WhoseUsageIsNestedDeeplyEndsNoAgent)
{
	HttpServer engine;
	const std::string deep(200000, '[');
	engine.handler = [&deep](HttpExchange& _exchange) {
		_exchange.respond({200, {}, R"({"usage":)" + deep + std::string(deep.size(), ']') + "}"});
	};
	HttpClient client;
	client.io = &testIo();
	client.endpoint = {"127.0.0.1", startHttpServer(testIo(), engine, {"127.0.0.1", 0})};
	Submit submit;
	submit.version = "small@1";
	submit.body = R"({"model":"small","messages":[]})";
	UpstreamHandlers handlers;
	handlers.onStart = [](int, const std::string&) {
	};
	handlers.onPart = [](const std::string&) {
	};
	HttpCancel cancel;
	EXPECT_EQ(forwardWork(client, submit, 5000, handlers, cancel).outputTokens, 0u);
	client.idle.clear();
	stopListening(engine);
	EXPECT_TRUE(eventually([&] { return engine.connections == 0 && !engine.accepting; }));
}

// A prompt that was nested deeply overflowed the stack of the router that took it.
TEST(OddRequest, ThatIsNestedDeeplyIsRefusedAndEndsNoRouter)
{
	System system(smallShape());
	system.declareBasics();
	const std::string body =
		R"({"model":"small","messages":[{"role":"user","content":)" + deepArray() + R"(},{"role":"user"}]})";
	const Answer answer = system.http(system.routerAddress(0), "POST", "/v1/chat/completions", body,
									  {{"Authorization", "Bearer key-town"}});
	EXPECT_EQ(answer.status, 400) << answer.body;
	EXPECT_EQ(system.chat(0, {}).status, 200);
}

/// @returns What a router answers to a head that is sent as it is.
std::string sendRaw(System& _system, const std::string& _bytes)
{
	using boost::asio::ip::tcp;
	const Endpoint router = parseEndpoint(_system.routerAddress(0));
	tcp::socket caller(testIo());
	caller.connect({boost::asio::ip::make_address(router.ip), router.port});
	boost::asio::write(caller, boost::asio::buffer(_bytes));
	std::string answer;
	awaitIo([&](auto _done) { boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer), _done); });
	return answer;
}

// A method that the HTTP library has no name for was left out: the service answered 400 to what it got.
TEST(OddRequest, WithAnUnknownMethodIsForwardedAsItCame)
{
	System system(smallShape());
	system.declareBasics();
	for (int ii = 0; ii < 4; ++ii)
	{
		const std::string answer =
			sendRaw(system, fmt::format("BREW /v1/services/orders/x HTTP/1.1\r\nHost: a\r\n"
										"Authorization: Bearer key-town\r\nX-Spanplank-Deadline-Ms: 2000\r\n"
										"Idempotency-Key: odd-{}\r\nConnection: close\r\n\r\n",
										ii));
		EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200") << answer;
	}
	EXPECT_EQ(system.callService(0, "after").status, 200);
}
} // namespace
} // namespace spanplank
