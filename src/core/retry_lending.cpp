/// Loans of retries between routers.
#include "spanplank/retry_lending.h"

#include <algorithm>
#include <set>

#include "spanplank/home_share.h"

namespace spanplank
{
namespace
{
/// Largest plausible number of retries in a row: 1,000 requests a second at one router, 10 s, ratio 1.
constexpr uint32_t kMaxRowRetries = 10000;
/// A loan with less time left is not passed on: the way to the borrower takes one or two exchanges of 60 ms.
constexpr TimeUs kMinRelayLife = 150 * kMsToUs;
/// A neighbour that has not answered is assumed to have nothing: a slow box may pause for some 100 ms.
constexpr TimeUs kAskTimeout = 300 * kMsToUs;
/// Answers without a loan after which a neighbour is not asked for some time. It asks its own neighbours
/// first, which takes an exchange for each level of the tree.
constexpr uint32_t kMaxMisses = 4;
constexpr TimeUs kSkipTime = 500 * kMsToUs; ///< Time for which such a neighbour is not asked.
/// Messages whose times are kept: at 60 ms between pings, more than those of one loan life.
constexpr size_t kMaxSentTimes = 32;
/// Borrowing is over for the log if no loan came for this long, so that it isn't logged for each loan.
constexpr TimeUs kBorrowingPause = 5 * kRetryLoanLife;

using WindowsByKey = std::map<ServiceKey, std::pair<const std::string*, RetryWindow*>>;

WindowsByKey windowsByKey(RetryWindows& _windows)
{
	WindowsByKey byKey;
	for (auto& [service, window] : _windows)
	{
		byKey[serviceKeyOf(service)] = {&service, &window};
	}
	return byKey;
}

RetryWindow* windowOf(const WindowsByKey& _windows, ServiceKey _service)
{
	const auto found = _windows.find(_service);
	return found == _windows.end() ? nullptr : found->second.second;
}

uint32_t sumOf(const std::deque<RetryLoan>& _loans)
{
	uint32_t sum = 0;
	for (const RetryLoan& loan : _loans)
	{
		sum += loan.retries;
	}
	return sum;
}

void dropLapsed(RetryLending& _lending, ServiceLending& _service, TimeUs _now)
{
	std::deque<RetryLoan>& loans = _service.relayed;
	const auto lapsed = [_now](const RetryLoan& _loan) {
		return _loan.until <= _now + kMinRelayLife;
	};
	for (const RetryLoan& loan : loans)
	{
		_lending.relayedLapsed += lapsed(loan) ? loan.retries : 0;
	}
	loans.erase(std::remove_if(loans.begin(), loans.end(), lapsed), loans.end());
}

/// Takes up to `_retries` from the loan that lapses last: it has the longest way to a borrower.
RetryLoan takeRelayed(ServiceLending& _service, uint32_t _retries)
{
	const auto last =
		std::max_element(_service.relayed.begin(), _service.relayed.end(),
						 [](const RetryLoan& _a, const RetryLoan& _b) { return _a.until < _b.until; });
	const RetryLoan taken{std::min(last->retries, _retries), last->until};
	last->retries -= taken.retries;
	if (last->retries == 0)
	{
		_service.relayed.erase(last);
	}
	return taken;
}

/// Uses relayed loans for what this router's own requests want.
void borrowRelayed(RetryLending& _lending, ServiceLending& _service, RetryWindow& _window, TimeUs _now)
{
	uint32_t wanted = wantedRetries(_window, kRetryLoanLife, _now);
	while (wanted > 0 && !_service.relayed.empty())
	{
		const RetryLoan loan = takeRelayed(_service, wanted);
		borrowRetries(_window, loan);
		wanted -= loan.retries;
		_lending.borrowed += loan.retries;
		_service.borrowed += loan.retries;
		_service.borrowedAt = _now;
	}
}

/// Compares what a neighbour lent with what it was asked for.
void recordAnswer(NeighbourRetries& _retries, uint32_t _lent, TimeUs _now)
{
	if (_retries.asked == 0)
	{
		return;
	}
	_retries.misses = _lent == 0 ? _retries.misses + 1 : 0;
	_retries.asked = 0;
	if (_retries.misses >= kMaxMisses)
	{
		_retries.misses = 0;
		_retries.skipUntil = _now + kSkipTime;
	}
}

/// @returns What is to be asked of a neighbour for the others and this router itself.
uint32_t askOf(RetryLending& _lending, ServiceKey _service, uint32_t _neighbour, uint32_t _ownWants,
			   TimeUs _now)
{
	uint32_t wanted = _ownWants;
	uint32_t covered = sumOf(_lending.services[_service].relayed);
	uint32_t lenders = 0; // Children that can be asked.
	for (auto& [link, neighbour] : _lending.neighbours)
	{
		NeighbourRetries& retries = neighbour.services[_service];
		const bool answers = retries.askedAt + kAskTimeout > _now;
		wanted += link != _neighbour ? retries.wanted : 0;
		covered += link != _neighbour && link != kParentNeighbour && answers ? retries.asked : 0;
		lenders += link != kParentNeighbour && retries.wanted == 0 && retries.skipUntil <= _now ? 1 : 0;
	}
	const uint32_t missing = wanted - std::min(wanted, covered);
	if (_neighbour == kParentNeighbour)
	{
		return missing;
	}
	const NeighbourRetries& retries = _lending.neighbours[_neighbour].services[_service];
	const bool lends = retries.wanted == 0 && retries.skipUntil <= _now;
	// Divided, so that no child's window is used up while others have room.
	return lends ? std::min(missing, (wanted + lenders - 1) / lenders) : 0;
}

/// Appends loans for a neighbour up to what it wants: relayed ones first, as they lapse, then own ones.
void lendTo(RetryLending& _lending, ServiceKey _service, NeighbourRetries& _retries, RetryWindow* _window,
			TimeUs _now, std::vector<RetryRow>& _rows)
{
	ServiceLending& service = _lending.services[_service];
	while (_retries.wanted > 0 && !service.relayed.empty())
	{
		const RetryLoan loan = takeRelayed(service, _retries.wanted);
		_rows.push_back({_service, 0, loan.retries, uint32_t((loan.until - _now) / kMsToUs)});
		_retries.wanted -= loan.retries;
		_lending.relayed += loan.retries;
	}
	const bool own = _window != nullptr && wantedRetries(*_window, kRetryLoanLife, _now) == 0;
	const uint32_t lent =
		own ? std::min(_retries.wanted, lendableRetries(*_window, kRetryLoanLife, _now)) : 0;
	if (lent > 0)
	{
		lendRetries(*_window, lent, _now + kRetryLoanLife);
		_rows.push_back({_service, 0, lent, uint32_t(kRetryLoanLife / kMsToUs)});
		_retries.wanted -= lent;
		_lending.lent += lent;
	}
}

bool isInRange(const RetryRow& _row)
{
	return _row.wanted <= kMaxRowRetries && _row.lent <= kMaxRowRetries &&
		   _row.leftMs <= uint32_t(kRetryLoanLife / kMsToUs);
}
} // namespace

ServiceKey serviceKeyOf(std::string_view _service)
{
	return ServiceKey(stableHash(_service));
}

void recordRetryMessage(RetryLending& _lending, uint32_t _neighbour, uint64_t _seq, TimeUs _now)
{
	auto& sent = _lending.neighbours[_neighbour].sent;
	sent.emplace_back(_seq, _now);
	if (sent.size() > kMaxSentTimes)
	{
		sent.pop_front();
	}
}

TimeUs retryLoanAge(const RetryLending& _lending, uint32_t _neighbour, uint64_t _seq, TimeUs _now)
{
	const auto found = _lending.neighbours.find(_neighbour);
	if (found == _lending.neighbours.end())
	{
		return kRetryLoanLife;
	}
	for (const auto& [seq, sentAt] : found->second.sent)
	{
		if (seq == _seq)
		{
			return std::min(_now - sentAt, kRetryLoanLife);
		}
	}
	return kRetryLoanLife;
}

void applyRetryRows(RetryLending& _lending, uint32_t _from, absl::Span<const RetryRow> _rows,
					RetryWindows& _windows, TimeUs _age, TimeUs _now)
{
	LendingNeighbour& neighbour = _lending.neighbours[_from];
	neighbour.heard = true;
	std::map<ServiceKey, uint32_t> lent;
	for (auto& [service, retries] : neighbour.services)
	{
		retries.wanted = 0;
	}
	for (const RetryRow& row : _rows)
	{
		if (!isInRange(row))
		{
			++_lending.rejectedRows;
			continue;
		}
		neighbour.services[row.service].wanted += row.wanted;
		const TimeUs until = _now - _age + TimeUs(row.leftMs) * kMsToUs;
		if (row.lent > 0 && until > _now)
		{
			_lending.services[row.service].relayed.push_back({row.lent, until});
			lent[row.service] += row.lent;
		}
	}
	for (auto& [service, retries] : neighbour.services)
	{
		recordAnswer(retries, lent[service], _now);
	}
	const WindowsByKey windows = windowsByKey(_windows);
	for (const auto& [service, retries] : lent)
	{
		RetryWindow* window = windowOf(windows, service);
		if (window != nullptr && retries > 0)
		{
			borrowRelayed(_lending, _lending.services[service], *window, _now);
		}
	}
}

std::vector<RetryRow> retryRowsFor(RetryLending& _lending, uint32_t _neighbour, RetryWindows& _windows,
								   TimeUs _now)
{
	std::vector<RetryRow> rows;
	const WindowsByKey windows = windowsByKey(_windows);
	std::set<ServiceKey> services;
	for (const auto& [service, window] : windows)
	{
		services.insert(service);
	}
	for (const auto& [link, neighbour] : _lending.neighbours)
	{
		for (const auto& [service, retries] : neighbour.services)
		{
			services.insert(service);
		}
	}
	for (const ServiceKey key : services)
	{
		RetryWindow* window = windowOf(windows, key);
		ServiceLending& service = _lending.services[key];
		NeighbourRetries& retries = _lending.neighbours[_neighbour].services[key];
		dropLapsed(_lending, service, _now);
		if (window != nullptr)
		{
			borrowRelayed(_lending, service, *window, _now);
		}
		lendTo(_lending, key, retries, window, _now, rows);
		const uint32_t ownWants = window != nullptr ? wantedRetries(*window, kRetryLoanLife, _now) : 0;
		retries.asked = std::min(askOf(_lending, key, _neighbour, ownWants, _now), kMaxRowRetries);
		retries.askedAt = _now;
		if (retries.asked > 0)
		{
			rows.push_back({key, retries.asked, 0, 0});
		}
	}
	return rows;
}

bool hasRetryNeighbour(const RetryLending& _lending)
{
	return std::any_of(_lending.neighbours.begin(), _lending.neighbours.end(),
					   [](const auto& _neighbour) { return _neighbour.second.heard; });
}

void forgetRetryNeighbour(RetryLending& _lending, uint32_t _neighbour)
{
	_lending.neighbours.erase(_neighbour);
}

std::vector<BorrowingChange> borrowingChanges(RetryLending& _lending, RetryWindows& _windows, TimeUs _now)
{
	std::vector<BorrowingChange> changes;
	for (auto& [name, window] : _windows)
	{
		const auto found = _lending.services.find(serviceKeyOf(name));
		if (found == _lending.services.end())
		{
			continue;
		}
		ServiceLending& service = found->second;
		const bool borrowing = service.borrowedAt != 0 && _now - service.borrowedAt < kBorrowingPause;
		if (borrowing == service.borrowing)
		{
			continue;
		}
		service.borrowing = borrowing;
		BorrowingChange change{name, borrowing};
		change.usedShare = usedShare(window, _now);
		change.wanted = wantedRetries(window, kRetryLoanLife, _now);
		if (!borrowing)
		{
			change.borrowed = service.borrowed - service.borrowedBefore;
			change.lapsed = window.lapsed - service.lapsedBefore;
			change.refused = window.refused - service.refusedBefore;
			service.borrowedBefore =
				service.borrowed; // The first loan of the next time comes before its begin.
		}
		service.lapsedBefore = window.lapsed;
		service.refusedBefore = window.refused;
		changes.push_back(change);
	}
	return changes;
}
} // namespace spanplank
