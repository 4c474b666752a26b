/// Billing ledger: each number counts once, for any number of flushing processes and lost answers.
#include "spanplank/billing.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>

namespace spanplank
{
namespace
{
Bill billOf(uint64_t _seq)
{
	Bill bill;
	bill.owner = "router.1";
	bill.seq = _seq;
	bill.account = _seq % 2 == 0 ? "even" : "odd";
	bill.what = "model@1";
	bill.outputTokens = uint32_t(_seq);
	return bill;
}

uint64_t requestsIn(const BillingLedger& _ledger)
{
	uint64_t requests = 0;
	for (const auto& [account, rows] : _ledger.totals)
	{
		for (const auto& [what, total] : rows)
		{
			requests += total.requests;
		}
	}
	return requests;
}

TEST(BillingLedger, EqualsASetWhateverTheBatches)
{
	const bool held = rc::check("counted once", [](const std::vector<std::vector<uint8_t>>& _batches) {
		BillingLedger ledger;
		ledger.owner = "router.1";
		std::set<uint64_t> billed; // Reference model: a set of numbers.
		std::set<uint64_t> voided;
		for (size_t ii = 0; ii < _batches.size(); ++ii)
		{
			std::vector<Bill> bills;
			std::vector<uint64_t> voids;
			for (const uint8_t number : _batches[ii])
			{
				const uint64_t seq = uint64_t(number) + 1;
				if (ii % 3 == 2)
				{
					voids.push_back(seq);
				}
				else
				{
					bills.push_back(billOf(seq));
				}
			}
			addBills(ledger, bills);
			addVoids(ledger, voids);
			for (const Bill& bill : bills)
			{
				if (voided.count(bill.seq) == 0)
				{
					billed.insert(bill.seq);
				}
			}
			for (const uint64_t seq : voids)
			{
				if (billed.count(seq) == 0)
				{
					voided.insert(seq);
				}
			}
		}
		RC_ASSERT(requestsIn(ledger) == billed.size());
		RC_ASSERT(ledger.billed == billed.size());
		for (uint64_t seq = 1; seq <= 256; ++seq)
		{
			RC_ASSERT(isCounted(ledger, seq) == (billed.count(seq) + voided.count(seq) > 0));
		}
		for (size_t ii = 1; ii < ledger.counted.size(); ++ii)
		{
			RC_ASSERT(ledger.counted[ii - 1].last + 1 < ledger.counted[ii].first);
		}
	});
	EXPECT_TRUE(held);
}

TEST(BillingLedger, RefusesAnotherOwnersBill)
{
	BillingLedger ledger;
	ledger.owner = "router.2";
	EXPECT_THROW(addBills(ledger, {billOf(1)}), Failure);
}

TEST(BillBook, BatchLeavesWhatCameLater)
{
	BillTable bills;
	retainBill(bills, billOf(1));
	retainVoid(bills, "router.1", 2);
	const BillBatch batch = pendingBatch(bills, "router.1");
	retainBill(bills, billOf(3));
	retainVoid(bills, "router.1", 4);
	dropBatch(bills, "router.1", batch);
	const BillBatch rest = pendingBatch(bills, "router.1");
	ASSERT_EQ(rest.bills.size(), 1u);
	EXPECT_EQ(rest.bills[0].seq, 3u);
	EXPECT_EQ(rest.voids, std::vector<uint64_t>{4});
	EXPECT_EQ(bills.count, 1u);
}

TEST(BillBook, FirstBillUnderANumberStands)
{
	BillTable bills;
	retainBill(bills, billOf(5));
	Bill second = billOf(5);
	second.outputTokens = 99;
	retainBill(bills, second);
	EXPECT_EQ(bills.count, 1u);
	EXPECT_EQ(pendingBatch(bills, "router.1").bills[0].outputTokens, 5u);
}
} // namespace
} // namespace spanplank
