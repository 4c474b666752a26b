#include "harness.h"

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
#include "spanplank/run_once.h"
#include "spanplank/types.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr const char* kOperatorToken = "operator-token";

/// Ports that nobody listens on, below those that the kernel gives to outgoing connections: one of those
/// could take a port between the look and the child's bind.
uint16_t freePort()
{
	constexpr uint32_t kFirst = 10000;
	constexpr uint32_t kCount = 22000;
	constexpr uint32_t kApart = 53; // Two tests started one after the other take other ports.
	static uint32_t s_next = uint32_t(::getpid()) * kApart;
	while (true)
	{
		const auto port = uint16_t(kFirst + s_next++ % kCount);
		boost::system::error_code error;
		boost::asio::ip::tcp::acceptor probe(testIo());
		const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), port);
		probe.open(address.protocol());
		probe.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
		probe.bind(address, error);
		if (!error)
		{
			return port;
		}
	}
}

std::string loopback(uint16_t _port)
{
	return fmt::format("127.0.0.1:{}", _port);
}
} // namespace

boost::asio::io_context& testIo()
{
	static auto* s_io = [] {
		auto* io = new boost::asio::io_context;
		std::signal(SIGPIPE, SIG_IGN);
		installFiberScheduler(*io);
		return io;
	}();
	return *s_io;
}

bool eventually(const std::function<bool()>& _condition, uint32_t _seconds)
{
	const TimeUs until = monotonicNow() + TimeUs(_seconds) * 1000 * kMsToUs;
	while (monotonicNow() < until)
	{
		if (_condition())
		{
			return true;
		}
		sleepFor(20);
	}
	return _condition();
}

void pause(uint32_t _ms)
{
	sleepFor(_ms);
}

void together(std::vector<std::function<void()>> _bodies)
{
	std::vector<boost::fibers::fiber> fibers;
	fibers.reserve(_bodies.size());
	for (std::function<void()>& body : _bodies)
	{
		fibers.emplace_back(std::move(body));
	}
	for (boost::fibers::fiber& fiber : fibers)
	{
		fiber.join();
	}
}

std::string Answer::header(const std::string& _name) const
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

json Answer::json() const
{
	const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
	return parsed.is_discarded() ? nlohmann::json() : parsed;
}

std::string Answer::code() const
{
	const nlohmann::json parsed = json();
	return parsed.is_object() && parsed.contains("error") ? parsed["error"].value("code", "") : "";
}

std::string Answer::run() const
{
	const nlohmann::json parsed = json();
	return parsed.is_object() && parsed.contains("error") ? parsed["error"].value("run", "") : "";
}

System::System(const SystemShape& _shape) : m_shape(_shape)
{
	testIo();
	char pattern[] = "/tmp/spanplank-test-XXXXXX";
	m_dir = ::mkdtemp(pattern);
	m_platform = loopback(freePort());
	for (uint32_t ii = 0; ii < _shape.engines; ++ii)
	{
		m_engines.push_back(loopback(freePort()));
	}
	for (uint32_t ii = 0; ii < _shape.services; ++ii)
	{
		m_services.push_back(loopback(freePort()));
	}
	const std::string binary = SPANPLANK_BIN_DIR;
	m_processes["fakes"].command = {binary + "/spanplank-fakes",
									"--platform=" + m_platform,
									fmt::format("--engines={}", fmt::join(m_engines, ",")),
									fmt::format("--services={}", fmt::join(m_services, ",")),
									fmt::format("--slots={}", _shape.slots),
									fmt::format("--token_ms={}", _shape.tokenMs)};
	start("fakes");
	eventually([this] { return http(m_platform, "GET", "/counts").status == 200; });
	for (uint32_t ii = 0; ii < _shape.routers; ++ii)
	{
		addRouter(ii);
	}
	for (uint32_t ii = 0; ii < _shape.engines + _shape.services; ++ii)
	{
		const bool service = ii >= _shape.engines;
		addAgent(service ? ii - _shape.engines : ii, service);
	}
	publishBoxes();
	for (auto& [name, process] : m_processes)
	{
		if (name != "fakes")
		{
			start(name);
		}
	}
}

System::~System()
{
	for (auto& [name, process] : m_processes)
	{
		if (process.pid > 0)
		{
			::kill(process.pid, SIGKILL);
			::waitpid(process.pid, nullptr, 0);
		}
	}
	std::error_code ignored;
	std::filesystem::remove_all(m_dir, ignored);
}

