/// Limits, leaving and rest of upstreams of the soak, told in their answers, and the bounds on what they then
/// get.
#include "soak_notices.h"

#include <algorithm>
#include <fmt/format.h>

#include "soak_upstreams.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kWindow = 4 * kSecond;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5.0;
constexpr TimeUs kToldFor = 500 * kMsToUs; ///< Since the answer that told a router.

constexpr uint32_t kRestMs = 1500;
constexpr size_t kMostInRest = 2;
constexpr uint32_t kLeastLeft =
	3; ///< Upstreams of a service that say nothing beside one that leaves or rests.

/// Puts what an upstream says into its answers.
void renewNotices(SoakUpstream& _end)
{
	std::vector<HttpHeader>& notices = _end.upstream->notices;
	notices.clear();
	if (_end.limit.since != 0 && !isMutant("limit"))
	{
		notices.push_back({"Server-Limit", fmt::format("{:.1f}", _end.limit.perSecond)});
	}
	if (_end.saysLeaving && !isMutant("leaving"))
	{
		notices.push_back({"Server-Leaving", "1"});
	}
	if (_end.rests && !isMutant("rest"))
	{
		notices.push_back({"Retry-After", fmt::format("{:.1f}", double(kRestMs) / 1000.0)});
	}
}

void stateLimit(Soak& _soak, SoakUpstream& _end, double _perSecond)
{
	note(_soak, fmt::format("{} states a limit of {:.1f} a second", _end.upstream->id, _perSecond));
	_end.limit = {_perSecond, monotonicNow(), _soak.heldUp, {}, {}};
	renewNotices(_end);
}

bool saysNothing(const SoakUpstream& _end)
{
	return !_end.down && _end.leaving.since == 0 && !_end.saysLeaving && !_end.rests;
}

/// @returns An upstream that may leave or rest as others of its service are left; null if there is none.
SoakUpstream* drawSpare(Soak& _soak)
{
	SoakUpstream* const end = _soak.ends[below(_soak, uint32_t(_soak.ends.size()))].get();
	const auto left = std::count_if(_soak.ends.begin(), _soak.ends.end(), [end](const auto& _other) {
		return saysNothing(*_other) && _other->upstream->service == end->upstream->service;
	});
	return saysNothing(*end) && left > int64_t(kLeastLeft) ? end : nullptr;
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
			end->limit = {};
			renewNotices(*end);
		}
	});
}

void leaveByAnswerOn(Soak& _soak)
{
	constexpr uint32_t kPauseMostMs = 1500;
	playSteps(_soak, "leave-told", kPauseMostMs, [&_soak] {
		SoakUpstream* const end = drawSpare(_soak);
		if (end == nullptr)
		{
			return;
		}
		note(_soak, fmt::format("{} says in its answers that it leaves", end->upstream->id));
		end->saysLeaving = true;
		renewNotices(*end);
		const uint64_t born = end->upstream->born;
		sleepFor(kLeaveMs + 2000 + below(_soak, 3000));
		if (end->upstream->born == born)
		{
			startAgain(_soak, *end);
		}
	});
}

void restOn(Soak& _soak)
{
	constexpr uint32_t kPauseMostMs = 1500;
	playSteps(_soak, "rest", kPauseMostMs, [&_soak] {
		SoakUpstream* const end = drawSpare(_soak);
		if (end == nullptr)
		{
			return;
		}
		note(_soak, fmt::format("{} rejects all and asks for rest", end->upstream->id));
		end->rests = true;
		renewNotices(*end);
		sleepFor(1000 + below(_soak, 4000));
		end->rests = false;
		renewNotices(*end);
	});
}

namespace
{
/// @returns Whether a router has been neither stopped, frozen nor cut off since a moment.
bool isCalmSince(const RequestRecord& _record, TimeUs _moment)
{
	return _record.router->disturbedAt < _moment;
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

void checkLeaving(Soak& _soak, const SoakUpstream& _end, const RequestRecord& _record)
{
	const auto told = _end.leavingToldAt.find(_record.router);
	if (told == _end.leavingToldAt.end() || _record.router->renewedAt >= told->second)
	{
		return; // In touch or not: only a restart or a freeze since then is an excuse.
	}
	const TimeUs late = _record.sentAt - told->second - kLeaveMs * kMsToUs;
	if (late > 0)
	{
		breach(_soak, fmt::format("{} said in an answer that it leaves and got a request that was sent {} ms "
								  "after the bound, from {}",
								  _end.upstream->id, late / kMsToUs, _record.router->process->listen()));
	}
}

void checkRest(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record)
{
	const TimeUs now = monotonicNow();
	for (SoakRest& rest : _end.restsOf[_record.router])
	{
		const TimeUs from = rest.askedAt + kToldFor + _soak.heldUp - rest.heldUp;
		const bool within = now > from && now < rest.askedAt + kRestMs * kMsToUs;
		if (!within || !isCalmSince(_record, rest.askedAt))
		{
			continue;
		}
		if (++rest.requests > kMostInRest)
		{
			breach(_soak,
				   fmt::format("{} asked {} for {} ms of rest and got {} requests in it", _end.upstream->id,
							   _record.router->process->listen(), kRestMs, rest.requests));
		}
	}
}
} // namespace

void checkNotices(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record)
{
	checkLimit(_soak, _end, _record);
	checkLeaving(_soak, _end, _record);
	checkRest(_soak, _end, _record);
}

void noteTold(SoakUpstream& _end, const RequestRecord& _record)
{
	if (_end.limit.since != 0)
	{
		_end.limit.toldAt.emplace(_record.router, monotonicNow());
	}
	if (_end.saysLeaving)
	{
		TimeUs& told = _end.leavingToldAt[_record.router];
		told = told > _record.router->renewedAt ? told : monotonicNow();
	}
}

void noteRejected(Soak& _soak, SoakUpstream& _end, const RequestRecord& _record)
{
	noteTold(_end, _record);
	if (_end.rests)
	{
		_end.restsOf[_record.router].push_back({monotonicNow(), _soak.heldUp, 0});
	}
}

void forgetNotices(SoakUpstream& _end)
{
	_end.limit = {};
	_end.saysLeaving = false;
	_end.rests = false;
	_end.leavingToldAt.clear();
	_end.restsOf.clear();
	renewNotices(_end);
}
} // namespace spanplank
