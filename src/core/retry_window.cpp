/// Counts requests and retries within the sliding window.
#include "spanplank/retry_window.h"

#include <algorithm>

namespace spanplank
{
namespace
{
void dropOlder(std::deque<TimeUs>& _times, TimeUs _before)
{
	while (!_times.empty() && _times.front() < _before)
	{
		_times.pop_front();
	}
}

double maxRetries(RetryWindow& _window, TimeUs _now)
{
	dropOlder(_window.requests, _now - _window.length);
	dropOlder(_window.retries, _now - _window.length);
	return _window.ratio * double(_window.requests.size()) + _window.burst;
}
} // namespace

void recordRequest(RetryWindow& _window, TimeUs _now)
{
	dropOlder(_window.requests, _now - _window.length);
	_window.requests.push_back(_now);
}

bool acquireRetry(RetryWindow& _window, TimeUs _now, double _share)
{
	const double allowed = maxRetries(_window, _now) * _share;
	if (double(_window.retries.size() + 1) > allowed)
	{
		return false;
	}
	_window.retries.push_back(_now);
	return true;
}

bool allowsRetries(RetryWindow& _window, uint32_t _retries, TimeUs _now)
{
	return double(_window.retries.size() + _retries) <= maxRetries(_window, _now);
}

void releaseRetry(RetryWindow& _window, TimeUs _acquiredAt)
{
	const auto acquired = std::find(_window.retries.begin(), _window.retries.end(), _acquiredAt);
	if (acquired != _window.retries.end())
	{
		_window.retries.erase(acquired);
	}
}

double usedShare(RetryWindow& _window, TimeUs _now)
{
	const double allowed = maxRetries(_window, _now);
	return allowed > 0.0 ? double(_window.retries.size()) / allowed : 1.0;
}
} // namespace spanplank
