/// Health and choice of upstreams. Registrations are in `upstream_registrations.cpp`, the choice by the parts
/// of a prompt in `prompt_choice.cpp`.
#include "spanplank/upstream_table.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "prompt_choice_p.h"
#include "upstream_registrations_p.h"

namespace spanplank
{
namespace
{
constexpr double kFailureDecay = 0.85; ///< Weight of the previous failure rate; averages about 6 attempts.
constexpr double kLatencyDecay = 0.9;  ///< Weight of the previous slowness of an upstream.
/// Weight of a service's previous latency; close to 1 as many upstreams update it.
constexpr double kServiceDecay = 0.98;
/// Failure rate above which an upstream is ejected. Services have failure rates of up to 0.15 of their own.
constexpr double kEjectFailureRate = 0.4;
constexpr uint32_t kMinEjectSamples = 5; ///< Attempts before the failure rate is used.
constexpr uint32_t kTimeoutsToEject = 2; ///< Consecutive timeouts that eject an upstream.
constexpr uint32_t kFailuresToEject = 4; ///< Consecutive failures that eject an upstream.
/// Length of the first ejection; each further one doubles it.
constexpr TimeUs kFirstEjection = 1000 * kMsToUs;
constexpr uint32_t kMaxEjectionDoublings = 3;
constexpr double kFailureWeight = 4.0; ///< Relative increase of load or wait at a failure rate of 1.
/// In requests in flight; randomizes the choice between equal upstreams.
constexpr double kLoadJitter = 0.01;
constexpr double kOtherHallLoad = 1.0; ///< Penalty for another hall, in requests in flight.

bool matches(const UpstreamEntry& _entry, const UpstreamQuery& _query, uint32_t _idx)
{
	const std::string& version = _entry.record.version;
	const bool halted = _query.haltedVersions != nullptr && _query.haltedVersions->count(version) != 0;
	const bool versionFits = _query.version.empty()
								 ? !halted && (version != _query.notVersion || _query.notVersion.empty())
								 : version == _query.version;
	const bool untried = _query.tried == nullptr || _query.tried->count(_idx) == 0;
	return _entry.record.service == _query.service && versionFits && untried &&
		   isAllowed(_query.limit, _entry.record.hall);
}

/// @returns Whether a lapsed upstream may still register again, within a share of the drain bound.
bool mayReregister(const UpstreamTable& _table, const UpstreamEntry& _entry, double _share, TimeUs _now)
{
	const TimeUs grace = std::min(kReregistrationGrace, TimeUs(double(_table.drainBound) * _share));
	return _entry.lapse.cause != RemovalCause::Deregistered && _now - _entry.lapse.since < grace;
}

bool isEjected(const UpstreamEntry& _entry, TimeUs _now)
{
	return _entry.health.ejectedUntil > _now;
}

/// An upstream whose ejection is over gets one repeatable request as a probe, and no other until that ends.
bool mayProbe(const UpstreamEntry& _entry, bool _repeatable)
{
	const bool returning = _entry.health.ejections > 0;
	return !returning || (_repeatable && !_entry.health.probing);
}

double loadOf(const UpstreamEntry& _entry, std::string_view _hall)
{
	const double away = _entry.record.hall == _hall ? 0.0 : kOtherHallLoad;
	return (double(_entry.inFlight) + 1.0) * healthFactor(_entry.health) + away;
}

uint32_t leastLoaded(const UpstreamTable& _table, const std::vector<Candidate>& _candidates,
					 const UpstreamQuery& _query, TimeUs _now, Random& _random)
{
	const std::string model = serviceModelKey(_query);
	uint32_t best = kInvalidIdx;
	std::pair<EndOutlook, double> bestLoad;
	for (const Candidate& candidate : _candidates)
	{
		const double load = loadOf(*candidate.entry, _query.hall) + kLoadJitter * nextUnit(_random);
		const std::pair ranked(outlookAt(_table, _query, candidate, model, 0.0, _now), load);
		if (best == kInvalidIdx || ranked < bestLoad)
		{
			best = candidate.idx;
			bestLoad = ranked;
		}
	}
	return best;
}

void eject(UpstreamHealth& _health, TimeUs _now)
{
	_health.ejectedUntil = _now + (kFirstEjection << std::min(_health.ejections, kMaxEjectionDoublings));
	++_health.ejections;
	_health.consecutiveFailures = 0;
	_health.failureRate = 0.0;
	_health.samples = 0;
}

/// Updates the mean latency of the service and the upstream's ratio to it.
void updateSlowness(UpstreamTable& _table, UpstreamEntry& _entry, const std::string& _kind, TimeUs _latency)
{
	double& mean = _table.latencyOf[_kind];
	mean = mean == 0.0 ? double(_latency) : mean * kServiceDecay + double(_latency) * (1.0 - kServiceDecay);
	const double ratio = double(_latency) / std::max(1.0, mean);
	_entry.health.slowness = _entry.health.slowness * kLatencyDecay + ratio * (1.0 - kLatencyDecay);
}

/// Treats an upstream as cold for as long as after a start.
void markPossiblyRestarted(const UpstreamTable& _table, UpstreamEntry& _entry, ColdCause _cause, TimeUs _now)
{
	const ColdService* service = coldServiceOf(_table, _entry.record.service);
	if (service != nullptr)
	{
		markCold(_entry.cold, _cause, _now + service->warmupTime);
	}
}

/// An upstream that accepts no connection may be restarting. Its new registration may arrive only after its
/// first connection, or not at all while the store is unreachable. It therefore counts as cold until it has
/// been reachable for as long as a start takes.
void updateReachability(const UpstreamTable& _table, UpstreamEntry& _entry, HealthOutcome _outcome,
						TimeUs _now)
{
	const bool returns = _outcome == HealthOutcome::Good && _entry.health.ejections > 0 && _entry.unreachable;
	if (_outcome == HealthOutcome::Unreachable || returns)
	{
		markPossiblyRestarted(_table, _entry, ColdCause::Unreachable, _now);
	}
	_entry.unreachable = _outcome == HealthOutcome::Unreachable || (_entry.unreachable && !returns);
}

/// @returns Whether an upstream accepts a request of this router now, as far as its rate and rest allow.
bool acceptsNow(const UpstreamEntry& _entry, TimeUs _now)
{
	return (!isPaced(_entry, _now) || isDue(_entry.pace, _now)) && mayReceive(_entry.rest, _now);
}

/// @returns When an upstream that accepts no request now accepts one; `kNever` if that is not known.
TimeUs nextRequestAt(const UpstreamEntry& _entry, TimeUs _now)
{
	if (!isResting(_entry.rest, _now) && !mayReceive(_entry.rest, _now))
	{
		return kNever; // It is probed.
	}
	TimeUs at = _entry.rest.until;
	if (isPaced(_entry, _now))
	{
		const TimeUs due = _entry.pace.spacing == 0 ? kNever : _entry.pace.nextAt;
		at = std::max(at, _entry.limit.perSecond ? due : std::min(due, _entry.cold.until));
	}
	return at;
}

/// @returns Whether an upstream could take the request but for its rate or rest.
bool isUsableFor(const UpstreamTable& _table, const UpstreamEntry& _entry, uint32_t _idx,
				 const UpstreamQuery& _query, TimeUs _now)
{
	return matches(_entry, _query, _idx) && isUsable(_table, _entry, _now);
}

/// @returns Why upstreams that could take the request accept none now.
NoUpstream busyReason(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now)
{
	UpstreamQuery all = _query;
	all.tried = nullptr; // One that rejected this request may have asked for rest.
	NoUpstream reason = NoUpstream::None;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (isUsableFor(_table, entry, idx, _query, _now) && entry.limit.perSecond)
		{
			return NoUpstream::Limited;
		}
		if (isUsableFor(_table, entry, idx, all, _now) && isResting(entry.rest, _now))
		{
			reason = NoUpstream::Resting;
		}
		else if (isUsableFor(_table, entry, idx, _query, _now) && isCold(entry.cold, _now))
		{
			reason = reason == NoUpstream::None ? NoUpstream::Cold : reason;
		}
	}
	return reason;
}

bool shouldEject(const UpstreamHealth& _health, HealthOutcome _outcome)
{
	if (_outcome == HealthOutcome::Unreachable)
	{
		return true;
	}
	if (_outcome == HealthOutcome::TimedOut && _health.consecutiveFailures >= kTimeoutsToEject)
	{
		return true;
	}
	const bool failsOften = _health.samples >= kMinEjectSamples && _health.failureRate > kEjectFailureRate;
	return _health.consecutiveFailures >= kFailuresToEject || failsOften;
}
} // namespace

