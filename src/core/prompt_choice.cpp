/// Choice of an upstream by the parts of a prompt, and the constants of its cost model.
#include "prompt_choice_p.h"

#include <algorithm>
#include <array>

#include "spanplank/service_load.h"

namespace spanplank
{
namespace
{
constexpr double kJitterMs = 0.1; ///< Randomizes the choice between equal upstreams.
/// Cost of sending a prompt to another hall, as waiting time, since traffic between halls is priced. It
/// equals about one prefill of an average shared part by the smallest model.
constexpr double kOtherHallMs = 500.0;
/// Other routers send to the same homes. Without their reports this router's own queued work is multiplied by
/// this factor to account for theirs.
constexpr double kPeerLoadFactor = 2.0;
/// Time that each running stream of any router adds to a time to first token.
constexpr double kStreamMs = 0.3;
/// The same for each stream of this router if the streams of the others are unknown.
constexpr double kDecodeMs = 1.5;
/// Weight of a prompt's prefill time in its cost, since it also delays the prompts behind it.
constexpr double kPrefillWeight = 8.0;
constexpr double kMinPrefillMs = 0.1;       ///< Per prompt; keeps the time per token above 0.
constexpr double kInitialMsPerToken = 0.02; ///< Prefill time per token before the first sample.
constexpr uint32_t kMinSampleTokens = 1000; ///< Shorter prompts give inaccurate estimates.
/// Weight of a sample above or below the estimate. The estimate follows the fastest answers, since all others
/// include time in the queue. With 0.05 and 0.15, and without `kFixedFirstTokenMs`, the estimate for the
/// smallest model is 0.04 ms under low and 0.15 ms under high load, while an idle engine takes 0.005 ms.
/// Prompts then queue for an engine that has their parts cached for longer than another prefill takes, to
/// avoid waits that do not exist.
constexpr double kMsPerTokenRise = 0.01;
constexpr double kMsPerTokenFall = 0.3;
/// Part of a time to first token that does not depend on the prompt: network and decoding steps.
constexpr double kFixedFirstTokenMs = 20.0;
/// Times per output token up to this multiple of the fastest candidate's count as equal to it. Means of a few
/// streams of alike engines differ by some 10 %, which for a long answer would outweigh cached parts.
constexpr double kAlikeTokenTimes = 1.25;
/// Weight of the answer's time in the cost. It delays only its own caller, whose objectives are the first
/// token and the pauses; whether it ends before the deadline is judged apart. With a weight of 1 all routers
/// sent long answers to the same few fast engines, which then were no longer fast.
constexpr double kDecodeWeight = 0.1;
/// Shares of a prompt's shared tokens that the first upstreams of the hash order are presumed to have cached,
/// even if this router has not sent them there lately. All routers prefer the first and use the next ones
/// when it is loaded.
constexpr size_t kPresumedHomes = 3;
constexpr std::array<double, kPresumedHomes> kPresumedShares = {0.95, 0.8, 0.5};
constexpr TimeUs kHomeLifetime = 15000 * kMsToUs; ///< An unused part is likely evicted after this time.
/// A home is sent to the other routers again only after this time; they keep it for `kHomeLifetime`.
constexpr TimeUs kResendAfter = 3000 * kMsToUs;
constexpr size_t kMaxHomesPerPart = 32; ///< The first parts of prompts are cached on nearly all upstreams.
constexpr size_t kMaxParts = 20000;     ///< About 100 bytes each.

uint64_t hashRank(const UpstreamEntry& _entry, uint64_t _part)
{
	return stableHash(_entry.record.id, _part);
}

/// The first upstreams in the hash order of a prompt's shared parts, which is the same on all routers.
using HomeOrder = std::array<uint32_t, kPresumedHomes>;

HomeOrder homeOrder(const UpstreamTable& _table, const std::vector<Candidate>& _candidates,
					const UpstreamQuery& _query)
{
	HomeOrder order;
	order.fill(kInvalidIdx);
	if (_query.shared.empty() || !_table.policies.homeOrder)
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

/// @returns The share of shared tokens that an upstream is presumed to have cached, by its place in the
/// order.
double presumedShare(const HomeOrder& _order, uint32_t _upstream)
{
	for (size_t place = 0; place < kPresumedHomes; ++place)
	{
		if (_order[place] == _upstream)
		{
			return kPresumedShares[place];
		}
	}
	return 0.0;
}

/// @returns Prefill time of one prompt token in milliseconds.
double msPerToken(const UpstreamTable& _table, const UpstreamQuery& _query)
{
	const auto found = _table.prefillEstimates.find(serviceModelKey(_query));
	return found == _table.prefillEstimates.end() ? kInitialMsPerToken : found->second.msPerToken;
}

/// Averages the first samples with equal weights, so that the estimate of a new router converges quickly.
void updateEstimate(PrefillEstimate& _estimate, double _sample)
{
	const double early = 1.0 / double(++_estimate.samples);
	const double step = _sample > _estimate.msPerToken ? kMsPerTokenRise : kMsPerTokenFall;
	_estimate.msPerToken += (_sample - _estimate.msPerToken) * std::max(step, early);
}

bool wasReadAt(const UpstreamTable& _table, uint64_t _part, uint32_t _upstream, TimeUs _now)
{
	const auto found = _table.homes.find(_part);
	if (found == _table.homes.end())
	{
		return false;
	}
	return std::any_of(found->second.begin(), found->second.end(), [&](const PromptHome& _home) {
		return _home.upstream == _upstream && _now - _home.at < kHomeLifetime;
	});
}

bool wasReadLately(const UpstreamTable& _table, uint64_t _part, TimeUs _now)
{
	const auto found = _table.homes.find(_part);
	return found != _table.homes.end() && !found->second.empty() &&
		   _now - found->second.front().at < kHomeLifetime;
}

/// @returns Tokens of the prompt that an upstream has likely cached.
/// @param[in] _presumed Cached share of parts whose homes are not recorded on this router.
double cachedTokens(const UpstreamTable& _table, const UpstreamQuery& _query, uint32_t _upstream,
					double _presumed, TimeUs _now)
{
	double cached = 0.0;
	bool prefixCached = true; // An engine caches a part only together with all parts before it.
	for (const SharedPart& part : _query.shared)
	{
		prefixCached = prefixCached && wasReadAt(_table, part.hash, _upstream, _now);
		const bool receives = _table.receivesPeerUpdates && _table.policies.homeSharing;
		const bool known = receives && wasReadLately(_table, part.hash, _now);
		const double presumed = known ? 0.0 : _presumed;
		cached += prefixCached ? part.tokens : presumed * part.tokens;
	}
	return cached;
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
	if (!_table.receivesPeerUpdates)
	{
		return kPeerLoadFactor * _entry.prefillMs + kDecodeMs * _entry.inFlight;
	}
	const double streams = double(_entry.inFlight) + double(_entry.others.inFlight);
	return _entry.prefillMs + _entry.others.prefillMs + kStreamMs * streams;
}

/// @returns The mean speeds of the upstreams of a query's service, if it uses speeds.
SpeedPrior priorOf(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now)
{
	if (!_query.bySpeed)
	{
		return {};
	}
	std::vector<UpstreamKey> upstreams;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (entry.record.service == _query.service)
		{
			upstreams.push_back(entry.key);
		}
	}
	return speedPrior(_table.speeds, upstreams, _now);
}

/// @returns Factor of an upstream's measured speed on times to first token; 1 if the query does not use it.
double speedFactor(const UpstreamTable& _table, const UpstreamQuery& _query, const UpstreamEntry& _entry,
				   TimeUs _now, const SpeedPrior& _prior)
{
	return _query.bySpeed ? firstTokenFactor(_table.speeds, _entry.key, _now, _prior) : 1.0;
}

/// @returns The same for the choice: 1 unless the upstream is slow. Differences between sound engines follow
/// their load, which all routers see; if they also changed the choice, all routers would move to the same
/// upstreams at once.
double slowFactor(double _speed)
{
	return _speed < kSlowFactor ? 1.0 : _speed;
}

/// @returns Expected wait for a slot of an engine, in milliseconds: with as many running requests as slots,
/// one ends each `slots`-th part of an answer's time.
double slotWaitMs(const UpstreamTable& _table, const UpstreamQuery& _query, const UpstreamEntry& _entry,
				  TimeUs _now)
{
	const double slots = _query.slots;
	const double ahead = double(_entry.inFlight) + double(_entry.others.inFlight) + 1.0 - slots;
	if (!_query.bySpeed || slots == 0.0 || ahead <= 0.0)
	{
		return 0.0;
	}
	const double tokenMs = tokenMsAt(_table.speeds, _entry.key, serviceModelKey(_query), _now);
	return ahead / slots * _query.answerTokens * tokenMs;
}

/// @returns Time to first token at the measured speed. @param[in] _ms Prefill and waiting time at mean speed.
double atMeasuredSpeed(const UpstreamTable& _table, const UpstreamQuery& _query, const UpstreamEntry& _entry,
					   double _ms, TimeUs _now, const SpeedPrior& _prior)
{
	const double fixedMs = _query.bySpeed ? kFixedFirstTokenMs : 0.0;
	return (_ms + fixedMs) * speedFactor(_table, _query, _entry, _now, _prior);
}

/// Time of the answer's tokens at each candidate beyond that at the fastest one.
class DecodeCost
{
public:
	DecodeCost(const UpstreamTable& _table, const std::vector<Candidate>& _candidates,
			   const UpstreamQuery& _query, TimeUs _now, const SpeedPrior& _prior)
		: m_table(_table), m_prior(_prior), m_now(_now)
	{
		if (!_query.bySpeed || _query.answerTokens <= 0.0)
		{
			return;
		}
		double fastest = 0.0;
		for (const Candidate& candidate : _candidates)
		{
			const double factor = tokenFactor(_table.speeds, candidate.entry->key, _now, _prior);
			fastest = fastest == 0.0 ? factor : std::min(fastest, factor);
		}
		m_free = fastest * kAlikeTokenTimes;
		m_meanMs = _query.answerTokens * meanTokenMs(_table.speeds, serviceModelKey(_query));
	}

