#include "spanplank/billing.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// Inserts a number that is in none of the ranges, and merges adjacent ranges.
void insertSeq(std::vector<SeqRange>& _ranges, uint64_t _seq)
{
	auto next =
		std::lower_bound(_ranges.begin(), _ranges.end(), _seq,
						 [](const SeqRange& _range, uint64_t _value) { return _range.last < _value; });
	const bool joinsNext = next != _ranges.end() && next->first == _seq + 1;
	const bool joinsPrevious = next != _ranges.begin() && std::prev(next)->last + 1 == _seq;
	if (joinsPrevious && joinsNext)
	{
		std::prev(next)->last = next->last;
		_ranges.erase(next);
	}
	else if (joinsPrevious)
	{
		std::prev(next)->last = _seq;
	}
	else if (joinsNext)
	{
		next->first = _seq;
	}
	else
	{
		_ranges.insert(next, SeqRange{_seq, _seq});
	}
}
} // namespace

bool isCounted(const BillingLedger& _ledger, uint64_t _seq)
{
	const auto range =
		std::lower_bound(_ledger.counted.begin(), _ledger.counted.end(), _seq,
						 [](const SeqRange& _range, uint64_t _value) { return _range.last < _value; });
	return range != _ledger.counted.end() && range->first <= _seq;
}

size_t addBills(BillingLedger& _ledger, absl::Span<const Bill> _bills)
{
	size_t added = 0;
	for (const Bill& bill : _bills)
	{
		if (bill.owner != _ledger.owner)
		{
			throw Failure(ErrorCode::Internal, "the bill belongs to another owner");
		}
		if (bill.seq == 0 || isCounted(_ledger, bill.seq))
		{
			continue;
		}
		insertSeq(_ledger.counted, bill.seq);
		BillTotal& total = _ledger.totals[bill.account][bill.what];
		++total.requests;
		total.promptTokens += bill.promptTokens;
		total.outputTokens += bill.outputTokens;
		total.cost += bill.cost;
		++_ledger.billed;
		++added;
	}
	return added;
}

void addVoids(BillingLedger& _ledger, absl::Span<const uint64_t> _seqs)
{
	for (const uint64_t seq : _seqs)
	{
		if (!isCounted(_ledger, seq))
		{
			insertSeq(_ledger.counted, seq);
		}
	}
}

void retainBill(BillTable& _bills, const Bill& _bill)
{
	if (_bill.seq != 0 && _bills.bills[_bill.owner].emplace(_bill.seq, _bill).second)
	{
		++_bills.count;
	}
}

void retainVoid(BillTable& _bills, const std::string& _owner, uint64_t _seq)
{
	_bills.voids[_owner].push_back(_seq);
}

size_t dropBills(BillTable& _bills, const std::string& _owner, absl::Span<const uint64_t> _seqs)
{
	const auto owned = _bills.bills.find(_owner);
	if (owned == _bills.bills.end())
	{
		return 0;
	}
	size_t dropped = 0;
	for (const uint64_t seq : _seqs)
	{
		dropped += owned->second.erase(seq);
	}
	if (owned->second.empty())
	{
		_bills.bills.erase(owned);
	}
	_bills.count -= dropped;
	return dropped;
}

BillBatch pendingBatch(const BillTable& _bills, const std::string& _owner)
{
	BillBatch batch;
	const auto owned = _bills.bills.find(_owner);
	if (owned != _bills.bills.end())
	{
		for (const auto& [seq, bill] : owned->second)
		{
			batch.bills.push_back(bill);
		}
	}
	const auto voids = _bills.voids.find(_owner);
	if (voids != _bills.voids.end())
	{
		batch.voids = voids->second;
	}
	return batch;
}

void dropBatch(BillTable& _bills, const std::string& _owner, const BillBatch& _batch)
{
	std::vector<uint64_t> seqs;
	seqs.reserve(_batch.bills.size());
	for (const Bill& bill : _batch.bills)
	{
		seqs.push_back(bill.seq);
	}
	dropBills(_bills, _owner, seqs);
	const auto voids = _bills.voids.find(_owner);
	if (voids == _bills.voids.end())
	{
		return;
	}
	voids->second.erase(voids->second.begin(), voids->second.begin() + std::ptrdiff_t(_batch.voids.size()));
	if (voids->second.empty())
	{
		_bills.voids.erase(voids);
	}
}
} // namespace spanplank
