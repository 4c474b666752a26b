/// Runs a whole system as real processes on loopback and lets tests break it.
#ifndef SPANPLANK_TESTS_HARNESS_H_HEADER_GUARD
#define SPANPLANK_TESTS_HARNESS_H_HEADER_GUARD

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

#include "http_p.h"

namespace spanplank
{
struct SystemShape
{
	uint32_t routers = 2;
	uint32_t engines = 3;
	uint32_t services = 0;
	uint32_t slots = 8;
	double tokenMs = 1.0;
	std::vector<std::string> versions = {"small@1", "large@1"};
	std::string agentExtra;  ///< More lines for the agents' settings.
	std::string routerExtra; ///< More lines for the routers' settings.
	std::string upstream;    ///< Address of all agents' upstream; empty: a stand-in for each.
	std::string linkKey = "a-link-key-of-32-characters-1234";
};

struct Answer
{
	int status = 0; ///< 0: the connection failed.
	std::vector<HttpHeader> headers;
	std::string body;
	bool cut = false; ///< The answer began and was cut.

	std::string header(const std::string& _name) const;
	nlohmann::json json() const;
	/// The code of a typed refusal, or an empty text.
	std::string code() const;
	/// `no`, `unknown`, or an empty text.
	std::string run() const;
};

struct ChatOptions
{
	std::string model = "small";
	std::string marker = "hello";
	std::string key = "key-town";
	std::string session;
	std::string idempotencyKey;
	bool stream = false;
	uint32_t maxTokens = 4;
	uint32_t deadlineMs = 10000;
};

/// One system of separate processes. Ends exactly the processes that it started.
class System
{
public:
	explicit System(const SystemShape& _shape);
	~System();
	System(const System&) = delete;
	System& operator=(const System&) = delete;

	/// Declares models, versions, a service and the account `town`, and waits until it is in force.
	void declareBasics();

	Answer chat(uint32_t _router, const ChatOptions& _options);
	Answer callService(uint32_t _router, const std::string& _idempotencyKey, const std::string& _body = "{}",
					   uint32_t _deadlineMs = 10000);
	Answer http(const std::string& _address, const std::string& _method, const std::string& _target,
				const std::string& _body = "", const std::vector<HttpHeader>& _headers = {});

	/// Writes a resource through a router. @returns The answer.
	Answer put(uint32_t _router, const std::string& _kind, const std::string& _name,
			   const nlohmann::json& _spec, const nlohmann::json& _more = nlohmann::json::object());
	nlohmann::json status(uint32_t _router);
	/// @returns Whether every router and linked agent holds at least the revision.
	bool inForce(uint64_t _revision);

	void platformFault(const nlohmann::json& _fault);
	void engineFault(uint32_t _engine, const nlohmann::json& _fault);
	void serviceFault(const nlohmann::json& _fault);
	nlohmann::json platformCounts();
	nlohmann::json engineCounts(uint32_t _engine);
	/// Runs of a key over all plain services.
	uint64_t runsOf(const std::string& _key);
	/// Whole answers of a version over all engines.
	uint64_t runsOfVersion(const std::string& _version);
	nlohmann::json readStore(const std::string& _prefix);
	/// Writes a key of the store that does not exist yet, as another writer.
	void writeStore(const std::string& _key, const std::string& _value);

	/// Puts an entry before all others of the platform's list of boxes, as another writer.
	void addBox(const nlohmann::json& _box);
	/// Marks a box as leaving in the platform's list.
	void setBoxState(const std::string& _box, const std::string& _state);

	void killHard(const std::string& _process);
	void freeze(const std::string& _process);
	void wake(const std::string& _process);
	/// SIGHUP.
	void hangUp(const std::string& _process);
	void start(const std::string& _process);
	/// SIGTERM; waits for the end. @returns The exit code.
	int stopPlanned(const std::string& _process);
	std::string log(const std::string& _process) const;
	/// Replaces a text in a process's settings, for its next start.
	void changeSettings(const std::string& _process, const std::string& _from, const std::string& _to);

	const std::string& routerAddress(uint32_t _router) const
	{
		return m_routers.at(_router);
	}

	/// Address of a box's HTTP side.
	std::string boxAddress(const std::string& _box) const;

	/// Name of the service agent that is the home of a key now, by the table that a router holds.
	std::string homeOf(uint32_t _router, const std::string& _idempotencyKey);
	/// Epoch of the service agents' group in the store.
	uint64_t homesEpoch();
	/// Waits until the service agents form one settled group of a size, at an epoch after the given one.
	bool homesSettled(uint32_t _members, uint64_t _afterEpoch = 0);

private:
	struct Process
	{
		std::vector<std::string> command;
		pid_t pid = 0;
	};

	std::string commonSettings(const std::string& _box, uint32_t _index, uint16_t _port) const;
	void addRouter(uint32_t _index);
	void addAgent(uint32_t _index, bool _service);
	void publishBoxes();

	SystemShape m_shape;
	std::string m_dir;
	std::string m_platform;
	std::vector<std::string> m_engines;
	std::vector<std::string> m_services;
	std::vector<std::string> m_routers;
	std::map<std::string, Process> m_processes;
	std::vector<nlohmann::json> m_boxes;
};

/// Installs fibers in the test's thread, once.
boost::asio::io_context& testIo();

/// Waits until a condition holds, for as long as a loaded machine may need. @returns Whether it held.
bool eventually(const std::function<bool()>& _condition, uint32_t _seconds = 30);

/// Suspends the test's fiber.
void pause(uint32_t _ms);

/// Runs several bodies at once, as fibers, and waits for all.
void together(std::vector<std::function<void()>> _bodies);
} // namespace spanplank

#endif // SPANPLANK_TESTS_HARNESS_H_HEADER_GUARD
