/// Roll-outs of an upstream's version in direct mode: exposure, halt and completion.
///
/// Sessions move between routers, so the version of a session may not depend on what one router has seen: it
/// follows from a hash of the session, from the time since the order, and from whether the fleet has proved
/// the version, which all routers share. The evidence of all routers is put together (`trial_evidence.h`) and
/// judged
/// (`trial_verdict.h`). Time alone never gives an unproved version more than the bound on exposure, each
/// router keeps that bound by its own count of what has reached the service, and only the store's word
/// completes a version.
#ifndef SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD
#define SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "spanplank/trial_evidence.h"
#include "spanplank/trial_verdict.h"
#include "spanplank/types.h"

namespace spanplank
{
/// What the operators asked for.
struct RolloutOrder
{
	std::string service;
	std::string version;
	uint32_t durationMs = 0; ///< From when the order was written.
};

enum class RolloutState : uint8_t
{
	Running,
	Completed,
	RolledBack,
};

/// @returns A name for logs.
const char* name(RolloutState _state);

/// What all routers see of a roll-out, in the store.
struct RolloutStatus
{
	std::string version;
	RolloutState state = RolloutState::Running;
};

/// What an attempt says of its version. Crashes and cuts say nothing.
enum class TrialSign : uint8_t
{
	Good,
	Bad,    ///< A failure answer.
	Silent, ///< Nothing came in the time that it should take.
};

struct VersionTrial
{
	RolloutOrder order;
	uint64_t orderRevision = 0; ///< Of the order in the store: a new one begins a new trial.
	TimeUs startedAt = 0; ///< Of the order, as far as this router knows; others may know an earlier time.
	TimeUs widenAt = 0;   ///< The fleet has proved it: from then its share grows to all; 0: not yet.
	RolloutState state = RolloutState::Running;
	uint64_t statusRevision = 0;     ///< Of the status in the store; 0: none.
	bool decided = false;            ///< It is halted and the store does not say so yet.
	bool heard = false;              ///< Halted by another router's word or evidence, which others have too.
	BadSign badSign = BadSign::None; ///< Why this router halted it.
	TimeUs wantedAt = 0;             ///< Since when this router wants to write a status; 0: it does not.
	TimeUs writeAfter = 0;           ///< No call to write the status before; a call failed.
	uint32_t writesLost = 0;         ///< Such calls that failed in a row.
	TrialEvidence evidence;          ///< Of all routers.
	TimeReference reference;         ///< Times of this router's answers of the settled version.
	uint64_t reached = 0;            ///< Attempts of this router that reached an upstream since the order.
	uint64_t exposed = 0; ///< Attempts on the version on trial: from the choice on, less those never sent.
	uint64_t credit = 0;  ///< Such attempts that the router may make above its share.
	TimeUs progressSaved = 0;      ///< Progress that the store holds, so that a blank router can go on.
	uint64_t progressRevision = 0; ///< Of that record; 0: none.
	TimeUs loggedAt = 0;           ///< When a line was logged on where it stands.
};

struct TrialBook
{
	std::map<std::string, VersionTrial> trials; ///< By service.
	/// Bound on what an unproved version gets of all requests, from the settings.
	double exposureShare = 0.15;
	uint32_t writer = 0; ///< Of this router's rows of evidence: a hash of its box and start.
	/// Whether this router may make one attempt above its share of a trial that is ordered now. At most
	/// `kExposureCredits` routers of a fleet may: a share of few requests is less than one.
	bool credited = true;
};

/// Routers of a fleet that may go above their share by one attempt. Well below what operators allow above the
/// bound for all routers together.
constexpr size_t kExposureCredits = 15;

/// An order was read. An order that is known stays as it is.
/// @param[in] _orderedAt When it was written, as far as that is known.
/// @returns Whether it is news.
bool takeOrder(TrialBook& _book, const RolloutOrder& _order, uint64_t _revision, TimeUs _orderedAt);

/// A status was read. @returns Whether it changed what is believed.
bool takeStatus(TrialBook& _book, const std::string& _service, const RolloutStatus& _status,
				uint64_t _revision);

// ---- Choice -----------------------------------------------------------------------------------------------

/// Which versions a request may run on.
struct VersionChoice
{
	std::string only; ///< Just this version; empty: any but `never`.
	std::string never;
};

/// What the attempts so far make of a further one.
enum class TrialUse : uint8_t
{
	Open,        ///< The version on trial is as good as the other.
	SettledOnly, ///< Not on an unproved version: it has failed this request, or this is the last attempt.
};

/// A request's part in a trial.
struct TrialSubject
{
	uint64_t hash = 0;      ///< The same for all requests of a session.
	bool inSession = false; ///< Sessions keep the old version for the first half.
	TrialUse use = TrialUse::Open;
};

/// Chooses for a request.
VersionChoice chooseVersion(const TrialBook& _book, const std::string& _service, const TrialSubject& _subject,
							TimeUs _now);

/// What is left to a request when no upstream of its choice takes it: any version that was not rolled back,
/// and the one on trial only within the bound on exposure.
VersionChoice chooseAnyVersion(const TrialBook& _book, const std::string& _service, TimeUs _now);

/// @returns Whether a version is on trial: ordered, and neither completed nor rolled back.
bool isOnTrial(const TrialBook& _book, const std::string& _service, const std::string& _version);

/// @returns The version that was rolled back, which gets no more requests; empty: none.
std::string haltedVersion(const TrialBook& _book, const std::string& _service);

// ---- Counts -----------------------------------------------------------------------------------------------
// A router keeps the bound whatever becomes of its attempts: one on the version on trial counts from its
// choice on, any attempt towards the share only once it has reached its upstream.

/// An attempt's part in a trial, from its choice to its end.
struct TrialAttempt
{
	uint64_t orderRevision = 0; ///< Of the trial that ran when the upstream was chosen; 0: none did.
	bool exposed = false;       ///< On the version on trial.
};

/// An upstream was chosen for an attempt.
TrialAttempt noteTrialChosen(TrialBook& _book, const std::string& _service, const std::string& _version);

/// An attempt has reached its upstream.
void noteTrialReached(TrialBook& _book, const std::string& _service, const TrialAttempt& _attempt);

/// An attempt ended before anything of it was sent.
void noteTrialUnsent(TrialBook& _book, const std::string& _service, const TrialAttempt& _attempt);

// ---- Evidence ---------------------------------------------------------------------------------------------

/// An attempt's end.
struct TrialAnswer
{
	std::string version;
	std::string route;
	std::string upstream; ///< Its id and start.
	TrialSign sign = TrialSign::Good;
	AnswerTimes times; ///< Of a good answer.
	TimeUs sentAt = 0; ///< When the attempt began.
};

/// Evidence from an attempt's end. @returns Whether it made this router halt the version.
bool noteTrialAnswer(TrialBook& _book, const std::string& _service, const TrialAnswer& _answer, TimeUs _now);

/// What a router tells its neighbours of a trial.
struct TrialNews
{
	std::string service;
	uint64_t orderRevision = 0;
	TimeUs elapsed = 0;            ///< Since the order.
	std::optional<TimeUs> widenIn; ///< Time until the share grows; negative: it began so long ago.
	std::vector<EvidenceRow> rows; ///< Changed since the neighbour was told last.
};

/// What one neighbour was told of the trials, over one link.
struct ToldTrials
{
	struct Told
	{
		uint64_t orderRevision = 0;
		uint64_t change = 0; ///< Last change of the evidence that it was told.
	};
	std::map<std::string, Told> told; ///< By service.
};

/// @returns News of the trials that are running, for a neighbour, which is then told.
std::vector<TrialNews> trialNewsFor(TrialBook& _book, ToldTrials& _told, uint32_t _neighbour, TimeUs _now);

/// Takes what a neighbour told. @returns Whether it made this router halt the version.
bool takeTrialNews(TrialBook& _book, const TrialNews& _news, uint32_t _neighbour, TimeUs _now);

/// @returns The evidence of a trial in one line, for logs.
std::string describeEvidence(const VersionTrial& _trial);

// ---- Halts ------------------------------------------------------------------------------------------------

/// A halt that one router tells the others, who may not have seen enough of the version.
struct TrialHalt
{
	std::string service;
	uint64_t orderRevision = 0; ///< Of the order that is halted.
};

/// @returns The halts that are not in the store yet.
std::vector<TrialHalt> unwrittenHalts(const TrialBook& _book);

/// Another router has halted a version. @returns Whether this one halts it by that.
bool takeHalt(TrialBook& _book, const TrialHalt& _halt);

// ---- Time and the store -----------------------------------------------------------------------------------

/// Moves a trial on: the share of a version that the evidence has proved grows, old evidence is forgotten.
/// @returns Whether the version was proved just now.
bool advanceTrial(VersionTrial& _trial, double _exposureShare, TimeUs _now);

/// @returns The status that this router wants in the store; nothing: what stands there is right. A completion
/// is only wanted: the trial runs on until the store has it.
/// @param[in] _calmSince Since when this router has reached the store without an outage.
std::optional<RolloutStatus> wantedStatus(const VersionTrial& _trial, double _exposureShare,
										  TimeUs _calmSince, TimeUs _now);

/// The store holds what this router wanted.
void noteStatusWritten(VersionTrial& _trial, const RolloutStatus& _status, uint64_t _revision);

/// A call to write a status failed: the next waits. @param[in] _jitter 0 to 1.
void noteWriteLost(VersionTrial& _trial, TimeUs _now, double _jitter);

/// @returns Whether the progress in the store is old enough to be written anew. @param[in] _jitter 0 to 1.
bool wantsProgress(const VersionTrial& _trial, TimeUs _now, double _jitter);

/// What the store keeps of a trial for routers that start blank.
struct TrialProgress
{
	TimeUs elapsed = 0;            ///< Since the order.
	std::vector<EvidenceRow> rows; ///< Newest, at most `kMostRowsKept`.
};

/// @returns What is to be kept now.
TrialProgress progressOf(const VersionTrial& _trial, TimeUs _now);

/// The store's record was read or written.
void takeProgress(VersionTrial& _trial, const TrialProgress& _progress, uint64_t _revision, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD
