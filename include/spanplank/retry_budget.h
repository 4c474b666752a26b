/// Limits retries to a share of successful answers, so that retries don't amplify an overload.
#ifndef SPANPLANK_RETRY_BUDGET_H_HEADER_GUARD
#define SPANPLANK_RETRY_BUDGET_H_HEADER_GUARD

#include <algorithm>

#include "spanplank/config.h"

namespace spanplank
{
struct RetryBudget
{
	double tokens = kRetryBurst;
	double ratio = kRetryRatio;
	double burst = kRetryBurst;
};

inline void recordSuccess(RetryBudget& _budget)
{
	_budget.tokens = std::min(_budget.burst, _budget.tokens + _budget.ratio);
}

/// @returns Whether a retry is allowed; if so, one token is consumed.
inline bool consumeRetry(RetryBudget& _budget)
{
	if (_budget.tokens < 1.0)
	{
		return false;
	}
	_budget.tokens -= 1.0;
	return true;
}
} // namespace spanplank

#endif // SPANPLANK_RETRY_BUDGET_H_HEADER_GUARD
