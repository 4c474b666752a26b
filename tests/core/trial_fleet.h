/// Simulates a roll-out with injected faults over a fleet of routers, in one process, without sockets or
/// clocks.
#ifndef SPANPLANK_TESTS_TRIAL_FLEET_H_HEADER_GUARD
#define SPANPLANK_TESTS_TRIAL_FLEET_H_HEADER_GUARD

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <string>
#include <vector>

#include "spanplank/version_trial.h"

namespace spanplank::trial_fleet
{
constexpr uint32_t kDurationMs = 20000;
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kDeadline = TimeUs(kDurationMs) * kMsToUs;
constexpr TimeUs kStep = 50 * kMsToUs;
constexpr TimeUs kUpdatePeriod = 250 * kMsToUs;    ///< Between updates over one link.
constexpr TimeUs kStorePollPeriod = 200 * kMsToUs; ///< Between reads of the store.
constexpr TimeUs kContactGrace =
	3 * kSecond; ///< After an outage or a start, before time limits apply to a router.
constexpr TimeUs kRollbackLimit = 5 * kSecond;
constexpr TimeUs kOutagesEnd = kDeadline + 2 * kSecond;
constexpr TimeUs kEnd = 4 * kDeadline;
constexpr double kBound = 0.15;
constexpr uint32_t kSlack = 30; ///< Requests above the bound that are allowed.
constexpr uint32_t kBadAnswers = 50;
constexpr uint32_t kUpstreams = 6;
constexpr uint32_t kRoutes = 3;
inline const std::string kService = "llm";

enum class FaultKind : uint8_t
{
	Good,
	Errors,
	Slow,
	UnderLoad,
	OneRoute,
	Late,
};

/// Period of an outage, or of another condition.
struct Outage
{
	TimeUs from = 0;
	TimeUs to = 0;

	bool covers(TimeUs _now, TimeUs _longer = 0) const
	{
		return _now >= from && _now < to + _longer;
	}
};

/// Records a request that reaches an upstream of a version at once.
inline void recordArrival(TrialTable& _trials, const std::string& _service, const std::string& _version)
{
	recordTrialReached(_trials, _service, recordTrialChosen(_trials, _service, _version));
}

/// Load that affects the times of both versions alike, and differences that are no fault of a version.
struct LoadProfile
{
	Outage surge;
	double surgeRate = 1.0;     ///< Factor on the request rate during the surge.
	double surgeSlowdown = 1.0; ///< Factor on the times of answers during the surge.
	Outage slowUpstreams;
	double slowShare = 0.0; ///< Share of the upstreams of either version.
	double slowdown = 1.0;
	TimeUs coldFor = 0; ///< Time since the order in which the new version's prompt caches are cold.
	double coldSlowdown = 1.0;
	double firstRoute = 1.0 / 3.0; ///< Share of the requests on the first route.
	double timeoutMs = 1e9;        ///< Limit of the time to the first token; longer with cold caches.
};

struct Plan
{
	uint32_t routers = 3;
	double perSecond = 60.0;
	FaultKind kind = FaultKind::Good;
	double badShare = 0.3; ///< Share of bad or slow answers.
	Outage store;          ///< Outage of the store for all routers.
	Outage isolation;      ///< Routers with an odd number are cut off from the store and from all others.
	Outage partition;      ///< No links between the first half of the routers and the second half.
	std::vector<TimeUs> kills;
	double killedShare = 0.5; ///< Share of the routers that restart at each kill.
	uint64_t seed = 1;
	LoadProfile load;
};

struct Router
{
	TrialTable table;
	std::map<uint32_t, SentTrials> sentTrials; ///< By neighbour.
	bool hasOrder = false;                     ///< It has read the order since its start.
	TimeUs startsAt = 0;                       ///< It is stopped before this time.
	TimeUs storeReachableSince = 0;            ///< See `pendingStatus`.
	bool storeReached = true;                  ///< Whether its last read of the store succeeded.
};

struct Fleet
{
	Plan plan;
	Random random;
	std::vector<Router> routers;
	RolloutStatus status;
	uint64_t statusRevision = 0;
	uint64_t revision = 10;
	TrialProgress progress;
	uint64_t progressRevision = 0;
	// Measured from outside the routers.
	uint64_t sent = 0;
	uint64_t exposed = 0;             ///< Requests sent to the new version up to the deadline.
	std::vector<TimeUs> badAnswersAt; ///< Times of the bad answers since the last outage of the store.
	uint64_t lateExposed =
		0; ///< Requests to a bad version from routers in contact after it should have been rolled back.
	TimeUs statusWrittenAt = 0; ///< When the last status was written to the store.
	double recentShare = 0.0;   ///< Moving average of the new version's share of the requests.

