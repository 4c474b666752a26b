/// Roll-outs of an upstream's version in direct mode: exposure, evidence, halt and completion.
///
/// Sessions move between routers, so the version of a session may not depend on what one router has seen: it
/// follows from a hash of the session and from the time since the order, which all routers share. Each router
/// judges by its own evidence; a halt is obeyed at once and written to the store for the others.
#ifndef SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD
#define SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

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

/// Attempts of one version on one route.
struct TrialCounts
{
	uint32_t good = 0;
	uint32_t bad = 0;
	uint32_t silent = 0;   ///< Attempts given up because nothing came in time.
	uint32_t slow = 0;     ///< Good answers whose head came far later than the old version's do.
	double slowness = 0.0; ///< Decayed latency until the head, over what prompt and queue let expect.
};

struct VersionTrial
{
	RolloutOrder order;
	uint64_t orderRevision = 0; ///< Of the order in the store: a new one begins a new trial.
	TimeUs startedAt = 0; ///< Of the order, as far as this router knows; the store's progress moves it back.
	RolloutState state = RolloutState::Running;
	uint64_t statusRevision = 0;                  ///< Of the status in the store; 0: none.
	bool decided = false;                         ///< This router wants `state` in the store.
	TimeUs wantedAt = 0;                          ///< Since when it wants to write a status; 0: it does not.
	bool heard = false;                           ///< Another router halted it and told this one.
	TimeUs writeAfter = 0;                        ///< No call to write the status before; a call failed.
	uint32_t writesLost = 0;                      ///< Such calls that failed in a row.
	std::map<std::string, TrialCounts> candidate; ///< By route.
	std::map<std::string, TrialCounts> others;    ///< By route.
	std::map<std::string, uint32_t> badBy; ///< Bad, silent and slow answers by upstream of the new version.
	uint32_t othersInFlight = 0;           ///< Attempts on the old version.
	TimeUs progressSaved = 0;      ///< Progress that the store holds, so that a blank router can go on.
	uint64_t progressRevision = 0; ///< Of that record; 0: none.
};

struct TrialBook
{
	std::map<std::string, VersionTrial> trials; ///< By service.
	double exposureShare =
		0.15; ///< Bound on what an unproved version gets of all requests, from the settings.
};

/// An order was read. An order that is known stays as it is.
void takeOrder(TrialBook& _book, const RolloutOrder& _order, uint64_t _revision, TimeUs _now);

/// A status was read. @returns Whether it changed what is believed.
bool takeStatus(TrialBook& _book, const std::string& _service, const RolloutStatus& _status,
				uint64_t _revision);

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

/// Chooses for a request. @param[in] _sessionHash The same for all requests of a session.
VersionChoice chooseVersion(const TrialBook& _book, const std::string& _service, uint64_t _sessionHash,
							TimeUs _now, TrialUse _use = TrialUse::Open);

/// @returns Whether a version is on trial: ordered, and neither completed nor rolled back.
bool isOnTrial(const TrialBook& _book, const std::string& _service, const std::string& _version);

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

/// A call to write a status failed: the next waits. @param[in] _jitter 0 to 1.
void noteWriteLost(VersionTrial& _trial, TimeUs _now, double _jitter);

/// @returns The version that was rolled back, which gets no more requests; empty: none.
std::string haltedVersion(const TrialBook& _book, const std::string& _service);

/// An attempt was sent, or ended.
void noteTrialSent(TrialBook& _book, const std::string& _service, const std::string& _version);
void noteTrialEnded(TrialBook& _book, const std::string& _service, const std::string& _version);

/// Evidence from an attempt's end. @returns Whether it made this router halt the version. @param[in]
/// _slowness Latency until the head over the expected one; 0: no head came.
bool noteTrialResult(TrialBook& _book, const std::string& _service, const std::string& _version,
					 const std::string& _route, const std::string& _upstream, TrialSign _sign,
					 double _slowness);

/// @returns The evidence of a trial in one line, for logs.
std::string describeEvidence(const VersionTrial& _trial);

/// @returns Whether this router wants to write the status. @param[out] _status What it wants to write.
bool wantsStatus(VersionTrial& _trial, TimeUs _now, RolloutStatus& _status);

/// @returns Whether the progress in the store is old enough to be written anew. @param[in] _jitter 0 to 1.
bool wantsProgress(const VersionTrial& _trial, TimeUs _now, double _jitter);

/// The store's record of the time since the order was read or written.
void takeProgress(VersionTrial& _trial, TimeUs _progress, uint64_t _revision, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD
