/// Randomized fault soak of the direct mode: real routers as separate processes, stand-ins of the platform's
/// store and of upstreams, proxies between them that do harm, signals, restarts. Checks the promises while it
/// runs, from what callers and upstreams see. Usage: soak --seed N --seconds S. Exit 1: a promise was broken;
/// the seed, the schedule of faults and the routers' logs are printed or kept.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <set>
#include <unistd.h>

#include "direct_harness.h"
#include "fault_proxy.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"
#include "spanplank/types.h"

ABSL_FLAG(uint64_t, seed, 1, "of the schedule of faults and of the load");
ABSL_FLAG(uint32_t, seconds, 20, "how long callers and faults go on");
ABSL_FLAG(uint32_t, routers, 3, "router processes");
ABSL_FLAG(uint32_t, callers, 8, "callers, each with one kept connection");
ABSL_FLAG(std::string, mutant, "", "a check to prove: `twice` lets upstreams run a rejected request");

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr uint32_t kGraceMs = 4000;
constexpr uint32_t kRevokeMs = 3000;
constexpr uint32_t kLeaveMs = 2000;
constexpr uint32_t kReturnWaitMs = 3000;        ///< Ejections and back-off end by then.
constexpr TimeUs kCallerSlack = 1500 * kMsToUs; ///< Of this machine: many processes share its cores.
// Status codes, apart from the router's own names: the checks must not follow a change of those.
constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kNotRunPromises[] = {503, 429, 408,
								   kMisdirected}; ///< Tell callers that the request has not run.
constexpr uint32_t kCallTimeoutMs = 8000;         ///< Of a caller: far over every deadline.
constexpr uint32_t kDeadlineMs = 3000;            ///< That callers state.
constexpr uint32_t kCallsOnOne = 20;      ///< Requests on one connection, before the next router is called.
constexpr uint32_t kRecoveryS = 15;       ///< Longest wait until a request is served after the faults.
constexpr uint32_t kStopWaitS = 6;        ///< Over the grace, until a router must have ended.
constexpr double kRejectChance = 0.05;    ///< Of an upstream: it has not run the request.
constexpr double kCutChance = 0.02;       ///< Of an upstream: it ran the request and cuts the connection.
constexpr double kCutEventsChance = 0.05; ///< Of an upstream: it cuts a stream at its last event.
constexpr double kNewKeyChance = 0.3;     ///< Of a caller: it uses the key that may be removed.
const std::string kKeptKey = "kept-key";
const std::string kHost = "town.example";

/// What became of one request, from both ends.
struct RequestRecord
{
	std::string path;
	uint32_t runs = 0;       ///< Upstreams that began to work on it.
	bool toldNotRun = false; ///< The caller got a status that promises so.
	TimeUs sentAt = 0;
	std::string key;
};

struct SoakUpstream
{
	StandInUpstream* upstream = nullptr;
	FaultProxy proxy;
	TimeUs leavingSince = 0; ///< 0: it does not leave.
};

struct SoakRouter
{
	std::unique_ptr<RouterProcess> process;
	FaultProxy toStore;
	FaultProxy toLink;      ///< Before its links: the other routers come through it.
	TimeUs disturbedAt = 0; ///< When it or its path to the store was last harmed.
	bool paused = false;
	bool stopping = false;
};

struct Soak
{
	uint64_t seed = 0;
	Random random;
	std::string dir;
	StandInStore store;
	json config;
	std::string storeAddress;
	std::vector<std::unique_ptr<StandInUpstream>> upstreams;
	std::vector<std::unique_ptr<SoakUpstream>> ends;
	std::vector<std::unique_ptr<SoakRouter>> routers;
	std::map<std::string, RequestRecord> requests;
	std::map<std::string, TimeUs> revokedAt;
	std::vector<std::string> broken;
	std::map<std::string, uint64_t> outcomes;
	TimeUs storeHarmedAt = 0;
	TimeUs until = 0;
	TimeUs startedAt = 0;
	uint64_t nextRequest = 1;
	uint32_t nextUpstream = 0;
	uint32_t callersLeft = 0;
};

