/// The steps of a duty's holder and of the router that would be the next one.
#include "spanplank/duty.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// @returns The number of windows that ended by a moment: the newest of them has this number less one.
uint64_t windowsEnded(TimeUs _wall, const DutyBounds& _bounds)
{
	return usageWindowOf(_wall, _bounds.window);
}

/// @returns The first window whose report would still be of use.
uint64_t firstInTime(TimeUs _wall, const DutyBounds& _bounds)
{
	return windowsEnded(_wall - _bounds.late, _bounds);
}

/// A proof that is older than this is too old to act by: the call itself takes time, too.
TimeUs proofHolds(const DutyBounds& _bounds)
{
	return _bounds.lease / 2;
}

/// @returns Whether the duty is to be taken over: nobody holds it, or its holder has let a report pass.
bool isVacant(const DutyState& _state, const DutySelf& _self, const DutyBounds& _bounds, TimeUs _wall,
			  TimeUs _now)
{
	const bool abandoned = _state.record.holder == _self.box; // By an earlier process of this box.
	if (_state.revision == 0 || abandoned)
	{
		return true;
	}
	const uint64_t overdue = windowsEnded(_wall - kUsageSettle - kHolderPatience, _bounds);
	return _state.record.window + 1 < overdue && _now - _state.changedAt >= _bounds.lease + kHolderPatience;
}

void keepRecord(DutyState& _state, const DutyRecord& _record, uint64_t _revision, TimeUs _now)
{
	const bool sameReport = _record.window == _state.record.window && _record.counts == _state.record.counts;
	_state.reported = _state.reported && sameReport;
	_state.record = _record;
	_state.revision = std::max(_state.revision, _revision);
	_state.changedAt = _now;
}

DutyStep stepOfHolder(const DutyState& _state, const DutyBounds& _bounds, TimeUs _wall, TimeUs _now)
{
	if (_now - _state.takenAt < _bounds.lease)
	{
		return {};
	}
	const uint64_t inTime = firstInTime(_wall, _bounds);
	if (!_state.reported && _state.record.window != 0 && _state.record.window >= inTime)
	{
		const bool proven = _now - _state.provenAt < proofHolds(_bounds);
		return {proven ? DutyMove::Report : DutyMove::Prove};
	}
	const uint64_t next = std::max({_state.record.window + 1, _state.firstWindow, inTime});
	const bool due = next < windowsEnded(_wall - kUsageSettle, _bounds);
	return due ? DutyStep{DutyMove::Begin, next} : DutyStep{};
}
} // namespace

DutyStep nextDutyStep(const DutyState& _state, const DutySelf& _self, const DutyBounds& _bounds, TimeUs _wall,
					  TimeUs _now)
{
	if (_state.firstSince == 0 || _now < _state.retryAt)
	{
		return {};
	}
	if (_state.token != 0)
	{
		return stepOfHolder(_state, _bounds, _wall, _now);
	}
	if (_now - _state.firstSince < kFirstFor)
	{
		return {};
	}
	return {isVacant(_state, _self, _bounds, _wall, _now) ? DutyMove::Take : DutyMove::Wait};
}

void noteFirst(DutyState& _state, bool _first, TimeUs _now)
{
	const TimeUs since = _state.firstSince == 0 ? _now : _state.firstSince;
	_state.firstSince = _first ? since : 0;
}

void takeDutyRecord(DutyState& _state, const DutySelf& _self, const DutyRecord& _record, uint64_t _revision,
					TimeUs _now)
{
	if (_revision <= _state.revision)
	{
		return;
	}
	keepRecord(_state, _record, _revision, _now);
	const bool own = _record.life == _self.life;
	if (!own)
	{
		_state.token = 0;
	}
	else if (_state.token == 0 && _state.firstSince != 0)
	{
		_state.token = _revision; // Of a write whose answer was lost.
		_state.takenAt = _now;
		_state.provenAt = 0;
	}
}

void noteDutyWritten(DutyState& _state, const DutyRecord& _record, uint64_t _revision, TimeUs _sentAt,
					 TimeUs _now)
{
	keepRecord(_state, _record, _revision, _now);
	_state.provenAt = _sentAt;
	if (_state.token == 0)
	{
		_state.token = _revision;
		_state.takenAt = _now;
	}
}

void resignDuty(DutyState& _state, TimeUs _now)
{
	_state.token = 0;
	postponeDuty(_state, _now);
}

void postponeDuty(DutyState& _state, TimeUs _now)
{
	_state.retryAt = _now + kDutyRetry;
}

void noteDutyReturned(DutyState& _state, const DutyBounds& _bounds, TimeUs _wall)
{
	_state.token = 0;
	_state.revision = 0;
	_state.firstWindow = windowsEnded(_wall, _bounds);
}
} // namespace spanplank
