/// Limits of upstreams in the table, and their updates between routers.
#include <algorithm>
#include <map>

#include "spanplank/upstream_table.h"

namespace spanplank
{
namespace
{
/// Numbers a change for the neighbours. @param[in] _versionBefore Version before the change.
void recordChange(UpstreamTable& _table, UpstreamEntry& _entry, LimitChange _change, uint32_t _versionBefore)
{
	if (_entry.limit.version != _versionBefore || _change != LimitChange::None)
	{
		_entry.limit.change = ++_table.limitChanges;
		_entry.limit.shareLogged = false;
	}
	if (_change == LimitChange::Stated)
	{
		_entry.pace.spacing = 0; // Until this router's share is known.
	}
}
} // namespace

LimitChange recordLimitAnswer(UpstreamTable& _table, UpstreamId _id, const LimitAnswer& _answer, TimeUs _now)
{
	const auto found = _table.entries.find(_id.idx);
	if (found == _table.entries.end())
	{
		return LimitChange::None;
	}
	const uint32_t before = found->second.limit.version;
	const LimitChange change = recordLimitAnswer(found->second.limit, _answer, _now);
	recordChange(_table, found->second, change, before);
	return change;
}

std::vector<LimitUpdate> limitUpdatesFor(const UpstreamTable& _table, uint64_t& _sent)
{
	std::vector<LimitUpdate> updates;
	if (_sent == _table.limitChanges)
	{
		return updates;
	}
	std::map<uint64_t, const UpstreamEntry*> byChange;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (entry.limit.change > _sent)
		{
			byChange.emplace(entry.limit.change, &entry);
		}
	}
	for (const auto& [change, entry] : byChange)
	{
		if (updates.size() == kMaxLimitUpdates)
		{
			return updates;
		}
		updates.push_back({entry->key, {entry->limit.version, entry->limit.perSecond}});
		_sent = change;
	}
	_sent = _table.limitChanges;
	return updates;
}

std::vector<AdoptedLimit> applyLimitUpdates(UpstreamTable& _table, absl::Span<const LimitUpdate> _updates,
											TimeUs _now)
{
	std::vector<AdoptedLimit> adopted;
	for (const LimitUpdate& update : _updates)
	{
		const auto known = _table.idxOfKey.find(update.upstream);
		if (known == _table.idxOfKey.end())
		{
			continue;
		}
		UpstreamEntry& entry = _table.entries.at(known->second);
		const std::optional<double> before = entry.limit.perSecond;
		const uint32_t versionBefore = entry.limit.version;
		const LimitChange change = adoptLimit(entry.limit, update.limit, _now);
		recordChange(_table, entry, change, versionBefore);
		if (change != LimitChange::None)
		{
			adopted.push_back({UpstreamId{known->second}, change, before});
		}
	}
	return adopted;
}
} // namespace spanplank
