#include "soak_load.h"

#include <algorithm>
#include <fmt/format.h>

namespace spanplank
{
namespace
{
constexpr uint32_t kSlowTimes = 4;
constexpr uint32_t kSlowOneIn = 3;            ///< Upstreams, in the order in which they are added.
constexpr TimeUs kRetryWindow = 10 * kSecond; ///< The routers' default.
constexpr double kRetryBurst = 2.0;           ///< Of each router process, see `RetryWindow::burst`.
/// From the moment in which a router counts a retry until the upstream gets it, on a machine with free cores.
constexpr TimeUs kRetryFlight = 1 * kSecond;

/// @returns The retries that the settings allow in the window that ends with an arrival at a service.
double allowedUntil(const Soak& _soak, const SoakRetry& _last, TimeUs _heldUpBefore, bool _engines)
{
	const TimeUs lateness = (_last.heldUp - _heldUpBefore) / TimeUs(_soak.routers.size());
	const TimeUs from = _last.at - kRetryWindow - kRetryFlight - lateness;
	double allowed = 0.0;
	for (const auto& [id, record] : _soak.requests)
	{
		const bool counts = record.router != nullptr && record.sentAt > from && record.sentAt <= _last.at &&
							(record.path == "/chat/") == _engines;
		allowed += counts ? record.router->retryRatio : 0.0;
	}
	for (const auto& router : _soak.routers)
	{
		const auto begun = std::count_if(router->starts.begin(), router->starts.end(),
										 [&](TimeUs _start) { return _start > from && _start <= _last.at; });
		allowed += kRetryBurst * double(1 + begun); // The process that ran before may have sent some too.
	}
	return allowed;
}
} // namespace

uint32_t slownessOf(const SoakUpstream& _end)
{
	const bool slow = absl::GetFlag(FLAGS_uneven) && _end.upstream->service == "engines" &&
					  std::stoul(_end.upstream->id.substr(2)) % kSlowOneIn == 0; // Ids are `u-NUMBER`.
	return slow ? kSlowTimes : 1;
}

void addLargeAccount(Soak& _soak)
{
	if (absl::GetFlag(FLAGS_large) > 0)
	{
		_soak.config["tenants"].push_back({{"name", "large"}, {"api_keys", {kLargeKey}}, {"priority", 1}});
	}
}

void noteRetry(Soak& _soak, const RequestRecord& _record)
{
	if (_record.arrivals > 1)
	{
		_soak.retries[_record.path == "/chat/" ? 1 : 0].push_back({monotonicNow(), _soak.heldUp});
	}
}

void checkRetries(Soak& _soak)
{
	for (const bool engines : {false, true})
	{
		const std::vector<SoakRetry>& retries = _soak.retries[engines ? 1 : 0];
		double largest = 0.0;
		for (size_t first = 0, end = 0; end < retries.size() && largest <= 1.0; ++end)
		{
			while (retries[first].at <= retries[end].at - kRetryWindow)
			{
				++first;
			}
			const double allowed = allowedUntil(_soak, retries[end], retries[first].heldUp, engines);
			largest = std::max(largest, double(end + 1 - first) / allowed);
		}
		const std::string seen = fmt::format("retries of {}: {}, in one window {:.2f} of what is allowed",
											 engines ? "engines" : "app", retries.size(), largest);
		largest > 1.0 ? breach(_soak, seen) : note(_soak, seen);
	}
}
} // namespace spanplank
