/// Evidence of a trial from this router's answers, from neighbours and from the progress record in the store.
#include <algorithm>
#include <fmt/format.h>

#include "trial_schedule_p.h"

namespace spanplank
{
namespace
{
/// Share of the baseline's answers that count as quick.
constexpr double kQuickShare = 0.25;
/// The same from the start of the ramp on, when the baseline's times are older.
constexpr double kQuickShareInRamp = 0.75;
constexpr uint32_t kUpstreamBits = 64;
constexpr uint32_t kNoNeighbour = 0; ///< Source of rows that are sent to all neighbours.
/// Age at which the progress record is rewritten: the error of a router that starts without state.
constexpr TimeUs kProgressPeriod = 2000 * kMsToUs;
constexpr TimeUs kProgressJitter = 1000 * kMsToUs;

uint64_t bitOf(const std::string& _upstream)
{
	return uint64_t(1) << (stableHash(_upstream) % kUpstreamBits);
}

AnswerCounts countOf(TrialOutcome _outcome)
{
	return {_outcome == TrialOutcome::Good ? 1u : 0u, _outcome == TrialOutcome::Bad ? 1u : 0u,
			_outcome == TrialOutcome::TimedOut ? 1u : 0u};
}

/// @returns The ranks of a good answer's times among the newest of the baseline version.
std::array<TimeCounts, kTimeKinds> ranksOf(const VersionTrial& _trial, const TrialAnswer& _answer,
										   double _quickShare, TimeUs _now)
{
	std::array<TimeCounts, kTimeKinds> ranks;
	for (const TimeKind kind : {TimeKind::FirstToken, TimeKind::PerToken})
	{
		const std::optional<TimeRank> rank = rankOf(_trial.reference, kind, _answer.times, _quickShare, _now);
		if (_answer.outcome == TrialOutcome::Good && rank)
		{
			ranks[size_t(kind)] = {1, *rank == TimeRank::Quick ? 1u : 0u, *rank == TimeRank::Slow ? 1u : 0u};
		}
	}
	return ranks;
}

EvidenceCounts candidateEvidence(const VersionTrial& _trial, double _exposureShare,
								 const TrialAnswer& _answer, TimeUs _now)
{
	const bool ramping = rampProgress(_trial, _exposureShare, _answer.sentAt) > 0.0;
	EvidenceCounts seen;
	seen.candidate = countOf(_answer.outcome);
	seen.candidateTimes = ranksOf(_trial, _answer, ramping ? kQuickShareInRamp : kQuickShare, _now);
	const bool slow = std::any_of(seen.candidateTimes.begin(), seen.candidateTimes.end(),
								  [](const TimeCounts& _times) { return _times.slow > 0; });
	seen.answeredUpstreams = bitOf(_answer.upstream);
	seen.failedUpstreams = _answer.outcome != TrialOutcome::Good || slow ? seen.answeredUpstreams : 0;
	return seen;
}

EvidenceCounts baselineEvidence(VersionTrial& _trial, const TrialAnswer& _answer, TimeUs _now)
{
	EvidenceCounts seen;
	seen.baseline = countOf(_answer.outcome);
	seen.baselineTimes = ranksOf(_trial, _answer, kQuickShare, _now);
	if (_answer.outcome == TrialOutcome::Good)
	{
		recordTimes(_trial.reference, _answer.times, _now);
	}
	return seen;
}

/// Merges the rows of retained intervals.
void applyRows(VersionTrial& _trial, const std::vector<EvidenceRow>& _rows, uint32_t _source, TimeUs _now)
{
	const uint32_t first = firstRetainedInterval(_trial, _now);
	for (const EvidenceRow& row : _rows)
	{
		if (row.key.interval >= first)
		{
			applyEvidence(_trial.evidence, row, _source);
		}
	}
}

std::string nameOf(const TrialEvidence& _evidence, uint32_t _route)
{
	const auto found = _evidence.routeNames.find(_route);
	return found == _evidence.routeNames.end() ? fmt::format("{:x}", _route) : found->second;
}
} // namespace

bool recordTrialAnswer(TrialTable& _trials, const std::string& _service, const TrialAnswer& _answer,
					   TimeUs _now)
{
	VersionTrial* trial = trialOf(_trials, _service);
	if (trial == nullptr || trial->state != RolloutState::Running)
	{
		return false;
	}
	const bool onTrial = _answer.version == trial->order.version;
	const EvidenceCounts seen = onTrial ? candidateEvidence(*trial, _trials.exposureShare, _answer, _now)
										: baselineEvidence(*trial, _answer, _now);
	const bool fullTraffic = rampProgress(*trial, _trials.exposureShare, _answer.sentAt) >= 1.0;
	const uint32_t route = routeKeyOf(_answer.route);
	trial->evidence.routeNames.try_emplace(route, _answer.route);
	addEvidence(trial->evidence,
				{_trials.writer, route, intervalOf(intervalIndex(*trial, _now), fullTraffic)}, seen, _now);
	return onTrial && haltIfFaulty(*trial, false);
}

std::vector<TrialUpdate> trialUpdatesFor(TrialTable& _trials, SentTrials& _sent, uint32_t _neighbour,
										 TimeUs _now)
{
	std::vector<TrialUpdate> updates;
	for (auto& [service, trial] : _trials.trials)
	{
		if (trial.state != RolloutState::Running)
		{
			continue;
		}
		SentTrials::Position& position = _sent.positions[service];
		if (position.orderRevision != trial.orderRevision)
		{
			position = {trial.orderRevision, 0};
		}
		TrialUpdate update{service, trial.orderRevision, _now - trial.startedAt, std::nullopt, {}};
		if (trial.rampStartAt != 0)
		{
			update.rampStartsIn = trial.rampStartAt - _now;
		}
		update.rows = unsentEvidence(trial.evidence, position.lastChange, _neighbour, _now);
		updates.push_back(std::move(update));
	}
	return updates;
}

bool applyTrialUpdate(TrialTable& _trials, const TrialUpdate& _update, uint32_t _neighbour, TimeUs _now)
{
	VersionTrial* trial = trialOf(_trials, _update.service);
	if (trial == nullptr || trial->orderRevision != _update.orderRevision ||
		trial->state != RolloutState::Running)
	{
		return false; // The update belongs to another order, or the trial has ended.
	}
	trial->startedAt = std::min(trial->startedAt, _now - _update.elapsed);
	if (_update.rampStartsIn)
	{
		const TimeUs rampStartAt = std::max<TimeUs>(1, _now + *_update.rampStartsIn);
		trial->rampStartAt =
			trial->rampStartAt == 0 ? rampStartAt : std::min(trial->rampStartAt, rampStartAt);
	}
	applyRows(*trial, _update.rows, _neighbour, _now);
	return !_update.rows.empty() && haltIfFaulty(*trial, true);
}

namespace
{
/// @returns The ranks of both kinds of times, for logs.
std::string describeTimes(const std::array<TimeCounts, kTimeKinds>& _times)
{
	const TimeCounts& firstToken = _times[size_t(TimeKind::FirstToken)];
	const TimeCounts& perToken = _times[size_t(TimeKind::PerToken)];
	return fmt::format("heads {} quick {} slow of {}, paces {} quick {} slow of {}", firstToken.quick,
					   firstToken.slow, firstToken.timed, perToken.quick, perToken.slow, perToken.timed);
}

/// @returns The intervals in which the candidate has times, with those of the baseline: the comparison behind
/// a halt because of times.
std::string describeIntervals(const IntervalSums& _intervals)
{
	std::string text;
	for (const auto& [interval, counts] : _intervals)
	{
		if (counts.candidateTimes[0].timed + counts.candidateTimes[1].timed > 0)
		{
			text += fmt::format(" [span {}{}: new {}; old {}]", interval / 2,
								isFullTraffic(interval) ? " loaded" : "",
								describeTimes(counts.candidateTimes), describeTimes(counts.baselineTimes));
		}
	}
	return text;
}
} // namespace

std::string describeEvidence(const VersionTrial& _trial)
{
	std::string text = fmt::format("{}", name(_trial.fault));
	const bool byTimes = _trial.fault == VersionFault::Slower || _trial.fault == VersionFault::OftenSlow;
	for (const auto& [route, intervals] : _trial.evidence.sums)
	{
		const EvidenceCounts total = sumIntervals(intervals);
		text += fmt::format("; {}: new {} good {} bad {} silent, {}, old {} good {} bad {} silent",
							nameOf(_trial.evidence, route), total.candidate.good, total.candidate.bad,
							total.candidate.timedOut, describeTimes(total.candidateTimes),
							total.baseline.good, total.baseline.bad, total.baseline.timedOut);
		text += byTimes ? describeIntervals(intervals) : "";
	}
	return text;
}

bool isProgressDue(const VersionTrial& _trial, TimeUs _now, double _jitter)
{
	const TimeUs unsaved = _now - _trial.startedAt - _trial.storedElapsed;
	return _trial.state == RolloutState::Running &&
		   unsaved > kProgressPeriod + TimeUs(_jitter * double(kProgressJitter));
}

TrialProgress progressOf(const VersionTrial& _trial, TimeUs _now)
{
	return {_now - _trial.startedAt, newestEvidence(_trial.evidence, kMaxStoredRows)};
}

void applyProgress(VersionTrial& _trial, const TrialProgress& _progress, uint64_t _revision, TimeUs _now)
{
	if (_revision <= _trial.progressRevision || _revision < _trial.orderRevision)
	{
		return;
	}
	_trial.progressRevision = _revision;
	_trial.storedElapsed = _progress.elapsed;
	_trial.startedAt = std::min(_trial.startedAt, _now - _progress.elapsed);
	applyRows(_trial, _progress.rows, kNoNeighbour, _now);
}
} // namespace spanplank
