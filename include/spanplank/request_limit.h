/// Request limits of upstreams. An upstream in need states in its answers how many requests per second it
/// accepts from all routers together; the limit holds until an answer no longer states it.
///
/// The rate is divided among a few owners, see `rate_share.h`. These are routers in the upstream's hall,
/// where its requests come from; a hall without routers leaves it to one other. Each router learns of a
/// limit from the answers that it gets, and of the others' from its neighbours in the tree of routers. The
/// number of changes orders what is heard over several ways, without comparing clocks.
#ifndef SPANPLANK_REQUEST_LIMIT_H_HEADER_GUARD
#define SPANPLANK_REQUEST_LIMIT_H_HEADER_GUARD

#include <cstdint>
#include <optional>
#include <string_view>

#include "spanplank/rate_share.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Limit of one upstream incarnation, as known to this router.
struct RequestLimit
{
	std::optional<double> perSecond; ///< Requests per second from all routers; empty if none is in force.
	TimeUs confirmedAt = 0;          ///< When an answer or another router last stated it.
	uint32_t version = 0;            ///< Number of changes of the limit; 0 if none was ever stated.
	uint64_t change = 0;             ///< `UpstreamTable::limitChanges` when it last changed here.
	bool shareLogged = false;        ///< This router's share was logged since the last change.
};

/// What an upstream's answer says about its limit.
struct LimitAnswer
{
	std::optional<double> perSecond; ///< Empty if the answer states no limit.
	bool ran = false;                ///< The upstream ran the request.
	TimeUs sentAt = 0;               ///< When the request was sent.
};

/// A limit as routers report it to each other.
struct LimitReport
{
	uint32_t version = 0;
	std::optional<double> perSecond;
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

/// Adopts another router's report if it is newer. Of two changes made at the same time the stricter one
/// applies, until an answer corrects it.
LimitChange adoptLimit(RequestLimit& _limit, const LimitReport& _report, TimeUs _now);

/// Lowest rate, in requests per second, at which an upstream is used whatever limit it states: only an answer
/// can show that the limit has ended.
constexpr double kMinLimitPerSecond = 0.25;

/// @returns The minimum interval between two requests of this router to an upstream; 0 if it sends none.
/// @param[in] _perSecond Limit that the upstream states.
/// @param[in] _upstream Key of the upstream; must be the same on all routers.
/// @param[in] _hall Hall of the upstream.
TimeUs limitSpacing(double _perSecond, const Fleet& _fleet, uint64_t _upstream, std::string_view _hall);
} // namespace spanplank

#endif // SPANPLANK_REQUEST_LIMIT_H_HEADER_GUARD
