/// Decisions on one request in direct mode: model selection, retries, timeouts and the final answer.
#ifndef SPANPLANK_REQUEST_PLAN_H_HEADER_GUARD
#define SPANPLANK_REQUEST_PLAN_H_HEADER_GUARD

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "spanplank/http_status.h"
#include "spanplank/policies.h"
#include "spanplank/retry_window.h"
#include "spanplank/service_config.h"
#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// How an attempt ended.
enum class AttemptEnd : uint8_t
{
	Complete,           ///< A complete answer was forwarded, or is ready to be.
	LowConfidence,      ///< The answer's confidence is below the limit; no part of it was forwarded.
	NotSent,            ///< No connection: no byte of the request was sent.
	NotRun,             ///< The upstream rejected the request and has not run it.
	Misdirected,        ///< Another upstream uses the address now: the request has not run, and the intended
						///< upstream no longer exists.
	Failed,             ///< The upstream answered with a server error; the request ran.
	Aborted,            ///< The connection or the answer was aborted: the request may have run.
	Unresponsive,       ///< No answer or no further event before the timeout: the request may still run.
	DeadlineExceeded,   ///< The request's deadline has passed.
	CallerDisconnected, ///< The caller closed its connection.
	Superseded,         ///< Another attempt resumed the started answer first; this one ran.
};

/// @returns Name used in logs.
const char* name(AttemptEnd _end);

struct RequestPlan
{
	Policies policies;
	bool repeatable = false;
	bool stream = false;
	uint32_t maxAttempts = 1;
	uint32_t targetMs = 0;
	uint32_t eventGapMs = 0;
	TimeUs arrivedAt = 0;
	TimeUs deadline = 0;
	TimeUs waitingSince = 0; ///< When it first waited for a paced upstream; 0 if it has not.
	/// Models to choose from, smallest first; empty if the caller selected the model.
	std::vector<std::string> models;
	size_t model = 0;          ///< Index in `models` of the current attempt's model.
	uint32_t runs = 0;         ///< Number of attempts that may have run.
	uint32_t sentAttempts = 0; ///< Number of attempts of which at least a byte may have been sent.
	bool mayHaveRun = false;   ///< At least one attempt may have run: the final answer must not be "not run".
	bool started = false;      ///< A part of the answer was forwarded to the caller.
	std::set<uint32_t> tried;  ///< Upstreams that failed, rejected or stalled on the request.
	std::set<uint32_t> failedUpstreams; ///< Subset of `tried` that aborted or failed the request.
	/// Time at which the next attempt was counted in the retry window; 0 if it was not. Kept until the
	/// attempt is sent.
	TimeUs retryAcquiredAt = 0;
	TimeUs nextRetryAcquiredAt = 0; ///< The same for the attempt that replaces the current one.
	/// A started answer was handed to another upstream while its own could have continued, and none has
	/// continued it since.
	bool abandonedByRouter = false;
	bool allUpstreamsTried = false; ///< All upstreams have been tried for the started answer: from now on
									///< there is a pause before each attempt.
};

RequestPlan planRequest(const Route& _route, std::optional<uint32_t> _deadlineMs, TimeUs _now);

/// Timeouts of one attempt.
struct AttemptTimeouts
{
	TimeUs connectDeadline = 0;
	/// Latest time of a stream's first event, or of the head of any other answer.
	TimeUs responseStartDeadline = 0;
	TimeUs maxEventGap = 0; ///< Longest allowed time between events.
};

/// Estimated time to first token, in milliseconds from the start of the attempt; 0 if unknown.
struct FirstTokenEstimate
{
	double expectedMs = 0.0;
	double uncachedMs = 0.0; ///< Estimate if no part of the prompt is cached at the upstream.
};

/// @returns Whether another attempt is allowed after the one that starts or is running.
/// @param[in] _retained Whether that one is already counted in `runs`, see `recordRetainedAttempt`.
bool allowsFurtherAttempt(const RequestPlan& _plan, bool _retained = false);

/// @param[in] _another Whether another attempt may follow. If not, the timeouts extend to the deadline.
AttemptTimeouts attemptTimeouts(const RequestPlan& _plan, bool _another, const FirstTokenEstimate& _estimate,
								TimeUs _now);

/// Confidence below which an answer is dropped and the next model requested while engines are idle, in
/// points; see docs/design/platform.md.
constexpr double kMaxConfidenceLimit = 60.0;

/// @returns Maximum expected time to first token of an upstream that is likely to meet the latency objective,
/// in milliseconds; at least 1.
double firstTokenBudgetMs(const RequestPlan& _plan, TimeUs _now);

/// Load of a service's engines, estimated from the time to first token of the smallest models.
struct FirstTokenPressure
{
	/// Moving average of the time to first token, as a share of the latency objective, 0 to 1.
	double share = 0.0;
	uint32_t samples = 0;
};

/// Records the time after which an attempt on the smallest model received its first token or was given up
/// without one.
void recordFirstTokenTime(FirstTokenPressure& _pressure, const RequestPlan& _plan, TimeUs _after);

/// Estimates for the next model.
struct NextModelEstimate
{
	double firstTokenMs = 0.0; ///< Expected time to first token; 0 if unknown.
	double waitMs = 0.0;       ///< Part of it spent waiting for other requests.
	double pressure = 0.0;     ///< `FirstTokenPressure::share` of the service.
	bool available = true;     ///< An upstream with this model can take the request.
	bool endsInTime = true;    ///< Its answer is expected to end before the deadline, or its end is unknown.
	double lastTokenMs = 0.0;  ///< Expected time to the last token; 0 if unknown.
};

