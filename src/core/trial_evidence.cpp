/// Rows of evidence: merging, sums, and updates for neighbours.
#include "spanplank/trial_evidence.h"

#include <algorithm>

namespace spanplank
{
namespace
{
void add(AnswerCounts& _sum, const AnswerCounts& _counts)
{
	_sum.good += _counts.good;
	_sum.bad += _counts.bad;
	_sum.timedOut += _counts.timedOut;
}

void add(TimeCounts& _sum, const TimeCounts& _counts)
{
	_sum.timed += _counts.timed;
	_sum.quick += _counts.quick;
	_sum.slow += _counts.slow;
}

/// @returns The increase of a count; 0 if it has not risen.
uint32_t increase(uint32_t _from, uint32_t _to)
{
	return _to > _from ? _to - _from : 0;
}

AnswerCounts increase(const AnswerCounts& _from, const AnswerCounts& _to)
{
	return {increase(_from.good, _to.good), increase(_from.bad, _to.bad),
			increase(_from.timedOut, _to.timedOut)};
}

TimeCounts increase(const TimeCounts& _from, const TimeCounts& _to)
{
	return {increase(_from.timed, _to.timed), increase(_from.quick, _to.quick),
			increase(_from.slow, _to.slow)};
}

EvidenceCounts increase(const EvidenceCounts& _from, const EvidenceCounts& _to)
{
	EvidenceCounts increases;
	increases.candidate = increase(_from.candidate, _to.candidate);
	increases.baseline = increase(_from.baseline, _to.baseline);
	for (size_t kind = 0; kind < kTimeKinds; ++kind)
	{
		increases.candidateTimes[kind] = increase(_from.candidateTimes[kind], _to.candidateTimes[kind]);
		increases.baselineTimes[kind] = increase(_from.baselineTimes[kind], _to.baselineTimes[kind]);
	}
	increases.answeredUpstreams = _to.answeredUpstreams & ~_from.answeredUpstreams;
	increases.failedUpstreams = _to.failedUpstreams & ~_from.failedUpstreams;
	return increases;
}

bool isEmpty(const AnswerCounts& _counts)
{
	return _counts.good == 0 && _counts.bad == 0 && _counts.timedOut == 0;
}

bool isEmpty(const EvidenceCounts& _counts)
{
	const auto timed = [](const TimeCounts& _times) {
		return _times.timed > 0;
	};
	const bool times = std::any_of(_counts.candidateTimes.begin(), _counts.candidateTimes.end(), timed) ||
					   std::any_of(_counts.baselineTimes.begin(), _counts.baselineTimes.end(), timed);
	return isEmpty(_counts.candidate) && isEmpty(_counts.baseline) && !times &&
		   _counts.answeredUpstreams == 0 && _counts.failedUpstreams == 0;
}

/// Queues a row for all neighbours, after the rows that changed before it.
void queueChange(TrialEvidence& _evidence, const EvidenceKey& _key, EvidenceEntry& _entry)
{
	_evidence.changes.erase(_entry.changeNumber);
	_entry.changeNumber = ++_evidence.lastChange;
	_evidence.changes[_entry.changeNumber] = _key;
	_entry.baselinePending = false;
}

void addTo(TrialEvidence& _evidence, const EvidenceKey& _key, EvidenceEntry& _entry,
		   const EvidenceCounts& _increases)
{
	add(_entry.counts, _increases);
	add(_evidence.sums[_key.route][_key.interval], _increases);
}

/// Queues this router's own rows that only baseline answers have changed since they were last queued, at most
/// once per `kBaselineSendPeriod`.
void queueBaselineRows(TrialEvidence& _evidence, TimeUs _now)
{
	if (_now - _evidence.baselineSentAt < kBaselineSendPeriod)
	{
		return;
	}
	_evidence.baselineSentAt = _now;
	for (auto& [key, entry] : _evidence.rows)
	{
		if (entry.baselinePending)
		{
			queueChange(_evidence, key, entry);
		}
	}
}
} // namespace

uint32_t routeKeyOf(std::string_view _route)
{
	return uint32_t(stableHash(_route));
}

void add(EvidenceCounts& _sum, const EvidenceCounts& _counts)
{
	add(_sum.candidate, _counts.candidate);
	add(_sum.baseline, _counts.baseline);
	for (size_t kind = 0; kind < kTimeKinds; ++kind)
	{
		add(_sum.candidateTimes[kind], _counts.candidateTimes[kind]);
		add(_sum.baselineTimes[kind], _counts.baselineTimes[kind]);
	}
	_sum.answeredUpstreams |= _counts.answeredUpstreams;
	_sum.failedUpstreams |= _counts.failedUpstreams;
}

void addEvidence(TrialEvidence& _evidence, const EvidenceKey& _key, const EvidenceCounts& _seen, TimeUs _now)
{
	EvidenceEntry& entry = _evidence.rows[_key];
	addTo(_evidence, _key, entry, _seen);
	// In an interval with full traffic the version's share of all answers decides, so the answers of both
	// versions are sent without delay.
	if (!isEmpty(_seen.candidate) || isFullTraffic(_key.interval))
	{
		queueChange(_evidence, _key, entry);
		return;
	}
	entry.baselinePending = true;
	queueBaselineRows(_evidence, _now);
}

void applyEvidence(TrialEvidence& _evidence, const EvidenceRow& _row, uint32_t _source)
{
	EvidenceEntry& entry = _evidence.rows[_row.key];
	const EvidenceCounts increases = increase(entry.counts, _row.counts);
	if (isEmpty(increases))
	{
		return;
	}
	addTo(_evidence, _row.key, entry, increases);
	entry.sourceNeighbour = _source;
	queueChange(_evidence, _row.key, entry);
}

std::vector<EvidenceRow> unsentEvidence(TrialEvidence& _evidence, uint64_t& _lastSent, uint32_t _neighbour,
										TimeUs _now)
{
	queueBaselineRows(_evidence, _now);
	std::vector<EvidenceRow> rows;
	for (auto at = _evidence.changes.upper_bound(_lastSent);
		 at != _evidence.changes.end() && rows.size() < kMaxRowsPerMessage; ++at)
	{
		_lastSent = at->first;
		const EvidenceEntry& entry = _evidence.rows.at(at->second);
		if (entry.sourceNeighbour == 0 || entry.sourceNeighbour != _neighbour)
		{
			rows.push_back({at->second, entry.counts});
		}
	}
	return rows;
}

std::vector<EvidenceRow> newestEvidence(const TrialEvidence& _evidence, size_t _maxRows)
{
	std::vector<EvidenceRow> rows;
	for (auto at = _evidence.changes.rbegin(); at != _evidence.changes.rend() && rows.size() < _maxRows; ++at)
	{
		rows.push_back({at->second, _evidence.rows.at(at->second).counts});
	}
	return rows;
}

void expireEvidence(TrialEvidence& _evidence, uint32_t _firstRetained)
{
	for (auto at = _evidence.rows.begin(); at != _evidence.rows.end();)
	{
		const bool old = at->first.interval < _firstRetained;
		if (old)
		{
			_evidence.changes.erase(at->second.changeNumber);
		}
		at = old ? _evidence.rows.erase(at) : std::next(at);
	}
	for (auto& [route, intervals] : _evidence.sums)
	{
		intervals.erase(intervals.begin(), intervals.lower_bound(_firstRetained));
	}
}

IntervalSums sumRoutes(const TrialEvidence& _evidence)
{
	IntervalSums total;
	for (const auto& [route, intervals] : _evidence.sums)
	{
		for (const auto& [interval, counts] : intervals)
		{
			add(total[interval], counts);
		}
	}
	return total;
}

EvidenceCounts sumIntervals(const IntervalSums& _intervals, uint32_t _from)
{
	EvidenceCounts total;
	for (auto at = _intervals.lower_bound(_from); at != _intervals.end(); ++at)
	{
		add(total, at->second);
	}
	return total;
}

EvidenceCounts sumFullTraffic(const IntervalSums& _intervals)
{
	EvidenceCounts total;
	for (const auto& [interval, counts] : _intervals)
	{
		if (isFullTraffic(interval))
		{
			add(total, counts);
		}
	}
	return total;
}
} // namespace spanplank