double elapsed(const Soak& _soak)
{
	return double(monotonicNow() - _soak.startedAt) / double(kSecond);
}

void breach(Soak& _soak, const std::string& _what)
{
	_soak.broken.push_back(fmt::format("{:.3f} s: {}", elapsed(_soak), _what));
	fmt::print("BROKEN {}\n", _soak.broken.back());
}

void note(const Soak& _soak, const std::string& _what)
{
	fmt::print("{:.3f} s: {}\n", elapsed(_soak), _what);
}

uint32_t below(Soak& _soak, uint32_t _bound)
{
	return uint32_t(nextRandom(_soak.random) % _bound);
}

bool happens(Soak& _soak, double _chance)
{
	return nextUnit(_soak.random) < _chance;
}

// ---- Upstreams --------------------------------------------------------------------------------------------

void checkArrival(Soak& _soak, SoakUpstream& _end, RequestRecord& _record)
{
	++_record.runs;
	if (_record.path == "/once/" && _record.runs > 1)
	{
		breach(_soak, "a request that can't be repeated ran twice");
	}
	if (_record.toldNotRun)
	{
		breach(_soak, "a request ran after its caller was told that it has not run and never will");
	}
	const auto revoked = _soak.revokedAt.find(_record.key);
	if (revoked != _soak.revokedAt.end() && _record.sentAt > revoked->second + kRevokeMs * kMsToUs)
	{
		breach(_soak, "a request ran with a key that was removed longer ago than the bound");
	}
	const TimeUs calm =
		std::max(_soak.storeHarmedAt, _end.leavingSince) + TimeUs(kLeaveMs) * kMsToUs + kCallerSlack;
	bool disturbed = false;
	for (const auto& router : _soak.routers)
	{
		disturbed = disturbed || monotonicNow() - router->disturbedAt < 2 * TimeUs(kLeaveMs) * kMsToUs;
	}
	if (_end.leavingSince != 0 && !disturbed && monotonicNow() > calm)
	{
		breach(_soak, "an upstream that has been leaving for longer than the bound got work");
	}
}

void answerAs(Soak& _soak, SoakUpstream& _end, HttpExchange& _exchange)
{
	const HttpRequest& request = _exchange.request();
	if (std::string(request["Expect-Instance"]) != _end.upstream->id)
	{
		_exchange.respond({kMisdirected, {{"Instance-Id", _end.upstream->id}}, ""});
		return;
	}
	if (happens(_soak, kRejectChance) && absl::GetFlag(FLAGS_mutant) != "twice")
	{
		answerNotRun(_exchange);
		return;
	}
	const std::string id(request["Request-Id"]);
	const auto found = _soak.requests.find(id);
	if (found == _soak.requests.end())
	{
		breach(_soak, "a request came that no caller sent");
		return;
	}
	checkArrival(_soak, _end, found->second);
	if (absl::GetFlag(FLAGS_mutant) == "twice" && happens(_soak, kRejectChance))
	{
		answerNotRun(_exchange);
		return;
	}
	if (happens(_soak, kCutChance))
	{
		_exchange.abort();
		return;
	}
	if (found->second.path == "/chat/")
	{
		answerEvents(*_end.upstream, _exchange, int(5 + below(_soak, 20)), 1 + below(_soak, 15),
					 happens(_soak, kCutEventsChance), double(below(_soak, 101)));
		return;
	}
	sleepFor(1 + below(_soak, 30));
	answerWell(*_end.upstream, _exchange, "answer to " + id);
}

void registerEnd(Soak& _soak, const SoakUpstream& _end)
{
	setItem(_soak.store, "servers/" + _end.upstream->id,
			json{{"service", _end.upstream->service},
				 {"address", _end.proxy.address},
				 {"zone", "hall-a"},
				 {"version", "v1"},
				 {"slots", 16},
				 {"state", _end.leavingSince != 0 ? "draining" : "ready"}}
				.dump());
}

void addEnd(Soak& _soak, const std::string& _service)
{
	_soak.upstreams.push_back(std::make_unique<StandInUpstream>());
	_soak.ends.push_back(std::make_unique<SoakUpstream>());
	SoakUpstream& end = *_soak.ends.back();
	end.upstream = _soak.upstreams.back().get();
	end.upstream->id = fmt::format("u-{}", _soak.nextUpstream++);
	end.upstream->service = _service;
	end.upstream->http.handler = [&_soak, &end](HttpExchange& _exchange) {
		answerAs(_soak, end, _exchange);
	};
	startProxy(end.proxy, loopback(startHttpServer(testIo(), end.upstream->http, {"127.0.0.1", 0})));
	registerEnd(_soak, end);
}

// ---- Callers ----------------------------------------------------------------------------------------------

/// @returns Whether the ids of the events rise by one from the first to the last.
bool inOrder(const std::string& _body)
{
	int last = -1;
	for (size_t at = _body.find("id: "); at != std::string::npos; at = _body.find("id: ", at + 1))
	{
		const int id = std::stoi(_body.substr(at + 4));
		if (id != last + 1)
		{
			return false;
		}
		last = id;
	}
	return true;
}

std::vector<HttpHeader> headersOf(const std::string& _id, const std::string& _key)
{
	return {{"Host", kHost},
			{"Request-Id", _id},
			{"Deadline-Remaining", std::to_string(kDeadlineMs)},
			{"Key", _key}};
}

HttpCall requestFor(Soak& _soak, const std::string& _id, RequestRecord& _record)
{
	const uint32_t kind = below(_soak, 3);
	_record.path = kind == 0 ? "/plain/" : kind == 1 ? "/once/" : "/chat/";
	_record.key = kKeptKey;
	if (happens(_soak, kNewKeyChance) && _soak.config["tenants"][0]["api_keys"].size() > 1)
	{
		_record.key = _soak.config["tenants"][0]["api_keys"].back();
	}
	_record.sentAt = monotonicNow();
	HttpCall call;
	call.method = kind == 0 ? "GET" : "POST";
	call.target = _record.path + "x";
	call.body = kind == 0 ? "" : std::string(1 + below(_soak, 20000), 'b');
	call.timeoutMs = kCallTimeoutMs;
	call.headers = headersOf(_id, _record.key);
	if (kind == 2)
	{
		call.headers.push_back({"Model", "*"});
		call.headers.push_back({"Token-Counts", "900,40"});
		call.headers.push_back({"Prompt-Prefix", fmt::format("aa:500,b{}:300,c:100", below(_soak, 5))});
	}
	return call;
}

void checkAnswer(Soak& _soak, const std::string& _id, RequestRecord& _record, const HttpResponse& _answer)
{
	const bool promise =
		std::count(std::begin(kNotRunPromises), std::end(kNotRunPromises), _answer.status) != 0;
	if (promise && _record.runs > 0)
	{
		breach(_soak, "a caller was told that its request has not run, but it had");
	}
	_record.toldNotRun = promise;
	if (_answer.status != kOk)
	{
		return;
	}
	if (_record.runs == 0)
	{
		breach(_soak, "a caller got an answer that no upstream made");
	}
	if (_record.path == "/chat/" ? !inOrder(_answer.body) : _answer.body != "answer to " + _id)
	{
		breach(_soak, "a caller got an answer that is not its own, not whole or not in order");
	}
}

