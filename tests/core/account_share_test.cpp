/// Fair shares of client accounts over routers that report their use along a tree.
#include "room_fleet.h"

#include <gtest/gtest.h>
#include <map>

namespace spanplank
{
namespace
{
constexpr size_t kAccounts = 24;
constexpr size_t kEngines = 4;
constexpr uint32_t kSlots = 32;
constexpr double kWorkMs = 1000.0;
/// Of all accounts at their usual rates, as a share of the capacity.
constexpr double kUsualLoad = 0.75;

struct ShareResult
{
	double othersP90 = 0.0;    ///< Time to the first byte of the other accounts' requests, ms.
	double othersServed = 0.0; ///< Share of their requests.
	size_t waited = 0;
	size_t refused = 0;
	double busy = 0.0;      ///< Mean share of running slots in the second half.
	double largePart = 0.0; ///< Part of the large account in what was served.
};

/// 24 accounts of which the first sends at a multiple of the others' rate, for 10 s.
ShareResult runAccounts(size_t _routers, double _times, bool _sharesOn, double _usualLoad = kUsualLoad)
{
	RoomFleet fleet(_routers, std::vector<SimUpstream>(kEngines, SimUpstream{kSlots}));
	fleet.sharesOn = _sharesOn;
	fleet.kvTokens = 400000;
	fleet.targetMs = 1000.0;
	fleet.deadlineMs = 8000.0;
	const double capacity = double(kEngines * kSlots) / kWorkMs * 1000.0;
	const double perAccount = _usualLoad * capacity / double(kAccounts);
	double busy = 0.0;
	size_t steps = 0;
	fleet.run(10000.0, [&] {
		for (size_t account = 0; account < kAccounts; ++account)
		{
			const double rate = perAccount * (account == 0 ? _times : 1.0);
			for (size_t left = fleet.arrivals(rate); left > 0; --left)
			{
				SimRequest request;
				request.router = size_t(fleet.between(0.0, double(_routers)));
				request.account = std::to_string(account);
				request.workMs = fleet.between(0.5, 1.5) * kWorkMs;
				request.tokens = uint32_t(fleet.between(6000.0, 10000.0));
				request.subject = uint64_t(fleet.between(1.0, 40.0));
				fleet.arrive(request);
			}
		}
		busy += 1.0 - fleet.freeShare();
		++steps;
	});
	fleet.run(9000.0, [] {});
	ShareResult result;
	std::vector<double> starts;
	double served = 0.0;
	double large = 0.0;
	double others = 0.0;
	for (const SimRequest& request : fleet.requests)
	{
		const bool answered = request.state == SimState::Served;
		result.waited += request.waited ? 1 : 0;
		result.refused += request.state == SimState::Refused ? 1 : 0;
		served += answered ? 1.0 : 0.0;
		if (request.account == "0")
		{
			large += answered ? 1.0 : 0.0;
			continue;
		}
		others += 1.0;
		result.othersServed += answered ? 1.0 : 0.0;
		// A refused request counts as one that is never answered.
		starts.push_back(answered ? double(request.startedAt - request.arrivedAt) / double(kMsToUs) +
										0.4 * request.workMs
								  : fleet.deadlineMs);
	}
	std::sort(starts.begin(), starts.end());
	result.othersP90 = starts[starts.size() * 9 / 10];
	result.othersServed /= others;
	result.busy = busy / double(steps);
	result.largePart = large / served;
	return result;
}

struct AccountReplay : testing::TestWithParam<size_t>
{
};

// Without shares a third of the others' requests are refused, and the large account gets 46 of 100 answers.
TEST_P(AccountReplay, AnAccountAboveItsPartLeavesTheOthersTheirs)
{
	const double without = runAccounts(GetParam(), 0.0, true).othersP90;
	for (double times : {6.0, 20.0})
	{
		const ShareResult result = runAccounts(GetParam(), times, true);
		EXPECT_LE(result.othersP90, 1.25 * without) << times << " times its rate";
		EXPECT_GE(result.othersServed, 0.95) << times << " times its rate";
	}
	EXPECT_LT(runAccounts(GetParam(), 20.0, false).othersServed, 0.8) << "without shares";
}

// A hold at equal parts would leave the rest of the engines idle.
TEST_P(AccountReplay, AnAccountAboveItsPartGetsWhatTheOthersLeave)
{
	const ShareResult result = runAccounts(GetParam(), 20.0, true);
	const ShareResult open = runAccounts(GetParam(), 20.0, false);
	EXPECT_GE(result.busy, 0.95 * open.busy);
	EXPECT_GT(result.largePart, 0.2);
}

TEST_P(AccountReplay, AFreeServiceHoldsNobody)
{
	const ShareResult result = runAccounts(GetParam(), 6.0, true, 0.4);
	EXPECT_EQ(result.waited, 0u);
	EXPECT_EQ(result.refused, 0u);
	const ShareResult usual = runAccounts(GetParam(), 1.0, true);
	EXPECT_EQ(usual.refused, 0u);
}

INSTANTIATE_TEST_SUITE_P(Routers, AccountReplay, testing::Values(3, 9, 27));

constexpr TimeUs kNow = 5000 * kMsToUs;
const AccountKey kTown = accountKeyOf("app", "town");
const AccountKey kFarm = accountKeyOf("app", "farm");

void begin(AccountShares& _shares, AccountKey _account, size_t _count)
{
	for (size_t ii = 0; ii < _count; ++ii)
	{
		recordAccountBegin(_shares, _account, 0);
	}
}

TEST(AccountShare, PartsThatAreNotUsedAreLentToOthers)
{
	AccountShares shares;
	begin(shares, kTown, 10);
	begin(shares, kFarm, 2);
	refreshAccounts(shares, kNow);
	ServiceUse use;
	use.requests = 12.0;
	EXPECT_LE(accountExcess(shares, kTown, use, false), 1.0) << "nothing waits";
	use.requests = 6.0;
	EXPECT_DOUBLE_EQ(accountExcess(shares, kTown, use, false), 10.0 / 4.0) << "6 less the 2 of the other";
	EXPECT_LE(accountExcess(shares, kFarm, use, false), 1.0);
}

TEST(AccountShare, AServiceWithOneAccountHoldsItToNothing)
{
	AccountShares shares;
	begin(shares, kTown, 10);
	refreshAccounts(shares, kNow);
	ServiceUse use;
	use.requests = 4.0;
	EXPECT_LE(accountExcess(shares, kTown, use, false), 1.0);
}

TEST(AccountShare, ServicesAreCountedApart)
{
	AccountShares shares;
	begin(shares, accountKeyOf("llm", "town"), 50);
	begin(shares, kTown, 3);
	begin(shares, kFarm, 3);
	refreshAccounts(shares, kNow);
	ServiceUse use;
	use.requests = 3.0;
	EXPECT_LE(accountExcess(shares, kTown, use, false), 1.0);
	EXPECT_EQ(shares.demands.size(), 2u);
}

/// A child whose parent has reported ten waiting requests of an account.
struct Follower : testing::Test
{
	AccountShares shares;

