/// The order of the routers and the choice of the one to follow.
#include "spanplank/peer_tree.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// The first of some routers by their hash; lower goes first.
struct FirstOf
{
	const PeerRecord* record = nullptr;
	uint64_t rank = 0;
};

void consider(FirstOf& _first, const PeerRecord& _record)
{
	const uint64_t rank = stableHash(_record.box);
	if (_first.record == nullptr || rank < _first.rank)
	{
		_first = {&_record, rank};
	}
}
} // namespace

void registerPeer(PeerTree& _tree, const PeerRecord& _record)
{
	if (_record.box == _tree.self.box)
	{
		return;
	}
	PeerEntry& entry = _tree.peers[_record.box];
	if (entry.record.address != _record.address)
	{
		entry = PeerEntry{}; // Another box took over the name: it starts afresh.
	}
	entry.record = _record;
}

void unregisterPeer(PeerTree& _tree, const std::string& _box)
{
	_tree.peers.erase(_box);
}

void keepPeers(PeerTree& _tree, const std::set<std::string>& _boxes)
{
	for (auto at = _tree.peers.begin(); at != _tree.peers.end();)
	{
		at = _boxes.count(at->first) == 0 ? _tree.peers.erase(at) : std::next(at);
	}
}

std::string chooseParent(const PeerTree& _tree, TimeUs _now)
{
	FirstOf ofHall;
	FirstOf ofAll;
	consider(ofHall, _tree.self);
	consider(ofAll, _tree.self);
	for (const auto& [box, entry] : _tree.peers)
	{
		if (entry.avoidUntil > _now)
		{
			continue;
		}
		consider(ofAll, entry.record);
		if (entry.record.hall == _tree.self.hall)
		{
			consider(ofHall, entry.record);
		}
	}
	const PeerRecord& parent = ofHall.record == &_tree.self ? *ofAll.record : *ofHall.record;
	return &parent == &_tree.self ? "" : parent.box;
}

void avoidPeer(PeerTree& _tree, const std::string& _box, TimeUs _now)
{
	const auto found = _tree.peers.find(_box);
	if (found == _tree.peers.end())
	{
		return;
	}
	PeerEntry& entry = found->second;
	entry.avoidUntil = _now + (kAvoidPeer << std::min(entry.failures, kMostAvoidDoublings));
	++entry.failures;
}

void noteFollowed(PeerTree& _tree, const std::string& _box)
{
	const auto found = _tree.peers.find(_box);
	if (found != _tree.peers.end())
	{
		found->second.failures = 0;
	}
}
} // namespace spanplank
