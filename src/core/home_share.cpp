/// Propagation of prompt homes along the tree of routers.
#include "spanplank/home_share.h"

#include <utility>

namespace spanplank
{
namespace
{
void add(HomeOutbox& _outbox, const NewHome& _home)
{
	if (_outbox.size() < kMaxUnsentHomes)
	{
		_outbox.push_back(_home);
	}
}

/// @param[in] _except Neighbour that sent the home.
void enqueueForNeighbours(HomeShare& _share, uint32_t _except, const NewHome& _home)
{
	if (_except != kParentNeighbour)
	{
		add(_share.parent, _home);
	}
	for (auto& [link, outbox] : _share.children)
	{
		if (link != _except)
		{
			add(outbox, _home);
		}
	}
}
} // namespace

void collectOwnHomes(HomeShare& _share, UpstreamTable& _table)
{
	constexpr uint32_t kNoNeighbour = kParentNeighbour - 1; // Neither the parent nor the link of a child.
	for (const NewHome& home : _table.newHomes)
	{
		enqueueForNeighbours(_share, kNoNeighbour, home);
	}
	_table.newHomes.clear();
}

void applyHomes(HomeShare& _share, UpstreamTable& _table, uint32_t _from, absl::Span<const NewHome> _homes,
				TimeUs _now)
{
	for (const NewHome& home : _homes)
	{
		if (recordPeerHome(_table, home, _now)) // Otherwise it would circulate forever in a ring of routers.
		{
			enqueueForNeighbours(_share, _from, home);
		}
	}
}

std::vector<NewHome> homesForParent(HomeShare& _share)
{
	return std::exchange(_share.parent, {});
}

std::vector<NewHome> homesForChild(HomeShare& _share, uint32_t _child)
{
	return std::exchange(_share.children[_child], {});
}
} // namespace spanplank
