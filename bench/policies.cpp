/// Policies in virtual time: ours beside the naive version, same seeds, one run. Tuned on the first set of
/// seeds; the second set was never looked at while tuning.
#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <list>
#include <queue>
#include <vector>

#include "spanplank/admission.h"
#include "spanplank/exposure.h"
#include "spanplank/routing.h"

namespace
{
using namespace spanplank;

constexpr uint64_t kTunedSeed = 1;
constexpr uint64_t kHeldOutSeed = 1000001;

double mean(const std::vector<double>& _values)
{
	double sum = 0.0;
	for (const double value : _values)
	{
		sum += value;
	}
	return _values.empty() ? 0.0 : sum / double(_values.size());
}

double percentile(std::vector<double> _values, double _share)
{
	if (_values.empty())
	{
		return 0.0;
	}
	std::sort(_values.begin(), _values.end());
	return _values[std::min(_values.size() - 1, size_t(_share * double(_values.size())))];
}

// ---- Roll-outs -------------------------------------------------------------------------------------------

struct RolloutCase
{
	double perSecond = 20.0; ///< Requests of the model.
	double badRate = 0.0;
	double ratingDelay = 1.0;
	double horizon = 7200.0; ///< Seconds.
};

struct RolloutResult
{
	double badAnswers = 0.0;
	double servedAt = 0.0; ///< 0: never.
	bool halted = false;
};

struct PendingRating
{
	double due = 0.0;
	bool bad = false;
};

RolloutResult ourRollout(const RolloutCase& _case, uint64_t _seed)
{
	Random random{_seed};
	const Rollout rollout;
	RolloutResult result;
	RatingTally tally;
	DriftWatch watch;
	std::deque<PendingRating> pending;
	uint64_t given = 0;
	for (double now = 0.0; now < _case.horizon && !result.halted; now += 1.0 / _case.perSecond)
	{
		while (!pending.empty() && pending.front().due <= now)
		{
			const bool bad = pending.front().bad;
			pending.pop_front();
			++(bad ? tally.bad : tally.good);
			if (result.servedAt > 0.0)
			{
				result.halted = result.halted || observe(watch, {bad ? 0u : 1u, bad ? 1u : 0u},
														 rollout.badRate, rollout.haltRate);
			}
		}
		const RolloutVerdict verdict = judgeRatings(tally, rollout);
		result.halted = result.halted || (result.servedAt == 0.0 && verdict == RolloutVerdict::Halt);
		if (result.servedAt == 0.0 && verdict == RolloutVerdict::Serve)
		{
			result.servedAt = now;
		}
		const bool serving = result.servedAt > 0.0;
		const bool offered = serving || nextUnit(random) < rollout.share;
		const bool allowed = serving || given < exposureAllowance(tally, rollout);
		if (offered && allowed && !result.halted)
		{
			++given;
			const bool bad = nextUnit(random) < _case.badRate;
			result.badAnswers += bad ? 1.0 : 0.0;
			pending.push_back({now + _case.ratingDelay, bad});
		}
	}
	return result;
}

/// 5% until `_fullAt`, then all; halted when `_least` ratings are in and over 5% of the last 200 are bad.
RolloutResult naiveRamp(const RolloutCase& _case, uint64_t _seed, double _fullAt, size_t _least)
{
	constexpr size_t kWindow = 200;
	constexpr double kHaltShare = 0.05;
	Random random{_seed};
	RolloutResult result;
	result.servedAt = _fullAt;
	std::deque<PendingRating> pending;
	std::deque<bool> window;
	size_t bads = 0;
	for (double now = 0.0; now < _case.horizon && !result.halted; now += 1.0 / _case.perSecond)
	{
		while (!pending.empty() && pending.front().due <= now)
		{
			window.push_back(pending.front().bad);
			bads += pending.front().bad ? 1 : 0;
			pending.pop_front();
			if (window.size() > kWindow)
			{
				bads -= window.front() ? 1 : 0;
				window.pop_front();
			}
			const bool over = double(bads) > kHaltShare * double(window.size());
			result.halted = result.halted || (window.size() >= _least && over);
		}
		const double share = now < _fullAt ? 0.05 : 1.0;
		if (!result.halted && nextUnit(random) < share)
		{
			const bool bad = nextUnit(random) < _case.badRate;
			result.badAnswers += bad ? 1.0 : 0.0;
			pending.push_back({now + _case.ratingDelay, bad});
		}
	}
	return result;
}

void benchRollouts(uint64_t _firstSeed, const char* _set)
{
	constexpr uint64_t kSeeds = 200;
	constexpr size_t kHasty = 20; ///< Ratings before the naive ramp judges: it halts good versions too.
	constexpr size_t kCalm = 200;
	fmt::print("\n== roll-outs, {} seeds from {} ({})\n", kSeeds, _firstSeed, _set);
	fmt::print("{:>7} {:>8} {:>8} {:>10} {:>10} {:>10} {:>8} {:>8} {:>8} {:>8} {:>8}\n", "delay s", "bad",
			   "full at", "bad: ours", "hasty 5%", "calm 5%", "/hasty", "/calm", "h: ours", "h: hasty",
			   "h: calm");
	for (const double delay : {1.0, 30.0, 600.0})
	{
		std::vector<double> servedAt;
		for (uint64_t ii = 0; ii < kSeeds; ++ii)
		{
			const RolloutResult good = ourRollout({20.0, 0.005, delay, 7200.0}, _firstSeed + ii);
			servedAt.push_back(good.servedAt > 0.0 ? good.servedAt : 7200.0);
		}
		const double fullAt = mean(servedAt); // The ramp gets the same time to full service.
		for (const double badRate : {0.005, 0.01, 0.1, 1.0})
		{
			std::vector<double> ours;
			std::vector<double> naive;
			std::vector<double> calm;
			int haltedCalm = 0;
			int haltedOurs = 0;
			int haltedNaive = 0;
			for (uint64_t ii = 0; ii < kSeeds; ++ii)
			{
				const RolloutCase rolloutCase{20.0, badRate, delay, 7200.0};
				const RolloutResult first = ourRollout(rolloutCase, _firstSeed + ii);
				const RolloutResult second = naiveRamp(rolloutCase, _firstSeed + ii, fullAt, kHasty);
				const RolloutResult third = naiveRamp(rolloutCase, _firstSeed + ii, fullAt, kCalm);
				calm.push_back(third.badAnswers);
				haltedCalm += third.halted ? 1 : 0;
				ours.push_back(first.badAnswers);
				naive.push_back(second.badAnswers);
				haltedOurs += first.halted ? 1 : 0;
				haltedNaive += second.halted ? 1 : 0;
			}
			fmt::print(
				"{:>7} {:>8} {:>8.0f} {:>10.1f} {:>10.1f} {:>10.1f} {:>8.3f} {:>8.3f} {:>8} {:>8} {:>8}\n",
				delay, badRate, fullAt, mean(ours), mean(naive), mean(calm),
				mean(ours) / std::max(0.001, mean(naive)), mean(ours) / std::max(0.001, mean(calm)),
				haltedOurs, haltedNaive, haltedCalm);
		}
	}
}

// ---- Routing ---------------------------------------------------------------------------------------------

struct RoutingCase
{
	uint32_t upstreams = 12;
	uint32_t routers = 3;
	double load = 0.8;
	uint32_t groups = 40;     ///< Shared prefixes.
	uint32_t cacheGroups = 8; ///< Prefixes that one engine's cache holds.
	uint32_t prefixTokens = 2048;
	uint32_t ownTokens = 256;
	uint32_t answerTokens = 64;
	uint32_t slots = 8;
	double prefillPerToken = 0.0002;
	double decodePerToken = 0.02;
	double reportPeriod = 0.5;
	uint32_t requests = 20000;
};

/// An engine: prompts are read one after the other, then decoded in `slots` places.
struct SimEngine
{
	std::list<uint32_t> cache; ///< Latest first.
	double prefillFreeAt = 0.0;
	std::vector<double> slotFreeAt;
	std::vector<std::pair<double, uint32_t>> waitingPrefill; ///< End of prefill, tokens.
	std::vector<double> endsAt;
	UpstreamLoad reported;
	double reportedAt = -1.0;
};

bool touchCache(SimEngine& _engine, uint32_t _group, uint32_t _capacity)
{
	const auto found = std::find(_engine.cache.begin(), _engine.cache.end(), _group);
	const bool hit = found != _engine.cache.end();
	if (hit)
	{
		_engine.cache.erase(found);
	}
	_engine.cache.push_front(_group);
	if (_engine.cache.size() > _capacity)
	{
		_engine.cache.pop_back();
	}
	return hit;
}

void refreshReport(SimEngine& _engine, const RoutingCase& _case, double _now, bool& _fresh)
{
	_fresh = false;
	if (_now - _engine.reportedAt < _case.reportPeriod)
	{
		return;
	}
	_fresh = true;
	_engine.reportedAt = _now;
	const auto over = [_now](double _end) {
		return _end <= _now;
	};
	_engine.endsAt.erase(std::remove_if(_engine.endsAt.begin(), _engine.endsAt.end(), over),
						 _engine.endsAt.end());
	const uint32_t present = uint32_t(_engine.endsAt.size());
	_engine.reported.slots = _case.slots;
	_engine.reported.running = std::min(present, _case.slots);
	_engine.reported.queued = present - _engine.reported.running;
	_engine.reported.prefillBacklog =
		uint64_t(std::max(0.0, _engine.prefillFreeAt - _now) / _case.prefillPerToken);
}

/// @returns Seconds to the first token.
double serve(SimEngine& _engine, const RoutingCase& _case, uint32_t _group, double _now)
{
	const bool hit = touchCache(_engine, _group, _case.cacheGroups);
	const double prefill = double(_case.ownTokens + (hit ? 0 : _case.prefixTokens)) * _case.prefillPerToken;
	const auto slot = std::min_element(_engine.slotFreeAt.begin(), _engine.slotFreeAt.end());
	const double begin = std::max({_now, _engine.prefillFreeAt, *slot});
	_engine.prefillFreeAt = begin + prefill;
	const double first = begin + prefill + _case.decodePerToken;
	*slot = first + double(_case.answerTokens - 1) * _case.decodePerToken;
	_engine.endsAt.push_back(*slot);
	return first - _now;
}

std::vector<double> runRouting(const RoutingCase& _case, bool _ours, uint64_t _seed)
{
	Random random{_seed};
	std::vector<SimEngine> engines(_case.upstreams);
	for (SimEngine& engine : engines)
	{
		engine.slotFreeAt.assign(_case.slots, 0.0);
	}
	struct SimRouter
	{
		std::vector<UpstreamLoad> loads;
		PrefixTable prefixes;
		uint64_t cursor = 0;
	};
	std::vector<SimRouter> routers(_case.routers);
	for (SimRouter& router : routers)
	{
		router.loads.resize(_case.upstreams);
	}
	// Capacity without any prefix hit, by decoding slots or by prefill, whichever binds.
	const double miss = double(_case.prefixTokens + _case.ownTokens) * _case.prefillPerToken;
	const double decode = double(_case.answerTokens) * _case.decodePerToken / _case.slots;
	const double perSecond =
		_case.load * double(_case.upstreams) / std::max(miss, decode + miss / _case.slots);
	EngineCosts costs;
	costs.prefillPerToken = _case.prefillPerToken;
	costs.decodePerToken = _case.decodePerToken;
	costs.meanAnswerTokens = _case.answerTokens;
	std::vector<double> firsts;
	double now = 0.0;
	for (uint32_t ii = 0; ii < _case.requests; ++ii)
	{
		now += -std::log(1.0 - nextUnit(random)) / perSecond;
		const double draw = nextUnit(random);
		const auto group = uint32_t(draw * draw * double(_case.groups)); // A few prefixes are asked for most.
		SimRouter& router = routers[nextRandom(random) % _case.routers];
		for (uint32_t uu = 0; uu < _case.upstreams; ++uu)
		{
			bool fresh = false;
			refreshReport(engines[uu], _case, now, fresh);
			for (SimRouter& each : routers)
			{
				if (fresh)
				{
					each.loads[uu] = engines[uu].reported;
					each.loads[uu].id = UpstreamId{uu};
				}
			}
		}
		uint32_t at = 0;
		if (_ours)
		{
			const std::vector<uint64_t> blocks = {group + 1ull};
			const auto nowUs = TimeUs(now * 1e6);
			for (UpstreamLoad& load : router.loads)
			{
				load.reportAge = now - engines[load.id.idx].reportedAt;
				load.routers = _case.routers;
				load.prefixTokens =
					prefixHitTokens(router.prefixes, blocks, load.id, nowUs) > 0 ? _case.prefixTokens : 0;
			}
			at = pickUpstream(router.loads, _case.prefixTokens + _case.ownTokens, costs, random);
			recordPrefix(router.prefixes, blocks, UpstreamId{at}, nowUs);
			UpstreamLoad& load = router.loads[at];
			++load.sentSinceReport;
			load.sentTokens += _case.ownTokens + (load.prefixTokens > 0 ? 0 : _case.prefixTokens);
		}
		else
		{
			at = pickRoundRobin(router.loads, router.cursor);
		}
		const double first = serve(engines[at], _case, group, now);
		if (ii > _case.requests / 10)
		{
			firsts.push_back(first);
		}
	}
	return firsts;
}

void benchRouting(uint64_t _seed, const char* _set)
{
	fmt::print("\n== routing, seed {} ({}): first token, milliseconds\n", _seed, _set);
	fmt::print("{:<22} {:>6} {:>10} {:>10} {:>10} {:>10} {:>10} {:>8}\n", "deployment", "load", "ours p50",
			   "p95", "p99", "rr p50", "rr p99", "p99 ratio");
	for (const uint32_t upstreams : {18u, 12u})
	{
		for (const double load : {0.5, 0.8, 0.95})
		{
			RoutingCase routingCase;
			routingCase.upstreams = upstreams;
			routingCase.load = load;
			const std::vector<double> ours = runRouting(routingCase, true, _seed);
			const std::vector<double> naive = runRouting(routingCase, false, _seed);
			const double p99 = percentile(ours, 0.99);
			const double naive99 = percentile(naive, 0.99);
			fmt::print("{:<22} {:>6} {:>10.0f} {:>10.0f} {:>10.0f} {:>10.0f} {:>10.0f} {:>8.2f}\n",
					   upstreams == 18 ? "exams (18 engines)" : "lumivia (12 engines)", load,
					   percentile(ours, 0.5) * 1e3, percentile(ours, 0.95) * 1e3, p99 * 1e3,
					   percentile(naive, 0.5) * 1e3, naive99 * 1e3, p99 / naive99);
		}
	}
}

// ---- Admission -------------------------------------------------------------------------------------------

struct SimRequest
{
	double at = 0.0;
	double deadline = 0.0;
	uint32_t account = 0;
	uint32_t tries = 0;
};

struct LaterRequest
{
	bool operator()(const SimRequest& _a, const SimRequest& _b) const
	{
		return _a.at > _b.at;
	}
};

struct AdmissionResultRow
{
	uint64_t offered = 0;
	uint64_t timely = 0;
	std::vector<double> othersWait; ///< Seconds to the end, of accounts other than the first.
};

constexpr uint32_t kSimSlots = 8;
constexpr double kSimService = 0.4; ///< Seconds of one request in its slot.
constexpr double kSimDeadline = 3.0;
constexpr uint64_t kSimTokens = 100;

/// A caller that is refused comes back after the time told; one that times out tries again at once, three
/// tries.
AdmissionResultRow runAdmission(const std::vector<double>& _ratePerAccount, bool _ours, double _seconds,
								uint64_t _seed)
{
	constexpr uint32_t kTries = 3;
	Random random{_seed};
	std::priority_queue<SimRequest, std::vector<SimRequest>, LaterRequest> arrivals;
	AdmissionResultRow row;
	for (uint32_t account = 0; account < _ratePerAccount.size(); ++account)
	{
		double at = 0.0;
		while (true)
		{
			at += -std::log(1.0 - nextUnit(random)) / _ratePerAccount[account];
			if (at > _seconds)
			{
				break;
			}
			arrivals.push({at, at + kSimDeadline, account, 0});
			++row.offered;
		}
	}
	AdmissionLimits limits;
	limits.slots = kSimSlots;
	limits.kvTokens = kSimSlots * kSimTokens;
	limits.maxQueued = 64;
	limits.secondsPerToken = kSimService / double(kSimSlots * kSimTokens);
	AdmissionQueue queue = createAdmissionQueue(limits);
	std::deque<uint64_t> fifo;
	uint32_t fifoRunning = 0;
	std::map<uint64_t, SimRequest> works;
	using Ending = std::pair<double, uint64_t>;
	std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings;
	uint64_t nextId = 1;
	const auto begin = [&](uint64_t _id, double _now) {
		// The naive engine works on what its caller has long given up on: it does not know.
		endings.push({_now + kSimService, _id});
	};
	while (!arrivals.empty() || !endings.empty())
	{
		const bool arrival =
			!arrivals.empty() && (endings.empty() || arrivals.top().at <= endings.top().first);
		if (arrival)
		{
			const SimRequest request = arrivals.top();
			arrivals.pop();
			const uint64_t id = nextId++;
			works[id] = request;
			if (!_ours)
			{
				if (fifoRunning < kSimSlots)
				{
					++fifoRunning;
					begin(id, request.at);
				}
				else
				{
					fifo.push_back(id);
				}
				if (request.tries + 1 < kTries) // It will try again at its deadline unless answered before.
				{
					arrivals.push({request.deadline, request.deadline + kSimDeadline, request.account,
								   request.tries + 1});
				}
				continue;
			}
			WorkDemand demand{WorkId{id}, std::to_string(request.account), 1.0, 5,
							  kSimTokens, TimeUs(request.deadline * 1e6)};
			const AdmissionResult result = admit(queue, demand, TimeUs(request.at * 1e6));
			const auto comeBack = [&](const SimRequest& _refused) {
				const double at = request.at + double(result.retryAfterMs) / 1000.0;
				if (_refused.tries + 1 < kTries)
				{
					arrivals.push({at, at + kSimDeadline, _refused.account, _refused.tries + 1});
				}
			};
			if (result.evicted)
			{
				comeBack(works.at(result.evicted->idx));
				works.erase(result.evicted->idx);
			}
			if (result.decision == AdmissionDecision::Start)
			{
				begin(id, request.at);
			}
			else if (result.decision == AdmissionDecision::Refuse)
			{
				comeBack(request);
				works.erase(id);
			}
			continue;
		}
		const auto [now, id] = endings.top();
		endings.pop();
		const SimRequest request = works.at(id);
		works.erase(id);
		const bool timely = now <= request.deadline;
		// A naive caller's later tries are dropped once one is answered in time: counted once.
		row.timely += timely ? 1 : 0;
		if (request.account != 0)
		{
			row.othersWait.push_back(now - request.at);
		}
		if (_ours)
		{
			release(queue, WorkId{id}, kSimTokens, kSimService);
			NextWork next = nextWork(queue, TimeUs(now * 1e6));
			while (next.start)
			{
				begin(next.start->idx, now);
				next = nextWork(queue, TimeUs(now * 1e6));
			}
			continue;
		}
		if (timely && request.tries + 1 < kTries)
		{
			// Takes back the retry that was laid up above.
			std::vector<SimRequest> kept;
			while (!arrivals.empty())
			{
				const SimRequest top = arrivals.top();
				arrivals.pop();
				const bool own = top.account == request.account && top.tries == request.tries + 1 &&
								 top.at == request.deadline;
				if (own)
				{
					break;
				}
				kept.push_back(top);
				if (top.at > request.deadline)
				{
					break;
				}
			}
			for (const SimRequest& each : kept)
			{
				arrivals.push(each);
			}
		}
		--fifoRunning;
		if (!fifo.empty())
		{
			++fifoRunning;
			begin(fifo.front(), now);
			fifo.pop_front();
		}
	}
	return row;
}

void benchAdmission(uint64_t _seed, const char* _set)
{
	const double capacity = kSimSlots / kSimService;
	constexpr double kSeconds = 120.0;
	fmt::print("\n== admission, seed {} ({}): timely answers a second, capacity {:.0f}/s\n", _seed, _set,
			   capacity);
	fmt::print("{:>6} {:>10} {:>10}\n", "load", "ours", "naive");
	for (const double load : {0.5, 1.0, 2.0, 4.0})
	{
		const std::vector<double> rates(10, load * capacity / 10.0);
		fmt::print("{:>6} {:>10.1f} {:>10.1f}\n", load,
				   double(runAdmission(rates, true, kSeconds, _seed).timely) / kSeconds,
				   double(runAdmission(rates, false, kSeconds, _seed).timely) / kSeconds);
	}
	std::vector<double> fair(10, 0.6 * capacity / 10.0);
	std::vector<double> flood = fair;
	flood[0] *= 10.0;
	const double calm = percentile(runAdmission(fair, true, kSeconds, _seed).othersWait, 0.99);
	const double ours = percentile(runAdmission(flood, true, kSeconds, _seed).othersWait, 0.99);
	const double naiveCalm = percentile(runAdmission(fair, false, kSeconds, _seed).othersWait, 0.99);
	const double naive = percentile(runAdmission(flood, false, kSeconds, _seed).othersWait, 0.99);
	fmt::print("one account at 10x its share, the others' p99 to the end: ours {:.2f} s (calm {:.2f} s, "
			   "ratio {:.2f}), "
			   "naive {:.2f} s (calm {:.2f} s, ratio {:.2f})\n",
			   ours, calm, ours / calm, naive, naiveCalm, naive / naiveCalm);
}

// ---- Cost of a decision ----------------------------------------------------------------------------------

void benchDecision()
{
	fmt::print("\n== cost of one routing decision\n{:>10} {:>12}\n", "upstreams", "ns");
	for (const uint32_t count : {10u, 32u, 100u, 300u, 1000u})
	{
		Random random{7};
		std::vector<UpstreamLoad> loads(count);
		for (uint32_t ii = 0; ii < count; ++ii)
		{
			loads[ii].id = UpstreamId{ii};
			loads[ii].running = uint32_t(nextRandom(random) % 8);
			loads[ii].slots = 8;
		}
		constexpr uint32_t kRounds = 200000;
		uint64_t sum = 0;
		const auto start = std::chrono::steady_clock::now();
		for (uint32_t ii = 0; ii < kRounds; ++ii)
		{
			sum += pickUpstream(loads, 500, EngineCosts{}, random);
		}
		const double ns =
			std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() /
			kRounds;
		fmt::print("{:>10} {:>12.0f}{}\n", count, ns, sum == 0 ? " " : "");
	}
}
} // namespace

int main()
{
	benchRollouts(kTunedSeed, "tuned on");
	benchRollouts(kHeldOutSeed, "held out");
	benchRouting(kTunedSeed, "tuned on");
	benchRouting(kHeldOutSeed, "held out");
	benchAdmission(kTunedSeed, "tuned on");
	benchAdmission(kHeldOutSeed, "held out");
	benchDecision();
	return 0;
}
