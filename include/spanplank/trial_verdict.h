/// Sequential tests on the merged evidence of all routers on a version on trial.
///
/// Each test has two hypotheses and sums the log likelihood ratio (natural logarithm) of every answer: a bad
/// version against a good one. It may be evaluated after each answer (Wald, 1945). A version is bad once a
/// score has risen far enough over any last part of the trial (Page, 1954), so that good answers from before
/// it turned bad carry no weight. It is verified once the scores have fallen far enough, on every route with
/// traffic and in the newest intervals.
#ifndef SPANPLANK_TRIAL_VERDICT_H_HEADER_GUARD
#define SPANPLANK_TRIAL_VERDICT_H_HEADER_GUARD

#include <cstdint>

#include "spanplank/trial_evidence.h"

namespace spanplank
{
/// Reason why a version is bad.
enum class VersionFault : uint8_t
{
	None,
	Fails,        ///< More failure answers than the baseline version.
	Unresponsive, ///< More attempts without an answer in time.
	Slower,       ///< Hardly any answer is as quick as the quicker ones of the baseline version.
	OftenSlow,    ///< More answers that take several times as long.
};

/// @returns The name of a fault as it is logged.
const char* name(VersionFault _fault);

/// @returns The fault that the evidence shows; `None` if it does not show a bad version.
VersionFault versionFault(const TrialEvidence& _evidence);

/// @returns Whether the evidence suffices to send all requests to the version, which a halt can revert: about
/// 15 good answers in a row, 3 on each route with traffic, and one quick answer.
bool isVerified(const TrialEvidence& _evidence);

/// @returns Whether the evidence suffices to complete the roll-out, which cannot be reverted: about 30 good
/// answers in a row, 12 on each route with traffic; 6 while the version was to get all requests, and most of
/// all answers in that time; 6 in the newest intervals; and rows from the whole fleet. After the deadline 36,
/// 18 and 30 good answers are needed.
/// @param[in] _firstRecent First of the newest intervals. @param[in] _overdue Whether the deadline has
/// passed.
bool isVerifiedForCompletion(const TrialEvidence& _evidence, uint32_t _firstRecent, bool _overdue);
} // namespace spanplank

#endif // SPANPLANK_TRIAL_VERDICT_H_HEADER_GUARD
