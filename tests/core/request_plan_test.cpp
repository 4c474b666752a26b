/// Attempts and final answers in direct mode: at most once, true refusals, bounded retries.
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

RetryWindow wideWindow()
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
	RetryWindow window = wideWindow();
	uint32_t runs = 0;
	AttemptEnd last = AttemptEnd::NotSent;
	NextMove move = NextMove::Again;
	for (uint32_t ii = 0; move == NextMove::Again && ii < 10; ++ii)
	{
		last = *rc::gen::element(AttemptEnd::NotSent, AttemptEnd::NotRun, AttemptEnd::Misdirected,
								 AttemptEnd::Failed, AttemptEnd::Broken, AttemptEnd::Silent);
		runs += mayRun(last) ? 1 : 0;
		move = afterAttempt(plan, last, ii, window, kNow);
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
	RetryWindow window = wideWindow();
	NextMove move = NextMove::Again;
	for (uint32_t ii = 0; move == NextMove::Again && ii < 20; ++ii)
	{
		const AttemptEnd end = *rc::gen::element(AttemptEnd::Doubted, AttemptEnd::Failed, AttemptEnd::Broken,
												 AttemptEnd::Silent, AttemptEnd::NotRun);
		move = afterAttempt(plan, end, ii, window, kNow);
	}
	RC_ASSERT(plan.runs <= attempts);
}

TEST(RequestPlan, TheShorterOfDeadlineAndTimeoutHolds)
{
	EXPECT_EQ(planRequest(routeOf(RouteKind::Safe, 2), 9000, kNow).deadline, kNow + 5000 * kMsToUs);
	EXPECT_EQ(planRequest(routeOf(RouteKind::Safe, 2), 300, kNow).deadline, kNow + 300 * kMsToUs);
}

TEST(RequestPlan, ADoubtedAnswerIsFollowedByTheLargestModel)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "middle", "large"};
	RetryWindow window = wideWindow();
	EXPECT_GT(confidenceLimit(plan, 0.0, {10.0, 0.0, 0.0}, kNow), 0.0);
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::Doubted, 0, window, kNow), NextMove::Again);
	EXPECT_EQ(plan.model, 2u);
	EXPECT_EQ(confidenceLimit(plan, 0.0, {10.0, 0.0, 0.0}, kNow), 0.0)
		<< "the largest model's answer is taken as it is";
	EXPECT_TRUE(plan.tried.empty()) << "the upstream did nothing wrong";
}

TEST(RequestPlan, NoModelIsDoubtedOnceThereIsNoTimeNoAttemptOrNoBudgetForAnother)
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

TEST(RequestPlan, BusyEnginesAreAskedAgainOnlyForAnswersThatAreSurelyPoor)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	HeadPressure pressure;
	noteHeadTime(pressure, plan, 20 * kMsToUs);
	const double idle = confidenceLimit(plan, 0.0, {100.0, 0.0, pressure.share}, kNow);
	EXPECT_NEAR(idle, kConfidence, 5.0);
	for (int ii = 0; ii < 20; ++ii)
	{
		noteHeadTime(pressure, plan, 300 * kMsToUs);
	}
	const double busy = confidenceLimit(plan, 0.0, {100.0, 0.0, pressure.share}, kNow);
	EXPECT_LT(busy, idle - 20.0);
	for (int ii = 0; ii < 100; ++ii)
	{
		noteHeadTime(pressure, plan, 5000 * kMsToUs);
	}
	EXPECT_LE(pressure.share, 1.0) << "one that was stuck for long weighs no more than one that was late";
	EXPECT_GT(confidenceLimit(plan, 0.0, {100.0, 0.0, pressure.share}, kNow), 0.0);
}

RC_GTEST_PROP(RequestPlan, TheLimitOfConfidenceStaysWithinItsRangeAndNeverRisesWithThePressure, ())
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	const double less = *rc::gen::inRange(0, 1000) / 1000.0;
	const double more = less + *rc::gen::inRange(0, 1000) / 1000.0;
	const NextModel next{double(*rc::gen::inRange(0, 3000)), double(*rc::gen::inRange(0, 3000)), less};
	const double limit = confidenceLimit(plan, 0.0, next, kNow);
	RC_ASSERT(limit >= 0.0 && limit <= kConfidence);
	RC_ASSERT(confidenceLimit(plan, 0.0, {next.headMs, next.waitMs, more}, kNow) <= limit);
}

TEST(RequestPlan, APromptThatIsOnlyTooLongForTheObjectiveIsAskedAgainIfTheAnswerIsPoorAndTheDeadlineFar)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	EXPECT_GT(confidenceLimit(plan, 0.0, {1200.0, 20.0, 0.0}, kNow), 0.0) << "late is better than poor";
	EXPECT_EQ(confidenceLimit(plan, 0.0, {1200.0, 600.0, 0.0}, kNow), 0.0)
		<< "the engine is busy with others";
	EXPECT_EQ(confidenceLimit(plan, 0.0, {2500.0, 20.0, 0.0}, kNow), 0.0) << "the deadline is too near";
}

// A stream whose upstream only paused was left for its last attempt, and that one broke: cut after a pause of
// 0.4 s, with the first upstream still at work. Of 20 soaked seeds 4 had such streams: attempt_ended
// end="silent" took_ms="404.3", then end="broken", answer_broken runs="3" left_by_us="1" left_ms="2450.5".
TEST(RequestPlan, TheLastAttemptOfABegunStreamIsNotSpentOnAnUpstreamThatOnlyPauses)
{
	Route route = routeOf(RouteKind::Stream, 3);
	route.eventGapMs = 1000;
	RequestPlan plan = planRequest(route, 5000, kNow);
	EXPECT_EQ(attemptTimes(plan, true, {}, kNow).gap, 800 * kMsToUs)
		<< "in time for the longest timely pause";
	plan.runs = 1;
	EXPECT_EQ(attemptTimes(plan, true, {}, kNow).gap, 2000 * kMsToUs)
		<< "the attempt after this one is the last";
}

TEST(RequestPlan, AnUpstreamThatIsExpectedToBeLateIsNotLeftWhileItReadsALongPrompt)
{
	const RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 5000, kNow);
	EXPECT_EQ(attemptTimes(plan, true, {10.0, 10.0}, kNow).headBy, kNow + 750 * kMsToUs) << "a short prompt";
	EXPECT_GE(attemptTimes(plan, true, {600.0, 600.0}, kNow).headBy, kNow + 1800 * kMsToUs);
	EXPECT_EQ(attemptTimes(plan, true, {4000.0, 4000.0}, kNow).headBy, kNow + 2000 * kMsToUs)
		<< "there is an end to it";
	EXPECT_GE(attemptTimes(plan, true, {10.0, 1000.0}, kNow).headBy, kNow + 1000 * kMsToUs)
		<< "what it is believed to keep of the prompt may be gone";
	EXPECT_EQ(attemptTimes(plan, false, {10.0, 10.0}, kNow).headBy, plan.deadline)
		<< "nobody else may be asked";
}

RetryWindow fullWindow()
{
	RetryWindow window;
	while (takeExtra(window, kNow))
	{
	}
	return window;
}

RequestPlan begunStream(uint32_t _attempts = 3)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, _attempts), 4000, kNow);
	plan.started = true;
	return plan;
}

TEST(LateAnswer, IsWaitedForWhileTheWindowHasNoRoomOrNoOtherUpstreamIsLeftOrNoAttempt)
{
	RequestPlan plan = begunStream();
	RetryWindow full = fullWindow();
	const size_t taken = full.extras.size();
	EXPECT_GT(waitOnUntil(plan, full, true, kNow), kNow);
	EXPECT_EQ(full.extras.size(), taken);
	RetryWindow wide = wideWindow();
	EXPECT_GT(waitOnUntil(plan, wide, false, kNow), kNow) << "there is no other upstream";
	plan.policies.resumption = false;
	EXPECT_GT(waitOnUntil(plan, wide, true, kNow), kNow) << "nobody may go on";
	RequestPlan last = begunStream(1);
	EXPECT_GT(waitOnUntil(last, wide, true, kNow), kNow) << "the route allows one attempt";
	EXPECT_TRUE(wide.extras.empty());
	EXPECT_EQ(waitOnUntil(last, wide, true, last.deadline - 1), last.deadline) << "no wait goes beyond it";
	EXPECT_EQ(waitOnUntil(last, wide, true, last.deadline), std::nullopt);
	EXPECT_TRUE(wide.extras.empty()) << "nothing follows at the deadline";
}

TEST(LateAnswer, ThatIsGivenUpHasItsNextAttemptWhateverOthersTakeMeanwhile)
{
	RequestPlan plan = begunStream();
	RetryWindow window;
	EXPECT_EQ(waitOnUntil(plan, window, true, kNow), std::nullopt);
	while (takeExtra(window, kNow))
	{
	}
	const size_t taken = window.extras.size();
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::Silent, 0, window, kNow), NextMove::Again);
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::NotSent, 1, window, kNow), NextMove::Again)
		<< "no byte of it left: it is still there for the next upstream";
	EXPECT_EQ(window.extras.size(), taken) << "counted once";
}

