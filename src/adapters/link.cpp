#include "link_p.h"

#include <fmt/format.h>
#include <map>
#include <openssl/rand.h>
#include <set>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "spanplank/config.h"
#include "spanplank/endpoint.h"
#include "spanplank/errors.h"
#include "spanplank/json_text.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr size_t kMacBytes = 16; // HMAC-SHA-256, truncated to 128 bits (RFC 2104, section 5).
constexpr size_t kMaxFrameBytes = 64u << 20;

/// One thread, so no locks; logging stays with us.
template <typename Base>
struct LinkConfig : Base
{
	using concurrency_type = websocketpp::concurrency::none;
	using elog_type = websocketpp::log::stub;
	using alog_type = websocketpp::log::stub;

	struct transport_config : Base::transport_config
	{
		using concurrency_type = websocketpp::concurrency::none;
		using elog_type = websocketpp::log::stub;
		using alog_type = websocketpp::log::stub;
		static const bool enable_multithreading = false;
	};
	using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
	static const size_t max_message_size = kMaxFrameBytes;
};

using Server = websocketpp::server<LinkConfig<websocketpp::config::asio>>;
using Client = websocketpp::client<LinkConfig<websocketpp::config::asio_client>>;
using websocketpp::connection_hdl;
using websocketpp::frame::opcode::binary;

std::string randomHex()
{
	unsigned char bytes[16];
	RAND_bytes(bytes, sizeof(bytes));
	return sha256Hex(std::string_view(reinterpret_cast<char*>(bytes), sizeof(bytes))).substr(0, 32);
}

std::string frameMac(const std::string& _key, uint64_t _counter, std::string_view _payload)
{
	std::string text = std::to_string(_counter);
	text.push_back(':');
	text.append(_payload);
	return hmacBytes(_key, text).substr(0, kMacBytes);
}

struct Link
{
	bool outgoing = false;
	bool open = false; ///< Both ends have proved that they hold the key.
	Endpoint endpoint;
	connection_hdl handle;
	PeerInfo peer;
	std::string ownNonce;
	std::string peerNonce;
	std::string sendKey;
	std::string receiveKey;
	uint64_t sent = 0;
	uint64_t received = 0;
	json outbox = json::array();
	TimeUs heardAt = 0;
};
} // namespace

struct LinkHub::Impl
{
	boost::asio::io_context& io;
	LinkInit init;
	Server server;
	Client client;
	std::map<uint32_t, Link> links;
	std::map<connection_hdl, uint32_t, std::owner_less<connection_hdl>> byHandle;
	std::map<std::string, Endpoint> wanted;
	std::set<std::string> dialing;
	uint32_t nextLink = 0;
	bool flushPosted = false;
	bool listening = false;
	bool ended = false;
	LinkStats stats;

	Impl(boost::asio::io_context& _io, LinkInit _init) : io(_io), init(std::move(_init))
	{
	}

	template <typename Socket>
	static void tuneSocket(Socket& _socket)
	{
		boost::system::error_code ignored;
		_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
	}

	template <typename Side>
	void setHandlers(Side& _side)
	{
		_side.init_asio(&io);
		_side.set_message_handler([this](const connection_hdl& _handle, typename Side::message_ptr _message) {
			receive(_handle, _message->get_opcode() == binary, _message->get_payload());
		});
		_side.set_close_handler([this](const connection_hdl& _handle) { closed(_handle); });
		// Only here is the socket open on both sides; an option set earlier is lost without a word.
		_side.set_tcp_post_init_handler([&_side](const connection_hdl& _handle) {
			websocketpp::lib::error_code error;
			const auto connection = _side.get_con_from_hdl(_handle, error);
			if (!error)
			{
				tuneSocket(connection->get_raw_socket());
			}
		});
		_side.set_open_handshake_timeout(2000);
		_side.set_close_handshake_timeout(500);
	}

	Link& addLink(const connection_hdl& _handle, bool _outgoing)
	{
		const uint32_t idx = nextLink++;
		Link& link = links[idx];
		link.outgoing = _outgoing;
		link.handle = _handle;
		link.ownNonce = randomHex();
		link.heardAt = monotonicNow();
		byHandle[_handle] = idx;
		return link;
	}

