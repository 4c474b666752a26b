/// The tests behind a verdict, with their hypotheses.
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
/// A version is bad above this score: a good one gets there in one of `exp(6)`, 400 tests.
constexpr double kFaultThreshold = 6.0;
/// The same of times, whose references of few answers blur ranks.
constexpr double kSlowerThreshold = 8.0;
/// How quick a version is does not change by itself, but bursts of requests change all paces for a while.
constexpr double kMaxPerTokenCredit = 3.0;
/// What heads that are not quick add to such paces.
constexpr double kMaxFirstTokenScore = 3.0;
constexpr double kMinRouteShare = 0.1; ///< Of the service's answers, from which a route has traffic.
/// Of all answers while the version was to have all requests, that came from it: else it was not under load.
constexpr double kMinFullTrafficShare = 0.75;
constexpr double kMinWriterShare = 0.75;  ///< Of the answers that were heard before, each second.
constexpr double kRecentThreshold = -1.0; ///< Of failures in the newest spans: 6 good answers.

constexpr double kBadExcess = 0.15; ///< By how much a bad version fails more often than the settled one.
/// Crashes and queues silence up to a quarter of a good version's few answers: so much more than the settled
/// version's share is still good ...
constexpr double kTimeoutMargin = 0.1;
constexpr double kTimeoutExcess = 0.3;    ///< ... and this much more than that is bad.
constexpr double kMaxGoodTimeouts = 0.9;  ///< Share that is still good ...
constexpr double kMaxBadTimeouts = 0.95;  ///< ... and that is always bad.
constexpr double kMaxIntervalShare = 0.8; ///< Believed of the settled version's share at one time.
constexpr double kPriorBad = 1.0;         ///< Failures believed before any answer ...
constexpr double kPriorAll = 20.0;        ///< ... of so many answers.
/// Weight, in answers, of the settled version's share in the whole trial beside its share at one time.
constexpr double kWholeTrialWeight = 10.0;
/// Answers of the settled version with which a comparison has half its weight.
constexpr double kHalfWeightAnswers = 4.0;
constexpr double kBaselineQuickShare = 0.25; ///< Of the settled version's answers.
constexpr double kQuickPriorWeight = 4.0;    ///< Answers with that share, believed before any.
constexpr double kMinUsualShare = 0.02;
constexpr double kMaxUsualShare = 0.6;

/// Shares of answers of a good and of a bad version.
struct Shares
{
	double good = 0.0;
	double bad = 0.0;
};
/// Quick ones are a quarter of the settled version's by definition, less what few answers blur; of a good
/// version more of its paces than of its heads, as its caches are cold.
constexpr std::array<Shares, kTimeKinds> kQuick = {{{0.15, 0.03}, {0.24, 0.05}}};
/// Slow ones, where a part of the answers takes several times as long: heads of a good version wait for the
/// prompts of others.
constexpr std::array<Shares, kTimeKinds> kSlow = {{{0.2, 0.5}, {0.1, 0.25}}};

/// One upstream that fails is no bad version: at least two, and a third of those that answered, have to ...
constexpr uint32_t kMinFailedUpstreams = 2;
constexpr double kMinFailedUpstreamShare = 1.0 / 3.0;
constexpr uint32_t kMinFailuresOfSingle = 12; ///< ... unless there is but one, and it fails so often.

/// How much likelier a bad version makes some answers. @param[in] _good Share of hits of a good version.
double score(double _hits, double _misses, double _good, double _bad)
{
	return _hits * std::log(_bad / _good) + _misses * std::log((1.0 - _bad) / (1.0 - _good));
}

/// Hits among answers.
struct Hits
{
	double hits = 0.0;
	double all = 0.0;
};

/// @returns A share with a prior, kept where scores are finite.
double usualShare(const Hits& _sample)
{
	return std::clamp((_sample.hits + kPriorBad) / (_sample.all + kPriorAll), kMinUsualShare, kMaxUsualShare);
}

/// @returns The share at one time: what both versions suffer then is no sign against one of them.
/// @param[in] _then Of the settled version at that time. @param[in] _ever Of it in the whole trial.
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

/// @param[in] _usual Share of the settled version's answers that did not come in time.
double timeoutScore(const AnswerCounts& _candidate, double _usual)
{
	const double good = std::min(_usual + kTimeoutMargin, kMaxGoodTimeouts);
	return score(_candidate.timedOut, _candidate.good, good,
				 std::min(kMaxBadTimeouts, good + kTimeoutExcess));
}

/// How many of the settled version's answers are quick at one time, as a part of how many are by definition:
/// hardly any while the load rises, and then as few of a good version are.
double quickPart(const TimeCounts& _baseline)
{
	const double share =
		(_baseline.quick + kQuickPriorWeight * kBaselineQuickShare) / (_baseline.timed + kQuickPriorWeight);
	return std::min(1.0, share / kBaselineQuickShare);
}

/// Of a version all of whose answers are slower. @param[in] _part See `quickPart`.
double slowerScore(const TimeCounts& _times, TimeKind _kind, double _part)
{
	const Shares& shares = kQuick[size_t(_kind)];
	return score(_times.quick, _times.timed - _times.quick, shares.good * _part, shares.bad * _part);
}

/// What a comparison says, by how many of the settled version's answers there were at the same time: with
/// none nothing tells a load that has risen from a version that has become slow.
double weighted(double _score, double _baseline)
{
	return _score * _baseline / (_baseline + kHalfWeightAnswers);
}

