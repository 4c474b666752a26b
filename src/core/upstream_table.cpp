/// Health and choice of upstreams. Registrations are in `upstream_lives.cpp`, the choice by the parts of a
/// prompt in `prompt_choice.cpp`.
#include "spanplank/upstream_table.h"

#include <algorithm>
#include <vector>

#include "prompt_choice_p.h"
#include "upstream_lives_p.h"

namespace spanplank
{
namespace
{
constexpr double kDecay = 0.85;        ///< Weight of the past in a failure rate; about 6 attempts count.
constexpr double kLatencyDecay = 0.9;  ///< Weight of the past in a latency.
constexpr double kServiceDecay = 0.98; ///< Of a service's latency, which many upstreams feed.
/// Above it an upstream is ejected; services fail up to 0.15 by themselves.
constexpr double kEjectRate = 0.4;
constexpr uint32_t kEjectSamples = 5;        ///< Attempts before a rate is believed.
constexpr uint32_t kSilentInRow = 2;         ///< Silent attempts in a row that eject.
constexpr uint32_t kFailedInRow = 4;         ///< Failed attempts in a row that eject.
constexpr TimeUs kEjection = 1000 * kMsToUs; ///< First ejection; each further one doubles it.
constexpr uint32_t kMostDoublings = 3;
constexpr double kFailureWeight = 4.0; ///< Times the share of failed attempts, as a part of the load or wait.
constexpr double kLoadJitter = 0.01;   ///< Requests in flight; between equal upstreams chance decides.
constexpr double kOtherHall = 1.0;     ///< Requests in flight that another hall counts as.

bool matches(const UpstreamEntry& _entry, const UpstreamQuery& _query, uint32_t _idx)
{
	const bool versionFits = _query.version.empty()
								 ? _entry.record.version != _query.notVersion || _query.notVersion.empty()
								 : _entry.record.version == _query.version;
	const bool fresh = _query.tried == nullptr || _query.tried->count(_idx) == 0;
	return _entry.record.service == _query.service && versionFits && fresh &&
		   isAllowed(_query.limit, _entry.record.hall);
}

/// @returns Whether an upstream whose registration lapsed may still return, within a share of the bound.
bool mayReturn(const UpstreamTable& _table, const UpstreamEntry& _entry, double _share, TimeUs _now)
{
	const TimeUs grace = std::min(kReturnGrace, TimeUs(double(_table.leaveBound) * _share));
	return _entry.lapse.cause != RemovalCause::Deregistered && _now - _entry.lapse.since < grace;
}

bool isEjected(const UpstreamEntry& _entry, TimeUs _now)
{
	return _entry.health.ejectedUntil > _now;
}

/// An upstream whose ejection is over gets one request that may be repeated; the others wait for its outcome.
bool mayTry(const UpstreamEntry& _entry, bool _repeatable)
{
	const bool returning = _entry.health.ejections > 0;
	return !returning || (_repeatable && !_entry.health.onTrial);
}

double loadOf(const UpstreamEntry& _entry, std::string_view _hall)
{
	const double away = _entry.record.hall == _hall ? 0.0 : kOtherHall;
	return (double(_entry.inFlight) + 1.0) * healthFactor(_entry.health) + away;
}

uint32_t leastLoaded(const std::vector<Candidate>& _candidates, std::string_view _hall, Random& _random)
{
	uint32_t best = kInvalidIdx;
	double bestLoad = 0.0;
	for (const Candidate& candidate : _candidates)
	{
		const double load = loadOf(*candidate.entry, _hall) + kLoadJitter * nextUnit(_random);
		if (best == kInvalidIdx || load < bestLoad)
		{
			best = candidate.idx;
			bestLoad = load;
		}
	}
	return best;
}

void eject(UpstreamHealth& _health, TimeUs _now)
{
	_health.ejectedUntil = _now + (kEjection << std::min(_health.ejections, kMostDoublings));
	++_health.ejections;
	_health.failuresInRow = 0;
	_health.failureRate = 0.0;
	_health.samples = 0;
}

/// Compares an upstream with its service.
void noteSlowness(UpstreamTable& _table, UpstreamEntry& _entry, const std::string& _kind, TimeUs _latency)
{
	double& mean = _table.latencyOf[_kind];
	mean = mean == 0.0 ? double(_latency) : mean * kServiceDecay + double(_latency) * (1.0 - kServiceDecay);
	const double ratio = double(_latency) / std::max(1.0, mean);
	_entry.health.slowness = _entry.health.slowness * kLatencyDecay + ratio * (1.0 - kLatencyDecay);
}

/// As long as after a start.
void noteMaybeStarted(const UpstreamTable& _table, UpstreamEntry& _entry, ColdCause _cause, TimeUs _now)
{
	const ColdService* service = coldServiceOf(_table, _entry.record.service);
	if (service != nullptr)
	{
		noteCold(_entry.cold, _cause, _now + service->startTime);
	}
}

/// An upstream that takes no connection may be starting again. Its registration tells, but later than it
/// takes the first connection, or not at all while the store is away: it is cold until it has been reachable
/// for as long as a start takes.
void noteReach(const UpstreamTable& _table, UpstreamEntry& _entry, HealthSign _sign, TimeUs _now)
{
	const bool returns = _sign == HealthSign::Good && _entry.health.ejections > 0 && _entry.unreachable;
	if (_sign == HealthSign::Unreachable || returns)
	{
		noteMaybeStarted(_table, _entry, ColdCause::Unreachable, _now);
	}
	_entry.unreachable = _sign == HealthSign::Unreachable || (_entry.unreachable && !returns);
}

bool shouldEject(const UpstreamHealth& _health, HealthSign _sign)
{
	if (_sign == HealthSign::Unreachable)
	{
		return true;
	}
	if (_sign == HealthSign::Silent && _health.failuresInRow >= kSilentInRow)
	{
		return true;
	}
	const bool oftenEnough = _health.samples >= kEjectSamples && _health.failureRate > kEjectRate;
	return _health.failuresInRow >= kFailedInRow || oftenEnough;
}
} // namespace

const ColdService* coldServiceOf(const UpstreamTable& _table, const std::string& _service)
{
	const auto found = _table.coldServices.find(_service);
	return found != _table.coldServices.end() && found->second.perSecond > 0.0 ? &found->second : nullptr;
}

std::string kindOf(const UpstreamQuery& _query)
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

std::vector<Candidate> candidatesFor(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now)
{
	std::vector<Candidate> healthy;
	std::vector<Candidate> ejected;
	std::vector<Candidate> lapsed;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (!matches(entry, _query, idx) || isEvacuated(_table.halls, entry.record.hall) ||
			!mayTake(entry.cold, _now))
		{
			continue;
		}
		if (!isUsable(_table, entry, _now))
		{
			if (!entry.record.leaving && mayReturn(_table, entry, kLastGraceShare, _now))
			{
				lapsed.push_back({idx, &entry});
			}
			continue;
		}
		const bool fit = !isEjected(entry, _now) && mayTry(entry, _query.repeatable);
		(fit ? healthy : ejected).push_back({idx, &entry});
	}
	if (healthy.empty() && ejected.empty())
	{
		return lapsed;
	}
	return healthy.empty() ? ejected : healthy; // With all of them ejected, any is better than none.
}

const char* name(NoUpstream _why)
{
	constexpr const char* kNames[] = {"none", "evacuated", "cold", "regions"};
	return kNames[size_t(_why)];
}

NoUpstream whyNone(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now)
{
	bool evacuated = false;
	bool outside = false;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (!entry.registered || entry.record.leaving || entry.record.service != _query.service)
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
			return nextColdTake(_table, _query, _now) ? NoUpstream::Cold : NoUpstream::None;
		}
		evacuated = true;
	}
	if (evacuated)
	{
		return NoUpstream::Evacuated;
	}
	return outside ? NoUpstream::Regions : NoUpstream::None;
}

void noteHallOpened(UpstreamTable& _table, const std::string& _hall, TimeUs _now)
{
	for (auto& [idx, entry] : _table.entries)
	{
		if (entry.record.hall == _hall)
		{
			noteMaybeStarted(_table, entry, ColdCause::HallOpened, _now);
		}
	}
}

bool isCold(const UpstreamTable& _table, UpstreamId _id, TimeUs _now)
{
	const auto found = _table.entries.find(_id.idx);
	return found != _table.entries.end() && isCold(found->second.cold, _now);
}

std::optional<TimeUs> nextColdTake(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now)
{
	std::optional<TimeUs> next;
	for (const auto& [idx, entry] : _table.entries)
	{
		const bool usable = matches(entry, _query, idx) && isUsable(_table, entry, _now);
		if (usable && isCold(entry.cold, _now))
		{
			next = std::min(next.value_or(INT64_MAX), nextTake(entry.cold));
		}
	}
	return next;
}

