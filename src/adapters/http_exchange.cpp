/// The answering side of a request: whole answers, streams, and callers that leave meanwhile.
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "fiber_runtime_p.h"
#include "http_p.h"
#include "served_connection_p.h"

namespace spanplank
{
namespace
{
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::chrono::seconds kWriteLimit(30); ///< For one write to a caller that reads slowly.

void setHeaders(http::fields& _fields, const std::vector<HttpHeader>& _headers)
{
	for (const HttpHeader& header : _headers)
	{
		_fields.set(header.name, header.value);
	}
}
} // namespace

HttpExchange::HttpExchange(ServedConnection& _connection, const HttpRequest& _request, const bool* _draining)
	: m_connection(_connection), m_stream(_connection.stream), m_request(_request), m_draining(_draining)
{
}

HttpExchange::~HttpExchange()
{
	forgetCaller();
}

void HttpExchange::onCallerGone(std::function<void()> _gone)
{
	m_onGone = std::make_shared<std::function<void()>>(std::move(_gone));
	watchCaller();
}

void HttpExchange::forgetCaller()
{
	if (m_onGone)
	{
		*m_onGone = nullptr;
	}
}

void HttpExchange::watchCaller()
{
	const auto onReadable = [this, callback = m_onGone](beast::error_code _error) {
		if (!*callback || _error)
		{
			return; // The exchange is over, or its socket closed by this side.
		}
		if (callerGone())
		{
			breakOff(ConnectionEnd::CallerLeft, "");
			(*callback)();
		}
		else if (!holdsMostEarlyBytes(m_connection))
		{
			watchCaller(); // It has sent a next request early, and may leave yet.
		}
	};
	m_stream.socket().async_wait(tcp::socket::wait_read, onReadable);
}

void HttpExchange::beginAnswer()
{
	m_answered = true;
	m_keepAlive = m_request.keep_alive() && (m_draining == nullptr || !*m_draining);
}

TimeUs HttpExchange::connectedAt() const
{
	return m_connection.acceptedAt;
}

TimeUs HttpExchange::requestSince() const
{
	return m_connection.requestSince;
}

void HttpExchange::breakOff(ConnectionEnd _end, std::string _error)
{
	m_broken = true;
	if (m_connection.end == ConnectionEnd::None) // The first cause is the one that counts.
	{
		m_connection.end = _end;
		m_connection.error = std::move(_error);
	}
}

bool HttpExchange::noteWhole(const beast::error_code& _error)
{
	m_whole = !_error;
	if (!_error && m_connection.end == ConnectionEnd::CallerLeft)
	{
		m_connection.end = ConnectionEnd::None; // It closed its side and read on: nothing of it was lost.
	}
	return noteWritten(_error);
}

bool HttpExchange::noteWritten(const beast::error_code& _error)
{
	if (_error)
	{
		breakOff(ConnectionEnd::WriteFailed, _error.message());
	}
	return !_error;
}

bool HttpExchange::passOn(int _status, const Fields& _fields, std::string_view _body)
{
	beginAnswer();
	http::response<http::span_body<const char>> message;
	static_cast<http::fields&>(message) = _fields;
	message.result(unsigned(_status));
	message.version(m_request.version());
	message.keep_alive(keepAlive());
	message.body() = beast::span<const char>(_body.data(), _body.size());
	message.prepare_payload();
	m_stream.expires_after(kWriteLimit);
	const IoResult written = awaitIo([&](auto _done) { http::async_write(m_stream, message, _done); });
	return noteWhole(written.error);
}

bool HttpExchange::passOnHead(int _status, const Fields& _fields)
{
	beginAnswer();
	http::response<http::empty_body> head;
	static_cast<http::fields&>(head) = _fields;
	head.result(unsigned(_status));
	head.version(m_request.version());
	return sendHead(head);
}

bool HttpExchange::sendHead(http::response<http::empty_body>& _head)
{
	_head.keep_alive(keepAlive());
	_head.chunked(true);
	http::response_serializer<http::empty_body> serializer(_head);
	armStreamWrite();
	const IoResult written =
		awaitIo([&](auto _done) { http::async_write_header(m_stream, serializer, _done); });
	return noteWritten(written.error) && !m_broken;
}

void HttpExchange::respond(const HttpResponse& _response)
{
	beginAnswer();
	http::response<http::string_body> message(http::status(_response.status), m_request.version());
	setHeaders(message, _response.headers);
	message.keep_alive(keepAlive());
	message.body() = _response.body;
	message.prepare_payload();
	m_stream.expires_after(kWriteLimit);
	const IoResult written = awaitIo([&](auto _done) { http::async_write(m_stream, message, _done); });
	noteWhole(written.error);
}

bool HttpExchange::startStream(int _status, const std::vector<HttpHeader>& _headers,
							   std::string_view _contentType)
{
	beginAnswer();
	http::response<http::empty_body> head(http::status(_status), m_request.version());
	setHeaders(head, _headers);
	head.set(http::field::content_type, _contentType);
	head.set(http::field::cache_control, "no-store");
	return sendHead(head);
}

void HttpExchange::limitStream(TimeUs _until)
{
	m_streamUntil = _until;
}

void HttpExchange::armStreamWrite()
{
	std::chrono::microseconds limit = kWriteLimit;
	if (m_streamUntil != 0)
	{
		const TimeUs left = std::max<TimeUs>(0, m_streamUntil - monotonicNow());
		limit = std::min(limit, std::chrono::microseconds(left));
	}
	m_stream.expires_after(limit);
}

bool HttpExchange::write(std::string_view _part)
{
	if (m_broken || _part.empty())
	{
		return !m_broken;
	}
	armStreamWrite();
	const IoResult written = awaitIo([&](auto _done) {
		boost::asio::async_write(m_stream, http::make_chunk(boost::asio::buffer(_part.data(), _part.size())),
								 _done);
	});
	return noteWritten(written.error) && !m_broken;
}

bool HttpExchange::finish()
{
	if (m_broken)
	{
		return false;
	}
	m_stream.expires_after(kWriteLimit);
	const IoResult written =
		awaitIo([&](auto _done) { boost::asio::async_write(m_stream, http::make_chunk_last(), _done); });
	return noteWhole(written.error);
}

void HttpExchange::abort()
{
	breakOff(ConnectionEnd::BrokenOff, "");
	beast::error_code ignored;
	m_stream.socket().close(ignored);
}

bool HttpExchange::callerGone()
{
	return hasLeft(m_connection);
}
} // namespace spanplank
