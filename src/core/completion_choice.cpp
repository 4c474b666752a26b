/// Expected ends of a request's answer at the upstreams.
#include "spanplank/completion_choice.h"

#include <algorithm>
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
	for (size_t ii = 0; ii < _queries.size(); ++ii)
	{
		const UpstreamQuery& query = _queries[ii];
		for (const Candidate& candidate : candidatesFor(_table, query, _now, true))
		{
			const UpstreamId upstream{candidate.idx};
			const CompletionEstimate estimate = completionAt(_table, query, upstream, _now);
			if (!cannotEnd(estimate, query.leftMs))
			{
				return std::nullopt;
			}
			if (!best || earliestLastTokenMs(estimate) < earliestLastTokenMs(best->estimate))
			{
				const double excessMs = earliestLastTokenMs(estimate) - query.leftMs;
				const double waitMs = std::min(estimate.firstTokenMs, expectedWaitMs(_table, upstream));
				best = LateEnd{upstream, ii, estimate, query.leftMs, excessMs <= waitMs ? excessMs : 0.0};
			}
		}
	}
	return best;
}
} // namespace spanplank