std::string System::commonSettings(const std::string& _box, uint32_t _index, uint16_t _port) const
{
	return fmt::format("box: {}\nhall: hall-{}\nlisten: {}\nstore: {}\nboxList: {}\nlinkKeys: [{}]\n"
					   "drainMs: 20000\nbalancerMs: 200\n",
					   _box, _index % 3, loopback(_port), m_platform, m_platform, m_shape.linkKey);
}

void System::addRouter(uint32_t _index)
{
	const std::string box = fmt::format("router-{}", _index);
	const uint16_t port = freePort();
	m_routers.push_back(loopback(port));
	std::ofstream file(m_dir + "/" + box + ".yaml");
	file << commonSettings(box, _index, port) << "sessionKeys: [a-session-key-of-32-characters-1]\n"
		 << "operatorTokens: [" << sha256Hex(kOperatorToken) << "]\n"
		 << m_shape.routerExtra;
	m_processes[box].command = {SPANPLANK_BIN_DIR "/spanplank-router",
								"--settings=" + m_dir + "/" + box + ".yaml"};
	m_boxes.push_back({{"box", box},
					   {"role", "router"},
					   {"address", loopback(port)},
					   {"hall", fmt::format("hall-{}", _index % 3)},
					   {"state", "live"}});
}

void System::addAgent(uint32_t _index, bool _service)
{
	const std::string box = fmt::format("{}-{}", _service ? "service" : "engine", _index);
	const uint16_t port = freePort();
	const uint16_t link = freePort();
	const std::string pool = _service ? "services" : "engines";
	const std::string standIn = _service ? m_services[_index] : m_engines[_index];
	std::ofstream file(m_dir + "/" + box + ".yaml");
	file << commonSettings(box, _index, port)
		 << fmt::format("pool: {}\nlink: {}\nupstream: {}\nratings: {}\nslots: {}\n", pool, loopback(link),
						m_shape.upstream.empty() ? standIn : m_shape.upstream, m_platform, m_shape.slots);
	file << (_service ? std::string("services: [orders]\n")
					  : fmt::format("versions: [{}]\n", fmt::join(m_shape.versions, ", ")))
		 << m_shape.agentExtra;
	m_processes[box].command = {SPANPLANK_BIN_DIR "/spanplank-agent",
								"--settings=" + m_dir + "/" + box + ".yaml"};
	m_boxes.push_back({{"box", box},
					   {"role", "agent"},
					   {"address", loopback(port)},
					   {"link", loopback(link)},
					   {"hall", fmt::format("hall-{}", _index % 3)},
					   {"pool", pool},
					   {"state", "live"}});
}

void System::publishBoxes()
{
	http(m_platform, "POST", "/boxes", json(m_boxes).dump());
}

void System::addBox(const json& _box)
{
	m_boxes.insert(m_boxes.begin(), _box);
	publishBoxes();
}

void System::setBoxState(const std::string& _box, const std::string& _state)
{
	for (json& box : m_boxes)
	{
		if (box.is_object() && box["box"] == _box)
		{
			box["state"] = _state;
		}
	}
	publishBoxes();
}

void System::start(const std::string& _process)
{
	Process& process = m_processes.at(_process);
	std::vector<char*> words;
	for (std::string& word : process.command)
	{
		words.push_back(word.data());
	}
	words.push_back(nullptr);
	posix_spawn_file_actions_t actions;
	posix_spawn_file_actions_init(&actions);
	const std::string log = m_dir + "/" + _process + ".log";
	posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn(&process.pid, words[0], &actions, nullptr, words.data(), environ);
	posix_spawn_file_actions_destroy(&actions);
}

void System::killHard(const std::string& _process)
{
	Process& process = m_processes.at(_process);
	::kill(process.pid, SIGKILL);
	::waitpid(process.pid, nullptr, 0);
	process.pid = 0;
}

void System::freeze(const std::string& _process)
{
	::kill(m_processes.at(_process).pid, SIGSTOP);
}

void System::hangUp(const std::string& _process)
{
	::kill(m_processes.at(_process).pid, SIGHUP);
}

void System::wake(const std::string& _process)
{
	::kill(m_processes.at(_process).pid, SIGCONT);
}

