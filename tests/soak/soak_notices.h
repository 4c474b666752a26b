/// What upstreams of the soak say about themselves in their answers, and whether routers heed it.
#ifndef SPANPLANK_TESTS_SOAK_NOTICES_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_NOTICES_H_HEADER_GUARD

#include "soak_state.h"

namespace spanplank
{
/// Upstreams state limits of requests per second for a while, again and again, until the faults end.
void limitOn(Soak& _soak);
/// Upstreams say in their answers that they leave, and start again later; the store is not told.
void leaveByAnswerOn(Soak& _soak);
/// Upstreams reject all requests for a while and ask for rest.
void restOn(Soak& _soak);
/// A request has reached an upstream that may have said something.
void checkNotices(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record);
/// A router has been sent the head of an answer of an upstream.
void noteTold(SoakUpstream& _end, const RequestRecord& _record);
/// The same of a rejection.
void noteRejected(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record);
/// The upstream starts anew and says nothing.
void forgetNotices(SoakUpstream& _end);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_NOTICES_H_HEADER_GUARD
