/// A duty that one router at a time does for all: who may act, under which token, and what the next one does.
///
/// A record in the store, changed only under a condition, names the holder. The first router of the tree
/// takes it; the position of that write is the holder's token, which therefore rises with each holder and
/// belongs to one process. Before each report the holder writes to the record what it will report. So a
/// holder acts only with a young proof that it still holds the duty, and the next one repeats exactly what
/// may have been reported already. A new holder first waits until the calls of the one before have ended.
#ifndef SPANPLANK_DUTY_H_HEADER_GUARD
#define SPANPLANK_DUTY_H_HEADER_GUARD

#include <cstdint>
#include <string>

#include "spanplank/types.h"
#include "spanplank/usage_ledger.h"

namespace spanplank
{
/// What the store holds of the duty.
struct DutyRecord
{
	std::string holder;   ///< Box.
	uint32_t life = 0;    ///< Of the holder's process.
	uint64_t era = 0;     ///< Of the store, when it was written.
	uint64_t window = 0;  ///< The newest of which a report was begun; 0: none.
	AccountCounts counts; ///< That report.
};

/// Who this process is, for the record.
struct DutySelf
{
	std::string box;
	uint32_t life = 0;
};

struct DutyBounds
{
	TimeUs lease = 3000 * kMsToUs;  ///< Within it calls must not come from one holder, another and the first.
	TimeUs window = 5000 * kMsToUs; ///< Length of a window.
	TimeUs late = 10000 * kMsToUs;  ///< After the end of a window its report is of no use.
};

struct DutyState
{
	DutyRecord record;        ///< The newest that is known.
	uint64_t revision = 0;    ///< Of the record, as a position; 0: there is none.
	TimeUs changedAt = 0;     ///< When this router learned of that revision.
	uint64_t token = 0;       ///< 0: this process does not hold the duty.
	TimeUs takenAt = 0;       ///< When it learned that it holds it.
	TimeUs provenAt = 0;      ///< When the last write was sent by which it held it.
	bool reported = false;    ///< The report in the record was taken.
	TimeUs firstSince = 0;    ///< Since when it has been the first of the tree; 0: it is not.
	TimeUs retryAt = 0;       ///< No call before.
	uint64_t firstWindow = 0; ///< Those before may have been reported, with what, is not known.
};

enum class DutyMove : uint8_t
{
	Wait,
	Take,   ///< Write the record as the next holder.
	Begin,  ///< Write what will be reported of a window.
	Prove,  ///< Write the record as it is: the proof that this process holds the duty is too old to act by.
	Report, ///< Send the report that the record holds.
};

struct DutyStep
{
	DutyMove move = DutyMove::Wait;
	uint64_t window = 0; ///< Of `Begin`.
};

/// @returns What to do now. @param[in] _wall Time of day.
DutyStep nextDutyStep(const DutyState& _state, const DutySelf& _self, const DutyBounds& _bounds, TimeUs _wall,
					  TimeUs _now);

/// This router is the first of the tree and reaches the store, or is not. One that is not does nothing: the
/// counts of the others do not come to it. It holds the duty until another router has taken it.
void noteFirst(DutyState& _state, bool _first, TimeUs _now);

/// The record was read or heard of.
void takeDutyRecord(DutyState& _state, const DutySelf& _self, const DutyRecord& _record, uint64_t _revision,
					TimeUs _now);

/// A write of the record was done. @param[in] _sentAt When it was sent.
void noteDutyWritten(DutyState& _state, const DutyRecord& _record, uint64_t _revision, TimeUs _sentAt,
					 TimeUs _now);

/// Stops for good under the token in use.
void resignDuty(DutyState& _state, TimeUs _now);

/// A call failed or its answer was lost.
void postponeDuty(DutyState& _state, TimeUs _now);

/// The store came back from an older copy: what was reported since that copy may be missing in the record.
void noteDutyReturned(DutyState& _state, const DutyBounds& _bounds, TimeUs _wall);

/// From the end of a window until the routers' counts of it have come together.
constexpr TimeUs kUsageSettle = 2000 * kMsToUs;
/// For another holder to begin the report of a window that is due, before the duty is taken from it.
constexpr TimeUs kHolderPatience = 2000 * kMsToUs;
constexpr TimeUs kFirstFor = 2000 * kMsToUs; ///< Until a new first of the tree counts as such.
constexpr TimeUs kDutyRetry = 1000 * kMsToUs;
} // namespace spanplank

#endif // SPANPLANK_DUTY_H_HEADER_GUARD