	explicit Fleet(const Plan& _plan) : plan(_plan), random{_plan.seed}
	{
		routers.resize(plan.routers);
		for (uint32_t ii = 0; ii < plan.routers; ++ii)
		{
			start(ii, 0);
		}
	}

	void start(uint32_t _router, TimeUs _now)
	{
		Router& router = routers[_router];
		router = {};
		router.table.exposureShare = kBound;
		router.table.credited = _now == 0 && _router < kMaxCreditedRouters;
		router.table.writer = uint32_t(random.state ^ _router) | 1u;
		nextUnit(random);
		router.startsAt = _now;
	}

	bool isRunning(uint32_t _router, TimeUs _now) const
	{
		return _now >= routers[_router].startsAt;
	}

	bool isIsolated(uint32_t _router, TimeUs _now, TimeUs _longer = 0) const
	{
		return _router % 2 == 1 && plan.isolation.covers(_now, _longer);
	}

	bool reachesStore(uint32_t _router, TimeUs _now) const
	{
		return isRunning(_router, _now) && !plan.store.covers(_now) && !isIsolated(_router, _now);
	}

	bool isInContact(uint32_t _router, TimeUs _now) const
	{
		const bool fresh = routers[_router].startsAt == 0 || _now - routers[_router].startsAt > kContactGrace;
		return fresh && !plan.store.covers(_now, kContactGrace) &&
			   !isIsolated(_router, _now, kContactGrace) && !plan.partition.covers(_now, kContactGrace);
	}

	bool areLinked(uint32_t _one, uint32_t _other, TimeUs _now) const
	{
		const bool apart =
			plan.partition.covers(_now) && (_one < plan.routers / 2) != (_other < plan.routers / 2);
		return isRunning(_one, _now) && isRunning(_other, _now) && !isIsolated(_one, _now) &&
			   !isIsolated(_other, _now) && !apart;
	}

	bool isBad(uint32_t _route, TimeUs _now)
	{
		const bool drawn = nextUnit(random) < plan.badShare;
		switch (plan.kind)
		{
		case FaultKind::Errors:
			return drawn;
		case FaultKind::UnderLoad:
			return drawn && recentShare > 0.6;
		case FaultKind::OneRoute:
			return drawn && _route == 0;
		case FaultKind::Late:
			return drawn && _now > TimeUs(0.7 * double(kDeadline));
		case FaultKind::Good:
		case FaultKind::Slow:
			break;
		}
		return false;
	}

	/// @returns The factor by which the load prolongs an upstream's answers now, the same for both versions.
	double loadFactor(uint32_t _upstream, bool _new, TimeUs _now) const
	{
		const LoadProfile& profile = plan.load;
		const uint64_t first =
			stableHash(_new ? "v2" : "v1", plan.seed); // Slows the same share of either version's upstreams.
		const bool slow = profile.slowUpstreams.covers(_now) &&
						  double((_upstream + first) % kUpstreams) < profile.slowShare * kUpstreams;
		return (profile.surge.covers(_now) ? profile.surgeSlowdown : 1.0) * (slow ? profile.slowdown : 1.0);
	}

	/// Draws a time; times vary by a factor of three around the mean.
	double timeMs(bool _new)
	{
		const double usual =
			20.0 * std::exp(0.5 * (nextUnit(random) + nextUnit(random) + nextUnit(random) - 1.5));
		return _new && plan.kind == FaultKind::Slow ? usual * (1.0 + 7.0 * plan.badShare) : usual;
	}

	AnswerTimes timesOf(uint32_t _route, uint32_t _upstream, bool _new, TimeUs _now)
	{
		const double factor = loadFactor(_upstream, _new, _now);
		AnswerTimes times;
		times.timePerTokenKind = "model";
		times.timePerTokenMs = timeMs(_new) * factor;
		if (plan.load.coldFor > 0)
		{
			times.firstTokenKind = fmt::format("route-{} model", _route);
			const bool cold = _new && _now < plan.load.coldFor;
			times.firstTokenMs = timeMs(_new) * factor * (cold ? plan.load.coldSlowdown : 1.0);
		}
		return times;
	}