bool isUsable(const UpstreamTable& _table, const UpstreamEntry& _entry, TimeUs _now)
{
	if (_entry.record.leaving || isEvacuated(_table.halls, _entry.record.hall))
	{
		return false;
	}
	return _entry.registered || mayReturn(_table, _entry, kGraceShare, _now);
}

bool maySendTo(const UpstreamTable& _table, UpstreamId _id, TimeUs _now, bool _asCold)
{
	const auto found = _table.entries.find(_id.idx);
	if (found == _table.entries.end() || found->second.record.leaving ||
		isEvacuated(_table.halls, found->second.record.hall))
	{
		return false;
	}
	if (isCold(found->second.cold, _now) && !_asCold)
	{
		return false; // It turned cold since it was chosen.
	}
	return found->second.registered || mayReturn(_table, found->second, kLastGraceShare, _now);
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
		return UpstreamId{leastLoaded(candidates, _query.hall, _random)};
	}
	return cheapestInTime(_table, candidates, _query, _now, _random);
}

double noteSent(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, TimeUs _now)
{
	UpstreamEntry& entry = _table.entries.at(_id.idx);
	++entry.inFlight;
	noteTaken(entry.cold, _now);
	entry.health.onTrial = entry.health.ejections > 0 && !isEjected(entry, _now);
	if (_query.shared.empty())
	{
		return 0.0;
	}
	const double prefillMs = prefillMsAt(_table, _query, _id, _now);
	entry.prefillMs += prefillMs;
	noteHomes(_table, _query, _id, _now);
	return prefillMs;
}

void noteHead(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, double _prefillMs,
			  TimeUs _latency)
{
	const auto found = _table.entries.find(_id.idx);
	if (found == _table.entries.end())
	{
		return;
	}
	UpstreamEntry& entry = found->second;
	entry.prefillMs = std::max(0.0, entry.prefillMs - _prefillMs);
	noteSlowness(_table, entry, kindOf(_query), _latency);
	noteReadingPace(_table, _query, _prefillMs, _latency);
}

HealthChange noteEnded(UpstreamTable& _table, UpstreamId _id, double _prefillMs, HealthSign _sign,
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
	health.onTrial = false;
	if (_sign == HealthSign::None)
	{
		return HealthChange::None;
	}
	const bool good = _sign == HealthSign::Good;
	noteReach(_table, entry, _sign, _now);
	++health.samples;
	health.failureRate = health.failureRate * kDecay + (good ? 0.0 : 1.0 - kDecay);
	health.failuresInRow = good ? 0 : health.failuresInRow + 1;
	if (good)
	{
		const bool wasEjected = health.ejections > 0;
		health.ejections = 0;
		health.ejectedUntil = 0;
		return wasEjected ? HealthChange::Returned : HealthChange::None;
	}
	if (_table.policies.ejection && !isEjected(entry, _now) &&
		(health.ejections > 0 || shouldEject(health, _sign)))
	{
		eject(health, _now);
		return HealthChange::Ejected;
	}
	return HealthChange::None;
}
} // namespace spanplank
