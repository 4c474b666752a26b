/// What must run for as long as the process lives goes on after a failure.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>
#include <stdexcept>

#include "direct_harness.h"
#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "link_p.h"
#include "platform/store_protocol_p.h"
#include "ports.h"
#include "spanplank/config.h"
#include "spanplank/crash_suspects.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kSoonS = 5;

std::ptrdiff_t countItems(const StandInStore& _store, const std::string& _prefix)
{
	return std::count_if(_store.items.begin(), _store.items.end(), [&_prefix](const auto& _item) {
		return _item.first.compare(0, _prefix.size(), _prefix) == 0;
	});
}

// An exception of one completion handler left the scheduler, which may not throw: the process ended.
TEST(EventLoop, AHandlerThatThrowsDoesNotEndTheProcess)
{
	bool next = false;
	boost::asio::post(testIo(), [] { throw std::runtime_error("a handler's failure"); });
	boost::asio::post(testIo(), [&next] { next = true; });
	EXPECT_TRUE(eventually([&next] { return next; }, kSoonS));
}

TEST(KeepRunning, ABodyThatThrowsRunsAnewUntilItReturns)
{
	testIo();
	int runs = 0;
	keepRunning("failing", [&runs] {
		noteIteration();
		if (++runs <= 3)
		{
			throw std::runtime_error("a step's failure");
		}
	});
	EXPECT_TRUE(eventually([&runs] { return runs == 4; }, kSoonS));
	EXPECT_EQ(persistentFibers().at("failing").failures, 3u);
	logStalledFibers();
	EXPECT_FALSE(persistentFibers().at("failing").stalled);
	skipTime(kMaxIterationTime + kMsToUs);
	logStalledFibers();
	EXPECT_TRUE(persistentFibers().at("failing").stalled) << "no iteration since";
}

uint32_t s_soundCalls = 0; ///< Answers that are read between two that fail; 0: all are.
uint32_t s_sinceFailure = 0;

/// Fails in a way that no caller of the store's client expects.
const HttpResponse& failedAtTimes(const HttpResponse& _response)
{
	if (s_soundCalls != 0 && ++s_sinceFailure > s_soundCalls)
	{
		s_sinceFailure = 0;
		throw std::runtime_error("no failure of the store");
	}
	return _response;
}

const StoreProtocol& failingProtocol()
{
	static StoreProtocol s_protocol = [] {
		StoreProtocol protocol = platform::storeProtocol();
		protocol.decodeRead = [](const HttpResponse& _response) {
			return platform::storeProtocol().decodeRead(failedAtTimes(_response));
		};
		protocol.decodeList = [](const HttpResponse& _response) {
			return platform::storeProtocol().decodeList(failedAtTimes(_response));
		};
		protocol.decodeWatch = [](const HttpResponse& _response) {
			return platform::storeProtocol().decodeWatch(failedAtTimes(_response));
		};
		protocol.decodeWrite = [](const HttpResponse& _response, uint64_t& _revision) {
			return platform::storeProtocol().decodeWrite(failedAtTimes(_response), _revision);
		};
		protocol.decodeLease = [](const HttpResponse& _response, uint64_t _lease) {
			return platform::storeProtocol().decodeLease(failedAtTimes(_response), _lease);
		};
		return protocol;
	}();
	return s_protocol;
}

/// Follows a store by a client whose calls fail, some sound ones between two failures.
/// @returns Whether a router does afterwards all that it has to do.
bool recoversFromFailingCalls()
{
	constexpr uint32_t kEachMs = 1500;
	StandInStore store;
	DirectSettings settings;
	settings.box = "router-a";
	settings.hall = "hall-a";
	settings.link = {loopbackIp(), freePort()};
	auto* router = new DirectRouter("", settings);
	installFiberScheduler(router->io);
	nlohmann::json config = basicConfig("key");
	setItem(store, "op/config", config.dump());
	setItem(store, "op/rollout/app", R"({"service":"app","target_version":"v2","duration_s":600})");
	store.http.handler = [&store](HttpExchange& _exchange) {
		answerStoreCall(store, _exchange);
	};
	settings.store = {loopbackIp(), startHttpServer(router->io, store.http, {loopbackIp(), 0})};
	router->store.http.endpoint = settings.store;
	router->store.protocol = &failingProtocol();
	followStore(*router);
	for (s_soundCalls = 5; s_soundCalls > 0; --s_soundCalls)
	{
		for (auto& [lease, until] : store.leases)
		{
			until = monotonicNow(); // The router registers again.
		}
		sleepFor(kEachMs);
	}
	config["version"] = config["version"].get<uint64_t>() + 1;
	setItem(store, "op/config", config.dump());
	const auto progress = store.items.find("spanplank/rollout/app");
	const uint64_t written = progress == store.items.end() ? 0 : progress->second.revision;
	return eventually(
		[&] {
			const auto later = store.items.find("spanplank/rollout/app");
			return router->config.config->version == config["version"].get<uint64_t>() &&
				   countItems(store, "spanplank/router/") == 1 && later != store.items.end() &&
				   later->second.revision > written;
		},
		3 * kSoonS);
}

// An exception that the loops do not expect ended them for good: a router that was frozen as it connected to
// the store followed it no longer, and was ready all the time.
TEST(KeepRunning, NoCallOfTheStoreThatThrowsEndsTheWorkThatMadeIt)
{
	testing::FLAGS_gtest_death_test_style =
		"threadsafe"; // In a process of its own, which ends with its fibers.
	EXPECT_EXIT(std::_Exit(recoversFromFailingCalls() ? 0 : 1), testing::ExitedWithCode(0), "");
}

