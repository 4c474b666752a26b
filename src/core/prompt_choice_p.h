/// Choice of an upstream by the parts of a prompt, and helpers shared with the choice by load.
#ifndef SPANPLANK_PROMPT_CHOICE_P_H_HEADER_GUARD
#define SPANPLANK_PROMPT_CHOICE_P_H_HEADER_GUARD

#include <string>
#include <string_view>
#include <vector>

#include "spanplank/completion.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// An upstream that may receive a request.
struct Candidate
{
	uint32_t idx = kInvalidIdx;
	const UpstreamEntry* entry = nullptr;
};

/// @returns The upstreams that may receive a request: the healthy ones; if there are none, the ejected ones;
/// if there are none either, those whose registration lapsed in a store outage.
/// @param[in] _busyToo Include upstreams that accept no request now by their rate or rest.
std::vector<Candidate> candidatesFor(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now,
									 bool _busyToo = false);

/// @returns How likely an answer ends in time at a candidate whose first token is expected after a time.
/// @param[in] _model Key of the service and model.
EndOutlook outlookAt(const UpstreamTable& _table, const UpstreamQuery& _query, const Candidate& _candidate,
					 std::string_view _model, double _firstTokenMs, TimeUs _now);

/// @returns Factor by which an upstream's failures multiply its expected wait; 1 without failures.
double failureFactor(const UpstreamHealth& _health);

/// @returns Factor by which an upstream's slowness and failures multiply its load; 1 if it is healthy. Not
/// used for prompts, whose latency depends more on their length and the queue than on the upstream.
double healthFactor(const UpstreamHealth& _health);

/// @returns The key of statistics that are kept by service and model.
std::string serviceModelKey(const UpstreamQuery& _query);

/// @returns The cheapest candidate that is expected to meet the time target; if there is none, the fastest.
/// Candidates whose answer is expected to end before the deadline precede all others.
UpstreamId cheapestInTime(const UpstreamTable& _table, const std::vector<Candidate>& _candidates,
						  const UpstreamQuery& _query, TimeUs _now, Random& _random);

/// @returns Expected time to first token at each candidate, in milliseconds; 0 if unknown. What all
/// candidates have in common is computed once.
std::vector<double> expectedFirstTokens(const UpstreamTable& _table, const UpstreamQuery& _query,
										const std::vector<Candidate>& _candidates, TimeUs _now);

/// Records that an upstream reads the shared parts of a prompt now.
void recordHomes(UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream, TimeUs _now);

/// Removes the homes of parts that the upstreams have likely evicted from their caches.
void expireHomes(UpstreamTable& _table, TimeUs _now);

/// Updates the prefill estimate from a time to first token.
/// @param[in] _prefillMs Prefill time that was expected when the prompt was sent.
void recordPrefillTime(UpstreamTable& _table, const UpstreamQuery& _query, double _prefillMs,
					   TimeUs _latency);
} // namespace spanplank

#endif // SPANPLANK_PROMPT_CHOICE_P_H_HEADER_GUARD
