#include "spanplank/routing.h"

#include <algorithm>

namespace spanplank
{
double expectedFirstTokenSeconds(const UpstreamLoad& _load, uint32_t _promptTokens, const EngineCosts& _costs)
{
	// Assumes that each of the other routers has sent as much since the report as this one, and that the
	// upstream has been working on its backlog since.
	const double sentTokens = double(_load.sentTokens) * _load.routers;
	const double processedTokens = _load.reportAge / _costs.prefillPerToken;
	const double backlog = std::max(0.0, double(_load.prefillBacklog) + sentTokens - processedTokens);
	const double uncachedTokens = double(_promptTokens - std::min(_promptTokens, _load.prefixTokens));
	const double prefill = (backlog + uncachedTokens) * _costs.prefillPerToken;
	const double slots = std::max(1u, _load.slots);
	const double endedRequests = _load.reportAge * slots / (_costs.meanAnswerTokens * _costs.decodePerToken);
	const double remaining = std::max(0.0, double(_load.running + _load.queued) - endedRequests);
	const double present = remaining + double(_load.sentSinceReport) * _load.routers;
	// With all slots busy, a request waits until one ends: on average every answer time / `slots`.
	const double waiting = std::max(0.0, present + 1.0 - slots);
	const double slotWait = waiting * _costs.meanAnswerTokens * _costs.decodePerToken / slots;
	const double hallCost = _load.sameHall ? 0.0 : _costs.otherHallPenalty;
	// A larger batch slows each decoding step a little. This term also breaks ties between idle upstreams.
	const double batchCost = present / slots * _costs.decodePerToken;
	return prefill + slotWait + hallCost + batchCost + _load.failureRate * _costs.failurePenalty;
}

uint32_t pickUpstream(absl::Span<const UpstreamLoad> _loads, uint32_t _promptTokens,
					  const EngineCosts& _costs, Random& _random)
{
	const auto count = uint32_t(_loads.size());
	if (count == 0)
	{
		return kInvalidIdx;
	}
	uint32_t best = kInvalidIdx;
	double bestTime = 0.0;
	const auto consider = [&](uint32_t _idx) {
		const double time = expectedFirstTokenSeconds(_loads[_idx], _promptTokens, _costs);
		if (best == kInvalidIdx || time < bestTime)
		{
			best = _idx;
			bestTime = time;
		}
	};
	const auto start = uint32_t(nextRandom(_random) % count);
	if (count <= kMaxFullScan)
	{
		for (uint32_t ii = 0; ii < count; ++ii)
		{
			consider((start + ii) % count);
		}
		return best;
	}
	consider(start);
	consider(uint32_t(nextRandom(_random) % count));
	uint32_t longest = 0;
	for (uint32_t ii = 1; ii < count; ++ii)
	{
		if (_loads[ii].prefixTokens > _loads[longest].prefixTokens)
		{
			longest = ii;
		}
	}
	consider(longest);
	return best;
}

uint32_t pickRoundRobin(absl::Span<const UpstreamLoad> _loads, uint64_t& _cursor)
{
	return _loads.empty() ? kInvalidIdx : uint32_t(_cursor++ % _loads.size());
}

std::vector<uint64_t> prefixBlocks(std::string_view _prompt)
{
	std::vector<uint64_t> blocks;
	uint64_t chain = 0;
	for (size_t ii = 0; ii < kMaxPrefixBlocks && (ii + 1) * kPrefixBlockBytes <= _prompt.size(); ++ii)
	{
		chain = stableHash(_prompt.substr(ii * kPrefixBlockBytes, kPrefixBlockBytes), chain);
		blocks.push_back(chain);
	}
	return blocks;
}

uint32_t prefixHitTokens(const PrefixTable& _table, absl::Span<const uint64_t> _blocks, UpstreamId _upstream,
						 TimeUs _now)
{
	uint32_t tokens = 0;
	for (const uint64_t block : _blocks)
	{
		const auto found = _table.blocks.find(block);
		if (found == _table.blocks.end())
		{
			break;
		}
		const auto& entries = found->second.entries;
		const bool hit =
			std::any_of(std::begin(entries), std::end(entries), [&](const PrefixTable::Entry& _entry) {
				return _entry.upstream == _upstream && _now - _entry.at < _table.lifetime;
			});
		if (!hit)
		{
			break;
		}
		tokens += kPrefixBlockBytes / kBytesPerToken;
	}
	return tokens;
}

void recordPrefix(PrefixTable& _table, absl::Span<const uint64_t> _blocks, UpstreamId _upstream, TimeUs _now)
{
	if (_table.blocks.size() > _table.maxBlocks)
	{
		_table.blocks.clear(); // An occasional cold start costs less than tracking the access order.
	}
	for (const uint64_t block : _blocks)
	{
		PrefixTable::Slot& slot = _table.blocks[block];
		PrefixTable::Entry* oldest = &slot.entries[0];
		for (PrefixTable::Entry& entry : slot.entries)
		{
			if (entry.upstream == _upstream)
			{
				oldest = &entry;
				break;
			}
			if (!isValid(entry.upstream) || entry.at < oldest->at)
			{
				oldest = &entry;
			}
		}
		*oldest = {_upstream, _now};
	}
}
} // namespace spanplank
