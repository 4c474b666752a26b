/// Heads of HTTP/1.1 messages: what the parser lets through, and readers must not.
#ifndef SPANPLANK_HTTP_HEAD_P_H_HEADER_GUARD
#define SPANPLANK_HTTP_HEAD_P_H_HEADER_GUARD

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string_view>
#include <utility>

namespace spanplank
{
using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// @returns Whether a status is one of RFC 9110, 15: 100 to 599. The parser takes any three digits.
constexpr bool isStatus(unsigned _status)
{
	return _status >= 100 && _status <= 599;
}

/// @returns Whether a status is that of an interim answer, which the final one follows (RFC 9110, 15.2).
constexpr bool isInterim(unsigned _status)
{
	return _status / 100 == 1;
}

/// @returns Whether a field of the head that begins a message goes on in a further line. Readers differ in
/// what such a field says (RFC 9112, 5.2): a line that begins with a blank is a field of its own to some.
bool hasFoldedField(boost::asio::const_buffer _message);

/// Reference to a buffer for operations of Asio, which keep their buffer by value.
class BufferRef
{
public:
	using const_buffers_type = boost::beast::flat_buffer::const_buffers_type;
	using mutable_buffers_type = boost::beast::flat_buffer::mutable_buffers_type;

	explicit BufferRef(boost::beast::flat_buffer& _buffer) : m_buffer(&_buffer)
	{
	}

	size_t size() const
	{
		return m_buffer->size();
	}

	size_t max_size() const
	{
		return m_buffer->max_size();
	}

	size_t capacity() const
	{
		return m_buffer->capacity();
	}

	const_buffers_type data() const
	{
		return m_buffer->data();
	}

	mutable_buffers_type prepare(size_t _bytes)
	{
		return m_buffer->prepare(_bytes);
	}

	void commit(size_t _bytes)
	{
		m_buffer->commit(_bytes);
	}

	void consume(size_t _bytes)
	{
		m_buffer->consume(_bytes);
	}

private:
	boost::beast::flat_buffer* m_buffer;
};

/// Reads until a buffer begins with a whole head. Fails with `not_found` if it is full before that.
template <typename Stream, typename Handler>
void asyncReadHead(Stream& _stream, boost::beast::flat_buffer& _buffer, Handler&& _handler)
{
	boost::asio::async_read_until(_stream, BufferRef(_buffer), kHeadEnd, std::forward<Handler>(_handler));
}

/// Parses the whole head of an answer with which a buffer begins, and takes it off.
/// @returns Why the head is none of an answer; no error: it is one.
template <typename Body>
boost::system::error_code parseAnswerHead(boost::beast::http::response_parser<Body>& _parser,
										  boost::beast::flat_buffer& _buffer)
{
	namespace http = boost::beast::http;
	const boost::asio::const_buffer bytes = _buffer.data();
	if (hasFoldedField(bytes))
	{
		return http::error::bad_field;
	}
	boost::system::error_code error;
	_buffer.consume(_parser.put(bytes, error));
	if (error || !_parser.is_header_done())
	{
		return error ? error : http::error::partial_message;
	}
	return isStatus(_parser.get().result_int()) ? boost::system::error_code() : http::error::bad_status;
}
} // namespace spanplank

#endif // SPANPLANK_HTTP_HEAD_P_H_HEADER_GUARD
