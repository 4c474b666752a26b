/// Counting and merging of the usage of client accounts.
#include "spanplank/usage_ledger.h"

#include <algorithm>

namespace spanplank
{
uint64_t usageWindowAt(TimeUs _wall, TimeUs _length)
{
	return uint64_t(std::max<TimeUs>(0, _wall)) / uint64_t(_length);
}

void countUsage(UsageLedger& _ledger, const std::string& _account, uint64_t _window)
{
	UsageEntry& entry = _ledger.rows[{_window, _ledger.writer}];
	++entry.counts[_account];
	entry.changeNumber = ++_ledger.lastChange;
}

void applyUsage(UsageLedger& _ledger, absl::Span<const UsageRow> _rows)
{
	for (const UsageRow& row : _rows)
	{
		UsageEntry& entry = _ledger.rows[row.key];
		bool changed = entry.changeNumber == 0;
		for (const auto& [account, count] : row.counts)
		{
			uint64_t& merged = entry.counts[account];
			changed = changed || count > merged;
			merged = std::max(merged, count);
		}
		if (changed)
		{
			entry.changeNumber = ++_ledger.lastChange;
		}
	}
}

std::vector<UsageRow> usageUpdateFor(const UsageLedger& _ledger, SentUsage& _sent, TimeUs _now)
{
	std::vector<UsageRow> update;
	if (_sent.change == _ledger.lastChange || (_sent.at != 0 && _now - _sent.at < kUsageUpdateIntervalUs))
	{
		return update;
	}
	for (const auto& [key, entry] : _ledger.rows)
	{
		if (entry.changeNumber > _sent.change)
		{
			update.push_back({key, entry.counts});
		}
	}
	_sent = {_ledger.lastChange, _now};
	return update;
}

AccountCounts totalUsage(const UsageLedger& _ledger, uint64_t _window)
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

void expireUsage(UsageLedger& _ledger, uint64_t _newest)
{
	if (_newest > kUsageWindowsRetained)
	{
		_ledger.rows.erase(_ledger.rows.begin(),
						   _ledger.rows.lower_bound({_newest - kUsageWindowsRetained, 0}));
	}
}
} // namespace spanplank
