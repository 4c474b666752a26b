/// The callers of the soak.
#ifndef SPANPLANK_TESTS_SOAK_CALLERS_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_CALLERS_H_HEADER_GUARD

#include "soak_state.h"

namespace spanplank
{
/// Uses one connection without long pauses until the router closes it, then another router's.
void callOften(Soak& _soak, uint32_t _caller);
/// Keeps one connection through pauses, as long as the idle limit lets callers, until the router closes it.
void callRarely(Soak& _soak, uint32_t _caller);
/// Sends a copy of the request that ends upstreams, or another prompt with the part, to any router.
void sendEnding(Soak& _soak, const std::string& _path);
/// @returns Whether a router answers a request of a path whole.
bool isServed(Soak& _soak, SoakRouter& _router, const char* _path);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_CALLERS_H_HEADER_GUARD
