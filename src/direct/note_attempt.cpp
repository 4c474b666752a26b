/// What an attempt's end tells of its upstream and of a version on trial, with its log events.
#include <algorithm>
#include <fmt/format.h>

#include "attempt_p.h"
#include "await_room_p.h"
#include "completion_time_p.h"
#include "fiber_runtime_p.h"
#include "load_control_p.h"
#include "log_p.h"

namespace spanplank
{
namespace
{
/// Events whose mean pause says something.
constexpr int64_t kLeastPauses = 1;

/// @returns The mean pause between the events of an attempt, in milliseconds; 0: too few came.
double pauseMs(const AttemptNotes& _notes)
{
	const int64_t pauses = _notes.lastEventId - _notes.firstEventsId;
	if (_notes.firstEventsAt == 0 || pauses < kLeastPauses)
	{
		return 0.0;
	}
	return double(_notes.lastEventsAt - _notes.firstEventsAt) / double(kMsToUs) / double(pauses);
}

AnswerTimes timesOf(const Serving& _serving, const AttemptNotes& _notes)
{
	AnswerTimes times;
	const std::string model = modelOf(_serving);
	const double headMs = double(_notes.headAfter) / double(kMsToUs);
	if (!_serving.plan.stream)
	{
		times.timePerTokenKind = _notes.headAfter != 0 ? _serving.route->name : "";
		times.timePerTokenMs = headMs;
		return times;
	}
	times.firstTokenKind = _notes.headAfter != 0 ? _serving.route->name + " " + model : "";
	times.firstTokenMs = headMs;
	times.timePerTokenMs = pauseMs(_notes);
	if (times.timePerTokenMs > 0.0)
	{
		times.timePerTokenKind = _serving.plan.models.empty() ? _serving.route->name : model;
	}
	return times;
}

HealthOutcome signOf(AttemptEnd _end)
{
	switch (_end)
	{
	case AttemptEnd::Complete:
	case AttemptEnd::LowConfidence:
		return HealthOutcome::Good;
	case AttemptEnd::NotSent:
		return HealthOutcome::Unreachable;
	case AttemptEnd::Failed:
	case AttemptEnd::Aborted:
	case AttemptEnd::Misdirected:
		return HealthOutcome::Failed;
	case AttemptEnd::Unresponsive:
	case AttemptEnd::DeadlineExceeded:
		return HealthOutcome::TimedOut;
	case AttemptEnd::NotRun:
	case AttemptEnd::CallerDisconnected:
	case AttemptEnd::Superseded:
		break;
	}
	return HealthOutcome::None;
}

void noteTrial(Serving& _serving, const AttemptNotes& _notes, AttemptEnd _end)
{
	DirectRouter& router = _serving.router;
	const UpstreamRecord& upstream = _notes.record;
	TrialOutcome sign = TrialOutcome::Good;
	switch (_end)
	{
	case AttemptEnd::Complete:
	case AttemptEnd::LowConfidence:
		break;
	case AttemptEnd::Failed:
		sign = TrialOutcome::Bad;
		_serving.failedOnTrial =
			_serving.failedOnTrial || isOnTrial(router.trials, _serving.service, upstream.version);
		break;
	case AttemptEnd::Unresponsive:
	case AttemptEnd::DeadlineExceeded:
		sign = TrialOutcome::TimedOut;
		break;
	default:
		return; // Crashes, cuts and full upstreams say nothing of a version.
	}
	const TrialAnswer answer{upstream.version,          _serving.route->name, incarnationName(upstream), sign,
							 timesOf(_serving, _notes), _notes.begin};
	if (recordTrialAnswer(router.trials, _serving.service, answer, monotonicNow()))
	{
		logEvent("rollout_halted",
				 {{"service", _serving.service},
				  {"version", upstream.version},
				  {"request", _serving.call.requestId},
				  {"evidence", describeEvidence(router.trials.trials.at(_serving.service))}});
	}
}

/// What an attempt's end tells of where it came to. One that was reset before its head came may or may not
/// have arrived: it counts as exposed, and not as one that has reached its upstream.
void noteExposure(Serving& _serving, const AttemptNotes& _notes, AttemptEnd _end)
{
	if (_end == AttemptEnd::NotSent || _notes.sentAfter == 0)
	{
		recordTrialUnsent(_serving.router.trials, _serving.service, _notes.trial);
		return;
	}
	const bool silent = _end == AttemptEnd::Unresponsive || _end == AttemptEnd::DeadlineExceeded;
	if (silent && _notes.headAfter == 0) // Else it was noted with its head.
	{
		noteReached(_serving, _notes);
	}
}

/// The first model's prompts are the shortest: what they wait is what the engines are busy with.
void notePressure(Serving& _serving, const AttemptNotes& _notes, AttemptEnd _end, TimeUs _now)
{
	if (_serving.plan.models.empty() || _serving.plan.model != 0)
	{
		return;
	}
	if (_notes.headAfter == 0 && _end != AttemptEnd::Unresponsive)
	{
		return;
	}
	const TimeUs after = _notes.headAfter != 0 ? _notes.headAfter : _now - _notes.begin;
	recordFirstTokenTime(_serving.router.pressure[_serving.service], _serving.plan, after);
}

/// Samples with fewer pauses between events show the network rather than the engine.
constexpr int64_t kMinPacePauses = 4;
/// Interval of the samples of a stream.
constexpr TimeUs kPacePeriod = 1000 * kMsToUs;
/// Share of a sample's time that may be spent on writing to the caller. The router reads no further event
/// meanwhile, so a slow caller would appear as a slow engine.
constexpr double kMaxCallerShare = 0.1;

std::string speedKind(const AttemptNotes& _notes)
{
	return _notes.record.service + " " + std::string(_notes.query.model);
}

UpstreamKey upstreamKey(const AttemptNotes& _notes)
{
	return keyOf(_notes.record.id, _notes.record.startedAtMs);
}

/// Samples at the end of an attempt. Ends that speak of the caller, of a connection or of another attempt
/// that went on are none.
void noteSpeed(Serving& _serving, AttemptNotes& _notes, AttemptEnd _end, TimeUs _now)
{
	if (_end == AttemptEnd::Complete || _end == AttemptEnd::DeadlineExceeded)
	{
		noteTokenTime(_serving, _notes, true);
	}
	// An attempt that was given up without a head took at least this long. Without it the slowest answers of
	// an engine would not count.
	const double tookMs = double(_now - _notes.begin - _notes.sentAfter) / double(kMsToUs);
	const bool silent = _end == AttemptEnd::Unresponsive && _notes.sentAfter != 0 && _notes.headAfter == 0;
	if (silent && _notes.meanMs > 0.0 && tookMs > _notes.meanMs)
	{
		recordFirstTokenRatio(_serving.router.upstreams.speeds, upstreamKey(_notes), _notes.meanMs, tookMs,
							  _now);
	}
}

constexpr const char* kWithdrawn = "withdrawn"; ///< In logs and counters, beside the names of `AttemptEnd`.

void logAttempt(const Serving& _serving, const AttemptNotes& _notes, const char* _end, TimeUs _now)
{
	const auto entry = _serving.router.upstreams.entries.find(_notes.upstream.idx);
	const bool known = entry != _serving.router.upstreams.entries.end();
	const EngineSpeedTable& speeds = _serving.router.upstreams.speeds;
	logEvent(
		"attempt_ended",
		{{"request", _serving.call.requestId},
		 {"end", _end},
		 {"upstream", _notes.record.id},
		 {"hall", _notes.record.hall},
		 {"born", std::to_string(_notes.record.startedAtMs)},
		 {"cold", _notes.asCold ? "1" : "0"},
		 {"limited", _notes.asLimited ? "1" : "0"},
		 {"rest_probe", _notes.asRestProbe ? "1" : "0"},
		 {"version", _notes.record.version},
		 {"route", _serving.route->name},
		 {"session", _serving.call.session},
		 {"model", std::string(_notes.query.model)},
		 {"prompt_tokens", std::to_string(_serving.call.promptTokens)},
		 {"confidence", fmt::format("{:.0f}", _notes.confidence)},
		 {"config", std::to_string(_serving.config->version)},
		 {"in_flight", std::to_string(known ? entry->second.inFlight : 0)},
		 {"subject",
		  _notes.query.shared.empty() ? "" : fmt::format("{:x}", _notes.query.shared.back().hash & 0xffffff)},
		 {"expected_ms", fmt::format("{:.0f}", _notes.expectedMs)},
		 {"first_token_factor", fmt::format("{:.2f}", firstTokenFactor(speeds, upstreamKey(_notes), _now))},
		 {"token_factor", fmt::format("{:.2f}", tokenFactor(speeds, upstreamKey(_notes), _now))},
		 {"own_tokens", std::to_string(_notes.query.ownTokens)},
		 {"waiting_ms", fmt::format("{:.0f}", known ? entry->second.prefillMs : 0.0)},
		 {"error", _notes.error},
		 {"expected_end_ms", fmt::format("{:.0f}", _notes.expectedEndMs)},
		 {"answer_tokens", fmt::format("{:.0f}", _notes.query.answerTokens)},
		 {"table_revision", std::to_string(_notes.tableRevision)},
		 {"table_age_ms", millisText(_notes.tableAge)},
		 {"sent_ms", millisText(_notes.sentAfter)},
		 {"head_ms", millisText(_notes.headAfter)},
		 {"last_event", std::to_string(_serving.lastEventId)},
		 {"body_bytes", std::to_string(_notes.bodyBytes)},
		 {"caller_ms", millisText(_notes.writeTime)},
		 {"pause_ms", fmt::format("{:.1f}", pauseMs(_notes))},
		 {"took_ms", millisText(_now - _notes.begin)}});
}

void logHealthChange(const Serving& _serving, const UpstreamRecord& _upstream, HealthChange _change,
					 AttemptEnd _end)
{
	if (_change == HealthChange::None)
	{
		return;
	}
	logEvent(_change == HealthChange::Ejected ? "upstream_ejected" : "upstream_returned",
			 {{"upstream", _upstream.id},
			  {"service", _upstream.service},
			  {"request", _serving.call.requestId},
			  {"end", name(_end)}});
}
} // namespace

namespace
{
/// A probe that ended without an answer that accepts it: another one may follow.
void noteProbeEnd(DirectRouter& _router, const AttemptNotes& _notes)
{
	const auto found = _router.upstreams.entries.find(_notes.upstream.idx);
	if (_notes.asRestProbe && found != _router.upstreams.entries.end())
	{
		endRestProbe(found->second.rest, false);
	}
}
} // namespace

void noteFirstToken(Serving& _serving, const AttemptNotes& _notes)
{
	if (_notes.meanMs <= 0.0)
	{
		return;
	}
	DirectRouter& router = _serving.router;
	const double seenMs = double(_notes.headAfter - _notes.sentAfter) / double(kMsToUs);
	recordFirstTokenRatio(router.upstreams.speeds, upstreamKey(_notes), _notes.meanMs, seenMs,
						  monotonicNow());
	if (_notes.expectedMs > 0.0)
	{
		noteRatio(router.stats.firstToken, double(_notes.headAfter) / double(kMsToUs) / _notes.expectedMs);
	}
}

void noteTokenTime(Serving& _serving, AttemptNotes& _notes, bool _ended)
{
	const TimeUs time = _notes.lastEventsAt - _notes.paceFrom;
	const int64_t pauses = _notes.lastEventId - _notes.paceFromId;
	if (!_notes.query.bySpeed || _notes.paceFrom == 0 || (time < kPacePeriod && !_ended))
	{
		return;
	}
	const ServiceInfo* info = serviceInfo(_serving.router, _serving.service);
	const uint32_t perEvent = info == nullptr ? 1 : std::max(1u, info->tokensPerEvent);
	const bool slowCaller = double(_notes.callerTime) > kMaxCallerShare * double(time);
	if (pauses >= kMinPacePauses && !slowCaller)
	{
		const double ms = double(time) / double(kMsToUs) / double(pauses) / double(perEvent);
		recordTokenTime(_serving.router.upstreams.speeds, upstreamKey(_notes), speedKind(_notes), ms,
						monotonicNow());
	}
	_notes.paceFrom = _notes.lastEventsAt;
	_notes.paceFromId = _notes.lastEventId;
	_notes.callerTime = 0;
}

void noteReached(Serving& _serving, const AttemptNotes& _notes)
{
	recordTrialReached(_serving.router.trials, _serving.service, _notes.trial);
}

void noteWithdrawn(Serving& _serving, const AttemptNotes& _notes)
{
	DirectRouter& router = _serving.router;
	const TimeUs now = monotonicNow();
	recordTrialUnsent(router.trials, _serving.service, _notes.trial);
	noteProbeEnd(router, _notes);
	recordEnded(router.upstreams, _notes.upstream, _notes.prefillMs, HealthOutcome::None, now);
	++router.stats.attempts[kWithdrawn];
	logAttempt(_serving, _notes, kWithdrawn, now);
}

void noteAttemptEnd(Serving& _serving, AttemptNotes& _notes, AttemptEnd _end)
{
	DirectRouter& router = _serving.router;
	const TimeUs now = monotonicNow();
	const HealthChange change =
		recordEnded(router.upstreams, _notes.upstream, _notes.prefillMs, signOf(_end), now);
	logHealthChange(_serving, _notes.record, change, _end);
	noteProbeEnd(router, _notes);
	if (_end == AttemptEnd::Complete)
	{
		recordStreamEnd(_serving, _notes, now);
		noteWorkTime(_serving, _notes, now);
	}
	noteSpeed(_serving, _notes, _end, now);
	noteExposure(_serving, _notes, _end);
	noteTrial(_serving, _notes, _end);
	notePressure(_serving, _notes, _end, now);
	++router.stats.attempts[name(_end)];
	logAttempt(_serving, _notes, name(_end), now);
}
} // namespace spanplank
