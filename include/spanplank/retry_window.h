/// Limits retries to a share of the requests in a sliding window.
#ifndef SPANPLANK_RETRY_WINDOW_H_HEADER_GUARD
#define SPANPLANK_RETRY_WINDOW_H_HEADER_GUARD

#include <cstdint>
#include <deque>

#include "spanplank/types.h"

namespace spanplank
{
/// Retry limit of one service. Each router applies the share to its own requests, so the share also holds for
/// the sum over all routers.
struct RetryWindow
{
	TimeUs length = 10ll * 1000 * kMsToUs; ///< Length of the window, from the settings.
	double ratio = 0.9;                    ///< Retries per request, from the settings.
	uint32_t burst = 2; ///< Retries allowed in addition, also in a window without requests.
	std::deque<TimeUs> requests;
	std::deque<TimeUs> retries;
};

/// Records a request for the service.
void recordRequest(RetryWindow& _window, TimeUs _now);

/// @returns Whether a retry is allowed; if so, it is counted.
/// @param[in] _share Share of the window's allowed retries that may be used, including this one.
bool acquireRetry(RetryWindow& _window, TimeUs _now, double _share = 1.0);

/// @returns Whether this many more retries are allowed now.
bool allowsRetries(RetryWindow& _window, uint32_t _retries, TimeUs _now);

/// Removes a retry that was counted at `_acquiredAt` but won't be sent.
void releaseRetry(RetryWindow& _window, TimeUs _acquiredAt);

/// @returns Used share of the window's allowed retries; above 1 if the window has shrunk since.
double usedShare(RetryWindow& _window, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_RETRY_WINDOW_H_HEADER_GUARD