	void sendRaw(Link& _link, std::string_view _payload, bool _binary)
	{
		websocketpp::lib::error_code error;
		const auto opcode = _binary ? binary : websocketpp::frame::opcode::text;
		if (_link.outgoing)
		{
			client.send(_link.handle, _payload.data(), _payload.size(), opcode, error);
		}
		else
		{
			server.send(_link.handle, _payload.data(), _payload.size(), opcode, error);
		}
		stats.bytesOut += _payload.size();
	}

	size_t queuedBytes(const Link& _link)
	{
		websocketpp::lib::error_code error;
		if (_link.outgoing)
		{
			const Client::connection_ptr connection = client.get_con_from_hdl(_link.handle, error);
			return error ? 0 : connection->get_buffered_amount();
		}
		const Server::connection_ptr connection = server.get_con_from_hdl(_link.handle, error);
		return error ? 0 : connection->get_buffered_amount();
	}

	void closeLink(Link& _link)
	{
		websocketpp::lib::error_code error;
		const auto code = websocketpp::close::status::policy_violation;
		if (_link.outgoing)
		{
			client.close(_link.handle, code, "", error);
		}
		else
		{
			server.close(_link.handle, code, "", error);
		}
	}

	void refuse(Link& _link, const char* _why)
	{
		++stats.refused;
		logEvent("link_refused", {{"why", _why}, {"box", _link.peer.box}});
		const connection_hdl handle = _link.handle;
		closeLink(_link);
		closed(handle); // Nothing more of it is heard, whatever is still on its way.
	}

	/// The server speaks first: a nonce. Then each side proves the key over both nonces.
	void challenge(const connection_hdl& _handle)
	{
		Link& link = addLink(_handle, false);
		sendRaw(link, json{{"nonce", link.ownNonce}}.dump(), false);
	}

	std::string proof(const std::string& _key, const char* _side, const Link& _link,
					  const std::string& _hello)
	{
		const std::string first = _link.outgoing ? _link.peerNonce : _link.ownNonce;
		const std::string second = _link.outgoing ? _link.ownNonce : _link.peerNonce;
		return hmacHex(_key, std::string(_side) + first + second + _hello);
	}

	void deriveKeys(Link& _link, const std::string& _key)
	{
		const std::string fromClient = proof(_key, "client-key", _link, "");
		const std::string fromServer = proof(_key, "server-key", _link, "");
		_link.sendKey = _link.outgoing ? fromClient : fromServer;
		_link.receiveKey = _link.outgoing ? fromServer : fromClient;
	}

	void sayHello(Link& _link, const std::string& _key)
	{
		const std::string hello = json(init.self).dump();
		json message{{"hello", hello},
					 {"mac", proof(_key, _link.outgoing ? "client" : "server", _link, hello)}};
		if (_link.outgoing)
		{
			message["nonce"] = _link.ownNonce;
		}
		sendRaw(_link, message.dump(), false);
	}

	void handshake(uint32_t _idx, const std::string& _payload)
	{
		Link& link = links.at(_idx);
		const json message = readJson(_payload);
		if (!message.is_object())
		{
			refuse(link, "malformed handshake");
			return;
		}
		if (message.contains("nonce"))
		{
			link.peerNonce = message.value("nonce", "");
		}
		if (link.outgoing && !message.contains("hello"))
		{
			sayHello(link, init.keys.front());
			return;
		}
		const std::string hello = message.value("hello", "");
		const std::string mac = message.value("mac", "");
		const char* side = link.outgoing ? "server" : "client";
		for (const std::string& key : init.keys)
		{
			if (equalConstantTime(proof(key, side, link, hello), mac))
			{
				openLink(_idx, key, hello);
				return;
			}
		}
		refuse(link, "wrong key");
	}

	void openLink(uint32_t _idx, const std::string& _key, const std::string& _hello)
	{
		Link& link = links.at(_idx);
		link.peer = parseJson(_hello).get<PeerInfo>();
		deriveKeys(link, _key);
		if (!link.outgoing)
		{
			sayHello(link, _key);
		}
		for (auto& [idx, other] : links)
		{
			const bool same = idx != _idx && other.open && other.peer.incarnation == link.peer.incarnation &&
							  other.outgoing == link.outgoing;
			if (same)
			{
				closeLink(other); // A newer connection of the same process replaces a dead one.
			}
		}
		link.open = true;
		++stats.opened;
		logEvent("link_open", {{"box", link.peer.box}, {"incarnation", link.peer.incarnation}});
		init.handlers.onOpen(LinkId{_idx}, link.peer);
	}

