/// A duty that a single router performs at a time on behalf of all routers: election of the holder, fencing
/// token and hand-over.
///
/// A record in the store, written by compare-and-swap, names the holder. The root of the router tree acquires
/// the duty; the store position of that write is the holder's fencing token, which therefore increases with
/// each holder and belongs to one process. Before each report the holder writes the report's content to the
/// record. Thus a holder acts only if it has recently confirmed that it holds the duty, and its successor
/// repeats exactly what may have been reported already. A new holder first waits until the calls of the
/// previous one have ended.
#ifndef SPANPLANK_DUTY_H_HEADER_GUARD
#define SPANPLANK_DUTY_H_HEADER_GUARD

#include <cstdint>
#include <string>

#include "spanplank/types.h"
#include "spanplank/usage_ledger.h"

namespace spanplank
{
/// The record of the duty in the store.
struct DutyRecord
{
	std::string holder;       ///< Box of the holder.
	uint32_t incarnation = 0; ///< Hash of the holder's incarnation; `life` in the stored record.
	uint64_t era = 0;         ///< Era of the store when the record was written.
	uint64_t window = 0;      ///< Newest window for which a report was begun; 0 if there is none.
	AccountCounts counts;     ///< Content of that report.
};

/// Identity of this process in the record.
struct DutyIdentity
{
	std::string box;
	uint32_t incarnation = 0;
};

struct DutyTiming
{
	/// A holder waits this long before its first report, so that within it the platform never receives calls
	/// from one holder, then another one, then the first again.
	TimeUs lease = 3000 * kMsToUs;
	TimeUs window = 5000 * kMsToUs;          ///< Length of a window.
	TimeUs maxReportDelay = 10000 * kMsToUs; ///< A window is not reported later than this after its end.
};

struct DutyState
{
	DutyRecord record;      ///< The newest record received.
	uint64_t revision = 0;  ///< Store position of the record; 0 if there is none.
	TimeUs changedAt = 0;   ///< When this router received that revision.
	uint64_t token = 0;     ///< Fencing token; 0 if this process does not hold the duty.
	TimeUs acquiredAt = 0;  ///< When this process received confirmation that it holds the duty.
	TimeUs confirmedAt = 0; ///< When the last write that confirmed the holder was sent; 0 if there is none.
	bool reported = false;  ///< The platform accepted the report in the record.
	TimeUs rootSince = 0;   ///< Since when this router has been the root of the tree; 0 if it is not.
	TimeUs retryAt = 0;     ///< No call is made before this time.
	uint64_t minWindow = 0; ///< Earlier windows may have been reported with unknown content.
};

enum class DutyAction : uint8_t
{
	Wait,
	Acquire,     ///< Write the record as the new holder.
	BeginReport, ///< Write the content of a window's report to the record.
	Confirm,     ///< Write the record unchanged, to confirm that this process still holds the duty.
	SendReport,  ///< Send the report in the record to the platform.
};

struct DutyStep
{
	DutyAction action = DutyAction::Wait;
	uint64_t window = 0; ///< For `BeginReport`: the window to report.
};

/// @returns The next action. @param[in] _wall Wall time since 1970. @param[in] _now Monotonic time.
DutyStep nextDutyStep(const DutyState& _state, const DutyIdentity& _self, const DutyTiming& _timing,
					  TimeUs _wall, TimeUs _now);

/// Records whether this router is the root of the tree and reaches the store. A router that is not takes no
/// action, since it does not receive the counts of the others, but holds the duty until another one acquires
/// it.
void recordRootStatus(DutyState& _state, bool _isRoot, TimeUs _now);

/// Applies a record that was read from the store or received in an update.
void applyDutyRecord(DutyState& _state, const DutyIdentity& _self, const DutyRecord& _record,
					 uint64_t _revision, TimeUs _now);

/// Records a successful write of the record. @param[in] _sentAt When the write was sent.
void recordDutyWrite(DutyState& _state, const DutyRecord& _record, uint64_t _revision, TimeUs _sentAt,
					 TimeUs _now);

/// Gives up the current token for good.
void resignDuty(DutyState& _state, TimeUs _now);

/// Delays the next call after one that failed or whose answer was lost.
void postponeDuty(DutyState& _state, TimeUs _now);

/// The store was restored from an older copy: reports made after that copy may be missing from the record.
void recordDutyStoreRestore(DutyState& _state, const DutyTiming& _timing, TimeUs _wall);

/// Time after the end of a window for the routers' counts to arrive at the root.
constexpr TimeUs kUsageCollectDelayUs = 2000 * kMsToUs;
/// Time that the holder has to begin a report that is due before another router acquires the duty.
constexpr TimeUs kHolderTimeoutUs = 2000 * kMsToUs;
constexpr TimeUs kMinRootTimeUs = 2000 * kMsToUs; ///< Time as the root before a router may acquire the duty.
constexpr TimeUs kDutyRetryDelayUs = 1000 * kMsToUs;
} // namespace spanplank

#endif // SPANPLANK_DUTY_H_HEADER_GUARD
