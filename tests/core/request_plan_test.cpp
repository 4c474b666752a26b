/// Attempts and final answers in direct mode: at-most-once execution, correct "not run" answers, bounded
/// retries.
#include "spanplank/request_plan.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace spanplank
{
namespace
{
constexpr TimeUs kNow = 1000000;

Route routeOf(RouteKind _kind, uint32_t _attempts)
{
	Route route;
	route.kind = _kind;
	route.resumable = _kind == RouteKind::Stream;
	route.maxAttempts = _attempts;
	route.timeoutMs = 5000;
	route.targetMs = 1000;
	return route;
}

RetryWindow unboundedWindow()
{
	RetryWindow window;
	window.burst = 1000;
	return window;
}

bool mayRun(AttemptEnd _end)
{
	return _end != AttemptEnd::NotSent && _end != AttemptEnd::NotRun && _end != AttemptEnd::Misdirected;
}

RC_GTEST_PROP(RequestPlan, ARequestThatCantBeRepeatedRunsAtMostOnceAndIsNeverCalledNotRunFalsely, ())
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Unsafe, 3), 4000, kNow);
	RetryWindow window = unboundedWindow();
	uint32_t runs = 0;
	AttemptEnd last = AttemptEnd::NotSent;
	RetryDecision decision = RetryDecision::Retry;
	for (uint32_t ii = 0; decision == RetryDecision::Retry && ii < 10; ++ii)
	{
		last = *rc::gen::element(AttemptEnd::NotSent, AttemptEnd::NotRun, AttemptEnd::Misdirected,
								 AttemptEnd::Failed, AttemptEnd::Aborted, AttemptEnd::Unresponsive);
		runs += mayRun(last) ? 1 : 0;
		decision = afterAttempt(plan, last, ii, window, kNow);
	}
	RC_ASSERT(runs <= 1u);
	const int status = finalAnswer(plan, last, NoUpstream::None, 0.0, kNow).status;
	RC_ASSERT((status == 503) == (runs == 0));
}

RC_GTEST_PROP(RequestPlan, RunsStayWithinTheRoutesAttempts, ())
{
	const auto attempts = uint32_t(*rc::gen::inRange(1, 5));
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, attempts), 4000, kNow);
	plan.models = {"small", "middle", "large"};
	RetryWindow window = unboundedWindow();
	RetryDecision decision = RetryDecision::Retry;
	for (uint32_t ii = 0; decision == RetryDecision::Retry && ii < 20; ++ii)
	{
		const AttemptEnd end =
			*rc::gen::element(AttemptEnd::LowConfidence, AttemptEnd::Failed, AttemptEnd::Aborted,
							  AttemptEnd::Unresponsive, AttemptEnd::NotRun);
		decision = afterAttempt(plan, end, ii, window, kNow);
	}
	RC_ASSERT(plan.runs <= attempts);
}

TEST(RequestPlan, TheShorterOfDeadlineAndTimeoutHolds)
{
	EXPECT_EQ(planRequest(routeOf(RouteKind::Safe, 2), 9000, kNow).deadline, kNow + 5000 * kMsToUs);
	EXPECT_EQ(planRequest(routeOf(RouteKind::Safe, 2), 300, kNow).deadline, kNow + 300 * kMsToUs);
}

TEST(RequestPlan, AnAnswerOfLowConfidenceIsFollowedByTheLargestModel)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "middle", "large"};
	RetryWindow window = unboundedWindow();
	EXPECT_GT(confidenceLimit(plan, 0.0, {10.0, 0.0, 0.0}, kNow), 0.0);
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::LowConfidence, 0, window, kNow), RetryDecision::Retry);
	EXPECT_EQ(plan.model, 2u);
	EXPECT_EQ(confidenceLimit(plan, 0.0, {10.0, 0.0, 0.0}, kNow), 0.0)
		<< "the largest model's answer is accepted in any case";
	EXPECT_TRUE(plan.tried.empty()) << "the upstream has not failed";
}

TEST(RequestPlan, EveryAnswerIsAcceptedIfNoTimeNoAttemptOrNoBudgetIsLeftForAnother)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	EXPECT_EQ(confidenceLimit(plan, 1.0, {10.0, 0.0, 0.0}, kNow), 0.0);
	EXPECT_EQ(confidenceLimit(plan, 0.0, {700.0, 600.0, 0.0}, kNow + 900 * kMsToUs), 0.0);
	EXPECT_EQ(confidenceLimit(plan, 0.0, {1200.0, 800.0, 0.0}, kNow), 0.0)
		<< "its first token would come too late";
	plan.runs = 2;
	EXPECT_EQ(confidenceLimit(plan, 0.0, {10.0, 0.0, 0.0}, kNow), 0.0);
}

