/// Limits the answers of a candidate version whose ratings are still outstanding, and decides by the ratings
/// whether the version is halted or served.
#ifndef SPANPLANK_EXPOSURE_H_HEADER_GUARD
#define SPANPLANK_EXPOSURE_H_HEADER_GUARD

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "spanplank/resources.h"

namespace spanplank
{
/// All ratings of one version generation, over all boxes.
struct RatingTally
{
	uint64_t good = 0;
	uint64_t bad = 0;
};

enum class RolloutVerdict : uint8_t
{
	Undecided,
	Halt,
	Serve,
};

/// Probability that a version with an acceptable bad rate is ever halted during a roll-out.
constexpr double kFalseHaltProbability = 0.001;
/// Probability that a version at or above the halt rate is ever promoted.
constexpr double kFalseServeProbability = 0.001;

/// An always-valid sequential test (a test martingale, so that it may be evaluated after each rating).
/// @returns Halt once the ratings reject `bad rate <= badRate` at level `kFalseHaltProbability`; Serve once
/// they reject `bad rate >= haltRate` at level `kFalseServeProbability`.
RolloutVerdict judgeRatings(const RatingTally& _tally, const Rollout& _rollout);

/// @returns Logarithm of the evidence against `bad rate <= badRate`: a mixture over worse rates.
double evidenceOfBad(const RatingTally& _tally, const Rollout& _rollout);

/// @returns Logarithm of the evidence against `bad rate >= haltRate`.
double evidenceOfGood(const RatingTally& _tally, const Rollout& _rollout);

/// Monitors a serving version: two one-sided cumulative sums (Page, 1954) of the log likelihood ratio, one
/// against the halt rate, one against a bad rate of at least 0.5.
struct DriftWatch
{
	double mild = 0.0;
	double severe = 0.0;
};

/// Sum at which the version is halted: the mean number of ratings between false halts is at least
/// e^threshold.
constexpr double kDriftThreshold = 16.0;

/// Adds ratings, the good ones first.
/// @returns Whether the version must be halted: it was acceptable and has turned bad.
bool observe(DriftWatch& _watch, const RatingTally& _ratings, double _badRate, double _haltRate);

/// Credits for answers of one roll-out in the store. Written by compare-and-swap only.
struct ExposureLedger
{
	std::string version;
	uint32_t generation = 0;
	uint64_t granted = 0;                     ///< Total of answers that boxes may have given.
	std::map<std::string, uint64_t> grantSeq; ///< Latest grant by agent incarnation; tells whether a write
											  ///< without a reply was applied.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ExposureLedger, version, generation, granted, grantSeq)

/// @returns Total of answers that may have been given with these ratings: `exposure` more than were rated,
/// and further ones as good ratings accumulate, so that unrated answers cannot block a good version.
uint64_t exposureAllowance(const RatingTally& _tally, const Rollout& _rollout);

/// @returns Credits that an agent may take from the ledger now, at most `_requested`.
uint64_t grantableCredits(const ExposureLedger& _ledger, const RatingTally& _tally, const Rollout& _rollout,
						  uint64_t _requested);

/// Adds a grant to the ledger. @param[in] _seq Sequence number of the incarnation's grants, from 1.
void addGrant(ExposureLedger& _ledger, const std::string& _incarnation, uint64_t _seq, uint64_t _credits);

/// Credits of one agent, spent before an answer begins. An agent that has just started has none.
struct ExposureCredits
{
	uint32_t generation = 0;
	uint64_t remaining = 0;
	uint64_t spent = 0;
	uint64_t refused = 0; ///< Refused answers since the latest grant; above 0, more credits are needed.
};

/// Spends a credit. @returns Whether the candidate may give one more answer.
bool spendCredit(ExposureCredits& _credits, uint32_t _generation);
} // namespace spanplank

#endif // SPANPLANK_EXPOSURE_H_HEADER_GUARD
