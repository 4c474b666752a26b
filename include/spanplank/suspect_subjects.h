/// What a request can be refused for: its own content, and the parts of its prompt.
///
/// A refused part concerns a request only if the crashes at which it stands can't be due to another refused
/// part that the request does not have: parts that always come together are refused together, and the
/// harmless one runs, and is cleared, as soon as it comes alone. If the requests of one account explain all
/// crashes, only that account is concerned, since callers name the parts of their prompts themselves.
#ifndef SPANPLANK_SUSPECT_SUBJECTS_H_HEADER_GUARD
#define SPANPLANK_SUSPECT_SUBJECTS_H_HEADER_GUARD

#include <string>
#include <string_view>
#include <vector>

#include "spanplank/crash_suspects.h"

namespace spanplank
{
/// A part of a prompt that other requests may share.
struct PartSubject
{
	RequestDigest digest;
	std::string id; ///< Identifies the part within its service, for operators.
};

struct SuspectSubjects
{
	RequestDigest request;
	std::string service;
	uint64_t account = 0; ///< Hash of its account; 0 without one.
	std::vector<PartSubject> parts;
};

/// Parts of a prompt after this many are not judged.
constexpr size_t kMaxJudgedParts = 16;

/// An answer that has been written for this long shows that the parts of its prompt crash nothing, in
/// microseconds.
constexpr TimeUs kHarmlessWriting = 2000 * kMsToUs;

/// @returns The subject for a part of the prompts of a service.
PartSubject partSubject(std::string_view _service, std::string_view _part);

/// @returns The subjects of a request. @param[in] _scope Service whose prompts share parts.
/// @param[in] _promptParts The parts of its prompt that other requests may share.
SuspectSubjects makeSubjects(const RequestParts& _request, std::string_view _scope,
							 const std::vector<std::string_view>& _promptParts);

/// Which of a request's subjects decides on it.
struct SuspectMatch
{
	SuspectState state = SuspectState::Unknown;
	RequestDigest digest;
};

SuspectMatch matchSuspects(const SuspectTable& _suspects, const SuspectSubjects& _subjects, TimeUs _now);

/// @returns The refusal of a request; empty if it may run.
/// @param[in] _mayTry Whether this process may run a request whose probe is due.
std::optional<Refusal> refusalOf(const SuspectTable& _suspects, const SuspectSubjects& _subjects,
								 bool _mayTry, TimeUs _now);

/// Records that an upstream ended while a request was running there, against the request and the parts of its
/// prompt. @returns Suspects that are refused as a result.
/// @param[in] _label Account, method and path, for operators.
std::vector<RequestDigest> recordInterrupted(SuspectTable& _suspects, const SuspectSubjects& _subjects,
											 std::string_view _label, const ObservedCrash& _crash,
											 TimeUs _now);

/// @returns Whether another attempt of a request would likely crash its upstream: two have ended just as they
/// began to answer on a part of its prompt, none is known to have answered on it, and no part that the prompt
/// lacks was there as well.
bool isLikelyToCrash(const SuspectTable& _suspects, const SuspectSubjects& _subjects);

/// @returns Whether a part of a request's prompt is refused as soon as other routers have had the time to
/// speak for it.
bool isPending(const SuspectTable& _suspects, const SuspectSubjects& _subjects);

/// Records that an upstream answered on the parts of a prompt: they are no suspects any more.
/// @returns Those that were.
std::vector<RequestDigest> recordHarmlessParts(SuspectTable& _suspects, const SuspectSubjects& _subjects,
											   TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_SUSPECT_SUBJECTS_H_HEADER_GUARD