TEST(RequestPlan, BusyEnginesRunTheNextModelOnlyForAnswersOfVeryLowConfidence)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	FirstTokenPressure pressure;
	recordFirstTokenTime(pressure, plan, 20 * kMsToUs);
	const double idle = confidenceLimit(plan, 0.0, {100.0, 0.0, pressure.share}, kNow);
	EXPECT_NEAR(idle, kMaxConfidenceLimit, 5.0);
	for (int ii = 0; ii < 20; ++ii)
	{
		recordFirstTokenTime(pressure, plan, 300 * kMsToUs);
	}
	const double busy = confidenceLimit(plan, 0.0, {100.0, 0.0, pressure.share}, kNow);
	EXPECT_LT(busy, idle - 20.0);
	for (int ii = 0; ii < 100; ++ii)
	{
		recordFirstTokenTime(pressure, plan, 5000 * kMsToUs);
	}
	EXPECT_LE(pressure.share, 1.0) << "a stalled answer weighs no more than a late one";
	EXPECT_GT(confidenceLimit(plan, 0.0, {100.0, 0.0, pressure.share}, kNow), 0.0);
}

RC_GTEST_PROP(RequestPlan, TheLimitOfConfidenceStaysWithinItsRangeAndNeverRisesWithThePressure, ())
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	const double less = *rc::gen::inRange(0, 1000) / 1000.0;
	const double more = less + *rc::gen::inRange(0, 1000) / 1000.0;
	const NextModelEstimate next{double(*rc::gen::inRange(0, 3000)), double(*rc::gen::inRange(0, 3000)),
								 less};
	const double limit = confidenceLimit(plan, 0.0, next, kNow);
	RC_ASSERT(limit >= 0.0 && limit <= kMaxConfidenceLimit);
	RC_ASSERT(confidenceLimit(plan, 0.0, {next.firstTokenMs, next.waitMs, more}, kNow) <= limit);
}

TEST(RequestPlan, APromptThatIsTooLongForTheObjectiveEscalatesIfTheEngineIsIdleAndTheDeadlineFar)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	EXPECT_GT(confidenceLimit(plan, 0.0, {1200.0, 20.0, 0.0}, kNow), 0.0)
		<< "a late answer is better than a poor one";
	EXPECT_EQ(confidenceLimit(plan, 0.0, {1200.0, 600.0, 0.0}, kNow), 0.0)
		<< "the engine is busy with other requests";
	EXPECT_EQ(confidenceLimit(plan, 0.0, {2500.0, 20.0, 0.0}, kNow), 0.0) << "the deadline is too near";
}

// Guards against aborted streams: the upstream of a stream was given up for its last attempt after a pause of
// 0.4 s, although it was still working, and that attempt failed with 2.4 s left. This happened in 4 of 20
// soak runs.
TEST(RequestPlan, TheLastAttemptOfAStartedStreamIsNotSpentBecauseOfAShortPause)
{
	Route route = routeOf(RouteKind::Stream, 3);
	route.eventGapMs = 1000;
	RequestPlan plan = planRequest(route, 5000, kNow);
	EXPECT_EQ(attemptTimeouts(plan, true, {}, kNow).maxEventGap, 800 * kMsToUs)
		<< "shorter than the longest pause that is on time";
	plan.runs = 1;
	EXPECT_EQ(attemptTimeouts(plan, true, {}, kNow).maxEventGap, 2000 * kMsToUs)
		<< "the attempt after this one is the last";
}

