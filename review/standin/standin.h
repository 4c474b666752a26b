/// Stand-ins for the cases of the review: HTTP, the platform's store, workers, clients, and the routers'
/// processes. They follow the users' pages; where a page is silent they behave like a sound server.
/// Blocking sockets and a thread for each connection: the loads of the cases are small.
#ifndef REVIEW_STANDIN_H_HEADER_GUARD
#define REVIEW_STANDIN_H_HEADER_GUARD

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{
using nlohmann::json;

/// Milliseconds of the steady clock since the program began.
double nowMs();
void sleepMs(double _ms);
/// Milliseconds since 1970.
int64_t wallMs();

/// Writes a line to the record of the case, with its time.
void openRecord(const std::string& _file);
void record(const std::string& _line);

// ---- HTTP -------------------------------------------------------------------------------------------------

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
	std::string start; ///< Request line or status line.
	Headers headers;
	std::string body;

	/// @returns The value of a field; empty if there is none.
	std::string field(const std::string& _name) const;
	bool has(const std::string& _name) const;
	std::string method() const;
	std::string target() const;
	int status() const;
};

/// A connected socket that reads messages.
class Stream
{
public:
	explicit Stream(int _fd) : m_fd(_fd)
	{
	}
	~Stream();
	Stream(const Stream&) = delete;
	Stream& operator=(const Stream&) = delete;

	/// Reads a message with its body. @returns Whether it came whole within the time.
	bool read(Message& _message, int _timeoutMs, bool _isResponse);
	bool write(const std::string& _bytes);

private:
	bool fill(int _timeoutMs);

	int m_fd;
	std::string m_buffer;
};

std::string responseText(int _status, const Headers& _headers, const std::string& _body);

/// Connects. @returns -1 if nothing accepts within the time.
int connectTo(const std::string& _ip, uint16_t _port, int _timeoutMs);

/// A listening socket whose connections are served by a thread each.
class HttpServer
{
public:
	/// Answers a request. @returns Whether the connection goes on.
	using Handler = std::function<bool(const Message&, Stream&)>;

	HttpServer(std::string _ip, Handler _handler);
	~HttpServer();
	uint16_t port() const
	{
		return m_port;
	}
	std::string address() const
	{
		return m_ip + ":" + std::to_string(m_port);
	}

private:
	void accept();

	std::string m_ip;
	Handler m_handler;
	int m_fd = -1;
	uint16_t m_port = 0;
	std::atomic<bool> m_stop{false};
	std::thread m_thread;
};

/// @returns A port that is free now.
uint16_t freePort(const std::string& _ip);

// ---- The platform's store ---------------------------------------------------------------------------------

class Store
{
public:
	explicit Store(const std::string& _ip);

	std::string address() const
	{
		return m_server->address();
	}
	/// Writes as the operator or a worker does. @returns When the store has taken it.
	double put(const std::string& _key, const std::string& _value);

private:
	struct Item
	{
		std::string value;
		uint64_t revision = 0;
		uint64_t created = 0;
		uint64_t lease = 0;
	};
	struct Lease
	{
		double until = 0;
		uint32_t ttlMs = 0;
	};

	bool answer(const Message& _request, Stream& _stream);
	json itemJson(const std::string& _key, const Item& _item) const;
	void set(const std::string& _key, const std::string& _value, uint64_t _lease);
	void erase(const std::string& _key);
	void expireLeases();
	int transact(const json& _call, json& _answer);
	int lease(const Message& _request, json& _answer);

	std::mutex m_mutex;
	std::map<std::string, Item> m_items;
	std::map<uint64_t, Lease> m_leases;
	std::vector<json> m_history;
	uint64_t m_revision = 1;
	uint64_t m_nextLease = 1000;
	std::unique_ptr<HttpServer> m_server;
};

// ---- Workers ----------------------------------------------------------------------------------------------

/// A run at a worker, as it saw the request.
struct Run
{
	double at = 0;
	std::string worker;
	std::string requestId;
	std::string tenant;
};

struct WorkerPlan
{
	std::string id;
	std::string service = "app";
	std::string version = "v1";
	std::string zone;
	double workMs = 15;
};

class Worker
{
public:
	Worker(Store& _store, const std::string& _ip, const WorkerPlan& _plan);
	~Worker();

	/// @returns The record that the worker writes into the store.
	json registration() const;
	const WorkerPlan& plan() const
	{
		return m_plan;
	}
	std::vector<Run> runs();

private:
	bool answer(const Message& _request, Stream& _stream);
	void beat();

	Store& m_store;
	WorkerPlan m_plan;
	std::mutex m_mutex;
	std::vector<Run> m_runs;
	std::atomic<uint64_t> m_sequence{0};
	std::atomic<bool> m_stop{false};
	std::unique_ptr<HttpServer> m_server;
	std::thread m_beats;
};

// ---- Routers ----------------------------------------------------------------------------------------------

/// A router's process, started with the command of the deploy file.
class Router
{
public:
	Router(const std::string& _program, const std::string& _folder, const std::string& _box,
		   const std::string& _zone, const std::string& _store);
	~Router();

	bool ready() const;
	bool running() const;
	uint16_t port() const
	{
		return m_listen;
	}
	const std::string& ip() const
	{
		return m_ip;
	}

private:
	std::string m_ip = "127.0.0.1";
	uint16_t m_listen = 0;
	uint16_t m_readiness = 0;
	pid_t m_pid = 0;
};

// ---- Clients ----------------------------------------------------------------------------------------------

struct Call
{
	std::string method = "GET";
	std::string path;
	std::string key;
	int deadlineMs = 1000;
};

struct Answer
{
	int status = 0; ///< 0: none came.
	std::string stamp;
	std::string requestId;
	double sentAt = 0;
};

/// Sends a request on a new connection to a router.
Answer callRouter(const Router& _router, const Call& _call);
} // namespace review

#endif // REVIEW_STANDIN_H_HEADER_GUARD
