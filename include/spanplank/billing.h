/// Billing ledger: each bill is counted once, regardless of which process flushes it and how often.
#ifndef SPANPLANK_BILLING_H_HEADER_GUARD
#define SPANPLANK_BILLING_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "spanplank/messages.h"

namespace spanplank
{
/// Totals of one account for one version or service.
struct BillTotal
{
	uint64_t requests = 0;
	uint64_t promptTokens = 0;
	uint64_t outputTokens = 0;
	double cost = 0.0;
};

/// A range of sequence numbers, both ends inclusive.
struct SeqRange
{
	uint64_t first = 0;
	uint64_t last = 0;
};

/// The ledger of one owner in the store. Written by compare-and-swap only.
struct BillingLedger
{
	std::string owner; ///< Process that assigned the sequence numbers.
	std::vector<SeqRange>
		counted;         ///< Numbers that are billed or void. Sorted, neither overlapping nor adjacent.
	uint64_t billed = 0; ///< Number of bills.
	std::map<std::string, std::map<std::string, BillTotal>> totals; ///< By account, then version or service.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BillTotal, requests, promptTokens, outputTokens, cost)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SeqRange, first, last)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BillingLedger, owner, counted, billed, totals)

/// @returns Whether a sequence number is billed or void.
bool isCounted(const BillingLedger& _ledger, uint64_t _seq);

/// Adds the bills whose numbers are not counted yet. @returns The number of bills added.
/// @throws Failure(Internal) if a bill belongs to another owner.
size_t addBills(BillingLedger& _ledger, absl::Span<const Bill> _bills);

/// Marks sequence numbers as void: bills with these numbers are not added any more.
void addVoids(BillingLedger& _ledger, absl::Span<const uint64_t> _seqs);

/// Bills and void numbers of one process that are not yet in the ledger.
struct BillTable
{
	std::map<std::string, std::map<uint64_t, Bill>> bills; ///< By owner, then sequence number.
	std::map<std::string, std::vector<uint64_t>> voids;    ///< By owner.
	size_t count = 0;                                      ///< Number of bills.
};

/// Retains a bill until the ledger holds it. A second bill with the same number is ignored.
void retainBill(BillTable& _bills, const Bill& _bill);

/// Records a sequence number whose request ended without a bill.
void retainVoid(BillTable& _bills, const std::string& _owner, uint64_t _seq);

/// Removes bills that the ledger holds. @returns The number of bills removed.
size_t dropBills(BillTable& _bills, const std::string& _owner, absl::Span<const uint64_t> _seqs);

/// Bills and void numbers of one owner that are flushed together.
struct BillBatch
{
	std::vector<Bill> bills;
	std::vector<uint64_t> voids;
};

/// @returns All bills and void numbers that are retained for one owner.
BillBatch pendingBatch(const BillTable& _bills, const std::string& _owner);

/// Removes a batch that the ledger holds. Entries added after the batch was made stay.
void dropBatch(BillTable& _bills, const std::string& _owner, const BillBatch& _batch);
} // namespace spanplank

#endif // SPANPLANK_BILLING_H_HEADER_GUARD
