/// An entry of another writer stands among those of the workers: its address ends with a line feed, as a
/// shell script leaves it behind. It names no worker to use; the others hold.
/// Arguments: the router's program, a folder for its files, the record, 1 with the disruption or 0 without.
#include <cstdio>
#include <cstdlib>
#include <unistd.h>

#include "../standin/standin.h"

using namespace review;

namespace
{
constexpr double kBeforeMs = 5000;
constexpr double kAfterMs = 15000;
constexpr double kPauseMs = 100; ///< Of a client, between two requests.
constexpr double kReadyMs = 30000;
constexpr int kClientsOfRouter = 4;
constexpr double kServedBefore =
	0.95; ///< Least share of the calls before the entry: the machine may be busy.

json configuration()
{
	const auto route = [](const char* _name, const char* _prefix, const char* _kind, int _attempts) {
		return json{{"name", _name},           {"host", "review.example"}, {"path_prefix", _prefix},
					{"kind", _kind},           {"timeout_ms", 1000},       {"target_latency_ms", 100},
					{"priority", 0},           {"service", "app"},         {"max_attempts", _attempts},
					{"allow_anonymous", false}};
	};
	return {{"version", 7},
			{"routes", {route("command", "/command/", "unsafe", 1), route("status", "/status/", "safe", 2)}},
			{"services", {{{"name", "app"}, {"health_check_path", "/health"}, {"connection_limit", 100}}}},
			{"limits",
			 {{"max_header_bytes", 16384},
			  {"max_body_bytes", 4194304},
			  {"header_timeout_ms", 3000},
			  {"idle_timeout_ms", 15000}}},
			{"tenants", {{{"name", "tenant-a"}, {"api_keys", {"key-a"}}, {"priority", 1}}}}};
}

/// What the clients have seen.
struct Tally
{
	std::mutex mutex;
	int requests = 0;
	int served = 0;
	int denied = 0; ///< A 3xx or 4xx of the router's own other than 408, 421 and 429.
	int deniedUnsafe = 0;
	int other = 0;
};

void count(Tally& _tally, const Call& _call, const Answer& _answer)
{
	const std::lock_guard<std::mutex> lock(_tally.mutex);
	++_tally.requests;
	const int status = _answer.status;
	const bool promise = status == 408 || status == 421 || status == 429;
	if (status == 200 && !_answer.stamp.empty())
	{
		++_tally.served;
	}
	else if (status >= 300 && status < 500 && !promise && _answer.stamp.empty())
	{
		++_tally.denied;
		_tally.deniedUnsafe += _call.method == "POST" ? 1 : 0;
	}
	else
	{
		++_tally.other;
	}
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
	const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
	Store store("127.0.0.1");
	store.put("op/config", configuration().dump());
	std::vector<std::unique_ptr<Worker>> workers;
	std::vector<std::unique_ptr<Router>> routers;
	for (const std::string& zone : zones)
	{
		WorkerPlan plan;
		plan.id = "i-worker-" + zone;
		plan.zone = zone;
		workers.push_back(std::make_unique<Worker>(store, "127.0.0.1", plan));
	}
	for (const std::string& zone : zones)
	{
		routers.push_back(
			std::make_unique<Router>(_program, _folder, "front-" + zone + "-1", zone, store.address()));
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
	Tally before;
	Tally after;
	std::atomic<bool> changed{false};
	std::atomic<bool> stop{false};
	std::vector<std::thread> clients;
	for (size_t ii = 0; ii < routers.size() * kClientsOfRouter; ++ii)
	{
		clients.emplace_back([&, ii] {
			Call call;
			call.method = ii % 2 == 0 ? "POST" : "GET";
			call.path = ii % 2 == 0 ? "/command/x" : "/status/x";
			call.key = "key-a";
			while (!stop)
			{
				Tally& tally = changed ? after : before;
				count(tally, call, callRouter(*routers[ii % routers.size()], call));
				sleepMs(kPauseMs);
			}
		});
	}
	sleepMs(kBeforeMs);
	if (_trouble)
	{
		json entry = workers.front()->registration();
		entry["address"] = "127.0.0.1:" + std::to_string(freePort("127.0.0.1")) + "\n";
		record("writer    servers/i-other-writer: " + entry.dump());
		store.put("servers/i-other-writer", entry.dump());
	}
	changed = true;
	sleepMs(kAfterMs);
	stop = true;
	for (std::thread& client : clients)
	{
		client.join();
	}
	if (before.denied > 0 || before.served < kServedBefore * before.requests)
	{
		return finish(2, "too few calls before the entry were served");
	}
	const int requests = before.requests + after.requests;
	const int allowed = 5 + requests / 500;
	const std::string counts = std::to_string(after.denied) + " of " + std::to_string(requests) +
							   " proper requests ended with a 4xx of the routers (" +
							   std::to_string(after.deniedUnsafe) + " of them unsafe), allowed are " +
							   std::to_string(allowed) + "; " + std::to_string(after.served) + " of " +
							   std::to_string(after.requests) + " were served after the entry";
	return after.denied > allowed ? finish(1, "DENIED broken: " + counts)
								  : finish(0, "DENIED held: " + counts);
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
