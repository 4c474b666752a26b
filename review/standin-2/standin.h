/// Small stand-ins of the users' platform for the second review: store, workers, clients, and the router as a
/// process of its own. Loopback addresses and the real clock only.
#ifndef SPANPLANK_REVIEW_STANDIN_2_H_HEADER_GUARD
#define SPANPLANK_REVIEW_STANDIN_2_H_HEADER_GUARD

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace standin
{
using nlohmann::json;

/// @returns Milliseconds on the steady clock since the program began.
int64_t nowMs();
void sleepMs(int64_t _ms);
/// @returns Whether the case is to cause its disruption: false with TROUBLE=0.
bool trouble();
/// A process that was started for a case ends with it, whatever ends that.
void endWithParent();
uint16_t freePort();
std::string loopback(uint16_t _port);

/// Writes lines with their time to record.txt in the folder of the case, and to standard output.
class Record
{
public:
	explicit Record(const std::string& _file);
	void line(const std::string& _text);
	/// A line of the file alone.
	void detail(const std::string& _text);

private:
	std::mutex m_mutex;
	std::ofstream m_out;
};

/// Writes a detail to the record of this process, if it has one.
void recordDetail(const std::string& _text);

struct Fields
{
	std::vector<std::pair<std::string, std::string>> all;

	std::string get(const std::string& _name) const;
};

struct Request
{
	std::string method;
	std::string target;
	Fields fields;
	std::string body;
};

/// A connection with what was read of it and not used.
struct Connection
{
	int socket = -1;
	std::string unread;
};

/// @returns Whether a whole request came; otherwise the connection has ended.
bool readRequest(Connection& _connection, Request& _request);
bool sendAll(int _socket, const std::string& _bytes);
/// @returns Whether the other side has closed.
bool hasClosed(int _socket);

/// Listens, and serves each connection in a thread of its own.
class Server
{
public:
	using Handler = std::function<bool(Connection&, const Request&)>; ///< @returns Whether to go on.

	Server(Handler _handler, int _backlog = 128, uint16_t _port = 0);
	~Server();
	Server(const Server&) = delete;
	Server& operator=(const Server&) = delete;

	uint16_t port() const
	{
		return m_port;
	}

	/// Says nothing any more: no connection is taken, so that new ones hang, and none is answered.
	void silence();
	/// Takes connections again; those of before are closed.
	void resume();
	/// Ends: what is open is closed, and new connections are refused.
	void end();
	bool silent() const
	{
		return m_silent;
	}

private:
	void acceptLoop();
	void serve(int _socket);

	Handler m_handler;
	int m_listener = -1;
	int m_backlog;
	uint16_t m_port = 0;
	std::atomic<bool> m_silent{false};
	std::mutex m_mutex;
	std::vector<int> m_open;
	std::vector<int> m_fillers;
};

std::string answerText(int _status, const std::string& _fields, const std::string& _body);

/// The platform's metadata store.
class Store
{
public:
	explicit Store(Record& _record);

	/// Writes as the operator or a worker. @returns The revision: the acknowledgement.
	uint64_t put(const std::string& _key, const std::string& _value);
	void remove(const std::string& _key);
	bool has(const std::string& _key);
	std::vector<std::string> keys(const std::string& _prefix);

	/// Takes a copy of all that it holds.
	void copy();
	/// Comes back from the copy: what it took since is gone, revisions go back, and its era rises.
	void returnFromCopy();

	Server& server()
	{
		return *m_server;
	}

private:
	struct Item
	{
		std::string value;
		uint64_t revision = 0;
		uint64_t lease = 0;
	};

	bool answer(Connection& _connection, const Request& _request);
	json shown(const std::string& _key, const Item& _item) const;
	/// @returns Whether a watch is from a revision that the store doesn't have.
	bool isUnknown(const std::map<std::string, std::string>& _query);
	std::string watch(const std::map<std::string, std::string>& _query);
	std::string write(const json& _call);

	Record& m_record;
	std::mutex m_mutex;
	std::condition_variable m_changed;
	std::map<std::string, Item> m_items;
	std::deque<std::pair<uint64_t, std::string>> m_history;
	uint64_t m_revision = 1;
	uint64_t m_lease = 1;
	uint64_t m_era = 1;
	struct Copy
	{
		std::map<std::string, Item> items;
		std::deque<std::pair<uint64_t, std::string>> history;
		uint64_t revision = 0;
	};
	Copy m_copy;
	std::unique_ptr<Server> m_server;
};

/// What a worker writes of itself under `servers/ID`.
json beat(const std::string& _service, uint16_t _port, const std::string& _state = "ready");

/// The head that a sound worker's answers have, without a length.
std::string workerFields(const std::string& _id, const Request& _request);

/// What a client saw of one request.
struct Answer
{
	int status = 0; ///< 0: none came.
	Fields fields;
	std::string body;
	bool whole = false; ///< By the rules of HTTP/1.1.
	std::string extra;  ///< Bytes beyond it.
	std::string error;
};

struct Call
{
	std::string method = "GET";
	std::string target;
	std::string host = "lamps.example";
	std::string id;
	std::string fields; ///< Further lines, each with its end.
	std::string body;
	int64_t patienceMs = 3000;
	int64_t lingerMs = 0; ///< For bytes after the answer.
};

/// One request on a new connection. @param[in] _port The router's.
Answer call(uint16_t _port, const Call& _call);

/// One router as a process, started as the deploy file says.
class Router
{
public:
	/// @param[in] _root The repository's. @param[in] _dir A temporary folder.
	Router(std::string _root, std::string _dir, std::string _name, uint16_t _store,
		   std::string _hall = "mil-a");
	~Router();
	Router(const Router&) = delete;
	Router& operator=(const Router&) = delete;

	void start();
	void signal(int _signal) const;
	void kill();
	bool ready() const;
	bool awaitReady(int64_t _ms) const;
	/// @returns Whether the process runs.
	bool running();

	uint16_t port() const
	{
		return m_front;
	}

	uint16_t metrics() const
	{
		return m_metrics;
	}

	std::string log() const;

	const std::string& name() const
	{
		return m_name;
	}

private:
	std::string m_root;
	std::string m_dir;
	std::string m_name;
	std::string m_hall;
	uint16_t m_store;
	uint16_t m_front;
	uint16_t m_readiness;
	uint16_t m_metrics;
	uint16_t m_link;
	pid_t m_pid = 0;
};

/// A configuration like that of a small deployment, with one tenant, whose key is `lamp-key`.
json basicConfig();
json route(const std::string& _name, const std::string& _prefix, const std::string& _kind,
		   const std::string& _service, uint32_t _timeoutMs, uint32_t _attempts);

/// Paths of a case: the repository's root, its record.txt, and a temporary folder that is removed at the end.
struct Paths
{
	std::string root;
	std::string record;
	std::string temporary;
};
Paths pathsOf(int _argc, char** _argv);
void removeFolder(const std::string& _folder);
} // namespace standin

#endif // SPANPLANK_REVIEW_STANDIN_2_H_HEADER_GUARD
