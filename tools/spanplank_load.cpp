/// spanplank-load: open-loop load with a fixed seed, checked answers and a report.
///
/// Arrivals follow a Poisson process that never waits for answers, and latency counts from the moment a
/// request was due, so that a stalled system can't hide its stalls.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cmath>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include "daemon_main_p.h"
#include "fiber_runtime_p.h"
#include "http_p.h"
#include "node_p.h"

ABSL_FLAG(std::string, workload, "", "YAML file with the workload");
ABSL_FLAG(std::vector<std::string>, routers, {}, "ip:port of each router");
ABSL_FLAG(std::vector<std::string>, services, {}, "ip:port of each plain service, to count what ran twice");
ABSL_FLAG(double, seconds, 0.0, "overrides the workload's length");
ABSL_FLAG(double, rate, 0.0, "overrides the workload's requests per second");
ABSL_FLAG(uint64_t, seed, 0, "overrides the workload's seed");
ABSL_FLAG(uint32_t, tries, 3, "how often a caller comes back after a refusal that says when");
ABSL_FLAG(std::string, json, "", "file to write the report to");

namespace
{
using namespace spanplank;
using nlohmann::json;

struct Kind
{
	std::string name;
	double share = 1.0;
	double weight = 1.0;
	std::string model;
	std::string service;
	std::string path;
	bool stream = false;
	bool once = false;
	bool session = false;
	uint32_t maxTokens = 16;
	uint32_t promptBytes = 400;
	uint32_t sharedBytes = 0;
	uint32_t deadlineMs = 5000;
};

struct Workload
{
	std::string name;
	double seconds = 5.0;
	double rate = 20.0;
	uint64_t seed = 1;
	std::vector<std::string> keys;
	std::vector<Kind> kinds;
};

/// Latencies in buckets that grow by 2%.
struct Histogram
{
	std::map<int, uint64_t> buckets;
	uint64_t count = 0;
};

void record(Histogram& _histogram, TimeUs _us)
{
	++_histogram.buckets[int(std::log(double(std::max<TimeUs>(1, _us))) / std::log(1.02))];
	++_histogram.count;
}

double percentileMs(const Histogram& _histogram, double _share)
{
	const auto rank = uint64_t(std::ceil(_share * double(_histogram.count)));
	uint64_t seen = 0;
	for (const auto& [bucket, count] : _histogram.buckets)
	{
		seen += count;
		if (seen >= rank)
		{
			return std::pow(1.02, bucket + 1) / 1000.0;
		}
	}
	return 0.0;
}

struct Tally
{
	uint64_t requests = 0;
	uint64_t answered = 0;
	uint64_t late = 0;
	uint64_t refused = 0; ///< Refused for good, run `no`.
	uint64_t unknown = 0; ///< Refused for good, run `unknown`.
	uint64_t lost = 0;    ///< Ended without an answer or a typed refusal.
	uint64_t wrong = 0;
	uint64_t comebacks = 0;
	Histogram first;
	Histogram whole;
	std::map<std::string, uint64_t> codes;
	std::map<std::string, uint64_t> versions;
};

struct Load
{
	boost::asio::io_context io;
	Workload workload;
	std::vector<std::unique_ptr<HttpClient>> routers;
	std::map<std::string, Tally> tallies;
	uint64_t running = 0;
	std::vector<std::string> onceKeys;
	std::map<std::string, std::string> sessions; ///< Token by session name.
	std::map<std::string, std::string> sessionVersion;
};

Kind readKind(const YAML::Node& _node)
{
	Kind kind;
	kind.name = _node["name"].as<std::string>();
	kind.share = _node["share"].as<double>(1.0);
	kind.weight = _node["weight"].as<double>(1.0);
	kind.model = _node["model"].as<std::string>("");
	kind.service = _node["service"].as<std::string>("");
	kind.path = _node["path"].as<std::string>("");
	kind.stream = _node["stream"].as<bool>(false);
	kind.once = _node["once"].as<bool>(false);
	kind.session = _node["session"].as<bool>(false);
	kind.maxTokens = _node["maxTokens"].as<uint32_t>(16);
	kind.promptBytes = _node["promptBytes"].as<uint32_t>(400);
	kind.sharedBytes = _node["sharedBytes"].as<uint32_t>(0);
	kind.deadlineMs = _node["deadlineMs"].as<uint32_t>(5000);
	return kind;
}

Workload readWorkload(const std::string& _file)
{
	const YAML::Node root = YAML::LoadFile(_file);
	Workload workload;
	workload.name = root["name"].as<std::string>();
	workload.seconds = root["seconds"].as<double>(5.0);
	workload.rate = root["rate"].as<double>(20.0);
	workload.seed = root["seed"].as<uint64_t>(1);
	workload.keys = root["keys"].as<std::vector<std::string>>();
	for (const YAML::Node& node : root["kinds"])
	{
		workload.kinds.push_back(readKind(node));
	}
	return workload;
}

/// One caller's request, over all its tries.
struct Request
{
	const Kind* kind = nullptr;
	std::string marker;
	std::string key;
	std::string idempotencyKey;
	std::string session;
	TimeUs due = 0;
	size_t router = 0;
};

std::string uuid7(Random& _random, int64_t _wallMs)
{
	const uint64_t high = nextRandom(_random);
	const uint64_t low = nextRandom(_random);
	return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", uint64_t(_wallMs) >> 16, _wallMs & 0xffff,
					   high & 0xfff, 0x8000 | (low & 0x3fff), (high >> 12) & 0xffffffffffffull);
}

