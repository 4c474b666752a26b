/// Ports on loopback for the processes of tests.
#ifndef SPANPLANK_TESTS_PORTS_H_HEADER_GUARD
#define SPANPLANK_TESTS_PORTS_H_HEADER_GUARD

#include <cstdint>
#include <string>

namespace spanplank
{
/// A port that nobody listens on and no other test process gets, below those that the kernel gives to
/// outgoing connections: one of those could take a port between the look and the child's bind.
uint16_t freePort();

/// @returns An address of the loopback that no other test process uses: a stand-in that starts on a port
/// which one of another process has just left would get that one's requests.
const std::string& loopbackIp();

/// @returns That address with a port.
std::string loopback(uint16_t _port);
} // namespace spanplank

#endif // SPANPLANK_TESTS_PORTS_H_HEADER_GUARD
