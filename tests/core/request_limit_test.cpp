/// Limits that upstreams state: what begins, changes and ends one, their division among the routers of random
/// fleets, and their way over the links.
#include "spanplank/request_limit.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

#include "spanplank/paced_waits.h"
#include "spanplank/peer_messages.h"
#include "spanplank/request_plan.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kSecond = 1000 * kMsToUs;

LimitAnswer stating(double _perSecond, TimeUs _sentAt)
{
	return {_perSecond, true, _sentAt};
}

LimitAnswer statingNone(TimeUs _sentAt)
{
	return {std::nullopt, true, _sentAt};
}

TEST(RequestLimit, HoldsUntilAnAnswerToALaterRequestStatesNone)
{
	RequestLimit limit;
	EXPECT_EQ(recordLimitAnswer(limit, stating(1.4, 0), kSecond), LimitChange::Stated);
	EXPECT_EQ(recordLimitAnswer(limit, stating(1.4, kSecond), 2 * kSecond), LimitChange::None);
	EXPECT_EQ(recordLimitAnswer(limit, stating(1.9, kSecond), 3 * kSecond), LimitChange::Changed);
	EXPECT_EQ(recordLimitAnswer(limit, statingNone(4 * kSecond), 5 * kSecond), LimitChange::Ended);
	EXPECT_FALSE(limit.perSecond);
	EXPECT_EQ(recordLimitAnswer(limit, statingNone(5 * kSecond), 6 * kSecond), LimitChange::None);
}

TEST(RequestLimit, IsNotEndedByAnAnswerThatWasUnderWayWhenItWasStated)
{
	RequestLimit limit;
	recordLimitAnswer(limit, stating(1.4, 0), 2 * kSecond);
	EXPECT_EQ(recordLimitAnswer(limit, statingNone(kSecond), 3 * kSecond), LimitChange::None);
	EXPECT_EQ(limit.perSecond, 1.4);
}

TEST(RequestLimit, IsNotEndedByARejection)
{
	RequestLimit limit;
	recordLimitAnswer(limit, stating(1.4, 0), kSecond);
	EXPECT_EQ(recordLimitAnswer(limit, {std::nullopt, false, 2 * kSecond}, 3 * kSecond), LimitChange::None);
	EXPECT_EQ(limit.perSecond, 1.4);
}

// ---- Division among routers -------------------------------------------------------------------------------

constexpr TimeUs kWindow = 4 * kSecond;

/// Requests that the users' rule allows in any window.
double allowedBy(double _perSecond)
{
	return std::floor(_perSecond * 1.5 * 4.0 + 5.0);
}

/// Routers that always have work, each with its own view of the fleet, before one upstream with a limit.
struct LimitedLoad
{
	std::vector<RequestPace> routers;
	std::vector<TimeUs> sent;

	/// @param[in] _unknown A router that the others do not know.
	LimitedLoad(double _perSecond, size_t _routers, size_t _halls, size_t _unknown, Random& _random)
	{
		const uint64_t upstream = nextRandom(_random);
		for (size_t ii = 0; ii < _routers; ++ii)
		{
			Fleet fleet;
			fleet.self = member(ii, _halls);
			fleet.synced = true;
			for (size_t other = 0; other < _routers; ++other)
			{
				if (other != ii && other != _unknown)
				{
					fleet.others.push_back(member(other, _halls));
				}
			}
			RequestPace pace;
			setSpacing(pace, limitSpacing(_perSecond, fleet, upstream, "hall-0"), nextUnit(_random), 0);
			routers.push_back(pace);
		}
	}

	static FleetMember member(size_t _idx, size_t _halls)
	{
		return {fmt::format("box-{}", _idx), fmt::format("hall-{}", _idx % _halls)};
	}

	void run(TimeUs _from, TimeUs _to)
	{
		for (RequestPace& pace : routers)
		{
			for (TimeUs now = std::max(_from, pace.nextAt); pace.spacing != 0 && now < _to; now = pace.nextAt)
			{
				recordPacedRequest(pace, now);
				sent.push_back(now);
			}
		}
		std::sort(sent.begin(), sent.end());
	}

