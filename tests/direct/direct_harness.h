/// A direct router as a real process, between stand-ins of the platform's store and upstreams in the test's
/// process.
#ifndef SPANPLANK_TESTS_DIRECT_HARNESS_H_HEADER_GUARD
#define SPANPLANK_TESTS_DIRECT_HARNESS_H_HEADER_GUARD

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "http_p.h"
#include "spanplank/types.h"

namespace spanplank
{
/// The platform's store: items, revisions, watches, conditional writes; with its faults.
struct StandInStore
{
	enum class Fault : uint8_t
	{
		None,
		Busy,   ///< 503 to every call.
		Silent, ///< No answer.
		Reset,  ///< The connection is closed.
	};
	struct Item
	{
		std::string value;
		uint64_t revision = 0;
		uint64_t lease = 0; ///< 0: none.
	};
	struct Change
	{
		std::string key;
		uint64_t revision = 0;
		bool removed = false;
	};

	HttpServer http;
	std::map<std::string, Item> items;
	std::deque<Change> history;
	std::map<uint64_t, TimeUs> leases; ///< Until when each holds.
	uint64_t nextLease = 1;
	uint64_t revision = 1;
	uint64_t forgottenTo = 0; ///< Watches from before this revision get 410.
	Fault fault = Fault::None;
	Fault callFault = Fault::None; ///< Of the next `faultyCalls` calls alone.
	uint32_t faultyCalls = 0;
	bool loseWrites = false; ///< Writes are done and not answered.
	bool mute = false;       ///< Watches hear nothing.
	uint64_t calls = 0;
	std::string era = "1"; ///< As its answers tell; empty: they tell none.
};

/// What a store comes back from.
struct StoreCopy
{
	std::map<std::string, StandInStore::Item> items;
	std::deque<StandInStore::Change> history;
	uint64_t revision = 0;
	uint64_t forgottenTo = 0;
};

StoreCopy copyOf(const StandInStore& _store);
/// The store comes back from an older copy: what it took since is gone, leases too, and its era rises.
void returnFrom(StandInStore& _store, const StoreCopy& _copy);

void setItem(StandInStore& _store, const std::string& _key, const std::string& _value);
void removeItem(StandInStore& _store, const std::string& _key);
/// Drops the history: watches must list anew.
void forgetHistory(StandInStore& _store);

/// One upstream; tests say how it answers.
struct StandInUpstream
{
	std::string id;
	std::string service;
	std::string address;
	std::string version = "v1";
	std::string hall = "hall-a";
	uint64_t born = 0;               ///< Unix milliseconds of its start; 0: it tells none.
	std::vector<HttpHeader> notices; ///< What it says about itself in all its answers.
	HttpServer http;
	std::function<void(StandInUpstream&, HttpExchange&)> answer;
	std::vector<HttpRequest> requests; ///< All that came, in order.
	uint32_t open = 0;                 ///< Under way.
};

/// Answers 200 with the headers that a sound upstream gives.
void answerWell(StandInUpstream& _upstream, HttpExchange& _exchange, const std::string& _body = "done");
/// Answers that it has not run the request.
void answerNotRun(HttpExchange& _exchange, const std::vector<HttpHeader>& _notices = {});
/// Streams the events after the caller's last one, up to `_last`, with a pause before each; then ends or
/// cuts.
/// @param[in] _firstMs The pause before the first event that is sent, if it differs.
/// @returns false if the caller left before.
bool answerEvents(StandInUpstream& _upstream, HttpExchange& _exchange, int _last, uint32_t _pauseMs,
				  bool _cut, double _confidence = 100.0, std::optional<uint32_t> _firstMs = std::nullopt);

/// What a caller saw.
struct DirectAnswer
{
	int status = 0; ///< 0: the connection failed.
	bool cut = false;
	std::string body;
	std::vector<HttpHeader> headers;

	std::string header(const std::string& _name) const;
};

/// One direct router as a real process.
class RouterProcess
{
public:
	/// @param[in] _store Address of the store. @param[in] _settings More lines for the settings.
	RouterProcess(const std::string& _dir, const std::string& _name, const std::string& _store,
				  const std::string& _settings);
	~RouterProcess();
	RouterProcess(const RouterProcess&) = delete;
	RouterProcess& operator=(const RouterProcess&) = delete;

	void start();
	void signal(int _signal);
	/// @returns Whether the process has ended; its exit code is then kept.
	bool hasEnded();
	/// @returns The exit code of a router that ends by itself, or -1.
	int awaitEnd();
	void killHard();
	bool isReady();
	/// @returns The value of a metric; empty: it could not be read.
	std::string metric(const std::string& _name);
	/// @throws HttpFailure @returns What the metrics address answers to a GET.
	HttpResponse askMetrics(const std::string& _target);
	std::string log() const;

	const std::string& listen() const
	{
		return m_listen;
	}

	/// 0: it does not run.
	pid_t pid() const
	{
		return m_pid;
	}

private:
	std::string m_file;
	std::string m_listen;
	std::string m_readiness;
	std::string m_metrics;
	pid_t m_pid = 0;
	int m_exitCode = -1;
};

/// The configuration that tests begin with: routes `/plain/`, `/once/`, `/chat/` and one account.
nlohmann::json basicConfig(const std::string& _key);

/// Answers a call of the store's protocol.
void answerStoreCall(StandInStore& _store, HttpExchange& _exchange);

class DirectSystem
{
public:
	/// Starts the store with a configuration of three routes (`/plain/`, `/once/`, `/chat/`) and one account.
	/// @param[in] _settings More lines for the router's settings.
	explicit DirectSystem(const std::string& _settings = "");
	~DirectSystem();
	DirectSystem(const DirectSystem&) = delete;
	DirectSystem& operator=(const DirectSystem&) = delete;

	StandInUpstream& addUpstream(const std::string& _id, const std::string& _service);
	void registerUpstream(const StandInUpstream& _upstream, bool _leaving = false);
	const std::vector<std::unique_ptr<StandInUpstream>>& upstreams() const
	{
		return m_upstreams;
	}
	/// Writes the configuration with its version raised by two.
	void writeConfig();
	void startRouter();
	/// Starts the router and waits until it is ready and knows that many upstreams.
	void startReady(size_t _upstreams);
	/// SIGTERM; does not wait.
	void terminate();
	/// SIGHUP.
	void reload();
	void signal(int _signal);
	void killHard();
	/// @returns The exit code of a router that ends by itself, or -1.
	int awaitEnd();
	bool isReady();
	size_t knownUpstreams();
	/// @returns The value of a metric; empty: it could not be read.
	std::string metric(const std::string& _name);
	HttpResponse askMetrics(const std::string& _target);
	std::string log() const;
	/// @returns Where the router takes callers, as `ip:port`.
	const std::string& listen() const;

	DirectAnswer call(const std::string& _method, const std::string& _path, const std::string& _body = "",
					  std::vector<HttpHeader> _headers = {}, HttpCancel* _cancel = nullptr);
	/// Sends bytes as they are and reads until the router closes. @returns What came.
	std::string raw(const std::string& _bytes);

	StandInStore store;
	nlohmann::json config;
	std::string key = "key-of-the-town"; ///< Of the callers; empty: they send none.

private:
	std::vector<std::unique_ptr<StandInUpstream>> m_upstreams;
	std::string m_dir;
	std::unique_ptr<RouterProcess> m_router;
	uint64_t m_nextRequest = 1;
};
} // namespace spanplank

#endif // SPANPLANK_TESTS_DIRECT_HARNESS_H_HEADER_GUARD
