/// Roll-outs of an upstream's version in direct mode: exposure, halt and completion.
///
/// Sessions move between routers, so the version of a session must not depend on what one router has
/// observed. It follows from a hash of the session, from the time since the order, and from whether the fleet
/// has verified the version, all of which are shared by all routers. The evidence of all routers is merged
/// (`trial_evidence.h`) and tested (`trial_verdict.h`). The passage of time alone never gives an unverified
/// version more than the exposure bound, each router enforces that bound by its own count of what has reached
/// the service, and a version is completed only once the store holds the completion.
#ifndef SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD
#define SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "spanplank/trial_evidence.h"
#include "spanplank/trial_verdict.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Roll-out that the operators ordered.
struct RolloutOrder
{
	std::string service;
	std::string version;
	uint32_t durationMs = 0; ///< Starts when the order is written.
};

enum class RolloutState : uint8_t
{
	Running,
	Completed,
	RolledBack,
};

/// @returns The name of a state as it is logged.
const char* name(RolloutState _state);

/// State of a roll-out in the store, shared by all routers.
struct RolloutStatus
{
	std::string version;
	RolloutState state = RolloutState::Running;
};

/// Outcome of an attempt, as evidence on its version. Crashes and disconnects are no evidence.
enum class TrialOutcome : uint8_t
{
	Good,
	Bad,      ///< A failure answer.
	TimedOut, ///< No answer within the expected time.
};

struct VersionTrial
{
	RolloutOrder order;
	/// Versions that earlier orders had tried and that were rolled back. Their upstreams may be there for a
	/// while; they get no requests until an order names them, or another version is completed.
	std::set<std::string> halted;
	uint64_t orderRevision = 0; ///< Revision of the order in the store; a new order starts a new trial.
	/// Time of the order, the earliest that this router has received; others may have an earlier one.
	TimeUs startedAt = 0;
	/// When the share of the verified version starts to grow to all requests; 0 while it is not verified.
	TimeUs rampStartAt = 0;
	RolloutState state = RolloutState::Running;
	uint64_t statusRevision = 0;  ///< Revision of the status in the store; 0 if there is none.
	bool statusUnwritten = false; ///< `state` differs from the status in the store and has to be written.
	bool haltedByPeer = false; ///< Halted because of a peer's halt or evidence, which other routers have too.
	VersionFault fault = VersionFault::None; ///< Fault for which this router halted the version.
	TimeUs writePendingSince = 0; ///< Since when this router needs to write a status; 0 if it does not.
	TimeUs writeAfter = 0;        ///< Earliest time of the next write of the status after a failed one.
	uint32_t failedWrites = 0;    ///< Consecutive failed writes of the status.
	TrialEvidence evidence;       ///< Evidence of all routers.
	TimeReference reference;      ///< Times of the baseline version's answers at this router.
	uint64_t reached = 0;         ///< Attempts of this router that reached an upstream since the order.
	uint64_t exposed = 0;     ///< Attempts on the candidate version: counted when chosen, less those unsent.
	uint64_t credit = 0;      ///< Attempts on the candidate that the router may make above its share.
	TimeUs storedElapsed = 0; ///< Elapsed time in the progress record of the store, for routers that restart.
	uint64_t progressRevision = 0; ///< Revision of the progress record in the store; 0 if there is none.
	TimeUs loggedAt = 0;           ///< When the progress was last logged.
};

struct TrialTable
{
	std::map<std::string, VersionTrial> trials; ///< By service.
	/// Maximum share of all requests that an unverified version gets, from the settings.
	double exposureShare = 0.15;
	uint32_t writer = 0; ///< Writer id of this router's evidence rows: a hash of its box and start.
	/// Whether this router may make one attempt above its share in a trial that is ordered now. At most
	/// `kMaxCreditedRouters` routers of a fleet may, because the share of few requests is less than one
	/// attempt.
	bool credited = true;
};

/// Routers of a fleet that may exceed their share by one attempt. Well below the number of requests above the
/// bound that operators allow for all routers together.
constexpr size_t kMaxCreditedRouters = 15;

/// Applies an order from the store. An order that is already known changes nothing.
/// @param[in] _orderedAt When the order was written, as far as that is known.
/// @returns Whether the order starts a new trial.
bool applyOrder(TrialTable& _trials, const RolloutOrder& _order, uint64_t _revision, TimeUs _orderedAt);

/// Applies a status from the store. @returns Whether it differed from the state of the trial.
bool applyStatus(TrialTable& _trials, const std::string& _service, const RolloutStatus& _status,
				 uint64_t _revision);

// ---- Choice -----------------------------------------------------------------------------------------------

/// Versions that a request may run on.
struct VersionChoice
{
	std::string only;             ///< Only this version; if empty, any but `excluded`.
	std::string excluded;         ///< Not this version; empty if none is excluded.
	std::set<std::string> halted; ///< Nor these, which earlier orders had tried.
};

/// Versions that the next attempt of a request may use.
enum class VersionScope : uint8_t
{
	Any,
	BaselineOnly, ///< No unverified version: it has failed this request, or this is the last attempt.
};

/// Properties of a request that determine its version.
struct TrialRequest
{
	uint64_t hash = 0;      ///< The same for all requests of a session.
	bool inSession = false; ///< Sessions stay on the baseline version for the first half of the trial.
	VersionScope scope = VersionScope::Any;
};

/// Chooses the version for a request.
VersionChoice chooseVersion(const TrialTable& _trials, const std::string& _service,
							const TrialRequest& _request, TimeUs _now);

/// Fallback when no upstream of the chosen version accepts the request: any version that was not rolled back,
/// and the one on trial only within the exposure bound.
VersionChoice chooseFallbackVersion(const TrialTable& _trials, const std::string& _service, TimeUs _now);

