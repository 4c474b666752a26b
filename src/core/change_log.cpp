/// Keeping and telling the newest changes of the store.
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

void noteChanges(ChangeLog& _log, const StoreChanges& _changes)
{
	if (!_log.changes.empty() && _log.changes.back().to != _changes.from)
	{
		clearChanges(_log);
	}
	_log.changes.push_back(_changes);
	_log.bytes += sizeOf(_changes);
	while (_log.changes.size() > kMostLogChanges || (_log.bytes > kMostLogBytes && !_log.changes.empty()))
	{
		_log.bytes -= sizeOf(_log.changes.front());
		_log.changes.pop_front();
	}
}

void clearChanges(ChangeLog& _log)
{
	_log = {};
}

StoreChanges changesSince(const ChangeLog& _log, uint64_t _known, uint64_t _newest)
{
	const bool covered =
		!_log.changes.empty() && _log.changes.front().from <= _known && _log.changes.back().to == _newest;
	if (!covered)
	{
		return {_newest, _newest, {}};
	}
	StoreChanges since{_known, _newest, {}};
	for (const StoreChanges& changes : _log.changes)
	{
		for (const StoreItem& item : changes.items)
		{
			if (item.revision > _known)
			{
				since.items.push_back(item);
			}
		}
	}
	return since;
}
} // namespace spanplank
