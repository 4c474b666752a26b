/// The order of the routers and the choice of the one to follow.
#include "spanplank/peer_tree.h"

#include <algorithm>
#include <vector>

namespace spanplank
{
namespace
{
/// Followers for a whole core. One costs some 0.0005 of a core without sockets (`bench/peer_pings.cpp`), at
/// most twice that with them: a twentieth of the core. Without a bound, and with full tables of loads in each
/// ping, a quiet day of 103 routers on boxes of 0.09 to 0.5 core was worth 0.730, with both 0.785 (one play
/// each).
constexpr double kFollowersPerCore = 50.0;
/// Followers for each Mbit/s of the link. One takes 25 kB/s of loads and homes (`bench/peer_pings.cpp`): a
/// fifth.
constexpr double kFollowersPerMbps = 1.0;
constexpr double kMinFollowers = 2.0;  ///< With fewer the levels are as many as the routers.
constexpr double kMaxFollowers = 64.0; ///< Links of one process.
/// Of its followers, the part that the first of a hall keeps for the firsts of other halls.
constexpr double kOtherHallsShare = 0.5;

/// Routers by rank, the first first.
using RankedPeers = std::vector<const PeerRecord*>;

/// Larger boxes rank first: those that bear twice as many followers. Within a size chance decides, so that a
/// fleet's tops are not all in one place.
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

/// A router with what it is ranked by, found once for all comparisons.
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

/// How many routers of its hall may follow one, by its place there.
size_t followersInHall(const PeerRecord& _record, size_t _place)
{
	const uint32_t most = maxFollowers(_record.capacity);
	return _place == 0 ? size_t(std::max(1.0, most * (1.0 - kOtherHallsShare))) : most;
}

size_t followersAcrossHalls(const PeerRecord& _record, size_t)
{
	return size_t(std::max(1.0, maxFollowers(_record.capacity) * kOtherHallsShare));
}

/// @returns The router that takes the one at a place as its follower; null: the first follows none.
template <typename MostFollowersAt>
const PeerRecord* parentOf(const RankedPeers& _ranked, const PeerRecord* _self, MostFollowersAt _most)
{
	const size_t own = size_t(std::find(_ranked.begin(), _ranked.end(), _self) - _ranked.begin());
	size_t taken = 0;
	for (size_t place = 0; place < own; ++place)
	{
		taken += _most(*_ranked[place], place);
		if (taken >= own)
		{
			return _ranked[place];
		}
	}
	return nullptr;
}

/// @returns This router and those that may be followed, by rank.
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
	const auto own =
		_tree.selfRanksLast ? ranks.end() : std::lower_bound(ranks.begin(), ranks.end(), self, ranksBefore);
	ranks.insert(own, self);
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
		entry = PeerEntry{}; // Another box took over the name: it starts afresh.
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
