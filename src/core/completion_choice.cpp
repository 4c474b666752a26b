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
		for (const Candidate& candidate : candidatesFor(_table, query, _now, true))
		{
			const double tokenMs = tokenMsAt(_table.speeds, candidate.entry->key, model, _now);
			CompletionEstimate estimate{0.0, query.answerTokens, tokenMs};
			const bool tooLong = cannotEnd(estimate, query.leftMs);
			if (!tooLong) // The time to the first token takes longer to compute and is not needed otherwise.
			{
				estimate = completionAt(_table, query, UpstreamId{candidate.idx}, _now);
			}
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
