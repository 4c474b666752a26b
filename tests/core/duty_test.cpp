/// A duty has at most one active holder at a time, whatever faults occur in routers, store and platform.
#include "spanplank/duty.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "spanplank/store_position.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kStep = 100 * kMsToUs;
constexpr TimeUs kWallStart = 1000 * kSecond;
constexpr TimeUs kDurationUs = 90 * kSecond;
const DutyTiming kTiming;

TimeUs wallAt(TimeUs _now)
{
	return kWallStart + _now;
}

struct Router
{
	DutyIdentity self;
	DutyState state;
	bool assumesRoot = false;
	TimeUs frozenUntil = 0;
	TimeUs thawedAt = 0;
};

/// A call that arrives at the platform.
struct Call
{
	TimeUs at = 0;
	DutyIdentity from;
	uint64_t token = 0;
	uint64_t window = 0;
	AccountCounts counts;
	bool late = false; ///< Executed after its sender had given up on it.
};

struct Write
{
	TimeUs at = 0;
	uint64_t expected = 0;
	DutyRecord record;
};

struct StoreState
{
	DutyRecord record;
	uint64_t revision = 0; ///< 0 if there is no record.
	uint64_t newest = 1;
};

/// Routers that assume, correctly or not, that they are the root of the tree, with a store and a platform.
struct Simulation
{
	Random random;
	std::vector<Router> routers;
	StoreState store;
	StoreState backup;
	uint64_t era = 1;
	std::vector<Write> lateWrites;
	std::vector<Call> lateCalls;
	std::vector<Call> deliveredCalls; ///< In the order of delivery, accepted and rejected ones.
	std::map<uint64_t, std::set<AccountCounts>> accepted;
	uint64_t highestToken = 0;
	bool fencing = true;
	bool storeRestores = false;

	Simulation(uint64_t _seed, size_t _routers) : random{_seed}
	{
		for (size_t ii = 0; ii < _routers; ++ii)
		{
			routers.push_back({});
			routers.back().self = {fmt::format("box-{}", ii), uint32_t(ii + 1)};
		}
	}

	bool randomChance(double _chance)
	{
		return nextUnit(random) < _chance;
	}

	/// @returns The position of the write, or 0 if its condition does not hold.
	uint64_t write(uint64_t _expected, const DutyRecord& _record)
	{
		const uint64_t present = positionOf(era, store.revision);
		if (_expected != present)
		{
			return 0;
		}
		store.revision = ++store.newest;
		store.record = _record;
		return positionOf(era, store.revision);
	}

	/// @returns Whether the platform accepted the call.
	bool deliverCall(const Call& _call)
	{
		deliveredCalls.push_back(_call);
		if (fencing && _call.token < highestToken)
		{
			return false;
		}
		highestToken = std::max(highestToken, _call.token);
		accepted[_call.window].insert(_call.counts);
		return true;
	}

	void receiveRecord(Router& _router, TimeUs _now)
	{
		if (store.revision == 0)
		{
			return;
		}
		const uint64_t position = positionOf(era, store.revision);
		if (position <= _router.state.revision)
		{
			return;
		}
		if (store.record.era < era)
		{
			recordDutyStoreRestore(_router.state, kTiming, wallAt(_now));
		}
		applyDutyRecord(_router.state, _router.self, store.record, position, _now);
	}

	void writeRecord(Router& _router, uint64_t _window, const AccountCounts& _counts, TimeUs _now)
	{
		const DutyRecord record{_router.self.box, _router.self.incarnation, era, _window, _counts};
		const uint64_t expected = _router.state.revision;
		if (randomChance(0.1))
		{
			lateWrites.push_back({_now + TimeUs(nextUnit(random) * 4.0 * double(kSecond)), expected, record});
			postponeDuty(_router.state, _now);
			return;
		}
		const uint64_t position = write(expected, record);
		if (position != 0 && !randomChance(0.1))
		{
			recordDutyWrite(_router.state, record, position, _now, _now);
			return;
		}
		postponeDuty(_router.state, _now);
		receiveRecord(_router, _now);
	}

	void report(Router& _router, TimeUs _now)
	{
		const DutyState& state = _router.state;
		Call call{_now, _router.self, state.token, state.record.window, state.record.counts, false};
		if (randomChance(0.15))
		{
			call.late = true;
			call.at = _now + TimeUs(nextUnit(random) * 6.0 * double(kSecond));
			lateCalls.push_back(call);
			postponeDuty(_router.state, _now);
			return;
		}
		if (!deliverCall(call))
		{
			resignDuty(_router.state, _now);
			return;
		}
		_router.state.reported = !randomChance(0.1);
	}

