/// The agent process's parts: its state, its run-once group, its versions' ratings.
#ifndef SPANPLANK_AGENT_P_H_HEADER_GUARD
#define SPANPLANK_AGENT_P_H_HEADER_GUARD

#include <map>
#include <string>
#include <vector>

#include "fiber_runtime_p.h"
#include "node_p.h"
#include "spanplank/agent_core.h"

namespace spanplank
{
/// Ratings of one candidate, read so far.
struct RatingFeed
{
	uint32_t generation = 0;
	uint64_t cursor = 0;
	RatingTally tally;
	uint64_t grants = 0; ///< Grants that this incarnation has taken.
};

struct Agent
{
	explicit Agent(const AgentSettings& _settings);

	AgentSettings settings;
	Node node;
	AgentCore core;
	HttpClient upstream;
	HttpClient ratings;
	std::map<uint64_t, HttpCancel> calls;       ///< By work: the running call to the upstream.
	std::map<std::string, TimeUs> memberLostAt; ///< By incarnation.
	std::map<std::string, TimeUs> ownerLostAt;  ///< By incarnation of a router.
	nlohmann::json lastReport;                  ///< To the routers.
	uint64_t reportedSubmits = 0;
	std::map<std::string, RatingFeed> feeds; ///< By candidate version.
	std::vector<Halt> unwrittenHalts;        ///< Obeyed here, not yet in the store.
};

/// Carries out what the core decided.
void perform(Agent& _agent, const AgentActions& _actions);

/// @returns Whether this incarnation is a member of its run-once group.
bool isHome(const Agent& _agent);

/// Brings the group's table in the store to what this member wants. Reads the store only when there is need.
/// @throws Failure(StoreUnavailable)
void stepHomes(Agent& _agent);

/// Reads a version's ratings and does what they ask for: credits, a halt, service.
/// @throws Failure
void stepRatings(Agent& _agent, const std::string& _version);

/// Writes halts that were obeyed here into the store. @throws Failure
void writeHalts(Agent& _agent);
} // namespace spanplank

#endif // SPANPLANK_AGENT_P_H_HEADER_GUARD
