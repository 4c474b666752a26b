/// Speeds of upstreams: means of ratios, their exchange between routers, and their use in the choice.
#include "spanplank/engine_speed.h"

#include <cmath>
#include <gtest/gtest.h>
#include <iostream>
#include <limits>

#include "engine_replay.h"
#include "spanplank/peer_messages.h"

namespace spanplank
{
namespace
{
using engine_replay::kSecond;
constexpr TimeUs kNow = 5 * kSecond;
constexpr UpstreamKey kEngine = 7;

/// Routers in a tree in which each follows the one at a third of its place, as in a hall of equal boxes.
class SpeedTree
{
public:
	explicit SpeedTree(size_t _routers) : m_tables(_routers), m_received(_routers)
	{
		exchange(kNow); // Links exist before there are samples.
	}

	EngineSpeedTable& at(size_t _router)
	{
		return m_tables[_router];
	}

	/// All neighbours send each other a message.
	void exchange(TimeUs _now)
	{
		for (size_t child = 1; child < m_tables.size(); ++child)
		{
			const size_t parent = (child - 1) / 3;
			send(child, parent, kParentNeighbour, uint32_t(child), _now);
			send(parent, child, uint32_t(child), kParentNeighbour, _now);
		}
	}

	/// @returns Samples of first tokens that a router has received from others.
	uint64_t received(size_t _router) const
	{
		return m_received[_router];
	}

	/// @returns The most bytes that passed one way over a link.
	size_t busiestLinkBytes() const
	{
		size_t most = 0;
		for (const auto& [link, bytes] : m_bytes)
		{
			most = std::max(most, bytes);
		}
		return most;
	}

	size_t largestMessage() const
	{
		return m_largestMessage;
	}

	void resetBytes()
	{
		m_bytes.clear();
	}

private:
	void send(size_t _from, size_t _to, uint32_t _linkAtSender, uint32_t _linkAtReceiver, TimeUs _now)
	{
		const std::vector<SpeedRow> rows = speedRowsFor(m_tables[_from], _linkAtSender, _now);
		const std::vector<uint8_t> wire =
			nlohmann::json::to_cbor(nlohmann::json::array({encodeSpeeds(rows)}));
		m_bytes[{_from, _to}] += wire.size();
		m_largestMessage = std::max(m_largestMessage, rows.size());
		std::vector<SpeedRow> decoded;
		decodeSpeeds(nlohmann::json::from_cbor(wire), 0, decoded);
		for (const SpeedRow& row : decoded)
		{
			m_received[_to] += row.firstTokens;
		}
		applySpeedRows(m_tables[_to], _linkAtReceiver, decoded, true, _now);
	}

	std::vector<EngineSpeedTable> m_tables;
	std::vector<uint64_t> m_received;
	std::map<std::pair<size_t, size_t>, size_t> m_bytes;
	size_t m_largestMessage = 0;
};

TEST(EngineSpeed, AnUpstreamWithoutSamplesIsAsExpected)
{
	const EngineSpeedTable table;
	EXPECT_EQ(firstTokenFactor(table, kEngine, kNow), 1.0);
	EXPECT_EQ(tokenFactor(table, kEngine, kNow), 1.0);
	EXPECT_EQ(tokenMsAt(table, kEngine, "llm m", kNow), 0.0) << "no model has a mean";
}

// Guards against one odd answer that condemns an upstream, and against many that do not.
TEST(EngineSpeed, SeveralSamplesMoveTheFactorAndOneAloneDoesNot)
{
	EngineSpeedTable table;
	recordFirstTokenRatio(table, kEngine, 100.0, 500.0, kNow);
	EXPECT_LT(firstTokenFactor(table, kEngine, kNow), 2.0) << "of two samples at 1 and one at 5";
	for (int ii = 0; ii < 20; ++ii)
	{
		recordFirstTokenRatio(table, kEngine, 100.0, 500.0, kNow);
	}
	EXPECT_NEAR(firstTokenFactor(table, kEngine, kNow), 5.0, 0.8);
	EXPECT_EQ(tokenFactor(table, kEngine, kNow), 1.0);
}

// Guards against an upstream that is avoided for long after it has recovered, as it gets no requests.
TEST(EngineSpeed, AnUpstreamWithoutNewSamplesReturnsToOne)
{
	for (const int samples : {5, 100, 10000})
	{
		EngineSpeedTable table;
		for (int ii = 0; ii < samples; ++ii)
		{
			recordFirstTokenRatio(table, kEngine, 100.0, 600.0, kNow);
			recordTokenTime(table, kEngine + 1, "llm m", 5.0, kNow);
			recordTokenTime(table, kEngine, "llm m", 50.0, kNow);
		}
		EXPECT_GT(firstTokenFactor(table, kEngine, kNow), 3.0);
		EXPECT_LT(firstTokenFactor(table, kEngine, kNow + 6 * kSecond), 2.5) << samples;
		EXPECT_NEAR(firstTokenFactor(table, kEngine, kNow + 12 * kSecond), 1.0, 0.1) << samples;
		EXPECT_NEAR(tokenFactor(table, kEngine, kNow + 12 * kSecond), 1.0, 0.1) << samples;
		expireSpeeds(table, kNow + 20 * kSecond);
		EXPECT_TRUE(table.speeds.empty());
	}
}

// Guards against a stalled answer, or one without an expectation, that makes a factor infinite or zero.
TEST(EngineSpeed, SamplesStayFiniteAndWithinTwentyTimes)
{
	EngineSpeedTable table;
	const double infinite = std::numeric_limits<double>::infinity();
	const double nan = std::numeric_limits<double>::quiet_NaN();
	for (const double bad : {0.0, -5.0, infinite, nan})
	{
		recordFirstTokenRatio(table, kEngine, bad, 100.0, kNow);
		recordFirstTokenRatio(table, kEngine, 100.0, bad, kNow);
		recordTokenTime(table, kEngine, "llm m", bad, kNow);
	}
	EXPECT_TRUE(table.speeds.empty());
	for (int ii = 0; ii < 1000; ++ii)
	{
		recordFirstTokenRatio(table, kEngine, 1e-300, 1e300, kNow);
		recordFirstTokenRatio(table, kEngine + 1, 1e300, 1e-300, kNow);
		recordTokenTime(table, kEngine, "llm m", ii % 2 == 0 ? 1e300 : 1e-300, kNow);
	}
	EXPECT_LE(firstTokenFactor(table, kEngine, kNow), kMaxSpeedRatio);
	EXPECT_GT(firstTokenFactor(table, kEngine, kNow), 10.0);
	EXPECT_GE(firstTokenFactor(table, kEngine + 1, kNow), 1.0 / kMaxSpeedRatio);
	EXPECT_TRUE(std::isfinite(tokenMsAt(table, kEngine, "llm m", kNow)));
	EXPECT_GE(tokenFactor(table, kEngine, kNow), 1.0 / kMaxSpeedRatio);
}

// Guards against an upstream that is avoided since it has no samples, while the estimates are twice as long
// as all observed times.
TEST(EngineSpeed, WithAPriorAnUpstreamWithoutSamplesCountsAsAUsualOne)
{
	EngineSpeedTable table;
	const std::vector<UpstreamKey> upstreams = {1, 2, 3, 4};
	EXPECT_EQ(firstTokenFactor(table, 4, kNow, speedPrior(table, upstreams, kNow)), 1.0);
	for (int ii = 0; ii < 30; ++ii)
	{
		recordFirstTokenRatio(table, upstreams[size_t(ii % 3)], 100.0, 50.0, kNow);
	}
	const SpeedPrior prior = speedPrior(table, upstreams, kNow);
	EXPECT_NEAR(firstTokenFactor(table, 1, kNow, prior), 0.5, 0.05);
	EXPECT_NEAR(firstTokenFactor(table, 4, kNow, prior), 0.5, 0.05);
	EXPECT_EQ(tokenFactor(table, 4, kNow, prior), 1.0);
	const SpeedPrior later = speedPrior(table, upstreams, kNow + 20 * kSecond);
	EXPECT_NEAR(firstTokenFactor(table, 4, kNow + 20 * kSecond, later), 1.0, 0.01);
}

TEST(EngineSpeed, TimesPerTokenAreRelativeToTheModel)
{
	EngineSpeedTable table;
	for (int ii = 0; ii < 50; ++ii)
	{
		recordTokenTime(table, kEngine, "llm small", 4.0, kNow);
		recordTokenTime(table, kEngine, "llm large", 40.0, kNow);
		recordTokenTime(table, kEngine + 1, "llm small", 16.0, kNow);
		recordTokenTime(table, kEngine + 1, "llm large", 160.0, kNow);
	}
	EXPECT_NEAR(tokenMsAt(table, kEngine, "llm small", kNow), 4.0, 1.0);
	EXPECT_NEAR(tokenMsAt(table, kEngine, "llm large", kNow), 40.0, 10.0);
	EXPECT_NEAR(tokenMsAt(table, kEngine + 1, "llm small", kNow), 16.0, 4.0);
}

TEST(EngineSpeed, ANewIncarnationStartsWithoutTheSpeedOfThePreviousOne)
{
	UpstreamTable table;
	UpstreamRecord record;
	record.id = "e0";
	record.service = "llm";
	record.startedAtMs = 1000;
	const UpstreamId before = registerUpstream(table, record, kNow);
	for (int ii = 0; ii < 20; ++ii)
	{
		recordFirstTokenRatio(table.speeds, table.entries.at(before.idx).key, 100.0, 800.0, kNow);
	}
	record.startedAtMs = 2000;
	const UpstreamId after = registerUpstream(table, record, kNow);
	EXPECT_EQ(firstTokenFactor(table.speeds, table.entries.at(after.idx).key, kNow), 1.0);
	EXPECT_GT(firstTokenFactor(table.speeds, keyOf("e0", 1000), kNow), 3.0);
}

// Guards against a peer whose figures are wrong: it must not change what this router or others expect.
TEST(EngineSpeed, RowsOutOfRangeAreCountedAndNeitherAppliedNorForwarded)
{
	EngineSpeedTable table;
	speedRowsFor(table, 1, kNow);
	speedRowsFor(table, 2, kNow);
	const std::vector<SpeedRow> rows = {{kEngine, 1, 301, 0, 0},      {kEngine, 1, -301, 0, 0},
										{kEngine, 0, 1, 0, 0},        {kEngine, kMaxRowSamples + 1, 0, 0, 0},
										{kEngine, 0, 0, 2, 601},      {kEngine, 0, 0, 4000000000u, INT32_MAX},
										{kEngine, 1, INT32_MIN, 0, 0}};
	applySpeedRows(table, 1, rows, true, kNow);
	EXPECT_EQ(table.rejectedRows, rows.size());
	EXPECT_TRUE(table.speeds.empty());
	EXPECT_TRUE(speedRowsFor(table, 2, kNow + kSecond / 2).empty());
	applySpeedRows(table, 1, {{kEngine, 1, 300, 2, -600}}, true, kNow);
	EXPECT_EQ(table.rejectedRows, rows.size());
	EXPECT_GT(firstTokenFactor(table, kEngine, kNow), 1.0);
	EXPECT_EQ(speedRowsFor(table, 2, kNow + kSecond / 2).size(), 1u);
}

// Guards against memory that a peer can fill with upstreams that do not exist.
TEST(EngineSpeed, TheNumberOfUpstreamsThatANeighbourNamesIsBounded)
{
	EngineSpeedTable table;
	for (uint32_t ii = 0; ii < 30000; ++ii)
	{
		applySpeedRows(table, 1, {{ii, 1, 100, 0, 0}}, false, kNow);
	}
	EXPECT_LE(table.speeds.size(), 10000u);
	EXPECT_EQ(table.rejectedRows + table.speeds.size(), 30000u);
}

TEST(EngineSpeed, AnUpstreamIsReportedOnceWhenItBecomesSlowAndOnceWhenItReturns)
{
	EngineSpeedTable table;
	for (int ii = 0; ii < 20; ++ii)
	{
		recordFirstTokenRatio(table, kEngine, 100.0, 600.0, kNow);
	}
	const std::vector<SpeedChange> slow = takeSpeedChanges(table, kNow);
	ASSERT_EQ(slow.size(), 1u);
	EXPECT_TRUE(slow[0].slow);
	EXPECT_EQ(slow[0].upstream, kEngine);
	EXPECT_EQ(countSlow(table), 1u);
	size_t returns = 0;
	for (TimeUs now = kNow; now < kNow + 15 * kSecond; now += kSecond / 10)
	{
		for (const SpeedChange& change : takeSpeedChanges(table, now))
		{
			EXPECT_FALSE(change.slow);
			++returns;
		}
		expireSpeeds(table, now);
	}
	EXPECT_EQ(returns, 1u);
	EXPECT_EQ(countSlow(table), 0u);
}

// Guards against samples that are lost or counted twice on the way through the tree.
TEST(EngineSpeed, EachRouterGetsEachSampleOnce)
{
	for (const size_t routers : {1u, 27u, 400u})
	{
		SpeedTree tree(routers);
		uint64_t samples = 0;
		TimeUs now = kNow;
		for (int ping = 0; ping < 200; ++ping)
		{
			now += engine_replay::kPingPeriod;
			for (size_t ii = 0; ping < 50 && ii < routers; ii += 5)
			{
				recordFirstTokenRatio(tree.at(ii), kEngine, 100.0, 400.0, now);
				++samples;
			}
			tree.exchange(now);
		}
		for (size_t ii = 0; ii < routers; ++ii)
		{
			const uint64_t own = ii % 5 == 0 ? 50 : 0;
			EXPECT_EQ(tree.received(ii) + own, samples) << "router " << ii << " of " << routers;
		}
	}
}

// Guards against routers that learn too late of an engine that others have found slow.
TEST(EngineSpeed, AllRoutersKnowASlowEngineWithinTwoSeconds)
{
	SpeedTree tree(400);
	const TimeUs end = kNow + 2 * kSecond;
	for (TimeUs now = kNow; now < end; now += engine_replay::kPingPeriod)
	{
		recordFirstTokenRatio(tree.at(399), kEngine, 100.0, 600.0, now);
		tree.exchange(now);
	}
	for (size_t ii = 0; ii < 400; ++ii)
	{
		EXPECT_GT(firstTokenFactor(tree.at(ii), kEngine, end), 2.0) << ii;
	}
}

// Guards against messages that grow with the fleet: 24 engines answer 30 requests a second each, whatever
// the number of routers that pass them on.
TEST(EngineSpeed, BytesOnALinkDoNotGrowWithTheNumberOfRouters)
{
	std::map<size_t, size_t> bytes;
	for (const size_t routers : {2u, 27u, 400u})
	{
		SpeedTree tree(routers);
		Random random{routers};
		TimeUs now = kNow;
		constexpr int kPings = 200; // Of 60 ms.
		for (int ping = 0; ping < kPings; ++ping)
		{
			now += engine_replay::kPingPeriod;
			for (int ii = 0; ii < 24 * 30 * 60 / 1000; ++ii)
			{
				EngineSpeedTable& table = tree.at(nextRandom(random) % routers);
				const auto engine = UpstreamKey(1000000u + nextRandom(random) % 24);
				recordFirstTokenRatio(table, engine, 100.0, 100.0 + 300.0 * nextUnit(random), now);
				recordTokenTime(table, engine, "llm m", 5.0 + 20.0 * nextUnit(random), now);
			}
			tree.exchange(now);
		}
		bytes[routers] = tree.busiestLinkBytes();
		EXPECT_LE(tree.largestMessage(), 24u);
		std::cout << fmt::format("{} routers: busiest link {:.0f} B/s\n", routers,
								 double(bytes[routers]) / (kPings * 0.06));
	}
	EXPECT_LE(bytes[27], bytes[2] * 1.1);
	EXPECT_LE(bytes[400], bytes[27] * 1.1);
}

// Guards against samples that circulate in a ring of routers for ever.
TEST(EngineSpeed, ARingOfRoutersDoesNotPassSamplesOn)
{
	std::vector<EngineSpeedTable> ring(3);
	const auto exchange = [&](TimeUs _now) {
		size_t rows = 0;
		for (size_t ii = 0; ii < ring.size(); ++ii)
		{
			const size_t parent = (ii + 1) % ring.size();
			const std::vector<SpeedRow> up = speedRowsFor(ring[ii], kParentNeighbour, _now);
			applySpeedRows(ring[parent], 1, up, false, _now);
			const std::vector<SpeedRow> down = speedRowsFor(ring[parent], 1, _now);
			applySpeedRows(ring[ii], kParentNeighbour, down, false, _now);
			rows += up.size() + down.size();
		}
		return rows;
	};
	exchange(kNow);
	recordFirstTokenRatio(ring[0], kEngine, 100.0, 500.0, kNow);
	size_t rows = 0;
	for (int ping = 1; ping <= 100; ++ping)
	{
		rows += exchange(kNow + ping * engine_replay::kPingPeriod);
	}
	EXPECT_EQ(rows, 2u) << "to each of its neighbours once";
	EXPECT_LT(firstTokenFactor(ring[1], kEngine, kNow + 6 * kSecond), 1.1);
}

// Guards against samples of long ago that a new parent would take for new ones.
TEST(EngineSpeed, SamplesForANeighbourThatIsNotReachedAreDropped)
{
	EngineSpeedTable table;
	recordFirstTokenRatio(table, kEngine, 100.0, 500.0, kNow);
	EXPECT_TRUE(speedRowsFor(table, kParentNeighbour, kNow).empty()) << "before there was a parent";
	recordFirstTokenRatio(table, kEngine, 100.0, 500.0, kNow);
	EXPECT_TRUE(speedRowsFor(table, kParentNeighbour, kNow + 5 * kSecond).empty());
	recordFirstTokenRatio(table, kEngine, 100.0, 500.0, kNow + 5 * kSecond);
	EXPECT_EQ(speedRowsFor(table, kParentNeighbour, kNow + 5 * kSecond).size(), 1u);
}

/// Two engines of a service in one hall, and queries to them.
struct EngineSpeedChoice : testing::Test
{
	EngineSpeedChoice()
	{
		table.receivesPeerUpdates = true;
		for (const char* id : {"fast", "slow"})
		{
			UpstreamRecord record;
			record.id = id;
			record.service = "llm";
			registerUpstream(table, record);
		}
		query.service = "llm";
		query.model = "m";
		query.shared = {{42, 3000}};
		query.ownTokens = 500;
		query.bySpeed = true;
		recordPeerHome(table, {42, keyOf("slow")}, kNow);
	}