const ColdService* coldServiceOf(const UpstreamTable& _table, const std::string& _service)
{
	const auto found = _table.coldServices.find(_service);
	return found != _table.coldServices.end() && found->second.perSecond > 0.0 ? &found->second : nullptr;
}

std::string serviceModelKey(const UpstreamQuery& _query)
{
	return std::string(_query.service) + " " + std::string(_query.model);
}

double failureFactor(const UpstreamHealth& _health)
{
	return 1.0 + kFailureWeight * _health.failureRate;
}

double healthFactor(const UpstreamHealth& _health)
{
	return std::max(1.0, _health.slowness) * failureFactor(_health);
}

std::vector<Candidate> candidatesFor(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now,
									 bool _busyToo)
{
	std::vector<Candidate> healthy;
	std::vector<Candidate> ejected;
	std::vector<Candidate> lapsed;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (!matches(entry, _query, idx) || isEvacuated(_table.halls, entry.record.hall) ||
			(!_busyToo && !acceptsNow(entry, _now)))
		{
			continue;
		}
		if (!isUsable(_table, entry, _now))
		{
			if (!entry.record.draining && mayReregister(_table, entry, kFallbackGraceShare, _now))
			{
				lapsed.push_back({idx, &entry});
			}
			continue;
		}
		const bool fit = !isEjected(entry, _now) && mayProbe(entry, _query.repeatable);
		(fit ? healthy : ejected).push_back({idx, &entry});
	}
	if (healthy.empty() && ejected.empty())
	{
		return lapsed;
	}
	return healthy.empty() ? ejected : healthy; // If all are ejected, an ejected one is better than none.
}

