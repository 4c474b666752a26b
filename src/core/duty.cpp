/// Steps of the holder of a duty and of a router that may acquire it.
#include "spanplank/duty.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// @returns The number of windows that have ended by a wall time. The newest of them is this number minus
/// one.
uint64_t windowsEnded(TimeUs _wall, const DutyTiming& _timing)
{
	return usageWindowAt(_wall, _timing.window);
}

/// @returns The oldest window that may still be reported.
uint64_t firstTimelyWindow(TimeUs _wall, const DutyTiming& _timing)
{
	return windowsEnded(_wall - _timing.maxReportDelay, _timing);
}

/// @returns The maximum age of a confirmation on which the holder may act: half of the lease, since the call
/// itself takes time, too.
TimeUs maxConfirmationAge(const DutyTiming& _timing)
{
	return _timing.lease / 2;
}

/// @returns Whether the duty may be acquired: it has no holder, or its holder has missed a report.
bool isVacant(const DutyState& _state, const DutyIdentity& _self, const DutyTiming& _timing, TimeUs _wall,
			  TimeUs _now)
{
	const bool heldByThisBox = _state.record.holder == _self.box; // By a previous process on this box.
	if (_state.revision == 0 || heldByThisBox)
	{
		return true;
	}
	const uint64_t overdue = windowsEnded(_wall - kUsageCollectDelayUs - kHolderTimeoutUs, _timing);
	return _state.record.window + 1 < overdue && _now - _state.changedAt >= _timing.lease + kHolderTimeoutUs;
}

void storeRecord(DutyState& _state, const DutyRecord& _record, uint64_t _revision, TimeUs _now)
{
	const bool sameReport = _record.window == _state.record.window && _record.counts == _state.record.counts;
	_state.reported = _state.reported && sameReport;
	_state.record = _record;
	_state.revision = std::max(_state.revision, _revision);
	_state.changedAt = _now;
}

DutyStep holderStep(const DutyState& _state, const DutyTiming& _timing, TimeUs _wall, TimeUs _now)
{
	if (_now - _state.acquiredAt < _timing.lease)
	{
		return {};
	}
	const uint64_t firstTimely = firstTimelyWindow(_wall, _timing);
	if (!_state.reported && _state.record.window != 0 && _state.record.window >= firstTimely)
	{
		const bool confirmed = _now - _state.confirmedAt < maxConfirmationAge(_timing);
		return {confirmed ? DutyAction::SendReport : DutyAction::Confirm};
	}
	const uint64_t next = std::max({_state.record.window + 1, _state.minWindow, firstTimely});
	const bool due = next < windowsEnded(_wall - kUsageCollectDelayUs, _timing);
	return due ? DutyStep{DutyAction::BeginReport, next} : DutyStep{};
}
} // namespace

DutyStep nextDutyStep(const DutyState& _state, const DutyIdentity& _self, const DutyTiming& _timing,
					  TimeUs _wall, TimeUs _now)
{
	if (_state.rootSince == 0 || _now < _state.retryAt)
	{
		return {};
	}
	if (_state.token != 0)
	{
		return holderStep(_state, _timing, _wall, _now);
	}
	if (_now - _state.rootSince < kMinRootTimeUs)
	{
		return {};
	}
	return {isVacant(_state, _self, _timing, _wall, _now) ? DutyAction::Acquire : DutyAction::Wait};
}

void recordRootStatus(DutyState& _state, bool _isRoot, TimeUs _now)
{
	const TimeUs since = _state.rootSince == 0 ? _now : _state.rootSince;
	_state.rootSince = _isRoot ? since : 0;
}

void applyDutyRecord(DutyState& _state, const DutyIdentity& _self, const DutyRecord& _record,
					 uint64_t _revision, TimeUs _now)
{
	if (_revision <= _state.revision)
	{
		return;
	}
	storeRecord(_state, _record, _revision, _now);
	const bool own = _record.incarnation == _self.incarnation;
	if (!own)
	{
		_state.token = 0;
	}
	else if (_state.token == 0 && _state.rootSince != 0)
	{
		_state.token = _revision; // The answer of the write was lost.
		_state.acquiredAt = _now;
		_state.confirmedAt = 0;
	}
}

void recordDutyWrite(DutyState& _state, const DutyRecord& _record, uint64_t _revision, TimeUs _sentAt,
					 TimeUs _now)
{
	storeRecord(_state, _record, _revision, _now);
	_state.confirmedAt = _sentAt;
	if (_state.token == 0)
	{
		_state.token = _revision;
		_state.acquiredAt = _now;
	}
}

void resignDuty(DutyState& _state, TimeUs _now)
{
	_state.token = 0;
	postponeDuty(_state, _now);
}

void postponeDuty(DutyState& _state, TimeUs _now)
{
	_state.retryAt = _now + kDutyRetryDelayUs;
}

void recordDutyStoreRestore(DutyState& _state, const DutyTiming& _timing, TimeUs _wall)
{
	_state.token = 0;
	_state.revision = 0;
	_state.minWindow = windowsEnded(_wall, _timing);
}
} // namespace spanplank
