/// Registered upstreams in the platform's store: taken into the table, each change with its way and age.
#include <optional>
#include <string>
#include <vector>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/records_p.h"
#include "spanplank/record_fault.h"
#include "store_items_p.h"
#include "suspects_p.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kRejectLogPause = 100 * kMsToUs; ///< Between two log lines on records that can't be used.
constexpr size_t kMostLoggedId = 64;

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
			  {"address", endpointText(_record.address)},
			  {"hall", _record.hall},
			  {"version", _record.version},
			  {"born", std::to_string(_record.startedAtMs)},
			  {"leaving", _record.draining ? "yes" : "no"},
			  {"cold_ms", std::to_string(_record.coldMs)},
			  {"way", name(_source.way)},
			  {"revision", std::to_string(_source.revision)},
			  {"proof_age_ms", std::to_string((monotonicNow() - _router.config.confirmedAt) / kMsToUs)}});
}

void logUnregistered(const DirectRouter& _router, const UpstreamEntry& _entry, const ChangeSource& _source)
{
	logEvent("upstream_unregistered",
			 {{"upstream", _entry.record.id},
			  {"leaving", _entry.record.draining ? "yes" : "no"},
			  {"way", name(_source.way)},
			  {"revision", std::to_string(_source.revision)},
			  {"proof_age_ms", std::to_string((monotonicNow() - _router.config.confirmedAt) / kMsToUs)},
			  {"lapsed", _entry.lapse.cause == RemovalCause::Deregistered ? "no" : "yes"},
			  {"why", name(_entry.lapse.cause)},
			  {"silence_ms", std::to_string(_entry.lapse.silence / kMsToUs)}});
}

/// Rejects a record whose service is not configured. It is kept, as the service may be configured later.
/// @throws RecordFailure
void checkService(DirectRouter& _router, const UpstreamRecord& _record)
{
	const ServiceConfig& config = *_router.config.config;
	if (config.version != 0 && !isKnownService(config, _record.service))
	{
		_router.unconfigured[_record.id] = _record;
		throw RecordFailure(RecordFault::Service, "the service is not configured");
	}
}

/// @throws RecordFailure
UpstreamRecord decodeUpstreamItem(DirectRouter& _router, const StoreItem& _item)
{
	const std::string id = afterPrefix(_item.key, platform::kUpstreamPrefix);
	_router.unconfigured.erase(id); // Replaced by this one.
	UpstreamRecord record = platform::decodeUpstream(id, _item.value, _item.malformed);
	record.revision = _item.revision;
	checkService(_router, record);
	return record;
}

/// A record that can't be used is counted, and logged unless many were a moment ago: whoever writes them may
/// write often.
void rejectUpstream(DirectRouter& _router, const StoreItem& _item, const RecordFailure& _failure)
{
	++_router.stats.recordsRejected[name(_failure.fault())];
	const TimeUs now = monotonicNow();
	if (now - _router.recordLoggedAt < kRejectLogPause)
	{
		return;
	}
	_router.recordLoggedAt = now;
	const std::string id = afterPrefix(_item.key, platform::kUpstreamPrefix);
	logEvent("upstream_rejected", {{"upstream", id.substr(0, kMostLoggedId)},
								   {"fault", name(_failure.fault())},
								   {"error", _failure.refusal().detail},
								   {"revision", std::to_string(_item.revision)}});
}

