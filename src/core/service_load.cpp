/// Load of a service over all routers.
#include "spanplank/service_load.h"

#include <algorithm>
#include <vector>

namespace spanplank
{
namespace
{
/// Load share from which the price of another hall falls, and at which it is 0. Requests are spread unevenly:
/// at a mean of 0.9 some upstreams of the hall are full and their callers wait, while below it an upstream
/// with capacity is left.
constexpr double kHallFullFrom = 0.9;
constexpr double kHallFullTo = 1.3;
/// Pressure for each unit of load beyond the capacity. With an eighth more requests than slots, new requests
/// wait for about an eighth of an answer's duration, and only poor answers are worth a second run.
constexpr double kOverloadPressure = 2.5;

constexpr size_t kLeastLoadedPart = 4; ///< See `ServiceLoad::leastQueueMs`.

bool counts(const UpstreamTable& _table, const UpstreamEntry& _entry, std::string_view _service,
			std::string_view _hall, TimeUs _now)
{
	return _entry.record.service == _service && (_hall.empty() || _entry.record.hall == _hall) &&
		   isUsable(_table, _entry, _now) && _entry.health.ejectedUntil <= _now &&
		   !isResting(_entry.rest, _now);
}
} // namespace

ServiceLoad serviceLoad(const UpstreamTable& _table, std::string_view _service, std::string_view _hall,
						const UpstreamCapacity& _capacity, TimeUs _now)
{
	ServiceLoad load;
	double running = 0.0;
	double slots = 0.0;
	double held = 0.0;
	std::vector<double> queues;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (!counts(_table, entry, _service, _hall, _now))
		{
			continue;
		}
		++load.upstreams;
		running += double(entry.inFlight) + double(entry.others.inFlight);
		slots += double(std::max(1u, _capacity.slots != 0 ? _capacity.slots : entry.record.slots));
		held += double(entry.heldTokens) + double(entry.others.tokens);
		queues.push_back((entry.prefillMs + entry.others.prefillMs) *
						 firstTokenFactor(_table.speeds, entry.key, _now));
		load.queueMs += queues.back();
	}
	if (load.upstreams == 0)
	{
		return load;
	}
	load.slots = running / slots;
	load.tokens = _capacity.kvTokens == 0 ? 0.0 : held / (double(_capacity.kvTokens) * load.upstreams);
	load.queueMs /= double(load.upstreams);
	const auto least = queues.begin() + std::ptrdiff_t(queues.size() / kLeastLoadedPart);
	std::nth_element(queues.begin(), least, queues.end());
	load.leastQueueMs = *least;
	return load;
}

double loadShareOf(const ServiceLoad& _load, double _targetMs)
{
	if (_load.upstreams == 0)
	{
		return 1.0; // Nothing can take a request.
	}
	const double queue = _targetMs > 0.0 ? std::max(0.0, _load.queueMs) / _targetMs : 0.0;
	return std::max({_load.slots, _load.tokens, queue});
}

double loadPressureOf(const ServiceLoad& _load, double _targetMs)
{
	const double queue = _targetMs > 0.0 ? std::max(0.0, _load.leastQueueMs) / _targetMs : 0.0;
	const double overload = std::max(_load.slots, _load.tokens) - 1.0;
	return std::clamp(std::max(queue, kOverloadPressure * overload), 0.0, 1.0);
}

double boundedPressure(double _recent, const ServiceLoad& _load, double _targetMs)
{
	const double least = loadPressureOf(_load, _targetMs);
	const double mean = _targetMs > 0.0 ? std::min(1.0, std::max(0.0, _load.queueMs) / _targetMs) : 0.0;
	return std::clamp(_recent, least, std::max(least, mean));
}

double hallPriceShare(double _hallLoad)
{
	return std::clamp((kHallFullTo - _hallLoad) / (kHallFullTo - kHallFullFrom), 0.0, 1.0);
}
} // namespace spanplank
