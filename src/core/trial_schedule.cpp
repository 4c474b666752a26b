/// Schedule of a trial and its constants.
#include "trial_schedule_p.h"

#include <algorithm>

namespace spanplank
{
namespace
{
// Parts of a roll-out's duration.
/// Part after which the new version gets its first requests; its upstreams have started by then.
constexpr double kTrialStartPart = 0.1;
/// Part after which the new version gets its first sessions; all sessions stay on the baseline version for
/// the first half.
constexpr double kSessionStartPart = 0.53;

// Parts of the exposure bound.
/// Share of the bound that an unverified version gets until the ramp is due: for sessions, which only have
/// the second half of the trial, and for requests without a session. Afterwards it gets the whole bound.
constexpr double kSessionBoundShare = 1.0;
constexpr double kSingleBoundShare = 0.3;
/// Length of the ramp of a verified version to all requests, as a part of the bound times the duration.
constexpr double kRampPart = 0.2;
/// Time with all requests on the version until the deadline, as a part of the bound times the duration.
constexpr double kFullTrafficPart = 0.45;
/// Part of the duration after which the bound has ended at every router.
constexpr double kUnboundedFromPart = 1.03;
/// Minimum time with all requests before the completion, as a part of the bound times the duration.
constexpr double kMinFullTrafficPart = 0.1;

/// Session requests that a router may send to the version on trial above its share.
constexpr double kMaxSessionExcess = 2.0;

/// Evidence that a short trial retains at least: with a few requests per second, less than 30 s of them
/// verify nothing.
constexpr TimeUs kMinRetained = 30000 * kMsToUs;
constexpr TimeUs kMinIntervalLength = 1000 * kMsToUs;

TimeUs intervalLength(const VersionTrial& _trial)
{
	return std::max(kMinIntervalLength, durationOf(_trial) / kIntervals);
}

/// @returns The share of requests offered to an unverified version, which depends on the time alone.
double unverifiedShare(const VersionTrial& _trial, double _exposureShare, bool _inSession, TimeUs _now)
{
	const bool overdue = elapsedPart(_trial, _now) >= rampStartPart(_exposureShare);
	const double part = _inSession ? kSessionBoundShare : kSingleBoundShare;
	return overdue ? _exposureShare : part * _exposureShare;
}

} // namespace

TimeUs durationOf(const VersionTrial& _trial)
{
	return TimeUs(std::max(1u, _trial.order.durationMs)) * kMsToUs;
}

double elapsedPart(const VersionTrial& _trial, TimeUs _now)
{
	return double(_now - _trial.startedAt) / double(durationOf(_trial));
}

uint32_t intervalIndex(const VersionTrial& _trial, TimeUs _now)
{
	return uint32_t(std::max<TimeUs>(0, _now - _trial.startedAt) / intervalLength(_trial));
}

uint32_t firstRetainedInterval(const VersionTrial& _trial, TimeUs _now)
{
	const uint32_t retained = std::max(kIntervals, uint32_t(kMinRetained / intervalLength(_trial)));
	const uint32_t index = intervalIndex(_trial, _now);
	return index < retained ? 0 : intervalOf(index - retained + 1, false);
}

uint32_t firstRecentInterval(const VersionTrial& _trial, TimeUs _now)
{
	const uint32_t index = intervalIndex(_trial, _now);
	return intervalOf(index == 0 ? 0 : index - 1, false);
}

double rampStartPart(double _exposureShare)
{
	return 1.0 - (kFullTrafficPart + kRampPart) * _exposureShare;
}

double rampProgress(const VersionTrial& _trial, double _exposureShare, TimeUs _now)
{
	if (_trial.rampStartAt == 0 || _now < _trial.rampStartAt)
	{
		return 0.0;
	}
	const double length = kRampPart * _exposureShare * double(durationOf(_trial));
	return std::min(1.0, double(_now - _trial.rampStartAt) / std::max(1.0, length));
}

double candidateShareAt(const VersionTrial& _trial, double _exposureShare, bool _inSession, TimeUs _now)
{
	const double part = elapsedPart(_trial, _now);
	if (part < (_inSession ? kSessionStartPart : kTrialStartPart))
	{
		return 0.0;
	}
	const double minShare = unverifiedShare(_trial, _exposureShare, _inSession, _now);
	return minShare + (1.0 - minShare) * rampProgress(_trial, _exposureShare, _now);
}

/// Each router enforces the bound by its own count, so that the sum of all routers stays within it, whatever
/// evidence and whatever state of the others each has received. After the deadline a verified version may get
/// more: routers that started late could otherwise never complete it, since that needs a while with all
/// requests.
bool mayExpose(const VersionTrial& _trial, double _exposureShare, ExposureKind _kind, TimeUs _now)
{
	const bool overdue = _trial.rampStartAt != 0 && elapsedPart(_trial, _now) >= kUnboundedFromPart;
	const double share = _exposureShare * double(_trial.reached);
	const bool bounded = _exposureShare < 1.0;
	if (!bounded || overdue || double(_trial.exposed + 1) <= share + double(_trial.credit))
	{
		return true;
	}
	// Random variation alone takes a router with few requests above its share, and a session that the
	// schedule has drawn must not switch back and forth between versions at its routers. The schedule draws
	// no more than the share of the requests that arrive, so the sum stays within the bound as long as these
	// reach the service.
	const double maxExposed = std::min(share + kMaxSessionExcess, double(_trial.reached));
	return _kind == ExposureKind::Session && double(_trial.exposed + 1) <= maxExposed;
}

TimeUs fullTrafficTestedAt(const VersionTrial& _trial, double _exposureShare)
{
	const double parts = (kRampPart + kMinFullTrafficPart) * _exposureShare;
	return _trial.rampStartAt + TimeUs(parts * double(durationOf(_trial)));
}
} // namespace spanplank
