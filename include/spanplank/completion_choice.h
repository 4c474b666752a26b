/// Expected ends of a request's answer at the upstreams.
#ifndef SPANPLANK_COMPLETION_CHOICE_H_HEADER_GUARD
#define SPANPLANK_COMPLETION_CHOICE_H_HEADER_GUARD

#include <absl/types/span.h>
#include <optional>

#include "spanplank/completion.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// @returns Expected times of an answer at an upstream; unknown if the upstream is.
CompletionEstimate completionAt(const UpstreamTable& _table, const UpstreamQuery& _query,
								UpstreamId _upstream, TimeUs _now);

/// The best end of an answer that no upstream can finish before the deadline.
struct LateEnd
{
	UpstreamId upstream;
	size_t query = 0; ///< Index of the query, and so of the model.
	CompletionEstimate estimate;
	double leftMs = 0.0; ///< Time until the deadline.
	/// When an answer with the same time left could finish, in milliseconds from now, if the prompts that
	/// wait at the upstream are the cause; 0 if the answer is too long even without them.
	double freeInMs = 0.0;
};

/// Judges whether any upstream can finish an answer, with one query for each model. Upstreams that accept no
/// request now by their rate or rest count as well, as they accept one soon.
/// @returns Nothing if an upstream can, if an end is unknown, or if there is no upstream.
std::optional<LateEnd> lateEverywhere(const UpstreamTable& _table, absl::Span<const UpstreamQuery> _queries,
									  TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_COMPLETION_CHOICE_H_HEADER_GUARD
