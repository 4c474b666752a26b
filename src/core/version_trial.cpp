/// Roll-outs of new versions: their share over time, the evidence, the verdict.
#include "spanplank/version_trial.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

#include "hash_range_p.h"

namespace spanplank
{
namespace
{
// Parts of a roll-out's duration. Sessions keep the old version for the first half.
constexpr double kTrialFrom = 0.53; ///< The new version gets its first share: the bound on exposure itself.
constexpr double kCompleteFrom = 0.83; ///< The old version may be stopped once it has no work.
constexpr double kCompleteAt = 0.9;    ///< It is stopped whatever it has: the deadline is near.
// The share grows over a part of the duration, then everything goes to the new version until the verdict is
// due. Both parts follow from the bound on exposure, so that 0.93 of it is used up to then.

/// Of the bound, as a part of the duration with everything on the new version.
constexpr double kAllPart = 0.35;
/// Of the bound, as a part of the duration in which its share grows.
constexpr double kWidenPart = 0.55;
constexpr TimeUs kProgressEvery = 2000 * kMsToUs; ///< What a blank router may be wrong by.
constexpr TimeUs kProgressJitter = 1000 * kMsToUs;
/// After a call to write a status failed, doubled each time: while the store is away, some 30 routers that
/// had halted a version called it 5 times a second each.
constexpr TimeUs kWriteRetry = 200 * kMsToUs;
constexpr uint32_t kMostWriteDoublings = 3;
constexpr uint32_t kLeastGood = 6; ///< Good answers of the new version before its share may grow.
constexpr uint32_t kLeastBad = 5;  ///< Bad answers before a version is halted.
constexpr double kBadRate = 0.2; ///< Halted above this share of bad answers, if the old version has less ...
constexpr double kBadExcess = 0.12; ///< ... by at least this.
constexpr double kSlowRatio = 4.0;  ///< An answer is slow if it takes this many times the old version's mean.
/// Halted above this share of slow or missing answers, if the old version has less by at least the excess.
/// Cold caches and queues make up to a third of a good version's slow, over few answers; crashes silence up
/// to a quarter.
constexpr double kSlowRate = 0.38;
constexpr double kSlowExcess = 0.25;
/// Halted only if even the lower end of the interval for the share of slow answers (Wilson, two standard
/// deviations) is above this: a few answers that waited for the prompts of others say nothing of a version.
constexpr double kSlowRateAtLeast = 0.28;
constexpr double kDeviations = 2.0;
constexpr uint32_t kLeastTimed = 20; ///< Answers before a share of slow ones is believed.
constexpr double kSlownessDecay = 0.9;
constexpr uint32_t kLeastUpstreams = 2; ///< One bad upstream is not a bad version ...
constexpr uint32_t kBadOfOne = 12;      ///< ... unless it alone is seen to fail this often.

double elapsed(const VersionTrial& _trial, TimeUs _now)
{
	return double(_now - _trial.startedAt) /
		   (double(std::max(1u, _trial.order.durationMs)) * double(kMsToUs));
}

TrialCounts sum(const std::map<std::string, TrialCounts>& _routes)
{
	TrialCounts total;
	for (const auto& [route, counts] : _routes)
	{
		total.good += counts.good;
		total.bad += counts.bad;
		total.slow += counts.slow;
		total.silent += counts.silent;
	}
	return total;
}

double badRate(const TrialCounts& _counts)
{
	const uint32_t all = _counts.good + _counts.bad;
	return all == 0 ? 0.0 : double(_counts.bad) / double(all);
}

double slowRate(const TrialCounts& _counts)
{
	const uint32_t all = _counts.good + _counts.silent;
	return all == 0 ? 0.0 : double(_counts.slow + _counts.silent) / double(all);
}

/// @returns The lower end of the Wilson interval for a share. @param[in] _count Of the answers counted.
double lowerEnd(double _share, double _count)
{
	const double square = kDeviations * kDeviations;
	const double centre = _share + square / (2.0 * _count);
	const double spread =
		kDeviations * std::sqrt(_share * (1.0 - _share) / _count + square / (4.0 * _count * _count));
	return (centre - spread) / (1.0 + square / _count);
}

bool looksSlow(const TrialCounts& _candidate, const TrialCounts& _others)
{
	const uint32_t timed = _candidate.good + _candidate.silent;
	if (timed < kLeastTimed || _others.good < kLeastTimed)
	{
		return false;
	}
	const double rate = slowRate(_candidate);
	return rate > kSlowRate && rate > slowRate(_others) + kSlowExcess &&
		   lowerEnd(rate, double(timed)) > kSlowRateAtLeast;
}

bool looksBad(const TrialCounts& _candidate, const TrialCounts& _others)
{
	const bool failing = _candidate.bad >= kLeastBad && badRate(_candidate) > kBadRate &&
						 badRate(_candidate) > badRate(_others) + kBadExcess;
	return failing || looksSlow(_candidate, _others);
}

/// A version is bad if it fails over all routes or on any one, and not at one upstream only.
bool isBad(const VersionTrial& _trial)
{
	const TrialCounts all = sum(_trial.candidate);
	bool bad = looksBad(all, sum(_trial.others));
	for (const auto& [route, counts] : _trial.candidate)
	{
		const auto others = _trial.others.find(route);
		bad = bad || looksBad(counts, others == _trial.others.end() ? TrialCounts{} : others->second);
	}
	uint32_t signs = 0;
	for (const auto& [upstream, count] : _trial.badBy)
	{
		signs += count;
	}
	const bool spread = _trial.badBy.size() >= kLeastUpstreams || signs >= kBadOfOne;
	return bad && spread;
}

bool isProved(const VersionTrial& _trial)
{
	return sum(_trial.candidate).good >= kLeastGood && !isBad(_trial);
}

/// Grows with time alone, so that all routers agree on every session.
double shareAt(const VersionTrial& _trial, double _exposureShare, TimeUs _now)
{
	const double part = elapsed(_trial, _now);
	if (part < kTrialFrom)
	{
		return 0.0;
	}
	const double allFrom = kCompleteFrom - kAllPart * _exposureShare;
	const double widened = (part - allFrom) / std::max(0.001, kWidenPart * _exposureShare) + 1.0;
	return _exposureShare + (1.0 - _exposureShare) * std::clamp(widened, 0.0, 1.0);
}

TrialCounts& countsOf(VersionTrial& _trial, const std::string& _version, const std::string& _route)
{
	return _version == _trial.order.version ? _trial.candidate[_route] : _trial.others[_route];
}
} // namespace

const char* name(RolloutState _state)
{
	switch (_state)
	{
	case RolloutState::Running:
		return "running";
	case RolloutState::Completed:
		return "completed";
	case RolloutState::RolledBack:
		break;
	}
	return "rolled_back";
}

void takeOrder(TrialBook& _book, const RolloutOrder& _order, uint64_t _revision, TimeUs _now)
{
	VersionTrial& trial = _book.trials[_order.service];
	if (trial.orderRevision >= _revision)
	{
		return;
	}
	trial = VersionTrial{};
	trial.order = _order;
	trial.orderRevision = _revision;
	trial.startedAt = _now;
}

bool takeStatus(TrialBook& _book, const std::string& _service, const RolloutStatus& _status,
				uint64_t _revision)
{
	const auto found = _book.trials.find(_service);
	if (found == _book.trials.end() || _revision <= found->second.statusRevision)
	{
		return false;
	}
	VersionTrial& trial = found->second;
	trial.statusRevision = _revision;
	if (_status.version != trial.order.version || _revision < trial.orderRevision)
	{
		return false; // Of an earlier order.
	}
	const bool changed = trial.state != _status.state;
	// A halt is not taken back, but by a completion that is in the store already: the old version's upstreams
	// stop at once then, and without the new ones nothing would be left to serve.
	const bool halted = trial.state == RolloutState::RolledBack && _status.state != RolloutState::Completed;
	trial.state = halted ? trial.state : _status.state;
	trial.decided = trial.state != _status.state;
	return changed;
}

VersionChoice chooseVersion(const TrialBook& _book, const std::string& _service, uint64_t _sessionHash,
							TimeUs _now, TrialUse _use)
{
	const auto found = _book.trials.find(_service);
	if (found == _book.trials.end())
	{
		return {};
	}
	const VersionTrial& trial = found->second;
	switch (trial.state)
	{
	case RolloutState::RolledBack:
		return {"", trial.order.version};
	case RolloutState::Completed:
		return {trial.order.version, ""};
	case RolloutState::Running:
		break;
	}
	if (_use == TrialUse::SettledOnly)
	{
		return {"", trial.order.version};
	}
	const bool offered = double(stableHash(trial.order.version, _sessionHash)) <
						 shareAt(trial, _book.exposureShare, _now) * kHashRange;
	return offered ? VersionChoice{trial.order.version, ""} : VersionChoice{"", trial.order.version};
}

bool isOnTrial(const TrialBook& _book, const std::string& _service, const std::string& _version)
{
	const auto found = _book.trials.find(_service);
	return found != _book.trials.end() && found->second.state == RolloutState::Running &&
		   found->second.order.version == _version;
}

std::vector<TrialHalt> unwrittenHalts(const TrialBook& _book)
{
	std::vector<TrialHalt> halts;
	for (const auto& [service, trial] : _book.trials)
	{
		if (trial.state == RolloutState::RolledBack && trial.decided)
		{
			halts.push_back({service, trial.orderRevision});
		}
	}
	return halts;
}

bool takeHalt(TrialBook& _book, const TrialHalt& _halt)
{
	const auto found = _book.trials.find(_halt.service);
	if (found == _book.trials.end() || found->second.orderRevision != _halt.orderRevision ||
		found->second.state != RolloutState::Running)
	{
		return false; // Of another order, or settled.
	}
	found->second.state = RolloutState::RolledBack;
	found->second.decided = true;
	found->second.heard = true;
	return true;
}

void noteWriteLost(VersionTrial& _trial, TimeUs _now, double _jitter)
{
	const TimeUs pause = kWriteRetry << std::min(_trial.writesLost, kMostWriteDoublings);
	_trial.writeAfter = _now + pause / 2 + TimeUs(_jitter * double(pause) / 2.0);
	++_trial.writesLost;
}

std::string haltedVersion(const TrialBook& _book, const std::string& _service)
{
	const auto found = _book.trials.find(_service);
	const bool halted = found != _book.trials.end() && found->second.state == RolloutState::RolledBack;
	return halted ? found->second.order.version : "";
}

void noteTrialSent(TrialBook& _book, const std::string& _service, const std::string& _version)
{
	const auto found = _book.trials.find(_service);
	if (found == _book.trials.end())
	{
		return;
	}
	found->second.othersInFlight += found->second.order.version == _version ? 0 : 1;
}

void noteTrialEnded(TrialBook& _book, const std::string& _service, const std::string& _version)
{
	const auto found = _book.trials.find(_service);
	if (found == _book.trials.end())
	{
		return;
	}
	uint32_t& inFlight = found->second.othersInFlight;
	inFlight -= found->second.order.version == _version ? 0 : std::min(inFlight, 1u);
}

bool noteTrialResult(TrialBook& _book, const std::string& _service, const std::string& _version,
					 const std::string& _route, const std::string& _upstream, TrialSign _sign,
					 double _slowness)
{
	const auto found = _book.trials.find(_service);
	if (found == _book.trials.end())
	{
		return false;
	}
	VersionTrial& trial = found->second;
	TrialCounts& counts = countsOf(trial, _version, _route);
	++(_sign == TrialSign::Bad ? counts.bad : _sign == TrialSign::Silent ? counts.silent : counts.good);
	bool slow = false;
	if (_sign == TrialSign::Good && _slowness > 0.0)
	{
		const double usual = trial.others[_route].slowness;
		slow = usual > 0.0 && _slowness > kSlowRatio * usual;
		counts.slow += slow ? 1 : 0;
		const double past = counts.slowness == 0.0 ? _slowness : counts.slowness;
		counts.slowness = past * kSlownessDecay + _slowness * (1.0 - kSlownessDecay);
	}
	if ((_sign != TrialSign::Good || slow) && _version == trial.order.version)
	{
		++trial.badBy[_upstream];
	}
	if (trial.state == RolloutState::Running && isBad(trial))
	{
		trial.state = RolloutState::RolledBack;
		trial.decided = true;
		return true;
	}
	return false;
}

std::string describeEvidence(const VersionTrial& _trial)
{
	std::string text;
	for (const auto& [route, counts] : _trial.candidate)
	{
		const auto found = _trial.others.find(route);
		const TrialCounts others = found == _trial.others.end() ? TrialCounts{} : found->second;
		text +=
			fmt::format("{}{}: new {} good {} bad {} slow {} silent, old {} good {} bad {} slow {} silent",
						text.empty() ? "" : "; ", route, counts.good, counts.bad, counts.slow, counts.silent,
						others.good, others.bad, others.slow, others.silent);
	}
	return text;
}

bool wantsStatus(VersionTrial& _trial, TimeUs _now, RolloutStatus& _status)
{
	const double part = elapsed(_trial, _now);
	if (_trial.state == RolloutState::Running && part >= kCompleteFrom && isProved(_trial) &&
		(_trial.othersInFlight == 0 || part >= kCompleteAt))
	{
		_trial.state = RolloutState::Completed;
		_trial.decided = true;
	}
	_status = {_trial.order.version, _trial.state};
	return _trial.decided || _trial.statusRevision < _trial.orderRevision;
}

bool wantsProgress(const VersionTrial& _trial, TimeUs _now, double _jitter)
{
	const TimeUs ahead = _now - _trial.startedAt - _trial.progressSaved;
	return _trial.state == RolloutState::Running &&
		   ahead > kProgressEvery + TimeUs(_jitter * double(kProgressJitter));
}

void takeProgress(VersionTrial& _trial, TimeUs _progress, uint64_t _revision, TimeUs _now)
{
	if (_revision <= _trial.progressRevision || _revision < _trial.orderRevision)
	{
		return;
	}
	_trial.progressRevision = _revision;
	_trial.progressSaved = _progress;
	_trial.startedAt = std::min(_trial.startedAt, _now - _progress);
}
} // namespace spanplank
