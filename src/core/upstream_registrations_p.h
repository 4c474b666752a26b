/// What registrations and health of upstreams share.
#ifndef SPANPLANK_UPSTREAM_REGISTRATIONS_P_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_REGISTRATIONS_P_H_HEADER_GUARD

#include <string>

#include "spanplank/upstream_table.h"

namespace spanplank
{
/// @returns The rate limit of a service's cold upstreams; null if it has none.
const ColdService* coldServiceOf(const UpstreamTable& _table, const std::string& _service);
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_REGISTRATIONS_P_H_HEADER_GUARD
