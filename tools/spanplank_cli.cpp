/// spanplank: the operators' command line.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdlib>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include "box_list_p.h"
#include "daemon_main_p.h"
#include "fiber_runtime_p.h"
#include "node_p.h"
#include "spanplank/daemons.h"
#include "spanplank/timeline.h"

ABSL_FLAG(std::vector<std::string>, router, {}, "ip:port of the routers, asked in order");
ABSL_FLAG(std::string, boxes, "",
		  "ip:port of the platform's box list, for status and timeline over all boxes");
ABSL_FLAG(std::string, token, "", "operator token; default: the environment's SPANPLANK_TOKEN");
ABSL_FLAG(std::string, f, "", "file for apply");
ABSL_FLAG(std::string, role, "", "role for check-settings: router or agent");
ABSL_FLAG(uint64_t, after, 0, "revision that watch starts after");
ABSL_FLAG(uint64_t, count, 0, "changes that watch prints before it ends; 0: no end");
ABSL_FLAG(std::string, subject, "", "request id, resource or box that timeline is about");
ABSL_FLAG(uint32_t, wait, 0, "seconds that apply waits until it is in force everywhere");

namespace
{
using namespace spanplank;
using nlohmann::json;

constexpr const char* kUsage =
	"spanplank: declares and observes the configuration of a spanplank system.\n"
	"usage: spanplank COMMAND [--flags]\n"
	"  apply --f FILE          put the resources of a YAML file in force\n"
	"  get [KIND [NAME]]       show resources\n"
	"  delete KIND NAME        delete a resource\n"
	"  watch                   follow changes\n"
	"  status                  revisions in force, per box\n"
	"  withdraw VERSION        take a version out of service\n"
	"  rollout VERSION         show a roll-out\n"
	"  timeline                events of all processes in order\n"
	"  check-settings FILE --role ROLE\n"
	"exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 settings that don't hold, 4 not known "
	"whether it took effect";
constexpr int kExitUnknown = 4;
constexpr uint32_t kRetries = 8;

struct Cli
{
	boost::asio::io_context io;
	std::vector<std::string> words;
};

std::string token()
{
	const char* fromEnvironment = std::getenv("SPANPLANK_TOKEN");
	const std::string flag = absl::GetFlag(FLAGS_token);
	return !flag.empty() ? flag : fromEnvironment == nullptr ? "" : fromEnvironment;
}

HttpResponse askOne(Cli& _cli, const std::string& _address, const std::string& _method,
					const std::string& _target, const std::string& _body, uint32_t _timeoutMs)
{
	HttpClient client;
	client.io = &_cli.io;
	client.endpoint = parseEndpoint(_address);
	HttpCall request;
	request.method = _method;
	request.target = _target;
	request.body = _body;
	request.timeoutMs = _timeoutMs;
	request.headers.push_back({"Authorization", "Bearer " + token()});
	return call(client, request);
}

/// Asks the routers in order. Every call may be repeated: writes carry an operation id.
json ask(Cli& _cli, const std::string& _method, const std::string& _target, const json& _body = json())
{
	Refusal last{ErrorCode::UpstreamLost, RunState::No, 0, "no router answers"};
	const std::vector<std::string> routers = absl::GetFlag(FLAGS_router);
	for (uint32_t ii = 0; ii < kRetries && !routers.empty(); ++ii)
	{
		try
		{
			const std::string& router = routers[ii % routers.size()];
			const HttpResponse response =
				askOne(_cli, router, _method, _target, _body.is_null() ? "" : _body.dump(), 40000);
			json answer = json::parse(response.body, nullptr, false);
			if (response.status == 200)
			{
				return answer;
			}
			const json error = answer.is_object() ? answer.value("error", json::object()) : json::object();
			last = {errorCode(error.value("code", "internal")),
					error.value("run", "no") == "no" ? RunState::No : RunState::Unknown, 0,
					error.value("message", error.value("detail", ""))};
			if (last.code != ErrorCode::StoreUnavailable)
			{
				throw Failure(last);
			}
		}
		catch (const HttpFailure& failure)
		{
			const bool write = _method != "GET" && failure.sent();
			last = failure.refusal();
			last.run = write ? RunState::Unknown : RunState::No;
		}
		sleepFor(300);
	}
	throw Failure(last);
}

std::string newOp()
{
	return sha256Hex(fmt::format("{}:{}", wallNow(), ::getpid())).substr(0, 20);
}

json toJson(const YAML::Node& _node)
{
	if (_node.IsMap())
	{
		json map = json::object();
		for (const auto& item : _node)
		{
			map[item.first.Scalar()] = toJson(item.second);
		}
		return map;
	}
	if (_node.IsSequence())
	{
		json list = json::array();
		for (const YAML::Node& item : _node)
		{
			list.push_back(toJson(item));
		}
		return list;
	}
	if (!_node.IsScalar())
	{
		return nullptr;
	}
	int64_t whole = 0;
	double number = 0.0;
	bool flag = false;
	const bool quoted = _node.Tag() == "!";
	if (!quoted && YAML::convert<int64_t>::decode(_node, whole))
	{
		return whole;
	}
	if (!quoted && YAML::convert<double>::decode(_node, number))
	{
		return number;
	}
	if (!quoted && YAML::convert<bool>::decode(_node, flag))
	{
		return flag;
	}
	return _node.Scalar();
}

struct Declared
{
	std::string kind;
	std::string name;
	json spec;
	int line = 0;
};

/// Reads and checks a whole file before anything is sent.
std::vector<Declared> readDeclared(const std::string& _file)
{
	std::vector<Declared> declared;
	std::vector<SettingsMistake> mistakes;
	for (const YAML::Node& document : YAML::LoadAllFromFile(_file))
	{
		const YAML::Node list = document.IsSequence() ? document : YAML::Node();
		const size_t count = document.IsSequence() ? document.size() : 1;
		for (size_t ii = 0; ii < count; ++ii)
		{
			const YAML::Node node = document.IsSequence() ? list[ii] : document;
			const int line = node.Mark().line + 1;
			if (!node.IsMap() || !node["kind"] || !node["name"])
			{
				mistakes.push_back({_file, line, "", "needs kind, name and spec"});
				continue;
			}
			Declared item{node["kind"].Scalar(), node["name"].Scalar(),
						  node["spec"] ? toJson(node["spec"]) : json::object(), line};
			for (const std::string& mistake : validateResource(item.kind, item.name, item.spec))
			{
				mistakes.push_back({_file, line, item.kind + "/" + item.name, mistake});
			}
			declared.push_back(std::move(item));
		}
	}
	if (!mistakes.empty())
	{
		throw SettingsFailure(mistakes);
	}
	return declared;
}

/// All boxes of the list, or the named routers as far as no list is given.
std::vector<BoxEntry> allBoxes(Cli& _cli)
{
	std::vector<BoxEntry> boxes;
	if (!absl::GetFlag(FLAGS_boxes).empty())
	{
		HttpClient client;
		client.io = &_cli.io;
		client.endpoint = parseEndpoint(absl::GetFlag(FLAGS_boxes));
		return readBoxList(client);
	}
	for (const std::string& router : absl::GetFlag(FLAGS_router))
	{
		BoxEntry entry;
		entry.box = router;
		entry.role = "router";
		entry.address = router;
		boxes.push_back(entry);
	}
	return boxes;
}

json statusOf(Cli& _cli, const BoxEntry& _entry)
{
	try
	{
		const HttpResponse response = askOne(_cli, _entry.address, "GET", "/v1/status", "", 2000);
		return response.status == 200 ? json::parse(response.body) : json();
	}
	catch (const Failure&)
	{
		return json();
	}
}

/// @returns Boxes that hold less than a revision, as far as any router can see.
std::vector<std::string> boxesBehind(Cli& _cli, uint64_t _revision)
{
	std::vector<std::string> behind;
	for (const BoxEntry& entry : allBoxes(_cli))
	{
		if (entry.role != "router")
		{
			continue;
		}
		const json status = statusOf(_cli, entry);
		if (!status.is_object() || status.value("revision", uint64_t(0)) < _revision)
		{
			behind.push_back(entry.box);
			continue;
		}
		for (const json& agent : status["agents"])
		{
			if (agent.value("linked", false) && agent.value("revision", uint64_t(0)) < _revision)
			{
				behind.push_back(agent.value("box", ""));
			}
		}
	}
	return behind;
}

int apply(Cli& _cli)
{
	uint64_t revision = 0;
	for (const Declared& item : readDeclared(absl::GetFlag(FLAGS_f)))
	{
		const json body{{"spec", item.spec}, {"op", newOp()}};
		const json accepted =
			ask(_cli, "PUT", fmt::format("/v1/resources/{}/{}", item.kind, item.name), body);
		revision = accepted.value("revision", uint64_t(0));
		fmt::print("{}/{} accepted at revision {}\n", item.kind, item.name, revision);
	}
	const TimeUs until = monotonicNow() + TimeUs(absl::GetFlag(FLAGS_wait)) * 1000 * kMsToUs;
	while (absl::GetFlag(FLAGS_wait) > 0)
	{
		const std::vector<std::string> behind = boxesBehind(_cli, revision);
		if (behind.empty())
		{
			fmt::print("revision {} in force everywhere\n", revision);
			break;
		}
		if (monotonicNow() > until)
		{
			fmt::print(stderr, "revision {} not yet in force at: {}\n", revision, fmt::join(behind, ", "));
			return kExitFailed;
		}
		sleepFor(100);
	}
	return kExitOk;
}

int get(Cli& _cli)
{
	std::string target = "/v1/resources";
	for (size_t ii = 1; ii < _cli.words.size(); ++ii)
	{
		target += "/" + _cli.words[ii];
	}
	fmt::print("{}\n", ask(_cli, "GET", target).dump(2));
	return kExitOk;
}

int remove(Cli& _cli)
{
	const std::string target = fmt::format("/v1/resources/{}/{}", _cli.words.at(1), _cli.words.at(2));
	const json deleted = ask(_cli, "DELETE", target, {{"op", newOp()}});
	fmt::print("deleted at revision {}\n", deleted.value("revision", uint64_t(0)));
	return kExitOk;
}

int watch(Cli& _cli)
{
	uint64_t after = absl::GetFlag(FLAGS_after);
	uint64_t printed = 0;
	const uint64_t most = absl::GetFlag(FLAGS_count);
	while (most == 0 || printed < most)
	{
		const json answer = ask(_cli, "GET", fmt::format("/v1/watch?after={}&wait_ms=10000", after));
		for (const json& item : answer["items"])
		{
			fmt::print("{}\n", item.dump());
			std::fflush(stdout);
			++printed;
		}
		after = std::max(after, answer.value("revision", after));
	}
	return kExitOk;
}

int status(Cli& _cli)
{
	bool whole = true;
	for (const BoxEntry& entry : allBoxes(_cli))
	{
		if (entry.role != "router")
		{
			continue;
		}
		const json status = statusOf(_cli, entry);
		if (!status.is_object())
		{
			fmt::print("{:<16} no answer\n", entry.box);
			whole = false;
			continue;
		}
		fmt::print("{:<16} revision {} store {} config from {}{}\n", status.value("box", ""),
				   status.value("revision", uint64_t(0)),
				   status.value("store_reachable", false) ? "reachable" : "unreachable",
				   status.value("config_from_store", false) ? "store" : "peers",
				   status.value("watching", false) ? " (watching)" : "");
		for (const json& agent : status["agents"])
		{
			fmt::print("  {:<14} revision {} {}{}{} running {} queued {}\n", agent.value("box", ""),
					   agent.value("revision", uint64_t(0)), agent.value("linked", false) ? "linked" : "lost",
					   agent.value("leaving", false) ? " leaving" : "",
					   agent.value("behind", false) ? " behind" : "", agent.value("running", 0),
					   agent.value("queued", 0));
		}
		for (const auto& halt : status["halted"].items())
		{
			fmt::print("  halted {} generation {}\n", halt.key(), halt.value().get<uint32_t>());
		}
	}
	return whole ? kExitOk : kExitFailed;
}

int withdraw(Cli& _cli)
{
	const std::string target = "/v1/resources/versions/" + _cli.words.at(1);
	const std::string op = newOp();
	constexpr uint32_t kRaces = 20;
	for (uint32_t ii = 0; ii < kRaces; ++ii)
	{
		const json held = ask(_cli, "GET", target);
		json spec = held["spec"];
		spec["state"] = "withdrawn";
		try
		{
			const json accepted =
				ask(_cli, "PUT", target, {{"spec", spec}, {"op", op}, {"expected", held["revision"]}});
			fmt::print("{} withdrawn at revision {}\n", _cli.words.at(1),
					   accepted.value("revision", uint64_t(0)));
			return kExitOk;
		}
		catch (const Failure& failure)
		{
			if (failure.refusal().code != ErrorCode::RevisionConflict)
			{
				throw;
			}
		}
		sleepFor(100); // Somebody else changed it meanwhile: read again.
	}
	throw Failure(ErrorCode::RevisionConflict, "too many writers at once");
}

int rollout(Cli& _cli)
{
	const json version = ask(_cli, "GET", "/v1/resources/versions/" + _cli.words.at(1));
	fmt::print("{}\n", version.dump(2));
	const json rollouts = ask(_cli, "GET", "/v1/resources/rollouts");
	for (const json& item : rollouts.at("items"))
	{
		if (item["spec"].value("candidate", "") == _cli.words.at(1))
		{
			fmt::print("{}\n", item.dump(2));
		}
	}
	return kExitOk;
}

int timeline(Cli& _cli)
{
	std::vector<TimelineEvent> events;
	for (const BoxEntry& entry : allBoxes(_cli))
	{
		const std::string target = "/timeline?subject=" + absl::GetFlag(FLAGS_subject);
		try
		{
			const HttpResponse response = askOne(_cli, entry.address, "GET", target, "", 2000);
			const auto some = json::parse(response.body).at("events").get<std::vector<TimelineEvent>>();
			events.insert(events.end(), some.begin(), some.end());
		}
		catch (const std::exception&)
		{
			fmt::print(stderr, "{}: no answer\n", entry.box);
		}
	}
	mergeEvents(events);
	for (const TimelineEvent& event : events)
	{
		fmt::print("{:%Y-%m-%dT%H:%M:%S}.{:06} {:<14} {:<18} {} {}\n",
				   fmt::gmtime(time_t(event.at / 1000000)), event.at % 1000000, event.process, event.event,
				   event.subject, event.detail);
	}
	return kExitOk;
}

int checkSettings(Cli& _cli)
{
	const std::string role = absl::GetFlag(FLAGS_role);
	if (role != "router" && role != "agent")
	{
		fmt::print(stderr, "--role must be router or agent\n");
		return kExitUsage;
	}
	const std::string& file = _cli.words.at(1);
	role == "router" ? checkRouterSettings(file) : checkAgentSettings(file);
	fmt::print("{}: valid\n", file);
	return kExitOk;
}

struct Command
{
	const char* name;
	size_t leastWords;
	int (*run)(Cli&);
};

constexpr Command kCommands[] = {
	{"apply", 1, apply},     {"get", 1, get},           {"delete", 3, remove},
	{"watch", 1, watch},     {"status", 1, status},     {"withdraw", 2, withdraw},
	{"rollout", 2, rollout}, {"timeline", 1, timeline}, {"check-settings", 2, checkSettings},
};

int run(Cli& _cli)
{
	for (const Command& command : kCommands)
	{
		if (!_cli.words.empty() && _cli.words[0] == command.name && _cli.words.size() >= command.leastWords)
		{
			return command.run(_cli);
		}
	}
	fmt::print(stderr, "{}\n", kUsage);
	return kExitUsage;
}

int guardedRun(Cli& _cli)
{
	try
	{
		return run(_cli);
	}
	catch (const SettingsFailure& failure)
	{
		fmt::print(stderr, "{}\n", failure.refusal().detail);
		return kExitSettings;
	}
	catch (const Failure& failure)
	{
		const bool unknown = failure.refusal().run == RunState::Unknown;
		fmt::print(stderr, "{}{}\n", failure.what(), unknown ? " (it may have taken effect)" : "");
		return unknown ? kExitUnknown : kExitFailed;
	}
	catch (const std::exception& failure)
	{
		fmt::print(stderr, "{}\n", failure.what());
		return kExitFailed;
	}
}
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage(kUsage);
	const std::vector<char*> words = absl::ParseCommandLine(_argc, _argv);
	std::signal(SIGPIPE, SIG_IGN);
	auto* cli = new Cli; // Lives as long as the process.
	cli->words.assign(words.begin() + 1, words.end());
	installFiberScheduler(cli->io);
	const int code = guardedRun(*cli);
	std::fflush(nullptr);
	::_exit(code);
}
