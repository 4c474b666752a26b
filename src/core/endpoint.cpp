/// Reads and writes addresses.
#include "spanplank/endpoint.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

#include "spanplank/errors.h"

namespace spanplank
{
namespace
{
constexpr std::string_view kDigits = "0123456789";
/// What an address consists of. The system's own reader stops at a zero byte.
constexpr std::string_view kAddressCharacters = "0123456789abcdefABCDEF.:";
constexpr uint32_t kFirstMulticast =
	224; ///< First byte of IPv4's multicast and reserved addresses (RFC 1112).

bool consistsOf(std::string_view _text, std::string_view _characters)
{
	return !_text.empty() && _text.find_first_not_of(_characters) == std::string_view::npos;
}

bool isAddress(const std::string& _ip)
{
	in6_addr bytes; // Has room for both.
	return ::inet_pton(AF_INET, _ip.c_str(), &bytes) == 1 || ::inet_pton(AF_INET6, _ip.c_str(), &bytes) == 1;
}

std::optional<uint16_t> readPort(std::string_view _text)
{
	uint16_t port = 0;
	const char* end = _text.data() + _text.size();
	const std::from_chars_result read = std::from_chars(_text.data(), end, port);
	const bool isDecimal = consistsOf(_text, kDigits) && (_text.size() == 1 || _text.front() != '0');
	const bool isPort = isDecimal && read.ec == std::errc() && read.ptr == end;
	return isPort ? std::optional<uint16_t>(port) : std::nullopt;
}
} // namespace

std::optional<Endpoint> readEndpoint(std::string_view _text)
{
	const size_t colon = _text.rfind(':');
	if (colon == std::string_view::npos)
	{
		return std::nullopt;
	}
	const std::string ip(_text.substr(0, colon));
	const std::optional<uint16_t> port = readPort(_text.substr(colon + 1));
	if (!port || !consistsOf(ip, kAddressCharacters) || !isAddress(ip))
	{
		return std::nullopt;
	}
	return Endpoint{ip, *port};
}

Endpoint parseEndpoint(std::string_view _text)
{
	const std::optional<Endpoint> endpoint = readEndpoint(_text);
	if (!endpoint)
	{
		throw Failure(ErrorCode::BadRequest, fmt::format("'{}' is not ip:port", _text));
	}
	return *endpoint;
}

bool isConnectable(const Endpoint& _endpoint)
{
	in6_addr v6;
	in_addr v4;
	if (_endpoint.port == 0)
	{
		return false;
	}
	if (::inet_pton(AF_INET, _endpoint.ip.c_str(), &v4) == 1)
	{
		const uint32_t first = ntohl(v4.s_addr) >> 24;
		return first != 0 && first < kFirstMulticast;
	}
	return ::inet_pton(AF_INET6, _endpoint.ip.c_str(), &v6) == 1 && !IN6_IS_ADDR_UNSPECIFIED(&v6) &&
		   !IN6_IS_ADDR_MULTICAST(&v6);
}

bool isIpv4(const Endpoint& _endpoint)
{
	return _endpoint.ip.find(':') == std::string::npos;
}

std::string endpointText(const Endpoint& _endpoint)
{
	return fmt::format("{}:{}", _endpoint.ip, _endpoint.port);
}
} // namespace spanplank
