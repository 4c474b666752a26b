/// A fleet of routers in one process, without sockets or clocks, through a roll-out and its troubles.
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
constexpr TimeUs kTalkEvery = 250 * kMsToUs; ///< Between news over one link.
constexpr TimeUs kTickEvery = 200 * kMsToUs; ///< Between looks at the store.
constexpr TimeUs kContact = 3 * kSecond; ///< Without trouble, before a router is held to the rules on time.
constexpr TimeUs kRollback = 5 * kSecond;
constexpr TimeUs kTroubleEnds = kDeadline + 2 * kSecond;
constexpr TimeUs kEnd = 4 * kDeadline;
constexpr double kBound = 0.15;
constexpr uint32_t kSlack = 30; ///< Requests above the bound that are allowed.
constexpr uint32_t kBadAnswers = 50;
constexpr uint32_t kUpstreams = 6;
constexpr uint32_t kRoutes = 3;
inline const std::string kService = "llm";

enum class Kind : uint8_t
{
	Good,
	Errors,
	Slow,
	UnderLoad,
	OneRoute,
	Late,
};

/// A time without something.
struct Outage
{
	TimeUs from = 0;
	TimeUs to = 0;

	bool covers(TimeUs _now, TimeUs _longer = 0) const
	{
		return _now >= from && _now < to + _longer;
	}
};

/// A request that reaches an upstream of a version at once.
inline void noteArrived(TrialBook& _book, const std::string& _service, const std::string& _version)
{
	noteTrialReached(_book, _service, noteTrialChosen(_book, _service, _version));
}

/// What moves the times of both versions alike, and what is uneven without any fault of a version.
struct LoadProfile
{
	Outage surge;
	double surgeRate = 1.0; ///< Requests in it, times the usual.
	double surgePace = 1.0; ///< How long answers take in it, times the usual.
	Outage slowBoxes;
	double slowShare = 0.0; ///< Of the upstreams of either version.
	double slowPace = 1.0;
	TimeUs coldFor = 0; ///< Since the order, in which the new version's caches of prompts are cold.
	double coldHead = 1.0;
	double firstRoute = 1.0 / 3.0; ///< Share of the requests on the first route.
	double silentMs = 1e9; ///< Heads later than that are given up; those of cold caches are waited for.
};

struct Plan
{
	uint32_t routers = 3;
	double perSecond = 60.0;
	Kind kind = Kind::Good;
	double share = 0.3; ///< Of bad answers.
	Outage store;       ///< For all routers.
	Outage cut;         ///< Routers with an odd number lose the store and the others.
	Outage halves;      ///< No links between routers in the first half and the others.
	std::vector<TimeUs> kills;
	double killed = 0.5; ///< Share of the routers at each kill.
	uint64_t seed = 1;
	LoadProfile load;
};

struct Router
{
	TrialBook book;
	std::map<uint32_t, ToldTrials> told; ///< By neighbour.
	bool knows = false;                  ///< It has read the order since its start.
	TimeUs startsAt = 0;                 ///< It runs from here on.
	TimeUs calmSince = 0;                ///< As the store's contact has it.
	bool reached = true;                 ///< The store, at its last look.
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
	// What the world outside sees.
	uint64_t sent = 0;
	uint64_t exposed = 0;     ///< Up to the deadline.
	std::vector<TimeUs> bad;  ///< Bad answers since the store was last away.
	uint64_t lateExposed = 0; ///< Requests that routers in touch sent later than allowed.
	TimeUs settledAt = 0;     ///< When the store got the last status.
	double load = 0.0;        ///< Share of the new version in the last steps.

	explicit Fleet(const Plan& _plan) : plan(_plan), random{_plan.seed}
	{
		routers.resize(plan.routers);
		for (uint32_t ii = 0; ii < plan.routers; ++ii)
		{
			begin(ii, 0);
		}
	}

	void begin(uint32_t _router, TimeUs _now)
	{
		Router& router = routers[_router];
		router = {};
		router.book.exposureShare = kBound;
		router.book.credited = _now == 0 && _router < kExposureCredits;
		router.book.writer = uint32_t(random.state ^ _router) | 1u;
		nextUnit(random);
		router.startsAt = _now;
	}

	bool runs(uint32_t _router, TimeUs _now) const
	{
		return _now >= routers[_router].startsAt;
	}

	bool isCut(uint32_t _router, TimeUs _now, TimeUs _longer = 0) const
	{
		return _router % 2 == 1 && plan.cut.covers(_now, _longer);
	}

	bool reachesStore(uint32_t _router, TimeUs _now) const
	{
		return runs(_router, _now) && !plan.store.covers(_now) && !isCut(_router, _now);
	}

	bool inTouch(uint32_t _router, TimeUs _now) const
	{
		const bool fresh = routers[_router].startsAt == 0 || _now - routers[_router].startsAt > kContact;
		return fresh && !plan.store.covers(_now, kContact) && !isCut(_router, _now, kContact) &&
			   !plan.halves.covers(_now, kContact);
	}

