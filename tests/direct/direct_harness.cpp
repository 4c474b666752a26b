/// The stand-ins of the platform's store and upstreams, and the router process between them.
#include "direct_harness.h"

#include <absl/strings/escaping.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "node_p.h"
#include "ports.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kWatchPollMs = 5;

/// An answer of the store, which names its era if it tells one.
HttpResponse storeResponse(const StandInStore& _store, int _status, const json& _body)
{
	HttpResponse response = jsonResponse(_status, _body);
	if (!_store.era.empty())
	{
		response.headers.push_back({"Store-Era", _store.era});
	}
	return response;
}

bool startsWith(const std::string& _text, const std::string& _prefix)
{
	return _text.compare(0, _prefix.size(), _prefix) == 0;
}

json shown(const std::string& _key, const StandInStore::Item& _item)
{
	return {{"private_key", _key},
			{"value", absl::Base64Escape(_item.value)},
			{"revision", _item.revision},
			{"created", _item.revision},
			{"lease", _item.lease}};
}

/// Items go with their leases.
void expireLeases(StandInStore& _store)
{
	for (auto at = _store.leases.begin(); at != _store.leases.end();)
	{
		const uint64_t lease = at->first;
		if (at->second > monotonicNow())
		{
			++at;
			continue;
		}
		at = _store.leases.erase(at);
		std::vector<std::string> gone;
		for (const auto& [key, item] : _store.items)
		{
			if (item.lease == lease)
			{
				gone.push_back(key);
			}
		}
		for (const std::string& key : gone)
		{
			removeItem(_store, key);
		}
	}
}

/// Takes a lease, or renews the one named in the path.
void answerLease(StandInStore& _store, HttpExchange& _exchange, const std::string& _lease)
{
	constexpr int64_t kRenewalMs = 60000;
	const json request = json::parse(_exchange.request().body(), nullptr, false);
	const uint64_t lease = _lease.empty() ? _store.nextLease++ : std::stoull(_lease);
	if (!_lease.empty() && _store.leases.count(lease) == 0)
	{
		_exchange.respond(storeResponse(_store, 404, json::object()));
		return;
	}
	const int64_t ttlMs = request.is_object() ? request.value("ttl_ms", kRenewalMs) : kRenewalMs;
	_store.leases[lease] = monotonicNow() + ttlMs * kMsToUs;
	_exchange.respond(storeResponse(_store, 200, {{"lease", lease}, {"ttl_ms", ttlMs}}));
}

void answerRead(StandInStore& _store, HttpExchange& _exchange, const std::string& _key)
{
	const auto found = _store.items.find(_key);
	if (found == _store.items.end())
	{
		_exchange.respond(storeResponse(_store, 404, {{"as_of", _store.revision}}));
		return;
	}
	json item = shown(_key, found->second);
	item["as_of"] = _store.revision;
	_exchange.respond(storeResponse(_store, 200, item));
}

void answerRange(StandInStore& _store, HttpExchange& _exchange, const std::string& _prefix)
{
	json items = json::array();
	for (const auto& [key, item] : _store.items)
	{
		if (startsWith(key, _prefix))
		{
			items.push_back(shown(key, item));
		}
	}
	_exchange.respond(
		storeResponse(_store, 200, {{"items", items}, {"has_more", false}, {"as_of", _store.revision}}));
}

json changesAfter(const StandInStore& _store, uint64_t _after)
{
	json events = json::array();
	for (const StandInStore::Change& change : _store.history)
	{
		if (change.revision <= _after)
		{
			continue;
		}
		const auto item = _store.items.find(change.key);
		if (change.removed || item == _store.items.end())
		{
			events.push_back({{"private_key", change.key}, {"revision", change.revision}, {"removed", true}});
		}
		else
		{
			events.push_back(shown(change.key, item->second));
		}
	}
	return events;
}