std::string promptOf(const Request& _request, const Workload& _workload)
{
	std::string prompt;
	const uint64_t group = stableHash(_request.key) % std::max<size_t>(1, _workload.keys.size());
	while (prompt.size() < _request.kind->sharedBytes)
	{
		prompt += fmt::format("rule {} of {} group {}. ", prompt.size(), _request.kind->name, group);
	}
	const size_t shared = prompt.size();
	while (prompt.size() < shared + _request.kind->promptBytes)
	{
		prompt += fmt::format("{} text {}. ", _request.marker, prompt.size());
	}
	return prompt + " " + _request.marker;
}

HttpCall toCall(const Load& _load, const Request& _request)
{
	HttpCall call;
	call.timeoutMs = _request.kind->deadlineMs + 3000;
	call.headers = {{"Authorization", "Bearer " + _request.key},
					{"X-Spanplank-Kind", _request.kind->name},
					{"X-Spanplank-Deadline-Ms", std::to_string(_request.kind->deadlineMs)},
					{"Content-Type", "application/json"}};
	if (!_request.idempotencyKey.empty())
	{
		call.headers.push_back({"Idempotency-Key", _request.idempotencyKey});
	}
	if (!_request.session.empty())
	{
		const auto token = _load.sessions.find(_request.session);
		call.headers.push_back(
			{"X-Spanplank-Session", token == _load.sessions.end() ? "new" : token->second});
	}
	if (!_request.kind->service.empty())
	{
		call.target = fmt::format("/v1/services/{}/{}", _request.kind->service, _request.kind->path);
		call.body = json{{"marker", _request.marker}}.dump();
		return call;
	}
	call.target = "/v1/chat/completions";
	call.body = json{{"model", _request.kind->model},
					 {"stream", _request.kind->stream},
					 {"max_tokens", _request.kind->maxTokens},
					 {"messages", {{{"role", "user"}, {"content", promptOf(_request, _load.workload)}}}}}
					.dump();
	return call;
}

std::string headerOf(const HttpResponse& _response, const std::string& _name)
{
	for (const HttpHeader& header : _response.headers)
	{
		if (boost::beast::iequals(header.name, _name))
		{
			return header.value;
		}
	}
	return "";
}

/// All text of the answer, whether whole or streamed.
std::string answerText(const Request& _request, const std::string& _body)
{
	if (!_request.kind->stream)
	{
		const json body = json::parse(_body, nullptr, false);
		return body.is_object() && body.contains("choices")
				   ? body["choices"][0]["message"].value("content", "")
				   : "";
	}
	std::string text;
	for (size_t at = _body.find("data: {"); at != std::string::npos; at = _body.find("data: {", at + 1))
	{
		const json event = json::parse(_body.substr(at + 6, _body.find("\n\n", at) - at - 6), nullptr, false);
		if (event.is_object() && event.contains("choices") && !event["choices"].empty())
		{
			text += event["choices"][0]["delta"].value("content", "");
		}
	}
	return text;
}

