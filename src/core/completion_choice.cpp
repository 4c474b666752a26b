/// Expected ends of a request's answer at the upstreams.
#include "spanplank/completion_choice.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "prompt_choice_p.h"

namespace spanplank
{
CompletionEstimate completionAt(const UpstreamTable& _table, const UpstreamQuery& _query,
								UpstreamId _upstream, TimeUs _now)
{
	const auto found = _table.entries.find(_upstream.idx);
	if (found == _table.entries.end())
	{
		return {};
	}
	return {expectedFirstTokenMs(_table, _query, _upstream, _now), _query.answerTokens,
			tokenMsAt(_table.speeds, found->second.key, serviceModelKey(_query), _now)};
}

std::optional<LateEnd> lateEverywhere(const UpstreamTable& _table, absl::Span<const UpstreamQuery> _queries,
									  TimeUs _now)
{
	std::optional<LateEnd> best;
	std::pair<bool, double> bestRank;
	for (size_t ii = 0; ii < _queries.size(); ++ii)
	{
		const UpstreamQuery& query = _queries[ii];
		const std::string model = serviceModelKey(query);
		const std::vector<Candidate> candidates = candidatesFor(_table, query, _now, true);
		const std::vector<double> firstTokens = expectedFirstTokens(_table, query, candidates, _now);
		for (size_t at = 0; at < candidates.size(); ++at)
		{
			const Candidate& candidate = candidates[at];
			const double tokenMs = tokenMsAt(_table.speeds, candidate.entry->key, model, _now);
			const bool tooLong = cannotEnd({0.0, query.answerTokens, tokenMs}, query.leftMs);
			const CompletionEstimate estimate{firstTokens[at], query.answerTokens, tokenMs};
			if (!cannotEnd(estimate, query.leftMs))
			{
				return std::nullopt;
			}
			const std::pair rank(tooLong, earliestLastTokenMs(estimate));
			if (!best || rank < bestRank)
			{
				best = LateEnd{UpstreamId{candidate.idx}, ii, estimate, query.leftMs, 0.0};
				bestRank = rank;
			}
		}
	}
	if (best)
	{
		best->estimate = completionAt(_table, _queries[best->query], best->upstream, _now);
		const double excessMs = earliestLastTokenMs(best->estimate) - best->leftMs;
		const double waitMs = std::min(best->estimate.firstTokenMs, expectedWaitMs(_table, best->upstream));
		best->freeInMs = excessMs <= waitMs ? excessMs : 0.0;
	}
	return best;
}
} // namespace spanplank
