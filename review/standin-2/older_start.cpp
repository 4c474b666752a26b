/// A worker's clock has jumped back, and the worker starts again under its id:
/// `born` is lower than before. Then it leaves. Does it still get requests?
#include "standin.h"

#include <chrono>
#include <cstdlib>
#include <memory>

using namespace standin;

namespace
{
constexpr int64_t kStepMs = 2400;     ///< `clock_step`; the pages' dose is 2,400 ms.
constexpr int64_t kDrainMs = 2000;    ///< drain_ms
constexpr int64_t kServesOnMs = 6000; ///< "drain_ms and a little longer (at times many seconds)".

int64_t wallMs()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
			   std::chrono::system_clock::now().time_since_epoch())
		.count();
}

struct Arrivals
{
	std::mutex mutex;
	std::vector<int64_t> at;
};
} // namespace

int main(int _argc, char** _argv)
{
	const Paths paths = pathsOf(_argc, _argv);
	Record record(paths.record);
	Store store(record);
	Arrivals leaving;
	const auto serve = [&](const char* _id, bool _leaving) {
		return [&, _id, _leaving](Connection& _connection, const Request& _request) {
			if (_leaving)
			{
				const std::lock_guard<std::mutex> lock(leaving.mutex);
				leaving.at.push_back(nowMs());
			}
			sleepMs(_request.method == "POST" ? 100 : 15); // The sheet has up to 110 ms.
			return sendAll(_connection.socket, answerText(200, workerFields(_id, _request), "lamp is on"));
		};
	};
	auto first = std::make_unique<Server>(serve("w1", true));
	const uint16_t port = first->port();
	std::vector<std::unique_ptr<Server>> others; // One of eight crashes and leaves: a share of 0.125.
	for (const char* id : {"w2", "w3", "w4", "w5", "w6", "w7", "w8"})
	{
		others.push_back(std::make_unique<Server>(serve(id, false)));
		json beatOfOther = beat("lamp-ctl", others.back()->port());
		beatOfOther["born"] = wallMs();
		store.put("servers/" + std::string(id), beatOfOther.dump());
	}
	store.put("op/config", basicConfig().dump());
	json beatOfFirst = beat("lamp-ctl", port);
	beatOfFirst["born"] = wallMs();
	Router router(paths.root, paths.temporary, "front-mil-a-1", store.server().port());
	router.start();
	if (!router.awaitReady(10000))
	{
		return 2;
	}
	std::atomic<bool> ends{false};
	std::atomic<int> served{0};
	std::atomic<int> unanswered{0}; ///< Requests that can't be repeated and whose worker was gone.
	std::vector<std::thread> clients;
	for (int ii = 0; ii < 28; ++ii)
	{
		clients.emplace_back([&, ii] {
			for (int number = 0; !ends; ++number)
			{
				Call ask;
				const bool once = ii < 24;
				ask.method = once ? "POST" : "GET";
				ask.target = (once ? "/dim/" : "/status/") + std::to_string(number % 7);
				ask.body = once ? "{}" : "";
				ask.id = "c" + std::to_string(ii) + "-" + std::to_string(number);
				ask.fields = "Key: lamp-key\r\n";
				ask.patienceMs = 1000;
				const Answer answer = call(router.port(), ask);
				served += answer.status == 200 ? 1 : 0;
				unanswered += once && answer.status != 200 && answer.status != 503 ? 1 : 0;
				sleepMs(40);
			}
		});
	}
	sleepMs(3000);
	beatOfFirst["born"] = wallMs();
	record.line("w1 starts, born " + beatOfFirst["born"].dump());
	store.put("servers/w1", beatOfFirst.dump());
	sleepMs(1000);
	// It crashes and starts again at the same address; its clock is back by
	// kStepMs with the trouble.
	first->end();
	record.line("w1 crashes");
	sleepMs(1000);
	const auto crashed = std::move(first); // Its threads may still run.
	first = std::make_unique<Server>(serve("w1", true), 128, port);
	beatOfFirst["born"] = wallMs() - (trouble() ? kStepMs : 0);
	beatOfFirst["sequence"] = 1;
	record.line("w1 starts again under its id, born " + beatOfFirst["born"].dump());
	store.put("servers/w1", beatOfFirst.dump());
	sleepMs(8000);
	size_t had = 0;
	{
		const std::lock_guard<std::mutex> lock(leaving.mutex);
		had = leaving.at.size();
	}
	beatOfFirst["state"] = "draining";
	store.put("servers/w1", beatOfFirst.dump());
	const int64_t acknowledged = nowMs();
	record.line("w1 says that it is draining, which the store has taken");
	sleepMs(kDrainMs + kServesOnMs);
	const int before = unanswered;
	first->end();
	store.remove("servers/w1");
	record.line("w1 ends");
	sleepMs(1000);
	ends = true;
	for (std::thread& client : clients)
	{
		client.join();
	}
	int late = 0;
	int64_t last = 0;
	for (const int64_t at : leaving.at)
	{
		late += at > acknowledged + kDrainMs ? 1 : 0;
		last = at;
	}
	record.line("w1 had " + std::to_string(had) + " requests before, " + std::to_string(late) +
				" later than drain_ms after, the last " + std::to_string(last - acknowledged) +
				" ms after; " + std::to_string(served) + " served in all");
	record.line(std::to_string(unanswered - before) +
				" requests that can't be repeated were lost as it ended");
	record.line(late > 0 ? "BROKEN" : "held");
	router.kill();
	removeFolder(paths.temporary);
	std::_Exit(late > 0 ? 1 : 0);
}
