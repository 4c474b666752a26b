/// Limits that upstreams of the soak state, and the bound on what they then get.
#include "soak_notices.h"

#include <algorithm>
#include <fmt/format.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kWindow = 4 * kSecond;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5.0;
constexpr TimeUs kToldFor = 500 * kMsToUs; ///< Since the answer that told a router.

void stateLimit(Soak& _soak, SoakUpstream& _end, double _perSecond)
{
	note(_soak, fmt::format("{} states a limit of {:.1f} a second", _end.upstream->id, _perSecond));
	_end.limit = {_perSecond, monotonicNow(), _soak.heldUp, {}, {}};
	if (!isMutant("limit"))
	{
		_end.upstream->notices = {{"Server-Limit", fmt::format("{:.1f}", _perSecond)}};
	}
}

/// One upstream, or all of its service.
std::vector<SoakUpstream*> drawEnds(Soak& _soak)
{
	constexpr double kAllChance = 0.3;
	SoakUpstream* const one = _soak.ends[below(_soak, uint32_t(_soak.ends.size()))].get();
	if (!happens(_soak, kAllChance))
	{
		return {one};
	}
	std::vector<SoakUpstream*> all;
	for (const auto& end : _soak.ends)
	{
		if (end->upstream->service == one->upstream->service)
		{
			all.push_back(end.get());
		}
	}
	return all;
}
} // namespace

void limitOn(Soak& _soak)
{
	constexpr uint32_t kPauseMostMs = 1000;
	playSteps(_soak, "limit", kPauseMostMs, [&_soak] {
		const std::vector<SoakUpstream*> ends = drawEnds(_soak);
		const double perSecond = double(5 + below(_soak, 30)) / 10.0;
		for (SoakUpstream* end : ends)
		{
			stateLimit(_soak, *end, perSecond);
		}
		sleepFor(kContactMs + 2000 + below(_soak, 3000));
		for (SoakUpstream* end : ends)
		{
			forgetNotices(*end);
		}
	});
}

void checkLimit(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record)
{
	SoakLimit& limit = _end.limit;
	const TimeUs now = monotonicNow();
	const TimeUs from = limit.since + kContactMs * kMsToUs;
	const auto told = limit.toldAt.find(_record.router);
	if (limit.since == 0 || now < from || told == limit.toldAt.end() || now < told->second + kToldFor)
	{
		return;
	}
	limit.arrivals.push_back({now, _record.router});
	const auto counts = [&](const LimitedArrival& _arrival) {
		return now - _arrival.at <= kWindow &&
			   _arrival.at > _arrival.router->disturbedAt + kContactMs * kMsToUs;
	};
	const auto count = std::count_if(limit.arrivals.begin(), limit.arrivals.end(), counts);
	const double heldUpS = double(_soak.heldUp - limit.heldUp) / double(kSecond);
	const double allowed = limit.perSecond * kOvershoot * (4.0 + heldUpS) + kSlack;
	if (double(count) > allowed)
	{
		breach(_soak,
			   fmt::format("{} states a limit of {:.1f} a second and got {} requests in 4 s from routers "
						   "that it had told; allowed {:.0f}",
						   _end.upstream->id, limit.perSecond, count, allowed));
	}
}

void noteTold(SoakUpstream& _end, const RequestRecord& _record)
{
	if (_end.limit.since != 0)
	{
		_end.limit.toldAt.emplace(_record.router, monotonicNow());
	}
}

void forgetNotices(SoakUpstream& _end)
{
	_end.limit = {};
	_end.upstream->notices.clear();
}
} // namespace spanplank
