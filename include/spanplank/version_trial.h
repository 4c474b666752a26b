/// Roll-outs of an upstream's version in direct mode: exposure, evidence, halt and completion.
///
/// Every router holds the same small share of its own requests until late, so that the bound on the share of
/// all requests holds without talk. Each judges by its own evidence; a halt is written to the store for the
/// others.
#ifndef SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD
#define SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

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

/// Attempts of one version on one route.
struct TrialCounts
{
	uint32_t good = 0;
	uint32_t bad = 0;
	double latency = 0.0; ///< Decayed, in microseconds.
};

struct VersionTrial
{
	RolloutOrder order;
	uint64_t orderRevision = 0; ///< Of the order in the store: a new one begins a new trial.
	TimeUs startedAt = 0;       ///< When this router learned of the order, or its age told it.
	RolloutState state = RolloutState::Running;
	uint64_t statusRevision = 0;                  ///< Of the status in the store; 0: none.
	bool decided = false;                         ///< This router wants `state` in the store.
	std::map<std::string, TrialCounts> candidate; ///< By route.
	std::map<std::string, TrialCounts> others;    ///< By route.
	std::map<std::string, uint32_t> badBy;        ///< Bad answers by upstream of the new version.
	uint32_t candidateRequests = 0;
	uint32_t requests = 0;
	uint32_t candidateInFlight = 0;
	uint32_t othersInFlight = 0;
};

/// The version that a session's last request ran on.
struct SessionVersion
{
	std::string version;
	TimeUs at = 0;
};

struct TrialBook
{
	std::map<std::string, VersionTrial> trials; ///< By service.
	std::unordered_map<std::string, SessionVersion> sessions;
	TimeUs sessionLifetime = 5000 * kMsToUs; ///< From the settings; a session ends after this pause.
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

/// Chooses for a request's first attempt. @param[in] _session Empty: none.
VersionChoice chooseVersion(TrialBook& _book, const std::string& _service, const std::string& _session,
							TimeUs _now, Random& _random);

/// @returns The choice for a further attempt of a request, or after a halt: never a version that was rolled
/// back.
VersionChoice withoutHalted(const TrialBook& _book, const std::string& _service,
							const VersionChoice& _choice);

/// A request began to run on a version.
void noteSession(TrialBook& _book, const std::string& _session, const std::string& _version, TimeUs _now);

/// An attempt was sent, or ended.
void noteTrialSent(TrialBook& _book, const std::string& _service, const std::string& _version);
void noteTrialEnded(TrialBook& _book, const std::string& _service, const std::string& _version);

/// Evidence from an attempt's end. @param[in] _latency Until the head, microseconds; 0: none came.
void noteTrialResult(TrialBook& _book, const std::string& _service, const std::string& _version,
					 const std::string& _route, const std::string& _upstream, bool _bad, TimeUs _latency);

/// @returns The state that this router wants to write for a service, if it differs from what the store holds.
bool wantsStatus(VersionTrial& _trial, TimeUs _now, RolloutStatus& _status);

/// Forgets sessions that have ended.
void forgetSessions(TrialBook& _book, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_VERSION_TRIAL_H_HEADER_GUARD
