/// Sums of loads along the tree of routers.
#include "spanplank/load_share.h"

namespace spanplank
{
namespace
{
void add(LoadMap& _sum, const LoadMap& _loads)
{
	for (const auto& [upstream, load] : _loads)
	{
		SharedLoad& sum = _sum[upstream];
		sum.prefillMs += load.prefillMs;
		sum.inFlight += load.inFlight;
	}
}

void addFresh(LoadMap& _sum, const NeighbourLoad& _neighbour, TimeUs _now)
{
	if (_neighbour.toldAt != 0 && _now - _neighbour.toldAt < kLoadLifetime)
	{
		add(_sum, _neighbour.loads);
	}
}

/// @param[in] _but Not this child's; `kInvalidIdx`: all of them.
void addChildren(LoadMap& _sum, const LoadShare& _share, uint32_t _but, TimeUs _now)
{
	for (const auto& [link, child] : _share.children)
	{
		if (link != _but)
		{
			addFresh(_sum, child, _now);
		}
	}
}
} // namespace

LoadMap ownLoad(const UpstreamTable& _table)
{
	LoadMap own;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (entry.inFlight > 0)
		{
			own[entry.record.id] = {entry.prefillMs, entry.inFlight};
		}
	}
	return own;
}

LoadMap loadForParent(const LoadShare& _share, const LoadMap& _own, TimeUs _now)
{
	LoadMap sum = _own;
	addChildren(sum, _share, kInvalidIdx, _now);
	return sum;
}

LoadMap loadForChild(const LoadShare& _share, const LoadMap& _own, uint32_t _child, TimeUs _now)
{
	LoadMap sum = _own;
	addChildren(sum, _share, _child, _now);
	addFresh(sum, _share.parent, _now);
	return sum;
}

void applyOthersLoad(const LoadShare& _share, UpstreamTable& _table, TimeUs _now)
{
	LoadMap others;
	if (_table.policies.loadSharing)
	{
		addChildren(others, _share, kInvalidIdx, _now);
		addFresh(others, _share.parent, _now);
	}
	_table.hearsOthers = !_share.children.empty() || _share.parent.toldAt != 0;
	for (auto& [idx, entry] : _table.entries)
	{
		const auto found = others.find(entry.record.id);
		entry.others = found == others.end() ? SharedLoad{} : found->second;
	}
}
} // namespace spanplank