	double mostInWindow() const
	{
		std::deque<TimeUs> window;
		size_t most = 0;
		for (const TimeUs at : sent)
		{
			window.push_back(at);
			while (at - window.front() > kWindow)
			{
				window.pop_front();
			}
			most = std::max(most, window.size());
		}
		return double(most);
	}
};

double anyLimit()
{
	return double(*rc::gen::inRange(0, 2000)) / double(*rc::gen::element(10, 100, 1000));
}

RC_GTEST_PROP(RequestLimitProperty, NoMoreIsSentThanIsAllowedWithAnyViewsOfTheFleet, ())
{
	const double perSecond = anyLimit();
	const size_t routers = *rc::gen::element<size_t>(1, 2, 3, 4, 14, 30, 103, 400);
	const size_t halls = *rc::gen::element<size_t>(1, 3, 12);
	const size_t unknown = *rc::gen::inRange<size_t>(0, routers + 1);
	Random random{*rc::gen::arbitrary<uint64_t>()};
	LimitedLoad load(perSecond, routers, halls, unknown, random);
	load.run(0, 20 * kSecond);
	RC_ASSERT(load.mostInWindow() <= allowedBy(perSecond));
}

// With one owner the bound of two leaves three quarters of the limit.
RC_GTEST_PROP(RequestLimitProperty, WhatIsAllowedIsUsedByRoutersThatAlwaysHaveWork, ())
{
	const double perSecond = std::max(anyLimit(), 2.0 * kMinLimitPerSecond);
	const size_t routers = *rc::gen::element<size_t>(1, 3, 14, 30, 103, 400);
	const size_t halls = *rc::gen::element<size_t>(1, 3);
	Random random{*rc::gen::arbitrary<uint64_t>()};
	LimitedLoad load(perSecond, routers, halls, routers, random);
	constexpr double kSeconds = 200.0;
	load.run(0, TimeUs(kSeconds) * kSecond);
	const double used = double(load.sent.size()) / (perSecond * kSeconds);
	RC_ASSERT(used <= 1.1);
	RC_ASSERT(used >= (routers <= halls ? 0.7 : 0.9));
}

TEST(RequestLimitShare, OfAnUpstreamThatTakesNothingIsStillARequestNowAndThen)
{
	Fleet fleet;
	fleet.self = {"box-0", "hall-0"};
	EXPECT_EQ(limitSpacing(0.0, fleet, 7, "hall-0"), 0) << "the others do not know this router yet";
	fleet.synced = true;
	EXPECT_EQ(limitSpacing(0.0, fleet, 7, "hall-0"), 4 * kSecond);
	EXPECT_GT(limitSpacing(1e12, fleet, 7, "hall-0"), 0) << "0 would mean none";
}

// ---- In the table -----------------------------------------------------------------------------------------

UpstreamTable tableOf(const std::vector<std::string>& _ids)
{
	UpstreamTable table;
	for (const std::string& id : _ids)
	{
		UpstreamRecord record;
		record.id = id;
		record.service = "app";
		record.hall = "hall-0";
		registerUpstream(table, record);
	}
	return table;
}

UpstreamQuery appQuery()
{
	UpstreamQuery query;
	query.service = "app";
	query.repeatable = true;
	return query;
}

TEST(RequestLimitTable, AnUpstreamWithALimitGetsNothingUntilItsShareIsKnownAndThenThat)
{
	UpstreamTable table = tableOf({"one"});
	Random random{1};
	const UpstreamId one = currentIncarnation(table, "one");
	recordLimitAnswer(table, one, stating(2.0, 0), 1);
	EXPECT_FALSE(isValid(pickDirectUpstream(table, appQuery(), kSecond, random)));
	EXPECT_EQ(noUpstreamReason(table, appQuery(), kSecond), NoUpstream::Limited);
	EXPECT_EQ(nextSendAt(table, appQuery(), kSecond), kNever);
	EXPECT_FALSE(maySendTo(table, one, kSecond)) << "chosen before the limit was known";
	EXPECT_TRUE(maySendTo(table, one, kSecond, true));
	setSpacing(table.entries.at(one.idx).pace, kSecond / 2, 0.0, kSecond);
	ASSERT_TRUE(isValid(pickDirectUpstream(table, appQuery(), kSecond, random)));
	recordSent(table, one, appQuery(), kSecond);
	EXPECT_FALSE(isValid(pickDirectUpstream(table, appQuery(), kSecond, random)));
	EXPECT_EQ(nextSendAt(table, appQuery(), kSecond), kSecond + kSecond / 2);
	recordLimitAnswer(table, one, statingNone(2 * kSecond), 3 * kSecond);
	EXPECT_TRUE(isValid(pickDirectUpstream(table, appQuery(), 3 * kSecond, random)));
}

