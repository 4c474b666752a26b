/// Expected length and end of an answer.
#include "spanplank/completion.h"

namespace spanplank
{
void recordAnswerLength(AnswerLengths&, const std::string&, double)
{
}

double expectedAnswerTokens(const AnswerLengths&, const std::string&, const LengthClaim&, uint32_t)
{
	return 0.0;
}

double lastTokenMs(const CompletionEstimate& _estimate)
{
	return _estimate.firstTokenMs + _estimate.tokens * _estimate.tokenMs;
}

bool endsInTime(const CompletionEstimate&, double)
{
	return true;
}

bool cannotEnd(const CompletionEstimate&, double)
{
	return false;
}
} // namespace spanplank
