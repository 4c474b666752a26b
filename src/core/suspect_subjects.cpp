#include "spanplank/suspect_subjects.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <set>

#include "crash_chance_p.h"

namespace spanplank
{
namespace
{
/// Another refused part that was not at this many crashes of a part does not explain them.
constexpr std::ptrdiff_t kMinOwnCrashes = 3;

bool hasPart(const SuspectSubjects& _subjects, const RequestDigest& _part)
{
	return std::any_of(_subjects.parts.begin(), _subjects.parts.end(),
					   [&](const PartSubject& _subject) { return _subject.digest == _part; });
}

/// @returns Whether one account's requests were running at all crashes, and it is another one.
bool isOfOtherAccount(const CrashSuspect& _suspect, uint64_t _account)
{
	std::set<uint64_t> atAll;
	bool first = true;
	for (const ObservedCrash& crash : _suspect.crashes)
	{
		std::set<uint64_t> here;
		for (const CrashWitness& witness : crash.witnesses)
		{
			if (first || atAll.count(witness.account) != 0)
			{
				here.insert(witness.account);
			}
		}
		atAll = std::move(here);
		first = false;
	}
	return !atAll.empty() && atAll.count(_account) == 0;
}

/// @returns The number of crashes at which an answer to a prompt with the part had just begun.
std::ptrdiff_t crashesAtBegin(const CrashSuspect& _suspect)
{
	return std::count_if(_suspect.crashes.begin(), _suspect.crashes.end(), isAtBegin);
}

/// @returns Whether the crashes of a part may be due to another one alone. One that was answered, or at which
/// fewer answers had just begun, is a worse explanation.
bool explains(const CrashSuspect& _other, const CrashSuspect& _suspect)
{
	const bool worse = (hasRun(_other) && !hasRun(_suspect)) ||
					   crashesAtBegin(_other) + kMinOwnCrashes <= crashesAtBegin(_suspect);
	const std::vector<ObservedCrash>& crashes = _suspect.crashes;
	const auto own = std::count_if(crashes.begin(), crashes.end(), [&_other](const ObservedCrash& _crash) {
		return !hasCrashAt(_other, _crash.upstream);
	});
	return !worse && own < kMinOwnCrashes;
}

/// @returns Whether a refused part concerns a request.
bool concerns(const SuspectTable& _suspects, const RequestDigest& _part, const SuspectSubjects& _subjects)
{
	const CrashSuspect& suspect = _suspects.suspects.at(_part);
	if (isOfOtherAccount(suspect, _subjects.account))
	{
		return false;
	}
	const std::set<RequestDigest>& refused = _suspects.refusedParts;
	return std::none_of(refused.begin(), refused.end(), [&](const RequestDigest& _other) {
		return !hasPart(_subjects, _other) && explains(_suspects.suspects.at(_other), suspect);
	});
}
} // namespace

PartSubject partSubject(std::string_view _service, std::string_view _part)
{
	return {{stableHash(_service), stableHash(_part)}, std::string(_part)};
}

SuspectSubjects makeSubjects(const RequestParts& _request, std::string_view _scope,
							 const std::vector<std::string_view>& _promptParts)
{
	SuspectSubjects subjects;
	subjects.request = digestOf(_request);
	subjects.service = std::string(_scope);
	subjects.account = _request.account.empty() ? 0 : stableHash(_request.account);
	for (size_t ii = 0; ii < std::min(_promptParts.size(), kMaxJudgedParts); ++ii)
	{
		subjects.parts.push_back(partSubject(_scope, _promptParts[ii]));
	}
	return subjects;
}

SuspectMatch matchSuspects(const SuspectTable& _suspects, const SuspectSubjects& _subjects, TimeUs _now)
{
	SuspectMatch match{suspectStateOf(_suspects, _subjects.request, _now), _subjects.request};
	for (const PartSubject& part : _subjects.parts)
	{
		if (match.state == SuspectState::Refused)
		{
			break;
		}
		if (_suspects.refusedParts.count(part.digest) != 0 && concerns(_suspects, part.digest, _subjects))
		{
			match = {suspectStateOf(_suspects, part.digest, _now), part.digest};
		}
	}
	return match;
}

std::optional<Refusal> refusalOf(const SuspectTable& _suspects, const SuspectSubjects& _subjects,
								 bool _mayTry, TimeUs _now)
{
	const SuspectMatch match = matchSuspects(_suspects, _subjects, _now);
	const bool refused =
		match.state == SuspectState::Refused || (match.state == SuspectState::ProbeDue && !_mayTry);
	if (!refused)
	{
		return std::nullopt;
	}
	const TimeUs left = refusedFor(_suspects.suspects.at(match.digest), _now);
	return Refusal{ErrorCode::EndsUpstreams, RunState::No, uint32_t(std::max<TimeUs>(1000, left / kMsToUs)),
				   "this request ends the upstreams that run it"};
}

std::vector<RequestDigest> recordInterrupted(SuspectTable& _suspects, const SuspectSubjects& _subjects,
											 std::string_view _label, const ObservedCrash& _crash,
											 TimeUs _now)
{
	ObservedCrash ofRequest = _crash;
	ofRequest.writingFor = 0; // A request may crash its upstream at any time.
	std::vector<RequestDigest> refused = recordCrash(_suspects, _subjects.request, _label, ofRequest, _now);
	if (_crash.writingFor >= kHarmlessWriting)
	{
		return refused;
	}
	ObservedCrash crash = _crash;
	crash.copies = 0; // Of the request.
	crash.witnesses = {{_subjects.request.low, _subjects.account}};
	for (const PartSubject& part : _subjects.parts)
	{
		const std::string label = fmt::format("{} part {}", _subjects.service, part.id);
		const std::vector<RequestDigest> more =
			recordCrash(_suspects, part.digest, label, crash, _now, SuspectKind::PromptPart);
		refused.insert(refused.end(), more.begin(), more.end());
	}
	return refused;
}

namespace
{
/// @returns Whether a part that a prompt lacks, and that was never answered, was at all crashes of one of its
/// parts as well, but for the last one, which others may report later.
bool isSharedWithAbsent(const SuspectTable& _suspects, const SuspectSubjects& _subjects,
						const CrashSuspect& _part)
{
	const auto wasThere = [&_part](const CrashSuspect& _other) {
		return std::all_of(
			_part.crashes.begin(), std::prev(_part.crashes.end()),
			[&_other](const ObservedCrash& _crash) { return hasCrashAt(_other, _crash.upstream); });
	};
	return std::any_of(_suspects.suspects.begin(), _suspects.suspects.end(), [&](const auto& _item) {
		const CrashSuspect& other = _item.second;
		return other.kind == SuspectKind::PromptPart && !hasRun(other) &&
			   crashesAtBegin(other) + 1 >= crashesAtBegin(_part) && wasThere(other) &&
			   !hasPart(_subjects, _item.first);
	});
}
} // namespace

bool isLikelyToCrash(const SuspectTable& _suspects, const SuspectSubjects& _subjects)
{
	constexpr std::ptrdiff_t kCrashes = 2;
	return std::any_of(_subjects.parts.begin(), _subjects.parts.end(), [&](const PartSubject& _part) {
		const auto found = _suspects.suspects.find(_part.digest);
		return found != _suspects.suspects.end() && !hasRun(found->second) &&
			   crashesAtBegin(found->second) >= kCrashes &&
			   !isSharedWithAbsent(_suspects, _subjects, found->second);
	});
}

bool isPending(const SuspectTable& _suspects, const SuspectSubjects& _subjects)
{
	return std::any_of(_subjects.parts.begin(), _subjects.parts.end(), [&](const PartSubject& _part) {
		return _suspects.pendingParts.count(_part.digest) != 0;
	});
}

std::vector<RequestDigest> recordHarmlessParts(SuspectTable& _suspects, const SuspectSubjects& _subjects,
											   TimeUs _now)
{
	std::vector<RequestDigest> cleared;
	for (const PartSubject& part : _subjects.parts)
	{
		if (suspectStateOf(_suspects, part.digest, _now) != SuspectState::Unknown)
		{
			cleared.push_back(part.digest);
		}
		recordAnswered(_suspects, part.digest, _now, SuspectKind::PromptPart);
	}
	return cleared;
}
} // namespace spanplank
