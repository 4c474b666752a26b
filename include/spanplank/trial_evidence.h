/// Evidence of all routers on a version on trial, merged without double counting.
///
/// Each router counts its own answers by route and by interval of the trial. A count only rises and has one
/// writer, so routers forward the rows of all others unchanged and keep the higher value of two. The result
/// does not depend on the paths by which a row arrives, on the router that is followed, or on whether the
/// writer still runs.
#ifndef SPANPLANK_TRIAL_EVIDENCE_H_HEADER_GUARD
#define SPANPLANK_TRIAL_EVIDENCE_H_HEADER_GUARD

#include <absl/types/span.h>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "spanplank/answer_times.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Attempts by outcome.
struct AnswerCounts
{
	uint32_t good = 0;
	uint32_t bad = 0;      ///< Failure answers.
	uint32_t timedOut = 0; ///< Attempts given up because no answer came in time.
};

/// Good answers whose times were compared.
struct TimeCounts
{
	uint32_t timed = 0; ///< All of them.
	uint32_t quick = 0; ///< Those ranked `TimeRank::Quick`.
	uint32_t slow = 0;  ///< Those ranked `TimeRank::Slow`.
};

struct EvidenceCounts
{
	AnswerCounts candidate; ///< Attempts on the version on trial.
	AnswerCounts baseline;  ///< Attempts on all other versions.
	/// Ranks of the candidate's times among the baseline's.
	std::array<TimeCounts, kTimeKinds> candidateTimes;
	/// Ranks of the baseline's times among its own.
	std::array<TimeCounts, kTimeKinds> baselineTimes;
	/// Bit set, by hash, of the candidate's upstreams that answered.
	uint64_t answeredUpstreams = 0;
	/// Bit set, by hash, of those with bad, slow or missing answers.
	uint64_t failedUpstreams = 0;
};

/// Key of a row, which has one writer.
struct EvidenceKey
{
	uint32_t writer = 0;   ///< Hash of a router's incarnation: a restarted router is another writer.
	uint32_t route = 0;    ///< Hash of the route's name.
	uint32_t interval = 0; ///< Interval of the trial, see `intervalOf`.

	bool operator<(const EvidenceKey& _other) const
	{
		return std::tie(writer, route, interval) < std::tie(_other.writer, _other.route, _other.interval);
	}
};

struct EvidenceRow
{
	EvidenceKey key;
	EvidenceCounts counts;
};

/// State of a row at this router.
struct EvidenceEntry
{
	EvidenceCounts counts;
	uint64_t changeNumber = 0; ///< Number of its last change that is sent to neighbours; 0 if there is none.
	uint32_t sourceNeighbour = 0; ///< Neighbour that sent it and does not need it back; 0: this router.
	bool baselinePending = false; ///< The baseline version has answered since that change.
};

/// Sums over all writers, by interval.
using IntervalSums = std::map<uint32_t, EvidenceCounts>;

struct TrialEvidence
{
	std::map<EvidenceKey, EvidenceEntry> rows;
	std::map<uint64_t, EvidenceKey> changes; ///< By `EvidenceEntry::changeNumber`; each row is in it once.
	uint64_t lastChange = 0;
	std::map<uint32_t, IntervalSums> sums; ///< By route.
	/// Names of the routes that this router has served.
	std::unordered_map<uint32_t, std::string> routeNames;
	TimeUs baselineSentAt = 0; ///< Last release of the rows that only baseline answers had changed.
};

/// Intervals of a trial's duration. Evidence older than one duration is dropped, in short trials evidence
/// older than 30 s: the good answers of a version that turns bad late must not outweigh its failures.
constexpr uint32_t kIntervals = 10;
/// @returns The number of an interval. @param[in] _index Index of the part of the trial; `kIntervals` parts
/// make up its duration, and numbering continues after it. @param[in] _fullTraffic Whether the version was to
/// get all requests by then.
constexpr uint32_t intervalOf(uint32_t _index, bool _fullTraffic)
{
	return 2 * _index + (_fullTraffic ? 1 : 0);
}

constexpr bool isFullTraffic(uint32_t _interval)
{
	return _interval % 2 == 1;
}

/// Period for sending rows that only baseline answers have changed. The baseline's failure rate changes
/// slowly, and 103 routers would otherwise change about 300 rows with each ping.
constexpr TimeUs kBaselineSendPeriod = 2000 * kMsToUs;
constexpr size_t kMaxRowsPerMessage = 200; ///< About 50 bytes each.

/// Rows in the store for routers that start without state: all rows of a small fleet, about 10 kB. In a large
/// fleet, where new evidence arrives soon, the newest rows.
constexpr size_t kMaxStoredRows = 200;

/// @returns The hash that identifies a route between routers.
uint32_t routeKeyOf(std::string_view _route);

/// Adds answers that this router observed itself.
void addEvidence(TrialEvidence& _evidence, const EvidenceKey& _key, const EvidenceCounts& _seen, TimeUs _now);

/// Merges a row of another router. @param[in] _source Neighbour that sent it.
void applyEvidence(TrialEvidence& _evidence, const EvidenceRow& _row, uint32_t _source);

/// @returns Rows that have not been sent to a neighbour, oldest change first, at most `kMaxRowsPerMessage`.
/// @param[in,out] _lastSent Number of the last change that was sent to it.
std::vector<EvidenceRow> unsentEvidence(TrialEvidence& _evidence, uint64_t& _lastSent, uint32_t _neighbour,
										TimeUs _now);

/// @returns At most `_maxRows` rows, the last changed first.
std::vector<EvidenceRow> newestEvidence(const TrialEvidence& _evidence, size_t _maxRows);

/// Drops the intervals before `_firstRetained`.
void expireEvidence(TrialEvidence& _evidence, uint32_t _firstRetained);

/// Adds counts and unites the sets of upstreams.
void add(EvidenceCounts& _sum, const EvidenceCounts& _counts);

/// @returns The sums over all routes, by interval.
IntervalSums sumRoutes(const TrialEvidence& _evidence);

/// @returns The sum of the intervals from `_from` on.
EvidenceCounts sumIntervals(const IntervalSums& _intervals, uint32_t _from = 0);

/// @returns The sum of the intervals in which the version was to get all requests.
EvidenceCounts sumFullTraffic(const IntervalSums& _intervals);
} // namespace spanplank

#endif // SPANPLANK_TRIAL_EVIDENCE_H_HEADER_GUARD