const char* name(NoUpstream _why)
{
	constexpr const char* kNames[] = {"none",    "evacuated", "cold",   "regions",
									  "limited", "resting",   "no_time"};
	return kNames[size_t(_why)];
}

NoUpstream noUpstreamReason(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now)
{
	bool evacuated = false;
	bool outside = false;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (!entry.registered || entry.record.draining || entry.record.service != _query.service)
		{
			continue;
		}
		if (!isAllowed(_query.limit, entry.record.hall))
		{
			outside = true;
			continue;
		}
		if (!isEvacuated(_table.halls, entry.record.hall))
		{
			return busyReason(_table, _query, _now);
		}
		evacuated = true;
	}
	if (evacuated)
	{
		return NoUpstream::Evacuated;
	}
	return outside ? NoUpstream::Regions : NoUpstream::None;
}

void recordHallReopened(UpstreamTable& _table, const std::string& _hall, TimeUs _now)
{
	for (auto& [idx, entry] : _table.entries)
	{
		if (entry.record.hall == _hall)
		{
			markPossiblyRestarted(_table, entry, ColdCause::HallOpened, _now);
		}
	}
}

bool isCold(const UpstreamTable& _table, UpstreamId _id, TimeUs _now)
{
	const auto found = _table.entries.find(_id.idx);
	return found != _table.entries.end() && isCold(found->second.cold, _now);
}

bool isPaced(const UpstreamEntry& _entry, TimeUs _now)
{
	return _entry.limit.perSecond.has_value() || isCold(_entry.cold, _now);
}

bool isLimited(const UpstreamTable& _table, UpstreamId _id)
{
	const auto found = _table.entries.find(_id.idx);
	return found != _table.entries.end() && found->second.limit.perSecond.has_value();
}

std::optional<TimeUs> nextSendAt(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now)
{
	std::optional<TimeUs> next;
	for (const auto& [idx, entry] : _table.entries)
	{
		// One that accepts requests and was not chosen can't take this one for another reason.
		if (isUsableFor(_table, entry, idx, _query, _now) && !acceptsNow(entry, _now))
		{
			next = std::min(next.value_or(kNever), nextRequestAt(entry, _now));
		}
	}
	return next;
}

bool isUsable(const UpstreamTable& _table, const UpstreamEntry& _entry, TimeUs _now)
{
	if (_entry.record.draining || isEvacuated(_table.halls, _entry.record.hall))
	{
		return false;
	}
	return _entry.registered || mayReregister(_table, _entry, kRegularGraceShare, _now);
}

