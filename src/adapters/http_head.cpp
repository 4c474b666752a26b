#include "http_head_p.h"

namespace spanplank
{
bool hasFoldedField(boost::asio::const_buffer _message)
{
	const std::string_view bytes(static_cast<const char*>(_message.data()), _message.size());
	const std::string_view head = bytes.substr(0, bytes.find(kHeadEnd));
	return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}
} // namespace spanplank
