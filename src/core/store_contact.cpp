/// Judgement of the store's outages by its proofs and by the times in which this process ran.
#include "spanplank/store_contact.h"

#include <algorithm>

namespace spanplank
{
namespace
{
TimeUs shortestOutage(const StoreContact& _contact)
{
	return std::max(_contact.watchGap + kLostAnswer, kLapseHeartbeats * _contact.heartbeat);
}

TimeUs overlap(const Stall& _stall, TimeUs _from, TimeUs _to)
{
	return std::max<TimeUs>(0, std::min(_stall.to, _to) - std::max(_stall.from, _from));
}

/// @returns The step that is under way, less the time that a running process may take for it.
Stall currentStall(const StoreContact& _contact, TimeUs _now)
{
	const TimeUs from = _contact.seenAt == 0 ? _now : _contact.seenAt + kLongestStep;
	return {std::min(from, _now), _now};
}

/// @returns Time since the last proof in which this process ran.
TimeUs silenceUntil(const StoreContact& _contact, TimeUs _until, TimeUs _now)
{
	const TimeUs from = _contact.provedAt;
	if (from == 0 || _until <= from)
	{
		return 0;
	}
	TimeUs notRun = overlap(currentStall(_contact, _now), from, _until);
	for (const Stall& stall : _contact.stalls)
	{
		notRun += overlap(stall, from, _until);
	}
	return _until - from - notRun;
}
} // namespace

const char* name(LapseCause _cause)
{
	switch (_cause)
	{
	case LapseCause::Calm:
		return "calm";
	case LapseCause::Away:
		return "store away";
	case LapseCause::JustBack:
		break;
	}
	return "store just back";
}

void noteRunning(StoreContact& _contact, TimeUs _now)
{
	const Stall stall = currentStall(_contact, _now);
	_contact.seenAt = _now;
	if (stall.from == stall.to)
	{
		return;
	}
	_contact.stalls.push_back(stall);
	if (_contact.stalls.size() > kMostStalls)
	{
		_contact.stalls.pop_front();
	}
}

bool noteStoreProof(StoreContact& _contact, TimeUs _provedAt, TimeUs _now)
{
	noteRunning(_contact, _now);
	if (_provedAt <= _contact.provedAt)
	{
		return false;
	}
	const bool ended = silenceUntil(_contact, _provedAt, _now) >= shortestOutage(_contact);
	_contact.backAt = ended ? _provedAt : _contact.backAt;
	_contact.provedAt = _provedAt;
	while (!_contact.stalls.empty() && _contact.stalls.front().to <= _provedAt)
	{
		_contact.stalls.pop_front();
	}
	return ended;
}

LapseJudgement judgeLapse(const StoreContact& _contact, TimeUs _now)
{
	LapseJudgement judgement;
	judgement.since = _now;
	judgement.silence = silenceUntil(_contact, _now, _now);
	if (judgement.silence >= shortestOutage(_contact))
	{
		judgement.cause = LapseCause::Away;
	}
	else if (_contact.backAt != 0 && _now - _contact.backAt < kLapseTail)
	{
		judgement.cause = LapseCause::JustBack;
		judgement.since = _contact.backAt;
	}
	return judgement;
}
} // namespace spanplank
