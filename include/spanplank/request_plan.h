/// Decisions on one request in direct mode: models, further attempts, time limits, the final answer.
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
	Whole,       ///< A whole answer was passed on, or is ready to be.
	Doubted,     ///< The model doubts its answer, nothing of it was passed on.
	NotSent,     ///< No connection: no byte of the request left.
	NotRun,      ///< The upstream rejected it and has not run it.
	Misdirected, ///< Another upstream has the address: not run, and this one is gone.
	Failed,      ///< The upstream answered with a failure of its own; it ran.
	Broken,      ///< The connection or the answer broke off: it may have run.
	Silent,      ///< No answer, or no further event, in the time given: it may still run.
	TimeUp,      ///< The request's time is over.
	CallerLeft,
	Overtaken, ///< Another attempt of a begun answer went on with it first; it ran.
};

/// @returns A name for logs.
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
	std::vector<std::string> models; ///< To choose from, smallest first; empty: the caller chose.
	size_t model = 0;                ///< Of the attempt under way.
	uint32_t runs = 0;               ///< Attempts that may have run.
	uint32_t sends = 0;              ///< Attempts of which a byte may have left.
	bool mayHaveRun = false;         ///< Not to be told "not run".
	bool started = false;            ///< The caller has a part of the answer.
	std::set<uint32_t> tried;        ///< Upstreams that failed, rejected or paused in it.
	std::set<uint32_t> broke;        ///< Those among them that broke it off or failed it.
	/// When the next attempt was counted in the retry window; 0: it wasn't. Stays until the attempt is sent.
	TimeUs extraAt = 0;
	TimeUs nextExtraAt = 0; ///< The same for the attempt after the one under way, which is given up.
	/// Another upstream was asked to go on with a begun answer while its own might have, and none has since.
	bool leftByUs = false;
	bool askedAll = false; ///< For such an answer all upstreams were asked: now one is at each pause.
};

RequestPlan planRequest(const Route& _route, std::optional<uint32_t> _deadlineMs, TimeUs _now);

/// Limits of one attempt, from its beginning.
struct AttemptTimes
{
	TimeUs connectBy = 0;
	TimeUs headBy = 0; ///< First event of a stream, head of another answer.
	TimeUs gap = 0;    ///< Longest pause between events.
};

/// When the head of an answer may come, in milliseconds from the beginning of the attempt; 0: unknown.
struct HeadTimes
{
	double expectedMs = 0.0;
	double longestMs = 0.0; ///< If the upstream keeps nothing of the prompt.
};

/// @returns Whether the rules allow a further attempt after the one that begins or is under way.
/// @param[in] _kept That one is counted already: see `noteKept`.
bool mayBeFollowed(const RequestPlan& _plan, bool _kept = false);

/// @param[in] _another Whether a further attempt may follow: without one, waiting on is all that is left.
AttemptTimes attemptTimes(const RequestPlan& _plan, bool _another, const HeadTimes& _head, TimeUs _now);

/// The confidence below which a model doubts its answer while engines are idle. Measured on quiet days beside
/// 50, 70 and 85: see docs/design/platform.md.
constexpr double kConfidence = 60.0;

/// @returns Expected time to the first token up to which an upstream is likely in time for the objective, in
/// milliseconds; at least 1.
double timelyWithinMs(const RequestPlan& _plan, TimeUs _now);

/// How busy a service's engines are, as the first models' answers show it.
struct HeadPressure
{
	double share = 0.0; ///< Decayed time until the head, as a share of the objective.
	uint32_t samples = 0;
};

/// An attempt of a first model got its head, or was given up without one, after this time.
void noteHeadTime(HeadPressure& _pressure, const RequestPlan& _plan, TimeUs _after);

/// What the next model would take.
struct NextModel
{
	double headMs = 0.0;   ///< Expected time until its first token; 0: unknown.
	double waitMs = 0.0;   ///< Of it, what waits for the work of others.
	double pressure = 0.0; ///< `HeadPressure::share` of the service.
	bool exists = true;    ///< An upstream can be asked for it.
};

