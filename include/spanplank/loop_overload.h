/// Tells whether an event loop has more to do than its process gets processor time for.
#ifndef SPANPLANK_LOOP_OVERLOAD_H_HEADER_GUARD
#define SPANPLANK_LOOP_OVERLOAD_H_HEADER_GUARD

#include "spanplank/types.h"

namespace spanplank
{
struct LoopOverload
{
	double turnMs = 0.0;     ///< Mean turn of the loop, by time: long turns weigh as much as many short ones.
	bool overloaded = false; ///< Begins at a higher mean than it ends at.
};

/// Records one turn of the loop.
/// @param[in] _turn How long what the turn found may have waited.
/// @param[in] _elapsed Time since the turn before, idle time included.
void recordTurn(LoopOverload& _overload, TimeUs _turn, TimeUs _elapsed);
} // namespace spanplank

#endif // SPANPLANK_LOOP_OVERLOAD_H_HEADER_GUARD
