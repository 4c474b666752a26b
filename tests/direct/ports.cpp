/// Looks for ports that nobody listens on.
#include "ports.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace spanplank
{
namespace
{
/// @returns Whether nobody listens on a port of the loopback.
bool isFree(uint16_t _port)
{
	const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int on = 1;
	::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(_port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	const bool free = ::bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
	::close(probe);
	return free;
}
} // namespace

uint16_t freePort()
{
	constexpr uint32_t kFirst = 10000;
	constexpr uint32_t kCount = 22000;
	constexpr uint32_t kApart = 53; // Two tests started one after the other take other ports.
	static uint32_t s_next = uint32_t(::getpid()) * kApart;
	uint16_t port = 0;
	do
	{
		port = uint16_t(kFirst + s_next++ % kCount);
	} while (!isFree(port));
	return port;
}

std::string loopback(uint16_t _port)
{
	return fmt::format("127.0.0.1:{}", _port);
}
} // namespace spanplank
