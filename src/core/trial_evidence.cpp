/// Rows of evidence: merging, sums, and what neighbours are told.
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
	_sum.silent += _counts.silent;
}

void add(TimeCounts& _sum, const TimeCounts& _counts)
{
	_sum.timed += _counts.timed;
	_sum.quick += _counts.quick;
	_sum.slow += _counts.slow;
}

/// @returns By how much a count has risen.
uint32_t risen(uint32_t _from, uint32_t _to)
{
	return _to > _from ? _to - _from : 0;
}

AnswerCounts risen(const AnswerCounts& _from, const AnswerCounts& _to)
{
	return {risen(_from.good, _to.good), risen(_from.bad, _to.bad), risen(_from.silent, _to.silent)};
}

TimeCounts risen(const TimeCounts& _from, const TimeCounts& _to)
{
	return {risen(_from.timed, _to.timed), risen(_from.quick, _to.quick), risen(_from.slow, _to.slow)};
}

EvidenceCounts risen(const EvidenceCounts& _from, const EvidenceCounts& _to)
{
	EvidenceCounts more;
	more.candidate = risen(_from.candidate, _to.candidate);
	more.settled = risen(_from.settled, _to.settled);
	for (size_t kind = 0; kind < kTimeKinds; ++kind)
	{
		more.times[kind] = risen(_from.times[kind], _to.times[kind]);
		more.settledTimes[kind] = risen(_from.settledTimes[kind], _to.settledTimes[kind]);
	}
	more.askedAt = _to.askedAt & ~_from.askedAt;
	more.failedAt = _to.failedAt & ~_from.failedAt;
	return more;
}

bool isEmpty(const AnswerCounts& _counts)
{
	return _counts.good == 0 && _counts.bad == 0 && _counts.silent == 0;
}

bool isEmpty(const EvidenceCounts& _counts)
{
	const auto timed = [](const TimeCounts& _times) {
		return _times.timed > 0;
	};
	const bool times = std::any_of(_counts.times.begin(), _counts.times.end(), timed) ||
					   std::any_of(_counts.settledTimes.begin(), _counts.settledTimes.end(), timed);
	return isEmpty(_counts.candidate) && isEmpty(_counts.settled) && !times && _counts.askedAt == 0 &&
		   _counts.failedAt == 0;
}

/// The row is told to all neighbours after those that changed before it.
void tellLater(TrialEvidence& _evidence, const EvidenceKey& _key, EvidenceEntry& _entry)
{
	_evidence.changes.erase(_entry.order);
	_entry.order = ++_evidence.lastChange;
	_evidence.changes[_entry.order] = _key;
	_entry.behind = false;
}

void addTo(TrialEvidence& _evidence, const EvidenceKey& _key, EvidenceEntry& _entry,
		   const EvidenceCounts& _more)
{
	add(_entry.counts, _more);
	add(_evidence.sums[_key.route][_key.span], _more);
}

/// This router's own rows that only answers of the settled version changed since they were told.
void tellSettled(TrialEvidence& _evidence, TimeUs _now)
{
	if (_now - _evidence.settledToldAt < kSettledEvery)
	{
		return;
	}
	_evidence.settledToldAt = _now;
	for (auto& [key, entry] : _evidence.rows)
	{
		if (entry.behind)
		{
			tellLater(_evidence, key, entry);
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
	add(_sum.settled, _counts.settled);
	for (size_t kind = 0; kind < kTimeKinds; ++kind)
	{
		add(_sum.times[kind], _counts.times[kind]);
		add(_sum.settledTimes[kind], _counts.settledTimes[kind]);
	}
	_sum.askedAt |= _counts.askedAt;
	_sum.failedAt |= _counts.failedAt;
}

void addEvidence(TrialEvidence& _evidence, const EvidenceKey& _key, const EvidenceCounts& _seen, TimeUs _now)
{
	EvidenceEntry& entry = _evidence.rows[_key];
	addTo(_evidence, _key, entry, _seen);
	// Where the version was to have all requests, its share of the answers decides: both sides travel alike.
	if (!isEmpty(_seen.candidate) || isLoaded(_key.span))
	{
		tellLater(_evidence, _key, entry);
		return;
	}
	entry.behind = true;
	tellSettled(_evidence, _now);
}

void takeEvidence(TrialEvidence& _evidence, const EvidenceRow& _row, uint32_t _source)
{
	EvidenceEntry& entry = _evidence.rows[_row.key];
	const EvidenceCounts more = risen(entry.counts, _row.counts);
	if (isEmpty(more))
	{
		return;
	}
	addTo(_evidence, _row.key, entry, more);
	entry.source = _source;
	tellLater(_evidence, _row.key, entry);
}

std::vector<EvidenceRow> evidenceFor(TrialEvidence& _evidence, uint64_t& _told, uint32_t _neighbour,
									 TimeUs _now)
{
	tellSettled(_evidence, _now);
	std::vector<EvidenceRow> rows;
	for (auto at = _evidence.changes.upper_bound(_told);
		 at != _evidence.changes.end() && rows.size() < kMostRowsTold; ++at)
	{
		_told = at->first;
		const EvidenceEntry& entry = _evidence.rows.at(at->second);
		if (entry.source == 0 || entry.source != _neighbour)
		{
			rows.push_back({at->second, entry.counts});
		}
	}
	return rows;
}

std::vector<EvidenceRow> newestEvidence(const TrialEvidence& _evidence, size_t _most)
{
	std::vector<EvidenceRow> rows;
	for (auto at = _evidence.changes.rbegin(); at != _evidence.changes.rend() && rows.size() < _most; ++at)
	{
		rows.push_back({at->second, _evidence.rows.at(at->second).counts});
	}
	return rows;
}

void forgetEvidence(TrialEvidence& _evidence, uint32_t _firstKept)
{
	for (auto at = _evidence.rows.begin(); at != _evidence.rows.end();)
	{
		const bool old = at->first.span < _firstKept;
		if (old)
		{
			_evidence.changes.erase(at->second.order);
		}
		at = old ? _evidence.rows.erase(at) : std::next(at);
	}
	for (auto& [route, spans] : _evidence.sums)
	{
		spans.erase(spans.begin(), spans.lower_bound(_firstKept));
	}
}

SpanSums sumRoutes(const TrialEvidence& _evidence)
{
	SpanSums total;
	for (const auto& [route, spans] : _evidence.sums)
	{
		for (const auto& [span, counts] : spans)
		{
			add(total[span], counts);
		}
	}
	return total;
}

EvidenceCounts sumSpans(const SpanSums& _spans, uint32_t _from)
{
	EvidenceCounts total;
	for (auto at = _spans.lower_bound(_from); at != _spans.end(); ++at)
	{
		add(total, at->second);
	}
	return total;
}

EvidenceCounts sumLoaded(const SpanSums& _spans)
{
	EvidenceCounts total;
	for (const auto& [span, counts] : _spans)
	{
		if (isLoaded(span))
		{
			add(total, counts);
		}
	}
	return total;
}
} // namespace spanplank
