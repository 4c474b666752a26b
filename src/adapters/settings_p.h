/// Settings in YAML, checked as a whole: every mistake is reported with its file, line and path in one go.
#ifndef SPANPLANK_SETTINGS_P_H_HEADER_GUARD
#define SPANPLANK_SETTINGS_P_H_HEADER_GUARD

#include <map>
#include <string>
#include <vector>

#include "http_p.h"
#include "spanplank/cold_upstreams.h"
#include "spanplank/duty.h"
#include "spanplank/peer_tree.h"
#include "spanplank/policies.h"
#include "spanplank/region_limit.h"

namespace spanplank
{
/// Settings that routers and agents share.
struct CommonSettings
{
	std::string box;
	std::string hall;
	Endpoint listen; ///< HTTP: callers and operators at a router, metrics and the time line at both.
	Endpoint store;
	Endpoint boxList;
	std::vector<std::string> linkKeys;
	uint32_t drainMs = 10000;   ///< Most time that a planned stop may take.
	uint32_t balancerMs = 1000; ///< How long a stopping router still listens, so that the balancer sees it.
	uint32_t memoryMb = 512;    ///< What the box gives this process, in MiB.
};

struct RouterSettings
{
	CommonSettings common;
	std::vector<std::string> sessionKeys;
	std::vector<std::string> operatorTokens; ///< SHA-256 of each, hex.
	std::map<std::string, uint32_t> kinds;   ///< Priority of each kind of request; lower goes first.
	std::string routing = "load";            ///< `load` or `round-robin`.
	uint32_t maxBodyBytes = 1u << 20;
	uint32_t slowCallerMs = 30000;
	uint32_t routersPerAgent = 0; ///< Routers that link each agent; 0: all.
	uint32_t watchers = 2;        ///< Routers of a hall that watch the store.
};

/// A router that calls the upstreams itself, without agents beside them.
struct DirectSettings
{
	std::string box;
	std::string hall;
	RegionOfHall regions;
	Endpoint listen;    ///< Callers.
	Endpoint readiness; ///< Where the balancer asks whether this router takes callers.
	Endpoint metrics;
	Endpoint store;
	Endpoint link;            ///< Where this router listens for links of others; port 0: it shares nothing.
	Endpoint linkAnnounced;   ///< Where others reach that; port 0: at `link`.
	bool firstStart = false;  ///< The whole fleet starts for the first time.
	uint32_t graceMs = 8000;  ///< Between the signal to stop and the kill.
	uint32_t revokeMs = 5000; ///< A removed key stops working within this time.
	/// Whether keys are refused while the configuration is not proved to be younger than `revokeMs`. Without
	/// it the configuration in force is used however old it is.
	bool revocationFailClosed = true;
	uint32_t retryWindowMs = 10000; ///< Sliding window of the bound on retries.
	double retryRatio = 0.9;        ///< Attempts beyond the first in such a window, for each request.
	double exposureShare = 0.15;    ///< Part of the requests that a new version may get before it is proved.
	uint32_t leaveMs = 2000;        ///< An upstream that leaves gets no request this long after.
	/// Between an upstream's signs of life at the store: after three without, its registration lapses.
	uint32_t heartbeatMs = 1200;
	/// Pause between two watches of the store. Each change ends a watch, and each call is priced and limited:
	/// changes that come close together are learned of together. A change is learned of after at most this
	/// long.
	uint32_t watchPauseMs = 800;
	/// Longest wait of one watch. Twice this and the pause: how old a proof of the configuration gets.
	uint32_t configWaitMs = 200;
	/// What the box gives this router: how many others may follow it.
	BoxCapacity capacity = {1.0, 1000.0};
	uint32_t memoryMb = 512; ///< What the box gives this router, in MiB.
	Endpoint duties;         ///< Where the platform takes the calls of duties; port 0: there are none.
	DutyTiming dutyBounds;
	ColdBounds coldBounds; ///< How far above its rate a cold upstream may get requests.
	Policies policies;
};

struct AgentSettings
{
	CommonSettings common;
	std::string pool;
	Endpoint link; ///< Where it listens for links.
	Endpoint upstream;
	Endpoint ratings;
	std::vector<std::string> versions;
	std::vector<std::string> services;
	uint32_t slots = 8;
	uint32_t kvTokens = 200000;
	uint32_t maxQueued = 64;
	uint32_t upstreamTimeoutMs = 60000;
	uint32_t grantSize = 4;
	bool askSuccessor = true;  ///< Off only to show what fails without it.
	bool judgeTwice = true;    ///< Off only to show what fails without it.
	bool boundExposure = true; ///< Off only to show what fails without it.
};

struct SettingsMistake
{
	std::string file;
	int line = 0; ///< From 1.
	std::string path;
	std::string what;
};

/// Settings that don't hold. `what()` lists every mistake, a line each.
class SettingsFailure : public Failure
{
public:
	explicit SettingsFailure(std::vector<SettingsMistake> _mistakes);

	const std::vector<SettingsMistake>& mistakes() const
	{
		return m_mistakes;
	}

private:
	std::vector<SettingsMistake> m_mistakes;
};

/// @throws SettingsFailure
RouterSettings loadRouterSettings(const std::string& _file);
/// @throws SettingsFailure
DirectSettings loadDirectSettings(const std::string& _file);
/// @returns Whether the file asks for `upstreams: direct`. @throws SettingsFailure
bool isDirect(const std::string& _file);
/// @throws SettingsFailure
AgentSettings loadAgentSettings(const std::string& _file);
} // namespace spanplank

#endif // SPANPLANK_SETTINGS_P_H_HEADER_GUARD