	uint32_t routeOf(double _drawn) const
	{
		const double first = plan.load.firstRoute;
		return _drawn < first ? 0 : 1 + uint32_t((_drawn - first) / (1.0 - first) * (kRoutes - 1));
	}

	void serve(uint32_t _router, TimeUs _now)
	{
		Router& router = routers[_router];
		if (!isRunning(_router, _now) || !router.hasOrder)
		{
			return; // A router without the order refuses all requests.
		}
		const uint32_t route = routeOf(nextUnit(random));
		const TrialRequest subject{stableHash(fmt::format("{}", random.state)), true, VersionScope::Any};
		const bool isNew = chooseVersion(router.table, kService, subject, _now).only == "v2";
		recordArrival(router.table, kService, isNew ? "v2" : "v1");
		++sent;
		recentShare += ((isNew ? 1.0 : 0.0) - recentShare) * 0.05;
		const bool failed = isNew && isBad(route, _now);
		if (isNew)
		{
			recordExposed(_router, _now);
		}
		const auto upstream = uint32_t(nextUnit(random) * kUpstreams);
		TrialAnswer answer{isNew ? "v2" : "v1",
						   fmt::format("route-{}", route),
						   fmt::format("u{}", upstream),
						   failed ? TrialOutcome::Bad : TrialOutcome::Good,
						   timesOf(route, upstream, isNew, _now),
						   _now};
		const bool cold = isNew && _now < plan.load.coldFor;
		if (answer.times.firstTokenMs > plan.load.timeoutMs * (cold ? plan.load.coldSlowdown : 1.0))
		{
			answer.outcome = TrialOutcome::TimedOut;
		}
		const bool slow = isNew && plan.kind == FaultKind::Slow && nextUnit(random) < plan.badShare;
		if (failed || slow)
		{
			badAnswersAt.push_back(_now);
		}
		recordTrialAnswer(router.table, kService, answer, _now);
	}

	void recordExposed(uint32_t _router, TimeUs _now)
	{
		exposed += _now <= kDeadline ? 1 : 0;
		const bool due =
			badAnswersAt.size() >= kBadAnswers && _now > badAnswersAt[kBadAnswers - 1] + kRollbackLimit;
		lateExposed += due && isInContact(_router, _now) ? 1 : 0;
	}

	void sendUpdates(uint32_t _from, uint32_t _to, TimeUs _now)
	{
		if (!areLinked(_from, _to, _now))
		{
			return;
		}
		for (const TrialHalt& halt : unwrittenHalts(routers[_from].table))
		{
			applyHalt(routers[_to].table, halt);
		}
		for (const TrialUpdate& update :
			 trialUpdatesFor(routers[_from].table, routers[_from].sentTrials[_to], _to + 1, _now))
		{
			applyTrialUpdate(routers[_to].table, update, _from + 1, _now);
		}
	}

	void pollStore(uint32_t _router, TimeUs _now)
	{
		Router& router = routers[_router];
		const bool reaches = reachesStore(_router, _now);
		router.storeReachableSince = reaches && !router.storeReached ? _now : router.storeReachableSince;
		router.storeReached = reaches;
		if (!reaches)
		{
			return;
		}
		if (!router.hasOrder)
		{
			applyOrder(router.table, {kService, "v2", kDurationMs}, 5, _now);
			router.hasOrder = true;
		}
		VersionTrial& trial = router.table.trials.at(kService);
		if (progressRevision != 0)
		{
			applyProgress(trial, progress, progressRevision, _now);
		}
		if (statusRevision != 0)
		{
			applyStatus(router.table, kService, status, statusRevision);
		}
		advanceTrial(trial, kBound, _now);
		const auto pending = pendingStatus(trial, kBound, router.storeReachableSince, _now);
		if (pending)
		{
			status = *pending;
			statusWrittenAt = _now;
			statusRevision = ++revision;
			recordStatusWritten(trial, status, statusRevision);
		}
		if (isProgressDue(trial, _now, nextUnit(random)))
		{
			progress = progressOf(trial, _now);
			progressRevision = ++revision;
			applyProgress(trial, progress, progressRevision, _now);
		}
	}

