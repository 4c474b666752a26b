/// Registered upstreams in the platform's store: taken into the table, each change with its way and age.
#include <string>
#include <vector>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/records_p.h"
#include "store_items_p.h"

namespace spanplank
{
namespace
{
/// How a change came, for logs: a request that reaches an upstream late is traced by it.
struct ChangeSource
{
	StoreWay way = StoreWay::Watch;
	uint64_t revision = 0;
};

void logRegistered(const DirectRouter& _router, const UpstreamRecord& _record, const ChangeSource& _source)
{
	logEvent("upstream_registered",
			 {{"upstream", _record.id},
			  {"service", _record.service},
			  {"address", _record.address},
			  {"hall", _record.hall},
			  {"version", _record.version},
			  {"leaving", _record.leaving ? "yes" : "no"},
			  {"cold_ms", std::to_string(_record.coldMs)},
			  {"way", name(_source.way)},
			  {"revision", std::to_string(_source.revision)},
			  {"proof_age_ms", std::to_string((monotonicNow() - _router.config.provedAt) / kMsToUs)}});
}

void logUnregistered(const DirectRouter& _router, const UpstreamEntry& _entry, const ChangeSource& _source)
{
	logEvent("upstream_unregistered",
			 {{"upstream", _entry.record.id},
			  {"leaving", _entry.record.leaving ? "yes" : "no"},
			  {"way", name(_source.way)},
			  {"revision", std::to_string(_source.revision)},
			  {"proof_age_ms", std::to_string((monotonicNow() - _router.config.provedAt) / kMsToUs)},
			  {"lapsed", _entry.lapse.cause == LapseCause::Calm ? "no" : "yes"},
			  {"why", name(_entry.lapse.cause)},
			  {"silence_ms", std::to_string(_entry.lapse.silence / kMsToUs)}});
}

UpstreamRecord decodeUpstreamItem(const StoreItem& _item)
{
	UpstreamRecord record =
		platform::decodeUpstream(afterPrefix(_item.key, platform::kUpstreamPrefix), _item.value);
	record.revision = _item.revision;
	return record;
}

void rejectUpstream(const StoreItem& _item, const Failure& _failure)
{
	logEvent("upstream_rejected", {{"upstream", afterPrefix(_item.key, platform::kUpstreamPrefix)},
								   {"error", _failure.refusal().detail}});
}

/// @returns The entry of an upstream that is registered; null: none is.
const UpstreamEntry* registeredEntry(const UpstreamTable& _table, const std::string& _id)
{
	const auto known = _table.idxOfId.find(_id);
	const UpstreamEntry* entry = known == _table.idxOfId.end() ? nullptr : &_table.entries.at(known->second);
	return entry != nullptr && entry->registered ? entry : nullptr;
}

void takeRemoval(DirectRouter& _router, const std::string& _id, const ChangeSource& _source)
{
	const UpstreamEntry* entry = registeredEntry(_router.upstreams, _id);
	unregisterUpstream(_router.upstreams, _id, monotonicNow());
	if (entry != nullptr)
	{
		logUnregistered(_router, *entry, _source);
	}
}

/// @returns Whether a listed upstream leaves and this router did not know it.
bool isNewsOfLeaving(const UpstreamTable& _table, const UpstreamRecord& _record)
{
	const UpstreamEntry* entry = registeredEntry(_table, _record.id);
	return _record.leaving && entry != nullptr && !entry->record.leaving;
}
} // namespace

void takeUpstreamItem(DirectRouter& _router, const StoreItem& _item, StoreWay _way)
{
	const ChangeSource source{_way, _item.revision};
	if (_item.deleted)
	{
		takeRemoval(_router, afterPrefix(_item.key, platform::kUpstreamPrefix), source);
		return;
	}
	try
	{
		const UpstreamRecord record = decodeUpstreamItem(_item);
		registerUpstream(_router.upstreams, record, monotonicNow());
		logRegistered(_router, record, source);
	}
	catch (const Failure& failure)
	{
		rejectUpstream(_item, failure);
	}
}

void takeUpstreamList(DirectRouter& _router, const StoreList& _list, StoreWay _way)
{
	const ChangeSource source{_way, _list.revision};
	std::vector<UpstreamRecord> records;
	for (const StoreItem& item : _list.items)
	{
		try
		{
			records.push_back(decodeUpstreamItem(item));
		}
		catch (const Failure& failure)
		{
			rejectUpstream(item, failure);
			continue;
		}
		if (isNewsOfLeaving(_router.upstreams, records.back()))
		{
			logRegistered(_router, records.back(), source);
		}
	}
	for (const uint32_t idx : replaceRegistrations(_router.upstreams, records, monotonicNow()))
	{
		logUnregistered(_router, _router.upstreams.entries.at(idx), source);
	}
	_router.upstreamsKnown = true;
	logEvent("upstreams_listed", {{"count", std::to_string(records.size())},
								  {"way", name(_way)},
								  {"revision", std::to_string(_list.revision)}});
}
} // namespace spanplank
