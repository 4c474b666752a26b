/// Time of day that stays continuous when the clock of the box jumps by seconds.
#ifndef SPANPLANK_WALL_CLOCK_H_HEADER_GUARD
#define SPANPLANK_WALL_CLOCK_H_HEADER_GUARD

#include "spanplank/types.h"

namespace spanplank
{
/// Time of day, as an offset to the monotonic clock.
struct WallClock
{
	TimeUs offset = 0;             ///< Time since 1970 minus the monotonic clock, us; 0: unknown.
	bool comparedWithPeer = false; ///< It was compared with the clock of a parent.
};

/// Maximum correction of the clock of the box between two reads; a larger difference is a jump.
constexpr TimeUs kMaxWallDriftUs = 100 * kMsToUs;
/// Maximum difference to a parent's time of day that may be due to the delay between two routers; a larger
/// one means that this router's time is wrong.
constexpr TimeUs kMaxWallErrorUs = 500 * kMsToUs;

/// Follows the clock of the box unless it has jumped.
/// @param[in] _box Clock of the box, us since 1970. @returns The time of day, us since 1970.
TimeUs wallTime(WallClock& _clock, TimeUs _box, TimeUs _now);

/// Compares this router's time of day once, with its first parent's: the clock of the box may have been wrong
/// when the process started.
/// @param[in] _wall The parent's time of day, us since 1970; 0: unknown.
/// @returns Whether the parent's time was adopted.
bool syncWallClock(WallClock& _clock, TimeUs _wall, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_WALL_CLOCK_H_HEADER_GUARD
