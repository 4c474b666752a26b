/// Records what upstreams say about themselves in their answers, with its log events.
#include "upstream_notices_p.h"

#include <fmt/format.h>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "spanplank/http_status.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kFieldLogPause = 100 * kMsToUs; ///< Between two log lines on invalid fields.

void countInvalidFields(Serving& _serving, const AttemptNotes& _notes, const platform::AnswerHeaders& _answer,
						TimeUs _now)
{
	DirectRouter& router = _serving.router;
	for (const std::string& field : _answer.invalidFields)
	{
		++router.stats.answerFieldsIgnored[field];
		if (_now - router.answerFieldLoggedAt < kFieldLogPause)
		{
			continue;
		}
		router.answerFieldLoggedAt = _now;
		logEvent("answer_field_ignored",
				 {{"upstream", _notes.record.id}, {"request", _serving.call.requestId}, {"field", field}});
	}
}

void recordLimit(Serving& _serving, const AttemptNotes& _notes, const platform::AnswerHeaders& _answer,
				 UpstreamEntry& _entry, TimeUs _now)
{
	const LimitAnswer answer{_answer.requestLimit, !_answer.notRun, _notes.begin + _notes.sentAfter};
	const std::optional<double> before = _entry.limit.perSecond;
	const LimitChange change = recordLimitAnswer(_entry.limit, answer, _now);
	if (change == LimitChange::None)
	{
		return;
	}
	++_serving.router.stats.limitChanges[name(change)];
	logEvent("upstream_limit", {{"upstream", _entry.record.id},
								{"born", std::to_string(_entry.record.startedAtMs)},
								{"change", name(change)},
								{"per_second", fmt::format("{:.3f}", _answer.requestLimit.value_or(0.0))},
								{"before", fmt::format("{:.3f}", before.value_or(0.0))},
								{"request", _serving.call.requestId}});
}
} // namespace

void recordNotices(Serving& _serving, const AttemptNotes& _notes, const platform::AnswerHeaders& _answer,
				   int _status)
{
	// Another upstream at the same address answers 421, and a harmed connection may bring anything.
	const bool own = _answer.signedByUpstream || (_answer.notRun && _status != status::kMisdirected);
	const auto found = _serving.router.upstreams.entries.find(_notes.upstream.idx);
	if (!own || found == _serving.router.upstreams.entries.end())
	{
		return;
	}
	const TimeUs now = monotonicNow();
	countInvalidFields(_serving, _notes, _answer, now);
	recordLimit(_serving, _notes, _answer, found->second, now);
}
} // namespace spanplank
