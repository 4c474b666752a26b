/// A caller's connection, which tells how a request on it ended: a router that closes before it has read all
/// that came resets the connection, one that has read it does not.
#ifndef SPANPLANK_TESTS_CALLER_CONNECTION_H_HEADER_GUARD
#define SPANPLANK_TESTS_CALLER_CONNECTION_H_HEADER_GUARD

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

#include "http_p.h"
#include "spanplank/types.h"

namespace spanplank
{
enum class CallEnd : uint8_t
{
	Whole,    ///< A whole answer.
	NotSent,  ///< The request was not written whole.
	Closed,   ///< The router had read all that came, and closed.
	Reset,    ///< The router closed with bytes unread, or its process ended with such.
	TimedOut, ///< Neither an answer nor an end came.
};

const char* name(CallEnd _end);

struct CallResult
{
	CallEnd end = CallEnd::NotSent;
	HttpResponse answer;  ///< Its status is 0 if no head came.
	TimeUs writtenAt = 0; ///< After the last byte of the request.
	TimeUs endedAt = 0;
};

struct CallerConnection
{
	std::unique_ptr<boost::beast::tcp_stream> stream; ///< Null: to be opened.
	TimeUs idleSince = 0;                             ///< When its last answer was whole, or it was opened.
	TimeUs keepAlive = 0; ///< The time for which the router said it stays open; 0: it said none.
	bool deaf = false;    ///< To prove a check: it reads no answer, as if the router had closed.
};

/// @returns Whether it could be opened.
bool openConnection(CallerConnection& _connection, const Endpoint& _endpoint, uint32_t _timeoutMs);
/// @returns Whether the caller may use it: the router has not closed it, as far as the caller can see.
bool isOpen(const CallerConnection& _connection);
/// Sends a request and reads its answer. The connection is dropped unless it may be used again.
CallResult sendOn(CallerConnection& _connection, const HttpCall& _call);
} // namespace spanplank

#endif // SPANPLANK_TESTS_CALLER_CONNECTION_H_HEADER_GUARD
