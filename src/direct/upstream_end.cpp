/// Tells an upstream that has ended from a connection that broke, and under which requests it ended.
#include <fmt/format.h>
#include <mutex>

#include "attempt_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "suspects_p.h"

namespace spanplank
{
namespace
{
/// What a probe found holds for requests that broke at about the same time.
constexpr TimeUs kProbeHolds = 200 * kMsToUs;
/// The sockets of a process that ends close one after the other, so it may take a connection for a moment
/// after it has closed others.
constexpr uint32_t kEndingMs = 100;

/// Starts a probe, waits for the one that runs, or takes the newest one's result if it is not older than
/// `_maxAge`.
UpstreamReach probe(DirectRouter& _router, const AttemptNotes& _notes, TimeUs _maxAge = kProbeHolds)
{
	const uint32_t idx = _notes.upstream.idx;
	const auto known = _router.probes.find(idx);
	if (known != _router.probes.end() &&
		(!known->second->done || monotonicNow() - known->second->at < _maxAge))
	{
		const std::shared_ptr<ReachProbe> running = known->second;
		std::unique_lock<boost::fibers::mutex> lock(running->mutex);
		running->ready.wait(lock, [&running] { return running->done; });
		return running->reach;
	}
	const auto mine = std::make_shared<ReachProbe>();
	_router.probes[idx] = mine;
	mine->reach = tryConnection(_router.pool, _notes.upstream, _notes.record.address);
	mine->at = monotonicNow();
	mine->done = true;
	mine->ready.notify_all();
	_router.stats.upstreamsEnded += mine->reach == UpstreamReach::Refuses ? 1 : 0;
	return mine->reach;
}

/// @returns Whether an upstream was expected to end: that says nothing of the requests at work there.
bool wasToEnd(const DirectRouter& _router, const AttemptNotes& _notes)
{
	const auto found = _router.upstreams.entries.find(_notes.upstream.idx);
	if (found == _router.upstreams.entries.end())
	{
		return true;
	}
	const UpstreamEntry& entry = found->second;
	const auto trial = _router.trials.trials.find(_notes.record.service);
	const bool replaced = trial != _router.trials.trials.end() &&
						  trial->second.state == RolloutState::Completed &&
						  trial->second.order.version != _notes.record.version;
	if (replaced || _notes.lost)
	{
		return replaced || entry.leftBeforeRestart; // The entry itself reads as one that has left.
	}
	return entry.record.draining || (!entry.registered && entry.lapse.cause == RemovalCause::Deregistered);
}

void logEnded(Serving& _serving, const AttemptNotes& _notes, TimeUs _now)
{
	logEvent("upstream_ended", {{"upstream", _notes.record.id},
								{"service", _notes.record.service},
								{"request", _serving.call.requestId},
								{"digest", digestToHex(subjectsOf(_serving).request)},
								{"route", _serving.route->name},
								{"account", _serving.account != nullptr ? _serving.account->name : ""},
								{"why", _notes.lost ? "started_again" : "refuses_connections"},
								{"parts", sharedPartsText(subjectsOf(_serving))},
								{"head_ms", millisText(_notes.headAfter)},
								{"last_event", std::to_string(_notes.lastEventId)},
								{"took_ms", millisText(_now - _notes.begin)}});
}
} // namespace

bool endedWithUpstream(const Serving& _serving, const AttemptNotes& _notes)
{
	// Also of one that was to end: that says nothing of whether it had finished.
	DirectRouter& router = _serving.router;
	if (!_notes.endsWithConnection || probe(router, _notes) == UpstreamReach::Refuses)
	{
		return _notes.endsWithConnection;
	}
	if (!wasToEnd(router, _notes))
	{
		return false;
	}
	sleepFor(kEndingMs);
	return probe(router, _notes, TimeUs(kEndingMs) * kMsToUs / 2) == UpstreamReach::Refuses;
}

void noteIfEnded(Serving& _serving, const AttemptNotes& _notes)
{
	DirectRouter& router = _serving.router;
	if (wasToEnd(router, _notes))
	{
		return;
	}
	if (!_notes.lost && probe(router, _notes) != UpstreamReach::Refuses)
	{
		suspectLater(_serving, _notes);
		return;
	}
	logEnded(_serving, _notes, monotonicNow());
	suspect(_serving, _notes);
}

void noteIfAbandoned(Serving& _serving, const AttemptNotes& _notes, AttemptEnd _end)
{
	DirectRouter& router = _serving.router;
	switch (_end)
	{
	case AttemptEnd::CallerDisconnected:
	case AttemptEnd::Superseded:
	case AttemptEnd::LowConfidence:
	case AttemptEnd::Unresponsive:
	case AttemptEnd::DeadlineExceeded:
		if (_notes.sentAfter != 0)
		{
			suspectAbandoned(_serving, _notes);
		}
		break;
	case AttemptEnd::NotSent:
		if (!wasToEnd(router, _notes) && hasRefused(router.pool, _notes.upstream, _notes.begin))
		{
			suspectAtRefusal(router, _notes);
		}
		break;
	default:
		break;
	}
}
} // namespace spanplank
