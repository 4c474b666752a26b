/// Limits that upstreams state in their answers, and their division among routers.
#include "spanplank/request_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spanplank
{
namespace
{
/// In any `kWindowSeconds` an upstream gets at most its limit x `kOvershoot` + `kSlack` requests.
constexpr double kWindowSeconds = 4.0;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5.0;
/// Keeps intervals above the one at which one more request fits into a window.
constexpr double kBelow = 0.999;

/// Chooses the number of owners with the highest total rate, of equal ones the largest. The bound must hold
/// even if `owners` + 1 routers act as owners.
OwnerPlan planOwners(double _perSecond, size_t _routers)
{
	const double bound = _perSecond * kOvershoot * kWindowSeconds + kSlack;
	OwnerPlan best;
	for (uint32_t owners = 1; owners <= std::min<size_t>(kMaxOwners, _routers); ++owners)
	{
		const double each = std::floor(bound / double(owners + 1)); // Requests of one owner in a window.
		const double rate = std::min(_perSecond / double(owners), each / kWindowSeconds * kBelow);
		if (rate * owners >= best.perSecond * best.owners * kBelow)
		{
			best = {owners, rate};
		}
	}
	return best;
}

LimitChange changeTo(RequestLimit& _limit, std::optional<double> _perSecond)
{
	const std::optional<double> before = std::exchange(_limit.perSecond, _perSecond);
	if (before == _perSecond)
	{
		return LimitChange::None;
	}
	if (!_perSecond)
	{
		return LimitChange::Ended;
	}
	return before ? LimitChange::Changed : LimitChange::Stated;
}

bool isStricter(std::optional<double> _one, std::optional<double> _other)
{
	return _one && (!_other || *_one < *_other);
}
} // namespace

const char* name(LimitChange _change)
{
	constexpr const char* kNames[] = {"none", "stated", "changed", "ended"};
	return kNames[size_t(_change)];
}

LimitChange recordLimitAnswer(RequestLimit& _limit, const LimitAnswer& _answer, TimeUs _now)
{
	const bool mayEnd = _answer.ran && _answer.sentAt > _limit.confirmedAt;
	if (!_answer.perSecond && !mayEnd)
	{
		return LimitChange::None;
	}
	_limit.confirmedAt = _answer.perSecond ? _now : _limit.confirmedAt;
	const LimitChange change = changeTo(_limit, _answer.perSecond);
	_limit.version += change == LimitChange::None ? 0 : 1;
	return change;
}

LimitChange adoptLimit(RequestLimit& _limit, const LimitReport& _report, TimeUs _now)
{
	const bool newer = _report.version > _limit.version;
	const bool stricter =
		_report.version == _limit.version && isStricter(_report.perSecond, _limit.perSecond);
	if (!newer && !stricter)
	{
		return LimitChange::None;
	}
	_limit.version = _report.version;
	_limit.confirmedAt = _report.perSecond ? _now : _limit.confirmedAt;
	return changeTo(_limit, _report.perSecond);
}

TimeUs limitSpacing(double _perSecond, const Fleet& _fleet, uint64_t _upstream, std::string_view _hall)
{
	if (!_fleet.synced)
	{
		return 0;
	}
	// With one owner for a hall without routers the bound holds beside a router that others do not know yet.
	const size_t eligible = std::max<size_t>(1, routersIn(_fleet, _hall));
	const OwnerPlan plan = planOwners(std::max(_perSecond, kMinLimitPerSecond), eligible);
	return routersBefore(_fleet, _upstream, _hall) < plan.owners ? spacingOf(plan.perSecond) : 0;
}
} // namespace spanplank
