/// Completion of answers in time: expected lengths, the refusal of requests that no upstream can finish, and
/// the tokens that attempts hold.
#ifndef SPANPLANK_COMPLETION_TIME_P_H_HEADER_GUARD
#define SPANPLANK_COMPLETION_TIME_P_H_HEADER_GUARD

#include "attempt_p.h"
#include "metrics_p.h"

namespace spanplank
{
/// Counts an invalid estimate of the answer's length, which is ignored.
void countInvalidLength(const Serving& _serving);

/// @returns Tokens that a request holds in an engine's memory while it runs: its prompt and the expected
/// answer; 0 for plain services.
uint32_t heldTokens(const Serving& _serving);

/// @returns Expected time from now to the end of an answer at an upstream, in milliseconds; 0 if unknown.
double expectedEndMs(const Serving& _serving, const UpstreamQuery& _query, UpstreamId _upstream);

/// Judges whether a request that has not run is to be refused because no upstream with any of its models can
/// finish it before the deadline; logs the inputs if so.
/// @param[in] _picked The upstream chosen for the current model.
bool isTooLate(Serving& _serving, UpstreamId _picked, const UpstreamQuery& _query);

/// Records the length of a complete stream, and its end compared with the expected one.
void recordStreamEnd(Serving& _serving, const AttemptNotes& _notes, TimeUs _now);

/// Keeps the tokens of an attempt, prompt and expected answer, counted at its upstream for as long as it
/// runs, also if it ends by an exception.
class TokenHold
{
public:
	TokenHold(const Serving& _serving, UpstreamId _upstream);
	~TokenHold();
	TokenHold(const TokenHold&) = delete;
	TokenHold& operator=(const TokenHold&) = delete;

private:
	UpstreamTable& m_table;
	UpstreamId m_upstream;
	uint32_t m_tokens = 0;
};

void addCompletionMetrics(MetricsPage& _page, const CompletionStats& _stats);
} // namespace spanplank

#endif // SPANPLANK_COMPLETION_TIME_P_H_HEADER_GUARD
