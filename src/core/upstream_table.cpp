/// Registrations, health and choice of upstreams, with the measured constants behind them.
#include "spanplank/upstream_table.h"

#include <algorithm>
#include <array>
#include <vector>

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
constexpr double kJitterMs = 0.1;      ///< As above, for upstreams chosen by their time to the first token.
constexpr double kOtherHall = 1.0;     ///< Requests in flight that another hall counts as.
/// Waiting that another hall counts as: the way there, and its bytes are priced.
constexpr double kOtherHallMs = 20.0;
/// Other routers send to the same homes: while they don't tell what, own waiting work stands for more.
constexpr double kPeerLoad = 2.0;
/// What each running stream adds to the steps of the others until a first token: all streams, or this
/// router's alone where the others' are not known.
constexpr double kStreamMs = 0.3;
constexpr double kDecodeMs = 1.5;
/// A prompt's reading also delays those that come after it: it counts this many times in the choice.
constexpr double kReadingWeight = 4.0;
constexpr double kFirstTokenMs = 0.02;  ///< Reading time of a prompt token before any was measured.
constexpr uint32_t kLeastTokens = 1000; ///< Shorter prompts say little of the time for a token.
/// The time for a token follows the quicker answers: those that waited for others say little of it.
constexpr double kTokenRise = 0.05;
constexpr double kTokenFall = 0.15;
/// Parts of the shared tokens that the first upstreams of the hash order likely keep, though this router has
/// not sent them there lately: all routers prefer the first, and go to the second when that is loaded.
constexpr size_t kPresumedHomes = 3;
constexpr std::array<double, kPresumedHomes> kPresumedParts = {0.95, 0.8, 0.5};
constexpr TimeUs kHomeLifetime = 15000 * kMsToUs; ///< After this pause a part has likely given way to others.
constexpr size_t kMostHomes = 32;    ///< Of one part; the first parts of prompts are kept nearly everywhere.
constexpr size_t kMostParts = 20000; ///< Remembered; about 100 bytes each.
constexpr TimeUs kForgetAfter = 30000 * kMsToUs;

struct Candidate
{
	uint32_t idx = kInvalidIdx;
	const UpstreamEntry* entry = nullptr;
};

bool matches(const UpstreamEntry& _entry, const UpstreamQuery& _query, uint32_t _idx)
{
	const bool versionFits = _query.version.empty()
								 ? _entry.record.version != _query.notVersion || _query.notVersion.empty()
								 : _entry.record.version == _query.version;
	const bool fresh = _query.tried == nullptr || _query.tried->count(_idx) == 0;
	return _entry.record.service == _query.service && versionFits && fresh;
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
	return (double(_entry.inFlight) + 1.0) * std::max(1.0, _entry.health.slowness) *
			   (1.0 + kFailureWeight * _entry.health.failureRate) +
		   away;
}