void answerWatch(StandInStore& _store, HttpExchange& _exchange, uint64_t _after, uint32_t _waitMs)
{
	const TimeUs until = monotonicNow() + TimeUs(_waitMs) * kMsToUs;
	// A watch of a caller that is gone must not outlive the store.
	while (monotonicNow() < until && !_exchange.callerGone() && _store.fault == StandInStore::Fault::None &&
		   (_store.mute || changesAfter(_store, _after).empty()) && _after >= _store.forgottenTo &&
		   _after <= _store.revision)
	{
		sleepFor(kWatchPollMs);
	}
	if (_after < _store.forgottenTo || _after > _store.revision)
	{
		_exchange.respond(storeResponse(_store, 410, json::object()));
		return;
	}
	const json events = _store.mute ? json::array() : changesAfter(_store, _after);
	_exchange.respond(
		storeResponse(_store, 200, {{"events", events}, {"as_of", _store.mute ? _after : _store.revision}}));
}

void answerWrite(StandInStore& _store, HttpExchange& _exchange)
{
	const json request = json::parse(_exchange.request().body());
	for (const json& expected : request["expected_revision"])
	{
		const auto item = _store.items.find(expected["private_key"]);
		const uint64_t revision = item == _store.items.end() ? 0 : item->second.revision;
		if (revision != expected["revision"].get<uint64_t>())
		{
			_exchange.respond(storeResponse(_store, 412, {{"items", json::array()}}));
			return;
		}
	}
	for (const json& write : request["set_keys"])
	{
		const auto lease = write["lease"].get<uint64_t>();
		if (lease != 0 && _store.leases.count(lease) == 0)
		{
			_exchange.respond(storeResponse(_store, 404, json::object()));
			return;
		}
	}
	for (const json& write : request["set_keys"])
	{
		std::string value;
		absl::Base64Unescape(write["value"].get<std::string>(), &value);
		setItem(_store, write["private_key"], value);
		_store.items[write["private_key"]].lease = write["lease"].get<uint64_t>();
	}
	if (_store.loseWrites)
	{
		_exchange.abort();
		return;
	}
	_exchange.respond(storeResponse(_store, 200, {{"revision", _store.revision}}));
}

/// Does what the store's fault, if it has one, makes of a call.
/// @returns Whether it has one: the call then gets no other answer.
bool answerFault(StandInStore& _store, HttpExchange& _exchange)
{
	StandInStore::Fault fault = _store.fault;
	if (fault == StandInStore::Fault::None && _store.faultyCalls > 0)
	{
		--_store.faultyCalls;
		fault = _store.callFault;
	}
	switch (fault)
	{
	case StandInStore::Fault::Busy:
		_exchange.respond({503, {}, ""});
		return true;
	case StandInStore::Fault::Silent:
		while (_store.fault == StandInStore::Fault::Silent)
		{
			sleepFor(kWatchPollMs);
		}
		_exchange.abort();
		return true;
	case StandInStore::Fault::Reset:
		_exchange.abort();
		return true;
	case StandInStore::Fault::None:
		break;
	}
	return false;
}
} // namespace

void answerStoreCall(StandInStore& _store, HttpExchange& _exchange)
{
	++_store.calls;
	expireLeases(_store);
	if (answerFault(_store, _exchange))
	{
		return;
	}
	const Target target = parseTarget(std::string_view(_exchange.request().target()));
	const auto query = [&target](const char* _name) {
		const auto found = target.query.find(_name);
		return found == target.query.end() ? std::string() : found->second;
	};
	const std::string call = target.path.empty() ? "" : target.path[0];
	if (call == "kv-key")
	{
		answerRead(_store, _exchange, query("private_key"));
	}
	else if (call == "kv-range")
	{
		answerRange(_store, _exchange, query("path_prefix"));
	}
	else if (call == "kv-watch")
	{
		answerWatch(_store, _exchange, std::stoull(query("after_revision")),
					uint32_t(std::stoul(query("wait_ms"))));
	}
	else if (call == "kv-lease" || call == "kv-keep")
	{
		answerLease(_store, _exchange, target.path.size() > 1 ? target.path[1] : "");
	}
	else if (call == "kv-txn")
	{
		answerWrite(_store, _exchange);
	}
	else
	{
		_exchange.respond({404, {}, ""});
	}
}