TEST(RequestPlan, AnUpstreamThatIsExpectedToBeLateIsNotGivenUpWhileItReadsALongPrompt)
{
	const RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 5000, kNow);
	EXPECT_EQ(attemptTimeouts(plan, true, {10.0, 10.0}, kNow).responseStartDeadline, kNow + 750 * kMsToUs)
		<< "a short prompt";
	EXPECT_GE(attemptTimeouts(plan, true, {600.0, 600.0}, kNow).responseStartDeadline, kNow + 1800 * kMsToUs);
	EXPECT_EQ(attemptTimeouts(plan, true, {4000.0, 4000.0}, kNow).responseStartDeadline,
			  kNow + 2000 * kMsToUs)
		<< "the timeout is bounded";
	EXPECT_GE(attemptTimeouts(plan, true, {10.0, 1000.0}, kNow).responseStartDeadline, kNow + 1000 * kMsToUs)
		<< "the cached prefix may have been evicted";
	EXPECT_EQ(attemptTimeouts(plan, false, {10.0, 10.0}, kNow).responseStartDeadline, plan.deadline)
		<< "no other attempt is allowed";
}

RetryWindow exhaustedWindow()
{
	RetryWindow window;
	while (acquireRetry(window, kNow))
	{
	}
	return window;
}

RequestPlan startedStream(uint32_t _attempts = 3)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, _attempts), 4000, kNow);
	plan.started = true;
	return plan;
}

TEST(LateAnswer, IsAwaitedIfNoRetryNoOtherUpstreamOrNoAttemptIsLeft)
{
	RequestPlan plan = startedStream();
	RetryWindow exhausted = exhaustedWindow();
	const size_t usedBefore = exhausted.retries.size();
	EXPECT_GT(extendTimeout(plan, exhausted, true, kNow), kNow);
	EXPECT_EQ(exhausted.retries.size(), usedBefore);
	RetryWindow unbounded = unboundedWindow();
	EXPECT_GT(extendTimeout(plan, unbounded, false, kNow), kNow) << "there is no other upstream";
	plan.policies.resumption = false;
	EXPECT_GT(extendTimeout(plan, unbounded, true, kNow), kNow) << "no other upstream may resume it";
	RequestPlan last = startedStream(1);
	EXPECT_GT(extendTimeout(last, unbounded, true, kNow), kNow) << "the route allows one attempt";
	EXPECT_TRUE(unbounded.retries.empty());
	EXPECT_EQ(extendTimeout(last, unbounded, true, last.deadline - 1), last.deadline)
		<< "no wait extends beyond the deadline";
	EXPECT_EQ(extendTimeout(last, unbounded, true, last.deadline), std::nullopt);
	EXPECT_TRUE(unbounded.retries.empty()) << "nothing follows at the deadline";
}

TEST(LateAnswer, ThatIsGivenUpHasAcquiredItsNextAttempt)
{
	RequestPlan plan = startedStream();
	RetryWindow window;
	EXPECT_EQ(extendTimeout(plan, window, true, kNow), std::nullopt);
	while (acquireRetry(window, kNow))
	{
	}
	const size_t usedBefore = window.retries.size();
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::Unresponsive, 0, window, kNow), RetryDecision::Retry);
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::NotSent, 1, window, kNow), RetryDecision::Retry)
		<< "no byte was sent: the retry stays acquired for the next upstream";
	EXPECT_EQ(window.retries.size(), usedBefore) << "counted once";
}

TEST(LateAnswer, ThatWasGivenUpIsNotAbortedWhenTheNextUpstreamRejectsIt)
{
	RequestPlan plan = startedStream();
	RetryWindow window;
	ASSERT_EQ(extendTimeout(plan, window, true, kNow), std::nullopt);
	while (acquireRetry(window, kNow))
	{
	}
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Unresponsive, 0, window, kNow), RetryDecision::Retry);
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::NotRun, 1, window, kNow), RetryDecision::Pause);
	EXPECT_EQ(decideNextAttempt(plan, window, kNow + kMsToUs), RetryDecision::Pause)
		<< "the window allows no retry yet";
	window.retries.clear();
	EXPECT_EQ(decideNextAttempt(plan, window, kNow + kMsToUs), RetryDecision::Retry);
	EXPECT_EQ(onUpstreamsExhausted(plan, kNow + kMsToUs), RetryDecision::Pause);
	EXPECT_TRUE(plan.tried.empty()) << "a full or stalled upstream may have recovered";
	EXPECT_EQ(decideNextAttempt(plan, window, plan.deadline), RetryDecision::Finish);
	releaseUnsentRetries(plan, window);
	EXPECT_TRUE(window.retries.empty());
}