	void kill(TimeUs _now)
	{
		for (uint32_t ii = 0; ii < plan.routers; ++ii)
		{
			if (nextUnit(random) < plan.killedShare)
			{
				start(ii, _now + kSecond);
				routers[ii].storeReached = false;
			}
		}
	}

	void run(TimeUs _end = kEnd)
	{
		double pendingRequests = 0.0;
		for (TimeUs now = 0; now < _end; now += kStep)
		{
			if (plan.store.covers(now))
			{
				badAnswersAt
					.clear(); // Only bad answers after the last outage count towards the rollback limit.
			}
			if (std::find(plan.kills.begin(), plan.kills.end(), now) != plan.kills.end())
			{
				kill(now);
			}
			for (uint32_t ii = 0; ii < plan.routers; ++ii)
			{
				if ((now / kStep + ii) % (kStorePollPeriod / kStep) == 0)
				{
					pollStore(ii, now);
				}
				if (ii > 0 && (now / kStep + ii) % (kUpdatePeriod / kStep) == 0)
				{
					sendUpdates(ii, (ii - 1) / 2, now);
					sendUpdates((ii - 1) / 2, ii, now);
				}
			}
			const double rate = plan.load.surge.covers(now) ? plan.load.surgeRate : 1.0;
			for (pendingRequests += rate * plan.perSecond * double(kStep) / double(kSecond);
				 pendingRequests >= 1.0; pendingRequests -= 1.0)
			{
				serve(uint32_t(nextUnit(random) * plan.routers), now);
			}
		}
	}
};

/// Number of random fleets in CI; the environment variable `SPANPLANK_FLEETS` overrides it.
constexpr uint32_t kDefaultFleets = 8;

inline uint32_t fleetCount()
{
	const char* more = std::getenv("SPANPLANK_FLEETS");
	return more == nullptr ? kDefaultFleets : uint32_t(std::strtoul(more, nullptr, 10));
}

template <typename Value, size_t kCount>
Value pickOne(Random& _random, const std::array<Value, kCount>& _values)
{
	return _values[size_t(nextUnit(_random) * double(kCount))];
}

inline TimeUs drawTime(Random& _random)
{
	return TimeUs(nextUnit(_random) * double(kDeadline)) / kStep * kStep;
}

/// Draws an outage at any part of the trial; half of them have no length.
inline Outage drawOutage(Random& _random)
{
	constexpr std::array<TimeUs, 6> kLengths = {0, 0, 0, 2 * kSecond, 6 * kSecond, 14 * kSecond};
	const TimeUs from = drawTime(_random);
	return {from, std::min(kOutagesEnd, from + pickOne(_random, kLengths))};
}

inline Plan drawPlan(FaultKind _kind, double _share, uint32_t _number)
{
	Random random{stableHash(fmt::format("{}-{}-{}", int(_kind), _share, _number))};
	Plan plan;
	plan.kind = _kind;
	plan.badShare = _share;
	plan.routers = pickOne<uint32_t, 4>(random, {3, 4, 23, 103});
	plan.perSecond = std::max(40.0, plan.routers * pickOne<double, 2>(random, {3.0, 10.0}));
	plan.store = drawOutage(random);
	plan.isolation = drawOutage(random);
	plan.partition = drawOutage(random);
	const uint32_t kills = uint32_t(nextUnit(random) * 4.0);
	for (uint32_t ii = 0; ii < kills; ++ii)
	{
		plan.kills.push_back(drawTime(random));
	}
	plan.killedShare = pickOne<double, 3>(random, {0.2, 0.5, 1.0});
	plan.seed = random.state;
	return plan;
}

inline std::string describe(const Plan& _plan)
{
	return fmt::format(
		"routers {} rate {} kind {} share {} store {}..{} cut {}..{} halves {}..{} kills {} of {} seed {}",
		_plan.routers, _plan.perSecond, int(_plan.kind), _plan.badShare, _plan.store.from, _plan.store.to,
		_plan.isolation.from, _plan.isolation.to, _plan.partition.from, _plan.partition.to,
		_plan.kills.size(), _plan.killedShare, _plan.seed);
}

} // namespace spanplank::trial_fleet

#endif // SPANPLANK_TESTS_TRIAL_FLEET_H_HEADER_GUARD
