/// Looks for ports that nobody listens on, and keeps other test processes from them.
#include "ports.h"

#include <arpa/inet.h>
#include <cstddef>
#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/un.h>
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
	address.sin_addr.s_addr = ::inet_addr(loopbackIp().c_str());
	const bool free = ::bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
	::close(probe);
	return free;
}
/// Takes a port for this process until it ends: a router binds its port for links only once it has read the
/// store, and another test process could have taken it by then.
/// @returns Whether no other test process has it.
bool reserve(uint16_t _port)
{
	sockaddr_un address{};
	address.sun_family = AF_UNIX;
	const std::string name = fmt::format("spanplank-port-{}", _port);
	name.copy(address.sun_path + 1, sizeof(address.sun_path) - 1); // A name in the kernel, not in a folder.
	const auto size = socklen_t(offsetof(sockaddr_un, sun_path) + 1 + name.size());
	const int mark = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (::bind(mark, reinterpret_cast<const sockaddr*>(&address), size) == 0)
	{
		return true;
	}
	::close(mark);
	return false;
}
} // namespace

uint16_t freePort()
{
	constexpr uint32_t kFirst = 10000;
	constexpr uint32_t kCount = 22000;
	constexpr uint32_t kApart = 53; // Two tests started one after the other look at other ports first.
	static uint32_t s_next = uint32_t(::getpid()) * kApart;
	uint16_t port = 0;
	do
	{
		port = uint16_t(kFirst + s_next++ % kCount);
	} while (!reserve(port) || !isFree(port));
	return port;
}

const std::string& loopbackIp()
{
	constexpr uint32_t kBits = 7;
	constexpr uint32_t kLow = (1u << kBits) - 1;
	constexpr uint32_t kFirst = 20; // Beyond the addresses that people use by hand.
	constexpr uint32_t kCount = 200;
	static const auto s_pid = uint32_t(::getpid());
	static const std::string s_ip = fmt::format("127.{}.{}.{}", kFirst + (s_pid >> (2 * kBits)) % kCount,
												(s_pid >> kBits) & kLow, 1 + (s_pid & kLow));
	return s_ip;
}

std::string loopback(uint16_t _port)
{
	return fmt::format("{}:{}", loopbackIp(), _port);
}
} // namespace spanplank
