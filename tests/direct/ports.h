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

/// @returns 127.0.0.1 with a port.
std::string loopback(uint16_t _port);
} // namespace spanplank

#endif // SPANPLANK_TESTS_PORTS_H_HEADER_GUARD
