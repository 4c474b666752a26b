/// Policies of the direct mode. All are enabled by default; disabling one serves to measure its effect.
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
	bool escalation = true;    ///< An answer of low confidence is dropped and the largest model is requested.
	bool pressureLimit = true; ///< The confidence limit decreases while the time to first token is high.
	/// The wait for a first token that is expected late may exceed the latency objective.
	bool longPatience = true;
	bool coldPatience = true; ///< Timeouts allow for an upstream that has no part of the prompt in its cache.
	bool homeOrder = true;    ///< Prompt parts without a known location are assumed at the upstream that is
							  ///< first in hash order.
	bool homeSharing = true;  ///< Routers exchange which upstreams have read which prompt parts.
	bool loadSharing = true;  ///< Routers exchange their load of waiting requests.
	bool hallPreference = true; ///< Upstreams in another hall are charged as additional waiting time.
	bool ejection = true;       ///< Upstreams that fail receive no requests for some time.
	bool resumption = true;     ///< An aborted stream is resumed at another upstream.
	bool urgency = true;        ///< Requests to engines carry the priority of account and route.
	bool coldOwners = true;     ///< Few routers send to a cold upstream; if disabled, each sends a share.
	/// While the last router stops, it refuses callers with a Retry-After beyond its restart.
	bool stopReturn = true;
	bool engineSpeeds = true;   ///< Estimates follow the measured speed of each upstream.
	bool completionTime = true; ///< Answers that cannot end before the deadline are not begun.
	bool waitingRoom = true;   ///< Running requests are bounded over all routers; others wait or are refused.
	bool accountShares = true; ///< Client accounts are held to fair shares while a service is full.
	bool retryLending = true;  ///< Routers lend each other unused retries.
	bool serviceLoad = true;   ///< The confidence limit follows the load over all routers.
};

/// Disables the policies with these names, which are those of the fields.
/// @throws Failure(BadRequest) if a name is unknown.
void disablePolicies(Policies& _policies, const std::vector<std::string>& _names);
} // namespace spanplank

#endif // SPANPLANK_POLICIES_H_HEADER_GUARD
