/// The choice of an upstream by the parts of a prompt, and what both ways to choose one share.
#ifndef SPANPLANK_PROMPT_CHOICE_P_H_HEADER_GUARD
#define SPANPLANK_PROMPT_CHOICE_P_H_HEADER_GUARD

#include <string>
#include <vector>

#include "spanplank/upstream_table.h"

namespace spanplank
{
/// An upstream that may take a request.
struct Candidate
{
	uint32_t idx = kInvalidIdx;
	const UpstreamEntry* entry = nullptr;
};

/// @returns The upstreams that may take a request: the healthy ones, without those the ejected ones, without
/// any the ones whose registration lapsed while the store was in trouble.
std::vector<Candidate> candidatesFor(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now);

/// @returns What an upstream's wait is multiplied by for its failures; 1: none.
double failureFactor(const UpstreamHealth& _health);

/// @returns What an upstream's load is multiplied by for its slowness and its failures; 1: sound. Not for
/// prompts: how long they take says more of their length and of what was ahead of them than of the upstream.
double healthFactor(const UpstreamHealth& _health);

/// @returns Key of what is measured by service and model.
std::string kindOf(const UpstreamQuery& _query);

/// @returns The cheapest candidate of those that are expected to be in time; without one, the soonest.
UpstreamId cheapestInTime(const UpstreamTable& _table, const std::vector<Candidate>& _candidates,
						  const UpstreamQuery& _query, TimeUs _now, Random& _random);

/// Remembers that the shared parts of a prompt are read at an upstream now.
void noteHomes(UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream, TimeUs _now);

/// Forgets where parts were read that have likely given way to others by now.
void forgetHomes(UpstreamTable& _table, TimeUs _now);

/// Learns from a first token how fast prompts are read. @param[in] _prefillMs Expected when it was sent.
void noteReadingPace(UpstreamTable& _table, const UpstreamQuery& _query, double _prefillMs, TimeUs _latency);
} // namespace spanplank

#endif // SPANPLANK_PROMPT_CHOICE_P_H_HEADER_GUARD