	bool linked(uint32_t _one, uint32_t _other, TimeUs _now) const
	{
		const bool apart =
			plan.halves.covers(_now) && (_one < plan.routers / 2) != (_other < plan.routers / 2);
		return runs(_one, _now) && runs(_other, _now) && !isCut(_one, _now) && !isCut(_other, _now) && !apart;
	}

	bool isBad(uint32_t _route, TimeUs _now)
	{
		const bool drawn = nextUnit(random) < plan.share;
		switch (plan.kind)
		{
		case Kind::Errors:
			return drawn;
		case Kind::UnderLoad:
			return drawn && load > 0.6;
		case Kind::OneRoute:
			return drawn && _route == 0;
		case Kind::Late:
			return drawn && _now > TimeUs(0.7 * double(kDeadline));
		case Kind::Good:
		case Kind::Slow:
			break;
		}
		return false;
	}

	/// How much longer answers of an upstream take just now, for whatever version.
	double loadFactor(uint32_t _upstream, bool _new, TimeUs _now) const
	{
		const LoadProfile& profile = plan.load;
		const uint64_t first =
			stableHash(_new ? "v2" : "v1", plan.seed); // The same share of either version's.
		const bool slow = profile.slowBoxes.covers(_now) &&
						  double((_upstream + first) % kUpstreams) < profile.slowShare * kUpstreams;
		return (profile.surge.covers(_now) ? profile.surgePace : 1.0) * (slow ? profile.slowPace : 1.0);
	}

	/// Times vary by a factor of three around the mean.
	double timeMs(bool _new)
	{
		const double usual =
			20.0 * std::exp(0.5 * (nextUnit(random) + nextUnit(random) + nextUnit(random) - 1.5));
		return _new && plan.kind == Kind::Slow ? usual * (1.0 + 7.0 * plan.share) : usual;
	}

