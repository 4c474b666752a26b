/// A key is taken away. Later the store comes back from an older copy, in which the key stands, while one
/// machine is being started again. Does that machine run requests with the key?
#include "standin.h"

#include <cstdlib>
#include <memory>

using namespace standin;

namespace
{
constexpr int64_t kRevokeMs = 5000;
constexpr int64_t kRewrittenMs = 2000; ///< From the store's return until the operator has written again.
} // namespace

int main(int _argc, char** _argv)
{
	const Paths paths = pathsOf(_argc, _argv);
	Record record(paths.record);
	Store store(record);
	std::mutex mutex;
	std::vector<std::pair<int64_t, std::string>> ran;
	Server worker([&](Connection& _connection, const Request& _request) {
		{
			const std::lock_guard<std::mutex> lock(mutex);
			ran.emplace_back(nowMs(), _request.fields.get("Request-Id"));
		}
		return sendAll(_connection.socket, answerText(200, workerFields("w1", _request), "lamp is on"));
	});
	json config = basicConfig();
	config["tenants"][0]["api_keys"] = {"lamp-key", "stolen-key"};
	store.put("op/config", config.dump());
	store.put("servers/w1", beat("lamp-ctl", worker.port()).dump());
	std::vector<std::unique_ptr<Router>> routers;
	for (const char* hall : {"mil-a", "tor-b"})
	{
		routers.push_back(std::make_unique<Router>(
			paths.root, paths.temporary, "front-" + std::string(hall) + "-1", store.server().port(), hall));
		routers.back()->start();
	}
	for (const auto& router : routers)
	{
		if (!router->awaitReady(10000))
		{
			return 2;
		}
	}
	sleepMs(6000);
	Router& killed = *routers[std::getenv("OTHER") != nullptr ? 0 : 1];
	Router& other = *routers[std::getenv("OTHER") != nullptr ? 1 : 0];
	int number = 0;
	const auto ask = [&](const Router& _router, const std::string& _key) {
		Call call;
		call.target = "/status/1";
		call.id = _key + "-" + std::to_string(number++);
		call.fields = "Key: " + _key + "\r\n";
		call.patienceMs = 1000;
		return standin::call(_router.port(), call).status;
	};
	record.line("before: the key gets " + std::to_string(ask(killed, "stolen-key")));
	store.copy();
	sleepMs(500);
	config["version"] = 9;
	config["tenants"][0]["api_keys"] = {"lamp-key"};
	store.put("op/config", config.dump());
	const int64_t acknowledged = nowMs();
	record.line("operator: version 9 without the key is acknowledged");
	sleepMs(6000);
	record.line("the key gets " + std::to_string(ask(killed, "stolen-key")) + " and " +
				std::to_string(ask(other, "stolen-key")));
	killed.kill();
	record.line(killed.name() + " is killed");
	if (trouble())
	{
		store.returnFromCopy();
	}
	const int64_t returned = nowMs();
	killed.start();
	bool rewritten = false;
	std::map<std::string, int> seen;
	while (nowMs() < returned + kRewrittenMs + 3000)
	{
		if (!rewritten && nowMs() > returned + kRewrittenMs)
		{
			rewritten = true;
			store.put("op/config", config.dump());
			store.put("servers/w1", beat("lamp-ctl", worker.port()).dump());
			record.line("operator: version 9 is written again");
		}
		++seen[killed.name() + ": " + std::to_string(ask(killed, "stolen-key"))];
		++seen[other.name() + ": " + std::to_string(ask(other, "stolen-key"))];
		sleepMs(30);
	}
	for (const auto& [what, times] : seen)
	{
		record.line("client: the key at " + what + ", " + std::to_string(times) + " times");
	}
	int late = 0;
	int64_t last = 0;
	for (const auto& [at, id] : ran)
	{
		const bool counts = id.compare(0, 6, "stolen") == 0 && at > acknowledged + kRevokeMs;
		late += counts ? 1 : 0;
		last = counts ? at : last;
	}
	record.line(std::to_string(late) +
				" requests with the key ran later than revoke_ms after its removal was "
				"acknowledged, the last " +
				std::to_string(last - acknowledged) + " ms after");
	record.line(late > 0 ? "BROKEN" : "held");
	for (const auto& router : routers)
	{
		router->kill();
	}
	removeFolder(paths.temporary);
	std::_Exit(late > 0 ? 1 : 0);
}
