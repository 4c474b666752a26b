/// Requests, and parts of prompts, that end each upstream that runs them, sent again and again beside all
/// other faults.
#ifndef SPANPLANK_TESTS_SOAK_ENDINGS_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_ENDINGS_H_HEADER_GUARD

#include "soak_state.h"

namespace spanplank
{
/// Sends copies of one request, at any router, then different prompts with one part, and so on until the
/// faults end.
void endUpstreamsOn(Soak& _soak);
/// An upstream begins to run such a request: it ends, and is back later. Checks that this is not one too
/// many.
void endUnder(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record);
/// No other request is refused as one that ends upstreams.
void checkNotSuspected(Soak& _soak, const RequestRecord& _record, const HttpResponse& _answer);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_ENDINGS_H_HEADER_GUARD
