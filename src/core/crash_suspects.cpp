/// Detection of requests and prompt parts that crash upstreams: refusals, and exchange between routers.
#include "spanplank/crash_suspects.h"

#include <algorithm>

#include "crash_chance_p.h"

namespace spanplank
{
namespace
{
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
	_suspects.refusedParts.erase(_digest);
	_suspects.pendingParts.erase(_digest);
	_suspects.suspects.erase(found);
}

/// Sets the number of refusal periods. @returns Whether it was 0 and is not any more.
bool setRefusals(SuspectTable& _suspects, const RequestDigest& _digest, CrashSuspect& _suspect,
				 uint32_t _refusals)
{
	const bool isNew = _suspect.refusals == 0 && _refusals > 0;
	_suspect.refusals = _refusals;
	if (_refusals > 0 && _suspect.kind == SuspectKind::PromptPart)
	{
		_suspects.refusedParts.insert(_digest);
	}
	else
	{
		_suspects.refusedParts.erase(_digest);
	}
	return isNew;
}

ObservedCrash* findCrashAt(CrashSuspect& _suspect, UpstreamKey _upstream)
{
	const auto found =
		std::find_if(_suspect.crashes.begin(), _suspect.crashes.end(),
					 [_upstream](const ObservedCrash& _crash) { return _crash.upstream == _upstream; });
	return found == _suspect.crashes.end() ? nullptr : &*found;
}

/// Starts to refuse a suspect if coincidence is unlikely enough. @returns Whether it is newly refused.
bool refuseIfUnlikely(SuspectTable& _suspects, const RequestDigest& _digest, CrashSuspect& _suspect,
					  TimeUs _now)
{
	_suspects.pendingParts.erase(_digest);
	if (_suspect.refusals > 0 || _suspect.crashes.empty() || !isUnlikely(_suspects, _digest, _suspect))
	{
		return false;
	}
	const bool part = _suspect.kind == SuspectKind::PromptPart;
	if (part && _now - _suspect.crashes.front().at < kHearingTime)
	{
		_suspects.pendingParts.insert(_digest);
		return false;
	}
	_suspect.refusedAt = _now;
	return setRefusals(_suspects, _digest, _suspect, 1);
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

/// Merges another observation of a crash: several requests with one part, or several routers, may have met
/// it. @returns Whether that changed anything.
bool mergeCrash(ObservedCrash& _known, const ObservedCrash& _other)
{
	bool changed = _other.writingFor > 0 && _known.writingFor == 0;
	_known.writingFor = std::max(_known.writingFor, _other.writingFor);
	for (const CrashWitness& witness : _other.witnesses)
	{
		std::vector<CrashWitness>& known = _known.witnesses;
		if (known.size() < kMaxWitnesses && std::find(known.begin(), known.end(), witness) == known.end())
		{
			known.push_back(witness);
			changed = true;
		}
	}
	return changed;
}

/// @returns Whether that changed anything.
bool addCrash(SuspectTable& _suspects, CrashSuspect& _suspect, const ObservedCrash& _crash)
{
	if (_suspects.crashes.size() < kMaxCrashes)
	{
		_suspects.crashes.emplace(_crash.upstream, _crash.at);
	}
	if (ObservedCrash* known = findCrashAt(_suspect, _crash.upstream))
	{
		return _suspect.kind == SuspectKind::PromptPart && mergeCrash(*known, _crash);
	}
	if (_suspect.crashes.size() >= kMaxCrashesPerSuspect)
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
	setRefusals(_suspects, _digest, _known, _received.refusals);
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
		_refused = setRefusals(_suspects, _digest, _known, _received.refusals);
		_known.refusedByPeer = true;
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

AnsweredLog& answeredOf(SuspectTable& _suspects, SuspectKind _kind)
{
	return _kind == SuspectKind::Request ? _suspects.answered : _suspects.answeredParts;
}

/// Applies what this router has answered to a suspect that another one reports: an answer after its last
/// crash clears it.
void applyOwnAnswers(SuspectTable& _suspects, const RequestDigest& _digest, CrashSuspect& _suspect,
					 TimeUs _now)
{
	const AnsweredLog& log = answeredOf(_suspects, _suspect.kind);
	const auto answered = log.at.find(_digest);
	if (answered == log.at.end())
	{
		return;
	}
	_suspect.answered = true;
	if (_suspect.kind == SuspectKind::PromptPart && !_suspect.crashes.empty() &&
		answered->second > _suspect.crashes.back().at + kTimestampSlack)
	{
		clearSuspect(_suspects, _digest, _now);
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

std::vector<RequestDigest> recordCrash(SuspectTable& _suspects, const RequestDigest& _digest,
									   std::string_view _label, const ObservedCrash& _crash, TimeUs _now,
									   SuspectKind _kind)
{
	CrashSuspect& suspect = _suspects.suspects[_digest];
	suspect.kind = _kind;
	suspect.label = std::string(_label.substr(0, kMaxLabelBytes));
	suspect.answered = suspect.answered || answeredOf(_suspects, _kind).at.count(_digest) != 0;
	std::vector<RequestDigest> refused;
	// A probe may have ended before its upstream did: its caller left.
	const bool probed = suspect.probing || (suspect.refusals > 0 && refusedFor(suspect, _now) == 0);
	if (probed)
	{
		suspect.probing = false;
		setRefusals(_suspects, _digest, suspect, suspect.refusals + 1);
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

void recordAnswered(SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now, SuspectKind _kind)
{
	AnsweredLog& log = answeredOf(_suspects, _kind);
	if (log.at.insert_or_assign(_digest, _now).second)
	{
		log.order.push_back(_digest);
	}
	if (log.order.size() > kMaxAnswered)
	{
		log.at.erase(log.order.front());
		log.order.pop_front();
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
	_suspects.pendingParts.erase(_digest);
	suspect.crashes.clear();
	setRefusals(_suspects, _digest, suspect, 0);
	for (const RequestDigest& part : _suspects.refusedParts)
	{
		attributeCrashes(_suspects, part, _suspects.suspects.at(part));
	}
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

std::vector<RequestDigest> decidePendingParts(SuspectTable& _suspects, TimeUs _now)
{
	std::vector<RequestDigest> refused;
	const std::set<RequestDigest> pending = _suspects.pendingParts;
	for (const RequestDigest& digest : pending)
	{
		CrashSuspect& suspect = _suspects.suspects.at(digest);
		if (refuseIfUnlikely(_suspects, digest, suspect, _now))
		{
			recordRefusal(_suspects, digest, refused);
			recordChange(_suspects, digest, suspect, _now);
		}
	}
	return refused;
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
	for (AnsweredLog* log : {&_suspects.answered, &_suspects.answeredParts})
	{
		while (!log->order.empty() && _now - log->at.at(log->order.front()) > kSuspicionTime)
		{
			log->at.erase(log->order.front());
			log->order.pop_front();
		}
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
	size_t crashes = 0;
	for (auto at = _suspects.byChange.upper_bound(_sent);
		 at != _suspects.byChange.end() && updates.size() < kMaxSuspectUpdates && crashes < kMaxCrashUpdates;
		 ++at)
	{
		updates.push_back(suspectUpdateOf(_suspects, at->second, _now));
		crashes += updates.back().suspect.crashes.size();
		_sent = at->first;
	}
	// Behind many bystanders a refusal would be told late.
	size_t early = 0;
	for (auto at = _suspects.byChange.upper_bound(_sent);
		 at != _suspects.byChange.end() && early < kMaxEarlyUpdates; ++at)
	{
		if (_suspects.suspects.at(at->second).refusals > 0)
		{
			updates.push_back(suspectUpdateOf(_suspects, at->second, _now));
			++early;
		}
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
		known.kind = received.kind == SuspectKind::PromptPart ? received.kind : known.kind;
		bool isRefused = false;
		if (!mergeSuspect(_suspects, update.digest, known, received, isRefused) && !isNew)
		{
			continue;
		}
		known.label = known.label.empty() ? received.label : known.label;
		applyOwnAnswers(_suspects, update.digest, known, _now);
		if ((isRefused && known.refusals > 0) || refuseIfUnlikely(_suspects, update.digest, known, _now))
		{
			recordRefusal(_suspects, update.digest, refused);
		}
		recordChange(_suspects, update.digest, known, _now);
	}
	enforceLimits(_suspects);
	return refused;
}
} // namespace spanplank
