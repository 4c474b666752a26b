/// Serves HTTP/1.1: connections of callers, reading requests within limits, handlers. Answers are written in
/// `http_exchange.cpp`.
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "fiber_runtime_p.h"
#include "http_head_p.h"
#include "http_p.h"
#include "log_p.h"
#include "node_p.h"
#include "served_connection_p.h"

namespace spanplank
{
namespace
{
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Connections that are accepted in one turn of the loop, beside the one that was waited for.
constexpr size_t kMostAccepted = 64;
constexpr int kHeadTooLarge = 431;    ///< RFC 6585
constexpr unsigned kHttpVersion = 11; ///< HTTP/1.1, as Beast counts.

/// A refusal by the server itself, in the body that all refusals have.
HttpResponse serverRefusal(ErrorCode _code, const char* _detail, RunState _run = RunState::No)
{
	return refusalResponse(Refusal{_code, _run, 0, _detail}, "");
}

/// Reads on for a while after a refusal: closing with unread bytes would reset the connection, and the caller
/// would lose the answer.
void drain(beast::tcp_stream& _stream)
{
	constexpr size_t kMostBytes = 16u << 20;
	beast::error_code ignored;
	_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
	_stream.expires_after(std::chrono::seconds(2));
	std::vector<char> bytes(65536);
	for (size_t total = 0; total < kMostBytes;)
	{
		const IoResult read =
			awaitIo([&](auto _done) { _stream.async_read_some(boost::asio::buffer(bytes), _done); });
		if (read.error)
		{
			return;
		}
		total += read.bytes;
	}
}

/// Counts a request for as long as it is served, also if that ends by an exception.
class BusyMark
{
public:
	explicit BusyMark(HttpServer& _server) : m_server(_server)
	{
		++m_server.busy;
	}

	~BusyMark()
	{
		--m_server.busy;
	}