/// @returns Whether the answer is whole and belongs to this very request.
bool isRight(const Request& _request, const std::string& _body)
{
	if (!_request.kind->service.empty())
	{
		return _body.find(_request.marker) != std::string::npos;
	}
	std::string expected;
	for (uint32_t ii = 0; ii < _request.kind->maxTokens; ++ii)
	{
		expected += _request.marker + " ";
	}
	return answerText(_request, _body) == expected;
}

void noteAnswer(Load& _load, const Request& _request, const HttpResponse& _response, const std::string& _body,
				TimeUs _firstAt, Tally& _tally)
{
	const TimeUs now = monotonicNow();
	++_tally.answered;
	record(_tally.first, (_firstAt == 0 ? now : _firstAt) - _request.due);
	record(_tally.whole, now - _request.due);
	_tally.late += now - _request.due > TimeUs(_request.kind->deadlineMs) * kMsToUs ? 1 : 0;
	const std::string version = headerOf(_response, "X-Spanplank-Version");
	++_tally.versions[version];
	bool right = isRight(_request, _body);
	if (!_request.session.empty())
	{
		const std::string token = headerOf(_response, "X-Spanplank-Session");
		if (!token.empty())
		{
			_load.sessions.emplace(_request.session, token);
			_load.sessionVersion.emplace(_request.session, version);
		}
		else
		{
			right = right && _load.sessionVersion[_request.session] == version;
		}
	}
	_tally.wrong += right ? 0 : 1;
}

enum class TryResult : uint8_t
{
	Done,
	ComeBack,
};

/// One try of a request. @param[out] _pauseMs When to come back.
TryResult tryOnce(Load& _load, const Request& _request, bool _last, Tally& _tally, uint32_t& _pauseMs)
{
	HttpResponse head;
	std::string body;
	TimeUs firstAt = 0;
	bool failed = false;
	try
	{
		head = call(*_load.routers[_request.router], toCall(_load, _request),
					[&](const HttpResponse&, std::string_view _part) {
						firstAt = firstAt == 0 ? monotonicNow() : firstAt;
						body.append(_part);
					});
	}
	catch (const HttpFailure&)
	{
		failed = true;
	}
	const json answer = failed || head.status == 200 ? json() : json::parse(body, nullptr, false);
	const bool typed = answer.is_object() && answer.contains("error");
	if (!failed && head.status == 200)
	{
		noteAnswer(_load, _request, head, body, firstAt, _tally);
		return TryResult::Done;
	}
	const std::string run = typed ? answer["error"].value("run", "unknown") : "unknown";
	_pauseMs = typed ? answer["error"].value("retry_after_ms", 0u) : 100;
	const bool mayComeBack =
		run == "no" ? _pauseMs > 0 : (_request.kind->once || _request.kind->service.empty());
	if (!_last && mayComeBack)
	{
		++_tally.comebacks;
		return TryResult::ComeBack;
	}
	const bool cutWithError = body.find("event: error") != std::string::npos;
	if (!typed && !cutWithError)
	{
		++_tally.lost;
	}
	else
	{
		++(run == "no" ? _tally.refused : _tally.unknown);
		++_tally.codes[typed ? answer["error"].value("code", "") : "broken"];
	}
	return TryResult::Done;
}

void runRequest(Load& _load, Request _request)
{
	Tally& tally = _load.tallies[_request.kind->name];
	++tally.requests;
	const uint32_t tries = absl::GetFlag(FLAGS_tries) + 1;
	for (uint32_t ii = 1; ii <= tries; ++ii)
	{
		uint32_t pauseMs = 0;
		if (tryOnce(_load, _request, ii == tries, tally, pauseMs) == TryResult::Done)
		{
			break;
		}
		sleepFor(std::max(10u, pauseMs));
		_request.router = (_request.router + 1) % _load.routers.size();
	}
	--_load.running;
}

