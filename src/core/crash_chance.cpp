/// How likely it is that a harmless suspect was running at crashes by coincidence.
#include "crash_chance_p.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace spanplank
{
bool hasCrashAt(const CrashSuspect& _suspect, UpstreamKey _upstream)
{
	return std::any_of(_suspect.crashes.begin(), _suspect.crashes.end(),
					   [_upstream](const ObservedCrash& _crash) { return _crash.upstream == _upstream; });
}

bool hasRun(const CrashSuspect& _suspect)
{
	return _suspect.answered || _suspect.epoch > 0;
}

bool isAtBegin(const ObservedCrash& _crash)
{
	return _crash.writingFor > 0 && _crash.writingFor <= kEndsWithin;
}

namespace
{
/// A request is refused once the probability that its crashes are a coincidence is below this.
constexpr double kRefusalChance = 2e-4;
/// The same while many upstreams end that are not running it: by coincidence, some of many running requests
/// are then affected several times.
constexpr double kStormRefusalChance = 1e-6;
/// Minimum number of other crashes in the `kCrashRateWindow` around one of the request's crashes at which
/// `kStormRefusalChance` applies.
constexpr size_t kStormCrashes = 3;
/// Minimum probability of one coincidental crash, of a part of one at the begin of an answer: three of these
/// are below `kRefusalChance`, two are not.
constexpr double kMinChance = 0.02;
/// The same of a part for a crash at any other moment.
constexpr double kMinPartChance = 0.1;
/// The same after a complete answer to a prompt with the part.
constexpr double kAnsweredPartChance = 0.5;
/// Minimum after a complete answer, and for a request the maximum before one: a request that runs often has
/// been answered before.
constexpr double kAnsweredChance = 0.2;
/// Window in which crashes of other requests determine how often upstreams end without this one.
constexpr TimeUs kCrashRateWindow = 10000 * kMsToUs;
/// Upstreams that end within this time while running concurrent copies may have ended for one cause, such as
/// the loss of a hall.
constexpr TimeUs kSameCauseWindow = 150 * kMsToUs;

/// @returns Whether an upstream's end is attributed to another suspect that was running at more crashes, or
/// to a part that was never answered while this one was. A harmless suspect that is refused by mistake thus
/// does not protect the one that causes the crashes.
bool isExplained(const SuspectTable& _suspects, UpstreamKey _upstream, const RequestDigest& _digest,
				 const CrashSuspect& _suspect)
{
	const auto found = _suspects.explainedBy.find(_upstream);
	if (found == _suspects.explainedBy.end() || found->second == _digest)
	{
		return false;
	}
	const CrashSuspect& by = _suspects.suspects.at(found->second);
	const bool neverAnswered = by.kind == SuspectKind::PromptPart && !hasRun(by) && hasRun(_suspect);
	return neverAnswered || by.crashes.size() > _suspect.crashes.size();
}

/// @returns The number of upstreams that ended around a point in time while running only other requests.
size_t otherCrashes(const SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect,
					TimeUs _at)
{
	size_t count = 0;
	for (const auto& [upstream, at] : _suspects.crashes)
	{
		const bool near = std::abs(at - _at) <= kCrashRateWindow / 2;
		const bool other =
			near && !hasCrashAt(_suspect, upstream) && !isExplained(_suspects, upstream, _digest, _suspect);
		count += other ? 1 : 0;
	}
	return count;
}

/// @returns Since when a suspect was exposed to a crash: a part may crash an upstream only as an answer
/// begins, so that the wait before it does not count.
TimeUs exposedSince(const ObservedCrash& _crash)
{
	return _crash.at - (_crash.writingFor > 0 ? _crash.writingFor : _crash.runningFor);
}

/// @returns The number of other upstreams that were running the suspect at a crash and ended later. Of a part
/// only those count that were writing an answer.
double observedCopies(const CrashSuspect& _suspect, const ObservedCrash& _crash)
{
	const bool writing = _suspect.kind == SuspectKind::PromptPart;
	const auto beside = [&_crash, writing](const ObservedCrash& _other) {
		return _other.at > _crash.at && exposedSince(_other) + kTimestampSlack < _crash.at &&
			   (!writing || _other.writingFor > 0);
	};
	return double(std::count_if(_suspect.crashes.begin(), _suspect.crashes.end(), beside));
}

/// @returns A probability within the limits for its suspect and crash.
double clampChance(const CrashSuspect& _suspect, const ObservedCrash& _crash, double _chance)
{
	const bool ran = hasRun(_suspect);
	if (_suspect.kind == SuspectKind::Request)
	{
		return ran ? std::max(_chance, kAnsweredChance) : std::clamp(_chance, kMinChance, kAnsweredChance);
	}
	const bool begins = isAtBegin(_crash);
	const double atBegin = ran ? kAnsweredChance : kMinChance;
	const double otherwise = ran ? kAnsweredPartChance : kMinPartChance;
	return std::max(_chance, begins ? atBegin : otherwise);
}

/// @returns The probability that a harmless suspect is running at such a crash.
double chanceOfOne(const SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect,
				   const ObservedCrash& _crash)
{
	const double upstreams = std::max<double>(1.0, _crash.upstreams);
	const double beside = double(otherCrashes(_suspects, _digest, _suspect, _crash.at));
	const double spans = double(_crash.at - exposedSince(_crash)) / double(kCrashRateWindow);
	const double met = 1.0 - std::exp(-beside * spans / upstreams);
	const double copies = std::max<double>(_crash.copies, observedCopies(_suspect, _crash));
	const double spread = std::min(1.0, copies / upstreams);
	return clampChance(_suspect, _crash, std::max(met, spread));
}

/// @returns Whether a crash may have the same cause as an earlier one.
bool mayShareCause(const ObservedCrash& _first, const ObservedCrash& _crash)
{
	return _crash.at - _first.at <= kSameCauseWindow && exposedSince(_crash) + kTimestampSlack < _first.at;
}

/// @returns Whether one request was running at all crashes that are attributed to no other suspect: then it
/// may be the cause rather than a part of its prompt.
bool isOfOneRequest(const SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect)
{
	std::map<uint64_t, size_t> crashesOf;
	size_t crashes = 0;
	for (const ObservedCrash& crash : _suspect.crashes)
	{
		if (isExplained(_suspects, crash.upstream, _digest, _suspect))
		{
			continue;
		}
		++crashes;
		std::set<uint64_t> requests;
		for (const CrashWitness& witness : crash.witnesses)
		{
			requests.insert(witness.request);
		}
		for (const uint64_t request : requests)
		{
			++crashesOf[request];
		}
	}
	return std::any_of(crashesOf.begin(), crashesOf.end(),
					   [crashes](const auto& _item) { return _item.second == crashes; });
}
} // namespace

double chanceOf(const SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect)
{
	double chance = 1.0;
	double ofCause = 1.0;                 // Highest probability among the crashes with one cause.
	const ObservedCrash* first = nullptr; // The first of these crashes.
	for (const ObservedCrash& crash : _suspect.crashes)
	{
		if (isExplained(_suspects, crash.upstream, _digest, _suspect))
		{
			continue;
		}
		const double one = chanceOfOne(_suspects, _digest, _suspect, crash);
		const bool same = first != nullptr && mayShareCause(*first, crash);
		chance *= same ? 1.0 : ofCause;
		ofCause = same ? std::max(ofCause, one) : one;
		first = same ? first : &crash;
	}
	return chance * ofCause;
}

bool isUnlikely(const SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect)
{
	const bool storm =
		std::any_of(_suspect.crashes.begin(), _suspect.crashes.end(), [&](const ObservedCrash& _crash) {
			return otherCrashes(_suspects, _digest, _suspect, _crash.at) >= kStormCrashes;
		});
	if (chanceOf(_suspects, _digest, _suspect) >= (storm ? kStormRefusalChance : kRefusalChance))
	{
		return false;
	}
	return _suspect.kind == SuspectKind::Request || !isOfOneRequest(_suspects, _digest, _suspect);
}
} // namespace spanplank
