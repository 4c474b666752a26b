/// The promises, as callers and upstreams see them.
#ifndef SPANPLANK_TESTS_SOAK_CHECKS_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_CHECKS_H_HEADER_GUARD

#include "caller_connection.h"
#include "soak_state.h"

namespace spanplank
{
constexpr double kIdleShare = 0.8; ///< Of the idle limit, that callers use.

/// A request has reached an upstream, whether it will run it or not.
void checkArrival(Soak& _soak, const SoakUpstream& _end, RequestRecord& _record);
/// An upstream begins to work on a request.
void checkRun(Soak& _soak, SoakUpstream& _end, RequestRecord& _record);
/// A caller has seen the end of a request that was written whole.
void checkEnd(Soak& _soak, const std::string& _id, RequestRecord& _record, const CallResult& _result);
/// @returns Whether a connection may be used after an idle time by every limit that a router may have in
/// force.
bool mayIdle(const Soak& _soak, TimeUs _idle, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_CHECKS_H_HEADER_GUARD
