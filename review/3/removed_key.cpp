/// A key is taken away while its holder goes on sending. The holder uses a route that needs a key and one
/// that also serves callers without one (`allow_anonymous`). Arguments: the router's program, a folder for
/// its files, the record, 1 with the disruption or 0 without.
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <unistd.h>

#include "../standin/standin.h"

using namespace review;

namespace
{
constexpr double kRevokeMs = 5000; ///< `revoke_ms` of the deployment.
constexpr double kBeforeMs = 3000; ///< Calls before the change.
constexpr double kAfterMs = 10000; ///< Calls after it has been acknowledged.
constexpr double kReadyMs = 30000;
constexpr double kServedBefore =
	0.95; ///< Least share of the calls before the change: the machine may be busy.
constexpr const char* kRemoved = "key-that-is-taken-away";
constexpr const char* kOther = "key-of-another-tenant";
/// Path and key of the calls of each round.
constexpr std::array<std::pair<const char*, const char*>, 4> kCalls = {
	{{"/open/x", kRemoved}, {"/open/x", ""}, {"/closed/x", kRemoved}, {"/closed/x", kOther}}};

json configOf(int _version, bool _removed)
{
	const auto route = [](const char* _name, const char* _prefix, bool _anonymous) {
		return json{{"name", _name},          {"host", "review.example"},
					{"path_prefix", _prefix}, {"kind", "safe"},
					{"timeout_ms", 1000},     {"target_latency_ms", 100},
					{"priority", 0},          {"service", "app"},
					{"max_attempts", 2},      {"allow_anonymous", _anonymous}};
	};
	json keys = json::array({"second-key-of-the-same-tenant"});
	if (!_removed)
	{
		keys.push_back(kRemoved);
	}
	return {{"version", _version},
			{"routes", {route("open", "/open/", true), route("closed", "/closed/", false)}},
			{"services", {{{"name", "app"}, {"health_check_path", "/health"}, {"connection_limit", 100}}}},
			{"limits",
			 {{"max_header_bytes", 16384},
			  {"max_body_bytes", 4194304},
			  {"header_timeout_ms", 3000},
			  {"idle_timeout_ms", 15000}}},
			{"tenants",
			 {{{"name", "tenant-a"}, {"api_keys", keys}, {"priority", 1}},
			  {{"name", "tenant-b"}, {"api_keys", {kOther}}, {"priority", 1}}}}};
}

struct Sent
{
	Call call;
	Answer answer;
};

void sendRound(const std::vector<std::unique_ptr<Router>>& _routers, std::vector<Sent>& _sent)
{
	for (const auto& router : _routers)
	{
		for (const auto& [path, key] : kCalls)
		{
			Call call;
			call.path = path;
			call.key = key;
			_sent.push_back({call, callRouter(*router, call)});
		}
	}
	sleepMs(100);
}

int finish(int _code, const std::string& _verdict)
{
	record("verdict   " + _verdict);
	std::printf("%s\n", _verdict.c_str());
	std::fflush(stdout);
	return _code;
}

int play(const std::string& _program, const std::string& _folder, bool _trouble)
{
	Store store("127.0.0.1");
	store.put("op/config", configOf(7, false).dump());
	std::vector<std::unique_ptr<Worker>> workers;
	for (const char* zone : {"zone-a", "zone-b", "zone-c"})
	{
		WorkerPlan plan;
		plan.id = std::string("i-worker-") + zone;
		plan.zone = zone;
		workers.push_back(std::make_unique<Worker>(store, "127.0.0.1", plan));
	}
	std::vector<std::unique_ptr<Router>> routers;
	for (const char* zone : {"zone-a", "zone-b", "zone-c"})
	{
		routers.push_back(std::make_unique<Router>(_program, _folder, std::string("front-") + zone + "-1",
												   zone, store.address()));
	}
	for (const auto& router : routers)
	{
		while (!router->ready())
		{
			if (nowMs() > kReadyMs || !router->running())
			{
				return finish(2, "a router does not become ready");
			}
			sleepMs(50);
		}
	}
	std::vector<Sent> sent;
	for (const double until = nowMs() + kBeforeMs; nowMs() < until;)
	{
		sendRound(routers, sent);
	}
	const auto served =
		std::count_if(sent.begin(), sent.end(), [](const Sent& _one) { return _one.answer.status == 200; });
	if (double(served) < kServedBefore * double(sent.size()))
	{
		return finish(2, "too few calls before the change were served");
	}
	const double ackAt = store.put("op/config", configOf(11, _trouble).dump());
	record(std::string("operator  configuration 11 acknowledged") + (_trouble ? ", one key less" : ""));
	sent.clear();
	while (nowMs() < ackAt + kAfterMs)
	{
		sendRound(routers, sent);
	}
	std::map<std::string, Run> runs;
	for (const auto& worker : workers)
	{
		for (const Run& run : worker->runs())
		{
			runs[run.requestId] = run;
		}
	}
	int late = 0;
	int ran = 0;
	int ranOpen = 0;
	for (const Sent& one : sent)
	{
		const bool counts = _trouble && one.call.key == kRemoved && one.answer.sentAt > ackAt + kRevokeMs;
		if (!counts)
		{
			continue;
		}
		++late;
		const auto run = runs.find(one.answer.requestId);
		if (run != runs.end())
		{
			++ran;
			ranOpen += one.call.path == "/open/x" ? 1 : 0;
			record("broken    " + one.answer.requestId + " was sent " +
				   std::to_string(int(one.answer.sentAt - ackAt)) +
				   " ms after the acknowledgement and ran at " + run->second.worker + " with Tenant '" +
				   run->second.tenant + "'");
		}
	}
	const std::string counts = std::to_string(ran) + " of " + std::to_string(late) +
							   " requests with the removed key, sent later than revoke_ms after the "
							   "acknowledgement, ran (" +
							   std::to_string(ranOpen) + " of them on the route with allow_anonymous)";
	return ran > 0 ? finish(1, "CONFIG broken: " + counts) : finish(0, "CONFIG held: " + counts);
}
} // namespace

int main(int _argc, char** _argv)
{
	if (_argc != 5)
	{
		return 2;
	}
	openRecord(_argv[3]);
	int code = 2;
	try
	{
		code = play(_argv[1], _argv[2], std::atoi(_argv[4]) != 0);
	}
	catch (const std::exception& failure)
	{
		code = finish(2, std::string("the case could not run: ") + failure.what());
	}
	::_exit(code); // Threads of connections may still wait.
}
