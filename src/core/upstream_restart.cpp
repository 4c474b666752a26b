/// Evidence of which incarnation of an upstream a call was sent to.
#include "spanplank/upstream_restart.h"

#include <algorithm>

namespace spanplank
{
const char* name(RestartEvidence _evidence)
{
	constexpr const char* kNames[] = {"none", "not_connected", "other_address", "opened_after_start",
									  "opened_after_refusal"};
	return kNames[size_t(_evidence)];
}

const char* name(RestartVerdict _verdict)
{
	constexpr const char* kNames[] = {"ended", "kept", "doubted"};
	return kNames[size_t(_verdict)];
}

std::optional<TimeUs> startedBy(uint64_t _startedAtMs, TimeUs _wall, TimeUs _now)
{
	const TimeUs age = _wall - TimeUs(_startedAtMs) * kMsToUs;
	if (age <= kMaxClockDifference || age > kMaxStartAge)
	{
		return std::nullopt;
	}
	return _now - (age - kMaxClockDifference);
}

RestartEvidence evidenceOf(const CallAtRestart& _call)
{
	if (!_call.sameAddress)
	{
		return RestartEvidence::OtherAddress;
	}
	if (_call.openedAt == 0)
	{
		return RestartEvidence::NotConnected;
	}
	if (_call.startedBy && _call.openedAt >= *_call.startedBy)
	{
		return RestartEvidence::OpenedAfterStart;
	}
	// An upstream that is at work closes connections too: only one that accepts none has ended.
	const bool afterRefusal = _call.refusedAt != 0 && _call.openedAt >= _call.refusedAt;
	return afterRefusal ? RestartEvidence::OpenedAfterRefusal : RestartEvidence::None;
}

RestartVerdict verdictOn(RestartEvidence _evidence, bool _replaced)
{
	switch (_evidence)
	{
	case RestartEvidence::OtherAddress:
	case RestartEvidence::NotConnected:
		return RestartVerdict::Ended;
	case RestartEvidence::OpenedAfterStart:
		return RestartVerdict::Kept;
	// The call may be at an incarnation in between, whose record was not seen.
	case RestartEvidence::OpenedAfterRefusal:
	case RestartEvidence::None:
		break;
	}
	return _replaced ? RestartVerdict::Ended : RestartVerdict::Doubted;
}

TimeUs silenceLimit(TimeUs _answerDueBy, TimeUs _now)
{
	return std::max(_answerDueBy, _now + kSilenceAfterRestart);
}
} // namespace spanplank
