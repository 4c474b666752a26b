/// Links between the system's own processes: websocketpp, CBOR, mutual authentication by a shared key.
#ifndef SPANPLANK_LINK_P_H_HEADER_GUARD
#define SPANPLANK_LINK_P_H_HEADER_GUARD

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http_p.h"
#include "spanplank/link_messages.h"
#include "spanplank/types.h"

namespace spanplank
{
/// One message of a link, decoded.
struct LinkMessage
{
	MessageType type = MessageType::Count;
	nlohmann::json body;
};

struct LinkHandlers
{
	std::function<void(LinkId, const PeerInfo&)> onOpen;
	std::function<void(LinkId, const LinkMessage&)> onMessage;
	std::function<void(LinkId)> onClose;
};

struct LinkInit
{
	PeerInfo self;
	std::vector<std::string> keys; ///< Shared keys that are valid, newest first; the first one signs.
	LinkHandlers handlers;
};

struct LinkStats
{
	uint64_t opened = 0;
	uint64_t refused = 0; ///< Wrong key, forged or replayed frames.
	uint64_t framesIn = 0;
	uint64_t framesOut = 0;
	uint64_t bytesIn = 0;
	uint64_t bytesOut = 0;
};

/// All links of one process. Links are addressed by id; a closed link's id is not used again.
class LinkHub
{
public:
	LinkHub(boost::asio::io_context& _io, LinkInit _init);
	~LinkHub();
	LinkHub(const LinkHub&) = delete;
	LinkHub& operator=(const LinkHub&) = delete;

	/// @returns The port that it listens on.
	/// @throws Failure(Internal) if it can't, for example as another process has the port. It may be tried
	/// again.
	uint16_t listen(const Endpoint& _endpoint);
	bool isListening() const;
	void stopListening();
	/// Closes all links for good. The hub has to outlive the upkeep that is under way.
	void end();

	/// Keeps a link to an endpoint open until `disconnect`.
	void connect(const Endpoint& _endpoint);
	void disconnect(const Endpoint& _endpoint);

	/// Queues a message; all of one turn of the loop leave in one frame.
	template <typename Message>
	void send(LinkId _to, MessageType _type, const Message& _message)
	{
		sendJson(_to, _type, nlohmann::json(_message));
	}

	template <typename Message>
	void sendAll(MessageType _type, const Message& _message)
	{
		const nlohmann::json body(_message);
		for (const LinkId link : openLinks())
		{
			sendJson(link, _type, body);
		}
	}

	std::vector<LinkId> openLinks() const;
	/// @returns The peer of an open link, or null.
	const PeerInfo* peer(LinkId _link) const;
	/// @returns Bytes that wait to be sent on a link; 0: there is no such link.
	size_t queuedBytes(LinkId _link) const;
	/// @returns The open link to an incarnation, or an invalid id.
	LinkId linkTo(const std::string& _incarnation) const;
	/// Closes a link, for example one that was silent for too long.
	void close(LinkId _link);
	const LinkStats& stats() const;

private:
	void sendJson(LinkId _to, MessageType _type, nlohmann::json _body);

	struct Impl;
	std::unique_ptr<Impl> m_impl;
};
} // namespace spanplank

#endif // SPANPLANK_LINK_P_H_HEADER_GUARD