namespace
{
json routeJson(const char* _name, const char* _prefix, const char* _kind, uint32_t _attempts,
			   const char* _service)
{
	return {{"name", _name},           {"host", "town.example"},    {"path_prefix", _prefix},
			{"kind", _kind},           {"timeout_ms", 4000},        {"target_latency_ms", 1000},
			{"priority", 1},           {"max_attempts", _attempts}, {"service", _service},
			{"allow_anonymous", false}};
}

} // namespace

json basicConfig(const std::string& _key)
{
	json chat = routeJson("chat", "/chat/", "streaming", 3, "engines");
	chat["stream_resumption"] = true;
	chat["session_affinity"] = true;
	chat["gap_target_ms"] = 500;
	chat["sizes"] = {"small", "large"};
	return {{"version", 1},
			{"routes",
			 {routeJson("plain", "/plain/", "safe", 2, "app"),
			  routeJson("once", "/once/", "unsafe", 1, "app"), chat}},
			{"services",
			 {{{"name", "app"}, {"connection_limit", 100}},
			  {{"name", "engines"},
			   {"connection_limit", 100},
			   {"engine", {{"slots", 8}, {"models", json::array()}}}}}},
			{"limits",
			 {{"max_header_bytes", 4096},
			  {"max_body_bytes", 100000},
			  {"header_timeout_ms", 2000},
			  {"idle_timeout_ms", 5000}}},
			{"tenants", {{{"name", "town"}, {"api_keys", {_key}}, {"priority", 1}}}}};
}

void setItem(StandInStore& _store, const std::string& _key, const std::string& _value)
{
	_store.items[_key] = {_value, ++_store.revision, 0};
	_store.history.push_back({_key, _store.revision, false});
}

void removeItem(StandInStore& _store, const std::string& _key)
{
	_store.items.erase(_key);
	_store.history.push_back({_key, ++_store.revision, true});
}

void forgetHistory(StandInStore& _store)
{
	_store.forgottenTo = _store.revision;
	_store.history.clear();
}

StoreCopy copyOf(const StandInStore& _store)
{
	return {_store.items, _store.history, _store.revision, _store.forgottenTo};
}

void returnFrom(StandInStore& _store, const StoreCopy& _copy)
{
	_store.items = _copy.items;
	_store.history = _copy.history;
	_store.revision = _copy.revision;
	_store.forgottenTo = _copy.forgottenTo;
	_store.leases.clear();
	_store.era = std::to_string(std::stoull("0" + _store.era) + 1);
}

std::vector<HttpHeader> soundHeaders(const StandInUpstream& _upstream, const HttpRequest& _request)
{
	std::vector<HttpHeader> headers = {{"Request-Id", std::string(_request["Request-Id"])},
									   {"Server-Stamp", "stamp-" + _upstream.id}};
	headers.insert(headers.end(), _upstream.notices.begin(), _upstream.notices.end());
	headers.push_back({"Content-Type", "text/plain"});
	return headers;
}

void answerWell(StandInUpstream& _upstream, HttpExchange& _exchange, const std::string& _body)
{
	_exchange.respond({200, soundHeaders(_upstream, _exchange.request()), _body});
}

void answerNotRun(HttpExchange& _exchange, const std::vector<HttpHeader>& _notices)
{
	std::vector<HttpHeader> headers = {{"Not-Executed", "1"},
									   {"Request-Id", std::string(_exchange.request()["Request-Id"])}};
	headers.insert(headers.end(), _notices.begin(), _notices.end());
	_exchange.respond({503, headers, ""});
}