	void receive(const connection_hdl& _handle, bool _binary, const std::string& _payload)
	{
		const auto found = byHandle.find(_handle);
		if (found == byHandle.end())
		{
			return;
		}
		const uint32_t idx = found->second;
		Link& link = links.at(idx);
		stats.bytesIn += _payload.size();
		link.heardAt = monotonicNow();
		try
		{
			if (!_binary)
			{
				link.open ? refuse(link, "handshake twice") : handshake(idx, _payload);
				return;
			}
			receiveFrame(idx, _payload);
		}
		catch (const std::exception& failure)
		{
			const auto still = links.find(idx);
			if (still != links.end())
			{
				refuse(still->second, failure.what());
			}
		}
	}

	void receiveFrame(uint32_t _idx, const std::string& _payload)
	{
		Link& link = links.at(_idx);
		const std::string_view payload(_payload);
		const bool authentic =
			link.open && payload.size() >= kMacBytes &&
			equalConstantTime(frameMac(link.receiveKey, link.received, payload.substr(kMacBytes)),
							  payload.substr(0, kMacBytes));
		if (!authentic)
		{
			refuse(link, "forged or replayed frame");
			return;
		}
		++link.received;
		const json frames = json::from_cbor(payload.begin() + kMacBytes, payload.end());
		for (const json& frame : frames)
		{
			if (links.count(_idx) == 0)
			{
				return;
			}
			++stats.framesIn;
			const auto type = frame.at(0).get<uint32_t>();
			if (type >= uint32_t(MessageType::Count))
			{
				continue; // A newer peer may say more than this one knows.
			}
			init.handlers.onMessage(LinkId{_idx}, LinkMessage{MessageType(type), frame.at(1)});
		}
	}

	void closed(const connection_hdl& _handle)
	{
		const auto found = byHandle.find(_handle);
		if (found == byHandle.end())
		{
			return;
		}
		const uint32_t idx = found->second;
		byHandle.erase(found);
		const Link link = std::move(links.at(idx));
		links.erase(idx);
		if (link.outgoing)
		{
			dialing.erase(endpointText(link.endpoint));
		}
		if (link.open)
		{
			logEvent("link_closed", {{"box", link.peer.box}, {"incarnation", link.peer.incarnation}});
			init.handlers.onClose(LinkId{idx});
		}
	}

	void dial(const Endpoint& _endpoint)
	{
		const std::string text = endpointText(_endpoint);
		websocketpp::lib::error_code error;
		const Client::connection_ptr connection = client.get_connection("ws://" + text, error);
		if (error)
		{
			return;
		}
		dialing.insert(text);
		connection->set_open_handler([this, _endpoint](const connection_hdl& _handle) {
			addLink(_handle, true).endpoint = _endpoint;
		});
		connection->set_fail_handler([this, text](const connection_hdl&) { dialing.erase(text); });
		client.connect(connection);
	}

	void dialMissing()
	{
		for (const auto& [text, endpoint] : wanted)
		{
			if (dialing.count(text) == 0)
			{
				dial(endpoint);
			}
		}
	}

	/// A frozen peer keeps its socket open: silence is the sign.
	void closeSilent()
	{
		const TimeUs now = monotonicNow();
		std::vector<connection_hdl> silent;
		for (auto& [idx, link] : links)
		{
			if (now - link.heardAt > TimeUs(kLinkSilenceMs) * kMsToUs)
			{
				silent.push_back(link.handle);
			}
		}
		for (const connection_hdl& handle : silent)
		{
			const auto found = byHandle.find(handle);
			if (found != byHandle.end()) // Else the end of another one has closed it.
			{
				closeLink(links.at(found->second));
				closed(handle);
			}
		}
	}

	void flush()
	{
		flushPosted = false;
		for (auto& [idx, link] : links)
		{
			if (link.outbox.empty())
			{
				continue;
			}
			std::string payload(kMacBytes, '0');
			json::to_cbor(link.outbox, nlohmann::detail::output_adapter<char>(payload));
			const std::string mac =
				frameMac(link.sendKey, link.sent++, std::string_view(payload).substr(kMacBytes));
			payload.replace(0, kMacBytes, mac);
			link.outbox.clear();
			sendRaw(link, payload, true);
		}
	}
};

