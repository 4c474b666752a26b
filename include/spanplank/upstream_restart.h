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
	NotConnected,       ///< Its connection isn't open yet.
	OtherAddress,       ///< The new incarnation has another address: the call is at the previous one.
	OpenedAfterStart,   ///< Its connection was opened after the new incarnation had started.
	OpenedAfterRefusal, ///< Its connection was opened after the address had refused another one.
};

/// @returns Name used in logs.
const char* name(RestartEvidence _evidence);

/// What becomes of a call when the record of its upstream's restart arrives.
enum class RestartVerdict : uint8_t
{
	Ended,   ///< It ends as broken.
	Kept,    ///< It goes on.
	Doubted, ///< Nothing shows that it is at the new one: it goes on unless it then stays silent.
};

/// @returns Name used in logs.
const char* name(RestartVerdict _verdict);

/// Largest difference between the clocks of two boxes, one of which may have jumped.
constexpr TimeUs kMaxClockDifference = 5000 * kMsToUs;
/// The clock of a box that states an older start may be wrong altogether.
constexpr TimeUs kMaxStartAge = 60000 * kMsToUs;

/// @returns By when an incarnation had certainly started, on the monotonic clock; nothing if its start, which
/// is stated on its own clock, does not tell.
/// @param[in] _startedAtMs Unix time in milliseconds. @param[in] _wall This router's time of day, us since
/// 1970.
std::optional<TimeUs> startedBy(uint64_t _startedAtMs, TimeUs _wall, TimeUs _now);

/// What a router knows of a call when the record of its upstream's restart arrives.
struct CallAtRestart
{
	bool sameAddress = false;        ///< The new incarnation has the address that the call was sent to.
	TimeUs openedAt = 0;             ///< When its connection was opened; 0 if it isn't open yet.
	TimeUs refusedAt = 0;            ///< When the address last refused a connection; 0 if not lately.
	std::optional<TimeUs> startedBy; ///< When the new incarnation had certainly started, if its record tells.
};

/// @returns The evidence of where a call is.
RestartEvidence evidenceOf(const CallAtRestart& _call);

/// Decides what becomes of a call. One that may have reached the new incarnation is ended only if that costs
/// its caller nothing.
/// @param[in] _replaced Another attempt of its request has been allowed in its place.
RestartVerdict verdictOn(RestartEvidence _evidence, bool _replaced);

/// Longer than sound engines pause between two events.
constexpr TimeUs kSilenceAfterRestart = 1000 * kMsToUs;

/// @returns Until when a doubted call may stay silent before it ends as lost with the previous incarnation.
/// @param[in] _answerDueBy When the answer of a sound upstream would be late; 0 if the answer has begun.
TimeUs silenceLimit(TimeUs _answerDueBy, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_RESTART_H_HEADER_GUARD
