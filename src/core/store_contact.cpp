/// Detects outages of the store from its confirmations and the stalls of this process.
#include "spanplank/store_contact.h"

#include <algorithm>

namespace spanplank
{
namespace
{
TimeUs minOutage(const StoreContact& _contact)
{
	return std::max(_contact.watchPeriod + kMaxLostAnswerUs, kLapseHeartbeats * _contact.heartbeatPeriod);
}

TimeUs overlap(const Stall& _stall, TimeUs _from, TimeUs _to)
{
	return std::max<TimeUs>(0, std::min(_stall.to, _to) - std::max(_stall.from, _from));
}

/// @returns The part of the current step that exceeds `kMaxRunStepUs`; an empty interval if none does.
Stall currentStall(const StoreContact& _contact, TimeUs _now)
{
	const TimeUs from = _contact.lastRunAt == 0 ? _now : _contact.lastRunAt + kMaxRunStepUs;
	return {std::min(from, _now), _now};
}

/// @returns The time from the last confirmation to `_until`, less the stalls.
TimeUs unconfirmedTimeUntil(const StoreContact& _contact, TimeUs _until, TimeUs _now)
{
	const TimeUs from = _contact.confirmedAt;
	if (from == 0 || _until <= from)
	{
		return 0;
	}
	TimeUs stalled = overlap(currentStall(_contact, _now), from, _until);
	for (const Stall& stall : _contact.stalls)
	{
		stalled += overlap(stall, from, _until);
	}
	return _until - from - stalled;
}
} // namespace

const char* name(RemovalCause _cause)
{
	switch (_cause)
	{
	case RemovalCause::Deregistered:
		return "calm";
	case RemovalCause::StoreOutage:
		return "store away";
	case RemovalCause::StoreRecovered:
		break;
	}
	return "store just back";
}

void recordRunning(StoreContact& _contact, TimeUs _now)
{
	const Stall stall = currentStall(_contact, _now);
	_contact.lastRunAt = _now;
	if (stall.from == stall.to)
	{
		return;
	}
	_contact.stalls.push_back(stall);
	if (_contact.stalls.size() > kMaxStalls)
	{
		_contact.stalls.pop_front();
	}
}

bool recordStoreConfirmation(StoreContact& _contact, TimeUs _confirmedAt, TimeUs _now)
{
	recordRunning(_contact, _now);
	if (_confirmedAt <= _contact.confirmedAt)
	{
		return false;
	}
	const bool ended = unconfirmedTimeUntil(_contact, _confirmedAt, _now) >= minOutage(_contact);
	_contact.recoveredAt = ended ? _confirmedAt : _contact.recoveredAt;
	_contact.confirmedAt = _confirmedAt;
	while (!_contact.stalls.empty() && _contact.stalls.front().to <= _confirmedAt)
	{
		_contact.stalls.pop_front();
	}
	return ended;
}

RemovalAssessment assessRemoval(const StoreContact& _contact, TimeUs _now)
{
	RemovalAssessment assessment;
	assessment.since = _now;
	assessment.silence = unconfirmedTimeUntil(_contact, _now, _now);
	if (assessment.silence >= minOutage(_contact))
	{
		assessment.cause = RemovalCause::StoreOutage;
	}
	else if (_contact.recoveredAt != 0 && _now - _contact.recoveredAt < kLapseReportDelayUs)
	{
		assessment.cause = RemovalCause::StoreRecovered;
		assessment.since = _contact.recoveredAt;
	}
	return assessment;
}
} // namespace spanplank
