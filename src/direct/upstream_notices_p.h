/// What upstreams say about themselves in their answers.
#ifndef SPANPLANK_UPSTREAM_NOTICES_P_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_NOTICES_P_H_HEADER_GUARD

#include <vector>

#include "attempt_p.h"
#include "link_p.h"
#include "platform/headers_p.h"

namespace spanplank
{
/// Records what the head of an answer says about its upstream. @param[in] _status Status of the answer.
void recordNotices(Serving& _serving, AttemptNotes& _notes, const platform::AnswerHeaders& _answer,
				   int _status);

/// Takes the limits of upstreams that another router reports.
void takePeerLimits(DirectRouter& _router, const std::vector<LimitUpdate>& _limits, LinkId _link);
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_NOTICES_P_H_HEADER_GUARD
