/// Ranks the routers and chooses the parent.
#include "spanplank/peer_tree.h"

#include <algorithm>
#include <vector>

namespace spanplank
{
namespace
{
/// Followers per core. A follower costs about 0.0005 cores without sockets (`bench/peer_pings.cpp`) and at
/// most twice that with them, so that all of them together take a twentieth of the core.
constexpr double kFollowersPerCore = 50.0;
/// Followers per Mbit/s of the link. A follower takes 25 kB/s for loads and homes (`bench/peer_pings.cpp`),
/// so that all of them together take a fifth of the link.
constexpr double kFollowersPerMbps = 1.0;
/// With fewer followers each, the tree would have as many levels as routers.
constexpr double kMinFollowers = 2.0;
constexpr double kMaxFollowers = 64.0; ///< Limit of the links of a process.
/// Share of the followers of a hall's first router that is reserved for the first routers of other halls.
constexpr double kOtherHallsShare = 0.5;

/// Routers by rank, highest first.
using RankedPeers = std::vector<const PeerRecord*>;

/// @returns The size class of a box, the binary logarithm of its maximum number of followers. Larger classes
/// rank first; within a class the hash decides, so that the highest-ranked routers of a fleet are not all in
/// one place.
uint32_t sizeClass(const PeerRecord& _record)
{
	uint32_t followers = maxFollowers(_record.capacity);
	uint32_t size = 0;
	while (followers >>= 1)
	{
		++size;
	}
	return size;
}

/// A router with its sort keys, which are computed once for all comparisons.
struct PeerRank
{
	const PeerRecord* record = nullptr;
	uint32_t size = 0;
	uint64_t hash = 0;
};

PeerRank rankOf(const PeerRecord& _record)
{
	return {&_record, sizeClass(_record), stableHash(_record.box)};
}

bool ranksBefore(const PeerRank& _one, const PeerRank& _other)
{
	if (_one.size != _other.size)
	{
		return _one.size > _other.size;
	}
	return _one.hash != _other.hash ? _one.hash < _other.hash : _one.record->box < _other.record->box;
}

/// @returns The number of routers of its hall that may follow the one at a place of the hall's ranking.
size_t followersInHall(const PeerRecord& _record, size_t _place)
{
	const uint32_t limit = maxFollowers(_record.capacity);
	return _place == 0 ? size_t(std::max(1.0, limit * (1.0 - kOtherHallsShare))) : limit;
}

/// @returns The number of first routers of other halls that may follow the first router of a hall.
size_t followersAcrossHalls(const PeerRecord& _record, size_t)
{
	return size_t(std::max(1.0, maxFollowers(_record.capacity) * kOtherHallsShare));
}

/// @returns The router of a ranking that `_self` follows; null if `_self` is its first.
template <typename MaxFollowersAt>
const PeerRecord* parentOf(const RankedPeers& _ranked, const PeerRecord* _self,
						   MaxFollowersAt _maxFollowersAt)
{
	const size_t selfPlace = size_t(std::find(_ranked.begin(), _ranked.end(), _self) - _ranked.begin());
	size_t followerSlots = 0;
	for (size_t place = 0; place < selfPlace; ++place)
	{
		followerSlots += _maxFollowersAt(*_ranked[place], place);
		if (followerSlots >= selfPlace)
		{
			return _ranked[place];
		}
	}
	return nullptr;
}

/// @returns This router and those that are not avoided, by rank.
RankedPeers rankPeers(const PeerTree& _tree, TimeUs _now)
{
	std::vector<PeerRank> ranks;
	for (const auto& [box, entry] : _tree.peers)
	{
		if (entry.avoidUntil <= _now)
		{
			ranks.push_back(rankOf(entry.record));
		}
	}
	std::sort(ranks.begin(), ranks.end(), ranksBefore);
	const PeerRank self = rankOf(_tree.self);
	const auto selfPlace =
		_tree.selfRanksLast ? ranks.end() : std::lower_bound(ranks.begin(), ranks.end(), self, ranksBefore);
	ranks.insert(selfPlace, self);
	RankedPeers ranked;
	for (const PeerRank& rank : ranks)
	{
		ranked.push_back(rank.record);
	}
	return ranked;
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
		entry = PeerEntry{}; // Another box has taken over the name: its failures are reset.
	}
	entry.record = _record;
}

void unregisterPeer(PeerTree& _tree, const std::string& _box)
{
	_tree.peers.erase(_box);
}

void retainPeers(PeerTree& _tree, const std::set<std::string>& _boxes)
{
	for (auto at = _tree.peers.begin(); at != _tree.peers.end();)
	{
		at = _boxes.count(at->first) == 0 ? _tree.peers.erase(at) : std::next(at);
	}
}

uint32_t maxFollowers(const BoxCapacity& _capacity)
{
	const double coreLimit = _capacity.cores * kFollowersPerCore;
	const double linkLimit = _capacity.linkMbps * kFollowersPerMbps;
	return uint32_t(std::clamp(std::min(coreLimit, linkLimit), kMinFollowers, kMaxFollowers));
}

std::string chooseParent(const PeerTree& _tree, TimeUs _now)
{
	RankedPeers hall;
	RankedPeers hallFirsts;
	std::set<std::string_view> halls;
	for (const PeerRecord* record : rankPeers(_tree, _now))
	{
		if (record->hall == _tree.self.hall)
		{
			hall.push_back(record);
		}
		if (halls.insert(record->hall).second)
		{
			hallFirsts.push_back(record);
		}
	}
	const bool isFirst = hall.front() == &_tree.self;
	const PeerRecord* parent = isFirst ? parentOf(hallFirsts, &_tree.self, followersAcrossHalls)
									   : parentOf(hall, &_tree.self, followersInHall);
	return parent == nullptr ? "" : parent->box;
}

size_t countHigherRanked(const PeerTree& _tree)
{
	const PeerRank self = rankOf(_tree.self);
	return size_t(std::count_if(_tree.peers.begin(), _tree.peers.end(), [&self](const auto& _peer) {
		return ranksBefore(rankOf(_peer.second.record), self);
	}));
}

void avoidPeer(PeerTree& _tree, const std::string& _box, TimeUs _now)
{
	const auto found = _tree.peers.find(_box);
	if (found == _tree.peers.end())
	{
		return;
	}
	PeerEntry& entry = found->second;
	entry.avoidUntil = _now + (kAvoidPeerUs << std::min(entry.failures, kMaxAvoidDoublings));
	++entry.failures;
}

void recordFollowed(PeerTree& _tree, const std::string& _box)
{
	const auto found = _tree.peers.find(_box);
	if (found != _tree.peers.end())
	{
		found->second.failures = 0;
	}
}
} // namespace spanplank