	AnswerTimes timesOf(uint32_t _route, uint32_t _upstream, bool _new, TimeUs _now)
	{
		const double factor = loadFactor(_upstream, _new, _now);
		AnswerTimes times;
		times.paceKind = "model";
		times.paceMs = timeMs(_new) * factor;
		if (plan.load.coldFor > 0)
		{
			times.headKind = fmt::format("route-{} model", _route);
			const bool cold = _new && _now < plan.load.coldFor;
			times.headMs = timeMs(_new) * factor * (cold ? plan.load.coldHead : 1.0);
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
		if (!runs(_router, _now) || !router.knows)
		{
			return; // A blank router refuses all.
		}
		const uint32_t route = routeOf(nextUnit(random));
		const TrialSubject subject{stableHash(fmt::format("{}", random.state)), true, TrialUse::Open};
		const bool isNew = chooseVersion(router.book, kService, subject, _now).only == "v2";
		noteArrived(router.book, kService, isNew ? "v2" : "v1");
		++sent;
		load += ((isNew ? 1.0 : 0.0) - load) * 0.05;
		const bool failed = isNew && isBad(route, _now);
		if (isNew)
		{
			noteExposed(_router, _now);
		}
		const auto upstream = uint32_t(nextUnit(random) * kUpstreams);
		TrialAnswer answer{isNew ? "v2" : "v1",
						   fmt::format("route-{}", route),
						   fmt::format("u{}", upstream),
						   failed ? TrialSign::Bad : TrialSign::Good,
						   timesOf(route, upstream, isNew, _now),
						   _now};
		const bool cold = isNew && _now < plan.load.coldFor;
		if (answer.times.headMs > plan.load.silentMs * (cold ? plan.load.coldHead : 1.0))
		{
			answer.sign = TrialSign::Silent;
		}
		const bool slow = isNew && plan.kind == Kind::Slow && nextUnit(random) < plan.share;
		if (failed || slow)
		{
			bad.push_back(_now);
		}
		noteTrialAnswer(router.book, kService, answer, _now);
	}

	void noteExposed(uint32_t _router, TimeUs _now)
	{
		exposed += _now <= kDeadline ? 1 : 0;
		const bool due = bad.size() >= kBadAnswers && _now > bad[kBadAnswers - 1] + kRollback;
		lateExposed += due && inTouch(_router, _now) ? 1 : 0;
	}

	void talk(uint32_t _from, uint32_t _to, TimeUs _now)
	{
		if (!linked(_from, _to, _now))
		{
			return;
		}
		for (const TrialHalt& halt : unwrittenHalts(routers[_from].book))
		{
			takeHalt(routers[_to].book, halt);
		}
		for (const TrialNews& news :
			 trialNewsFor(routers[_from].book, routers[_from].told[_to], _to + 1, _now))
		{
			takeTrialNews(routers[_to].book, news, _from + 1, _now);
		}
	}

	void lookAtStore(uint32_t _router, TimeUs _now)
	{
		Router& router = routers[_router];
		const bool reaches = reachesStore(_router, _now);
		router.calmSince = reaches && !router.reached ? _now : router.calmSince;
		router.reached = reaches;
		if (!reaches)
		{
			return;
		}
		if (!router.knows)
		{
			takeOrder(router.book, {kService, "v2", kDurationMs}, 5, _now);
			router.knows = true;
		}
		VersionTrial& trial = router.book.trials.at(kService);
		if (progressRevision != 0)
		{
			takeProgress(trial, progress, progressRevision, _now);
		}
		if (statusRevision != 0)
		{
			takeStatus(router.book, kService, status, statusRevision);
		}
		advanceTrial(trial, kBound, _now);
		const auto wanted = wantedStatus(trial, kBound, router.calmSince, _now);
		if (wanted)
		{
			status = *wanted;
			settledAt = _now;
			statusRevision = ++revision;
			noteStatusWritten(trial, status, statusRevision);
		}
		if (wantsProgress(trial, _now, nextUnit(random)))
		{
			progress = progressOf(trial, _now);
			progressRevision = ++revision;
			takeProgress(trial, progress, progressRevision, _now);
		}
	}

	void kill(TimeUs _now)
	{
		for (uint32_t ii = 0; ii < plan.routers; ++ii)
		{
			if (nextUnit(random) < plan.killed)
			{
				begin(ii, _now + kSecond);
				routers[ii].reached = false;
			}
		}
	}

	void run(TimeUs _end = kEnd)
	{
		double owed = 0.0;
		for (TimeUs now = 0; now < _end; now += kStep)
		{
			if (plan.store.covers(now))
			{
				bad.clear(); // Counted since the store was last away.
			}
			if (std::find(plan.kills.begin(), plan.kills.end(), now) != plan.kills.end())
			{
				kill(now);
			}
			for (uint32_t ii = 0; ii < plan.routers; ++ii)
			{
				if ((now / kStep + ii) % (kTickEvery / kStep) == 0)
				{
					lookAtStore(ii, now);
				}
				if (ii > 0 && (now / kStep + ii) % (kTalkEvery / kStep) == 0)
				{
					talk(ii, (ii - 1) / 2, now);
					talk((ii - 1) / 2, ii, now);
				}
			}
			const double rate = plan.load.surge.covers(now) ? plan.load.surgeRate : 1.0;
			for (owed += rate * plan.perSecond * double(kStep) / double(kSecond); owed >= 1.0; owed -= 1.0)
			{
				serve(uint32_t(nextUnit(random) * plan.routers), now);
			}
		}
	}
};

/// In CI; `SPANPLANK_FLEETS` asks for more by hand.
constexpr uint32_t kFleets = 8;

inline uint32_t fleets()
{
	const char* more = std::getenv("SPANPLANK_FLEETS");
	return more == nullptr ? kFleets : uint32_t(std::strtoul(more, nullptr, 10));
}

template <typename Value, size_t kCount>
Value oneOf(Random& _random, const std::array<Value, kCount>& _values)
{
	return _values[size_t(nextUnit(_random) * double(kCount))];
}

inline TimeUs momentOf(Random& _random)
{
	return TimeUs(nextUnit(_random) * double(kDeadline)) / kStep * kStep;
}

/// At any part of the trial; half of them are none.
inline Outage drawOutage(Random& _random)
{
	constexpr std::array<TimeUs, 6> kLengths = {0, 0, 0, 2 * kSecond, 6 * kSecond, 14 * kSecond};
	const TimeUs from = momentOf(_random);
	return {from, std::min(kTroubleEnds, from + oneOf(_random, kLengths))};
}

inline Plan drawPlan(Kind _kind, double _share, uint32_t _number)
{
	Random random{stableHash(fmt::format("{}-{}-{}", int(_kind), _share, _number))};
	Plan plan;
	plan.kind = _kind;
	plan.share = _share;
	plan.routers = oneOf<uint32_t, 4>(random, {3, 4, 23, 103});
	plan.perSecond = std::max(40.0, plan.routers * oneOf<double, 2>(random, {3.0, 10.0}));
	plan.store = drawOutage(random);
	plan.cut = drawOutage(random);
	plan.halves = drawOutage(random);
	const uint32_t kills = uint32_t(nextUnit(random) * 4.0);
	for (uint32_t ii = 0; ii < kills; ++ii)
	{
		plan.kills.push_back(momentOf(random));
	}
	plan.killed = oneOf<double, 3>(random, {0.2, 0.5, 1.0});
	plan.seed = random.state;
	return plan;
}

inline std::string describe(const Plan& _plan)
{
	return fmt::format(
		"routers {} rate {} kind {} share {} store {}..{} cut {}..{} halves {}..{} kills {} of {} seed {}",
		_plan.routers, _plan.perSecond, int(_plan.kind), _plan.share, _plan.store.from, _plan.store.to,
		_plan.cut.from, _plan.cut.to, _plan.halves.from, _plan.halves.to, _plan.kills.size(), _plan.killed,
		_plan.seed);
}

} // namespace spanplank::trial_fleet

#endif // SPANPLANK_TESTS_TRIAL_FLEET_H_HEADER_GUARD
