/// Expected length and end of an answer.
#include "spanplank/completion.h"

#include <algorithm>
#include <cmath>

namespace spanplank
{
namespace
{
/// Weight of the newest answer in a route's mean, so that about 50 answers count. Lengths differ by more than
/// a factor of ten within a route, so a shorter average would follow single answers.
constexpr double kLengthSmoothing = 0.02;
/// Part of the expected tokens that an answer certainly has. Callers' estimates are often too high by a
/// factor of two, and a request that could have ended must not be refused.
constexpr double kCertainShare = 0.5;

double boundedBy(double _tokens, uint32_t _bound)
{
	return _bound == 0 ? _tokens : std::min(_tokens, double(_bound));
}
} // namespace

void recordAnswerLength(AnswerLengths& _lengths, const std::string& _route, double _tokens)
{
	if (!std::isfinite(_tokens) || _tokens <= 0.0)
	{
		return;
	}
	MeanLength& mean = _lengths.routes[_route];
	const double early = 1.0 / double(++mean.samples);
	mean.tokens += (_tokens - mean.tokens) * std::max(kLengthSmoothing, early);
}

double expectedAnswerTokens(const AnswerLengths& _lengths, const std::string& _route,
							const LengthClaim& _claim, uint32_t _engineTokens)
{
	const auto mean = _lengths.routes.find(_route);
	double tokens = mean == _lengths.routes.end() ? 0.0 : mean->second.tokens;
	if (_claim.estimate.value_or(0) > 0)
	{
		tokens = *_claim.estimate;
	}
	return boundedBy(boundedBy(tokens, _claim.maxTokens), _engineTokens);
}

double lastTokenMs(const CompletionEstimate& _estimate)
{
	return _estimate.firstTokenMs + _estimate.tokens * _estimate.tokenMs;
}

double earliestLastTokenMs(const CompletionEstimate& _estimate)
{
	return _estimate.firstTokenMs + kCertainShare * _estimate.tokens * _estimate.tokenMs;
}

EndOutlook endOutlook(const CompletionEstimate& _estimate, double _leftMs)
{
	if (_leftMs <= 0.0 || _estimate.tokens <= 0.0 || _estimate.tokenMs <= 0.0)
	{
		return EndOutlook::InTime;
	}
	if (lastTokenMs(_estimate) <= _leftMs)
	{
		return EndOutlook::InTime;
	}
	return earliestLastTokenMs(_estimate) <= _leftMs ? EndOutlook::Uncertain : EndOutlook::Late;
}

bool endsInTime(const CompletionEstimate& _estimate, double _leftMs)
{
	return endOutlook(_estimate, _leftMs) == EndOutlook::InTime;
}

bool cannotEnd(const CompletionEstimate& _estimate, double _leftMs)
{
	return endOutlook(_estimate, _leftMs) == EndOutlook::Late;
}
} // namespace spanplank
