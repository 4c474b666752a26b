/// Counting and putting together the usage of client accounts.
#include "spanplank/usage_ledger.h"

#include <algorithm>

namespace spanplank
{
uint64_t usageWindowOf(TimeUs _wall, TimeUs _length)
{
	return uint64_t(std::max<TimeUs>(0, _wall)) / uint64_t(_length);
}

void countUsage(UsageLedger& _ledger, const std::string& _account, uint64_t _window)
{
	UsageEntry& entry = _ledger.rows[{_window, _ledger.writer}];
	++entry.counts[_account];
	entry.order = ++_ledger.lastChange;
}

void takeUsage(UsageLedger& _ledger, absl::Span<const UsageRow> _rows)
{
	for (const UsageRow& row : _rows)
	{
		UsageEntry& entry = _ledger.rows[row.key];
		bool news = entry.order == 0;
		for (const auto& [account, count] : row.counts)
		{
			uint64_t& known = entry.counts[account];
			news = news || count > known;
			known = std::max(known, count);
		}
		if (news)
		{
			entry.order = ++_ledger.lastChange;
		}
	}
}

std::vector<UsageRow> usageNewsFor(const UsageLedger& _ledger, ToldUsage& _told, TimeUs _now)
{
	std::vector<UsageRow> news;
	if (_told.change == _ledger.lastChange || (_told.at != 0 && _now - _told.at < kUsageEvery))
	{
		return news;
	}
	for (const auto& [key, entry] : _ledger.rows)
	{
		if (entry.order > _told.change)
		{
			news.push_back({key, entry.counts});
		}
	}
	_told = {_ledger.lastChange, _now};
	return news;
}

AccountCounts usageOf(const UsageLedger& _ledger, uint64_t _window)
{
	AccountCounts sum;
	const auto end = _ledger.rows.lower_bound({_window + 1, 0});
	for (auto at = _ledger.rows.lower_bound({_window, 0}); at != end; ++at)
	{
		for (const auto& [account, count] : at->second.counts)
		{
			sum[account] += count;
		}
	}
	return sum;
}

void forgetUsage(UsageLedger& _ledger, uint64_t _newest)
{
	if (_newest > kUsageWindowsKept)
	{
		_ledger.rows.erase(_ledger.rows.begin(), _ledger.rows.lower_bound({_newest - kUsageWindowsKept, 0}));
	}
}
} // namespace spanplank