/// @returns false once the caller is gone.
bool pauseUnlessGone(HttpExchange& _exchange, uint32_t _ms)
{
	constexpr uint32_t kSliceMs = 10;
	for (uint32_t waited = 0; waited < _ms; waited += kSliceMs)
	{
		sleepFor(std::min(kSliceMs, _ms - waited));
		if (_exchange.callerGone())
		{
			return false;
		}
	}
	return true;
}

bool answerEvents(StandInUpstream& _upstream, HttpExchange& _exchange, int _last, uint32_t _pauseMs,
				  bool _cut, double _confidence, std::optional<uint32_t> _firstMs)
{
	const std::string after(_exchange.request()["Last-Event-Id"]);
	std::vector<HttpHeader> headers = soundHeaders(_upstream, _exchange.request());
	headers.pop_back();
	headers.push_back({"Confidence", std::to_string(int(_confidence))});
	_exchange.startStream(200, headers, "text/event-stream");
	uint32_t pauseMs = _firstMs.value_or(_pauseMs);
	for (int id = after.empty() ? 0 : std::stoi(after) + 1; id <= _last; ++id)
	{
		if (!pauseUnlessGone(_exchange, pauseMs) ||
			!_exchange.write(fmt::format("id: {}\ndata: {} of {}\n\n", id, id, _upstream.id)))
		{
			return false;
		}
		pauseMs = _pauseMs;
	}
	if (_cut)
	{
		_exchange.write("id: 99\nda"); // In the middle of an event.
		_exchange.abort();
		return true;
	}
	return _exchange.finish();
}

std::string DirectAnswer::header(const std::string& _name) const
{
	for (const HttpHeader& header : headers)
	{
		if (boost::beast::iequals(header.name, _name))
		{
			return header.value;
		}
	}
	return "";
}

RouterProcess::RouterProcess(const std::string& _dir, const std::string& _name, const std::string& _store,
							 const std::string& _settings)
	: m_file(_dir + "/" + _name), m_listen(loopback(freePort())), m_readiness(loopback(freePort())),
	  m_metrics(loopback(freePort()))
{
	std::string settings = _settings;
	for (const auto& [name, value] : {std::pair("configWaitMs", 200), std::pair("watchPauseMs", 20)})
	{
		// A test may state its own.
		settings += _settings.find(name) == std::string::npos ? fmt::format("{}: {}\n", name, value) : "";
	}
	std::ofstream(m_file + ".yaml") << fmt::format(
		"upstreams: direct\nbox: {}\nhall: hall-a\nlisten: {}\nreadiness: {}\nmetrics: {}\nstore: {}\n{}",
		_name, m_listen, m_readiness, m_metrics, _store, settings);
}

RouterProcess::~RouterProcess()
{
	killHard();
}

namespace
{
/// @returns The router that is tested: that of this build, or of another one, to compare two.
std::string routerBinary()
{
	const char* other = std::getenv("SPANPLANK_ROUTER");
	return other == nullptr ? std::string(SPANPLANK_BIN_DIR) + "/spanplank-router" : other;
}
} // namespace

