/// Billing ledger: each bill counts once, whoever flushes it and however often.
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

/// A run of sequence numbers, both ends included.
struct SeqRange
{
	uint64_t first = 0;
	uint64_t last = 0;
};

/// What the store keeps for one owner. Written by compare-and-swap only.
struct BillingLedger
{
	std::string owner;
	std::vector<SeqRange> counted; ///< Billed or void. Sorted, apart from one another.
	uint64_t billed = 0;
	std::map<std::string, std::map<std::string, BillTotal>> totals; ///< Account, then version or service.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BillTotal, requests, promptTokens, outputTokens, cost)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SeqRange, first, last)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BillingLedger, owner, counted, billed, totals)

/// @returns Whether a sequence number is billed or void.
bool isCounted(const BillingLedger& _ledger, uint64_t _seq);

/// Adds the bills that are not yet in it. @returns How many were added.
/// @throws Failure(Internal) if a bill is of another owner.
size_t addBills(BillingLedger& _ledger, absl::Span<const Bill> _bills);

/// Closes sequence numbers under which nothing is to be billed, now or later.
void addVoids(BillingLedger& _ledger, absl::Span<const uint64_t> _seqs);

/// Bills on their way to the store, in one process.
struct BillBook
{
	std::map<std::string, std::map<uint64_t, Bill>> bills; ///< By owner, then sequence number.
	std::map<std::string, std::vector<uint64_t>> voids;    ///< By owner.
	size_t count = 0;
};

/// Keeps a bill until the ledger holds it. The first one under its number stands.
void keepBill(BillBook& _book, const Bill& _bill);

/// Marks a number that ended without a bill.
void keepVoid(BillBook& _book, const std::string& _owner, uint64_t _seq);

/// Drops what the ledger holds. @returns How many bills were dropped.
size_t dropBills(BillBook& _book, const std::string& _owner, absl::Span<const uint64_t> _seqs);

/// What one flush writes for one owner.
struct BillBatch
{
	std::vector<Bill> bills;
	std::vector<uint64_t> voids;
};

/// @returns All that waits for one owner.
BillBatch batchOf(const BillBook& _book, const std::string& _owner);

/// Drops a batch that the ledger holds now.
void dropBatch(BillBook& _book, const std::string& _owner, const BillBatch& _batch);
} // namespace spanplank

#endif // SPANPLANK_BILLING_H_HEADER_GUARD
