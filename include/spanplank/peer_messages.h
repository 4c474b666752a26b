/// Messages between routers that follow each other. On the wire: CBOR arrays, so that no names travel.
#ifndef SPANPLANK_PEER_MESSAGES_H_HEADER_GUARD
#define SPANPLANK_PEER_MESSAGES_H_HEADER_GUARD

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "spanplank/home_share.h"
#include "spanplank/load_share.h"
#include "spanplank/store_item.h"
#include "spanplank/types.h"

namespace spanplank
{
/// A router to the one that it follows.
struct PeerPing
{
	uint64_t seq = 0; ///< Rises with each ping of a link.
	LoadMap loads;    ///< Of its subtree.
	HomeMap homes;    ///< Learned since the last ping, but from the receiver.
};

/// The answer to a ping.
struct PeerPong
{
	uint64_t seq = 0;      ///< Of the ping.
	uint64_t revision = 0; ///< Of the store, up to which the sender knows everything.
	TimeUs proofAge = 0;   ///< Since the moment for which the store proved that, when this was sent.
	LoadMap loads;         ///< Of all routers outside the receiver's subtree.
	HomeMap homes;         ///< Learned since the last answer, but from the receiver.
};

/// Changes of the store, passed on as they were read.
struct StoreChanges
{
	uint64_t from = 0; ///< Whoever knows everything up to this revision ...
	uint64_t to = 0;   ///< ... knows everything up to this one afterwards.
	std::vector<StoreItem> items;
};

inline void to_json(nlohmann::json& _json, const SharedLoad& _load)
{
	_json = {uint32_t(_load.prefillMs), _load.inFlight};
}

inline void from_json(const nlohmann::json& _json, SharedLoad& _load)
{
	_load.prefillMs = _json.at(0).get<uint32_t>();
	_json.at(1).get_to(_load.inFlight);
}

/// A router of an earlier version tells no homes.
inline void readHomes(const nlohmann::json& _json, size_t _at, HomeMap& _homes)
{
	if (_json.size() > _at)
	{
		_json.at(_at).get_to(_homes);
	}
}

inline void to_json(nlohmann::json& _json, const PeerPing& _ping)
{
	_json = {_ping.seq, nlohmann::json(_ping.loads), nlohmann::json(_ping.homes)};
}

inline void from_json(const nlohmann::json& _json, PeerPing& _ping)
{
	_json.at(0).get_to(_ping.seq);
	_json.at(1).get_to(_ping.loads);
	readHomes(_json, 2, _ping.homes);
}

inline void to_json(nlohmann::json& _json, const PeerPong& _pong)
{
	_json = {_pong.seq, _pong.revision, _pong.proofAge, nlohmann::json(_pong.loads),
			 nlohmann::json(_pong.homes)};
}

inline void from_json(const nlohmann::json& _json, PeerPong& _pong)
{
	_json.at(0).get_to(_pong.seq);
	_json.at(1).get_to(_pong.revision);
	_json.at(2).get_to(_pong.proofAge);
	_json.at(3).get_to(_pong.loads);
	readHomes(_json, 4, _pong.homes);
}

inline void to_json(nlohmann::json& _json, const StoreItem& _item)
{
	_json = {_item.key, _item.value, _item.revision, _item.deleted};
}

inline void from_json(const nlohmann::json& _json, StoreItem& _item)
{
	_json.at(0).get_to(_item.key);
	_json.at(1).get_to(_item.value);
	_json.at(2).get_to(_item.revision);
	_json.at(3).get_to(_item.deleted);
}

inline void to_json(nlohmann::json& _json, const StoreChanges& _changes)
{
	_json = {_changes.from, _changes.to, nlohmann::json(_changes.items)};
}

inline void from_json(const nlohmann::json& _json, StoreChanges& _changes)
{
	_json.at(0).get_to(_changes.from);
	_json.at(1).get_to(_changes.to);
	_json.at(2).get_to(_changes.items);
}
} // namespace spanplank

#endif // SPANPLANK_PEER_MESSAGES_H_HEADER_GUARD