LinkHub::LinkHub(boost::asio::io_context& _io, LinkInit _init)
	: m_impl(std::make_unique<Impl>(_io, std::move(_init)))
{
	Impl& impl = *m_impl;
	impl.setHandlers(impl.server);
	impl.setHandlers(impl.client);
	impl.server.set_open_handler([&impl](const connection_hdl& _handle) { impl.challenge(_handle); });
	keepRunning("link_upkeep", [&impl] {
		while (!impl.ended)
		{
			noteIteration();
			impl.closeSilent();
			impl.dialMissing();
			sleepFor(kLinkRetryMs);
		}
	});
}

LinkHub::~LinkHub() = default;

uint16_t LinkHub::listen(const Endpoint& _endpoint)
{
	boost::system::error_code error;
	const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(_endpoint.ip, error),
												 _endpoint.port);
	websocketpp::lib::error_code failure = error;
	m_impl->server.set_reuse_addr(true);
	if (!failure)
	{
		m_impl->server.listen(address, failure);
	}
	if (!failure)
	{
		m_impl->server.start_accept(failure);
	}
	if (failure)
	{
		throw Failure(ErrorCode::Internal, fmt::format("links can't be taken at {}: {}",
													   endpointText(_endpoint), failure.message()));
	}
	m_impl->listening = true;
	return m_impl->server.get_local_endpoint(error).port();
}

bool LinkHub::isListening() const
{
	return m_impl->listening;
}

void LinkHub::stopListening()
{
	if (m_impl->listening)
	{
		m_impl->listening = false;
		websocketpp::lib::error_code error;
		m_impl->server.stop_listening(error);
	}
}

void LinkHub::end()
{
	m_impl->ended = true;
	m_impl->wanted.clear();
	stopListening();
	for (const LinkId link : openLinks())
	{
		close(link);
	}
}

void LinkHub::connect(const Endpoint& _endpoint)
{
	const std::string text = endpointText(_endpoint);
	m_impl->wanted[text] = _endpoint;
	if (m_impl->dialing.count(text) == 0)
	{
		m_impl->dial(
			_endpoint); // At once: until it is linked, a router that has just started places work blindly.
	}
}

void LinkHub::disconnect(const Endpoint& _endpoint)
{
	m_impl->wanted.erase(endpointText(_endpoint));
}

std::vector<LinkId> LinkHub::openLinks() const
{
	std::vector<LinkId> open;
	for (const auto& [idx, link] : m_impl->links)
	{
		if (link.open)
		{
			open.push_back(LinkId{idx});
		}
	}
	return open;
}

const PeerInfo* LinkHub::peer(LinkId _link) const
{
	const auto found = m_impl->links.find(_link.idx);
	return found == m_impl->links.end() || !found->second.open ? nullptr : &found->second.peer;
}

size_t LinkHub::queuedBytes(LinkId _link) const
{
	const auto found = m_impl->links.find(_link.idx);
	return found == m_impl->links.end() ? 0 : m_impl->queuedBytes(found->second);
}

LinkId LinkHub::linkTo(const std::string& _incarnation) const
{
	for (const auto& [idx, link] : m_impl->links)
	{
		if (link.open && link.peer.incarnation == _incarnation)
		{
			return LinkId{idx};
		}
	}
	return LinkId{};
}

void LinkHub::close(LinkId _link)
{
	const auto found = m_impl->links.find(_link.idx);
	if (found != m_impl->links.end())
	{
		const connection_hdl handle = found->second.handle;
		m_impl->closeLink(found->second);
		m_impl->closed(handle);
	}
}

const LinkStats& LinkHub::stats() const
{
	return m_impl->stats;
}

void LinkHub::sendJson(LinkId _to, MessageType _type, nlohmann::json _body)
{
	const auto found = m_impl->links.find(_to.idx);
	if (found == m_impl->links.end() || !found->second.open)
	{
		return;
	}
	++m_impl->stats.framesOut;
	found->second.outbox.push_back(json::array({uint32_t(_type), std::move(_body)}));
	if (!m_impl->flushPosted)
	{
		m_impl->flushPosted = true;
		boost::asio::post(m_impl->io, [impl = m_impl.get()] { impl->flush(); });
	}
}
} // namespace spanplank