std::vector<Candidate> candidatesFor(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now)
{
	std::vector<Candidate> healthy;
	std::vector<Candidate> ejected;
	std::vector<Candidate> lapsed;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (!matches(entry, _query, idx))
		{
			continue;
		}
		if (!isUsable(_table, entry, _now))
		{
			const bool mayLive =
				!entry.record.leaving && entry.mayReturn && _now - entry.goneAt < kReturnGrace;
			if (mayLive)
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

uint64_t hashRank(const UpstreamEntry& _entry, uint64_t _affinity)
{
	return stableHash(_entry.record.id, _affinity);
}

/// The first upstreams in the order of a prompt's shared parts: routers agree on it without a word.
using HomeOrder = std::array<uint32_t, kPresumedHomes>;

HomeOrder homeOrder(const std::vector<Candidate>& _candidates, const UpstreamQuery& _query)
{
	HomeOrder order;
	order.fill(kInvalidIdx);
	if (_query.shared.empty())
	{
		return order;
	}
	std::array<uint64_t, kPresumedHomes> ranks = {};
	for (const Candidate& candidate : _candidates)
	{
		uint32_t idx = candidate.idx;
		uint64_t rank = hashRank(*candidate.entry, _query.shared.back().hash);
		for (size_t place = 0; place < kPresumedHomes; ++place)
		{
			if (order[place] == kInvalidIdx || rank > ranks[place])
			{
				std::swap(order[place], idx);
				std::swap(ranks[place], rank);
			}
		}
	}
	return order;
}

/// @returns The part of shared tokens that an upstream is presumed to keep, by its place in the order.
double presumedPart(const HomeOrder& _order, uint32_t _upstream)
{
	for (size_t place = 0; place < kPresumedHomes; ++place)
	{
		if (_order[place] == _upstream)
		{
			return kPresumedParts[place];
		}
	}
	return 0.0;
}

/// Key of what is measured by service and model.
std::string kindOf(const UpstreamQuery& _query)
{
	return std::string(_query.service) + " " + std::string(_query.model);
}

/// @returns Reading time of a prompt token in milliseconds.
double tokenMs(const UpstreamTable& _table, const UpstreamQuery& _query)
{
	const auto found = _table.paceOf.find(kindOf(_query));
	return found == _table.paceOf.end() ? kFirstTokenMs : found->second.tokenMs;
}

/// The first samples count as a mean would count them, so that a router that has just started soon knows.
void notePace(ReadingPace& _pace, double _sample)
{
	const double early = 1.0 / double(++_pace.samples);
	const double step = _sample > _pace.tokenMs ? kTokenRise : kTokenFall;
	_pace.tokenMs += (_sample - _pace.tokenMs) * std::max(step, early);
}

bool wasReadAt(const UpstreamTable& _table, uint64_t _affinity, uint32_t _upstream, TimeUs _now)
{
	const auto found = _table.homes.find(_affinity);
	if (found == _table.homes.end())
	{
		return false;
	}
	return std::any_of(found->second.begin(), found->second.end(), [&](const PromptHome& _home) {
		return _home.upstream == _upstream && _now - _home.at < kHomeLifetime;
	});
}

/// @returns Tokens of the prompt that an upstream likely keeps. @param[in] _presumed Part of the shared
/// tokens of which this router does not know better.
double keptTokens(const UpstreamTable& _table, const UpstreamQuery& _query, uint32_t _upstream,
				  double _presumed, TimeUs _now)
{
	double kept = 0.0;
	bool seen = true; // An engine keeps a part only together with all parts before it.
	for (const SharedPart& part : _query.shared)
	{
		seen = seen && wasReadAt(_table, part.hash, _upstream, _now);
		kept += seen ? part.tokens : _presumed * part.tokens;
	}
	return kept;
}

double promptTokens(const UpstreamQuery& _query)
{
	double tokens = _query.ownTokens;
	for (const SharedPart& part : _query.shared)
	{
		tokens += part.tokens;
	}
	return tokens;
}

double waitMs(const UpstreamTable& _table, const UpstreamEntry& _entry)
{
	if (!_table.hearsOthers)
	{
		return kPeerLoad * _entry.prefillMs + kDecodeMs * _entry.inFlight;
	}
	const double streams = double(_entry.inFlight) + double(_entry.others.inFlight);
	return _entry.prefillMs + _entry.others.prefillMs + kStreamMs * streams;
}

/// What a request costs at an upstream.
struct PromptCost
{
	double headMs = 0.0; ///< Expected time to the first token.
	double cost = 0.0;   ///< With what its reading costs those that come after it.
	bool timely = true;
};

bool isCheaper(const PromptCost& _one, const PromptCost& _other)
{
	if (_one.timely != _other.timely)
	{
		return _one.timely;
	}
	return _one.timely ? _one.cost < _other.cost : _one.headMs < _other.headMs;
}

/// The cheapest upstream of those that are expected to be in time; without one, the soonest.
uint32_t cheapestInTime(const UpstreamTable& _table, const std::vector<Candidate>& _candidates,
						const UpstreamQuery& _query, TimeUs _now, Random& _random)
{
	const HomeOrder order = homeOrder(_candidates, _query);
	const double perToken = tokenMs(_table, _query);
	const double tokens = promptTokens(_query);
	uint32_t best = kInvalidIdx;
	PromptCost bestCost;
	for (const Candidate& candidate : _candidates)
	{
		const UpstreamEntry& entry = *candidate.entry;
		const double presumed = presumedPart(order, candidate.idx);
		const double kept = keptTokens(_table, _query, candidate.idx, presumed, _now);
		const double hall = entry.record.hall == _query.hall ? 0.0 : kOtherHallMs;
		const double health =
			std::max(1.0, entry.health.slowness) * (1.0 + kFailureWeight * entry.health.failureRate);
		const double readMs = perToken * (tokens - kept);
		const double jitter = kJitterMs * nextUnit(_random);
		PromptCost cost;
		cost.headMs = (readMs + waitMs(_table, entry)) * health + hall + jitter;
		cost.cost = (kReadingWeight * readMs + waitMs(_table, entry)) * health + hall + jitter;
		cost.timely = _query.withinMs == 0.0 || cost.headMs < _query.withinMs;
		if (best == kInvalidIdx || isCheaper(cost, bestCost))
		{
			best = candidate.idx;
			bestCost = cost;
		}
	}
	return best;
}

/// Remembers that a shared part of a prompt is read at an upstream now.
void noteHome(UpstreamTable& _table, uint64_t _part, uint32_t _upstream, TimeUs _now)
{
	if (_table.homes.size() >= kMostParts && _table.homes.count(_part) == 0)
	{
		return;
	}
	std::vector<PromptHome>& homes = _table.homes[_part];
	homes.erase(std::remove_if(homes.begin(), homes.end(),
							   [_upstream](const PromptHome& _home) { return _home.upstream == _upstream; }),
				homes.end());
	homes.insert(homes.begin(), {_upstream, _now});
	homes.resize(std::min(homes.size(), kMostHomes));
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

UpstreamId registerUpstream(UpstreamTable& _table, const UpstreamRecord& _record)
{
	const auto [known, fresh] = _table.idxOfId.try_emplace(_record.id, _table.nextIdx);
	if (fresh)
	{
		++_table.nextIdx;
	}
	UpstreamEntry& entry = _table.entries[known->second];
	const bool leaving = entry.record.leaving; // An upstream that leaves does not come back under its id.
	entry.record = _record;
	entry.record.leaving = _record.leaving || leaving;
	entry.registered = true;
	entry.goneAt = 0;
	entry.mayReturn = false;
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
	entry.mayReturn = _now < _table.storeTroubleUntil;
}

void noteStoreTrouble(UpstreamTable& _table, TimeUs _now)
{
	_table.storeTroubleUntil = std::max(_table.storeTroubleUntil, _now + kTroubleTail);
}

void replaceRegistrations(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records, TimeUs _now)
{
	std::set<std::string_view> listed;
	for (const UpstreamRecord& record : _records)
	{
		listed.insert(record.id);
		registerUpstream(_table, record);
	}
	for (const auto& [idx, entry] : _table.entries)
	{
		if (entry.registered && listed.count(entry.record.id) == 0)
		{
			unregisterUpstream(_table, entry.record.id, _now);
		}
	}
}

void forgetGone(UpstreamTable& _table, TimeUs _now)
{
	for (auto at = _table.homes.begin(); at != _table.homes.end();)
	{
		const bool old = at->second.empty() || _now - at->second.front().at > kHomeLifetime;
		at = old ? _table.homes.erase(at) : std::next(at);
	}
	for (auto at = _table.entries.begin(); at != _table.entries.end();)
	{
		const UpstreamEntry& entry = at->second;
		const bool gone = !entry.registered && entry.inFlight == 0 && _now - entry.goneAt > kForgetAfter;
		if (gone)
		{
			_table.idxOfId.erase(entry.record.id);
		}
		at = gone ? _table.entries.erase(at) : std::next(at);
	}
}

bool isUsable(const UpstreamTable& _table, const UpstreamEntry& _entry, TimeUs _now)
{
	if (_entry.record.leaving)
	{
		return false;
	}
	const TimeUs grace = std::min(kReturnGrace, TimeUs(double(_table.leaveBound) * kGraceShare));
	return _entry.registered || (_entry.mayReturn && _now - _entry.goneAt < grace);
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
	return UpstreamId{cheapestInTime(_table, candidates, _query, _now, _random)};
}

double prefillMsAt(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
				   TimeUs _now)
{
	const HomeOrder order = homeOrder(candidatesFor(_table, _query, _now), _query);
	const double presumed = presumedPart(order, _upstream.idx);
	return tokenMs(_table, _query) *
		   (promptTokens(_query) - keptTokens(_table, _query, _upstream.idx, presumed, _now));
}

double expectedHeadMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
					  TimeUs _now)
{
	const auto found = _table.entries.find(_upstream.idx);
	if (found == _table.entries.end() || _query.shared.empty())
	{
		return 0.0;
	}
	return prefillMsAt(_table, _query, _upstream, _now) + waitMs(_table, found->second);
}

double expectedWaitMs(const UpstreamTable& _table, UpstreamId _upstream)
{
	const auto found = _table.entries.find(_upstream.idx);
	return found == _table.entries.end() ? 0.0 : waitMs(_table, found->second);
}

double noteSent(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, TimeUs _now)
{
	UpstreamEntry& entry = _table.entries.at(_id.idx);
	++entry.inFlight;
	entry.health.onTrial = entry.health.ejections > 0 && !isEjected(entry, _now);
	if (_query.shared.empty())
	{
		return 0.0;
	}
	const double prefillMs = prefillMsAt(_table, _query, _id, _now);
	entry.prefillMs += prefillMs;
	for (const SharedPart& part : _query.shared)
	{
		noteHome(_table, part.hash, _id.idx, _now);
	}
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
	const std::string kind = kindOf(_query);
	noteSlowness(_table, entry, kind, _latency);
	const double perToken = tokenMs(_table, _query);
	const double tokens = perToken > 0.0 ? _prefillMs / perToken : 0.0;
	if (tokens >= kLeastTokens)
	{
		notePace(_table.paceOf[kind], double(_latency) / double(kMsToUs) / tokens);
	}
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
	if (!isEjected(entry, _now) && (health.ejections > 0 || shouldEject(health, _sign)))
	{
		eject(health, _now);
		return HealthChange::Ejected;
	}
	return HealthChange::None;
}
} // namespace spanplank
