#include "http_head_p.h"

namespace spanplank
{
namespace
{
namespace http = boost::beast::http;
} // namespace

boost::system::error_code parseAnswerHead(AnswerParser& _parser, boost::beast::flat_buffer& _buffer)
{
	const boost::asio::const_buffer bytes = _buffer.data();
	boost::system::error_code error;
	_buffer.consume(_parser.put(bytes, error));
	if (error || !_parser.is_header_done())
	{
		return error ? error : http::error::partial_message;
	}
	return isStatus(_parser.get().result_int()) ? boost::system::error_code() : http::error::bad_status;
}
} // namespace spanplank
