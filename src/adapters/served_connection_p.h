/// One connection of a caller: its socket, reading from it within limits, and how it ended.
#ifndef SPANPLANK_SERVED_CONNECTION_P_H_HEADER_GUARD
#define SPANPLANK_SERVED_CONNECTION_P_H_HEADER_GUARD

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <string>

#include "spanplank/types.h"

namespace spanplank
{
struct HttpServer;

/// Why a connection ended with a request begun that got no whole answer of the handler's.
enum class ConnectionEnd : uint8_t
{
	None,          ///< Each request was answered whole.
	HeadLate,      ///< The head took longer than its limit.
	BodyLate,      ///< The body took longer than its limit.
	TooLarge,      ///< Head or body.
	Malformed,     ///< Not HTTP, or not as it must be.
	CallerClosed,  ///< Its end came before that of the request.
	CallerLeft,    ///< Its end came before that of the answer.
	ReadFailed,    ///< The socket failed while a request was read.
	WriteFailed,   ///< The socket failed, or its caller read too slowly, while an answer was written.
	BrokenOff,     ///< The handler cut the answer.
	HandlerFailed, ///< The handler ended without a whole answer.
	Stopped,       ///< The process ends.
};

/// @returns The end as logs and metrics name it.
const char* name(ConnectionEnd _end);

/// @returns Who ended a connection: `caller`, `limit`, `stop` or `error`.
const char* closedBy(ConnectionEnd _end);

/// One connection, from its acceptance to its end.
struct ServedConnection
{
	explicit ServedConnection(boost::asio::io_context& _io) : stream(_io)
	{
	}

	boost::beast::tcp_stream stream;
	boost::beast::flat_buffer buffer; ///< Bytes that were read and are of no request yet.
	TimeUs acceptedAt = 0;
	TimeUs nextSince = 0; ///< The earliest time at which the next request can come: after the last answer.
	/// The earliest time at which what the last wait for bytes brought can have come; 0: there was no wait.
	TimeUs readableSince = 0;
	TimeUs idleSince = 0;    ///< When it was accepted, or the last answer written.
	TimeUs requestAt = 0;    ///< When the first byte of the request under way was seen.
	TimeUs requestSince = 0; ///< The earliest time at which that byte can have come.
	uint32_t armedMs = 0;    ///< The limit that the last wait went by.
	size_t requestBytes = 0; ///< Read of the request under way; 0: none is under way.
	bool idle = false;       ///< It waits for the first byte of a request.
	int status = 0;          ///< Of the server's own refusal; 0: it sent none.
	std::string error;       ///< The socket's or the parser's own words.
	ConnectionEnd end = ConnectionEnd::None;
};

/// How a wait for bytes ended.
enum class ReadEnd : uint8_t
{
	Bytes,   ///< Some came; also if the limit was over by then.
	Late,    ///< The limit is over and the socket is empty.
	Closing, ///< The server closes its idle connections and the socket is empty.
	Ended,   ///< The caller closed its side.
	Failed,  ///< `error` of the connection tells how.
};

/// Until when bytes are waited for. Both are looked at anew whenever the wait wakes.
struct ReadLimit
{
	TimeUs since = 0;
	const uint32_t& limitMs;       ///< As the configuration in force has it.
	const bool* closing = nullptr; ///< Set: wait no longer. Null: nothing but the limit ends the wait.
};

/// Reads what has come into the connection's buffer, or waits for it.
ReadEnd awaitBytes(ServedConnection& _connection, const ReadLimit& _limit);

/// Looks whether the caller has closed its side. Bytes of a next request that it has sent early are kept, up
/// to a bound: beyond that its end is not seen.
bool hasLeft(ServedConnection& _connection);

/// @returns Whether no more is read of a caller that sends requests before the answer to the first.
bool holdsMostEarlyBytes(const ServedConnection& _connection);

/// @returns Whether bytes have come that were not read.
bool hasUnread(ServedConnection& _connection);

/// Counts and logs a connection that ends without a whole answer to what was read of it; says nothing of the
/// others.
void noteConnectionEnd(HttpServer& _server, const ServedConnection& _connection);
} // namespace spanplank

#endif // SPANPLANK_SERVED_CONNECTION_P_H_HEADER_GUARD
