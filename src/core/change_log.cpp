/// Appends batches of store changes to the log and reads them back.
#include "spanplank/change_log.h"

namespace spanplank
{
namespace
{
size_t sizeOf(const StoreChanges& _changes)
{
	size_t bytes = 0;
	for (const StoreItem& item : _changes.items)
	{
		bytes += item.key.size() + item.value.size();
	}
	return bytes;
}
} // namespace

void recordChanges(ChangeLog& _log, const StoreChanges& _changes)
{
	if (!_log.changes.empty() && _log.changes.back().to != _changes.from)
	{
		clearChanges(_log);
	}
	_log.changes.push_back(_changes);
	_log.bytes += sizeOf(_changes);
	while (_log.changes.size() > kMaxLogChanges || (_log.bytes > kMaxLogBytes && !_log.changes.empty()))
	{
		_log.bytes -= sizeOf(_log.changes.front());
		_log.changes.pop_front();
	}
}

void clearChanges(ChangeLog& _log)
{
	_log = {};
}

StoreChanges changesSince(const ChangeLog& _log, uint64_t _knownRevision, uint64_t _newestRevision)
{
	const bool covered = !_log.changes.empty() && _log.changes.front().from <= _knownRevision &&
						 _log.changes.back().to == _newestRevision;
	if (!covered)
	{
		return {_newestRevision, _newestRevision, {}};
	}
	StoreChanges since{_knownRevision, _newestRevision, {}};
	for (const StoreChanges& changes : _log.changes)
	{
		for (const StoreItem& item : changes.items)
		{
			if (item.revision > _knownRevision)
			{
				since.items.push_back(item);
			}
		}
	}
	return since;
}
} // namespace spanplank