	BusyMark(const BusyMark&) = delete;
	BusyMark& operator=(const BusyMark&) = delete;

private:
	HttpServer& m_server;
};

/// Waits for a request on a connection that may stay idle.
bool awaitFirstByte(HttpServer& _server, ServedConnection& _connection)
{
	_connection.requestBytes = 0;
	_connection.readableSince = 0;
	_connection.idleSince = monotonicNow();
	if (_connection.buffer.size() == 0) // Else the caller sent it along with the request before.
	{
		_connection.idle = true;
		const ReadEnd end =
			awaitBytes(_connection, {_connection.idleSince, _server.limits.idleMs, &_server.closing});
		_connection.idle = false;
		if (end != ReadEnd::Bytes)
		{
			return false;
		}
	}
	_connection.requestAt = monotonicNow();
	_connection.requestSince = std::max(_connection.nextSince, _connection.readableSince);
	_connection.requestBytes = _connection.buffer.size();
	return true;
}

/// Answers in place of the handler.
void refuseItself(ServedConnection& _connection, HttpRequest& _request, const HttpResponse& _refusal)
{
	_connection.status = _refusal.status;
	_request.keep_alive(false);
	HttpExchange exchange(_connection, _request);
	exchange.respond(_refusal);
}

/// A request of HTTP/1.1 has one Host field (RFC 9112, 3.2).
bool hasOneHost(ServedConnection& _connection, HttpRequest& _request)
{
	if (_request.version() < kHttpVersion || _request.count(http::field::host) == 1)
	{
		return true;
	}
	_connection.end = ConnectionEnd::Malformed;
	refuseItself(_connection, _request,
				 serverRefusal(ErrorCode::BadRequest, "a request needs one Host field"));
	return false;
}

/// Answers a request that could not be read, if its caller is there to read the answer.
void refuseUnread(ServedConnection& _connection, HttpRequest& _request, const beast::error_code& _error)
{
	HttpResponse refusal;
	switch (_connection.end)
	{
	case ConnectionEnd::TooLarge:
		refusal = serverRefusal(ErrorCode::Oversize, "the request is larger than allowed");
		refusal.status = _error == http::error::header_limit ? kHeadTooLarge : refusal.status;
		break;
	case ConnectionEnd::Malformed:
		refusal = serverRefusal(ErrorCode::BadRequest, "malformed HTTP request");
		break;
	case ConnectionEnd::HeadLate:
	case ConnectionEnd::BodyLate:
		refusal = serverRefusal(ErrorCode::DeadlinePassed, "the request took too long to come");
		break;
	default:
		return;
	}
	refuseItself(_connection, _request, refusal);
}

/// @returns Whether a request's body ends where every reader of it must find its end (RFC 9112, 6.1 and 6.3).
/// The parser takes a body whose coding it does not know for an empty one; what follows would be run as a
/// request.
bool isDelimited(const HttpRequest& _request)
{
	const size_t codings = _request.count(http::field::transfer_encoding);
	if (codings == 0)
	{
		return true;
	}
	const bool chunked = codings == 1 && beast::iequals(_request[http::field::transfer_encoding], "chunked");
	return chunked && _request.version() >= kHttpVersion && _request.count(http::field::content_length) == 0;
}

bool hasCertainEnd(ServedConnection& _connection, HttpRequest& _request)
{
	if (isDelimited(_request))
	{
		return true;
	}
	_connection.end = ConnectionEnd::Malformed;
	_connection.error = "the body's end is not certain";
	refuseItself(
		_connection, _request,
		serverRefusal(ErrorCode::BadRequest, "a body needs one length, or chunks and no other coding"));
	return false;
}

using RequestParser = http::request_parser<http::string_body>;

/// Hands what was read to the parser.
/// @returns Whether the connection may go on; otherwise its end is noted.
bool parse(ServedConnection& _connection, RequestParser& _parser, beast::error_code& _error)
{
	if (!_parser.is_header_done() && hasFoldedField(_connection.buffer.data()))
	{
		_connection.end = ConnectionEnd::Malformed;
		_connection.error = "a field is folded";
		return false;
	}
	while (_connection.buffer.size() > 0 && !_parser.is_done() && !_error)
	{
		_connection.buffer.consume(_parser.put(_connection.buffer.data(), _error));
	}
	if (!_error || _error == http::error::need_more)
	{
		_error = {};
		return true;
	}
	const bool large = _error == http::error::body_limit || _error == http::error::header_limit;
	_connection.end = large ? ConnectionEnd::TooLarge : ConnectionEnd::Malformed;
	_connection.error = _error.message();
	return false;
}

/// Waits for more of a request.
/// @returns Whether some came; otherwise the connection's end is noted.
bool readMore(HttpServer& _server, ServedConnection& _connection, bool _inBody, TimeUs _since)
{
	const uint32_t& limitMs = _inBody ? _server.limits.slowMs : _server.limits.headerMs;
	const size_t before = _connection.buffer.size();
	switch (awaitBytes(_connection, {_since, limitMs}))
	{
	case ReadEnd::Bytes:
		_connection.requestBytes += _connection.buffer.size() - before;
		return true;
	case ReadEnd::Late:
		_connection.end = _inBody ? ConnectionEnd::BodyLate : ConnectionEnd::HeadLate;
		return false;
	case ReadEnd::Ended:
		_connection.end = ConnectionEnd::CallerClosed;
		return false;
	default:
		_connection.end = ConnectionEnd::ReadFailed;
		return false;
	}
}

/// Reads the request whose first bytes have come.
bool readRequest(HttpServer& _server, ServedConnection& _connection, HttpRequest& _request)
{
	RequestParser parser;
	parser.eager(true);
	parser.body_limit(_server.limits.bodyBytes);
	parser.header_limit(uint32_t(_server.limits.headerBytes));
	beast::error_code error;
	TimeUs since = _connection.requestAt;
	bool inBody = false;
	bool sound = parse(_connection, parser, error);
	while (sound && !parser.is_done())
	{
		if (!inBody && parser.is_header_done())
		{
			inBody = true;
			since = monotonicNow();
		}
		sound = readMore(_server, _connection, inBody, since) && parse(_connection, parser, error);
	}
	if (!sound)
	{
		refuseUnread(_connection, _request, error);
		return false;
	}
	_request = parser.release();
	return hasCertainEnd(_connection, _request) && hasOneHost(_connection, _request);
}

/// Ends an exchange whose handler has returned: what it left open must not look answered.
void closeExchange(ServedConnection& _connection, HttpRequest& _request, HttpExchange& _exchange)
{
	if (_exchange.whole() || _exchange.broken())
	{
		return;
	}
	_connection.end = ConnectionEnd::HandlerFailed;
	if (_exchange.answered())
	{
		_exchange.abort();
		return;
	}
	_request.keep_alive(false);
	_connection.status = httpStatus(ErrorCode::Internal);
	_exchange.respond(serverRefusal(ErrorCode::Internal, "the router failed", RunState::Unknown));
}

void noteHandlerFailure(HttpServer& _server, const HttpRequest& _request, const char* _error)
{
	++_server.handlerFailures;
	logEvent("handler_failed", {{"target", std::string(_request.target())}, {"error", _error}});
}

/// Has the handler answer one request.
/// @returns Whether the connection takes another one.
bool answerRequest(HttpServer& _server, ServedConnection& _connection, HttpRequest& _request)
{
	HttpExchange exchange(_connection, _request, &_server.draining);
	std::optional<Refusal> refusal;
	try
	{
		_server.handler(exchange);
	}
	catch (const Failure& failure)
	{
		noteHandlerFailure(_server, _request, failure.what());
		// A handler that finds fault with a request refuses it: what it throws speaks of something else.
		refusal = concernsRequest(failure.refusal().code) ? std::nullopt : std::optional(failure.refusal());
	}
	catch (const std::exception& failure)
	{
		noteHandlerFailure(_server, _request, failure.what());
	}
	exchange.forgetCaller();
	if (refusal && !exchange.answered())
	{
		exchange.respond(refusalResponse(*refusal, ""));
	}
	closeExchange(_connection, _request, exchange);
	return exchange.keepAlive() && !exchange.broken();
}

/// Closes a connection. One that holds bytes that nobody will read would be reset, and its caller could lose
/// the answer before them.
void closeInOrder(ServedConnection& _connection)
{
	if (_connection.status != 0 || hasUnread(_connection))
	{
		drain(_connection.stream);
	}
	beast::error_code ignored;
	_connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

void serveConnection(HttpServer& _server, ServedConnection& _connection)
{
	bool keepAlive = true;
	while (keepAlive && awaitFirstByte(_server, _connection))
	{
		const BusyMark busy(_server);
		HttpRequest request;
		keepAlive =
			readRequest(_server, _connection, request) && answerRequest(_server, _connection, request);
		_connection.nextSince = monotonicNow();
	}
	noteConnectionEnd(_server, _connection);
	_connection.requestBytes = 0; // Nothing is under way any more.
	closeInOrder(_connection);
}

/// Serves a connection in a fiber of its own.
void openConnection(HttpServer& _server, std::shared_ptr<ServedConnection> _connection)
{
	boost::system::error_code ignored; // A connection that failed already shows in its first read.
	_connection->stream.socket().set_option(tcp::no_delay(true), ignored);
	_connection->acceptedAt = monotonicNow();
	_connection->nextSince = loopPromptness().waitingSince;
	const uint64_t id = _server.nextConnection++;
	++_server.connections;
	_server.open.emplace(id, _connection);
	const auto forget = [&_server, id] {
		_server.open.erase(id);
		--_server.connections;
	};
	try
	{
		spawnFiber([&_server, connection = std::move(_connection), forget] {
			try
			{
				serveConnection(_server, *connection);
			}
			catch (const std::exception& failure)
			{
				logEvent("connection_failed", {{"error", failure.what()}});
			}
			forget();
		});
	}
	catch (const std::exception& failure) // No memory for the fiber's stack.
	{
		logEvent("connection_failed", {{"error", failure.what()}});
		forget();
	}
}

/// Accepts the connections that wait: one in each turn of the loop would make those after it wait for as many
/// turns.
void acceptWaiting(boost::asio::io_context& _io, HttpServer& _server)
{
	for (size_t ii = 0; ii < kMostAccepted && _server.acceptor->is_open(); ++ii)
	{
		auto connection = std::make_shared<ServedConnection>(_io);
		boost::system::error_code error;
		_server.acceptor->accept(connection->stream.socket(), error);
		if (error)
		{
			return; // None waits, or the next asynchronous wait fails in the same way.
		}
		openConnection(_server, std::move(connection));
	}
}

void acceptLoop(boost::asio::io_context& _io, HttpServer& _server)
{
	while (_server.acceptor->is_open())
	{
		auto connection = std::make_shared<ServedConnection>(_io);
		const IoResult accepted =
			awaitIo([&](auto _done) { _server.acceptor->async_accept(connection->stream.socket(), _done); });
		if (accepted.error)
		{
			sleepFor(accepted.error == boost::asio::error::operation_aborted ? 0 : 10);
			continue;
		}
		openConnection(_server, std::move(connection));
		acceptWaiting(_io, _server);
	}
	_server.accepting = false;
}
} // namespace

uint16_t startHttpServer(boost::asio::io_context& _io, HttpServer& _server, const Endpoint& _endpoint)
{
	const tcp::endpoint address(boost::asio::ip::make_address(_endpoint.ip), _endpoint.port);
	_server.acceptor = std::make_unique<tcp::acceptor>(_io);
	_server.acceptor->open(address.protocol());
	_server.acceptor->set_option(tcp::acceptor::reuse_address(true));
	_server.acceptor->bind(address);
	_server.acceptor->listen();
	_server.acceptor->non_blocking(true);
	_server.accepting = true;
	keepRunning("accept", [&_io, &_server] { acceptLoop(_io, _server); });
	return _server.acceptor->local_endpoint().port();
}

void stopListening(HttpServer& _server)
{
	boost::system::error_code ignored;
	_server.acceptor->close(ignored);
}

void closeIdle(HttpServer& _server)
{
	_server.draining = true;
	_server.closing = true;
	for (const auto& [id, connection] : _server.open)
	{
		boost::system::error_code ignored;
		if (connection->idle)
		{
			connection->stream.socket().cancel(ignored); // Wakes its wait, which then looks a last time.
		}
	}
}

void noteCut(HttpServer& _server)
{
	for (const auto& [id, connection] : _server.open)
	{
		if (connection->requestBytes > 0 && connection->end == ConnectionEnd::None)
		{
			connection->end = ConnectionEnd::Stopped;
			noteConnectionEnd(_server, *connection);
		}
	}
}
} // namespace spanplank
