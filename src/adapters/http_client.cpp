#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "fiber_runtime_p.h"
#include "http_head_p.h"
#include "http_p.h"

namespace spanplank
{
namespace
{
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Stream = std::unique_ptr<beast::tcp_stream>;

constexpr uint64_t kMostBodyBytes = 64u << 20;

/// An idle connection that the other side has closed must not be used: a byte written to it counts as sent.
bool stillOpen(beast::tcp_stream& _stream)
{
	char byte = 0;
	const ssize_t peeked = ::recv(_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Stream takeIdle(HttpClient& _client)
{
	while (!_client.idle.empty())
	{
		Stream stream = std::move(_client.idle.back());
		_client.idle.pop_back();
		if (stillOpen(*stream))
		{
			return stream;
		}
	}
	return nullptr;
}

/// Closes a stream whose step takes too long. Not by the stream's own timer: that goes by the steady clock,
/// and a call that was under way as its box was suspended would hold its fiber for the whole time again.
class StepLimit
{
public:
	StepLimit(boost::asio::io_context& _io, beast::tcp_stream& _stream, uint32_t _ms)
		: m_timer(_io, std::chrono::milliseconds(_ms)), m_passed(std::make_shared<bool>(false))
	{
		m_timer.async_wait([&_stream, passed = m_passed](boost::system::error_code _error) {
			if (!_error)
			{
				*passed = true;
				_stream.close();
			}
		});
	}

	/// @returns Whether it has closed the stream, perhaps after the step had ended.
	bool passed() const
	{
		return *m_passed;
	}

	/// @returns What to tell of a step that failed.
	std::string describe(const boost::system::error_code& _error) const
	{
		return *m_passed ? "no progress in time" : _error.message();
	}

private:
	BootTimer m_timer; ///< Its end cancels the wait.
	std::shared_ptr<bool> m_passed;
};

tcp::endpoint addressOf(const HttpClient& _client, boost::system::error_code& _error)
{
	return {boost::asio::ip::make_address(_client.endpoint.ip, _error), _client.endpoint.port};
}

Stream connect(HttpClient& _client, uint32_t _timeoutMs)
{
	auto stream = std::make_unique<beast::tcp_stream>(*_client.io);
	boost::system::error_code error;
	const tcp::endpoint address = addressOf(_client, error);
	if (error)
	{
		throw HttpFailure("address: " + error.message(), false);
	}
	const StepLimit limit(*_client.io, *stream, _timeoutMs);
	const IoResult connected = awaitIo([&](auto _done) { stream->async_connect(address, _done); });
	// The limit may pass in the turn of the loop that makes the connection, most likely after a freeze.
	if (connected.error || limit.passed())
	{
		throw HttpFailure("connect: " + limit.describe(connected.error), false);
	}
	boost::system::error_code ignored; // A connection that failed already shows in its first write.
	stream->socket().set_option(tcp::no_delay(true), ignored);
	return stream;
}

http::request<http::string_body> toMessage(const HttpClient& _client, const HttpCall& _call)
{
	http::request<http::string_body> message;
	message.method_string(_call.method); // Not by the list of known methods, which has no text for others.
	message.target(_call.target);
	message.version(11);
	message.set(http::field::host, _client.endpoint.ip);
	for (const HttpHeader& header : _call.headers)
	{
		message.set(header.name, header.value);
	}
	message.keep_alive(true);
	message.body() = _call.body;
	message.prepare_payload();
	return message;
}

/// Reads the head of the final answer; interim ones before it are skipped (RFC 9110, 15.2).
std::unique_ptr<AnswerParser> readHead(boost::asio::io_context& _io, beast::tcp_stream& _stream,
									   const HttpCall& _call, beast::flat_buffer& _buffer)
{
	const StepLimit limit(_io, _stream, _call.timeoutMs);
	for (size_t ii = 0; ii <= kMostInterimAnswers; ++ii)
	{
		auto parser = std::make_unique<AnswerParser>();
		parser->body_limit(kMostBodyBytes);
		const IoResult read = awaitIo([&](auto _done) { asyncReadHead(_stream, _buffer, _done); });
		const boost::system::error_code error = read.error ? read.error : parseAnswerHead(*parser, _buffer);
		if (error)
		{
			throw HttpFailure("answer: " + limit.describe(error), true);
		}
		if (!isInterim(parser->get().result_int()))
		{
			return parser;
		}
	}
	throw HttpFailure("answer: too many interim answers", true);
}

HttpResponse readAnswer(boost::asio::io_context& _io, beast::tcp_stream& _stream, const HttpCall& _call,
						const HttpPartHandler& _onPart, bool& _keepAlive)
{
	beast::flat_buffer buffer{kMostUnparsedBytes};
	const std::unique_ptr<AnswerParser> head = readHead(_io, _stream, _call, buffer);
	AnswerParser& parser = *head;
	HttpResponse response;
	response.status = int(parser.get().result_int());
	response.endsWithConnection = parser.need_eof();
	for (const auto& field : parser.get())
	{
		response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
	}
	char piece[16384];
	while (!parser.is_done())
	{
		parser.get().body().data = piece;
		parser.get().body().size = sizeof(piece);
		parser.get().body().more = true;
		const StepLimit limit(_io, _stream, _call.timeoutMs);
		const IoResult read =
			awaitIo([&](auto _done) { http::async_read_some(_stream, buffer, parser, _done); });
		const std::string_view part(piece, sizeof(piece) - parser.get().body().size);
		if (_onPart && !part.empty())
		{
			_onPart(response, part);
		}
		else
		{
			response.body.append(part);
		}
		if (read.error && read.error != http::error::need_buffer)
		{
			throw HttpFailure("answer cut: " + limit.describe(read.error), true);
		}
	}
	if (response.endsWithConnection && hasUndelivered(_stream.socket()))
	{
		throw HttpFailure("answer cut: it ended before the request was read", true);
	}
	_keepAlive = parser.get().keep_alive();
	return response;
}
} // namespace

HttpFailure::HttpFailure(std::string _detail, bool _sent)
	: Failure(
		  Refusal{ErrorCode::UpstreamLost, _sent ? RunState::Unknown : RunState::No, 0, std::move(_detail)}),
	  m_sent(_sent)
{
}

bool refusesConnections(HttpClient& _client)
{
	constexpr uint32_t kPatienceMs = 300;
	boost::system::error_code error;
	const tcp::endpoint address = addressOf(_client, error);
	if (error)
	{
		return false;
	}
	beast::tcp_stream stream(*_client.io);
	const StepLimit limit(*_client.io, stream, kPatienceMs);
	const IoResult connected = awaitIo([&](auto _done) { stream.async_connect(address, _done); });
	return connected.error == boost::asio::error::connection_refused;
}

bool hasUndelivered(tcp::socket& _socket)
{
	int bytes = 0;
	return ::ioctl(_socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void cancel(HttpCancel& _cancel)
{
	_cancel.cancelled = true;
	if (_cancel.stream != nullptr)
	{
		_cancel.stream->close(); // A cancel alone would miss a call that works on what it has read.
	}
}

HttpResponse call(HttpClient& _client, const HttpCall& _call, const HttpPartHandler& _onPart,
				  HttpCancel* _cancel)
{
	Stream stream = takeIdle(_client);
	if (!stream)
	{
		stream = connect(_client, _call.timeoutMs);
	}
	HttpCancel none;
	HttpCancel& cancelled = _cancel != nullptr ? *_cancel : none;
	if (cancelled.cancelled)
	{
		throw HttpFailure("cancelled", false);
	}
	cancelled.stream = stream.get();
	struct Detach
	{
		HttpCancel& cancelled;
		~Detach()
		{
			cancelled.stream = nullptr;
		}
	} detach{cancelled};
	const http::request<http::string_body> message = toMessage(_client, _call);
	{
		const StepLimit limit(*_client.io, *stream, _call.timeoutMs);
		const IoResult written = awaitIo([&](auto _done) { http::async_write(*stream, message, _done); });
		if (written.error)
		{
			throw HttpFailure("send: " + limit.describe(written.error), true);
		}
	}
	bool keepAlive = false;
	HttpResponse response = readAnswer(*_client.io, *stream, _call, _onPart, keepAlive);
	if (keepAlive)
	{
		_client.idle.push_back(std::move(stream));
	}
	return response;
}
} // namespace spanplank