// Guards against aborted streams: the upstream of a started stream was given up for a pause with the last
// retry of the window, and the next upstream reset the connection. The stream was aborted after 2331 ms, as
// no retry was allowed, although other upstreams were available.
TEST(LateAnswer, OfAStartedStreamIsAwaitedUnlessTwoRetriesAreAllowed)
{
	RequestPlan plan = startedStream();
	RetryWindow window;
	window.burst = 1;
	EXPECT_GT(extendTimeout(plan, window, true, kNow), kNow);
	EXPECT_TRUE(window.retries.empty());
	window.burst = 2;
	EXPECT_EQ(extendTimeout(plan, window, true, kNow), std::nullopt);
}

TEST(LateAnswer, ThatItsUpstreamAbortedIsNotDelayed)
{
	RequestPlan plan = startedStream();
	RetryWindow window = exhaustedWindow();
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::Aborted, 0, window, kNow), RetryDecision::Finish);
	EXPECT_EQ(onUpstreamsExhausted(plan, kNow), RetryDecision::Finish);
}

// Guards against a retry at the upstream that has just failed: a stalled upstream was given up, the next one
// reset the stream, and 200 ms later all tried upstreams became eligible at once, so that the last attempt
// went to the one that had reset it.
TEST(LateAnswer, RetriesStalledUpstreamsBeforeThoseThatAbortedIt)
{
	RequestPlan plan = startedStream(5);
	RetryWindow window = unboundedWindow();
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Unresponsive, 6, window, kNow), RetryDecision::Retry);
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Aborted, 4, window, kNow), RetryDecision::Retry);
	EXPECT_EQ(onUpstreamsExhausted(plan, kNow), RetryDecision::Pause);
	EXPECT_EQ(plan.tried, std::set<uint32_t>{4});
	EXPECT_EQ(onUpstreamsExhausted(plan, kNow), RetryDecision::Pause);
	EXPECT_TRUE(plan.tried.empty()) << "nothing else is left";
}

TEST(LateAnswer, SpendsNoAttemptOnAnUpstreamThatAbortedItWhileAnotherIsWorking)
{
	RequestPlan plan = startedStream();
	RetryWindow window = unboundedWindow();
	ASSERT_EQ(extendTimeout(plan, window, true, kNow), std::nullopt);
	recordRetainedAttempt(plan, 6, false);
	EXPECT_EQ(plan.runs, 1u);
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Aborted, 4, window, kNow), RetryDecision::Retry);
	for (int ii = 0; ii < 5; ++ii)
	{
		EXPECT_EQ(onUpstreamsExhausted(plan, kNow, {6}), RetryDecision::Pause);
		EXPECT_EQ(plan.tried, (std::set<uint32_t>{4, 6}));
	}
	EXPECT_EQ(afterRetainedAttempt(plan, AttemptEnd::Aborted, 6, window, kNow), RetryDecision::Pause);
	EXPECT_EQ(onUpstreamsExhausted(plan, kNow), RetryDecision::Pause)
		<< "one attempt is left for any of them";
	EXPECT_TRUE(plan.tried.empty());
}

// Guards against aborted streams: a started stream was aborted by its upstream while the only other one was
// full. The router aborted it at once, with two attempts and most of its time left.
TEST(LateAnswer, OfAStartedStreamIsRetriedAtAnUpstreamThatOnlyRejectedIt)
{
	RequestPlan plan = startedStream();
	RetryWindow window = unboundedWindow();
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Aborted, 4, window, kNow), RetryDecision::Retry);
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::NotRun, 6, window, kNow), RetryDecision::Retry);
	EXPECT_EQ(onUpstreamsExhausted(plan, kNow), RetryDecision::Pause);
	EXPECT_EQ(plan.tried, std::set<uint32_t>{4});
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::NotRun, 6, window, kNow), RetryDecision::Pause)
		<< "after a pause";
}

TEST(LateAnswer, ReservesTheLastPartOfTheWindowForStreamsWithoutAnUpstream)
{
	RetryWindow window;
	window.burst = 100;
	RequestPlan waiting = startedStream();
	for (int ii = 0; ii < 95; ++ii)
	{
		RequestPlan other = startedStream();
		ASSERT_EQ(extendTimeout(other, window, true, kNow), std::nullopt) << ii;
	}
	EXPECT_NE(extendTimeout(waiting, window, true, kNow), std::nullopt);
	RequestPlan unstarted = planRequest(routeOf(RouteKind::Safe, 3), 4000, kNow);
	EXPECT_EQ(afterAttempt(unstarted, AttemptEnd::Aborted, 0, window, kNow), RetryDecision::Finish);
	EXPECT_EQ(afterAttempt(waiting, AttemptEnd::Aborted, 0, window, kNow), RetryDecision::Retry);
}