/// @returns Whether a version is on trial: ordered, and neither completed nor rolled back.
bool isOnTrial(const TrialTable& _trials, const std::string& _service, const std::string& _version);

/// @returns The version of the last order if it was rolled back; empty if it was not.
std::string haltedVersion(const TrialTable& _trials, const std::string& _service);

/// @returns Whether a version was rolled back, under the last order or an earlier one, and gets no requests.
bool isHalted(const TrialTable& _trials, const std::string& _service, const std::string& _version);

// ---- Counts -----------------------------------------------------------------------------------------------
// A router keeps the bound whatever the outcome of its attempts: an attempt on the candidate version counts
// as exposed as soon as it is chosen, while any attempt raises the allowed share only once it has reached its
// upstream.

/// Accounting of one attempt in a trial, from its choice to its end.
struct TrialAttempt
{
	uint64_t orderRevision = 0; ///< Order of the trial that ran when the upstream was chosen; 0 if none ran.
	bool exposed = false;       ///< Whether the attempt is on the candidate version.
};

/// Records that an upstream was chosen for an attempt.
TrialAttempt recordTrialChosen(TrialTable& _trials, const std::string& _service, const std::string& _version);

/// Records that an attempt has reached its upstream.
void recordTrialReached(TrialTable& _trials, const std::string& _service, const TrialAttempt& _attempt);

/// Records that an attempt ended before any of it was sent.
void recordTrialUnsent(TrialTable& _trials, const std::string& _service, const TrialAttempt& _attempt);

// ---- Evidence ---------------------------------------------------------------------------------------------

/// Result of an attempt.
struct TrialAnswer
{
	std::string version;
	std::string route;
	std::string upstream; ///< Id and start of the upstream.
	TrialOutcome outcome = TrialOutcome::Good;
	AnswerTimes times; ///< Only used for a good answer.
	TimeUs sentAt = 0; ///< Start of the attempt.
};

/// Records the result of an attempt as evidence. @returns Whether this router halted the version because of
/// it.
bool recordTrialAnswer(TrialTable& _trials, const std::string& _service, const TrialAnswer& _answer,
					   TimeUs _now);

/// Update on a trial that a router sends to its neighbours.
struct TrialUpdate
{
	std::string service;
	uint64_t orderRevision = 0;
	TimeUs elapsed = 0;                 ///< Time since the order.
	std::optional<TimeUs> rampStartsIn; ///< Time until the share starts to grow; negative if it has started.
	std::vector<EvidenceRow> rows;      ///< Rows that changed since the last update to this neighbour.
};

/// Position in the updates that were sent to one neighbour over one link.
struct SentTrials
{
	struct Position
	{
		uint64_t orderRevision = 0;
		uint64_t lastChange = 0; ///< Number of the last change of the evidence that was sent.
	};
	std::map<std::string, Position> positions; ///< By service.
};

/// @returns Updates on the running trials for a neighbour; `_sent` advances past them.
std::vector<TrialUpdate> trialUpdatesFor(TrialTable& _trials, SentTrials& _sent, uint32_t _neighbour,
										 TimeUs _now);

/// Applies an update from a neighbour. @returns Whether this router halted the version because of it.
bool applyTrialUpdate(TrialTable& _trials, const TrialUpdate& _update, uint32_t _neighbour, TimeUs _now);

/// @returns The evidence of a trial in one line, for logs.
std::string describeEvidence(const VersionTrial& _trial);

// ---- Halts ------------------------------------------------------------------------------------------------

/// Halt that a router sends to the others, which may not have enough evidence of their own.
struct TrialHalt
{
	std::string service;
	uint64_t orderRevision = 0; ///< Revision of the halted order.
};

/// @returns The halts that are not in the store yet.
std::vector<TrialHalt> unwrittenHalts(const TrialTable& _trials);

/// Applies a halt from another router. @returns Whether it halted the version at this router.
bool applyHalt(TrialTable& _trials, const TrialHalt& _halt);

// ---- Time and the store -----------------------------------------------------------------------------------

/// Advances a trial: starts the ramp of a version that the evidence has verified, and drops old evidence.
/// @returns Whether the version was verified by this call.
bool advanceTrial(VersionTrial& _trial, double _exposureShare, TimeUs _now);

/// @returns The status that this router needs to write to the store; nothing if the stored one is up to date.
/// A completion is only requested: the trial continues until the store holds it.
/// @param[in] _storeReachableSince Since when this router has reached the store without an outage.
std::optional<RolloutStatus> pendingStatus(const VersionTrial& _trial, double _exposureShare,
										   TimeUs _storeReachableSince, TimeUs _now);

/// Records that the store holds a status that this router wrote.
void recordStatusWritten(VersionTrial& _trial, const RolloutStatus& _status, uint64_t _revision);

/// Records a failed write of a status and delays the next one. @param[in] _jitter 0 to 1.
void recordFailedWrite(VersionTrial& _trial, TimeUs _now, double _jitter);

/// @returns Whether the progress record in the store is old enough to be rewritten. @param[in] _jitter 0
/// to 1.
bool isProgressDue(const VersionTrial& _trial, TimeUs _now, double _jitter);

/// Progress record in the store, for routers that start without state.
struct TrialProgress
{
	TimeUs elapsed = 0;            ///< Time since the order.
	std::vector<EvidenceRow> rows; ///< Newest rows, at most `kMaxStoredRows`.
};

/// @returns The progress record to store now.
TrialProgress progressOf(const VersionTrial& _trial, TimeUs _now);

/// Applies a progress record that was read from or written to the store.
void applyProgress(VersionTrial& _trial, const TrialProgress& _progress, uint64_t _revision, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD
