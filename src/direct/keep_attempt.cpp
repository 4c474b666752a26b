/// Begun answers whose upstream pauses: the attempt is kept while others are asked to go on, so that a pause
/// never costs the answer of an upstream that would have gone on.
#include "attempt_p.h"
#include "fiber_runtime_p.h"

namespace spanplank
{
void endOthers(Serving& _serving, const LiveAttempt& _attempt)
{
	if (_serving.live.size() == 1 && !_serving.searching)
	{
		return;
	}
	++_serving.turns;
	_serving.wakeUp.ring();
	for (LiveAttempt* other : _serving.live)
	{
		if (other != &_attempt)
		{
			other->overtaken = true;
			other->call.cancel();
		}
	}
}

void keepBeside(Serving& _serving, LiveAttempt& _attempt)
{
	recordRetainedAttempt(_serving.plan, _attempt.notes.upstream.idx, _attempt.kept);
	_attempt.kept = true;
	for (LiveAttempt* older : _serving.live)
	{
		if (older != &_attempt &&
			!older->overtaken) // Two at a time: the one that has paused for longest ends.
		{
			older->dropped = true;
			older->call.cancel();
		}
	}
	++_serving.router.stats.resumed;
	_serving.searching = true;
	const uint32_t search = ++_serving.search;
	_serving.searches.push_back(startFiber([&_serving, search] {
		runAttempts(_serving, RetryDecision::Retry);
		_serving.searching = _serving.searching && _serving.search != search;
	}));
}

std::set<uint32_t> liveUpstreams(const Serving& _serving)
{
	std::set<uint32_t> upstreams;
	for (const LiveAttempt* attempt : _serving.live)
	{
		upstreams.insert(attempt->notes.upstream.idx);
	}
	return upstreams;
}

void cancelAttempts(Serving& _serving)
{
	_serving.wakeUp.ring();
	for (LiveAttempt* attempt : _serving.live)
	{
		attempt->call.cancel();
	}
}
} // namespace spanplank
