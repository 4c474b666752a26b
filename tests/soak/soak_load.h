/// Load that tests routing under hard load: uneven upstreams, a large client account, the bound on retries.
#ifndef SPANPLANK_TESTS_SOAK_LOAD_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_LOAD_H_HEADER_GUARD

#include "soak_state.h"

namespace spanplank
{
inline const std::string kLargeKey = "large-key"; ///< Of the large client account.

/// With `--uneven`: how many times slower than the others an upstream is.
uint32_t slownessOf(const SoakUpstream& _end);

/// With `--large`: adds the large client account to the configuration that is still to be written.
void addLargeAccount(Soak& _soak);

/// Notes an arrival of a request at an upstream, if it is not its first.
void noteRetry(Soak& _soak, const RequestRecord& _record);

/// Checks that the arrivals beyond the first of each request stay within what the routers' settings allow
/// for a window, over all routers.
void checkRetries(Soak& _soak);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_LOAD_H_HEADER_GUARD
