/// Records what upstreams say about themselves in their answers, with its log events.
#include "upstream_notices_p.h"

#include <fmt/format.h>
#include <optional>

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

/// @param[in] _source Request whose answer stated the limit, or router that reported it.
void logLimit(DirectRouter& _router, UpstreamId _upstream, LimitChange _change, std::optional<double> _before,
			  const LogField& _source)
{
	const UpstreamEntry& entry = _router.upstreams.entries.at(_upstream.idx);
	++_router.stats.limitChanges[name(_change)];
	logEvent("upstream_limit", {{"upstream", entry.record.id},
								{"born", std::to_string(entry.record.startedAtMs)},
								{"hall", entry.record.hall},
								{"change", name(_change)},
								{"per_second", fmt::format("{:.3f}", entry.limit.perSecond.value_or(0.0))},
								{"before", fmt::format("{:.3f}", _before.value_or(0.0))},
								{"version", std::to_string(entry.limit.version)},
								_source});
}

void recordLimit(Serving& _serving, const AttemptNotes& _notes, const platform::AnswerHeaders& _answer,
				 std::optional<double> _before, TimeUs _now)
{
	const LimitAnswer answer{_answer.requestLimit, !_answer.notRun, _notes.begin + _notes.sentAfter};
	const LimitChange change = recordLimitAnswer(_serving.router.upstreams, _notes.upstream, answer, _now);
	if (change != LimitChange::None)
	{
		logLimit(_serving.router, _notes.upstream, change, _before, {"request", _serving.call.requestId});
	}
}

void noteLeaving(Serving& _serving, UpstreamId _upstream)
{
	UpstreamTable& table = _serving.router.upstreams;
	const UpstreamRecord& record = table.entries.at(_upstream.idx).record;
	const bool known = record.draining;
	if (recordLeaving(table, _upstream))
	{
		logEvent("upstream_leaving", {{"upstream", record.id},
									  {"born", std::to_string(record.startedAtMs)},
									  {"known", known ? "1" : "0"},
									  {"request", _serving.call.requestId}});
	}
}

/// @param[in] _askedMs Rest that a rejection asked for; empty if the answer asks for none.
void noteRest(Serving& _serving, AttemptNotes& _notes, UpstreamEntry& _entry, std::optional<double> _askedMs,
			  TimeUs _now)
{
	if (!_askedMs && _notes.asRestProbe)
	{
		endRestProbe(_entry.rest, true);
		_notes.asRestProbe = false;
		logEvent("upstream_rest_over",
				 {{"upstream", _entry.record.id}, {"request", _serving.call.requestId}});
	}
	if (!_askedMs)
	{
		return;
	}
	++_serving.router.stats.restsAsked;
	if (recordRestAsked(_entry.rest, *_askedMs, nextUnit(_serving.router.random), _now))
	{
		logEvent("upstream_rest", {{"upstream", _entry.record.id},
								   {"born", std::to_string(_entry.record.startedAtMs)},
								   {"asked_ms", fmt::format("{:.0f}", *_askedMs)},
								   {"for_ms", std::to_string((_entry.rest.until - _now) / kMsToUs)},
								   {"request", _serving.call.requestId}});
	}
}
} // namespace

void recordNotices(Serving& _serving, AttemptNotes& _notes, const platform::AnswerHeaders& _answer,
				   int _status)
{
	// Another upstream at the same address answers 421, and a harmed connection may bring anything.
	const bool marked = _answer.signedByUpstream || _answer.notRun || _answer.hasRequestId;
	const bool own = marked && _status != status::kMisdirected;
	const auto found = _serving.router.upstreams.entries.find(_notes.upstream.idx);
	if (!own || found == _serving.router.upstreams.entries.end())
	{
		return;
	}
	const TimeUs now = monotonicNow();
	countInvalidFields(_serving, _notes, _answer, now);
	recordLimit(_serving, _notes, _answer, found->second.limit.perSecond, now);
	noteRest(_serving, _notes, found->second, _answer.restMs, now);
	if (_answer.leaving)
	{
		noteLeaving(_serving, _notes.upstream);
	}
}

void takePeerLimits(DirectRouter& _router, const std::vector<LimitUpdate>& _limits, LinkId _link)
{
	const PeerInfo* peer = _router.peers.hub->peer(_link);
	for (const AdoptedLimit& adopted : applyLimitUpdates(_router.upstreams, _limits, monotonicNow()))
	{
		logLimit(_router, adopted.upstream, adopted.change, adopted.before,
				 {"router", peer != nullptr ? peer->box : ""});
	}
}
} // namespace spanplank