	Follower()
	{
		applyLoads(shares.loads, shares.loads.parent, {LoadChange{kTown, {0, 10, 0}}}, kNow);
		refreshAccounts(shares, kNow);
		EXPECT_DOUBLE_EQ(waiting(), 10.0);
	}

	double waiting() const
	{
		return waitingElsewhere(shares, serviceAccountsKey("app"), {}).all;
	}
};

TEST_F(Follower, ForgetsTheAccountsOfARouterThatIsLostOrCutOff)
{
	refreshAccounts(shares, kNow + kLoadLifetime);
	EXPECT_DOUBLE_EQ(waiting(), 0.0);
}

TEST_F(Follower, CountsNothingTwiceAfterAChangeOfItsParent)
{
	removeLoads(shares.loads, shares.loads.parent);
	applyLoads(shares.loads, shares.loads.parent, {LoadChange{kTown, {0, 10, 0}}}, kNow);
	refreshAccounts(shares, kNow);
	EXPECT_DOUBLE_EQ(waiting(), 10.0);
}

// Two routers that follow each other would otherwise add up each other's counts with each exchange.
TEST_F(Follower, InARingTellsItsParentOnlyItsOwnAccounts)
{
	begin(shares, kFarm, 1);
	shares.loads.isolated = true;
	applyLoads(shares.loads, shares.loads.children[1], {LoadChange{kTown, {0, 7, 0}}}, kNow);
	refreshAccounts(shares, kNow);
	const std::vector<LoadChange> told = loadChangesFor(shares.loads, shares.loads.parent);
	ASSERT_EQ(told.size(), 1u);
	EXPECT_EQ(told[0].upstream, kFarm);
}

TEST(AccountShare, ABlankRouterHoldsNobody)
{
	AccountShares shares;
	EXPECT_LE(accountExcess(shares, kTown, {}, false), 1.0);
	EXPECT_DOUBLE_EQ(waitingElsewhere(shares, serviceAccountsKey("app"), {}).all, 0.0);
}

TEST(AccountShare, EndsWithoutABeginChangeNothing)
{
	AccountShares shares;
	recordAccountEnd(shares, kTown, 5);
	refreshAccounts(shares, kNow);
	EXPECT_TRUE(shares.demands.empty());
}
} // namespace
} // namespace spanplank
