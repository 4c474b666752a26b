/// Types of the messages on links between the system's own processes, and the identity of a link's peer.
/// Messages are encoded as CBOR (RFC 8949) arrays of [type, body].
#ifndef SPANPLANK_LINK_MESSAGES_H_HEADER_GUARD
#define SPANPLANK_LINK_MESSAGES_H_HEADER_GUARD

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace spanplank
{
enum class MessageType : uint8_t
{
	Heartbeat,
	Config,
	ConfigRequest,
	Halts,
	Submit,
	CancelAttempt,
	AnswerStart,
	AnswerPart,
	AnswerEnd,
	AnswerRefused,
	Report,
	BillsFlushed,
	Intent,
	IntentReply,
	Outcome,
	RecordsRequest,
	Records,
	Table,
	PeerPing,
	PeerPong,
	StoreChanges,
	StoreRequest,
	StoreSnapshot,
	Suspects,
	PeerRegister,
	PeerConfigRequest,
	PeerConfig,
	Count
};

/// The process at the other end of a link.
struct PeerInfo
{
	std::string role;        ///< `router` or `agent`.
	std::string box;         ///< Name of the box, the same after a restart.
	std::string incarnation; ///< Changes with each start of the process.
	std::string hall;
	std::string pool;                  ///< Agents: the pool of upstreams it belongs to.
	std::vector<std::string> versions; ///< Agents: versions that the upstream has loaded.
	std::vector<std::string> services; ///< Agents: plain services of the upstream.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PeerInfo, role, box, incarnation, hall, pool, versions,
												services)
} // namespace spanplank

#endif // SPANPLANK_LINK_MESSAGES_H_HEADER_GUARD