/// @returns Whether no larger model is left to ask; also if the caller chose the model.
bool isLastModel(const RequestPlan& _plan);

/// @returns The confidence below which an answer is dropped and the next model asked; 0: take any.
/// Under load the next model's answer comes too late and its work would delay others: then the answer at hand
/// is worth more. A prompt that is only too long for the objective is asked again: late is better than poor.
double confidenceLimit(const RequestPlan& _plan, double _budgetUsed, const NextModel& _next, TimeUs _now);

/// @returns The model that is asked after the one under way.
size_t nextModel(const RequestPlan& _plan);

/// Decides when a limit of the attempt under way has passed: an upstream at work is left only for another
/// attempt that is sure to be allowed. Giving up takes that attempt from the window, so that nothing refuses
/// it afterwards.
/// @param[in] _another Whether another upstream can take the request now.
/// @param[in] _kept The attempt was kept before, and went on.
/// @returns Until when the wait goes on, then to be asked again; nothing: the attempt is given up, or, of a
/// begun answer, kept beside the next one.
std::optional<TimeUs> waitOnUntil(RequestPlan& _plan, RetryWindow& _window, bool _another, TimeUs _now,
								  bool _kept = false);

/// Another upstream is asked to go on with a begun answer, and the attempt under way is kept until one of
/// them has: from here on it counts as a run. @param[in] _again It was kept before, and went on.
void noteKept(RequestPlan& _plan, uint32_t _upstream, bool _again);

/// Takes the next model's attempt from the window.
/// @returns Whether the answer at hand may be dropped for it.
bool takeNextModel(RequestPlan& _plan, RetryWindow& _window, TimeUs _now);

/// What follows an attempt.
enum class NextMove : uint8_t
{
	Again,  ///< Another upstream, or the next model.
	Later,  ///< After a pause `moveOn` is to be asked: nothing goes on now with an answer that has to.
	Finish, ///< The final answer.
};

/// Takes note of an attempt's end and decides. An extra attempt is taken from the window.
NextMove afterAttempt(RequestPlan& _plan, AttemptEnd _end, uint32_t _upstream, RetryWindow& _window,
					  TimeUs _now);

/// The same for an attempt that was kept, if no other looks for an upstream by then.
NextMove afterKept(RequestPlan& _plan, AttemptEnd _end, uint32_t _upstream, RetryWindow& _window,
				   TimeUs _now);

/// Decides on a further attempt while none is under way. An extra attempt is taken from the window.
NextMove moveOn(RequestPlan& _plan, RetryWindow& _window, TimeUs _now);

/// No upstream is left to ask. An answer that has to go on may ask those again that were asked before: those
/// that only paused or rejected it first, those that broke it once nothing else is left.
/// @param[in] _live Upstreams that are at work on it.
NextMove whenNoneIsLeft(RequestPlan& _plan, TimeUs _now, const std::set<uint32_t>& _live = {});

/// The request ends: gives an attempt back to the window that was taken and not sent.
void giveBackUnsent(RequestPlan& _plan, RetryWindow& _window);

/// @returns Whether the rules allow another attempt that may run.
bool mayRunAgain(const RequestPlan& _plan, TimeUs _now);

/// @returns Whether a request waits for a cold upstream that takes it from a moment on. If not, it is refused
/// at once.
bool mayAwaitCold(const RequestPlan& _plan, TimeUs _from, TimeUs _now);

/// The router's own final answer to a request that has none.
struct FinalAnswer
{
	int status = status::kUnavailable;
	uint32_t retryAfterMs = 0; ///< 0: none is told.
	const char* code = "";     ///< For programs.
	const char* reason = "";
};

/// @param[in] _why Why no upstream was left to ask, if that ended the request.
/// @param[in] _spread 0 to 1, by chance: callers that are refused together do not come back together.
FinalAnswer finalAnswer(const RequestPlan& _plan, AttemptEnd _last, NoUpstream _why, double _spread,
						TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_REQUEST_PLAN_H_HEADER_GUARD