	double at(const UpstreamEntry& _entry) const
	{
		if (m_meanMs == 0.0)
		{
			return 0.0;
		}
		return kDecodeWeight * m_meanMs *
			   std::max(0.0, tokenFactor(m_table.speeds, _entry.key, m_now, m_prior) - m_free);
	}

private:
	const UpstreamTable& m_table;
	SpeedPrior m_prior;
	TimeUs m_now;
	double m_free = 0.0;   ///< Factor up to which no time is added.
	double m_meanMs = 0.0; ///< Time of all tokens at mean speed; 0: unknown.
};

/// Cost of a prompt at an upstream.
struct PromptCost
{
	EndOutlook end = EndOutlook::InTime;
	double firstTokenMs = 0.0; ///< Expected time to the first token.
	double cost = 0.0;         ///< Includes the delay of the prompts behind it.
	bool timely = true;
};

bool isCheaper(const PromptCost& _one, const PromptCost& _other)
{
	if (_one.end != _other.end)
	{
		return _one.end < _other.end;
	}
	if (_one.timely != _other.timely)
	{
		return _one.timely;
	}
	return _one.timely ? _one.cost < _other.cost : _one.firstTokenMs < _other.firstTokenMs;
}

/// @returns Whether a home should be sent to the other routers.
/// @param[in] _before When this router last recorded that home; 0 if never.
bool isDueForPeers(TimeUs _before, TimeUs _now)
{
	return _before == 0 || _now - _before > kResendAfter;
}

/// Records that an upstream processes a shared part of a prompt now.
/// @returns When this router recorded that home before; 0 if never.
TimeUs recordHome(UpstreamTable& _table, uint64_t _part, uint32_t _upstream, TimeUs _now)
{
	if (_table.homes.size() >= kMaxParts && _table.homes.count(_part) == 0)
	{
		return 0;
	}
	std::vector<PromptHome>& homes = _table.homes[_part];
	const auto known = std::find_if(homes.begin(), homes.end(), [_upstream](const PromptHome& _home) {
		return _home.upstream == _upstream;
	});
	const TimeUs before = known == homes.end() ? 0 : known->at;
	if (known != homes.end())
	{
		homes.erase(known);
	}
	homes.insert(homes.begin(), {_upstream, _now});
	homes.resize(std::min(homes.size(), kMaxHomesPerPart));
	return before;
}
} // namespace

EndOutlook outlookAt(const UpstreamTable& _table, const UpstreamQuery& _query, const Candidate& _candidate,
					 std::string_view _model, double _firstTokenMs, TimeUs _now)
{
	if (_query.leftMs <= 0.0 || _query.answerTokens <= 0.0)
	{
		return EndOutlook::InTime;
	}
	const double tokenMs = tokenMsAt(_table.speeds, _candidate.entry->key, _model, _now);
	return endOutlook({_firstTokenMs, _query.answerTokens, tokenMs}, _query.leftMs);
}

UpstreamId cheapestInTime(const UpstreamTable& _table, const std::vector<Candidate>& _candidates,
						  const UpstreamQuery& _query, TimeUs _now, Random& _random)
{
	const std::string model = serviceModelKey(_query);
	const HomeOrder order = homeOrder(_table, _candidates, _query);
	const double perToken = msPerToken(_table, _query);
	const double tokens = promptTokens(_query);
	const double otherHallMs = kOtherHallMs * hallPriceShare(_query.hallLoad);
	const SpeedPrior prior = priorOf(_table, _query, _now);
	const DecodeCost decode(_table, _candidates, _query, _now, prior);
	uint32_t best = kInvalidIdx;
	PromptCost bestCost;
	for (const Candidate& candidate : _candidates)
	{
		const UpstreamEntry& entry = *candidate.entry;
		const double presumed = presumedShare(order, candidate.idx);
		const double cached = cachedTokens(_table, _query, candidate.idx, presumed, _now);
		const bool near = entry.record.hall == _query.hall || !_table.policies.hallPreference;
		const double hall = near ? 0.0 : otherHallMs;
		const double health = failureFactor(entry.health);
		const double speed = slowFactor(speedFactor(_table, _query, entry, _now, prior));
		const double prefillMs = perToken * (tokens - cached);
		const double wait = waitMs(_table, entry) + slotWaitMs(_table, _query, entry, _now);
		const double jitter = kJitterMs * nextUnit(_random);
		PromptCost cost;
		cost.firstTokenMs = (prefillMs + wait) * speed * health + jitter;
		cost.cost = (kPrefillWeight * prefillMs + wait) * speed * health + decode.at(entry) + hall + jitter;
		cost.timely = _query.firstTokenTargetMs == 0.0 || cost.firstTokenMs < _query.firstTokenTargetMs;
		cost.end = outlookAt(_table, _query, candidate, model, cost.firstTokenMs, _now);
		if (best == kInvalidIdx || isCheaper(cost, bestCost))
		{
			best = candidate.idx;
			bestCost = cost;
		}
	}
	return UpstreamId{best};
}

std::vector<double> expectedFirstTokens(const UpstreamTable& _table, const UpstreamQuery& _query,
										const std::vector<Candidate>& _candidates, TimeUs _now)
{
	std::vector<double> times(_candidates.size(), 0.0);
	if (_query.shared.empty())
	{
		return times;
	}
	const HomeOrder order = homeOrder(_table, _candidates, _query);
	const SpeedPrior prior = priorOf(_table, _query, _now);
	const double perToken = msPerToken(_table, _query);
	const double tokens = promptTokens(_query);
	for (size_t ii = 0; ii < _candidates.size(); ++ii)
	{
		const UpstreamEntry& entry = *_candidates[ii].entry;
		const double presumed = presumedShare(order, _candidates[ii].idx);
		const double cached = cachedTokens(_table, _query, _candidates[ii].idx, presumed, _now);
		const double ms =
			perToken * (tokens - cached) + waitMs(_table, entry) + slotWaitMs(_table, _query, entry, _now);
		times[ii] = atMeasuredSpeed(_table, _query, entry, ms, _now, prior);
	}
	return times;
}

void recordHomes(UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream, TimeUs _now)
{
	const UpstreamKey key = _table.entries.at(_upstream.idx).key;
	for (const SharedPart& part : _query.shared)
	{
		const TimeUs before = recordHome(_table, part.hash, _upstream.idx, _now);
		const bool sendsHomes = _table.receivesPeerUpdates && _table.policies.homeSharing;
		if (sendsHomes && !_query.limit.limited && isDueForPeers(before, _now) &&
			_table.newHomes.size() < kMaxNewHomes)
		{
			_table.newHomes.push_back({part.hash, key});
		}
	}
}

bool recordPeerHome(UpstreamTable& _table, const NewHome& _home, TimeUs _now)
{
	const auto found = _table.idxOfKey.find(_home.upstream);
	if (found == _table.idxOfKey.end())
	{
		return false;
	}
	return isDueForPeers(recordHome(_table, _home.part, found->second, _now), _now);
}

void expireHomes(UpstreamTable& _table, TimeUs _now)
{
	for (auto at = _table.homes.begin(); at != _table.homes.end();)
	{
		const bool old = at->second.empty() || _now - at->second.front().at > kHomeLifetime;
		at = old ? _table.homes.erase(at) : std::next(at);
	}
}

void recordPrefillTime(UpstreamTable& _table, const UpstreamQuery& _query, double _prefillMs, TimeUs _latency)
{
	const double perToken = msPerToken(_table, _query);
	const double tokens = perToken > 0.0 ? _prefillMs / perToken : 0.0;
	if (tokens >= kMinSampleTokens)
	{
		const double prefillMs = double(_latency) / double(kMsToUs) - kFixedFirstTokenMs;
		updateEstimate(_table.prefillEstimates[serviceModelKey(_query)],
					   std::max(kMinPrefillMs, prefillMs) / tokens);
	}
}

double prefillMsAt(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
				   TimeUs _now)
{
	const HomeOrder order = homeOrder(_table, candidatesFor(_table, _query, _now), _query);
	const double presumed = presumedShare(order, _upstream.idx);
	return msPerToken(_table, _query) *
		   (promptTokens(_query) - cachedTokens(_table, _query, _upstream.idx, presumed, _now));
}

double meanFirstTokenMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
						TimeUs _now)
{
	const auto found = _table.entries.find(_upstream.idx);
	if (found == _table.entries.end() || _query.shared.empty())
	{
		return 0.0;
	}
	return prefillMsAt(_table, _query, _upstream, _now) + waitMs(_table, found->second) +
		   slotWaitMs(_table, _query, found->second, _now) + kFixedFirstTokenMs;
}

double expectedFirstTokenMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
							TimeUs _now)
{
	const auto found = _table.entries.find(_upstream.idx);
	if (found == _table.entries.end() || _query.shared.empty())
	{
		return 0.0;
	}
	const double ms = prefillMsAt(_table, _query, _upstream, _now) + waitMs(_table, found->second) +
					  slotWaitMs(_table, _query, found->second, _now);
	return atMeasuredSpeed(_table, _query, found->second, ms, _now, priorOf(_table, _query, _now));
}

double uncachedFirstTokenMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
							TimeUs _now)
{
	const auto found = _table.entries.find(_upstream.idx);
	if (found == _table.entries.end() || _query.shared.empty())
	{
		return 0.0;
	}
	const double ms = msPerToken(_table, _query) * promptTokens(_query) + waitMs(_table, found->second) +
					  slotWaitMs(_table, _query, found->second, _now);
	return atMeasuredSpeed(_table, _query, found->second, ms, _now, priorOf(_table, _query, _now));
}

double expectedWaitMs(const UpstreamTable& _table, UpstreamId _upstream)
{
	const auto found = _table.entries.find(_upstream.idx);
	return found == _table.entries.end() ? 0.0 : waitMs(_table, found->second);
}

double expectedWaitMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
					  TimeUs _now)
{
	const auto found = _table.entries.find(_upstream.idx);
	if (found == _table.entries.end() || !_query.bySpeed)
	{
		return expectedWaitMs(_table, _upstream);
	}
	const double ms = waitMs(_table, found->second) + slotWaitMs(_table, _query, found->second, _now);
	return ms * speedFactor(_table, _query, found->second, _now, priorOf(_table, _query, _now));
}
} // namespace spanplank