// Guards against losing both answers: an answer of low confidence was dropped while the window's used share
// was below the limit, and the next attempt was acquired only afterwards. With 2 of 2.9 retries used, the
// share was below the limit, but no further retry was allowed.
TEST(LateAnswer, OfLowConfidenceIsDroppedOnlyIfTheNextAttemptIsAcquired)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	RetryWindow window;
	recordRequest(window, kNow);
	ASSERT_TRUE(acquireRetry(window, kNow));
	ASSERT_TRUE(acquireRetry(window, kNow));
	const double used = usedShare(window, kNow);
	ASSERT_GT(confidenceLimit(plan, used, {10.0, 0.0, 0.0}, kNow), 0.0);
	EXPECT_FALSE(acquireEscalation(plan, window, kNow));
	window.retries.clear();
	ASSERT_TRUE(acquireEscalation(plan, window, kNow));
	while (acquireRetry(window, kNow))
	{
	}
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::LowConfidence, 0, window, kNow), RetryDecision::Retry);
	EXPECT_EQ(confidenceLimit(plan, 0.0, {10.0, 0.0, 0.0, false}, kNow), 0.0) << "no upstream is available";
}

RC_GTEST_PROP(LateAnswer, EachAttemptBeyondTheFirstIsCountedOnceInTheWindowAndAGivenUpOneIsFollowed, ())
{
	RequestPlan plan = startedStream(uint32_t(*rc::gen::inRange(1, 5)));
	plan.started = *rc::gen::arbitrary<bool>();
	RetryWindow window;
	window.burst = uint32_t(*rc::gen::inRange(0, 8));
	RetryDecision decision = RetryDecision::Retry;
	TimeUs now = kNow;
	for (uint32_t ii = 0; decision != RetryDecision::Finish && ii < 40; ++ii)
	{
		now += *rc::gen::inRange(1, 500) * kMsToUs;
		if (decision == RetryDecision::Pause)
		{
			decision = decideNextAttempt(plan, window, now);
			continue;
		}
		AttemptEnd end = *rc::gen::element(AttemptEnd::Failed, AttemptEnd::Aborted, AttemptEnd::NotRun,
										   AttemptEnd::NotSent, AttemptEnd::Complete);
		if (*rc::gen::arbitrary<bool>() && now < plan.deadline)
		{
			const bool another = *rc::gen::arbitrary<bool>();
			end = extendTimeout(plan, window, another, now) ? end : AttemptEnd::Unresponsive;
		}
		decision = afterAttempt(plan, end, ii, window, now);
		RC_ASSERT(end != AttemptEnd::Unresponsive || decision == RetryDecision::Retry ||
				  decision == RetryDecision::Pause);
		RC_ASSERT(plan.sentAttempts == 0 || window.retries.size() >= plan.sentAttempts - 1u);
	}
	releaseUnsentRetries(plan, window);
	RC_ASSERT(window.retries.size() == std::max(1u, plan.sentAttempts) - 1u);
}

RC_GTEST_PROP(RetryWindow, RetriesNeverExceedTheirShareOfAnyWindow, ())
{
	RetryWindow window;
	window.length = 1000;
	window.ratio = 0.5;
	window.burst = 2;
	std::vector<TimeUs> requests;
	std::vector<TimeUs> extras;
	TimeUs now = 0;
	for (int ii = 0; ii < 200; ++ii)
	{
		now += *rc::gen::inRange(0, 30);
		if (*rc::gen::arbitrary<bool>())
		{
			recordRequest(window, now);
			requests.push_back(now);
		}
		else if (acquireRetry(window, now))
		{
			extras.push_back(now);
		}
		const auto inWindow = [now](const std::vector<TimeUs>& _times) {
			return std::count_if(_times.begin(), _times.end(),
								 [now](TimeUs _at) { return _at >= now - 1000; });
		};
		// The bound also counts requests slightly older than the window of the retries.
		RC_ASSERT(double(inWindow(extras)) <= 0.5 * double(requests.size()) + 2.0);
		if (!extras.empty() && extras.back() == now)
		{
			RC_ASSERT(double(inWindow(extras)) <= 0.5 * double(inWindow(requests)) + 2.0);
		}
	}
}
} // namespace
} // namespace spanplank
