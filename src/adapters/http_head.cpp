#include "http_head_p.h"

namespace spanplank
{
namespace
{
namespace http = boost::beast::http;
} // namespace

bool hasFoldedField(boost::asio::const_buffer _message)
{
	const std::string_view bytes(static_cast<const char*>(_message.data()), _message.size());
	const std::string_view head = bytes.substr(0, bytes.find(kHeadEnd));
	return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

boost::system::error_code parseAnswerHead(AnswerParser& _parser, boost::beast::flat_buffer& _buffer)
{
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
