/// What upstreams of the soak say about themselves in their answers, and whether routers heed it.
#ifndef SPANPLANK_TESTS_SOAK_NOTICES_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_NOTICES_H_HEADER_GUARD

#include "soak_state.h"

namespace spanplank
{
/// Upstreams state limits of requests per second for a while, again and again, until the faults end.
void limitOn(Soak& _soak);
/// A request has reached an upstream that may state a limit.
void checkLimit(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record);
/// A router has been sent the head of an answer of an upstream.
void noteTold(SoakUpstream& _end, const RequestRecord& _record);
/// The upstream starts anew and states nothing.
void forgetNotices(SoakUpstream& _end);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_NOTICES_H_HEADER_GUARD