int System::stopPlanned(const std::string& _process)
{
	Process& process = m_processes.at(_process);
	::kill(process.pid, SIGTERM);
	int state = 0;
	const bool ended = eventually([&] { return ::waitpid(process.pid, &state, WNOHANG) == process.pid; }, 60);
	if (!ended)
	{
		killHard(_process);
		return -1;
	}
	process.pid = 0;
	return WIFEXITED(state) ? WEXITSTATUS(state) : -1;
}

void System::changeSettings(const std::string& _process, const std::string& _from, const std::string& _to)
{
	const std::string name = m_dir + "/" + _process + ".yaml";
	std::stringstream text;
	text << std::ifstream(name).rdbuf();
	std::string settings = text.str();
	settings.replace(settings.find(_from), _from.size(), _to);
	std::ofstream(name) << settings;
}

std::string System::boxAddress(const std::string& _box) const
{
	for (const json& box : m_boxes)
	{
		if (box["box"] == _box)
		{
			return box["address"];
		}
	}
	return "";
}

std::string System::log(const std::string& _process) const
{
	std::ifstream file(m_dir + "/" + _process + ".log");
	std::stringstream text;
	text << file.rdbuf();
	return text.str();
}

Answer System::http(const std::string& _address, const std::string& _method, const std::string& _target,
					const std::string& _body, const std::vector<HttpHeader>& _headers)
{
	HttpClient client;
	client.io = &testIo();
	client.endpoint = parseEndpoint(_address);
	HttpCall request;
	request.method = _method;
	request.target = _target;
	request.body = _body;
	request.headers = _headers;
	request.timeoutMs = 30000;
	Answer answer;
	try
	{
		const HttpResponse response =
			call(client, request, [&](const HttpResponse& _head, std::string_view _part) {
				answer.status = _head.status;
				answer.headers = _head.headers;
				answer.body.append(_part);
			});
		answer.status = response.status;
		answer.headers = response.headers;
	}
	catch (const HttpFailure&)
	{
		answer.cut = answer.status != 0;
	}
	return answer;
}

Answer System::chat(uint32_t _router, const ChatOptions& _options)
{
	std::vector<HttpHeader> headers = {{"Authorization", "Bearer " + _options.key},
									   {"X-Spanplank-Deadline-Ms", std::to_string(_options.deadlineMs)}};
	if (!_options.session.empty())
	{
		headers.push_back({"X-Spanplank-Session", _options.session});
	}
	if (!_options.idempotencyKey.empty())
	{
		headers.push_back({"Idempotency-Key", _options.idempotencyKey});
	}
	const json body{{"model", _options.model},
					{"stream", _options.stream},
					{"max_tokens", _options.maxTokens},
					{"messages", {{{"role", "user"}, {"content", "say " + _options.marker}}}}};
	return http(m_routers.at(_router), "POST", "/v1/chat/completions", body.dump(), headers);
}

Answer System::callService(uint32_t _router, const std::string& _idempotencyKey, const std::string& _body,
						   uint32_t _deadlineMs)
{
	return http(m_routers.at(_router), "POST", "/v1/services/orders/new", _body,
				{{"Authorization", "Bearer key-town"},
				 {"X-Spanplank-Deadline-Ms", std::to_string(_deadlineMs)},
				 {"Idempotency-Key", _idempotencyKey}});
}

Answer System::put(uint32_t _router, const std::string& _kind, const std::string& _name, const json& _spec,
				   const json& _more)
{
	static uint64_t s_op = 0;
	json body{{"spec", _spec}, {"op", fmt::format("op-{}-{}", ::getpid(), ++s_op)}};
	body.update(_more);
	return http(m_routers.at(_router), "PUT", "/v1/resources/" + _kind + "/" + _name, body.dump(),
				{{"Authorization", std::string("Bearer ") + kOperatorToken}});
}

json System::status(uint32_t _router)
{
	return http(m_routers.at(_router), "GET", "/v1/status", "",
				{{"Authorization", std::string("Bearer ") + kOperatorToken}})
		.json();
}

bool System::inForce(uint64_t _revision)
{
	for (uint32_t ii = 0; ii < m_routers.size(); ++ii)
	{
		const json state = status(ii);
		if (!state.is_object() || state.value("revision", uint64_t(0)) < _revision)
		{
			return false;
		}
		size_t linked = 0;
		for (const json& agent : state["agents"])
		{
			linked += agent.value("linked", false) ? 1 : 0;
			if (agent.value("linked", false) && agent.value("revision", uint64_t(0)) < _revision)
			{
				return false;
			}
		}
		if (linked < m_shape.engines + m_shape.services)
		{
			return false;
		}
	}
	return true;
}

