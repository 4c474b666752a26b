/// Limits that upstreams state in their answers.
#include "spanplank/request_limit.h"

namespace spanplank
{
const char* name(LimitChange _change)
{
	constexpr const char* kNames[] = {"none", "stated", "changed", "ended"};
	return kNames[size_t(_change)];
}

LimitChange recordLimitAnswer(RequestLimit& _limit, const LimitAnswer& _answer, TimeUs _now)
{
	if (_answer.perSecond)
	{
		const bool known = _limit.perSecond.has_value();
		const bool same = _limit.perSecond == _answer.perSecond;
		_limit = {_answer.perSecond, _now};
		return same ? LimitChange::None : known ? LimitChange::Changed : LimitChange::Stated;
	}
	if (!_limit.perSecond || !_answer.ran || _answer.sentAt <= _limit.confirmedAt)
	{
		return LimitChange::None;
	}
	_limit.perSecond.reset();
	return LimitChange::Ended;
}
} // namespace spanplank