TEST(RequestLimitTable, ARestartUnderTheSameIdBeginsWithoutALimit)
{
	UpstreamTable table = tableOf({"one"});
	UpstreamRecord record = table.entries.at(currentIncarnation(table, "one").idx).record;
	record.startedAtMs = 1000;
	registerUpstream(table, record);
	recordLimitAnswer(table, currentIncarnation(table, "one"), stating(2.0, 0), 1);
	record.startedAtMs = 2000;
	registerUpstream(table, record);
	EXPECT_FALSE(isLimited(table, currentIncarnation(table, "one")));
}

TEST(RequestLimitTable, ARefusalForLimitsTellsWhenToComeBack)
{
	RequestPlan plan;
	const FinalAnswer early = finalAnswer(plan, AttemptEnd::NotSent, NoUpstream::Limited, 0.0, 0);
	const FinalAnswer late = finalAnswer(plan, AttemptEnd::NotSent, NoUpstream::Limited, 1.0, 0);
	EXPECT_EQ(early.status, status::kUnavailable);
	EXPECT_GT(early.retryAfterMs, 0u);
	EXPECT_GT(late.retryAfterMs, early.retryAfterMs);
}

TEST(PacedWaits, LeaveAnUpstreamToTheMostUrgentRequestThatWaits)
{
	PacedWaits waits;
	EXPECT_TRUE(mayGoFirst(waits, 9));
	beginWait(waits, 4);
	beginWait(waits, 4);
	beginWait(waits, 1);
	EXPECT_TRUE(mayGoFirst(waits, 1));
	EXPECT_FALSE(mayGoFirst(waits, 4));
	endWait(waits, 1);
	EXPECT_TRUE(mayGoFirst(waits, 4));
	EXPECT_FALSE(mayGoFirst(waits, 5));
	endWait(waits, 4);
	EXPECT_FALSE(mayGoFirst(waits, 5)) << "one more waits";
	endWait(waits, 4);
	EXPECT_TRUE(mayGoFirst(waits, 5));
}

TEST(PacedWaits, OfARequestAreBoundedFromTheFirstOne)
{
	RequestPlan plan;
	plan.targetMs = 800;
	plan.deadline = 8 * kSecond;
	EXPECT_TRUE(mayWaitForUpstream(plan, kSecond + 99 * kMsToUs, kSecond));
	EXPECT_FALSE(mayWaitForUpstream(plan, kSecond + 100 * kMsToUs, kSecond));
	plan.waitingSince = kSecond;
	EXPECT_FALSE(mayWaitForUpstream(plan, kSecond + 100 * kMsToUs, kSecond + 50 * kMsToUs));
	EXPECT_FALSE(mayWaitForUpstream(plan, kNever, kSecond));
	EXPECT_FALSE(mayWaitForUpstream(plan, kSecond, kSecond + 100 * kMsToUs)) << "waited enough";
}

// Requests waited 4.6 s, beyond their deadline, for an upstream that was due and that they could not use.
TEST(PacedWaits, AreNotForAnUpstreamThatIsDueAndWasNotChosen)
{
	UpstreamTable table = tableOf({"one"});
	const UpstreamId one = currentIncarnation(table, "one");
	recordLimitAnswer(table, one, stating(2.0, 0), 1);
	setSpacing(table.entries.at(one.idx).pace, kSecond / 2, 0.0, kSecond);
	EXPECT_FALSE(nextSendAt(table, appQuery(), 2 * kSecond));
}

// ---- Between routers --------------------------------------------------------------------------------------