	std::string pick()
	{
		return table.entries.at(pickDirectUpstream(table, query, kNow, random).idx).record.id;
	}

	UpstreamTable table;
	UpstreamQuery query;
	Random random;
};

// Guards against a long answer at an engine that takes four times as long for each token.
TEST_F(EngineSpeedChoice, TheTimeOfTheAnswersTokensOutweighsACachedPart)
{
	EXPECT_EQ(pick(), "slow") << "it has cached the prompt";
	for (int ii = 0; ii < 20; ++ii)
	{
		recordTokenTime(table.speeds, keyOf("fast"), "llm m", 5.0, kNow);
		recordTokenTime(table.speeds, keyOf("slow"), "llm m", 20.0, kNow);
	}
	query.answerTokens = 5.0;
	EXPECT_EQ(pick(), "slow") << "the answer is short";
	query.answerTokens = 300.0;
	EXPECT_EQ(pick(), "slow") << "all routers would move to the fast engine";
	query.answerTokens = 3000.0;
	EXPECT_EQ(pick(), "fast");
	query.bySpeed = false;
	EXPECT_EQ(pick(), "slow");
}

// Guards against time-outs that give up a slow engine before its usual time: the prompt would be read twice.
TEST_F(EngineSpeedChoice, ExpectedTimesFollowTheMeasuredSpeed)
{
	const UpstreamId slow{table.idxOfId.at("slow")};
	const double before = expectedFirstTokenMs(table, query, slow, kNow);
	const double uncached = uncachedFirstTokenMs(table, query, slow, kNow);
	const double mean = meanFirstTokenMs(table, query, slow, kNow);
	EXPECT_EQ(before, mean);
	table.entries.at(slow.idx).prefillMs = 50.0;
	const double wait = expectedWaitMs(table, query, slow, kNow);
	for (int ii = 0; ii < 20; ++ii)
	{
		recordFirstTokenRatio(table.speeds, keyOf("slow"), 100.0, 400.0, kNow);
	}
	EXPECT_NEAR(expectedWaitMs(table, query, slow, kNow), wait * 3.5, wait * 0.5);
	table.entries.at(slow.idx).prefillMs = 0.0;
	EXPECT_NEAR(expectedFirstTokenMs(table, query, slow, kNow), before * 3.5, before * 0.5);
	EXPECT_NEAR(uncachedFirstTokenMs(table, query, slow, kNow), uncached * 3.5, uncached * 0.5);
	EXPECT_EQ(meanFirstTokenMs(table, query, slow, kNow), mean);
}

// Guards against fast engines that get more requests than they have slots, while their queue is not counted.
TEST_F(EngineSpeedChoice, AWaitForASlotIsPartOfTheExpectedTime)
{
	recordTokenTime(table.speeds, keyOf("slow"), "llm m", 10.0, kNow);
	const UpstreamId slow{table.idxOfId.at("slow")};
	query.answerTokens = 200.0;
	query.slots = 8;
	table.entries.at(slow.idx).others.inFlight = 7;
	const double free = expectedFirstTokenMs(table, query, slow, kNow);
	table.entries.at(slow.idx).others.inFlight = 11;
	EXPECT_NEAR(expectedFirstTokenMs(table, query, slow, kNow) - free, 4.0 / 8.0 * 2000.0, 5.0);
	query.bySpeed = false;
	EXPECT_LT(expectedFirstTokenMs(table, query, slow, kNow), free);
}
} // namespace
} // namespace spanplank