	void runStep(Router& _router, TimeUs _now)
	{
		const DutyState& state = _router.state;
		const DutyStep step = nextDutyStep(state, _router.self, kTiming, wallAt(_now), _now);
		const AccountCounts own = {{"account", uint64_t(nextUnit(random) * 1000.0)}}; // Ledgers differ.
		switch (step.action)
		{
		case DutyAction::Wait:
			break;
		case DutyAction::Acquire:
		case DutyAction::Confirm:
			writeRecord(_router, state.record.window, state.record.counts, _now);
			break;
		case DutyAction::BeginReport:
			writeRecord(_router, step.window, own, _now);
			break;
		case DutyAction::SendReport:
			report(_router, _now);
			break;
		}
	}

	void injectFault(TimeUs _now)
	{
		Router& router = routers[size_t(nextUnit(random) * double(routers.size()))];
		if (randomChance(0.01))
		{
			router.assumesRoot = !router.assumesRoot;
		}
		if (randomChance(0.003))
		{
			router.frozenUntil = _now + TimeUs(nextUnit(random) * 8.0 * double(kSecond));
			router.thawedAt = router.frozenUntil;
		}
		if (randomChance(0.003))
		{
			const DutyIdentity self{router.self.box, router.self.incarnation + 100}; // The process restarts.
			router = {};
			router.self = self;
			router.assumesRoot = true;
		}
		if (storeRestores && _now % (7 * kSecond) == 0)
		{
			backup = store;
		}
		if (storeRestores && randomChance(0.002))
		{
			store = backup;
			++era;
			for (Router& each : routers)
			{
				recordDutyStoreRestore(each.state, kTiming, wallAt(_now));
			}
		}
	}

	void run()
	{
		routers[0].assumesRoot = true;
		for (TimeUs now = kStep; now < kDurationUs; now += kStep)
		{
			injectFault(now);
			for (auto at = lateWrites.begin(); at != lateWrites.end();)
			{
				if (at->at <= now)
				{
					write(at->expected, at->record);
				}
				at = at->at <= now ? lateWrites.erase(at) : std::next(at);
			}
			for (auto at = lateCalls.begin(); at != lateCalls.end();)
			{
				if (at->at <= now)
				{
					deliverCall(*at);
				}
				at = at->at <= now ? lateCalls.erase(at) : std::next(at);
			}
			for (Router& router : routers)
			{
				if (now < router.frozenUntil)
				{
					continue;
				}
				if (randomChance(0.5))
				{
					receiveRecord(router, now);
				}
				recordRootStatus(router.state, router.assumesRoot, now);
				runStep(router, now);
			}
		}
	}

	void checkSingleHolder() const
	{
		for (const auto& [window, reports] : accepted)
		{
			EXPECT_EQ(reports.size(), 1u) << "window " << window << " was reported with different contents";
		}
		std::map<uint64_t, DutyIdentity> holderOf;
		uint64_t highest = 0;
		for (const Call& call : deliveredCalls)
		{
			const auto [known, first] = holderOf.emplace(call.token, call.from);
			EXPECT_TRUE(first || known->second.box == call.from.box) << "token " << call.token;
			if (!call.late)
			{
				EXPECT_GE(call.token, highest) << "a holder acted after its successor";
				highest = std::max(highest, call.token);
			}
		}
	}

	/// Checks that no router acts, is followed by another one and acts again within the lease.
	void checkHandOvers() const
	{
		std::vector<Call> handOvers;
		for (const Call& call : deliveredCalls)
		{
			if (!call.late && (handOvers.empty() || handOvers.back().from.box != call.from.box))
			{
				handOvers.push_back(call);
			}
		}
		for (size_t ii = 2; ii < handOvers.size(); ++ii)
		{
			if (handOvers[ii].from.box == handOvers[ii - 2].from.box)
			{
				EXPECT_GE(handOvers[ii].at - handOvers[ii - 2].at, kTiming.lease);
			}
		}
	}
};

