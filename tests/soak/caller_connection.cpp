/// Writes requests and reads answers as a caller does, and tells a close from a reset.
#include "caller_connection.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "http_head_p.h"
#include "soak_state.h"

namespace spanplank
{
namespace
{
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr uint64_t kMostAnswerBytes = 64u << 20;
constexpr uint32_t kResetWaitMs =
	1000; ///< A router that closes with bytes unread: its end comes first, then the reset.

bool wasReset(beast::tcp_stream& _stream)
{
	tcp_info info{};
	socklen_t size = sizeof(info);
	::getsockopt(_stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
	return info.tcpi_state == TCP_CLOSE;
}

/// @returns What an answer that did not come whole means. @param[in] _begun Whether its head came.
CallEnd endOf(beast::tcp_stream& _stream, const beast::error_code& _error, bool _begun)
{
	if (_error == beast::error::timeout)
	{
		return CallEnd::TimedOut;
	}
	const bool ended = _error == boost::asio::error::eof || _error == http::error::end_of_stream ||
					   _error == http::error::partial_message;
	if (!ended)
	{
		return CallEnd::Reset;
	}
	const TimeUs until = monotonicNow() + kResetWaitMs * kMsToUs;
	while (!_begun && !wasReset(_stream) && monotonicNow() < until)
	{
		sleepFor(1);
	}
	return wasReset(_stream) ? CallEnd::Reset : CallEnd::Closed;
}

http::request<http::string_body> messageOf(const HttpCall& _call)
{
	http::request<http::string_body> message(http::string_to_verb(_call.method), _call.target, 11);
	for (const HttpHeader& header : _call.headers)
	{
		message.set(header.name, header.value);
	}
	message.body() = _call.body;
	message.prepare_payload();
	return message;
}

void noteKeepAlive(CallerConnection& _connection, const http::fields& _head)
{
	constexpr std::string_view kTimeout = "timeout=";
	const std::string text(_head["Keep-Alive"]);
	const size_t at = text.find(kTimeout);
	_connection.keepAlive =
		at == std::string::npos ? 0 : std::stol(text.substr(at + kTimeout.size())) * kSecond;
}

void readAnswer(CallerConnection& _connection, CallResult& _result)
{
	beast::tcp_stream& stream = *_connection.stream;
	beast::flat_buffer buffer;
	http::response_parser<http::string_body> parser;
	parser.body_limit(kMostAnswerBytes);
	IoResult read = awaitIo([&](auto _done) { asyncReadHead(stream, buffer, _done); });
	read.error = read.error ? read.error : parseAnswerHead(parser, buffer);
	if (!read.error)
	{
		_result.answer.status = int(parser.get().result_int());
		read = awaitIo([&](auto _done) { http::async_read(stream, buffer, parser, _done); });
	}
	_result.answer.body = parser.get().body();
	_result.endedAt = monotonicNow();
	if (read.error)
	{
		_result.end = endOf(stream, read.error, _result.answer.status != 0);
		return;
	}
	_result.end = CallEnd::Whole;
	noteKeepAlive(_connection, parser.get());
	if (!parser.get().keep_alive())
	{
		_connection.stream.reset();
	}
}
} // namespace

const char* name(CallEnd _end)
{
	constexpr const char* kNames[] = {"whole", "not sent", "closed", "reset", "timed out"};
	return kNames[size_t(_end)];
}

bool openConnection(CallerConnection& _connection, const Endpoint& _endpoint, uint32_t _timeoutMs)
{
	_connection = {};
	auto stream = std::make_unique<beast::tcp_stream>(testIo());
	stream->expires_after(std::chrono::milliseconds(_timeoutMs));
	const tcp::endpoint address(boost::asio::ip::make_address(_endpoint.ip), _endpoint.port);
	if (awaitIo([&](auto _done) { stream->async_connect(address, _done); }).error)
	{
		return false;
	}
	stream->socket().set_option(tcp::no_delay(true));
	_connection.stream = std::move(stream);
	_connection.idleSince = monotonicNow();
	return true;
}

bool isOpen(const CallerConnection& _connection)
{
	if (!_connection.stream)
	{
		return false;
	}
	char byte = 0;
	const int socket = _connection.stream->socket().native_handle();
	return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

CallResult sendOn(CallerConnection& _connection, const HttpCall& _call)
{
	CallResult result;
	beast::tcp_stream& stream = *_connection.stream;
	const http::request<http::string_body> message = messageOf(_call);
	stream.expires_after(std::chrono::milliseconds(_call.timeoutMs));
	const IoResult written = awaitIo([&](auto _done) { http::async_write(stream, message, _done); });
	result.writtenAt = result.endedAt = monotonicNow();
	if (!written.error)
	{
		if (_connection.deaf)
		{
			boost::system::error_code ignored;
			stream.socket().shutdown(tcp::socket::shutdown_receive, ignored);
		}
		readAnswer(_connection, result);
	}
	_connection.idleSince = result.endedAt;
	if (result.end != CallEnd::Whole)
	{
		_connection.stream.reset();
	}
	return result;
}
} // namespace spanplank
