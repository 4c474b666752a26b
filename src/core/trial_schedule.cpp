/// The schedule of a trial, with its constants.
#include "trial_schedule_p.h"

#include <algorithm>

namespace spanplank
{
namespace
{
// Parts of a roll-out's duration.
constexpr double kTrialStartPart =
	0.1; ///< The new version gets its first requests; its upstreams have started.
constexpr double kSessionStartPart = 0.53; ///< Sessions keep the old version for the first half.

// The bound on exposure is used up as follows, each as a part of it.
/// Of the bound's share, until it is proved or should be: of sessions, which have the second half alone, and
/// of requests without one.
constexpr double kSessionBoundShare = 1.0;
constexpr double kSingleBoundShare = 0.3;
constexpr double kRampPart = 0.2;           ///< Duration in which the share of a proved version grows to all.
constexpr double kFullTrafficPart = 0.45;   ///< Duration with all requests on it.
constexpr double kUnboundedFromPart = 1.03; ///< Part of the duration from which the bound is over for sure.
constexpr double kMinFullTrafficPart = 0.1; ///< Of that duration, before it is completed.

/// Requests of sessions that a router may send to the version on trial above its share.
constexpr double kMaxSessionExcess = 2.0;

/// Of evidence, of a short trial: with a few requests a second less than 30 s of them prove nothing.
constexpr TimeUs kMinRetained = 30000 * kMsToUs;
constexpr TimeUs kMinIntervalLength = 1000 * kMsToUs;

TimeUs intervalLength(const VersionTrial& _trial)
{
	return std::max(kMinIntervalLength, durationOf(_trial) / kIntervals);
}

/// What a request gets by time alone while the version is not proved.
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

/// Each router keeps the bound by its own count, so that the sum of all keeps it whatever each believes of
/// the evidence or the others. After the deadline a proved version may have more: without all requests for a
/// while routers that have started late could never complete it.
bool mayExpose(const VersionTrial& _trial, double _exposureShare, ExposureKind _kind, TimeUs _now)
{
	const bool overdue = _trial.rampStartAt != 0 && elapsedPart(_trial, _now) >= kUnboundedFromPart;
	const double share = _exposureShare * double(_trial.reached);
	const bool bounded = _exposureShare < 1.0;
	if (!bounded || overdue || double(_trial.exposed + 1) <= share + double(_trial.credit))
	{
		return true;
	}
	// Chance alone takes a router of few requests above its share, and a session that the schedule has drawn
	// must not move to and fro between its routers. The schedule draws no more than the share of what
	// arrives, so that the sum keeps it as long as that reaches the service.
	const double maxExposed = std::min(share + kMaxSessionExcess, double(_trial.reached));
	return _kind == ExposureKind::Session && double(_trial.exposed + 1) <= maxExposed;
}

TimeUs fullTrafficTestedAt(const VersionTrial& _trial, double _exposureShare)
{
	const double parts = (kRampPart + kMinFullTrafficPart) * _exposureShare;
	return _trial.rampStartAt + TimeUs(parts * double(durationOf(_trial)));
}
} // namespace spanplank