TEST(LateAnswer, ThatWasGivenUpIsNotCutWhenTheNextUpstreamRejectsIt)
{
	RequestPlan plan = begunStream();
	RetryWindow window;
	ASSERT_EQ(waitOnUntil(plan, window, true, kNow), std::nullopt);
	while (takeExtra(window, kNow))
	{
	}
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Silent, 0, window, kNow), NextMove::Again);
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::NotRun, 1, window, kNow), NextMove::Later);
	EXPECT_EQ(moveOn(plan, window, kNow + kMsToUs), NextMove::Later) << "the window has no room yet";
	window.extras.clear();
	EXPECT_EQ(moveOn(plan, window, kNow + kMsToUs), NextMove::Again);
	EXPECT_EQ(whenNoneIsLeft(plan, kNow + kMsToUs), NextMove::Later);
	EXPECT_TRUE(plan.tried.empty()) << "a full upstream may have room, a paused one may be back";
	EXPECT_EQ(moveOn(plan, window, plan.deadline), NextMove::Finish);
	giveBackUnsent(plan, window);
	EXPECT_TRUE(window.extras.empty());
}

// A begun stream was left for a pause with the last extra attempt of the window, and the next upstream reset
// it: answer_broken last="broken" runs="2" left_by_us="1" after 2331 ms, with upstreams left that nobody
// might ask.
TEST(LateAnswer, OfABegunStreamIsWaitedForUnlessTwoAttemptsWouldBeAllowed)
{
	RequestPlan plan = begunStream();
	RetryWindow window;
	window.burst = 1;
	EXPECT_GT(waitOnUntil(plan, window, true, kNow), kNow);
	EXPECT_TRUE(window.extras.empty());
	window.burst = 2;
	EXPECT_EQ(waitOnUntil(plan, window, true, kNow), std::nullopt);
}

TEST(LateAnswer, ThatItsUpstreamBrokeOffIsNotHeldBack)
{
	RequestPlan plan = begunStream();
	RetryWindow window = fullWindow();
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::Broken, 0, window, kNow), NextMove::Finish);
	EXPECT_EQ(whenNoneIsLeft(plan, kNow), NextMove::Finish);
}

// A pausing upstream was left, the next one reset the stream, and 200 ms later the set of tried ones was
// cleared as a whole: the last attempt went to the one that had just reset it (attempt_ended end=broken
// upstream=u-4 twice, 200 ms apart, then answer_broken runs=3).
TEST(LateAnswer, AsksThoseThatOnlyPausedAgainBeforeThoseThatBrokeIt)
{
	RequestPlan plan = begunStream(5);
	RetryWindow window = wideWindow();
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Silent, 6, window, kNow), NextMove::Again);
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Broken, 4, window, kNow), NextMove::Again);
	EXPECT_EQ(whenNoneIsLeft(plan, kNow), NextMove::Later);
	EXPECT_EQ(plan.tried, std::set<uint32_t>{4});
	EXPECT_EQ(whenNoneIsLeft(plan, kNow), NextMove::Later);
	EXPECT_TRUE(plan.tried.empty()) << "nothing else is left";
}

TEST(LateAnswer, SpendsNoAttemptOnAnUpstreamThatBrokeItWhileAnotherIsAtWork)
{
	RequestPlan plan = begunStream();
	RetryWindow window = wideWindow();
	ASSERT_EQ(waitOnUntil(plan, window, true, kNow), std::nullopt);
	noteKept(plan, 6, false);
	EXPECT_EQ(plan.runs, 1u);
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Broken, 4, window, kNow), NextMove::Again);
	for (int ii = 0; ii < 5; ++ii)
	{
		EXPECT_EQ(whenNoneIsLeft(plan, kNow, {6}), NextMove::Later);
		EXPECT_EQ(plan.tried, (std::set<uint32_t>{4, 6}));
	}
	EXPECT_EQ(afterKept(plan, AttemptEnd::Broken, 6, window, kNow), NextMove::Later);
	EXPECT_EQ(whenNoneIsLeft(plan, kNow), NextMove::Later) << "one attempt is left for either";
	EXPECT_TRUE(plan.tried.empty());
}

// A begun stream whose upstream broke it and whose other one had no room at that moment was cut at once, with
// two attempts and most of its time left.
TEST(LateAnswer, OfABegunStreamAsksAnUpstreamAgainThatOnlyRejectedIt)
{
	RequestPlan plan = begunStream();
	RetryWindow window = wideWindow();
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::Broken, 4, window, kNow), NextMove::Again);
	ASSERT_EQ(afterAttempt(plan, AttemptEnd::NotRun, 6, window, kNow), NextMove::Again);
	EXPECT_EQ(whenNoneIsLeft(plan, kNow), NextMove::Later);
	EXPECT_EQ(plan.tried, std::set<uint32_t>{4});
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::NotRun, 6, window, kNow), NextMove::Later) << "at a pause";
}

