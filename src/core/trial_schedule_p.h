/// Schedule of a trial: the share of requests that the version on trial gets over time, and the intervals by
/// which evidence is stored.
#ifndef SPANPLANK_TRIAL_SCHEDULE_P_H_HEADER_GUARD
#define SPANPLANK_TRIAL_SCHEDULE_P_H_HEADER_GUARD

#include "spanplank/version_trial.h"

namespace spanplank
{
TimeUs durationOf(const VersionTrial& _trial);

/// @returns The part of the duration that has elapsed; exceeds 1 after the deadline.
double elapsedPart(const VersionTrial& _trial, TimeUs _now);

/// @returns The index of the current part of the trial; each part is as long as an interval.
uint32_t intervalIndex(const VersionTrial& _trial, TimeUs _now);

/// @returns The first interval whose evidence is retained.
uint32_t firstRetainedInterval(const VersionTrial& _trial, TimeUs _now);

/// @returns The first recent interval: recent are the current part of the trial and the one before.
uint32_t firstRecentInterval(const VersionTrial& _trial, TimeUs _now);

/// @returns When the share of a verified version starts to grow, as a part of the duration.
double rampStartPart(double _exposureShare);

/// @returns How far the share of a verified version has grown: 0 to 1.
double rampProgress(const VersionTrial& _trial, double _exposureShare, TimeUs _now);

/// @returns When the version has received all requests that may go to it for long enough to be completed.
TimeUs fullTrafficTestedAt(const VersionTrial& _trial, double _exposureShare);

/// @returns The share of requests that are offered the version: 0 to 1. Never falls, so that no session moves
/// back; the same on all routers that know that the version is verified.
double candidateShareAt(const VersionTrial& _trial, double _exposureShare, bool _inSession, TimeUs _now);

/// How a request is assigned to the version on trial.
enum class ExposureKind : uint8_t
{
	Session, ///< Drawn by the schedule together with all requests of its session.
	Single,  ///< Drawn by itself, or no upstream of the baseline version is free.
};

/// @returns Whether this router may send one more request to the version on trial.
bool mayExpose(const VersionTrial& _trial, double _exposureShare, ExposureKind _kind, TimeUs _now);

/// @returns The trial of a service; null if there is none.
VersionTrial* trialOf(TrialTable& _trials, const std::string& _service);
const VersionTrial* trialOf(const TrialTable& _trials, const std::string& _service);

/// Halts a version that the evidence shows to be bad. @param[in] _byPeer Whether the evidence came from a
/// peer, so that others have it too. @returns Whether it was halted.
bool haltIfFaulty(VersionTrial& _trial, bool _byPeer);
} // namespace spanplank

#endif // SPANPLANK_TRIAL_SCHEDULE_P_H_HEADER_GUARD
