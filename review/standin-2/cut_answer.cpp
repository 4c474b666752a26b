/// A worker that has said that it leaves is gone two seconds later, in the middle of answers that have
/// neither a length nor chunks. What do their clients see?
#include "standin.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <sys/wait.h>
#include <unistd.h>

using namespace standin;

namespace
{
constexpr int kEvents = 60;
constexpr int64_t kPauseMs = 100;
constexpr int64_t kNoticeMs = 2000; ///< `scale_in`, how spot: gone x s (2) after the notice.
constexpr int kWorkers = 8;         ///< One leaves: a share of 0.125, where the site has 0.13.
constexpr int kStreams = 24;
constexpr int kPlain = 16;
const std::string kWhole = std::string(40000, 'a') + "the end";

/// A sound worker: a stream goes on after `Last-Event-Id`; no answer has a length.
bool answerUnframed(const std::string& _id, Connection& _connection, const Request& _request)
{
	const bool stream = _request.method == "POST";
	if (!sendAll(_connection.socket, "HTTP/1.1 200 OK\r\n" + workerFields(_id, _request) +
										 "Connection: close\r\nContent-Type: " +
										 (stream ? "text/event-stream" : "text/plain") + "\r\n\r\n"))
	{
		return false;
	}
	if (!stream)
	{
		sendAll(_connection.socket, kWhole.substr(0, kWhole.size() / 2));
		for (int64_t waited = 0; waited < 4000 && !hasClosed(_connection.socket); waited += 20)
		{
			sleepMs(20);
		}
		sendAll(_connection.socket, kWhole.substr(kWhole.size() / 2));
		return false;
	}
	const std::string last = _request.fields.get("Last-Event-Id");
	for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= kEvents; ++event)
	{
		const std::string id = std::to_string(event);
		if (hasClosed(_connection.socket) ||
			!sendAll(_connection.socket, "id: " + id + "\ndata: piece " + id + " by " + _id + "\n\n"))
		{
			return false;
		}
		sleepMs(kPauseMs);
	}
	return false;
}

/// Runs a worker as a process of its own, which can be killed.
pid_t startWorker(const std::string& _id, uint16_t _port)
{
	const pid_t pid = ::fork();
	if (pid == 0)
	{
		endWithParent();
		const Server server(
			[_id](Connection& _connection, const Request& _request) {
				return answerUnframed(_id, _connection, _request);
			},
			128, _port);
		sleepMs(100000);
		std::_Exit(0);
	}
	return pid;
}

int lastEvent(const std::string& _body)
{
	const size_t at = _body.rfind("id: ");
	return at == std::string::npos ? 0 : std::stoi(_body.substr(at + 4));
}
} // namespace

int main(int _argc, char** _argv)
{
	const Paths paths = pathsOf(_argc, _argv);
	std::vector<uint16_t> ports;
	std::vector<pid_t> workers;
	for (int ii = 1; ii <= kWorkers; ++ii) // Before there are threads.
	{
		ports.push_back(freePort());
		workers.push_back(startWorker("w" + std::to_string(ii), ports.back()));
	}
	Record record(paths.record);
	Store store(record);
	json config = basicConfig();
	config["routes"] = {route("report", "/report/", "streaming", "llm-pool", 8000, 3),
						route("status", "/status/", "safe", "llm-pool", 8000, 2)};
	config["routes"][0]["stream_resumption"] = true;
	config["routes"][0]["gap_target_ms"] = 1200;
	config["routes"][1]["target_latency_ms"] = 6000;
	config["services"] = {
		{{"name", "llm-pool"}, {"health_check_path", "/health"}, {"connection_limit", 360}}};
	store.put("op/config", config.dump());
	for (int ii = 1; ii <= kWorkers; ++ii)
	{
		store.put("servers/w" + std::to_string(ii), beat("llm-pool", ports[size_t(ii - 1)]).dump());
	}
	Router router(paths.root, paths.temporary, "front-mil-a-1", store.server().port());
	router.start();
	int result = 2;
	if (router.awaitReady(10000))
	{
		sleepMs(1500);
		std::vector<Answer> streams(kStreams);
		std::vector<Answer> plain(kPlain);
		std::vector<std::thread> clients;
		for (int ii = 0; ii < kStreams + kPlain; ++ii)
		{
			clients.emplace_back([&, ii] {
				Call ask;
				ask.method = ii < kStreams ? "POST" : "GET";
				ask.target = ii < kStreams ? "/report/1" : "/status/1";
				ask.id = "r" + std::to_string(ii);
				ask.fields = "Key: lamp-key\r\n";
				ask.patienceMs = 8000;
				(ii < kStreams ? streams[size_t(ii)] : plain[size_t(ii - kStreams)]) =
					call(router.port(), ask);
			});
		}
		sleepMs(300);
		record.line("w1 says that it is draining");
		store.put("servers/w1", beat("llm-pool", ports.front(), "draining").dump());
		sleepMs(kNoticeMs);
		if (trouble())
		{
			::kill(workers.front(), SIGKILL);
			record.line("w1 is gone");
		}
		for (std::thread& client : clients)
		{
			client.join();
		}
		int cut = 0;
		for (const Answer& answer : streams)
		{
			const bool broken = answer.status == 200 && answer.whole && lastEvent(answer.body) < kEvents;
			cut += broken ? 1 : 0;
			record.line("stream: status " + std::to_string(answer.status) + ", last event " +
						std::to_string(lastEvent(answer.body)) + " of " + std::to_string(kEvents) +
						(answer.whole ? ", ended as complete" : ", broken off: " + answer.error));
		}
		for (const Answer& answer : plain)
		{
			const bool broken = answer.status == 200 && answer.whole && answer.body != kWhole;
			cut += broken ? 1 : 0;
			record.line(
				"plain: status " + std::to_string(answer.status) + ", " + std::to_string(answer.body.size()) +
				" of " + std::to_string(kWhole.size()) + " bytes" +
				(answer.whole ? ", complete with Content-Length " + answer.fields.get("Content-Length")
							  : ", broken off: " + answer.error));
		}
		record.line(std::to_string(cut) + " of " + std::to_string(kStreams + kPlain) +
					" answers are cut short and look complete");
		record.line(cut > 0 ? "BROKEN" : "held");
		result = cut > 0 ? 1 : 0;
	}
	for (const pid_t worker : workers)
	{
		::kill(worker, SIGKILL);
		::waitpid(worker, nullptr, 0);
	}
	router.kill();
	removeFolder(paths.temporary);
	std::_Exit(result);
}
