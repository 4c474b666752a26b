#include "soak_endings.h"

#include <algorithm>
#include <fmt/format.h>

#include "soak_callers.h"
#include "soak_upstreams.h"

namespace spanplank
{
namespace
{
constexpr size_t kMostEnds = 3;     ///< Upstreams that one request may end.
constexpr size_t kMostPartEnds = 5; ///< Upstreams that one part of prompts may end.
constexpr uint32_t kMostLate = 3;
constexpr uint32_t kCopies = 24; ///< Of one request, before the next one's.
constexpr uint32_t kRepeatMs = 250;
constexpr uint32_t kEndMs = 20; ///< From the arrival to the end.
constexpr uint32_t kLapseMs = 400;
constexpr uint32_t kBackMs = 1500;
constexpr uint32_t kMostDown = 2; ///< Of one service at once: another one may be leaving.

uint32_t sound(const Soak& _soak, const std::string& _service)
{
	return uint32_t(std::count_if(_soak.ends.begin(), _soak.ends.end(), [&](const auto& _end) {
		return !_end->down && _end->leaving.since == 0 && _end->upstream->service == _service;
	}));
}

void endNow(Soak& _soak, SoakUpstream& _end)
{
	note(_soak, fmt::format("{} ends under a request", _end.upstream->id));
	_end.down = true;
	for (auto& [id, record] : _soak.requests)
	{
		record.brokeOff = record.brokeOff || (record.working > 0 && record.lastEnd == &_end);
	}
	stopProxy(_end.proxy);
	sleepFor(kLapseMs);
	removeItem(_soak.store, "servers/" + _end.upstream->id);
	sleepFor(kBackMs);
	comeBack(_soak, _end);
}
} // namespace

void endUpstreamsOn(Soak& _soak)
{
	for (uint32_t number = 0; monotonicNow() < _soak.until; ++number)
	{
		drawAs(_soak, "endings", number);
		const std::string whole = below(_soak, 2) == 0 ? "/plain/" : "/once/";
		const bool isPart = number % 2 == 1;
		const std::string path = isPart ? "/chat/" : whole;
		_soak.ending = {fmt::format("end-{}", number), isPart, {}, 0};
		for (uint32_t copy = 0; copy < kCopies && monotonicNow() < _soak.until; ++copy)
		{
			sendEnding(_soak, path);
			sleepFor(kRepeatMs);
		}
	}
}

void endUnder(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record)
{
	SoakEnding& ending = _soak.ending;
	const TimeUs now = monotonicNow();
	const TimeUs calmSince = std::max({_soak.storeHarmedAt, _record.router->disturbedAt, _end.harmedAt});
	const TimeUs contact = kContactMs * kMsToUs + _soak.heldUp - _record.heldUpThen;
	const size_t most = ending.isPart ? kMostPartEnds : kMostEnds;
	const bool known = ending.ends.size() >= most && now > ending.ends[most - 1] + contact;
	if (known && now > calmSince + contact && ++ending.late > kMostLate)
	{
		breach(_soak,
			   fmt::format("a {} under which {} upstreams had ended was sent to {} more, by {} {} ms later",
						   ending.isPart ? "prompt part" : "request", most, ending.late,
						   _record.router->process->listen(), (now - ending.ends[most - 1]) / kMsToUs));
	}
	if (_end.down || sound(_soak, _end.upstream->service) < kMostDown)
	{
		return;
	}
	ending.ends.push_back(now);
	spawnFiber([&_soak, &_end] {
		sleepFor(kEndMs);
		if (!_end.down)
		{
			endNow(_soak, _end);
		}
	});
}

void checkNotSuspected(Soak& _soak, const RequestRecord& _record, const HttpResponse& _answer)
{
	if (!_record.ending && _answer.status != kOk && _answer.body.find("ends_upstreams") != std::string::npos)
	{
		breach(_soak, "a harmless request was refused as one that ends upstreams: " + _record.path);
	}
}
} // namespace spanplank
