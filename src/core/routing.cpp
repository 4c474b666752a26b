#include "spanplank/routing.h"

#include <algorithm>

namespace spanplank
{
double expectedFirstToken(const UpstreamLoad& _load, uint32_t _promptTokens, const EngineCosts& _costs)
{
	// What this router sent since the report, the others sent as well; what was there has been worked on
	// since.
	const double sentTokens = double(_load.sentTokens) * _load.routers;
	const double done = _load.reportAge / _costs.prefillPerToken;
	const double backlog = std::max(0.0, double(_load.prefillBacklog) + sentTokens - done);
	const double own = double(_promptTokens - std::min(_promptTokens, _load.prefixTokens));
	const double prefill = (backlog + own) * _costs.prefillPerToken;
	const double slots = std::max(1u, _load.slots);
	const double ended = _load.reportAge * slots / (_costs.meanAnswerTokens * _costs.decodePerToken);
	const double before = std::max(0.0, double(_load.running + _load.queued) - ended);
	const double present = before + double(_load.sentSince) * _load.routers;
	// Beyond its slots, a request waits for one to end; a batch of `slots` ends one every answer/slots.
	const double waiting = std::max(0.0, present + 1.0 - slots);
	const double slotWait = waiting * _costs.meanAnswerTokens * _costs.decodePerToken / slots;
	const double hall = _load.sameHall ? 0.0 : _costs.otherHall;
	// A fuller batch slows each step a little; it also breaks ties between idle upstreams.
	const double crowd = present / slots * _costs.decodePerToken;
	return prefill + slotWait + hall + crowd + _load.failureRate * _costs.perFailure;
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
		const double time = expectedFirstToken(_loads[_idx], _promptTokens, _costs);
		if (best == kInvalidIdx || time < bestTime)
		{
			best = _idx;
			bestTime = time;
		}
	};
	const auto start = uint32_t(nextRandom(_random) % count);
	if (count <= kFullScan)
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
	for (size_t ii = 0; ii < kPrefixMaxBlocks && (ii + 1) * kPrefixBlockBytes <= _prompt.size(); ++ii)
	{
		chain = stableHash(_prompt.substr(ii * kPrefixBlockBytes, kPrefixBlockBytes), chain);
		blocks.push_back(chain);
	}
	return blocks;
}

uint32_t prefixHit(const PrefixTable& _table, absl::Span<const uint64_t> _blocks, UpstreamId _upstream,
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
		const auto& seen = found->second.seen;
		const bool hit = std::any_of(std::begin(seen), std::end(seen), [&](const PrefixTable::Seen& _seen) {
			return _seen.upstream == _upstream && _now - _seen.at < _table.lifetime;
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
		_table.blocks.clear(); // A cold start now and then costs less than keeping order.
	}
	for (const uint64_t block : _blocks)
	{
		PrefixTable::Slot& slot = _table.blocks[block];
		PrefixTable::Seen* oldest = &slot.seen[0];
		for (PrefixTable::Seen& seen : slot.seen)
		{
			if (seen.upstream == _upstream)
			{
				oldest = &seen;
				break;
			}
			if (!isValid(seen.upstream) || seen.at < oldest->at)
			{
				oldest = &seen;
			}
		}
		*oldest = {_upstream, _now};
	}
}
} // namespace spanplank
