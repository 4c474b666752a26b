/// The probability that a harmless suspect was running at crashes by coincidence.
#ifndef SPANPLANK_CRASH_CHANCE_P_H_HEADER_GUARD
#define SPANPLANK_CRASH_CHANCE_P_H_HEADER_GUARD

#include "spanplank/crash_suspects.h"

namespace spanplank
{
/// Tolerance for times from other routers, which are off by the transmission delay. A copy that started less
/// than this before the end of another one may have been its successor.
constexpr TimeUs kTimestampSlack = 20 * kMsToUs;

/// @returns Whether a suspect was running at an upstream that ended.
bool hasCrashAt(const CrashSuspect& _suspect, UpstreamKey _upstream);

/// @returns Whether a complete answer to a suspect is known.
bool hasRun(const CrashSuspect& _suspect);

/// @returns Whether coincidence is no longer a likely explanation of a suspect's crashes.
bool isUnlikely(const SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect);
} // namespace spanplank

#endif // SPANPLANK_CRASH_CHANCE_P_H_HEADER_GUARD
