/// Limits retries to a share of the requests in a sliding window.
#ifndef SPANPLANK_RETRY_WINDOW_H_HEADER_GUARD
#define SPANPLANK_RETRY_WINDOW_H_HEADER_GUARD

#include <cstdint>
#include <deque>

#include "spanplank/types.h"

namespace spanplank
{
/// Retries that another router has lent; see `retry_lending.h`.
struct RetryLoan
{
	uint32_t retries = 0;
	TimeUs until = 0; ///< They lapse then.
};

/// A retry that was acquired from a loan.
struct BorrowedRetry
{
	TimeUs acquiredAt = 0;
	TimeUs until = 0; ///< When its loan lapses.
};

/// Retry limit of one service. Each router applies the share to its own requests, so the share also holds for
/// the sum over all routers.
struct RetryWindow
{
	TimeUs length = 10ll * 1000 * kMsToUs; ///< Length of the window, from the settings.
	double ratio = 0.9;                    ///< Retries per request, from the settings.
	uint32_t burst = 2; ///< Retries allowed in addition, also in a window without requests.
	std::deque<TimeUs> requests;
	/// Times of the retries, sorted. Each counts until one window length after its time; that of a lent retry
	/// is the end of its loan, in the future at first.
	std::deque<TimeUs> retries;
	bool shared = false;                ///< Other routers may lend and borrow.
	std::deque<RetryLoan> loans;        ///< For this router's use, the earliest to lapse first.
	std::deque<BorrowedRetry> borrowed; ///< In order of acquisition, for `releaseRetry`.
	std::deque<TimeUs> demand; ///< Acquired and refused retries of the last `kRetryDemandSpan`, if shared.
	uint64_t refused = 0;      ///< Retries refused for want of room.
	uint64_t lapsed = 0;       ///< Borrowed retries that were not used in time.
};

/// Part of a window's allowed retries that stays available for failures of the router's own requests: it is
/// not lent, and second runs use it only by their expected gain.
constexpr double kRetryReserveShare = 0.3;

/// Time over which the demand for retries is averaged. Two loan lives: over one, a demand of one retry a
/// second would alternate between none and two.
constexpr TimeUs kRetryDemandSpan = 2000 * kMsToUs;

/// Records a request for the service.
void recordRequest(RetryWindow& _window, TimeUs _now);

/// @returns Whether a retry is allowed; if so, it is counted. Loans are used first, as they lapse.
/// @param[in] _share Share of the window's allowed retries that may be used, including this one. It doesn't
/// limit the use of loans.
bool acquireRetry(RetryWindow& _window, TimeUs _now, double _share = 1.0);

/// Records a retry that was refused for want of room before it was to be acquired.
void recordRefusedRetry(RetryWindow& _window, TimeUs _now);

/// @returns Whether this many more retries are allowed now, by the window and the loans.
bool allowsRetries(RetryWindow& _window, uint32_t _retries, TimeUs _now);

/// Removes a retry that was counted at `_acquiredAt` but won't be sent. A borrowed one returns to its loan
/// and lapses with it.
void releaseRetry(RetryWindow& _window, TimeUs _acquiredAt);

/// @returns Used share of the window's allowed retries; above 1 if the window has shrunk since.
double usedShare(RetryWindow& _window, TimeUs _now);

/// @returns Borrowed retries that can be used now.
uint32_t borrowedRetries(RetryWindow& _window, TimeUs _now);

/// @returns Retries that other routers should lend: the recent demand for one `_life`, less what the window
/// without its reserve and the loans can serve.
uint32_t wantedRetries(RetryWindow& _window, TimeUs _life, TimeUs _now);

/// @returns Retries that can be lent: what the requests allow, without the burst, less the reserve, the used
/// ones and the recent demand for one `_life`.
uint32_t lendableRetries(RetryWindow& _window, TimeUs _life, TimeUs _now);

/// Counts retries that another router may use until `_until`.
void lendRetries(RetryWindow& _window, uint32_t _retries, TimeUs _until);

/// Adds a loan of another router.
void borrowRetries(RetryWindow& _window, const RetryLoan& _loan);
} // namespace spanplank

#endif // SPANPLANK_RETRY_WINDOW_H_HEADER_GUARD
