/// Detects store outages that are long enough for registrations to lapse, from the store's confirmations and
/// the times in which this process was scheduled.
///
/// The store may compact its history, reject a call or lose an answer, or this process may not be scheduled
/// for a while, and an upstream may shut down meanwhile. None of these is an outage. If one of them is
/// mistaken for an outage, an upstream that has shut down stays in use.
#ifndef SPANPLANK_STORE_CONTACT_H_HEADER_GUARD
#define SPANPLANK_STORE_CONTACT_H_HEADER_GUARD

#include <deque>

#include "spanplank/types.h"

namespace spanplank
{
/// An interval in which this process was not scheduled.
struct Stall
{
	TimeUs from = 0;
	TimeUs to = 0;
};

/// Confirmations of the store, and the intervals in which this process was not scheduled.
struct StoreContact
{
	/// Period at which an upstream renews its registration; from the settings.
	TimeUs heartbeatPeriod = 1200 * kMsToUs;
	/// Maximum time between two confirmations of a reachable store: the pause and the longest wait of a
	/// watch, whose answer confirms the moment at which the watch began; from the settings.
	TimeUs watchPeriod = 1000 * kMsToUs;
	TimeUs confirmedAt = 0;   ///< Latest moment that the store has confirmed, also through a parent; 0: none.
	TimeUs recoveredAt = 0;   ///< First confirmation after the last outage; 0: there was none.
	TimeUs lastRunAt = 0;     ///< Last call of `recordRunning`; 0: never.
	std::deque<Stall> stalls; ///< Stalls since the last confirmation, oldest first.
};

/// Records that this process runs. Must be called every `kRunCheckPeriodMs`: a step longer than
/// `kMaxRunStepUs` counts as a stall.
void recordRunning(StoreContact& _contact, TimeUs _now);

/// Records that the store confirmed the state at a moment. @returns Whether that ended an outage.
bool recordStoreConfirmation(StoreContact& _contact, TimeUs _confirmedAt, TimeUs _now);

/// Why a registration was removed.
enum class RemovalCause : uint8_t
{
	Deregistered,   ///< The store was reachable: the upstream has shut down.
	StoreOutage,    ///< The store was unreachable until now: the registration may have lapsed.
	StoreRecovered, ///< The store became reachable a moment ago: the registration may have lapsed.
};

/// @returns A name for logs.
const char* name(RemovalCause _cause);

/// Cause of a removal, with what it is based on.
struct RemovalAssessment
{
	RemovalCause cause = RemovalCause::Deregistered;
	TimeUs since = 0;   ///< Start of the time that the upstream has to register again.
	TimeUs silence = 0; ///< Time without a confirmation, us, less the stalls.
};

/// @returns The cause of a removal that is seen at `_now`.
RemovalAssessment assessRemoval(const StoreContact& _contact, TimeUs _now);

/// Heartbeat periods without a confirmation from which registrations are assumed to have lapsed: the store
/// removes a registration after three missed heartbeats. A shorter gap only removes those whose last
/// heartbeat came before it; when it counted as an outage, upstreams that had shut down stayed in use
/// for up to 2.9 s after other routers had removed them.
constexpr int64_t kLapseHeartbeats = 3;
/// Maximum delay of a confirmation by one lost answer of a reachable store: the timeouts of a call on a
/// reused connection and of its retry, the pause after them and a round trip to a slow store.
constexpr TimeUs kMaxLostAnswerUs = 2000 * kMsToUs;
/// Registrations that lapsed during an outage may be reported as removed until this long after its end.
constexpr TimeUs kLapseReportDelayUs = 1000 * kMsToUs;
/// Period of `recordRunning`.
constexpr uint32_t kRunCheckPeriodMs = 100;
/// Longest step between two calls of `recordRunning` of a process that runs, even on a small share of a core.
constexpr TimeUs kMaxRunStepUs = 400 * kMsToUs;
constexpr size_t kMaxStalls = 64;
} // namespace spanplank

#endif // SPANPLANK_STORE_CONTACT_H_HEADER_GUARD
