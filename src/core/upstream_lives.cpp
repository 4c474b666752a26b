/// Registrations of upstreams: when a life of one begins, goes and is forgotten.
#include "upstream_lives_p.h"

#include <fmt/format.h>
#include <set>
#include <vector>

#include "prompt_choice_p.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kForgetAfter = 30000 * kMsToUs;

/// An upstream is taken for cold until a moment, if its service has a bound for that.
void noteCold(const UpstreamTable& _table, UpstreamEntry& _entry, ColdCause _cause, TimeUs _until)
{
	if (coldServiceOf(_table, _entry.record.service) != nullptr)
	{
		noteCold(_entry.cold, _cause, _until);
	}
}

/// What is known of an upstream ends with its life. Its entry stays for what is still in flight there.
void endLife(UpstreamTable& _table, const std::string& _id, TimeUs _now)
{
	const uint32_t idx = _table.idxOfId.at(_id);
	UpstreamEntry& entry = _table.entries.at(idx);
	entry.record.leaving = true;
	entry.goneAt = entry.registered ? _now : entry.goneAt;
	entry.registered = false;
	entry.lapse = {};
	_table.idxOfId.erase(_id);
}

template <typename Map, typename Key>
void eraseIf(Map& _map, const Key& _key, uint32_t _idx)
{
	const auto found = _map.find(_key);
	if (found != _map.end() && found->second == _idx)
	{
		_map.erase(found);
	}
}
} // namespace

UpstreamKey keyOf(std::string_view _id, uint64_t _born)
{
	return UpstreamKey(stableHash(_id, _born));
}

std::string lifeName(const UpstreamRecord& _record)
{
	return _record.born == 0 ? _record.id : fmt::format("{}@{}", _record.id, _record.born);
}

LifeOrder lifeOrder(const UpstreamTable& _table, const UpstreamRecord& _record)
{
	const UpstreamId known = currentLife(_table, _record.id);
	if (!isValid(known))
	{
		return LifeOrder::First;
	}
	const UpstreamRecord& before = _table.entries.at(known.idx).record;
	const uint64_t born = before.born;
	const bool firstTold = born == 0 && !before.leaving; // One that leaves does not begin to tell it.
	if (born == _record.born || firstTold || _record.born == 0)
	{
		return LifeOrder::Same;
	}
	return _record.born > born ? LifeOrder::Newer : LifeOrder::Older;
}

UpstreamId currentLife(const UpstreamTable& _table, const std::string& _id)
{
	const auto known = _table.idxOfId.find(_id);
	return known == _table.idxOfId.end() ? UpstreamId{} : UpstreamId{known->second};
}

UpstreamId registerUpstream(UpstreamTable& _table, const UpstreamRecord& _record, TimeUs _now)
{
	const LifeOrder order = lifeOrder(_table, _record);
	if (order == LifeOrder::Older)
	{
		return currentLife(_table, _record.id);
	}
	if (order == LifeOrder::Newer)
	{
		endLife(_table, _record.id, _now);
	}
	const auto [known, fresh] = _table.idxOfId.try_emplace(_record.id, _table.nextIdx);
	if (fresh)
	{
		++_table.nextIdx;
	}
	UpstreamEntry& entry = _table.entries[known->second];
	// The same record read again, by a list, says nothing new: its upstream may be warm by now.
	const bool isNews = _record.revision == 0 || _record.revision != entry.record.revision;
	const bool leaving =
		entry.record.leaving; // An upstream that leaves does not come back, but by a new start.
	const uint64_t born = _record.born != 0 ? _record.born : entry.record.born;
	entry.record = _record;
	entry.record.born = born;
	entry.key = keyOf(_record.id, born);
	_table.idxOfKey[entry.key] = known->second;
	entry.record.leaving = _record.leaving || leaving;
	entry.registered = true;
	entry.goneAt = 0;
	entry.lapse = {};
	if (isNews && _record.coldMs > 0)
	{
		noteCold(_table, entry, ColdCause::Told, _now + TimeUs(_record.coldMs) * kMsToUs);
	}
	return UpstreamId{known->second};
}

void unregisterUpstream(UpstreamTable& _table, const std::string& _id, TimeUs _now)
{
	const auto known = _table.idxOfId.find(_id);
	if (known == _table.idxOfId.end())
	{
		return;
	}
	UpstreamEntry& entry = _table.entries.at(known->second);
	if (!entry.registered)
	{
		return;
	}
	entry.registered = false;
	entry.goneAt = _now;
	entry.lapse = assessRemoval(_table.contact, _now);
}

std::vector<uint32_t> replaceRegistrations(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records,
										   TimeUs _now)
{
	for (const UpstreamRecord& record : _records)
	{
		registerUpstream(_table, record, _now);
	}
	return unregisterOthers(_table, _records, _now);
}

std::vector<uint32_t> unregisterOthers(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records,
									   TimeUs _now)
{
	std::set<std::string_view> listed;
	for (const UpstreamRecord& record : _records)
	{
		listed.insert(record.id);
	}
	std::vector<uint32_t> gone;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (entry.registered && listed.count(entry.record.id) == 0)
		{
			unregisterUpstream(_table, entry.record.id, _now);
			gone.push_back(idx);
		}
	}
	return gone;
}

void forgetGone(UpstreamTable& _table, TimeUs _now)
{
	forgetHomes(_table, _now);
	for (auto at = _table.entries.begin(); at != _table.entries.end();)
	{
		const UpstreamEntry& entry = at->second;
		const bool gone = !entry.registered && entry.inFlight == 0 && _now - entry.goneAt > kForgetAfter;
		if (gone)
		{
			eraseIf(_table.idxOfId, entry.record.id, at->first); // Another life may have the id by now.
			eraseIf(_table.idxOfKey, entry.key, at->first);
		}
		at = gone ? _table.entries.erase(at) : std::next(at);
	}
}
} // namespace spanplank
