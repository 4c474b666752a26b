/// Passing on of prompt homes along the tree of routers.
#include "spanplank/home_share.h"

#include <utility>

namespace spanplank
{
namespace
{
void add(HomeOutbox& _outbox, const std::string& _upstream, uint64_t _part)
{
	if (_outbox.parts >= kMostUntold)
	{
		return;
	}
	_outbox.homes[_upstream].push_back(_part);
	++_outbox.parts;
}

/// @param[in] _but This neighbour knows already.
void tellNeighbours(HomeShare& _share, uint32_t _but, const std::string& _upstream, uint64_t _part)
{
	if (_but != kParentOfTree)
	{
		add(_share.parent, _upstream, _part);
	}
	for (auto& [link, outbox] : _share.children)
	{
		if (link != _but)
		{
			add(outbox, _upstream, _part);
		}
	}
}

HomeMap drain(HomeOutbox& _outbox)
{
	_outbox.parts = 0;
	return std::exchange(_outbox.homes, {});
}
} // namespace

void collectOwnHomes(HomeShare& _share, UpstreamTable& _table)
{
	constexpr uint32_t kNobody = kParentOfTree - 1; // Neither the parent nor a link.
	for (const NewHome& home : _table.newHomes)
	{
		const auto found = _table.entries.find(home.upstream);
		if (found != _table.entries.end())
		{
			tellNeighbours(_share, kNobody, found->second.record.id, home.part);
		}
	}
	_table.newHomes.clear();
}

void takeHomes(HomeShare& _share, UpstreamTable& _table, uint32_t _from, const HomeMap& _homes, TimeUs _now)
{
	for (const auto& [upstream, parts] : _homes)
	{
		for (const uint64_t part : parts)
		{
			notePeerHome(_table, part, upstream, _now);
			tellNeighbours(_share, _from, upstream, part);
		}
	}
}

HomeMap homesForParent(HomeShare& _share)
{
	return drain(_share.parent);
}

HomeMap homesForChild(HomeShare& _share, uint32_t _child)
{
	return drain(_share.children[_child]);
}
} // namespace spanplank
