/// Registrations of upstreams: start, end and removal of their incarnations.
#include "upstream_registrations_p.h"

#include <fmt/format.h>
#include <set>
#include <vector>

#include "prompt_choice_p.h"
#include "spanplank/store_position.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kRemoveAfter = 30000 * kMsToUs;

/// Treats an upstream as cold until a point in time if its service limits the rate of cold upstreams.
void markColdIfLimited(const UpstreamTable& _table, UpstreamEntry& _entry, ColdCause _cause, TimeUs _until)
{
	if (coldServiceOf(_table, _entry.record.service) != nullptr)
	{
		markCold(_entry.cold, _cause, _until);
	}
}

bool isDeregistered(const UpstreamEntry& _entry)
{
	return !_entry.registered && _entry.lapse.cause == RemovalCause::Deregistered;
}

bool isSameIncarnation(const UpstreamRecord& _known, const UpstreamRecord& _record)
{
	// A draining upstream does not start to report its start time.
	const bool firstReported = _known.startedAtMs == 0 && !_known.draining;
	return _known.startedAtMs == _record.startedAtMs || firstReported || _record.startedAtMs == 0;
}

/// Ends the current incarnation of an id. Its entry remains for the requests still in flight there.
void endIncarnation(UpstreamTable& _table, const std::string& _id, TimeUs _now)
{
	const uint32_t idx = _table.idxOfId.at(_id);
	UpstreamEntry& entry = _table.entries.at(idx);
	entry.leftBeforeRestart = entry.record.draining || isDeregistered(entry);
	entry.record.draining = true;
	entry.unregisteredAt = entry.registered ? _now : entry.unregisteredAt;
	entry.registered = false;
	entry.lapse = {};
	_table.idxOfId.erase(_id);
}

template <typename Map, typename Key>
void eraseIfMapped(Map& _map, const Key& _key, uint32_t _idx)
{
	const auto found = _map.find(_key);
	if (found != _map.end() && found->second == _idx)
	{
		_map.erase(found);
	}
}
} // namespace

UpstreamKey keyOf(std::string_view _id, uint64_t _startedAtMs)
{
	return UpstreamKey(stableHash(_id, _startedAtMs));
}

std::string incarnationName(const UpstreamRecord& _record)
{
	return _record.startedAtMs == 0 ? _record.id : fmt::format("{}@{}", _record.id, _record.startedAtMs);
}

IncarnationOrder incarnationOrder(const UpstreamTable& _table, const UpstreamRecord& _record)
{
	const UpstreamId known = currentIncarnation(_table, _record.id);
	if (!isValid(known))
	{
		return IncarnationOrder::First;
	}
	const UpstreamEntry& entry = _table.entries.at(known.idx);
	// The start only tells incarnations apart: it is a time of day, and the clock of a box may jump back
	// between two starts.
	const bool same = isSameIncarnation(entry.record, _record);
	const bool isKnown = _record.revision == entry.record.revision && (!same || isDeregistered(entry));
	if (_record.revision != 0 && (_record.revision < entry.record.revision || isKnown))
	{
		return IncarnationOrder::Older;
	}
	return same ? IncarnationOrder::Same : IncarnationOrder::Newer;
}

bool mayBeOutdated(const UpstreamTable& _table, const UpstreamRecord& _record)
{
	const UpstreamId known = currentIncarnation(_table, _record.id);
	if (!isValid(known))
	{
		return false;
	}
	const UpstreamEntry& entry = _table.entries.at(known.idx);
	if (isSameIncarnation(entry.record, _record))
	{
		return isDeregistered(entry);
	}
	return revisionOf(_record.revision) <= revisionOf(entry.record.revision);
}

bool rejectOutdated(UpstreamTable& _table, const UpstreamRecord& _record)
{
	UpstreamEntry& entry = _table.entries.at(currentIncarnation(_table, _record.id).idx);
	if (isDeregistered(entry))
	{
		entry.record.revision = _record.revision;
	}
	return isDeregistered(entry);
}

UpstreamId currentIncarnation(const UpstreamTable& _table, const std::string& _id)
{
	const auto known = _table.idxOfId.find(_id);
	return known == _table.idxOfId.end() ? UpstreamId{} : UpstreamId{known->second};
}

UpstreamId registerUpstream(UpstreamTable& _table, const UpstreamRecord& _record, TimeUs _now)
{
	const IncarnationOrder order = incarnationOrder(_table, _record);
	if (order == IncarnationOrder::Older)
	{
		return currentIncarnation(_table, _record.id);
	}
	if (order == IncarnationOrder::Newer)
	{
		endIncarnation(_table, _record.id, _now);
	}
	const auto [known, isNew] = _table.idxOfId.try_emplace(_record.id, _table.nextIdx);
	if (isNew)
	{
		++_table.nextIdx;
	}
	UpstreamEntry& entry = _table.entries[known->second];
	// A record that a list returns again does not extend the cold time: the upstream may be warm by now.
	const bool isNews = _record.revision == 0 || _record.revision != entry.record.revision;
	const bool draining = entry.record.draining;
	const bool reportsStart = _record.startedAtMs != 0 || entry.record.startedAtMs == 0;
	entry.recordsLeaving = entry.recordsLeaving || (_record.draining && reportsStart);
	const uint64_t startedAtMs = _record.startedAtMs != 0 ? _record.startedAtMs : entry.record.startedAtMs;
	entry.record = _record;
	entry.record.startedAtMs = startedAtMs;
	entry.key = keyOf(_record.id, startedAtMs);
	_table.idxOfKey[entry.key] = known->second;
	entry.record.draining =
		_record.draining || entry.recordsLeaving || entry.saysLeaving || (draining && !reportsStart);
	entry.registered = true;
	entry.unregisteredAt = 0;
	entry.lapse = {};
	if (isNews && _record.coldMs > 0)
	{
		markColdIfLimited(_table, entry, ColdCause::Reported, _now + TimeUs(_record.coldMs) * kMsToUs);
	}
	return UpstreamId{known->second};
}

bool recordLeaving(UpstreamTable& _table, UpstreamId _id)
{
	const auto found = _table.entries.find(_id.idx);
	if (found == _table.entries.end() || found->second.saysLeaving)
	{
		return false;
	}
	found->second.saysLeaving = true;
	found->second.record.draining = true;
	return true;
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
	entry.unregisteredAt = _now;
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

void removeGoneUpstreams(UpstreamTable& _table, TimeUs _now)
{
	expireHomes(_table, _now);
	for (auto at = _table.entries.begin(); at != _table.entries.end();)
	{
		const UpstreamEntry& entry = at->second;
		const bool gone =
			!entry.registered && entry.inFlight == 0 && _now - entry.unregisteredAt > kRemoveAfter;
		if (gone)
		{
			// A newer incarnation may use the id by now.
			eraseIfMapped(_table.idxOfId, entry.record.id, at->first);
			eraseIfMapped(_table.idxOfKey, entry.key, at->first);
		}
		at = gone ? _table.entries.erase(at) : std::next(at);
	}
}
} // namespace spanplank
