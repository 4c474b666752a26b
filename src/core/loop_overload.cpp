/// Mean turn of an event loop, and the limits between which it counts as overloaded.
#include "spanplank/loop_overload.h"

#include <cmath>

namespace spanplank
{
namespace
{
constexpr TimeUs kMemory = 500 * kMsToUs; ///< Time over which turns are averaged.
constexpr double kBeginsAtMs = 40.0;
constexpr double kEndsAtMs = 10.0;
} // namespace

void recordTurn(LoopOverload& _overload, TimeUs _turn, TimeUs _elapsed)
{
	const double weight = 1.0 - std::exp(-double(_elapsed) / double(kMemory));
	_overload.turnMs += weight * (double(_turn) / double(kMsToUs) - _overload.turnMs);
	_overload.overloaded = _overload.turnMs >= (_overload.overloaded ? kEndsAtMs : kBeginsAtMs);
}
} // namespace spanplank
