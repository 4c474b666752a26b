/// Keeps the time of day continuous when the clock of the box jumps.
#include "spanplank/wall_clock.h"

#include <cstdlib>

namespace spanplank
{
TimeUs wallTime(WallClock& _clock, TimeUs _box, TimeUs _now)
{
	const TimeUs offset = _box - _now;
	if (_clock.offset == 0 || std::llabs(offset - _clock.offset) <= kMaxWallDriftUs)
	{
		_clock.offset = offset;
	}
	return _now + _clock.offset;
}

bool syncWallClock(WallClock& _clock, TimeUs _wall, TimeUs _now)
{
	if (_wall == 0 || _clock.comparedWithPeer)
	{
		return false;
	}
	_clock.comparedWithPeer = true;
	const TimeUs offset = _wall - _now;
	const bool wrong = std::llabs(offset - _clock.offset) > kMaxWallErrorUs;
	_clock.offset = wrong ? offset : _clock.offset;
	return wrong;
}
} // namespace spanplank
