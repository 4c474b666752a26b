/// HTTP/1.1 server and client on Boost.Beast, one fiber for each connection.
#ifndef SPANPLANK_HTTP_P_H_HEADER_GUARD
#define SPANPLANK_HTTP_P_H_HEADER_GUARD

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "spanplank/endpoint.h"
#include "spanplank/errors.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Bytes of an answer that its parser may leave unread: the head of a chunk and trailers have no limit of
/// their own there.
constexpr size_t kMostUnparsedBytes = 64u << 10;

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct HttpHeader
{
	std::string name;
	std::string value;
};

struct HttpResponse
{
	int status = 0;
	std::vector<HttpHeader> headers;
	std::string body;
	bool endsWithConnection = false; ///< Received with neither a length nor chunks.
};

enum class ConnectionEnd : uint8_t;
struct ServedConnection;

/// The answering side of one request. Call `respond`, or `startStream`, `write` … `finish`.
class HttpExchange
{
public:
	using Fields = boost::beast::http::fields;

	/// @param[in] _draining Looked at when the answer begins; null: never draining.
	HttpExchange(ServedConnection& _connection, const HttpRequest& _request, const bool* _draining = nullptr);
	~HttpExchange();
	HttpExchange(const HttpExchange&) = delete;
	HttpExchange& operator=(const HttpExchange&) = delete;

	const HttpRequest& request() const
	{
		return m_request;
	}

	/// @returns When the caller's connection was accepted.
	TimeUs connectedAt() const;

	/// @returns The earliest time at which the request's first byte can have come: a busy process reads it
	/// later.
	TimeUs requestSince() const;

	void respond(const HttpResponse& _response);
	/// Passes on an answer whose fields are another server's. @returns Whether it was written whole. A caller
	/// that closes its side once it has the answer may be noticed before the write's own end: the write alone
	/// tells, so that an answer that was delivered is not logged as one whose caller left.
	bool passOn(int _status, const Fields& _fields, std::string_view _body);
	/// Starts a stream whose fields are another server's. @returns false once the caller is gone.
	bool passOnHead(int _status, const Fields& _fields);
	/// Ends the writes of a stream at a time, however little of it the caller has read by then. An answer
	/// that is whole may still be read later.
	void limitStream(TimeUs _until);
	/// Calls back at most once if the caller closes its side before the handler returns. A caller that closes
	/// only its sending side counts as one that left: the two can't be told apart.
	void onCallerGone(std::function<void()> _gone);
	/// @returns false once the caller is gone.
	bool startStream(int _status, const std::vector<HttpHeader>& _headers, std::string_view _contentType);
	bool write(std::string_view _part);
	/// Ends a stream. @returns Whether its end was written, judged as in `passOn`.
	bool finish();
	/// Ends the connection without an end mark: the caller sees a cut, never a short whole answer.
	void abort();

	/// @returns Whether the answer told that the connection takes another request after it.
	bool keepAlive() const
	{
		return m_keepAlive;
	}

	bool broken() const
	{
		return m_broken;
	}

	bool answered() const
	{
		return m_answered;
	}

	/// @returns Whether an answer was written to its end.
	bool whole() const
	{
		return m_whole;
	}

	/// Drops what `onCallerGone` was given. It refers to what its handler knew.
	void forgetCaller();

	/// @returns Whether the caller has closed its side while the answer is being made.
	bool callerGone();

private:
	void beginAnswer();
	void watchCaller();
	bool sendHead(boost::beast::http::response<boost::beast::http::empty_body>& _head);
	void armStreamWrite();

	/// Takes note of a write's end. @returns Whether it went well.
	bool noteWritten(const boost::beast::error_code& _error);
	/// As `noteWritten`, for the last write of an answer.
	bool noteWhole(const boost::beast::error_code& _error);
	void breakOff(ConnectionEnd _end, std::string _error);

