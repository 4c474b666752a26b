/// Detection of requests that crash upstreams: probability of coincidence, refusals, and exchange between
/// routers.
#include "spanplank/crash_suspects.h"

#include <algorithm>
#include <cmath>

namespace spanplank
{
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
/// Minimum probability of one coincidental crash: three of these are below `kRefusalChance`, two are not.
constexpr double kMinChance = 0.02;
/// Minimum after a complete answer, and maximum before one: a request that runs often has been answered
/// before.
constexpr double kAnsweredChance = 0.2;
/// Window in which crashes of other requests determine how often upstreams end without this one.
constexpr TimeUs kCrashRateWindow = 10000 * kMsToUs;
/// Upstreams that end within this time while running concurrent copies may have ended for one cause, such as
/// the loss of a hall.
constexpr TimeUs kSameCauseWindow = 150 * kMsToUs;
/// Tolerance for times from other routers, which are off by the transmission delay. A copy that started less
/// than this before the end of another one may have been its successor.
constexpr TimeUs kTimestampSlack = 20 * kMsToUs;

void recordChange(SuspectTable& _suspects, const RequestDigest& _digest, CrashSuspect& _suspect, TimeUs _now)
{
	_suspects.byChange.erase(_suspect.change);
	_suspect.change = ++_suspects.changes;
	_suspect.changedAt = _now;
	_suspects.byChange.emplace(_suspect.change, _digest);
}

void eraseSuspect(SuspectTable& _suspects, const RequestDigest& _digest)
{
	const auto found = _suspects.suspects.find(_digest);
	_suspects.byChange.erase(found->second.change);
	_suspects.suspects.erase(found);
}

bool hasCrashAt(const CrashSuspect& _suspect, UpstreamKey _upstream)
{
	return std::any_of(_suspect.crashes.begin(), _suspect.crashes.end(),
					   [_upstream](const ObservedCrash& _crash) { return _crash.upstream == _upstream; });
}

/// @returns Whether an upstream's end is attributed to another request that was running at more crashes. A
/// harmless request that is refused by mistake thus does not protect the one that causes the crashes.
bool isExplained(const SuspectTable& _suspects, UpstreamKey _upstream, const RequestDigest& _digest,
				 const CrashSuspect& _suspect)
{
	const auto found = _suspects.explainedBy.find(_upstream);
	if (found == _suspects.explainedBy.end() || found->second == _digest)
	{
		return false;
	}
	return _suspects.suspects.at(found->second).crashes.size() > _suspect.crashes.size();
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

/// @returns The number of other upstreams that were running the request at a crash and ended later.
double observedCopies(const CrashSuspect& _suspect, const ObservedCrash& _crash)
{
	const auto beside = [&_crash](const ObservedCrash& _other) {
		return _other.at > _crash.at && _other.at - _other.runningFor + kTimestampSlack < _crash.at;
	};
	return double(std::count_if(_suspect.crashes.begin(), _suspect.crashes.end(), beside));
}

/// @returns The probability that a harmless request is running at such a crash.
double chanceOfOne(const SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect,
				   const ObservedCrash& _crash)
{
	const double upstreams = std::max<double>(1.0, _crash.upstreams);
	const double beside = double(otherCrashes(_suspects, _digest, _suspect, _crash.at));
	const double spans = double(_crash.runningFor) / double(kCrashRateWindow);
	const double met = 1.0 - std::exp(-beside * spans / upstreams);
	const double copies = std::max<double>(_crash.copies, observedCopies(_suspect, _crash));
	const double spread = std::min(1.0, copies / upstreams);
	const bool hasRun = _suspect.answered || _suspect.epoch > 0;
	const double chance = std::max(met, spread);
	return hasRun ? std::max(chance, kAnsweredChance) : std::clamp(chance, kMinChance, kAnsweredChance);
}

/// @returns Whether a crash may have the same cause as an earlier one.
bool mayShareCause(const ObservedCrash& _first, const ObservedCrash& _crash)
{
	return _crash.at - _first.at <= kSameCauseWindow &&
		   _crash.at - _crash.runningFor + kTimestampSlack < _first.at;
}

/// Starts to refuse a suspect if coincidence is unlikely enough. @returns Whether it is newly refused.
bool refuseIfUnlikely(SuspectTable& _suspects, const RequestDigest& _digest, CrashSuspect& _suspect,
					  TimeUs _now)
{
	if (_suspect.refusals > 0 || _suspect.crashes.empty())
	{
		return false;
	}
	const bool storm =
		std::any_of(_suspect.crashes.begin(), _suspect.crashes.end(), [&](const ObservedCrash& _crash) {
			return otherCrashes(_suspects, _digest, _suspect, _crash.at) >= kStormCrashes;
		});
	if (chanceOf(_suspects, _digest, _suspect) >= (storm ? kStormRefusalChance : kRefusalChance))
	{
		return false;
	}
	_suspect.refusals = 1;
	_suspect.refusedAt = _now;
	return true;
}

void attributeCrashes(SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect)
{
	for (const ObservedCrash& crash : _suspect.crashes)
	{
		const auto at = _suspects.explainedBy.emplace(crash.upstream, _digest).first;
		const bool more = _suspect.crashes.size() > _suspects.suspects.at(at->second).crashes.size();
		at->second = more ? _digest : at->second;
	}
}

void removeAttributions(SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect)
{
	for (const ObservedCrash& crash : _suspect.crashes)
	{
		const auto found = _suspects.explainedBy.find(crash.upstream);
		if (found != _suspects.explainedBy.end() && found->second == _digest)
		{
			_suspects.explainedBy.erase(found);
		}
	}
}

/// @returns Whether the crash was not known yet.
bool addCrash(SuspectTable& _suspects, CrashSuspect& _suspect, const ObservedCrash& _crash)
{
	if (_suspects.crashes.size() < kMaxCrashes)
	{
		_suspects.crashes.emplace(_crash.upstream, _crash.at);
	}
	if (hasCrashAt(_suspect, _crash.upstream) || _suspect.crashes.size() >= kMaxCrashesPerSuspect)
	{
		return false;
	}
	const auto later = [](const ObservedCrash& _left, const ObservedCrash& _right) {
		return _left.at < _right.at;
	};
	_suspect.crashes.insert(std::upper_bound(_suspect.crashes.begin(), _suspect.crashes.end(), _crash, later),
							_crash);
	return true;
}

TimeUs refusalTime(uint32_t _refusals)
{
	return kRefusalTime << std::min(_refusals - std::min(_refusals, 1u), kMaxRefusalDoublings);
}

/// Replaces a suspect by its state in a later epoch. @returns Whether it is refused.
bool replaceSuspect(SuspectTable& _suspects, const RequestDigest& _digest, CrashSuspect& _known,
					const CrashSuspect& _received)
{
	removeAttributions(_suspects, _digest, _known);
	const uint64_t change = _known.change;
	_known = _received;
	_known.refusedByPeer = true;
	_known.change = change;
	return _known.refusals > 0;
}

/// Merges a received suspect into the known one. @returns Whether that changed anything.
/// @param[out] _refused Whether the suspect is newly refused.
bool mergeSuspect(SuspectTable& _suspects, const RequestDigest& _digest, CrashSuspect& _known,
				  const CrashSuspect& _received, bool& _refused)
{
	if (_received.epoch != _known.epoch)
	{
		const bool later = _received.epoch > _known.epoch;
		_refused = later && replaceSuspect(_suspects, _digest, _known, _received);
		return later;
	}
	bool changed = _received.answered && !_known.answered;
	_known.answered = _known.answered || _received.answered;
	for (const ObservedCrash& crash : _received.crashes)
	{
		changed = addCrash(_suspects, _known, crash) || changed;
	}
	if (_received.refusals > _known.refusals)
	{
		_refused = _known.refusals == 0;
		_known.refusedByPeer = true;
		_known.refusals = _received.refusals;
		_known.refusedAt = _received.refusedAt;
		return true;
	}
	return changed;
}

/// Attributes the crashes of a newly refused suspect to it, so that they no longer count against others.
void recordRefusal(SuspectTable& _suspects, const RequestDigest& _digest,
				   std::vector<RequestDigest>& _refused)
{
	attributeCrashes(_suspects, _digest, _suspects.suspects.at(_digest));
	_refused.push_back(_digest);
}

void enforceLimits(SuspectTable& _suspects)
{
	// Refused suspects are removed last.
	for (const bool refusedToo : {false, true})
	{
		for (auto at = _suspects.byChange.begin();
			 at != _suspects.byChange.end() && _suspects.suspects.size() > kMaxSuspects;)
		{
			const RequestDigest digest = at->second;
			++at;
			if (refusedToo || _suspects.suspects.at(digest).refusals == 0)
			{
				removeAttributions(_suspects, digest, _suspects.suspects.at(digest));
				eraseSuspect(_suspects, digest);
			}
		}
	}
}

CrashSuspect withAges(CrashSuspect _suspect, TimeUs _now)
{
	for (ObservedCrash& crash : _suspect.crashes)
	{
		crash.at = _now - crash.at;
	}
	_suspect.refusedAt = _suspect.refusals > 0 ? _now - _suspect.refusedAt : 0;
	return _suspect;
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

std::vector<RequestDigest> recordCrash(SuspectTable& _suspects, const RequestDigest& _digest,
									   std::string_view _label, const ObservedCrash& _crash, TimeUs _now)
{
	CrashSuspect& suspect = _suspects.suspects[_digest];
	suspect.label = std::string(_label.substr(0, kMaxLabelBytes));
	suspect.answered = suspect.answered || _suspects.answered.count(_digest) != 0;
	std::vector<RequestDigest> refused;
	if (suspect.probing)
	{
		suspect.probing = false;
		++suspect.refusals;
		suspect.refusedAt = _now;
		addCrash(_suspects, suspect, _crash);
		recordRefusal(_suspects, _digest, refused);
	}
	else if (addCrash(_suspects, suspect, _crash) && refuseIfUnlikely(_suspects, _digest, suspect, _now))
	{
		recordRefusal(_suspects, _digest, refused);
	}
	recordChange(_suspects, _digest, suspect, _now);
	enforceLimits(_suspects);
	return refused;
}

void recordAnswered(SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now)
{
	if (_suspects.answered.insert_or_assign(_digest, _now).second)
	{
		_suspects.answeredOrder.push_back(_digest);
	}
	if (_suspects.answeredOrder.size() > kMaxAnswered)
	{
		_suspects.answered.erase(_suspects.answeredOrder.front());
		_suspects.answeredOrder.pop_front();
	}
	clearSuspect(_suspects, _digest, _now);
}

bool clearSuspect(SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now)
{
	const auto found = _suspects.suspects.find(_digest);
	if (found == _suspects.suspects.end() || found->second.crashes.empty())
	{
		return false;
	}
	CrashSuspect& suspect = found->second;
	removeAttributions(_suspects, _digest, suspect);
	suspect.crashes.clear();
	suspect.refusals = 0;
	suspect.refusedAt = 0;
	suspect.probing = false;
	++suspect.epoch;
	recordChange(_suspects, _digest, suspect, _now);
	return true;
}

TimeUs refusedFor(const CrashSuspect& _suspect, TimeUs _now)
{
	const TimeUs until = _suspect.refusedAt + refusalTime(_suspect.refusals);
	return _suspect.refusals > 0 ? std::max<TimeUs>(0, until - _now) : 0;
}

SuspectState suspectStateOf(const SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now)
{
	const auto found = _suspects.suspects.find(_digest);
	if (found == _suspects.suspects.end() || found->second.crashes.empty())
	{
		return SuspectState::Unknown;
	}
	if (found->second.refusals == 0)
	{
		return SuspectState::Suspected;
	}
	return refusedFor(found->second, _now) > 0 ? SuspectState::Refused : SuspectState::ProbeDue;
}

std::optional<Refusal> refusalOf(const SuspectTable& _suspects, const RequestDigest& _digest, bool _mayTry,
								 TimeUs _now)
{
	const SuspectState standing = suspectStateOf(_suspects, _digest, _now);
	const bool refused =
		standing == SuspectState::Refused || (standing == SuspectState::ProbeDue && !_mayTry);
	if (!refused)
	{
		return std::nullopt;
	}
	const TimeUs left = refusedFor(_suspects.suspects.at(_digest), _now);
	return Refusal{ErrorCode::EndsUpstreams, RunState::No, uint32_t(std::max<TimeUs>(1000, left / kMsToUs)),
				   "this request ends the upstreams that run it"};
}

bool beginProbe(SuspectTable& _suspects, const RequestDigest& _digest)
{
	const auto found = _suspects.suspects.find(_digest);
	if (found == _suspects.suspects.end() || found->second.probing)
	{
		return false;
	}
	found->second.probing = true;
	return true;
}

void endProbe(SuspectTable& _suspects, const RequestDigest& _digest)
{
	const auto found = _suspects.suspects.find(_digest);
	if (found != _suspects.suspects.end())
	{
		found->second.probing = false;
	}
}

void expireSuspects(SuspectTable& _suspects, TimeUs _now)
{
	std::vector<RequestDigest> old;
	for (const auto& [digest, suspect] : _suspects.suspects)
	{
		// A suspect whose probe is due but that was not requested again is kept as long as one that is not
		// refused.
		const TimeUs since =
			suspect.refusals > 0 ? suspect.refusedAt + refusalTime(suspect.refusals) : suspect.changedAt;
		if (_now - since > kSuspicionTime)
		{
			old.push_back(digest);
		}
	}
	for (const RequestDigest& digest : old)
	{
		removeAttributions(_suspects, digest, _suspects.suspects.at(digest));
		eraseSuspect(_suspects, digest);
	}
	while (!_suspects.answeredOrder.empty() &&
		   _now - _suspects.answered.at(_suspects.answeredOrder.front()) > kSuspicionTime)
	{
		_suspects.answered.erase(_suspects.answeredOrder.front());
		_suspects.answeredOrder.pop_front();
	}
	for (auto at = _suspects.crashes.begin(); at != _suspects.crashes.end();)
	{
		at = _now - at->second > kSuspicionTime ? _suspects.crashes.erase(at) : std::next(at);
	}
}

size_t countRefusedSuspects(const SuspectTable& _suspects)
{
	return size_t(std::count_if(_suspects.suspects.begin(), _suspects.suspects.end(),
								[](const auto& _item) { return _item.second.refusals > 0; }));
}

SuspectUpdate suspectUpdateOf(const SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now)
{
	return {_digest, withAges(_suspects.suspects.at(_digest), _now)};
}

std::vector<SuspectUpdate> suspectUpdatesFor(const SuspectTable& _suspects, uint64_t& _sent, TimeUs _now)
{
	std::vector<SuspectUpdate> updates;
	for (auto at = _suspects.byChange.upper_bound(_sent);
		 at != _suspects.byChange.end() && updates.size() < kMaxSuspectUpdates; ++at)
	{
		updates.push_back(suspectUpdateOf(_suspects, at->second, _now));
		_sent = at->first;
	}
	return updates;
}

std::vector<RequestDigest> applySuspectUpdates(SuspectTable& _suspects,
											   const std::vector<SuspectUpdate>& _updates, TimeUs _now)
{
	std::vector<RequestDigest> refused;
	for (const SuspectUpdate& update : _updates)
	{
		const CrashSuspect received = withAges(update.suspect, _now); // Converts ages back to times.
		const bool isNew = _suspects.suspects.count(update.digest) == 0;
		CrashSuspect& known = _suspects.suspects[update.digest];
		bool isRefused = false;
		if (!mergeSuspect(_suspects, update.digest, known, received, isRefused) && !isNew)
		{
			continue;
		}
		known.label = known.label.empty() ? received.label : known.label;
		known.answered = known.answered || _suspects.answered.count(update.digest) != 0;
		if (isRefused || refuseIfUnlikely(_suspects, update.digest, known, _now))
		{
			recordRefusal(_suspects, update.digest, refused);
		}
		recordChange(_suspects, update.digest, known, _now);
	}
	enforceLimits(_suspects);
	return refused;
}

namespace
{
constexpr size_t kFieldsPerCrash = 5;
}

void to_json(nlohmann::json& _json, const SuspectUpdate& _update)
{
	const CrashSuspect& suspect = _update.suspect;
	nlohmann::json::array_t seen;
	seen.reserve(suspect.crashes.size() * kFieldsPerCrash);
	for (const ObservedCrash& crash : suspect.crashes)
	{
		seen.emplace_back(crash.upstream);
		seen.emplace_back(crash.at);
		seen.emplace_back(crash.runningFor);
		seen.emplace_back(crash.upstreams);
		seen.emplace_back(crash.copies);
	}
	_json = nlohmann::json::array({_update.digest.high, _update.digest.low, suspect.label, suspect.epoch,
								   suspect.answered, suspect.refusals, suspect.refusedAt,
								   nlohmann::json(std::move(seen))});
}

void from_json(const nlohmann::json& _json, SuspectUpdate& _update)
{
	CrashSuspect& suspect = _update.suspect;
	_json.at(0).get_to(_update.digest.high);
	_json.at(1).get_to(_update.digest.low);
	_json.at(2).get_to(suspect.label);
	_json.at(3).get_to(suspect.epoch);
	_json.at(4).get_to(suspect.answered);
	_json.at(5).get_to(suspect.refusals);
	_json.at(6).get_to(suspect.refusedAt);
	const nlohmann::json& seen = _json.at(7);
	for (size_t at = 0; at + kFieldsPerCrash <= seen.size() && suspect.crashes.size() < kMaxCrashesPerSuspect;
		 at += kFieldsPerCrash)
	{
		suspect.crashes.push_back({seen.at(at).get<UpstreamKey>(), seen.at(at + 1).get<TimeUs>(),
								   seen.at(at + 2).get<TimeUs>(), seen.at(at + 3).get<uint32_t>(),
								   seen.at(at + 4).get<uint32_t>()});
	}
}
} // namespace spanplank
