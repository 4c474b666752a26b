/// Evidence of which incarnation of an upstream a call was sent to.
#include "spanplank/upstream_restart.h"

#include <algorithm>

namespace spanplank
{
const char* name(RestartEvidence _evidence)
{
	constexpr const char* kNames[] = {"none", "not_connected", "other_address", "opened_after_start",
									  "opened_after_close"};
	return kNames[size_t(_evidence)];
}

const char* name(RestartVerdict _verdict)
{
	constexpr const char* kNames[] = {"ended", "kept", "doubted"};
	return kNames[size_t(_verdict)];
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
	const bool afterClose = _call.closedAt != 0 && _call.openedAt >= _call.closedAt;
	return afterClose ? RestartEvidence::OpenedAfterClose : RestartEvidence::None;
}

RestartVerdict verdictOn(RestartEvidence _evidence, bool _replaced)
{
	switch (_evidence)
	{
	case RestartEvidence::OtherAddress:
	case RestartEvidence::NotConnected:
		return RestartVerdict::Ended;
	case RestartEvidence::OpenedAfterStart:
	case RestartEvidence::OpenedAfterClose:
		return RestartVerdict::Kept;
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