const Kind& drawKind(const Workload& _workload, Random& _random)
{
	double total = 0.0;
	for (const Kind& kind : _workload.kinds)
	{
		total += kind.share;
	}
	double left = nextUnit(_random) * total;
	for (const Kind& kind : _workload.kinds)
	{
		left -= kind.share;
		if (left <= 0.0)
		{
			return kind;
		}
	}
	return _workload.kinds.back();
}

void generate(Load& _load)
{
	constexpr uint64_t kSessions = 5;
	Random random{_load.workload.seed};
	const TimeUs start = monotonicNow();
	const auto end = start + TimeUs(_load.workload.seconds * 1e6);
	auto due = double(start);
	uint64_t count = 0;
	while (true)
	{
		due += -std::log(1.0 - nextUnit(random)) / _load.workload.rate * 1e6;
		if (TimeUs(due) >= end)
		{
			return;
		}
		Request request;
		request.kind = &drawKind(_load.workload, random);
		request.marker = fmt::format("m{}x{:x}", count++, nextRandom(random) & 0xffffff);
		request.key = _load.workload.keys[nextRandom(random) % _load.workload.keys.size()];
		request.due = TimeUs(due);
		request.router = nextRandom(random) % _load.routers.size();
		if (request.kind->once)
		{
			request.idempotencyKey = uuid7(random, wallNow() / 1000);
			_load.onceKeys.push_back(request.idempotencyKey);
		}
		if (request.kind->session)
		{
			request.session = fmt::format("{}/{}", request.key, nextRandom(random) % kSessions);
		}
		const TimeUs wait = request.due - monotonicNow();
		if (wait > 0)
		{
			boost::this_fiber::sleep_for(std::chrono::microseconds(wait));
		}
		++_load.running;
		spawnFiber([&_load, request] { runRequest(_load, request); });
	}
}

/// Asks the plain services how often each key ran.
uint64_t countDoubled(Load& _load)
{
	std::map<std::string, uint64_t> runs;
	for (const std::string& address : absl::GetFlag(FLAGS_services))
	{
		HttpClient client;
		client.io = &_load.io;
		client.endpoint = parseEndpoint(address);
		HttpCall counts;
		counts.method = "GET";
		counts.target = "/counts";
		const json answer = json::parse(call(client, counts).body);
		for (const auto& item : answer["runs_by_key"].items())
		{
			runs[item.key()] += item.value().get<uint64_t>();
		}
	}
	uint64_t doubled = 0;
	for (const std::string& key : _load.onceKeys)
	{
		doubled += runs[key] > 1 ? 1 : 0;
	}
	return doubled;
}

json tallyReport(const Tally& _tally)
{
	return {{"requests", _tally.requests},
			{"answered", _tally.answered},
			{"late", _tally.late},
			{"refused", _tally.refused},
			{"unknown", _tally.unknown},
			{"lost", _tally.lost},
			{"wrong", _tally.wrong},
			{"comebacks", _tally.comebacks},
			{"codes", _tally.codes},
			{"versions", _tally.versions},
			{"first_ms",
			 {{"p50", percentileMs(_tally.first, 0.5)},
			  {"p95", percentileMs(_tally.first, 0.95)},
			  {"p99", percentileMs(_tally.first, 0.99)}}},
			{"whole_ms",
			 {{"p50", percentileMs(_tally.whole, 0.5)},
			  {"p95", percentileMs(_tally.whole, 0.95)},
			  {"p99", percentileMs(_tally.whole, 0.99)}}}};
}

void addTo(Tally& _sum, const Tally& _part)
{
	_sum.requests += _part.requests;
	_sum.answered += _part.answered;
	_sum.late += _part.late;
	_sum.refused += _part.refused;
	_sum.unknown += _part.unknown;
	_sum.lost += _part.lost;
	_sum.wrong += _part.wrong;
	_sum.comebacks += _part.comebacks;
	for (const auto& [bucket, count] : _part.first.buckets)
	{
		_sum.first.buckets[bucket] += count;
		_sum.first.count += count;
	}
	for (const auto& [bucket, count] : _part.whole.buckets)
	{
		_sum.whole.buckets[bucket] += count;
		_sum.whole.count += count;
	}
}