TEST(Duty, OneHolderReportsEachWindowOnceAndInTime)
{
	Simulation sim(1, 1);
	Router& router = sim.routers[0];
	for (TimeUs now = kStep; now < kDurationUs; now += kStep)
	{
		recordRootStatus(router.state, true, now);
		const DutyStep step = nextDutyStep(router.state, router.self, kTiming, wallAt(now), now);
		const DutyRecord& known = router.state.record;
		if (step.action == DutyAction::SendReport)
		{
			ASSERT_TRUE(
				sim.deliverCall({now, router.self, router.state.token, known.window, known.counts, false}));
			router.state.reported = true;
			EXPECT_LE(wallAt(now), TimeUs(known.window + 1) * kTiming.window + kTiming.maxReportDelay);
		}
		else if (step.action != DutyAction::Wait)
		{
			const uint64_t window = step.action == DutyAction::BeginReport ? step.window : known.window;
			const DutyRecord record{router.self.box, router.self.incarnation, 1, window, {}};
			recordDutyWrite(router.state, record, sim.write(router.state.revision, record), now, now);
		}
	}
	EXPECT_GE(sim.accepted.size(), size_t(kDurationUs / kTiming.window) - 2);
}

TEST(Duty, AProofThatIsTooOldIsMadeAnewBeforeTheCall)
{
	DutyState state;
	const DutyIdentity self{"box", 1};
	recordRootStatus(state, true, 1);
	recordDutyWrite(state, {"box", 1, 0, 0, {}}, 5, 1, 1);
	const TimeUs later = 20 * kSecond;
	recordDutyWrite(state, {"box", 1, 0, 203, {{"account", 4}}}, 6, later, later);
	EXPECT_EQ(nextDutyStep(state, self, kTiming, wallAt(later), later).action, DutyAction::SendReport);
	const TimeUs frozen = later + kTiming.lease / 2;
	EXPECT_EQ(nextDutyStep(state, self, kTiming, wallAt(frozen), frozen).action, DutyAction::Confirm);
}

TEST(Duty, ANewHolderWaitsForTheCallsOfTheOneBefore)
{
	DutyState state;
	const DutyIdentity self{"box", 1};
	recordRootStatus(state, true, kSecond);
	const TimeUs taken = 20 * kSecond;
	recordDutyWrite(state, {"box", 1, 0, 200, {}}, 5, taken, taken);
	const TimeUs early = taken + kTiming.lease - 1;
	EXPECT_EQ(nextDutyStep(state, self, kTiming, wallAt(early), early).action, DutyAction::Wait);
	EXPECT_NE(nextDutyStep(state, self, kTiming, wallAt(early + 1), early + 1).action, DutyAction::Wait);
}

// Guards against a holder that gives up the duty when it is not the root for a moment, because a call to the
// store failed or a list was reloaded. It then acquired the duty again and waited a whole lease each time
// (four times in 20 s), so that no report was sent in time. In the log: usage_duty_written with why="take"
// from one box at 39.9, 43.7 and 49.5 s without a report in between.
TEST(Duty, AHolderThatIsNotFirstForAMomentKeepsTheDutyAndWaits)
{
	DutyState state;
	const DutyIdentity self{"box", 1};
	recordRootStatus(state, true, 1);
	recordDutyWrite(state, {"box", 1, 0, 200, {}}, 5, kSecond, kSecond);
	const TimeUs later = 20 * kSecond;
	recordRootStatus(state, false, later);
	EXPECT_EQ(nextDutyStep(state, self, kTiming, wallAt(later), later).action, DutyAction::Wait);
	recordRootStatus(state, true, later + 1);
	EXPECT_EQ(nextDutyStep(state, self, kTiming, wallAt(later + 1), later + 1).action,
			  DutyAction::BeginReport);
}

TEST(DutyProperty, OneHolderAtATimeOverFreezesRestartsAndCallsCarriedOutLate)
{
	for (uint64_t seed = 0; seed < 300; ++seed)
	{
		SCOPED_TRACE(seed);
		Simulation sim(seed, 4);
		sim.run();
		sim.checkSingleHolder();
		sim.checkHandOvers();
		EXPECT_GE(sim.accepted.size(), 1u);
	}
}

TEST(DutyProperty, OneReportOfAWindowAlsoWhenTheStoreReturnsFromAnOlderCopy)
{
	for (uint64_t seed = 0; seed < 300; ++seed)
	{
		SCOPED_TRACE(seed);
		Simulation sim(seed, 4);
		sim.storeRestores = true;
		sim.run();
		sim.checkSingleHolder();
	}
}

TEST(DutyProperty, OneReportOfAWindowAlsoWhereThePlatformFencesNobody)
{
	for (uint64_t seed = 0; seed < 300; ++seed)
	{
		SCOPED_TRACE(seed);
		Simulation sim(seed, 4);
		sim.fencing = false;
		sim.run();
		sim.checkSingleHolder();
	}
}
} // namespace
} // namespace spanplank
