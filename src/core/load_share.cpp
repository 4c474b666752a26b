/// Sums of loads along the tree of routers, updated incrementally.
#include "spanplank/load_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace spanplank
{
namespace
{
/// Sums with fewer upstreams are not pruned.
constexpr size_t kMinPruneSize = 64;

void add(LoadCount& _sum, const LoadCount& _load, int32_t _sign)
{
	_sum.prefillMs += _sign * _load.prefillMs;
	_sum.inFlight += _sign * _load.inFlight;
	_sum.tokenUnits += _sign * _load.tokenUnits;
}

bool isPlausible(const LoadCount& _load)
{
	const auto fits = [](int32_t _number) {
		return _number >= 0 && _number <= kMaxReportedLoad;
	};
	return fits(_load.prefillMs) && fits(_load.inFlight) && fits(_load.tokenUnits);
}

LoadCount valueOf(const LoadTable& _table, UpstreamKey _upstream)
{
	const auto found = _table.find(_upstream);
	return found == _table.end() ? LoadCount{} : found->second;
}

/// Stores no entries without load, so that the table only holds upstreams with work.
void setValue(LoadTable& _table, UpstreamKey _upstream, const LoadCount& _load)
{
	if (_load == LoadCount{})
	{
		_table.erase(_upstream);
		return;
	}
	_table[_upstream] = _load;
}

void setCounted(LoadShare& _share, NeighbourLoad& _neighbour, bool _counted)
{
	if (_neighbour.counted == _counted)
	{
		return;
	}
	_neighbour.counted = _counted;
	for (const auto& [upstream, load] : _neighbour.loads)
	{
		add(_share.sum[upstream], load, _counted ? 1 : -1);
	}
}

void setLoad(LoadShare& _share, NeighbourLoad& _neighbour, UpstreamKey _upstream, const LoadCount& _load)
{
	const LoadCount before = valueOf(_neighbour.loads, _upstream);
	if (before == _load)
	{
		return;
	}
	LoadCount& sum = _share.sum[_upstream];
	add(sum, before, -1);
	add(sum, _load, 1);
	setValue(_neighbour.loads, _upstream, _load);
}

bool isFresh(const NeighbourLoad& _neighbour, TimeUs _now)
{
	return _neighbour.receivedAt != 0 && _now - _neighbour.receivedAt < kLoadLifetime;
}

void subtractNeighbour(LoadCount& _sum, const NeighbourLoad& _neighbour, UpstreamKey _upstream)
{
	if (_neighbour.counted)
	{
		add(_sum, valueOf(_neighbour.loads, _upstream), -1);
	}
}

/// @returns The sum without the neighbour's own load.
LoadCount othersLoad(const LoadShare& _share, const NeighbourLoad& _neighbour, UpstreamKey _upstream)
{
	LoadCount others = valueOf(_share.sum, _upstream);
	subtractNeighbour(others, _neighbour, _upstream);
	return others;
}

/// @returns The load to send to a neighbour.
LoadCount loadToSend(const LoadShare& _share, const NeighbourLoad& _neighbour, UpstreamKey _upstream)
{
	if (_share.isolated && &_neighbour == &_share.parent)
	{
		return valueOf(_share.own.loads, _upstream);
	}
	LoadCount load = othersLoad(_share, _neighbour, _upstream);
	if (_share.isolated)
	{
		subtractNeighbour(load, _share.parent, _upstream);
	}
	return load;
}

/// An upstream without load remains in the sum until this has been sent to all neighbours.
bool isSentToAll(const LoadShare& _share, UpstreamKey _upstream)
{
	for (const auto& [link, child] : _share.children)
	{
		if (child.sent.count(_upstream) != 0)
		{
			return false;
		}
	}
	return _share.parent.sent.count(_upstream) == 0;
}

} // namespace

uint32_t tokensOf(int32_t _units)
{
	const uint64_t tokens = uint64_t(std::max(0, _units)) * kTokensPerUnit;
	return uint32_t(std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
}

int32_t tokenUnitsOf(uint64_t _tokens)
{
	return int32_t((_tokens + kTokensPerUnit / 2) / kTokensPerUnit);
}

void setOwnLoads(LoadShare& _share, const LoadTable& _loads)
{
	_share.own.counted = true;
	LoadTable ended = _share.own.loads; // What remains after the loop has no load any more.
	for (const auto& [key, load] : _loads)
	{
		setLoad(_share, _share.own, key, load);
		ended.erase(key);
	}
	for (const auto& [key, load] : ended)
	{
		setLoad(_share, _share.own, key, {});
	}
}

void expireLoads(LoadShare& _share, TimeUs _now)
{
	for (auto& [link, child] : _share.children)
	{
		setCounted(_share, child, isFresh(child, _now));
	}
	setCounted(_share, _share.parent, isFresh(_share.parent, _now));
}

void pruneLoads(LoadShare& _share, size_t _inUse)
{
	if (_share.sum.size() < kMinPruneSize + 2 * _inUse)
	{
		return;
	}
	for (auto at = _share.sum.begin(); at != _share.sum.end();)
	{
		const bool idle = at->second == LoadCount{} && isSentToAll(_share, at->first);
		at = idle ? _share.sum.erase(at) : std::next(at);
	}
}

void updateOwnLoad(LoadShare& _share, const UpstreamTable& _table)
{
	LoadTable own;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (entry.inFlight > 0)
		{
			own[entry.key] = {int32_t(std::lround(entry.prefillMs)), int32_t(entry.inFlight),
							  tokenUnitsOf(entry.heldTokens)};
		}
	}
	setOwnLoads(_share, own);
}

void applyLoads(LoadShare& _share, NeighbourLoad& _neighbour, absl::Span<const LoadChange> _changes,
				TimeUs _now)
{
	_neighbour.receivedAt = _now;
	setCounted(_share, _neighbour, true);
	for (const LoadChange& change : _changes)
	{
		if (!isPlausible(change.load))
		{
			++_share.rejectedRows;
			continue;
		}
		setLoad(_share, _neighbour, change.upstream, change.load);
	}
}

void removeLoads(LoadShare& _share, NeighbourLoad& _neighbour)
{
	setCounted(_share, _neighbour, false);
	_neighbour = {};
}

std::vector<LoadChange> loadChangesFor(const LoadShare& _share, NeighbourLoad& _neighbour)
{
	std::vector<LoadChange> changes;
	for (const auto& [upstream, load] : _share.sum)
	{
		const LoadCount current = loadToSend(_share, _neighbour, upstream);
		if (!(current == valueOf(_neighbour.sent, upstream)))
		{
			setValue(_neighbour.sent, upstream, current);
			changes.push_back({upstream, current});
		}
	}
	return changes;
}

void applyPeerLoads(LoadShare& _share, UpstreamTable& _table, TimeUs _now)
{
	expireLoads(_share, _now);
	updateOwnLoad(_share, _table);
	_table.receivesPeerUpdates = !_share.children.empty() || _share.parent.receivedAt != 0;
	for (auto& [idx, entry] : _table.entries)
	{
		const LoadCount others =
			_table.policies.loadSharing ? othersLoad(_share, _share.own, entry.key) : LoadCount{};
		entry.others = {double(others.prefillMs), uint32_t(std::max(0, others.inFlight)),
						tokensOf(others.tokenUnits)};
	}
	pruneLoads(_share, _table.entries.size());
}
} // namespace spanplank
