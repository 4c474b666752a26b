/// The policies of the direct mode, each with a switch. All are on; one is switched off only to measure what
/// it is worth.
#ifndef SPANPLANK_POLICIES_H_HEADER_GUARD
#define SPANPLANK_POLICIES_H_HEADER_GUARD

#include <string>
#include <string_view>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
struct Policies
{
	bool escalation = true;     ///< A doubted answer is dropped and the largest model asked.
	bool pressureLimit = true;  ///< The doubt limit falls while first heads take long.
	bool longPatience = true;   ///< A head that is expected late is waited for beyond the objective.
	bool coldPatience = true;   ///< Patience counts that an upstream may keep nothing of the prompt.
	bool homeOrder = true;      ///< Parts that nobody knows of are presumed at the first of the hash order.
	bool homeSharing = true;    ///< Routers tell each other where parts were read.
	bool loadSharing = true;    ///< Routers tell each other what they have waiting.
	bool hallPreference = true; ///< Another hall counts as waiting.
	bool ejection = true;       ///< Upstreams that fail get no work for a while.
	bool resumption = true;     ///< A broken stream goes on at another upstream.
	bool urgency = true;        ///< Engines are told the priority of account and route.
	bool coldOwners = true;     ///< A cold upstream has few routers that send; else each sends a part.
	bool stopReturn = true;     ///< Callers refused by the last router come back after its restart.
};

/// Switches off the policies with these names, which are those of the fields.
/// @throws Failure(BadRequest) at a name that is none.
void switchOff(Policies& _policies, const std::vector<std::string>& _names);
} // namespace spanplank

#endif // SPANPLANK_POLICIES_H_HEADER_GUARD