/// @returns Whether no larger model is left; also true if the caller selected the model.
bool isLastModel(const RequestPlan& _plan);

/// @returns Confidence below which an answer is dropped and the next model requested, in points; 0 if any
/// answer is accepted. Under load the next model's answer would be late and delay other requests, so the
/// current answer is used. If the objective is missed only because the prompt is long, the next model is
/// still requested, as a late answer is worth more than a poor one.
double confidenceLimit(const RequestPlan& _plan, double _budgetUsed, const NextModelEstimate& _next,
					   TimeUs _now);

/// @returns Index of the model that is requested after the current one.
size_t nextModel(const RequestPlan& _plan);

/// Decides whether to give up the current attempt after one of its timeouts. A working upstream is given up
/// only if another attempt is certain to be allowed, so that attempt is acquired from the window at the same
/// time.
/// @param[in] _another Whether another upstream can take the request now.
/// @param[in] _retained Whether the attempt was retained before and continued.
/// @returns Time until which to wait before the next call; nothing if the attempt is given up or, if its
/// answer has started, retained beside the next attempt.
std::optional<TimeUs> extendTimeout(RequestPlan& _plan, RetryWindow& _window, bool _another, TimeUs _now,
									bool _retained = false);

/// Records that another upstream is requested to resume a started answer, while the current attempt is
/// retained until one of the two has continued it. The attempt counts as a run from now on.
/// @param[in] _retainedBefore Whether it was retained before and continued.
void recordRetainedAttempt(RequestPlan& _plan, uint32_t _upstream, bool _retainedBefore);

/// @returns Used share of the retry window as it counts for a second run: 0 if a loan can be used for it.
double usedShareForEscalation(RetryWindow& _window, TimeUs _now);

/// @returns Expected gain of dropping an answer for the next model's, from 0 to 1: less confident answers
/// come first, then more urgent requests.
/// @param[in] _confidence In points. @param[in] _urgency From 0, most urgent, to 9.
double escalationGain(double _confidence, uint32_t _urgency);

/// Acquires the attempt on the next model from the window. While routers share their windows, the reserve for
/// failures is used only as far as the gain reaches.
/// @param[in] _gain See `escalationGain`.
/// @returns Whether it was acquired, so that the current answer may be dropped.
bool acquireEscalation(RequestPlan& _plan, RetryWindow& _window, TimeUs _now, double _gain = 1.0);

/// What to do after an attempt.
enum class RetryDecision : uint8_t
{
	Retry,  ///< Start the next attempt, on another upstream or the next model.
	Pause,  ///< Call `decideNextAttempt` after a pause: the answer has to be continued, but no attempt is
			///< allowed now.
	Finish, ///< Send the final answer.
};

/// Records the end of an attempt and decides what follows. A retry is acquired from the window.
RetryDecision afterAttempt(RequestPlan& _plan, AttemptEnd _end, uint32_t _upstream, RetryWindow& _window,
						   TimeUs _now);

/// The same for a retained attempt, if no other attempt of the request is being started.
RetryDecision afterRetainedAttempt(RequestPlan& _plan, AttemptEnd _end, uint32_t _upstream,
								   RetryWindow& _window, TimeUs _now);

/// Decides on the next attempt while none is running. A retry is acquired from the window.
RetryDecision decideNextAttempt(RequestPlan& _plan, RetryWindow& _window, TimeUs _now);

/// Handles that all upstreams have been tried. For a started answer, tried upstreams become eligible again:
/// first those that only stalled or rejected the request, and those that aborted or failed it once no other
/// is left.
/// @param[in] _live Upstreams with a running attempt of the request.
RetryDecision onUpstreamsExhausted(RequestPlan& _plan, TimeUs _now, const std::set<uint32_t>& _live = {});

/// Returns acquired attempts that were not sent to the window, at the end of the request.
void releaseUnsentRetries(RequestPlan& _plan, RetryWindow& _window);

/// @returns Whether another attempt that may run is allowed now.
bool mayRunAgain(const RequestPlan& _plan, TimeUs _now);

/// @returns Whether a request may wait for an upstream that is cold, states a limit or rests, and accepts it
/// from `_from` on. All its waits together are bounded; if it may not, it is refused at once.
bool mayWaitForUpstream(const RequestPlan& _plan, TimeUs _from, TimeUs _now);

/// Final answer of the router to a request without an answer from an upstream.
struct FinalAnswer
{
	int status = status::kUnavailable;
	uint32_t retryAfterMs = 0; ///< 0 if the answer has no Retry-After.
	const char* code = "";     ///< Error code for programs.
	const char* reason = "";
};

/// @param[in] _why Why no upstream was available, if that ended the request.
/// @param[in] _jitter Random number from 0 to 1 that spreads the retries of callers that are refused
/// together.
/// @param[in] _acceptsAt When an upstream accepts a request again; 0 or `kNever` if unknown. For
/// `NoUpstream::NoTime` when an upstream could finish the answer; 0 if returning makes no sense.
FinalAnswer finalAnswer(const RequestPlan& _plan, AttemptEnd _last, NoUpstream _why, double _jitter,
						TimeUs _now, TimeUs _acceptsAt = 0);
} // namespace spanplank

#endif // SPANPLANK_REQUEST_PLAN_H_HEADER_GUARD