/// Uses one connection until the router closes it, then another router's.
void callOn(Soak& _soak, uint32_t _caller)
{
	HttpClient client;
	client.io = &testIo();
	while (monotonicNow() < _soak.until)
	{
		const auto& router = *_soak.routers[below(_soak, uint32_t(_soak.routers.size()))];
		client.endpoint = parseEndpoint(router.process->listen());
		client.idle.clear();
		for (uint32_t ii = 0; ii < kCallsOnOne && monotonicNow() < _soak.until; ++ii)
		{
			const std::string id = fmt::format("r-{}-{}", _caller, _soak.nextRequest++);
			RequestRecord& record = _soak.requests[id];
			const HttpCall request = requestFor(_soak, id, record);
			try
			{
				const HttpResponse answer = call(client, request);
				++_soak.outcomes[std::to_string(answer.status)];
				checkAnswer(_soak, id, record, answer);
			}
			catch (const HttpFailure& failure)
			{
				++_soak.outcomes[failure.sent() ? "cut" : "no connection"];
				if (monotonicNow() - record.sentAt > kDeadlineMs * kMsToUs + 2 * kCallerSlack &&
					!router.paused)
				{
					++_soak.outcomes["late"];
				}
				break;
			}
			sleepFor(below(_soak, 40));
		}
	}
	--_soak.callersLeft;
}

// ---- Faults -----------------------------------------------------------------------------------------------

void writeConfig(Soak& _soak)
{
	_soak.config["version"] = _soak.config["version"].get<uint64_t>() + 1 + below(_soak, 5);
	setItem(_soak.store, "op/config", _soak.config.dump());
}

void changeKeys(Soak& _soak)
{
	json& keys = _soak.config["tenants"][0]["api_keys"];
	if (keys.size() > 1)
	{
		const std::string removed = keys.back();
		keys.erase(keys.size() - 1);
		writeConfig(_soak);
		_soak.revokedAt[removed] = monotonicNow();
		note(_soak, "a key is removed");
		return;
	}
	keys.push_back(fmt::format("key-{}", _soak.nextRequest++));
	writeConfig(_soak);
	note(_soak, "a key is added");
}

/// A planned stop, which must end within the grace, and a start.
void restartPlanned(Soak& _soak, SoakRouter& _router)
{
	_router.stopping = true;
	_router.process->signal(SIGTERM);
	if (!eventually([&] { return _router.process->hasEnded(); }, kGraceMs / 1000 + kStopWaitS))
	{
		breach(_soak, "a router did not end within its grace");
		_router.process->killHard();
	}
	_router.process->start();
	_router.stopping = false;
}

void harmRouter(Soak& _soak)
{
	const uint32_t idx = below(_soak, uint32_t(_soak.routers.size()));
	SoakRouter& router = *_soak.routers[idx];
	if (router.paused || router.stopping)
	{
		return;
	}
	const uint32_t lasts = 200 + below(_soak, 3000);
	router.disturbedAt = monotonicNow() + TimeUs(lasts) * kMsToUs;
	switch (below(_soak, 4))
	{
	case 0:
		note(_soak, fmt::format("router {} is killed and started", idx));
		router.process->killHard();
		sleepFor(below(_soak, 500));
		router.process->start();
		break;
	case 1:
		note(_soak, fmt::format("router {} is paused for {} ms", idx, lasts));
		router.paused = true;
		router.process->signal(SIGSTOP);
		sleepFor(lasts);
		router.process->signal(SIGCONT);
		router.paused = false;
		break;
	case 2:
		note(_soak, fmt::format("router {} is asked to stop", idx));
		restartPlanned(_soak, router);
		break;
	default:
		note(_soak, fmt::format("router {} gets SIGHUP", idx));
		router.process->signal(SIGHUP);
		break;
	}
	router.disturbedAt = std::max(router.disturbedAt, monotonicNow());
}