void System::declareBasics()
{
	eventually([this] { return put(0, "models", "small", {{"quality", 0.8}}).status == 200; });
	put(0, "models", "large", {{"quality", 0.95}});
	for (const std::string& version : m_shape.versions)
	{
		const std::string model = version.substr(0, version.find('@'));
		put(0, "versions", version, {{"model", model}, {"state", "serving"}, {"costPerKiloToken", 1.0}});
	}
	put(0, "services", "orders", {{"repeatable", false}});
	put(0, "accounts", "village", {{"keyHashes", {sha256Hex("key-village")}}, {"allowed", {"small"}}});
	const Answer last =
		put(0, "accounts", "town",
			{{"keyHashes", {sha256Hex("key-town")}}, {"allowed", {"small", "large", "orders"}}});
	const uint64_t revision = last.json().value("revision", uint64_t(0));
	eventually([&] { return revision > 0 && inForce(revision); });
	if (m_shape.services > 0)
	{
		homesSettled(m_shape.services);
	}
}

void System::platformFault(const json& _fault)
{
	http(m_platform, "POST", "/fault", _fault.dump());
}

void System::engineFault(uint32_t _engine, const json& _fault)
{
	http(m_engines.at(_engine), "POST", "/fault", _fault.dump());
}

void System::serviceFault(const json& _fault)
{
	for (const std::string& service : m_services)
	{
		http(service, "POST", "/fault", _fault.dump());
	}
}

json System::platformCounts()
{
	return http(m_platform, "GET", "/counts").json();
}

json System::engineCounts(uint32_t _engine)
{
	return http(m_engines.at(_engine), "GET", "/counts").json();
}

uint64_t System::runsOf(const std::string& _key)
{
	uint64_t runs = 0;
	for (const std::string& service : m_services)
	{
		runs += http(service, "GET", "/counts").json()["runs_by_key"].value(_key, uint64_t(0));
	}
	return runs;
}

uint64_t System::runsOfVersion(const std::string& _version)
{
	uint64_t runs = 0;
	for (const std::string& engine : m_engines)
	{
		runs += http(engine, "GET", "/counts").json()["runs_by_version"].value(_version, uint64_t(0));
	}
	return runs;
}

json System::readStore(const std::string& _prefix)
{
	return http(m_platform, "POST", "/kv/list", json{{"prefix", _prefix}}.dump()).json();
}

void System::writeStore(const std::string& _key, const std::string& _value)
{
	const json call{{"key", _key}, {"value", _value}, {"expected", 0}};
	http(m_platform, "POST", "/kv/cas", call.dump());
}

std::string System::homeOf(uint32_t _router, const std::string& _idempotencyKey)
{
	const json state = status(_router);
	for (const json& home : state.at("homes"))
	{
		const auto table = home.get<HomeTable>();
		if (table.pool == "services" && !table.members.empty())
		{
			const std::vector<size_t> rank =
				rankMembers(table.members, callKey("town", "orders", _idempotencyKey));
			return table.members[rank[0]].box;
		}
	}
	return "";
}

uint64_t System::homesEpoch()
{
	const json items = readStore("homes/services").at("items");
	return items.empty() ? 0 : json::parse(items[0].value("value", "")).get<HomeTable>().epoch;
}

bool System::homesSettled(uint32_t _members, uint64_t _afterEpoch)
{
	return eventually([&] {
		const json items = readStore("homes/services")["items"];
		if (items.empty())
		{
			return false;
		}
		const auto table = json::parse(items[0].value("value", "")).get<HomeTable>();
		bool settled = table.members.size() == _members && table.epoch > _afterEpoch;
		for (const HomeMember& member : table.members)
		{
			settled = settled && member.settledEpoch == table.epoch;
		}
		for (uint32_t ii = 0; settled && ii < m_routers.size(); ++ii)
		{
			const json state = status(ii);
			bool known = !state.is_object(); // A router that is down does not count.
			for (const json& home : state.is_object() ? state["homes"] : json::array())
			{
				known = known || (home.value("pool", "") == "services" &&
								  home.value("epoch", uint64_t(0)) >= table.epoch);
			}
			settled = settled && known;
		}
		return settled;
	});
}
} // namespace spanplank
