#include "spanplank/admission.h"

#include <algorithm>

namespace spanplank
{
namespace
{
constexpr double kEstimateSmoothing = 0.05;
constexpr uint32_t kMinRetryAfterMs = 50;
constexpr uint32_t kMaxRetryAfterMs = 30000;

bool fits(const AdmissionQueue& _queue, uint64_t _tokens)
{
	const bool alone = _queue.running.empty(); // A request larger than the KV cache runs alone.
	return _queue.running.size() < _queue.limits.slots &&
		   (alone || _queue.runningTokens + _tokens <= _queue.limits.kvTokens);
}

/// @returns Expected run time of the work in its slot, in seconds.
double serviceSeconds(const AdmissionQueue& _queue, const WorkDemand& _demand)
{
	return double(_demand.tokens) * _queue.slotSecondsPerToken;
}

void start(AdmissionQueue& _queue, const WorkDemand& _demand)
{
	_queue.running[_demand.id.idx] = _demand;
	_queue.runningTokens += _demand.tokens;
}

void dequeue(AdmissionQueue& _queue, std::map<AdmissionQueue::Order, AdmissionQueue::Waiting>::iterator _at)
{
	const WorkDemand& demand = _at->second.demand;
	_queue.waitingTokens -= demand.tokens;
	const auto count = _queue.queued.find(demand.account);
	if (--count->second == 0)
	{
		_queue.queued.erase(count);
	}
	_queue.orderById.erase(demand.id.idx);
	_queue.waiting.erase(_at);
}

uint32_t retryAfter(const AdmissionQueue& _queue, uint32_t _priority)
{
	const double wait = expectedWait(_queue, _priority) * 1000.0;
	return uint32_t(std::clamp(wait, double(kMinRetryAfterMs), double(kMaxRetryAfterMs)));
}

/// Removes the newest queued work of the account that exceeds its share most, unless the new work's own
/// account does.
std::optional<WorkId> evictFor(AdmissionQueue& _queue, const WorkDemand& _demand)
{
	auto candidate = _queue.waiting.end();
	double candidateTag = _queue.virtualTime;
	for (auto it = _queue.waiting.begin(); it != _queue.waiting.end(); ++it)
	{
		const bool lowerClass = it->second.demand.priority >= _demand.priority;
		if (lowerClass && it->second.finishTag > candidateTag)
		{
			candidate = it;
			candidateTag = it->second.finishTag;
		}
	}
	const auto last = _queue.lastFinishTag.find(_demand.account);
	const double begin =
		std::max(_queue.virtualTime, last == _queue.lastFinishTag.end() ? 0.0 : last->second);
	const double own = begin + double(_demand.tokens) / _demand.weight;
	if (candidate == _queue.waiting.end() || candidate->second.demand.account == _demand.account ||
		candidateTag <= own)
	{
		return std::nullopt;
	}
	const WorkDemand evicted = candidate->second.demand;
	double& tag = _queue.lastFinishTag[evicted.account];
	tag = std::max(_queue.virtualTime, tag - double(evicted.tokens) / evicted.weight);
	dequeue(_queue, candidate);
	return evicted.id;
}

void enqueue(AdmissionQueue& _queue, const WorkDemand& _demand)
{
	double& last = _queue.lastFinishTag[_demand.account];
	last = std::max(_queue.virtualTime, last) + double(_demand.tokens) / _demand.weight;
	const AdmissionQueue::Order order{_demand.priority, last, _demand.id.idx};
	_queue.waiting[order] = {_demand, last};
	_queue.orderById[_demand.id.idx] = order;
	_queue.waitingTokens += _demand.tokens;
	++_queue.queued[_demand.account];
}
} // namespace

AdmissionQueue createAdmissionQueue(const AdmissionLimits& _limits)
{
	AdmissionQueue queue;
	queue.limits = _limits;
	queue.secondsPerToken = _limits.secondsPerToken;
	queue.slotSecondsPerToken = _limits.secondsPerToken * _limits.slots;
	return queue;
}

double expectedWait(const AdmissionQueue& _queue, uint32_t _priority)
{
	uint64_t ahead = 0;
	for (const auto& [order, waiting] : _queue.waiting)
	{
		if (std::get<0>(order) > _priority)
		{
			break;
		}
		ahead += waiting.demand.tokens;
	}
	const bool full = !fits(_queue, 0);
	const uint64_t partly = full ? _queue.runningTokens / (2ull * std::max(1u, _queue.limits.slots)) : 0;
	return double(ahead + partly) * _queue.secondsPerToken;
}

AdmissionResult admit(AdmissionQueue& _queue, const WorkDemand& _demand, TimeUs _now)
{
	AdmissionResult result;
	if (_queue.waiting.empty() && fits(_queue, _demand.tokens))
	{
		start(_queue, _demand);
		result.decision = AdmissionDecision::Start;
		return result;
	}
	const double wait = expectedWait(_queue, _demand.priority);
	const double work = serviceSeconds(_queue, _demand);
	result.retryAfterMs = retryAfter(_queue, _demand.priority);
	if (_now + TimeUs((wait + work) * 1e6) > _demand.deadline)
	{
		return result;
	}
	if (_queue.waiting.size() >= _queue.limits.maxQueued)
	{
		result.evicted = evictFor(_queue, _demand);
		if (!result.evicted)
		{
			return result;
		}
	}
	enqueue(_queue, _demand);
	result.decision = AdmissionDecision::Queue;
	return result;
}

NextWork nextWork(AdmissionQueue& _queue, TimeUs _now)
{
	NextWork next;
	while (!next.start && !_queue.waiting.empty())
	{
		const auto first = _queue.waiting.begin();
		const WorkDemand demand = first->second.demand;
		const bool late = _now + TimeUs(serviceSeconds(_queue, demand) * 1e6) > demand.deadline;
		if (!late && !fits(_queue, demand.tokens))
		{
			break;
		}
		if (late)
		{
			next.expired.push_back(demand.id);
			dequeue(_queue, first);
			continue;
		}
		const double begin = first->second.finishTag - double(demand.tokens) / demand.weight;
		_queue.virtualTime = std::max(_queue.virtualTime, begin);
		dequeue(_queue, first);
		start(_queue, demand);
		next.start = demand.id;
	}
	if (_queue.waiting.empty())
	{
		_queue.lastFinishTag.clear();
		_queue.virtualTime = 0.0;
	}
	return next;
}

void release(AdmissionQueue& _queue, WorkId _id, uint64_t _tokens, double _seconds)
{
	const auto running = _queue.running.find(_id.idx);
	if (running != _queue.running.end())
	{
		_queue.runningTokens -= running->second.tokens;
		if (_tokens > 0 && _seconds > 0.0)
		{
			const double sharing = double(std::max<size_t>(1, _queue.running.size()));
			const double perToken = _seconds / double(_tokens) / sharing;
			_queue.secondsPerToken += kEstimateSmoothing * (perToken - _queue.secondsPerToken);
			const double inSlot = _seconds / double(_tokens);
			_queue.slotSecondsPerToken += kEstimateSmoothing * (inSlot - _queue.slotSecondsPerToken);
		}
		_queue.running.erase(running);
		return;
	}
	const auto order = _queue.orderById.find(_id.idx);
	if (order != _queue.orderById.end())
	{
		dequeue(_queue, _queue.waiting.find(order->second));
	}
}
} // namespace spanplank