/// A hub with the links of one end, which lives as long as the process, as all hubs do.
struct HubEnd
{
	LinkHub* hub = nullptr;
	Endpoint address{loopbackIp(), 0};
	std::set<uint32_t> open;
	uint32_t opened = 0;
	bool closesOthers = false; ///< The end of one link closes all others.

	explicit HubEnd(const std::string& _box)
	{
		LinkInit init;
		init.self.role = "router";
		init.self.box = _box;
		init.self.incarnation = _box + ".1";
		init.keys = {"a-link-key-of-32-characters-1234"};
		init.handlers.onOpen = [this](LinkId _link, const PeerInfo&) {
			open.insert(_link.idx);
			++opened;
		};
		init.handlers.onMessage = [](LinkId, const LinkMessage&) {
		};
		init.handlers.onClose = [this](LinkId _link) {
			open.erase(_link.idx);
			while (closesOthers && !open.empty())
			{
				hub->close(LinkId{*open.begin()});
			}
		};
		hub = new LinkHub(testIo(), std::move(init));
		address.port = hub->listen(address);
	}
};

// Links that fell silent together were closed one by one, and where the end of one had closed another, that
// one was looked up in vain: the fiber that opens links ended, and a router that was cut off stayed unlinked.
TEST(Links, ThatFallSilentTogetherAreOpenedAgainWhereOneEndsAnother)
{
	auto* near = new HubEnd("near");
	auto* first = new HubEnd("first");
	auto* second = new HubEnd("second");
	near->closesOthers = true;
	near->hub->connect(first->address);
	near->hub->connect(second->address);
	ASSERT_TRUE(eventually([near] { return near->open.size() == 2; }, kSoonS));
	skipTime(TimeUs(kLinkSilenceMs + 1000) * kMsToUs);
	EXPECT_TRUE(eventually([near] { return near->opened >= 4; }, kSoonS));
	near->closesOthers = false;
	for (HubEnd* end : {near, first, second})
	{
		end->hub->end();
	}
}

// A router whose port for links was taken as it started, by the process before it, never linked and
// registered.
TEST(Links, OfARouterWhosePortIsTakenAtItsStartAreOpenOnceItIsFree)
{
	boost::asio::ip::tcp::acceptor taken(testIo(), {boost::asio::ip::make_address(loopbackIp()), 0});
	DirectSystem system(fmt::format("link: {}\n", loopback(taken.local_endpoint().port())));
	system.addUpstream("u-one", "app");
	system.startReady(1);
	const auto registered = [&system] {
		return countItems(system.store, "spanplank/router/") == 1;
	};
	sleepFor(1500);
	EXPECT_FALSE(registered()) << "nothing listens where others would link to";
	taken.close();
	EXPECT_TRUE(eventually(registered, kSoonS)) << system.log();
}

/// A router with one upstream, which ends under each request and starts again.
struct RefusedRequest : testing::Test
{
	DirectSystem system;
	StandInUpstream& only = system.addUpstream("u-only", "app");

	RefusedRequest()
	{
		only.born = 1700000000000;
		system.registerUpstream(only);
		system.startReady(1);
		only.answer = [](StandInUpstream&, HttpExchange& _exchange) {
			_exchange.abort();
		};
	}

	/// Sends a request until it is refused. @returns The last status.
	int sendUntilRefused(const std::string& _path)
	{
		constexpr int kMostCrashes = 12; // Three, and more where others have ended upstreams lately.
		int status = system.call("POST", _path).status;
		for (int crash = 0; crash < kMostCrashes && status != 503; ++crash)
		{
			only.born += 1000;
			system.registerUpstream(only);
			EXPECT_TRUE(eventually([this] {
				return system.log().find(fmt::format(
						   "event=upstream_restarted upstream=\"u-only\" born=\"{}\"", only.born)) !=
					   std::string::npos;
			}));
			status = system.call("POST", _path).status;
		}
		return status;
	}

	bool areStored(std::ptrdiff_t _suspects)
	{
		return eventually([&] { return countItems(system.store, "spanplank/suspect/") >= _suspects; },
						  kSoonS);
	}
};

// A request whose path is not UTF-8 was refused as one that ends upstreams, and telling the store of it ended
// the fiber that does so: no later one was written, and a router that started blank sent it to upstreams
// again.
TEST_F(RefusedRequest, WhosePathIsNotUtf8KeepsNoOtherOneFromTheStore)
{
	EXPECT_EQ(sendUntilRefused("/once/\xff"), 503);
	sleepFor(1000);
	EXPECT_EQ(sendUntilRefused("/once/end"), 503);
	EXPECT_TRUE(areStored(1)) << system.log();
}

// Such a request reached upstreams again after each start of a router, and the page of suspects failed.
TEST_F(RefusedRequest, WhosePathIsNotUtf8IsRefusedByARouterThatStartsBlank)
{
	// The label is cut within a character.
	const std::string cut = "/once/" + std::string(kMaxLabelBytes, 'a') + "\xe2\x82\xac";
	const std::string odd = "/once/\xe0";
	EXPECT_EQ(sendUntilRefused(cut), 503);
	EXPECT_EQ(sendUntilRefused(odd), 503);
	EXPECT_TRUE(areStored(2)) << system.log();
	const HttpResponse page = system.askMetrics("/suspects");
	EXPECT_EQ(page.status, 200);
	EXPECT_NE(page.body.find("\\\\xe0"), std::string::npos) << page.body;
	system.killHard();
	system.startReady(1);
	const size_t before = only.requests.size();
	EXPECT_EQ(system.call("POST", odd).status, 503);
	EXPECT_EQ(system.call("POST", cut).status, 503);
	EXPECT_EQ(only.requests.size(), before);
}
} // namespace
} // namespace spanplank
