#include "spanplank/abandoned_attempts.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "crash_chance_p.h"

namespace spanplank
{
namespace
{
/// @returns Whether an upstream was probably still running a request as it ended.
bool wasRunning(const AbandonedAttempt& _attempt, TimeUs _crash)
{
	return _crash + kTimestampSlack >= _attempt.closedAt && _crash <= _attempt.closedAt + kRunsOn;
}

ObservedCrash crashOf(const AbandonedAttempt& _attempt, UpstreamKey _upstream, TimeUs _at)
{
	ObservedCrash crash{_upstream, _at, _at - _attempt.sentAt, _attempt.upstreams, 0};
	crash.writingFor = _attempt.beganAt == 0 ? 0 : std::max<TimeUs>(1, _at - _attempt.beganAt);
	return crash;
}

/// Moves the attempts that were closed just before a crash of their upstream.
void moveAtCrash(std::deque<AbandonedAttempt>& _attempts, UpstreamKey _upstream, TimeUs _crash,
				 std::vector<AbandonedAtCrash>& _taken)
{
	const auto running =
		std::stable_partition(_attempts.begin(), _attempts.end(), [_crash](const AbandonedAttempt& _attempt) {
			return !wasRunning(_attempt, _crash);
		});
	for (auto at = running; at != _attempts.end(); ++at)
	{
		const ObservedCrash crash = crashOf(*at, _upstream, _crash);
		_taken.push_back({std::move(*at), crash});
	}
	_attempts.erase(running, _attempts.end());
}
} // namespace

void recordAbandoned(AbandonedAttempts& _abandoned, UpstreamKey _upstream, AbandonedAttempt _attempt)
{
	std::deque<AbandonedAttempt>& attempts = _abandoned[_upstream];
	attempts.push_back(std::move(_attempt));
	if (attempts.size() > kMaxAbandoned)
	{
		attempts.pop_front();
	}
}

std::vector<AbandonedAtCrash> takeAtKnownCrashes(AbandonedAttempts& _abandoned, const SuspectTable& _suspects,
												 TimeUs _now)
{
	std::vector<AbandonedAtCrash> taken;
	for (auto at = _abandoned.begin(); at != _abandoned.end();)
	{
		std::deque<AbandonedAttempt>& attempts = at->second;
		const auto crash = _suspects.crashes.find(at->first);
		if (crash != _suspects.crashes.end())
		{
			moveAtCrash(attempts, at->first, crash->second, taken);
		}
		while (!attempts.empty() && _now - attempts.front().closedAt > kCrashReportTime)
		{
			attempts.pop_front();
		}
		at = attempts.empty() ? _abandoned.erase(at) : std::next(at);
	}
	return taken;
}

std::vector<AbandonedAtCrash> takeAtEnd(AbandonedAttempts& _abandoned, UpstreamKey _upstream, TimeUs _now)
{
	std::vector<AbandonedAtCrash> taken;
	const auto found = _abandoned.find(_upstream);
	if (found != _abandoned.end())
	{
		moveAtCrash(found->second, _upstream, _now, taken);
	}
	return taken;
}

std::vector<RequestDigest> recordInterrupted(SuspectTable& _suspects,
											 const std::vector<AbandonedAtCrash>& _attempts, TimeUs _now)
{
	std::vector<RequestDigest> refused;
	for (const AbandonedAtCrash& item : _attempts)
	{
		const std::vector<RequestDigest> more =
			recordInterrupted(_suspects, item.attempt.subjects, item.attempt.label, item.crash, _now);
		refused.insert(refused.end(), more.begin(), more.end());
	}
	return refused;
}
} // namespace spanplank
