/// Expected length and end of an answer.
#ifndef SPANPLANK_COMPLETION_H_HEADER_GUARD
#define SPANPLANK_COMPLETION_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "spanplank/types.h"

namespace spanplank
{
/// What a caller says about the length of its answer.
struct LengthClaim
{
	std::optional<uint32_t>
		estimate;           ///< Tokens; correct in the median and often far off. 0 is not an estimate.
	uint32_t maxTokens = 0; ///< Most tokens that the caller allows; 0: not stated.
};

/// Moving average of the lengths of a route's answers.
struct MeanLength
{
	double tokens = 0.0;
	uint32_t samples = 0;
};

/// Mean length of answers by route, learned from complete answers.
struct AnswerLengths
{
	std::map<std::string, MeanLength> routes; ///< By route name.
};

/// Records the length of a complete answer. Lengths that are not positive numbers are ignored.
void recordAnswerLength(AnswerLengths& _lengths, const std::string& _route, double _tokens);

/// @returns Expected number of output tokens; 0 if unknown.
/// @param[in] _engineTokens Memory of an engine, the upper bound; 0: unknown.
double expectedAnswerTokens(const AnswerLengths& _lengths, const std::string& _route,
							const LengthClaim& _claim, uint32_t _engineTokens);

/// Expected times of an answer, from now.
struct CompletionEstimate
{
	double firstTokenMs = 0.0; ///< 0: unknown.
	double tokens = 0.0;       ///< Output tokens still to come; 0: unknown.
	double tokenMs = 0.0;      ///< Time per output token; 0: unknown.
};

/// @returns Expected time to the last token in milliseconds.
double lastTokenMs(const CompletionEstimate& _estimate);

/// @returns The same if the expected number of tokens is twice the actual one.
double earliestLastTokenMs(const CompletionEstimate& _estimate);

/// Whether an answer ends before its deadline, the best outcome first.
enum class EndOutlook : uint8_t
{
	InTime,    ///< Expected to end in time, or its end is unknown.
	Uncertain, ///< In time only if it is shorter than expected.
	Late,      ///< Late even if it has half of the expected tokens.
};

/// @param[in] _leftMs Time until the deadline; 0 if there is none.
EndOutlook endOutlook(const CompletionEstimate& _estimate, double _leftMs);

/// @returns Whether an answer is expected to end in time; true if its end is unknown.
bool endsInTime(const CompletionEstimate& _estimate, double _leftMs);

/// @returns Whether an answer cannot end in time even if it has half of the expected tokens.
bool cannotEnd(const CompletionEstimate& _estimate, double _leftMs);
} // namespace spanplank

#endif // SPANPLANK_COMPLETION_H_HEADER_GUARD