void harmProxy(Soak& _soak, FaultProxy& _proxy, const std::string& _what)
{
	const auto fault = ProxyFault(1 + below(_soak, 5));
	const uint32_t lasts = 100 + below(_soak, 2500);
	note(_soak, fmt::format("{}: {} for {} ms", _what, name(fault), lasts));
	_proxy.delayMs = 1 + below(_soak, 200);
	_proxy.fault = fault;
	if (happens(_soak, 0.5))
	{
		resetConnections(_proxy);
	}
	sleepFor(lasts);
	_proxy.fault = ProxyFault::None;
	resetConnections(_proxy); // What was dropped is lost: the connections can't go on.
}

void harmStore(Soak& _soak)
{
	const uint32_t lasts = 100 + below(_soak, 4000);
	_soak.storeHarmedAt = monotonicNow() + TimeUs(lasts) * kMsToUs;
	if (happens(_soak, 0.3))
	{
		note(_soak, "the store forgets its history");
		forgetHistory(_soak.store);
		return;
	}
	_soak.store.fault = StandInStore::Fault(1 + below(_soak, 3));
	note(_soak, fmt::format("the store is down ({}) for {} ms", int(_soak.store.fault), lasts));
	sleepFor(lasts);
	_soak.store.fault = StandInStore::Fault::None;
}

/// A new upstream starts, an old one leaves and ends.
void replaceUpstream(Soak& _soak)
{
	const uint32_t idx = below(_soak, uint32_t(_soak.ends.size()));
	SoakUpstream& end = *_soak.ends[idx];
	if (end.leavingSince != 0)
	{
		return;
	}
	note(_soak, fmt::format("{} leaves", end.upstream->id));
	addEnd(_soak, end.upstream->service);
	end.leavingSince = monotonicNow();
	registerEnd(_soak, end);
	sleepFor(kLeaveMs + 3000);
	removeItem(_soak.store, "servers/" + end.upstream->id);
}

void harmOnce(Soak& _soak)
{
	switch (below(_soak, 7))
	{
	case 0:
	case 1:
		harmRouter(_soak);
		break;
	case 2:
	{
		SoakUpstream& end = *_soak.ends[below(_soak, uint32_t(_soak.ends.size()))];
		harmProxy(_soak, end.proxy, "path to " + end.upstream->id);
		break;
	}
	case 3:
	{
		const uint32_t idx = below(_soak, uint32_t(_soak.routers.size()));
		_soak.routers[idx]->disturbedAt = monotonicNow() + 3 * kSecond;
		harmProxy(_soak, _soak.routers[idx]->toStore, fmt::format("path of router {} to the store", idx));
		break;
	}
	case 4:
		harmStore(_soak);
		break;
	case 5:
	{
		// No excuse for any router: whoever follows one that is not reached must notice in time.
		const uint32_t idx = below(_soak, uint32_t(_soak.routers.size()));
		harmProxy(_soak, _soak.routers[idx]->toLink, fmt::format("links to router {}", idx));
		break;
	}
	default:
		happens(_soak, 0.4) ? replaceUpstream(_soak) : changeKeys(_soak);
		break;
	}
}

void harmOn(Soak& _soak)
{
	while (monotonicNow() < _soak.until)
	{
		sleepFor(below(_soak, 800));
		harmOnce(_soak);
	}
}

// ---- The run ----------------------------------------------------------------------------------------------

void startAll(Soak& _soak)
{
	_soak.config = basicConfig(kKeptKey);
	writeConfig(_soak);
	_soak.store.http.handler = [&_soak](HttpExchange& _exchange) {
		answerStoreCall(_soak.store, _exchange);
	};
	_soak.storeAddress = loopback(startHttpServer(testIo(), _soak.store.http, {"127.0.0.1", 0}));
	for (const char* service : {"app", "app", "app", "engines", "engines", "engines", "engines"})
	{
		addEnd(_soak, service);
	}
	for (uint32_t ii = 0; ii < absl::GetFlag(FLAGS_routers); ++ii)
	{
		_soak.routers.push_back(std::make_unique<SoakRouter>());
		SoakRouter& router = *_soak.routers.back();
		startProxy(router.toStore, _soak.storeAddress);
		const std::string link = loopback(freePort());
		startProxy(router.toLink, link);
		router.process = std::make_unique<RouterProcess>(
			_soak.dir, fmt::format("router-{}", ii), router.toStore.address,
			fmt::format("graceSeconds: {}\nrevokeMs: {}\nleaveMs: {}\nlink: {}\nlinkAnnounced: {}\n",
						double(kGraceMs) / 1000.0, kRevokeMs, kLeaveMs, link, router.toLink.address));
		router.process->start();
	}
	for (const auto& router : _soak.routers)
	{
		eventually([&] { return router->process->isReady(); });
	}
}

