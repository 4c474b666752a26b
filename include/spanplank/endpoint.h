/// Addresses of processes. All texts are read by one function, so that what one part accepts is not refused
/// by another that uses it.
#ifndef SPANPLANK_ENDPOINT_H_HEADER_GUARD
#define SPANPLANK_ENDPOINT_H_HEADER_GUARD

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spanplank
{
/// An IP address and a port.
struct Endpoint
{
	std::string ip; ///< IPv4 or IPv6 in its usual notation, without a zone.
	uint16_t port = 0;

	bool operator==(const Endpoint& _other) const
	{
		return ip == _other.ip && port == _other.port;
	}

	bool operator!=(const Endpoint& _other) const
	{
		return !(*this == _other);
	}
};

/// Reads `ip:port`; the port is decimal, from 0.
/// @returns Nothing if the text is anything else, also if it only begins or ends with other characters.
std::optional<Endpoint> readEndpoint(std::string_view _text);

/// @throws Failure(BadRequest) where `readEndpoint` returns nothing.
Endpoint parseEndpoint(std::string_view _text);

/// @returns Whether another process can be reached there: the port is not 0, and the address is that of one
/// host.
bool isConnectable(const Endpoint& _endpoint);

/// @returns Whether the address is one of IPv4.
bool isIpv4(const Endpoint& _endpoint);

/// @returns `ip:port`.
std::string endpointText(const Endpoint& _endpoint);
} // namespace spanplank

#endif // SPANPLANK_ENDPOINT_H_HEADER_GUARD