/// @returns The entry of an upstream that is registered; null: none is.
const UpstreamEntry* registeredEntry(const UpstreamTable& _table, const std::string& _id)
{
	const UpstreamId known = currentIncarnation(_table, _id);
	const UpstreamEntry* entry = isValid(known) ? &_table.entries.at(known.idx) : nullptr;
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

void logRestarted(const UpstreamRecord& _before, const UpstreamRecord& _record, const RestartedCalls& _calls,
				  const ChangeSource& _source)
{
	logEvent("upstream_restarted", {{"upstream", _record.id},
									{"born", std::to_string(_record.startedAtMs)},
									{"born_before", std::to_string(_before.startedAtMs)},
									{"calls_ended", std::to_string(_calls.ended)},
									{"calls_kept", std::to_string(_calls.kept)},
									{"age_ms", std::to_string(wallNowMs() - int64_t(_record.startedAtMs))},
									{"way", name(_source.way)},
									{"revision", std::to_string(_source.revision)}});
}

/// Counts and logs each call that was at an upstream when its restart became known.
void noteRestartedCalls(DirectRouter& _router, const UpstreamRecord& _record, const RestartedCalls& _calls,
						const ChangeSource& _source)
{
	for (const RestartedCall& call : _calls.calls)
	{
		++_router.stats.restartedCalls[name(call.verdict)];
		logEvent("restart_met_call", {{"request", call.requestId},
									  {"upstream", _record.id},
									  {"born", std::to_string(_record.startedAtMs)},
									  {"verdict", name(call.verdict)},
									  {"evidence", name(call.evidence)},
									  {"open_ms", std::to_string(call.openFor / kMsToUs)},
									  {"answered", call.answered ? "1" : "0"},
									  {"replaced", call.replaced ? "1" : "0"},
									  {"way", name(_source.way)}});
	}
}

/// @returns What a record tells of a restart. A start that it states before the one before it tells nothing:
/// a clock was wrong.
UpstreamRestart restartBy(DirectRouter& _router, const UpstreamRecord& _record, uint64_t _startedBeforeMs,
						  UpstreamId _current)
{
	const TimeUs now = monotonicNow();
	std::optional<TimeUs> started;
	if (_record.startedAtMs > _startedBeforeMs)
	{
		started = startedBy(_record.startedAtMs, wallTime(_router.wall, wallNow(), now), now);
	}
	return {_record.address, started, _current};
}

void logOld(const UpstreamRecord& _record, const ChangeSource& _source)
{
	logEvent("upstream_record_old", {{"upstream", _record.id},
									 {"born", std::to_string(_record.startedAtMs)},
									 {"way", name(_source.way)},
									 {"revision", std::to_string(_record.revision)}});
}

/// Takes a record. The calls at the incarnation before the one that has started end, as far as that is known;
/// those that have reached the new one go on.
void takeRecord(DirectRouter& _router, const UpstreamRecord& _record, const ChangeSource& _source)
{
	UpstreamTable& table = _router.upstreams;
	const IncarnationOrder order = incarnationOrder(table, _record);
	const UpstreamId before = currentIncarnation(table, _record.id);
	const UpstreamId current = registerUpstream(table, _record, monotonicNow());
	if (order == IncarnationOrder::Newer)
	{
		const UpstreamRecord& ended = table.entries.at(before.idx).record;
		const RestartedCalls calls =
			endCalls(_router.pool, before, restartBy(_router, _record, ended.startedAtMs, current));
		suspectBroken(_router, before);
		logRestarted(ended, _record, calls, _source);
		noteRestartedCalls(_router, _record, calls, _source);
	}
	else if (order == IncarnationOrder::Older)
	{
		logOld(_record, _source);
	}
}

/// @returns Whether a listed upstream leaves and this router did not know it.
bool isNewsOfLeaving(const UpstreamTable& _table, const UpstreamRecord& _record)
{
	const UpstreamEntry* entry = registeredEntry(_table, _record.id);
	return _record.draining && entry != nullptr && !entry->record.draining;
}

/// Keeps what is known in spite of a record that may be outdated. An upstream that lives is written again.
void skipOutdated(DirectRouter& _router, const UpstreamRecord& _record, const ChangeSource& _source)
{
	const bool settled = rejectOutdated(_router.upstreams, _record);
	_router.view.unsettledRecords = _router.view.unsettledRecords || !settled;
	logOld(_record, _source);
}
} // namespace

void takeUpstreamItem(DirectRouter& _router, const StoreItem& _item, StoreWay _way)
{
	const ChangeSource source{_way, _item.revision};
	if (_item.deleted)
	{
		_router.unconfigured.erase(afterPrefix(_item.key, platform::kUpstreamPrefix));
		takeRemoval(_router, afterPrefix(_item.key, platform::kUpstreamPrefix), source);
		return;
	}
	try
	{
		const UpstreamRecord record = decodeUpstreamItem(_router, _item);
		takeRecord(_router, record, source);
		logRegistered(_router, record, source);
	}
	catch (const RecordFailure& failure)
	{
		// The same answer as a list without it gives: the record that stood there is gone.
		rejectUpstream(_router, _item, failure);
		takeRemoval(_router, afterPrefix(_item.key, platform::kUpstreamPrefix), source);
	}
}

void takeNewlyConfigured(DirectRouter& _router)
{
	std::map<std::string, UpstreamRecord>& waiting = _router.unconfigured;
	for (auto at = waiting.begin(); at != waiting.end();)
	{
		if (!isKnownService(*_router.config.config, at->second.service))
		{
			++at;
			continue;
		}
		const ChangeSource source{StoreWay::Watch, at->second.revision};
		takeRecord(_router, at->second, source);
		logRegistered(_router, at->second, source);
		at = waiting.erase(at);
	}
}

void takeUpstreamList(DirectRouter& _router, const StoreList& _list, StoreWay _way, bool _returned)
{
	const ChangeSource source{_way, _list.revision};
	std::vector<UpstreamRecord> records;
	_router.unconfigured.clear();
	for (const StoreItem& item : _list.items)
	{
		try
		{
			records.push_back(decodeUpstreamItem(_router, item));
		}
		catch (const RecordFailure& failure)
		{
			rejectUpstream(_router, item, failure);
			continue;
		}
		if (_returned && mayBeOutdated(_router.upstreams, records.back()))
		{
			skipOutdated(_router, records.back(), source);
			continue;
		}
		const bool leaves = isNewsOfLeaving(_router.upstreams, records.back());
		takeRecord(_router, records.back(), source);
		if (leaves)
		{
			logRegistered(_router, records.back(), source);
		}
	}
	for (const uint32_t idx : unregisterOthers(_router.upstreams, records, monotonicNow()))
	{
		logUnregistered(_router, _router.upstreams.entries.at(idx), source);
	}
	_router.upstreamsKnown = true;
	logEvent("upstreams_listed", {{"count", std::to_string(records.size())},
								  {"way", name(_way)},
								  {"revision", std::to_string(_list.revision)}});
}
} // namespace spanplank