	ServedConnection& m_connection;
	boost::beast::tcp_stream& m_stream;
	const HttpRequest& m_request;
	const bool* m_draining;
	TimeUs m_streamUntil = 0; ///< 0: no limit but that for slow callers.
	bool m_broken = false;
	bool m_answered = false;
	bool m_whole = false;
	bool m_keepAlive = false;
	std::shared_ptr<std::function<void()>> m_onGone;
};

using HttpHandler = std::function<void(HttpExchange&)>;

struct HttpServerLimits
{
	size_t bodyBytes = 1u << 20;
	size_t headerBytes = 16u << 10;
	uint32_t slowMs = 30000;   ///< For the body of a request, and for a caller that reads slowly.
	uint32_t headerMs = 30000; ///< From the first byte of a head to its end.
	uint32_t idleMs = 30000;   ///< Before the first byte of a request.
};

struct HttpServer
{
	std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
	size_t connections = 0;
	size_t busy = 0;        ///< Requests, from their first byte until their answer is written.
	bool accepting = false; ///< Until it is false again after `stopListening`, the server must stay.
	bool draining = false;  ///< Answers carry `Connection: close` once set.
	bool closing = false;   ///< Connections end as soon as no request is under way on them.
	HttpServerLimits limits;
	HttpHandler handler;
	/// Connections that ended without a whole answer to what was read of them, by `ConnectionEnd`.
	std::map<std::string, uint64_t> ended;
	std::map<uint64_t, std::shared_ptr<ServedConnection>> open; ///< By id.
	uint64_t nextConnection = 1;
	uint64_t handlerFailures = 0; ///< Requests whose handler ended by an exception.
};

/// Listens and serves; port 0 takes a free one. The server must outlive its connections.
/// @returns The port that it listens on.
uint16_t startHttpServer(boost::asio::io_context& _io, HttpServer& _server, const Endpoint& _endpoint);

/// Closes the listening socket.
void stopListening(HttpServer& _server);

/// Closes idle connections after a last look: a request that has come is still answered, and closes its
/// connection. Connections that are not idle follow with their answers.
void closeIdle(HttpServer& _server);

/// Counts and logs the requests under way, before a process that can't wait for them ends.
void noteCut(HttpServer& _server);

/// A failed call. `sent` tells whether any byte of the request could have left this process.
class HttpFailure : public Failure
{
public:
	HttpFailure(std::string _detail, bool _sent);

	bool sent() const
	{
		return m_sent;
	}

private:
	bool m_sent;
};

struct HttpCall
{
	std::string method = "POST";
	std::string target = "/";
	std::vector<HttpHeader> headers;
	std::string body;
	uint32_t timeoutMs = 5000; ///< Without progress for this long, the call fails.
};

/// Keeps idle connections to one endpoint.
struct HttpClient
{
	boost::asio::io_context* io = nullptr;
	Endpoint endpoint;
	std::vector<std::unique_ptr<boost::beast::tcp_stream>> idle;
};

/// Interim answers before the final one of a call; one that gives more has failed.
constexpr size_t kMostInterimAnswers = 8;

/// Lets another fiber end a running call.
struct HttpCancel
{
	bool cancelled = false;
	boost::beast::tcp_stream* stream = nullptr;
};

void cancel(HttpCancel& _cancel);

/// Called with the head (its body is empty) and each piece of the body as it comes.
using HttpPartHandler = std::function<void(const HttpResponse& _head, std::string_view _part)>;

/// @returns Whether nothing listens at the client's endpoint; false as well where that is not known in time.
bool refusesConnections(HttpClient& _client);

/// @returns Whether bytes that were written to a socket have not reached the other side; false as well where
/// that can't be told. An answer without a length that ends before they have may have been cut: it was begun
/// without the whole request.
bool hasUndelivered(boost::asio::ip::tcp::socket& _socket);

/// @throws HttpFailure
HttpResponse call(HttpClient& _client, const HttpCall& _call, const HttpPartHandler& _onPart = {},
				  HttpCancel* _cancel = nullptr);
} // namespace spanplank

#endif // SPANPLANK_HTTP_P_H_HEADER_GUARD
