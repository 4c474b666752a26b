/// Request limits of upstreams. An upstream in need states in its answers how many requests per second it
/// accepts from all routers together; the limit holds until an answer no longer states it.
#ifndef SPANPLANK_REQUEST_LIMIT_H_HEADER_GUARD
#define SPANPLANK_REQUEST_LIMIT_H_HEADER_GUARD

#include <cstdint>
#include <optional>

#include "spanplank/types.h"

namespace spanplank
{
/// Limit of one upstream, as known to this router.
struct RequestLimit
{
	std::optional<double> perSecond; ///< Requests per second from all routers; empty if none is in force.
	TimeUs confirmedAt = 0;          ///< When an answer last stated it.
};

/// What an upstream's answer says about its limit.
struct LimitAnswer
{
	std::optional<double> perSecond; ///< Empty if the answer states no limit.
	bool ran = false;                ///< The upstream ran the request.
	TimeUs sentAt = 0;               ///< When the request was sent.
};

enum class LimitChange : uint8_t
{
	None,
	Stated,  ///< A limit is in force that was not before.
	Changed, ///< Another value.
	Ended,
};

/// @returns A name for logs.
const char* name(LimitChange _change);

/// Records an answer. Only an answer to a request that ran and was sent after the last answer with the limit
/// ends it: other answers may have been made before the upstream stated it.
LimitChange recordLimitAnswer(RequestLimit& _limit, const LimitAnswer& _answer, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_REQUEST_LIMIT_H_HEADER_GUARD
