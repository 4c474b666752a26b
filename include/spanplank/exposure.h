/// Exposure to a candidate version: how many answers it may give before their ratings are in, and when the
/// ratings say halt or serve.
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
/// Ratings of one version generation, all of them, over all boxes.
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

/// Chance that a version of acceptable bad rate is ever halted, over a whole roll-out.
constexpr double kFalseHalt = 0.001;
/// Chance that a version at or above the halt rate is ever promoted.
constexpr double kFalseServe = 0.001;

/// An always-valid sequential test (a test martingale, so that it may be looked at after each rating).
/// @returns Halt once the ratings reject `bad rate <= badRate` at level `kFalseHalt`; Serve once they reject
/// `bad rate >= haltRate` at level `kFalseServe`.
RolloutVerdict judgeRatings(const RatingTally& _tally, const Rollout& _rollout);

/// @returns log of the evidence against `bad rate <= badRate`: a mixture over worse rates.
double evidenceOfBad(const RatingTally& _tally, const Rollout& _rollout);

/// @returns log of the evidence against `bad rate >= haltRate`.
double evidenceOfGood(const RatingTally& _tally, const Rollout& _rollout);

/// Watches a serving version: two one-sided cumulative sums (Page, 1954) of the log likelihood ratio, one
/// against the halt rate, one against a version gone wholly bad.
struct DriftWatch
{
	double mild = 0.0;
	double severe = 0.0;
};

/// Height at which a sum halts: mean ratings between false halts are at least e^height.
constexpr double kDriftHeight = 16.0;

/// Takes in ratings, the good ones first.
/// @returns Whether the version must be halted: it was acceptable and has turned bad.
bool observe(DriftWatch& _watch, const RatingTally& _news, double _badRate, double _haltRate);

/// Credits for answers, as the store keeps them for one roll-out. Written by compare-and-swap only.
struct ExposureLedger
{
	std::string version;
	uint32_t generation = 0;
	uint64_t granted = 0;                     ///< Answers that boxes may have given, in all.
	std::map<std::string, uint64_t> grantSeq; ///< By agent incarnation: its latest grant, to resolve a
											  ///< write whose answer was lost.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ExposureLedger, version, generation, granted, grantSeq)

/// @returns Answers that may have been given in all, given the ratings that are in: `exposure` beyond those
/// rated, and more as good ratings add up, so that unrated answers can't stop a good version.
uint64_t exposureAllowance(const RatingTally& _tally, const Rollout& _rollout);

/// @returns How many credits an agent may take of the ledger now, at most `_want`.
uint64_t grantable(const ExposureLedger& _ledger, const RatingTally& _tally, const Rollout& _rollout,
				   uint64_t _want);

/// Adds a grant to the ledger. @param[in] _seq The incarnation's count of its grants, from 1.
void addGrant(ExposureLedger& _ledger, const std::string& _incarnation, uint64_t _seq, uint64_t _credits);

/// An agent's own credits. Spent before an answer begins; a blank agent has none.
struct ExposureCredits
{
	uint32_t generation = 0;
	uint64_t left = 0;
	uint64_t spent = 0;
	uint64_t refused = 0; ///< Since the latest grant: tells that more are wanted.
};

/// @returns Whether the candidate may answer once more; if so it is counted.
bool spendCredit(ExposureCredits& _credits, uint32_t _generation);
} // namespace spanplank

#endif // SPANPLANK_EXPOSURE_H_HEADER_GUARD