/// Routers in a tree whose links are cut and made anew, and that start blank.
struct LimitTree
{
	std::vector<UpstreamTable> routers;
	std::vector<size_t> parents;
	std::map<std::pair<size_t, size_t>, uint64_t> sent; ///< By sender and receiver.

	explicit LimitTree(size_t _routers) : routers(_routers, tableOf({"one", "two"})), parents(_routers, 0)
	{
		for (size_t ii = 1; ii < _routers; ++ii)
		{
			parents[ii] = (ii - 1) / 2;
		}
	}

	void tell(size_t _from, size_t _to, TimeUs _now)
	{
		PeerPing ping;
		ping.seq = 1;
		ping.limits = limitUpdatesFor(routers[_from], sent[{_from, _to}]);
		const std::vector<uint8_t> wire = nlohmann::json::to_cbor(nlohmann::json(ping));
		applyLimitUpdates(routers[_to], nlohmann::json::from_cbor(wire).get<PeerPing>().limits, _now);
	}

	/// All neighbours tell each other once.
	void exchange(TimeUs _now)
	{
		for (size_t ii = 1; ii < routers.size(); ++ii)
		{
			tell(ii, parents[ii], _now);
			tell(parents[ii], ii, _now);
		}
	}

	void forgetLinksOf(size_t _router)
	{
		for (auto& [link, last] : sent)
		{
			last = link.first == _router || link.second == _router ? 0 : last;
		}
	}

	void startBlank(size_t _router)
	{
		routers[_router] = tableOf({"one", "two"});
		forgetLinksOf(_router);
	}
};

RC_GTEST_PROP(RequestLimitProperty, AllRoutersComeToAgreeWhateverTheLinksDid, ())
{
	Random random{*rc::gen::arbitrary<uint64_t>()};
	const size_t count = *rc::gen::inRange<size_t>(2, 40);
	LimitTree tree(count);
	TimeUs now = kSecond;
	for (int step = 0; step < 200; ++step, now += 50 * kMsToUs)
	{
		const size_t router = nextRandom(random) % count;
		const UpstreamId upstream = currentIncarnation(tree.routers[router], step % 2 == 0 ? "one" : "two");
		switch (nextRandom(random) % 6)
		{
		case 0:
			recordLimitAnswer(tree.routers[router], upstream, stating(double(1 + step % 3), now), now);
			break;
		case 1:
			recordLimitAnswer(tree.routers[router], upstream, statingNone(now), now);
			break;
		case 2:
			tree.startBlank(router);
			break;
		case 3:
			tree.parents[router] = router == 0 ? 0 : nextRandom(random) % router;
			tree.forgetLinksOf(router);
			break;
		default:
			tree.exchange(now);
		}
	}
	for (size_t round = 0; round < count; ++round, now += kMsToUs)
	{
		tree.exchange(now);
	}
	for (const UpstreamTable& table : tree.routers)
	{
		for (const char* id : {"one", "two"})
		{
			const RequestLimit& limit = table.entries.at(currentIncarnation(table, id).idx).limit;
			const UpstreamTable& root = tree.routers.front();
			RC_ASSERT(limit.perSecond == root.entries.at(currentIncarnation(root, id).idx).limit.perSecond);
		}
	}
}

TEST(RequestLimitShare, IsToldOnceOverALinkAndNotByRoutersOfEarlierVersions)
{
	UpstreamTable table = tableOf({"one"});
	recordLimitAnswer(table, currentIncarnation(table, "one"), stating(1.4, 0), 1);
	uint64_t sent = 0;
	EXPECT_EQ(limitUpdatesFor(table, sent).size(), 1u);
	EXPECT_TRUE(limitUpdatesFor(table, sent).empty());
	PeerPong pong;
	pong.limits = {{7, {2, std::nullopt}}, {8, {1, 1.4}}};
	nlohmann::json wire = pong;
	EXPECT_EQ(wire.get<PeerPong>().limits[0].limit.perSecond, std::nullopt);
	EXPECT_EQ(wire.get<PeerPong>().limits[1].limit.perSecond, 1.4);
	wire.erase(wire.size() - 1);
	EXPECT_TRUE(wire.get<PeerPong>().limits.empty());
}
} // namespace
} // namespace spanplank
