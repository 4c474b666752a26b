/// Registrations, health and choice of upstreams, with the measured constants behind them. The choice by the
/// parts of a prompt is in `prompt_choice.cpp`.
#include "spanplank/upstream_table.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

#include "prompt_choice_p.h"

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
constexpr TimeUs kForgetAfter = 30000 * kMsToUs;

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
	return _entry.lapse.cause != LapseCause::Calm && _now - _entry.lapse.since < grace;
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

/// @returns What the upstreams of a service bear while they are cold; none: no bound is known.
const ColdService* coldServiceOf(const UpstreamTable& _table, const std::string& _service)
{
	const auto found = _table.coldServices.find(_service);
	return found != _table.coldServices.end() && found->second.perSecond > 0.0 ? &found->second : nullptr;
}

/// An upstream is taken for cold until a moment, if its service has a bound for that.
void noteCold(const UpstreamTable& _table, UpstreamEntry& _entry, ColdCause _cause, TimeUs _until)
{
	if (coldServiceOf(_table, _entry.record.service) != nullptr)
	{
		noteCold(_entry.cold, _cause, _until);
	}
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

/// What is known of an upstream ends with its life. Its entry stays for what is still in flight there.
void endLife(UpstreamTable& _table, const std::string& _id, TimeUs _now)
{
	const uint32_t idx = _table.idxOfId.at(_id);
	UpstreamEntry& entry = _table.entries.at(idx);
	entry.record.leaving = true;
	entry.goneAt = entry.registered ? _now : entry.goneAt;
	entry.registered = false;
	entry.lapse = {};
	_table.idxOfId.erase(_id);
}

template <typename Map, typename Key>
void eraseIf(Map& _map, const Key& _key, uint32_t _idx)
{
	const auto found = _map.find(_key);
	if (found != _map.end() && found->second == _idx)
	{
		_map.erase(found);
	}
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

UpstreamKey keyOf(std::string_view _id, uint64_t _born)
{
	return UpstreamKey(stableHash(_id, _born));
}

std::string lifeName(const UpstreamRecord& _record)
{
	return _record.born == 0 ? _record.id : fmt::format("{}@{}", _record.id, _record.born);
}

LifeOrder lifeOrder(const UpstreamTable& _table, const UpstreamRecord& _record)
{
	const UpstreamId known = currentLife(_table, _record.id);
	if (!isValid(known))
	{
		return LifeOrder::First;
	}
	const UpstreamRecord& before = _table.entries.at(known.idx).record;
	const uint64_t born = before.born;
	const bool firstTold = born == 0 && !before.leaving; // One that leaves does not begin to tell it.
	if (born == _record.born || firstTold || _record.born == 0)
	{
		return LifeOrder::Same;
	}
	return _record.born > born ? LifeOrder::Newer : LifeOrder::Older;
}

UpstreamId currentLife(const UpstreamTable& _table, const std::string& _id)
{
	const auto known = _table.idxOfId.find(_id);
	return known == _table.idxOfId.end() ? UpstreamId{} : UpstreamId{known->second};
}

UpstreamId registerUpstream(UpstreamTable& _table, const UpstreamRecord& _record, TimeUs _now)
{
	const LifeOrder order = lifeOrder(_table, _record);
	if (order == LifeOrder::Older)
	{
		return currentLife(_table, _record.id);
	}
	if (order == LifeOrder::Newer)
	{
		endLife(_table, _record.id, _now);
	}
	const auto [known, fresh] = _table.idxOfId.try_emplace(_record.id, _table.nextIdx);
	if (fresh)
	{
		++_table.nextIdx;
	}
	UpstreamEntry& entry = _table.entries[known->second];
	// The same record read again, by a list, says nothing new: its upstream may be warm by now.
	const bool isNews = _record.revision == 0 || _record.revision != entry.record.revision;
	const bool leaving =
		entry.record.leaving; // An upstream that leaves does not come back, but by a new start.
	const uint64_t born = _record.born != 0 ? _record.born : entry.record.born;
	entry.record = _record;
	entry.record.born = born;
	entry.key = keyOf(_record.id, born);
	_table.idxOfKey[entry.key] = known->second;
	entry.record.leaving = _record.leaving || leaving;
	entry.registered = true;
	entry.goneAt = 0;
	entry.lapse = {};
	if (isNews && _record.coldMs > 0)
	{
		noteCold(_table, entry, ColdCause::Told, _now + TimeUs(_record.coldMs) * kMsToUs);
	}
	return UpstreamId{known->second};
}

void unregisterUpstream(UpstreamTable& _table, const std::string& _id, TimeUs _now)
{
	const auto known = _table.idxOfId.find(_id);
	if (known == _table.idxOfId.end())
	{
		return;
	}
	UpstreamEntry& entry = _table.entries.at(known->second);
	if (!entry.registered)
	{
		return;
	}
	entry.registered = false;
	entry.goneAt = _now;
	entry.lapse = judgeLapse(_table.contact, _now);
}

std::vector<uint32_t> replaceRegistrations(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records,
										   TimeUs _now)
{
	for (const UpstreamRecord& record : _records)
	{
		registerUpstream(_table, record, _now);
	}
	return unregisterOthers(_table, _records, _now);
}

std::vector<uint32_t> unregisterOthers(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records,
									   TimeUs _now)
{
	std::set<std::string_view> listed;
	for (const UpstreamRecord& record : _records)
	{
		listed.insert(record.id);
	}
	std::vector<uint32_t> gone;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (entry.registered && listed.count(entry.record.id) == 0)
		{
			unregisterUpstream(_table, entry.record.id, _now);
			gone.push_back(idx);
		}
	}
	return gone;
}

void forgetGone(UpstreamTable& _table, TimeUs _now)
{
	forgetHomes(_table, _now);
	for (auto at = _table.entries.begin(); at != _table.entries.end();)
	{
		const UpstreamEntry& entry = at->second;
		const bool gone = !entry.registered && entry.inFlight == 0 && _now - entry.goneAt > kForgetAfter;
		if (gone)
		{
			eraseIf(_table.idxOfId, entry.record.id, at->first); // Another life may have the id by now.
			eraseIf(_table.idxOfKey, entry.key, at->first);
		}
		at = gone ? _table.entries.erase(at) : std::next(at);
	}
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