void printRow(const std::string& _name, const Tally& _tally)
{
	fmt::print("{:<14} {:>8} {:>8} {:>6} {:>7} {:>7} {:>5} {:>6} {:>9.1f} {:>8.1f} {:>8.1f}\n", _name,
			   _tally.requests, _tally.answered, _tally.late, _tally.refused, _tally.unknown, _tally.lost,
			   _tally.wrong, percentileMs(_tally.first, 0.5), percentileMs(_tally.first, 0.95),
			   percentileMs(_tally.first, 0.99));
}

/// @returns The exit code: failed on any lost, doubled or wrong answer.
int report(Load& _load)
{
	Tally sum;
	json kinds = json::object();
	fmt::print("{:<14} {:>8} {:>8} {:>6} {:>7} {:>7} {:>5} {:>6} {:>9} {:>8} {:>8}\n", "kind", "requests",
			   "answered", "late", "refused", "unknown", "lost", "wrong", "first p50", "p95 ms", "p99 ms");
	for (const auto& [name, tally] : _load.tallies)
	{
		printRow(name, tally);
		kinds[name] = tallyReport(tally);
		addTo(sum, tally);
	}
	printRow("all", sum);
	const uint64_t doubled = countDoubled(_load);
	fmt::print("{}: requests {} answered {} refused {} unknown {} lost {} doubled {} wrong {} "
			   "first_ms p50 {:.1f} p95 {:.1f} p99 {:.1f}\n",
			   _load.workload.name, sum.requests, sum.answered, sum.refused, sum.unknown, sum.lost, doubled,
			   sum.wrong, percentileMs(sum.first, 0.5), percentileMs(sum.first, 0.95),
			   percentileMs(sum.first, 0.99));
	const std::string file = absl::GetFlag(FLAGS_json);
	if (!file.empty())
	{
		json all = tallyReport(sum);
		all["doubled"] = doubled;
		all["seed"] = _load.workload.seed;
		all["rate"] = _load.workload.rate;
		all["kinds"] = kinds;
		std::ofstream(file) << all.dump(2) << '\n';
	}
	return sum.lost + doubled + sum.wrong == 0 ? kExitOk : kExitFailed;
}

int runLoad(Load& _load)
{
	for (const std::string& address : absl::GetFlag(FLAGS_routers))
	{
		auto client = std::make_unique<HttpClient>();
		client->io = &_load.io;
		client->endpoint = parseEndpoint(address);
		_load.routers.push_back(std::move(client));
	}
	_load.workload = readWorkload(absl::GetFlag(FLAGS_workload));
	Workload& workload = _load.workload;
	workload.seconds = absl::GetFlag(FLAGS_seconds) > 0.0 ? absl::GetFlag(FLAGS_seconds) : workload.seconds;
	workload.rate = absl::GetFlag(FLAGS_rate) > 0.0 ? absl::GetFlag(FLAGS_rate) : workload.rate;
	workload.seed = absl::GetFlag(FLAGS_seed) > 0 ? absl::GetFlag(FLAGS_seed) : workload.seed;
	fmt::print("workload {} seed {} rate {}/s for {} s\n", workload.name, workload.seed, workload.rate,
			   workload.seconds);
	generate(_load);
	while (_load.running > 0)
	{
		sleepFor(20);
	}
	return report(_load);
}
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage("spanplank-load: open-loop load, checked answers, a report.\n"
								 "usage: spanplank-load --workload FILE --routers IP:PORT,...");
	absl::ParseCommandLine(_argc, _argv);
	if (absl::GetFlag(FLAGS_workload).empty() || absl::GetFlag(FLAGS_routers).empty())
	{
		fmt::print(stderr, "--workload and --routers are needed; see --help\n");
		return kExitUsage;
	}
	std::signal(SIGPIPE, SIG_IGN);
	auto* load = new Load; // Lives as long as the process.
	installFiberScheduler(load->io);
	int code = kExitFailed;
	try
	{
		code = runLoad(*load);
	}
	catch (const std::exception& failure)
	{
		fmt::print(stderr, "{}\n", failure.what());
	}
	std::fflush(nullptr);
	::_exit(code);
}
