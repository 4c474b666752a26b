/// Attempts that were closed before the end of their answers: the caller left, another attempt went on, or
/// the answer was not wanted. The upstream may run such a request for a moment longer, so that it counts at a
/// crash that follows at once.
#ifndef SPANPLANK_ABANDONED_ATTEMPTS_H_HEADER_GUARD
#define SPANPLANK_ABANDONED_ATTEMPTS_H_HEADER_GUARD

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "spanplank/crash_suspects.h"
#include "spanplank/suspect_subjects.h"

namespace spanplank
{
/// An attempt that was closed. Times are in microseconds.
struct AbandonedAttempt
{
	SuspectSubjects subjects;
	std::string requestId;
	std::string label; ///< Account, method and path, for operators.
	TimeUs sentAt = 0;
	TimeUs beganAt = 0; ///< The answer began; 0: it had not.
	TimeUs closedAt = 0;
	uint32_t upstreams = 1; ///< Number of upstreams of the service that were in use.
};

/// By upstream, the oldest first.
using AbandonedAttempts = std::map<UpstreamKey, std::deque<AbandonedAttempt>>;

/// An attempt whose upstream ended within `kRunsOn` of its close.
struct AbandonedAtCrash
{
	AbandonedAttempt attempt;
	ObservedCrash crash;
};

constexpr size_t kMaxAbandoned = 32; ///< Of one upstream.

/// An upstream may be running a request for this long after its attempt was closed.
constexpr TimeUs kRunsOn = kEndsWithin;

/// Time within which routers report the crashes that they observed.
constexpr TimeUs kCrashReportTime = 3000 * kMsToUs;

void recordAbandoned(AbandonedAttempts& _abandoned, UpstreamKey _upstream, AbandonedAttempt _attempt);

/// @returns The attempts that were closed just before a crash that is known. They are removed, and so are
/// those that are too old for a report of one.
std::vector<AbandonedAtCrash> takeAtKnownCrashes(AbandonedAttempts& _abandoned, const SuspectTable& _suspects,
												 TimeUs _now);

/// @returns The attempts at an upstream that were closed just before this process learnt that it ended. They
/// are removed.
std::vector<AbandonedAtCrash> takeAtEnd(AbandonedAttempts& _abandoned, UpstreamKey _upstream, TimeUs _now);

/// Records crashes against the requests of attempts that were closed just before.
/// @returns Suspects that are refused as a result.
std::vector<RequestDigest> recordInterrupted(SuspectTable& _suspects,
											 const std::vector<AbandonedAtCrash>& _attempts, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_ABANDONED_ATTEMPTS_H_HEADER_GUARD