TEST(LateAnswer, LeavesTheLastPartOfTheWindowToStreamsWithoutAnUpstream)
{
	RetryWindow window;
	window.burst = 100;
	RequestPlan waiting = begunStream();
	for (int ii = 0; ii < 95; ++ii)
	{
		RequestPlan other = begunStream();
		ASSERT_EQ(waitOnUntil(other, window, true, kNow), std::nullopt) << ii;
	}
	EXPECT_NE(waitOnUntil(waiting, window, true, kNow), std::nullopt);
	RequestPlan unbegun = planRequest(routeOf(RouteKind::Safe, 3), 4000, kNow);
	EXPECT_EQ(afterAttempt(unbegun, AttemptEnd::Broken, 0, window, kNow), NextMove::Finish);
	EXPECT_EQ(afterAttempt(waiting, AttemptEnd::Broken, 0, window, kNow), NextMove::Again);
}

// A doubted answer was dropped by the window's use, and the next attempt taken from the window only
// afterwards: at a use of 2 of 2.9 the use was below the limit and there was no room, and the caller got
// neither answer.
TEST(LateAnswer, ADoubtedOneIsDroppedOnlyWithTheNextAttemptTaken)
{
	RequestPlan plan = planRequest(routeOf(RouteKind::Stream, 3), 4000, kNow);
	plan.models = {"small", "large"};
	RetryWindow window;
	noteRequest(window, kNow);
	ASSERT_TRUE(takeExtra(window, kNow));
	ASSERT_TRUE(takeExtra(window, kNow));
	const double used = usedShare(window, kNow);
	ASSERT_GT(confidenceLimit(plan, used, {10.0, 0.0, 0.0}, kNow), 0.0);
	EXPECT_FALSE(takeNextModel(plan, window, kNow));
	window.extras.clear();
	ASSERT_TRUE(takeNextModel(plan, window, kNow));
	while (takeExtra(window, kNow))
	{
	}
	EXPECT_EQ(afterAttempt(plan, AttemptEnd::Doubted, 0, window, kNow), NextMove::Again);
	EXPECT_EQ(confidenceLimit(plan, 0.0, {10.0, 0.0, 0.0, false}, kNow), 0.0) << "no upstream can be asked";
}

RC_GTEST_PROP(LateAnswer, EachAttemptBeyondTheFirstIsCountedOnceInTheWindowAndAGivenUpOneIsFollowed, ())
{
	RequestPlan plan = begunStream(uint32_t(*rc::gen::inRange(1, 5)));
	plan.started = *rc::gen::arbitrary<bool>();
	RetryWindow window;
	window.burst = uint32_t(*rc::gen::inRange(0, 8));
	NextMove move = NextMove::Again;
	TimeUs now = kNow;
	for (uint32_t ii = 0; move != NextMove::Finish && ii < 40; ++ii)
	{
		now += *rc::gen::inRange(1, 500) * kMsToUs;
		if (move == NextMove::Later)
		{
			move = moveOn(plan, window, now);
			continue;
		}
		AttemptEnd end = *rc::gen::element(AttemptEnd::Failed, AttemptEnd::Broken, AttemptEnd::NotRun,
										   AttemptEnd::NotSent, AttemptEnd::Whole);
		if (*rc::gen::arbitrary<bool>() && now < plan.deadline)
		{
			const bool another = *rc::gen::arbitrary<bool>();
			end = waitOnUntil(plan, window, another, now) ? end : AttemptEnd::Silent;
		}
		move = afterAttempt(plan, end, ii, window, now);
		RC_ASSERT(end != AttemptEnd::Silent || move == NextMove::Again || move == NextMove::Later);
		RC_ASSERT(plan.sends == 0 || window.extras.size() >= plan.sends - 1u);
	}
	giveBackUnsent(plan, window);
	RC_ASSERT(window.extras.size() == std::max(1u, plan.sends) - 1u);
}

RC_GTEST_PROP(RetryWindow, ExtrasNeverExceedTheirShareOfAnyWindow, ())
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
			noteRequest(window, now);
			requests.push_back(now);
		}
		else if (takeExtra(window, now))
		{
			extras.push_back(now);
		}
		const auto inWindow = [now](const std::vector<TimeUs>& _times) {
			return std::count_if(_times.begin(), _times.end(),
								 [now](TimeUs _at) { return _at >= now - 1000; });
		};
		// A window of requests that is a little older than that of the extras is what the bound counts too.
		RC_ASSERT(double(inWindow(extras)) <= 0.5 * double(requests.size()) + 2.0);
		if (!extras.empty() && extras.back() == now)
		{
			RC_ASSERT(double(inWindow(extras)) <= 0.5 * double(inWindow(requests)) + 2.0);
		}
	}
}
} // namespace
} // namespace spanplank
