/// What registrations and health of upstreams share.
#ifndef SPANPLANK_UPSTREAM_LIVES_P_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_LIVES_P_H_HEADER_GUARD

#include <string>

#include "spanplank/upstream_table.h"

namespace spanplank
{
/// @returns What the upstreams of a service bear while they are cold; none: no bound is known.
const ColdService* coldServiceOf(const UpstreamTable& _table, const std::string& _service);
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_LIVES_P_H_HEADER_GUARD
