/// Time of day that goes on evenly while the box's own clock jumps by seconds.
#ifndef SPANPLANK_WALL_CLOCK_H_HEADER_GUARD
#define SPANPLANK_WALL_CLOCK_H_HEADER_GUARD

#include "spanplank/types.h"

namespace spanplank
{
struct WallClock
{
	TimeUs offset = 0; ///< From the monotonic clock to the time since 1970; 0: not known yet.
	bool compared = false;
};

/// The box's clock is corrected by less than this between two looks; by more it has jumped.
constexpr TimeUs kMostWallDrift = 100 * kMsToUs;
/// From here on this router's time of day is wrong, not the way between two routers slow.
constexpr TimeUs kWrongWall = 500 * kMsToUs;

/// Looks at the box's clock. @returns The time of day. @param[in] _box What the box's clock says.
TimeUs wallTime(WallClock& _clock, TimeUs _box, TimeUs _now);

/// Compares this router's time of day with that of the first router that it follows, once: the box's clock
/// may have been wrong as the process started.
/// @param[in] _wall The other one's time of day. @returns Whether it was taken over.
bool compareWall(WallClock& _clock, TimeUs _wall, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_WALL_CLOCK_H_HEADER_GUARD
