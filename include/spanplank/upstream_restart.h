/// What the restart of an upstream means for the calls that were sent to the incarnation before. The record
/// of a restart arrives late, so a call may have been sent to either incarnation.
#ifndef SPANPLANK_UPSTREAM_RESTART_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_RESTART_H_HEADER_GUARD

#include <cstdint>
#include <optional>

#include "spanplank/types.h"

namespace spanplank
{
/// What shows which incarnation of an upstream a call was sent to.
enum class RestartEvidence : uint8_t
{
	None,
	NotConnected,     ///< Its connection isn't open yet.
	OtherAddress,     ///< The new incarnation has another address: the call is at the previous one.
	OpenedAfterStart, ///< Its connection was opened after the new incarnation had started.
	OpenedAfterClose, ///< Its connection was opened after the upstream had closed or refused another one.
};

/// @returns Name used in logs.
const char* name(RestartEvidence _evidence);

/// What becomes of a call when the record of its upstream's restart arrives.
enum class RestartVerdict : uint8_t
{
	Ended,   ///< It ends as broken.
	Kept,    ///< It goes on.
	Doubted, ///< It goes on unless it then stays silent.
};

/// @returns Name used in logs.
const char* name(RestartVerdict _verdict);

/// What a router knows of a call when the record of its upstream's restart arrives.
struct CallAtRestart
{
	bool sameAddress = false; ///< The new incarnation has the address that the call was sent to.
	TimeUs openedAt = 0;      ///< When its connection was opened; 0 if it isn't open yet.
	TimeUs closedAt = 0; ///< When the upstream was last found to have closed a connection; 0 if not lately.
	std::optional<TimeUs> startedBy; ///< When the new incarnation had certainly started, if its record tells.
};

/// @returns The evidence of where a call is.
RestartEvidence evidenceOf(const CallAtRestart& _call);
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_RESTART_H_HEADER_GUARD
