/// Sequential tests of a version on trial and their hypotheses.
#include "spanplank/trial_verdict.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

namespace spanplank
{
namespace
{
/// Score above which a version is bad. A good version exceeds it in one of `exp(6)`, or 400, tests.
constexpr double kFaultThreshold = 6.0;
/// The same for a version that is slower in all answers; higher, because ranks are imprecise while the
/// reference has few answers.
constexpr double kSlowerThreshold = 8.0;
/// Maximum credit that quick answers leave in a version's favour. A version doesn't become slower by itself,
/// but bursts of requests change the time per token of all answers for a while.
constexpr double kMaxQuickCredit = 3.0;
/// Maximum that the score of the time to the first token adds to the score of the time per token.
constexpr double kMaxFirstTokenScore = 3.0;
/// Share of the service's answers from which a route counts as having traffic.
constexpr double kMinRouteShare = 0.1;
/// Minimum share of all answers that came from the version while it was to get all requests; with fewer it
/// was not tested under load.
constexpr double kMinFullTrafficShare = 0.75;
/// Minimum number of writers of recent rows, as a share of those of any earlier part of the trial.
constexpr double kMinWriterShare = 0.75;
/// Failure score of the recent intervals that verifies a version; reached by 6 good answers.
constexpr double kRecentThreshold = -1.0;

constexpr double kBadExcess = 0.15; ///< Excess of a bad version's failure rate over the baseline's.
/// Excess over the baseline's share of timeouts that is still good: crashes and queues suppress up to a
/// quarter of a good version's few answers.
constexpr double kTimeoutMargin = 0.1;
constexpr double kTimeoutExcess = 0.3;    ///< Excess of a bad version's share of timeouts over a good one's.
constexpr double kMaxGoodTimeouts = 0.9;  ///< Upper limit of a good version's share of timeouts.
constexpr double kMaxBadTimeouts = 0.95;  ///< Upper limit of a bad version's share of timeouts.
constexpr double kMaxIntervalShare = 0.8; ///< Upper limit of the baseline's share of hits in one interval.
constexpr double kPriorBad = 1.0;         ///< Hits in the prior of a share.
constexpr double kPriorAll = 20.0;        ///< Answers in the prior of a share.
/// Weight, in answers, of the baseline's share in the whole trial relative to its share in one interval.
constexpr double kWholeTrialWeight = 10.0;
/// Baseline answers at which a comparison has half its weight.
constexpr double kHalfWeightAnswers = 4.0;
constexpr double kBaselineQuickShare = 0.25; ///< Quick share of the baseline's answers, by definition.
constexpr double kQuickPriorWeight = 4.0;    ///< Weight of that share as a prior, in answers.
constexpr double kMinUsualShare = 0.02;
constexpr double kMaxUsualShare = 0.6;

/// Expected shares of answers of a good and of a bad version.
struct Shares
{
	double good = 0.0;
	double bad = 0.0;
};
/// Quick answers. By definition a quarter of the baseline's are quick; ranks among few answers lower that.
/// For a good version more times per token than times to the first token are quick, because its caches are
/// cold.
constexpr std::array<Shares, kTimeKinds> kQuick = {{{0.15, 0.03}, {0.24, 0.05}}};
/// Slow answers, for a version of which only a part takes several times as long. The first token of a good
/// version may wait for the prompts of other requests.
constexpr std::array<Shares, kTimeKinds> kSlow = {{{0.2, 0.5}, {0.1, 0.25}}};

/// Upstreams that must fail before the version is blamed, since a single one may be broken: at least two and
/// a third of those that answered.
constexpr uint32_t kMinFailedUpstreams = 2;
constexpr double kMinFailedUpstreamShare = 1.0 / 3.0;
/// Failures that suffice if the version has only one upstream.
constexpr uint32_t kMinFailuresOfSingle = 12;

/// @returns The log likelihood ratio of a bad against a good version. @param[in] _good Share of hits of a
/// good version. @param[in] _bad Share of hits of a bad version.
double score(double _hits, double _misses, double _good, double _bad)
{
	return _hits * std::log(_bad / _good) + _misses * std::log((1.0 - _bad) / (1.0 - _good));
}

/// Number of hits among a number of answers.
struct Hits
{
	double hits = 0.0;
	double all = 0.0;
};

/// @returns The share of hits with a prior, clamped to a range with finite scores.
double usualShare(const Hits& _sample)
{
	return std::clamp((_sample.hits + kPriorBad) / (_sample.all + kPriorAll), kMinUsualShare, kMaxUsualShare);
}

/// @returns The baseline's share of hits in one interval, so that a problem that affects both versions then
/// doesn't count against one of them.
/// @param[in] _current Baseline answers of the interval. @param[in] _overall Those of the whole trial.
double usualShare(const Hits& _current, const Hits& _overall)
{
	const double share =
		(_current.hits + kWholeTrialWeight * usualShare(_overall)) / (_current.all + kWholeTrialWeight);
	return std::clamp(share, kMinUsualShare, kMaxIntervalShare);
}

Hits timeouts(const AnswerCounts& _counts)
{
	return {double(_counts.timedOut), double(_counts.good + _counts.timedOut)};
}

Hits slowTimes(const TimeCounts& _counts)
{
	return {double(_counts.slow), double(_counts.timed)};
}

double failureScore(const AnswerCounts& _candidate, const AnswerCounts& _baseline)
{
	const double usual = usualShare({double(_baseline.bad), double(_baseline.good + _baseline.bad)});
	return score(_candidate.bad, _candidate.good, usual, usual + kBadExcess);
}

/// @param[in] _usual Share of the baseline's attempts that timed out.
double timeoutScore(const AnswerCounts& _candidate, double _usual)
{
	const double good = std::min(_usual + kTimeoutMargin, kMaxGoodTimeouts);
	return score(_candidate.timedOut, _candidate.good, good,
				 std::min(kMaxBadTimeouts, good + kTimeoutExcess));
}

/// @returns The share of the baseline's answers that are quick in one interval, relative to the share by
/// definition. While the load rises, hardly any are quick, and just as few answers of a good candidate.
double quickPart(const TimeCounts& _baseline)
{
	const double share =
		(_baseline.quick + kQuickPriorWeight * kBaselineQuickShare) / (_baseline.timed + kQuickPriorWeight);
	return std::min(1.0, share / kBaselineQuickShare);
}

/// @returns The score against a version that is slower in all answers. @param[in] _part See `quickPart`.
double slowerScore(const TimeCounts& _times, TimeKind _kind, double _part)
{
	const Shares& shares = kQuick[size_t(_kind)];
	return score(_times.quick, _times.timed - _times.quick, shares.good * _part, shares.bad * _part);
}

/// @returns A score weighted by the number of baseline answers in the same interval. Without any, a risen
/// load can't be distinguished from a version that has become slow.
double weighted(double _score, double _baseline)
{
	return _score * _baseline / (_baseline + kHalfWeightAnswers);
}

/// @returns The score against a version that is slow in a part of its answers. @param[in] _usual Slow share
/// of the baseline's answers.
double slowScore(const TimeCounts& _times, double _usual, const Shares& _shares)
{
	const double good =
		std::max(_shares.good, std::min(_usual, kMaxUsualShare)); // Keeps the bad share below 1.
	return score(_times.slow, _times.timed - _times.slow, good, good + _shares.bad - _shares.good);
}

/// @returns The highest sum of scores over any last part of the intervals; 0 or more. `_score` takes the
/// counts and the number of an interval.
/// @param[in] _credit Maximum credit from earlier intervals in the version's favour.
template <typename Score>
double maxSuffixScore(const IntervalSums& _intervals, const Score& _score, double _credit = 0.0)
{
	double highest = 0.0;
	for (const auto& [interval, counts] : _intervals)
	{
		highest = std::max(-_credit, highest + _score(counts, interval));
	}
	return std::max(0.0, highest);
}

/// @returns The sum of an interval, the one before and the one after it. If the load changes within an
/// interval, the answers of one version may be from before the change and those of the other from after it.
EvidenceCounts sumAdjacent(const IntervalSums& _intervals, uint32_t _interval)
{
	EvidenceCounts total;
	const auto end = _intervals.lower_bound(intervalOf(_interval / 2 + 2, false));
	for (auto at = _intervals.lower_bound(intervalOf(std::max(1u, _interval / 2) - 1, false)); at != end;
		 ++at)
	{
		add(total, at->second);
	}
	return total;
}

uint32_t countBits(uint64_t _set)
{
	return uint32_t(__builtin_popcountll(_set));
}

uint32_t countSlow(const EvidenceCounts& _all)
{
	return _all.candidateTimes[size_t(TimeKind::FirstToken)].slow +
		   _all.candidateTimes[size_t(TimeKind::PerToken)].slow;
}

bool affectsSeveralUpstreams(const EvidenceCounts& _all)
{
	const uint32_t answered = countBits(_all.answeredUpstreams);
	const uint32_t failed = countBits(_all.failedUpstreams);
	if (answered <= 1)
	{
		return _all.candidate.bad + _all.candidate.timedOut + countSlow(_all) >= kMinFailuresOfSingle;
	}
	return failed >= kMinFailedUpstreams && double(failed) >= kMinFailedUpstreamShare * double(answered);
}

/// @returns The highest score against a version that is slower in all answers, over any last part of the
/// trial.
double maxSlowerScore(const IntervalSums& _intervals, TimeKind _kind)
{
	const size_t at = size_t(_kind);
	const auto slower = [&](const EvidenceCounts& _part, uint32_t _interval) {
		const EvidenceCounts current = sumAdjacent(_intervals, _interval);
		return slowerScore(_part.candidateTimes[at], _kind, quickPart(current.baselineTimes[at]));
	};
	return maxSuffixScore(_intervals, slower, kMaxQuickCredit);
}

/// @returns The highest score against a version that is slow in a part of its answers, over any last part of
/// the trial. In an interval without baseline answers in or next to it, slow is measured against the
/// baseline's earlier times, and a risen load can't be distinguished from a slow version; so such an interval
/// has no weight.
double maxOftenSlowScore(const IntervalSums& _intervals, const EvidenceCounts& _all, TimeKind _kind)
{
	const size_t at = size_t(_kind);
	const Hits overall = slowTimes(_all.baselineTimes[at]);
	return maxSuffixScore(_intervals, [&](const EvidenceCounts& _part, uint32_t _interval) {
		const Hits current = slowTimes(sumAdjacent(_intervals, _interval).baselineTimes[at]);
		const double weight = std::min(1.0, current.all / kHalfWeightAnswers);
		return weight * slowScore(_part.candidateTimes[at], usualShare(current, overall), kSlow[at]);
	});
}

/// @returns The fault that the times show. The time to the first token alone is weak evidence for streams,
/// because caches of long prompts are cold for a good version too.
VersionFault slowFault(const IntervalSums& _intervals)
{
	const EvidenceCounts all = sumIntervals(_intervals);
	const bool hasPerToken = all.candidateTimes[size_t(TimeKind::PerToken)].timed > 0;
	const double firstToken = maxSlowerScore(_intervals, TimeKind::FirstToken);
	const double perToken = maxSlowerScore(_intervals, TimeKind::PerToken);
	if ((hasPerToken ? perToken + std::min(firstToken, kMaxFirstTokenScore) : firstToken) > kSlowerThreshold)
	{
		return VersionFault::Slower;
	}
	const double slow = std::max(maxOftenSlowScore(_intervals, all, TimeKind::FirstToken),
								 maxOftenSlowScore(_intervals, all, TimeKind::PerToken));
	return slow > kFaultThreshold && affectsSeveralUpstreams(all) ? VersionFault::OftenSlow
																  : VersionFault::None;
}

VersionFault versionFault(const IntervalSums& _intervals)
{
	const EvidenceCounts all = sumIntervals(_intervals);
	const auto above = [&_intervals](const auto& _score) {
		return maxSuffixScore(_intervals, _score) > kFaultThreshold;
	};
	const bool severalUpstreams = affectsSeveralUpstreams(all);
	const auto fails = [&all](const EvidenceCounts& _part, uint32_t) {
		return failureScore(_part.candidate, all.baseline);
	};
	if (severalUpstreams && above(fails))
	{
		return VersionFault::Fails;
	}
	const auto timesOut = [&](const EvidenceCounts& _part, uint32_t) {
		const Hits current = timeouts(_part.baseline);
		return weighted(timeoutScore(_part.candidate, usualShare(current, timeouts(all.baseline))),
						current.all);
	};
	if (severalUpstreams && above(timesOut))
	{
		return VersionFault::Unresponsive;
	}
	return slowFault(_intervals);
}

uint32_t answers(const EvidenceCounts& _counts)
{
	return _counts.candidate.good + _counts.candidate.bad + _counts.baseline.good + _counts.baseline.bad;
}

/// Routes with hardly any traffic are exempt: waiting would not bring enough answers there.
bool isVerifiedOn(const EvidenceCounts& _route, uint32_t _allAnswers, double _level)
{
	return double(answers(_route)) < kMinRouteShare * double(_allAnswers) ||
		   failureScore(_route.candidate, _route.baseline) <= _level;
}

/// Without baseline answers times can't be compared. The time to the first token is used only if there are no
/// times per token, because caches that are cold for both versions make it similar.
bool isQuickEnough(const EvidenceCounts& _all, double _level)
{
	const bool hasPerToken = _all.candidateTimes[size_t(TimeKind::PerToken)].timed > 0;
	const TimeKind kind = hasPerToken ? TimeKind::PerToken : TimeKind::FirstToken;
	return _all.baseline.good == 0 || slowerScore(_all.candidateTimes[size_t(kind)], kind, 1.0) <= _level;
}

/// @returns Whether about as many routers have written recent rows as earlier ones. Routers that are cut off
/// keep their requests on the baseline version, and neither their evidence nor a halt by them has been
/// received.
bool hasFleetEvidence(const TrialEvidence& _evidence, uint32_t _firstRecent)
{
	std::set<uint32_t> recent;
	std::map<uint32_t, std::set<uint32_t>> earlier; // Writers by part of the trial.
	for (const auto& [key, entry] : _evidence.rows)
	{
		(key.interval >= _firstRecent ? recent : earlier[key.interval / 2]).insert(key.writer);
	}
	size_t maxWriters = 0;
	for (const auto& [part, writers] : earlier)
	{
		maxWriters = std::max(maxWriters, writers.size());
	}
	return double(recent.size()) >= kMinWriterShare * double(maxWriters);
}

/// Scores at or below which a version is verified.
struct VerificationLevel
{
	double failures = 0.0;    ///< Failures over all routes.
	double route = 0.0;       ///< Failures on each route with traffic.
	double times = 0.0;       ///< Quick answers.
	double fullTraffic = 0.0; ///< Failures while the version was to get all requests.
};
constexpr VerificationLevel kLevelToRamp = {-2.5, -0.5, -2.0, 0.0};
constexpr VerificationLevel kLevelInTime = {-5.0, -2.0, -4.0, -1.0};
/// Stricter after the deadline: an early decision has no benefit then, and the cause of the delay may have
/// hidden failures.
constexpr VerificationLevel kLevelOverdue = {-6.0, -3.0, -4.0, -5.0};

bool reachesLevel(const TrialEvidence& _evidence, const VerificationLevel& _level)
{
	const EvidenceCounts all = sumIntervals(sumRoutes(_evidence));
	const bool routes = std::all_of(_evidence.sums.begin(), _evidence.sums.end(), [&](const auto& _route) {
		return isVerifiedOn(sumIntervals(_route.second), answers(all), _level.route);
	});
	return routes && failureScore(all.candidate, all.baseline) <= _level.failures &&
		   isQuickEnough(all, _level.times) && versionFault(_evidence) == VersionFault::None;
}
} // namespace

const char* name(VersionFault _fault)
{
	constexpr const char* kNames[] = {"none", "fails", "stays_mute", "slower", "often_slow"};
	return kNames[size_t(_fault)];
}

VersionFault versionFault(const TrialEvidence& _evidence)
{
	for (const auto& [route, intervals] : _evidence.sums)
	{
		const VersionFault fault = versionFault(intervals);
		if (fault != VersionFault::None)
		{
			return fault;
		}
	}
	return versionFault(sumRoutes(_evidence));
}

bool isVerified(const TrialEvidence& _evidence)
{
	return reachesLevel(_evidence, kLevelToRamp);
}

bool isVerifiedForCompletion(const TrialEvidence& _evidence, uint32_t _firstRecent, bool _overdue)
{
	const IntervalSums intervals = sumRoutes(_evidence);
	const EvidenceCounts all = sumIntervals(intervals);
	const EvidenceCounts fullTraffic = sumFullTraffic(intervals);
	const EvidenceCounts recent = sumIntervals(intervals, _firstRecent);
	const double candidate = fullTraffic.candidate.good;
	const VerificationLevel& level = _overdue ? kLevelOverdue : kLevelInTime;
	return reachesLevel(_evidence, level) && hasFleetEvidence(_evidence, _firstRecent) &&
		   candidate >= kMinFullTrafficShare * (candidate + fullTraffic.baseline.good) &&
		   failureScore(fullTraffic.candidate, all.baseline) <= level.fullTraffic &&
		   failureScore(recent.candidate, all.baseline) <= kRecentThreshold;
}
} // namespace spanplank
