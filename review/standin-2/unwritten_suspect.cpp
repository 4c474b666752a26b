/// A request crashes each worker that runs it. Its path has a byte that is not ASCII, as some clients send
/// them. Routers refuse it after three crashes. Then all routers are killed, twice. Is it still refused?
#include "standin.h"

#include <cstdlib>
#include <fcntl.h>
#include <memory>
#include <set>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

using namespace standin;

namespace
{
constexpr int64_t kBackMs = 2000;    ///< "the worker is back after some seconds"
constexpr int64_t kContactMs = 3000; ///< contact_ms
constexpr int kWorkers = 6;
const std::string kTarget = "/status/cabina-citt\xe0-7";
const std::string kSame = "/status/cabina-citta-7";

int64_t steadyMs()
{
	timespec now{};
	::clock_gettime(CLOCK_MONOTONIC, &now);
	return int64_t(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

std::string badTarget()
{
	const char* ascii = std::getenv("ASCII");
	return ascii != nullptr ? kSame : kTarget;
}

/// The worker's process: it ends in the middle of a bad request.
int runWorker(uint16_t _port, const std::string& _id, const std::string& _file)
{
	endWithParent();
	const Server server(
		[&](Connection& _connection, const Request& _request) {
			if (_request.target != badTarget())
			{
				sleepMs(15);
				return sendAll(_connection.socket,
							   answerText(200, workerFields(_id, _request), "lamp is on"));
			}
			const std::string line =
				std::to_string(steadyMs()) + " " + _id + " " + _request.fields.get("Request-Id") + "\n";
			const int out = ::open(_file.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
			const bool written = ::write(out, line.data(), line.size()) > 0;
			sleepMs(60);
			std::_Exit(written ? 3 : 4);
		},
		128, _port);
	sleepMs(110000);
	return 0;
}

struct Worker
{
	std::string id;
	uint16_t port = 0;
	pid_t pid = 0;
};

/// Keeps the workers running: each that has ended is back after some seconds, as a new incarnation.
class Fleet
{
public:
	Fleet(std::string _program, std::string _file, Store& _store, Record& _record)
		: m_program(std::move(_program)), m_file(std::move(_file)), m_store(_store), m_record(_record),
		  m_workers(kWorkers)
	{
		for (Worker& worker : m_workers)
		{
			worker.port = freePort();
			start(worker);
		}
		m_keeper = std::thread([this] { keep(); });
	}

	~Fleet()
	{
		m_ends = true;
		m_keeper.join();
		for (const Worker& worker : m_workers)
		{
			if (worker.pid > 0)
			{
				::kill(worker.pid, SIGKILL);
				::waitpid(worker.pid, nullptr, 0);
			}
		}
	}

	Fleet(const Fleet&) = delete;
	Fleet& operator=(const Fleet&) = delete;

private:
	void start(Worker& _worker)
	{
		_worker.id = "w" + std::to_string(++m_started);
		const std::string port = std::to_string(_worker.port);
		const char* arguments[] = {m_program.c_str(),  "worker",       port.c_str(),
								   _worker.id.c_str(), m_file.c_str(), nullptr};
		::posix_spawn(&_worker.pid, m_program.c_str(), nullptr, nullptr, const_cast<char**>(arguments),
					  environ);
		sleepMs(50);
		m_store.put("servers/" + _worker.id, beat("lamp-ctl", _worker.port).dump());
	}

	void keep()
	{
		std::map<Worker*, int64_t> backAt;
		while (!m_ends)
		{
			for (Worker& worker : m_workers)
			{
				if (worker.pid > 0 && ::waitpid(worker.pid, nullptr, WNOHANG) == worker.pid)
				{
					worker.pid = 0;
					backAt[&worker] = nowMs() + kBackMs;
					m_record.line("worker " + worker.id + " has crashed");
				}
				else if (worker.pid == 0 && nowMs() >= backAt[&worker])
				{
					m_store.remove("servers/" + worker.id);
					start(worker);
				}
			}
			sleepMs(10);
		}
	}

	std::string m_program;
	std::string m_file;
	Store& m_store;
	Record& m_record;
	std::vector<Worker> m_workers;
	int m_started = 0;
	std::atomic<bool> m_ends{false};
	std::thread m_keeper;
};

struct Arrival
{
	int64_t at = 0;
	std::string request;
};

std::vector<Arrival> arrivals(const std::string& _file)
{
	std::vector<Arrival> all;
	std::ifstream in(_file);
	Arrival arrival;
	std::string worker;
	while (in >> arrival.at >> worker >> arrival.request)
	{
		all.push_back(arrival);
	}
	return all;
}

/// Sends the bad request again and again.
void sendBad(const Router& _router, Record& _record, int64_t _forMs, int& _number)
{
	const int64_t until = nowMs() + _forMs;
	std::map<std::string, int> seen;
	while (nowMs() < until)
	{
		Call ask;
		ask.target = badTarget();
		ask.id = "bad-" + std::to_string(_number++);
		ask.fields = "Key: lamp-key\r\n";
		ask.patienceMs = 1000;
		const Answer answer = call(_router.port(), ask);
		++seen[std::to_string(answer.status) + " " + answer.error + answer.body.substr(0, 90)];
		sleepMs(250);
	}
	for (const auto& [what, times] : seen)
	{
		_record.line("client: the bad request: " + std::to_string(times) + " times: " + what);
	}
}
} // namespace

int main(int _argc, char** _argv)
{
	if (_argc == 5 && std::string(_argv[1]) == "worker")
	{
		return runWorker(uint16_t(std::stoi(_argv[2])), _argv[3], _argv[4]);
	}
	const Paths paths = pathsOf(_argc, _argv);
	Record record(paths.record);
	Store store(record);
	store.put("op/config", basicConfig().dump());
	const std::string file = paths.temporary + "/arrivals";
	int result = 2;
	{
		Fleet fleet(_argv[0], file, store, record);
		Router router(paths.root, paths.temporary, "front-mil-a-1", store.server().port());
		router.start();
		std::atomic<bool> ends{false};
		std::atomic<int> served{0};
		std::thread sound([&] {
			for (int number = 0; !ends; ++number)
			{
				Call ask;
				ask.target = "/status/" + std::to_string(number);
				ask.id = "good-" + std::to_string(number);
				ask.fields = "Key: lamp-key\r\n";
				ask.patienceMs = 1000;
				served += call(router.port(), ask).status == 200 ? 1 : 0;
				sleepMs(100);
			}
		});
		if (router.awaitReady(10000))
		{
			int number = 0;
			sleepMs(2000);
			sendBad(router, record, 9000, number);
			const size_t first = arrivals(file).size();
			record.line(std::to_string(first) + " requests have crashed a worker");
			sleepMs(3000);
			for (int kill = 0; kill < 2; ++kill)
			{
				if (trouble())
				{
					router.kill();
					record.line("the router is killed");
					sleepMs(1000);
					router.start();
					router.awaitReady(10000);
					record.line("the router is back");
				}
				sleepMs(kContactMs + 500);
				sendBad(router, record, 9000, number);
			}
			record.line("records of refused requests in the store: " +
						std::to_string(store.keys("spanplank/suspect/").size()));
			const std::vector<Arrival> all = arrivals(file);
			std::set<std::string> late;
			for (const Arrival& arrival : all)
			{
				recordDetail("ran at a worker, at " + std::to_string(arrival.at) +
							 " ms of the steady clock: " + arrival.request);
				if (all.size() > 2 && arrival.at > all[2].at + 60 + kContactMs)
				{
					late.insert(arrival.request);
				}
			}
			record.line(std::to_string(all.size()) + " arrivals in all; " + std::to_string(late.size()) +
						" retries reached workers later than contact_ms after the third crash; " +
						std::to_string(served) + " sound requests served");
			const std::string log = router.log();
			for (size_t at = log.find("fiber_failed"); at != std::string::npos;
				 at = log.find("fiber_failed", at + 1))
			{
				record.line("router's log: " + log.substr(at, log.find('\n', at) - at));
			}
			record.line(late.size() > 3 ? "BROKEN" : "held");
			result = late.size() > 3 ? 1 : 0;
		}
		ends = true;
		sound.join();
		router.kill();
	}
	removeFolder(paths.temporary);
	std::_Exit(result);
}
