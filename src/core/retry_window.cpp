/// Counts requests and retries within the sliding window.
#include "spanplank/retry_window.h"

#include <algorithm>
#include <cmath>

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

/// Inserts a time so that the times stay sorted.
void insertSorted(std::deque<TimeUs>& _times, TimeUs _at, size_t _count = 1)
{
	_times.insert(std::upper_bound(_times.begin(), _times.end(), _at), _count, _at);
}

double maxRetries(RetryWindow& _window, TimeUs _now)
{
	const TimeUs oldest = _now - _window.length;
	dropOlder(_window.requests, oldest);
	dropOlder(_window.retries, oldest);
	while (!_window.borrowed.empty() && _window.borrowed.front().acquiredAt < oldest)
	{
		_window.borrowed.pop_front();
	}
	return _window.ratio * double(_window.requests.size()) + _window.burst;
}

/// @returns Whether a loan was there to use.
bool useLoan(RetryWindow& _window, TimeUs _now)
{
	if (borrowedRetries(_window, _now) == 0)
	{
		return false;
	}
	RetryLoan& loan = _window.loans.front();
	_window.borrowed.push_back({_now, loan.until});
	if (--loan.retries == 0)
	{
		_window.loans.pop_front();
	}
	return true;
}

void recordDemand(RetryWindow& _window, TimeUs _now)
{
	if (_window.shared)
	{
		dropOlder(_window.demand, _now - kRetryDemandSpan);
		_window.demand.push_back(_now);
	}
}

/// Demand of recent time, scaled to one `_life`.
double demandFor(RetryWindow& _window, TimeUs _life, TimeUs _now)
{
	dropOlder(_window.demand, _now - kRetryDemandSpan);
	return double(_window.demand.size()) * double(_life) / double(kRetryDemandSpan);
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
	recordDemand(_window, _now);
	if (useLoan(_window, _now))
	{
		return true;
	}
	if (double(_window.retries.size() + 1) > allowed)
	{
		++_window.refused;
		return false;
	}
	insertSorted(_window.retries, _now);
	return true;
}

void recordRefusedRetry(RetryWindow& _window, TimeUs _now)
{
	recordDemand(_window, _now);
	++_window.refused;
}

bool allowsRetries(RetryWindow& _window, uint32_t _retries, TimeUs _now)
{
	const uint32_t borrowed = borrowedRetries(_window, _now);
	const uint32_t own = _retries - std::min(_retries, borrowed);
	return own == 0 || double(_window.retries.size() + own) <= maxRetries(_window, _now);
}

void releaseRetry(RetryWindow& _window, TimeUs _acquiredAt)
{
	const auto borrowed =
		std::find_if(_window.borrowed.begin(), _window.borrowed.end(),
					 [_acquiredAt](const BorrowedRetry& _retry) { return _retry.acquiredAt == _acquiredAt; });
	if (borrowed != _window.borrowed.end())
	{
		borrowRetries(_window, {1, borrowed->until});
		_window.borrowed.erase(borrowed);
		return;
	}
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

uint32_t borrowedRetries(RetryWindow& _window, TimeUs _now)
{
	while (!_window.loans.empty() && _window.loans.front().until <= _now)
	{
		_window.lapsed += _window.loans.front().retries;
		_window.loans.pop_front();
	}
	uint32_t retries = 0;
	for (const RetryLoan& loan : _window.loans)
	{
		retries += loan.retries;
	}
	return retries;
}

uint32_t wantedRetries(RetryWindow& _window, TimeUs _life, TimeUs _now)
{
	const double unreserved = maxRetries(_window, _now) * (1.0 - kRetryReserveShare);
	const double room = std::max(0.0, std::floor(unreserved) - double(_window.retries.size()));
	const double missing =
		std::ceil(demandFor(_window, _life, _now)) - room - double(borrowedRetries(_window, _now));
	return uint32_t(std::max(0.0, missing));
}

uint32_t lendableRetries(RetryWindow& _window, TimeUs _life, TimeUs _now)
{
	const double byRequests = maxRetries(_window, _now) - _window.burst;
	const double used = double(_window.retries.size()) + demandFor(_window, _life, _now);
	return uint32_t(std::max(0.0, std::floor(byRequests * (1.0 - kRetryReserveShare) - used)));
}

void lendRetries(RetryWindow& _window, uint32_t _retries, TimeUs _until)
{
	insertSorted(_window.retries, _until, _retries);
}

void borrowRetries(RetryWindow& _window, const RetryLoan& _loan)
{
	const auto later =
		std::upper_bound(_window.loans.begin(), _window.loans.end(), _loan,
						 [](const RetryLoan& _a, const RetryLoan& _b) { return _a.until < _b.until; });
	_window.loans.insert(later, _loan);
}
} // namespace spanplank