bool maySendTo(const UpstreamTable& _table, UpstreamId _id, TimeUs _now, bool _asPaced)
{
	const auto found = _table.entries.find(_id.idx);
	if (found == _table.entries.end() || found->second.record.draining ||
		isEvacuated(_table.halls, found->second.record.hall))
	{
		return false;
	}
	if (isPaced(found->second, _now) && !_asPaced)
	{
		return false; // It has become cold or stated a limit since it was chosen.
	}
	if (isResting(found->second.rest, _now))
	{
		return false;
	}
	return found->second.registered || mayReregister(_table, found->second, kFallbackGraceShare, _now);
}

UpstreamId pickDirectUpstream(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now,
							  Random& _random)
{
	const std::vector<Candidate> candidates = candidatesFor(_table, _query, _now);
	if (candidates.empty())
	{
		return UpstreamId{};
	}
	if (_query.shared.empty())
	{
		return UpstreamId{leastLoaded(_table, candidates, _query, _now, _random)};
	}
	return cheapestInTime(_table, candidates, _query, _now, _random);
}

double recordSent(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, TimeUs _now)
{
	UpstreamEntry& entry = _table.entries.at(_id.idx);
	++entry.inFlight;
	if (isPaced(entry, _now))
	{
		recordPacedRequest(entry.pace, _now);
	}
	entry.health.probing = entry.health.ejections > 0 && !isEjected(entry, _now);
	recordRestProbe(entry.rest);
	if (_query.shared.empty())
	{
		return 0.0;
	}
	const double prefillMs = prefillMsAt(_table, _query, _id, _now);
	entry.prefillMs += prefillMs;
	recordHomes(_table, _query, _id, _now);
	return prefillMs;
}

void holdTokens(UpstreamTable& _table, UpstreamId _id, uint32_t _tokens)
{
	const auto found = _table.entries.find(_id.idx);
	if (found != _table.entries.end())
	{
		found->second.heldTokens += _tokens;
	}
}

void releaseTokens(UpstreamTable& _table, UpstreamId _id, uint32_t _tokens)
{
	const auto found = _table.entries.find(_id.idx);
	if (found != _table.entries.end())
	{
		found->second.heldTokens -= std::min(found->second.heldTokens, _tokens);
	}
}

void recordFirstToken(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, double _prefillMs,
					  TimeUs _latency)
{
	const auto found = _table.entries.find(_id.idx);
	if (found == _table.entries.end())
	{
		return;
	}
	UpstreamEntry& entry = found->second;
	entry.prefillMs = std::max(0.0, entry.prefillMs - _prefillMs);
	updateSlowness(_table, entry, serviceModelKey(_query), _latency);
	recordPrefillTime(_table, _query, _prefillMs, _latency);
}

HealthChange recordEnded(UpstreamTable& _table, UpstreamId _id, double _prefillMs, HealthOutcome _outcome,
						 TimeUs _now)
{
	const auto found = _table.entries.find(_id.idx);
	if (found == _table.entries.end())
	{
		return HealthChange::None;
	}
	UpstreamEntry& entry = found->second;
	UpstreamHealth& health = entry.health;
	entry.inFlight -= std::min(entry.inFlight, 1u);
	entry.prefillMs = entry.inFlight == 0 ? 0.0 : std::max(0.0, entry.prefillMs - _prefillMs);
	health.probing = false;
	if (_outcome == HealthOutcome::None)
	{
		return HealthChange::None;
	}
	const bool good = _outcome == HealthOutcome::Good;
	updateReachability(_table, entry, _outcome, _now);
	++health.samples;
	health.failureRate = health.failureRate * kFailureDecay + (good ? 0.0 : 1.0 - kFailureDecay);
	health.consecutiveFailures = good ? 0 : health.consecutiveFailures + 1;
	if (good)
	{
		const bool wasEjected = health.ejections > 0;
		health.ejections = 0;
		health.ejectedUntil = 0;
		return wasEjected ? HealthChange::Returned : HealthChange::None;
	}
	if (_table.policies.ejection && !isEjected(entry, _now) &&
		(health.ejections > 0 || shouldEject(health, _outcome)))
	{
		eject(health, _now);
		return HealthChange::Ejected;
	}
	return HealthChange::None;
}
} // namespace spanplank