/// Of a version some of whose answers are slow. @param[in] _usual Share of the settled version's slow ones.
double slowScore(const TimeCounts& _times, double _usual, const Shares& _shares)
{
	const double good =
		std::max(_shares.good, std::min(_usual, kMaxUsualShare)); // A bad share stays below 1.
	return score(_times.slow, _times.timed - _times.slow, good, good + _shares.bad - _shares.good);
}

/// @returns The highest sum of scores over any last part of the spans; 0 or more. A score takes the counts of
/// a span and its number.
/// @param[in] _credit How much of the parts before stays in the version's favour.
template <typename Score>
double highestRecent(const IntervalSums& _intervals, const Score& _score, double _credit = 0.0)
{
	double highest = 0.0;
	for (const auto& [interval, counts] : _intervals)
	{
		highest = std::max(-_credit, highest + _score(counts, interval));
	}
	return std::max(0.0, highest);
}

/// @returns A span, the one before and the one after it together: where the load changes in the middle of
/// one, the answers of either version in it may be of before or after.
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

/// Of a version all of whose answers are slower, over any last part of the trial.
double highestSlower(const IntervalSums& _intervals, TimeKind _kind)
{
	const size_t at = size_t(_kind);
	const auto slower = [&](const EvidenceCounts& _part, uint32_t _interval) {
		const EvidenceCounts current = sumAdjacent(_intervals, _interval);
		return slowerScore(_part.candidateTimes[at], _kind, quickPart(current.baselineTimes[at]));
	};
	return highestRecent(_intervals, slower, kMaxPerTokenCredit);
}

/// Of a version some of whose answers are slow, over any last part of the trial. Where the settled version
/// answers nothing any more, slow is measured by what it took before: nothing tells a risen load from the
/// version.
double highestOftenSlow(const IntervalSums& _intervals, const EvidenceCounts& _all, TimeKind _kind)
{
	const size_t at = size_t(_kind);
	const Hits overall = slowTimes(_all.baselineTimes[at]);
	return highestRecent(_intervals, [&](const EvidenceCounts& _part, uint32_t _interval) {
		const Hits current = slowTimes(sumAdjacent(_intervals, _interval).baselineTimes[at]);
		const double known = std::min(1.0, current.all / kHalfWeightAnswers);
		return known * slowScore(_part.candidateTimes[at], usualShare(current, overall), kSlow[at]);
	});
}

/// Heads alone say little of streams: caches of long prompts are cold for a good version too.
VersionFault slowFault(const IntervalSums& _intervals)
{
	const EvidenceCounts all = sumIntervals(_intervals);
	const bool hasPerToken = all.candidateTimes[size_t(TimeKind::PerToken)].timed > 0;
	const double firstToken = highestSlower(_intervals, TimeKind::FirstToken);
	const double perToken = highestSlower(_intervals, TimeKind::PerToken);
	if ((hasPerToken ? perToken + std::min(firstToken, kMaxFirstTokenScore) : firstToken) > kSlowerThreshold)
	{
		return VersionFault::Slower;
	}
	const double slow = std::max(highestOftenSlow(_intervals, all, TimeKind::FirstToken),
								 highestOftenSlow(_intervals, all, TimeKind::PerToken));
	return slow > kFaultThreshold && affectsSeveralUpstreams(all) ? VersionFault::OftenSlow
																  : VersionFault::None;
}

VersionFault versionFault(const IntervalSums& _intervals)
{
	const EvidenceCounts all = sumIntervals(_intervals);
	const auto above = [&_intervals](const auto& _score) {
		return highestRecent(_intervals, _score) > kFaultThreshold;
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

/// A route that has hardly any traffic can't be waited for: the answers that it lacks are as few later on.
bool isVerifiedOn(const EvidenceCounts& _route, uint32_t _allAnswers, double _level)
{
	return double(answers(_route)) < kMinRouteShare * double(_allAnswers) ||
		   failureScore(_route.candidate, _route.baseline) <= _level;
}

/// Without answers of the settled version to compare with, times say nothing. Heads count only where there
/// are no paces: caches that are cold for both versions make them alike.
bool isQuickEnough(const EvidenceCounts& _all, double _level)
{
	const bool hasPerToken = _all.candidateTimes[size_t(TimeKind::PerToken)].timed > 0;
	const TimeKind kind = hasPerToken ? TimeKind::PerToken : TimeKind::FirstToken;
	return _all.baseline.good == 0 || slowerScore(_all.candidateTimes[size_t(kind)], kind, 1.0) <= _level;
}

/// Routers that are cut off keep their requests on the settled version, and what they see is not known, a
/// halt neither: about as many routers must be heard of late as before.
bool hasFleetEvidence(const TrialEvidence& _evidence, uint32_t _firstRecent)
{
	std::set<uint32_t> recent;
	std::map<uint32_t, std::set<uint32_t>> earlier; // By part of the trial.
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

/// How far scores must have fallen.
struct VerificationLevel
{
	double failures = 0.0;    ///< Of failures over all routes.
	double route = 0.0;       ///< The same on each route with traffic.
	double times = 0.0;       ///< Of quick answers.
	double fullTraffic = 0.0; ///< Of failures while the version was to have all requests.
};
constexpr VerificationLevel kLevelToRamp = {-2.5, -0.5, -2.0, 0.0};
constexpr VerificationLevel kLevelInTime = {-5.0, -2.0, -4.0, -1.0};
/// After the deadline nothing is gained by haste, and what made it late may have hidden something.
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