/// @returns Whether a router answers a request of a path whole.
bool isServed(Soak& _soak, const SoakRouter& _router, const char* _path)
{
	HttpClient client;
	client.io = &testIo();
	client.endpoint = parseEndpoint(_router.process->listen());
	const std::string id = fmt::format("r-end-{}", _soak.nextRequest++);
	RequestRecord& record = _soak.requests[id];
	HttpCall request = requestFor(_soak, id, record);
	record.path = _path;
	record.key = kKeptKey;
	request.target = record.path + "x";
	request.headers = headersOf(id, kKeptKey);
	try
	{
		return call(client, request).status == kOk;
	}
	catch (const HttpFailure&)
	{
		return false;
	}
}

/// After the faults every kind of request is served again.
void checkRecovery(Soak& _soak)
{
	sleepFor(kReturnWaitMs);
	for (const auto& router : _soak.routers)
	{
		for (const char* path : {"/plain/", "/once/", "/chat/"})
		{
			const bool served = eventually([&] { return isServed(_soak, *router, path); }, kRecoveryS);
			if (!served)
			{
				breach(_soak, fmt::format("{} is not served after the faults ended", path));
			}
		}
	}
}

void printResult(const Soak& _soak)
{
	std::string outcomes;
	for (const auto& [outcome, count] : _soak.outcomes)
	{
		outcomes += fmt::format(" {}={}", outcome, count);
	}
	fmt::print("seed {}: {} requests,{}; {} broken\n", _soak.seed, _soak.requests.size(), outcomes,
			   _soak.broken.size());
}

int run()
{
	testIo();
	static Soak* s_soak = new Soak; // Fibers refer to it until the process ends.
	Soak& soak = *s_soak;
	soak.seed = absl::GetFlag(FLAGS_seed);
	soak.random.state = soak.seed;
	char pattern[] = "/tmp/spanplank-soak-XXXXXX";
	soak.dir = ::mkdtemp(pattern);
	startAll(soak);
	soak.startedAt = monotonicNow();
	soak.until = soak.startedAt + TimeUs(absl::GetFlag(FLAGS_seconds)) * kSecond;
	std::vector<std::function<void()>> bodies;
	soak.callersLeft = absl::GetFlag(FLAGS_callers);
	for (uint32_t ii = 0; ii < soak.callersLeft; ++ii)
	{
		bodies.emplace_back([&soak, ii] { callOn(soak, ii); });
	}
	bodies.emplace_back([&soak] { harmOn(soak); });
	bodies.emplace_back([&soak] { harmOn(soak); }); // Two at once: faults overlap.
	together(std::move(bodies));
	checkRecovery(soak);
	printResult(soak);
	for (const auto& router : soak.routers)
	{
		router->process->killHard();
	}
	if (soak.broken.empty())
	{
		std::filesystem::remove_all(soak.dir);
	}
	else
	{
		fmt::print("logs of the routers: {}\n", soak.dir);
	}
	std::fflush(nullptr);
	::_exit(soak.broken.empty() ? 0 : 1);
}
} // namespace
} // namespace spanplank

int main(int _argc, char** _argv)
{
	absl::ParseCommandLine(_argc, _argv);
	return spanplank::run();
}