void RouterProcess::start()
{
	std::vector<std::string> command = {routerBinary(), "--settings=" + m_file + ".yaml"};
	std::vector<char*> words = {command[0].data(), command[1].data(), nullptr};
	posix_spawn_file_actions_t actions;
	posix_spawn_file_actions_init(&actions);
	const std::string file = m_file + ".log";
	posix_spawn_file_actions_addopen(&actions, 1, file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
	// A router that holds this process's sockets would keep connections open that this process closes.
	posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
	posix_spawn(&m_pid, words[0], &actions, nullptr, words.data(), environ);
	posix_spawn_file_actions_destroy(&actions);
}

void RouterProcess::signal(int _signal)
{
	if (m_pid != 0)
	{
		::kill(m_pid, _signal);
	}
}

bool RouterProcess::hasEnded()
{
	int state = 0;
	if (m_pid != 0 && ::waitpid(m_pid, &state, WNOHANG) == m_pid)
	{
		m_pid = 0;
		m_exitCode = WIFEXITED(state) ? WEXITSTATUS(state) : -1;
	}
	return m_pid == 0;
}

int RouterProcess::awaitEnd()
{
	return eventually([&] { return hasEnded(); }) ? m_exitCode : -1;
}

void RouterProcess::killHard()
{
	if (m_pid != 0)
	{
		::kill(m_pid, SIGKILL);
		::waitpid(m_pid, nullptr, 0);
		m_pid = 0;
	}
}

StandInUpstream& DirectSystem::addUpstream(const std::string& _id, const std::string& _service)
{
	m_upstreams.push_back(std::make_unique<StandInUpstream>());
	StandInUpstream& upstream = *m_upstreams.back();
	upstream.id = _id;
	upstream.service = _service;
	upstream.answer = [](StandInUpstream& _upstream, HttpExchange& _exchange) {
		answerWell(_upstream, _exchange);
	};
	upstream.http.handler = [&upstream](HttpExchange& _exchange) {
		upstream.requests.push_back(_exchange.request());
		++upstream.open;
		upstream.answer(upstream, _exchange);
		--upstream.open;
	};
	upstream.address = loopback(startHttpServer(testIo(), upstream.http, {loopbackIp(), 0}));
	registerUpstream(upstream);
	return upstream;
}

void DirectSystem::registerUpstream(const StandInUpstream& _upstream, bool _leaving)
{
	json record{{"service", _upstream.service},
				{"address", _upstream.address},
				{"zone", _upstream.hall},
				{"version", _upstream.version},
				{"slots", 8},
				{"state", _leaving ? "draining" : "ready"},
				{"cold_remaining_ms", 0},
				{"sequence", 1}};
	if (_upstream.born != 0)
	{
		record["born"] = _upstream.born;
	}
	setItem(store, "servers/" + _upstream.id, record.dump());
}

void DirectSystem::writeConfig()
{
	config["version"] = config["version"].get<uint64_t>() + 2;
	setItem(store, "op/config", config.dump());
}

HttpClient clientOf(const std::string& _address)
{
	HttpClient client;
	client.io = &testIo();
	client.endpoint = parseEndpoint(_address);
	return client;
}

bool RouterProcess::isReady()
{
	HttpClient client = clientOf(m_readiness);
	HttpCall request;
	request.method = "GET";
	request.target = "/readiness";
	try
	{
		return spanplank::call(client, request).status == 200;
	}
	catch (const HttpFailure&)
	{
		return false;
	}
}

HttpResponse RouterProcess::askMetrics(const std::string& _target)
{
	HttpClient client = clientOf(m_metrics);
	HttpCall request;
	request.method = "GET";
	request.target = _target;
	return spanplank::call(client, request);
}

std::string RouterProcess::metric(const std::string& _name)
{
	try
	{
		std::istringstream page(askMetrics("/metrics").body);
		for (std::string line; std::getline(page, line);)
		{
			if (startsWith(line, _name + " "))
			{
				return line.substr(_name.size() + 1);
			}
		}
	}
	catch (const HttpFailure&)
	{
		return "";
	}
	return "";
}

std::string RouterProcess::log() const
{
	std::stringstream text;
	text << std::ifstream(m_file + ".log").rdbuf();
	return text.str();
}

DirectSystem::DirectSystem(const std::string& _settings)
{
	testIo();
	char pattern[] = "/tmp/spanplank-direct-XXXXXX";
	m_dir = ::mkdtemp(pattern);
	config = basicConfig(key);
	writeConfig();
	store.http.handler = [this](HttpExchange& _exchange) {
		answerStoreCall(store, _exchange);
	};
	const std::string address = loopback(startHttpServer(testIo(), store.http, {loopbackIp(), 0}));
	m_router = std::make_unique<RouterProcess>(m_dir, "router-0", address, _settings);
}

DirectSystem::~DirectSystem()
{
	m_router->killHard();
	store.fault = StandInStore::Fault::None;
	std::vector<HttpServer*> servers{&store.http};
	for (const auto& upstream : m_upstreams)
	{
		servers.push_back(&upstream->http);
	}
	for (HttpServer* server : servers)
	{
		stopListening(*server);
	}
	for (const HttpServer* server : servers)
	{
		// Its fibers refer to it, the accepting one too.
		eventually([server] { return server->connections == 0 && !server->accepting; }, 5);
	}
	std::filesystem::remove_all(m_dir);
}

void DirectSystem::startRouter()
{
	m_router->start();
}

void DirectSystem::startReady(size_t _upstreams)
{
	startRouter();
	eventually([&] { return isReady() && knownUpstreams() >= _upstreams; });
}

void DirectSystem::terminate()
{
	m_router->signal(SIGTERM);
}

void DirectSystem::reload()
{
	m_router->signal(SIGHUP);
}

void DirectSystem::signal(int _signal)
{
	m_router->signal(_signal);
}

void DirectSystem::killHard()
{
	m_router->killHard();
}

int DirectSystem::awaitEnd()
{
	return m_router->awaitEnd();
}

std::string DirectSystem::metric(const std::string& _name)
{
	return m_router->metric(_name);
}

HttpResponse DirectSystem::askMetrics(const std::string& _target)
{
	return m_router->askMetrics(_target);
}

bool DirectSystem::isReady()
{
	return m_router->isReady();
}

size_t DirectSystem::knownUpstreams()
{
	const std::string value = m_router->metric("spanplank_upstreams");
	return value.empty() ? 0 : size_t(std::stod(value));
}

std::string DirectSystem::log() const
{
	return m_router->log();
}

const std::string& DirectSystem::listen() const
{
	return m_router->listen();
}

DirectAnswer DirectSystem::call(const std::string& _method, const std::string& _path,
								const std::string& _body, std::vector<HttpHeader> _headers,
								HttpCancel* _cancel)
{
	HttpClient client = clientOf(m_router->listen());
	HttpCall request;
	request.method = _method;
	request.target = _path;
	request.body = _body;
	request.timeoutMs = 20000;
	request.headers = {{"Host", "town.example"},
					   {"Request-Id", fmt::format("request-{}", m_nextRequest++)},
					   {"Deadline-Remaining", "4000"}};
	if (!key.empty())
	{
		request.headers.push_back({"Key", key});
	}
	request.headers.insert(request.headers.end(), _headers.begin(), _headers.end());
	DirectAnswer answer;
	try
	{
		const HttpResponse response = spanplank::call(
			client, request,
			[&answer](const HttpResponse& _head, std::string_view _part) {
				answer.status = _head.status;
				answer.headers = _head.headers;
				answer.body.append(_part);
			},
			_cancel);
		answer.status = response.status;
		answer.headers = response.headers;
	}
	catch (const HttpFailure&)
	{
		answer.cut = true;
	}
	return answer;
}

std::string DirectSystem::raw(const std::string& _bytes)
{
	using boost::asio::ip::tcp;
	const Endpoint to = parseEndpoint(m_router->listen());
	tcp::socket socket(testIo());
	const tcp::endpoint address(boost::asio::ip::make_address(to.ip), to.port);
	awaitIo([&](auto _done) { socket.async_connect(address, _done); });
	awaitIo([&](auto _done) { boost::asio::async_write(socket, boost::asio::buffer(_bytes), _done); });
	std::string got;
	awaitIo([&](auto _done) { boost::asio::async_read(socket, boost::asio::dynamic_buffer(got), _done); });
	return got;
}
} // namespace spanplank
