/// Detection of requests, and of parts of prompts, that crash the upstreams that run them, across all
/// routers.
///
/// A request that was running at an upstream that ended becomes a suspect, and so does each shared part of
/// its prompt. A suspect is refused once coincidence is no longer a likely explanation of its crashes. A
/// complete answer clears it. Routers exchange their observations, and each forwards those that are new to
/// it. Which requests a refused part concerns is decided in `suspect_subjects.h`.
#ifndef SPANPLANK_CRASH_SUSPECTS_H_HEADER_GUARD
#define SPANPLANK_CRASH_SUSPECTS_H_HEADER_GUARD

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "spanplank/errors.h"
#include "spanplank/request_digest.h"
#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// What a digest in a `SuspectTable` stands for.
enum class SuspectKind : uint8_t
{
	Request,
	PromptPart, ///< A part that the prompts of many requests may share.
};

/// A request with a suspected part that was running at an upstream that ended.
struct CrashWitness
{
	uint64_t request = 0; ///< Hash of its content.
	uint64_t account = 0; ///< Hash of its account.

	bool operator==(const CrashWitness& _other) const
	{
		return request == _other.request && account == _other.account;
	}
};

/// The end of an upstream while a request, or requests with one prompt part, were running there.
struct ObservedCrash
{
	UpstreamKey upstream = 0; ///< Of the incarnation that ended.
	TimeUs at = 0;
	TimeUs runningFor = 0;  ///< Time since the request was sent there.
	uint32_t upstreams = 1; ///< Number of upstreams of the service that were in use.
	uint32_t copies = 0;    ///< Other upstreams at which the observing router was running the same request.
	TimeUs writingFor = 0;  ///< Time since the answer began, the longest of all; 0 if none had begun.
	std::vector<CrashWitness> witnesses = {}; ///< Only of a prompt part; at most `kMaxWitnesses`.
};

struct CrashSuspect
{
	SuspectKind kind = SuspectKind::Request;
	std::string label;  ///< Account, method and path, or service and part, for operators; bytes as they came.
	uint32_t epoch = 0; ///< Incremented when the suspect is cleared; older observations are void.
	std::vector<ObservedCrash> crashes; ///< In this epoch, one per upstream; at most `kMaxCrashesPerSuspect`.
	uint32_t refusals = 0;              ///< Number of refusal periods in this epoch; 0 if it is not refused.
	TimeUs refusedAt = 0;               ///< Start of the last refusal period.
	bool answered = false;      ///< A router received a complete answer to it shortly before its first crash.
	bool refusedByPeer = false; ///< Another router reported the refusal, and reports it to others as well.
	bool probing = false;       ///< This router is running it once after its refusal period.
	TimeUs changedAt = 0;
	uint64_t change = 0; ///< Value of `SuspectTable::changes` at its last change.
};

/// The newest complete answers, with the time of the last one to each subject.
struct AnsweredLog
{
	std::map<RequestDigest, TimeUs> at;
	std::deque<RequestDigest> order; ///< By the first answer, oldest first.
};

struct SuspectTable
{
	std::map<RequestDigest, CrashSuspect> suspects;
	std::set<RequestDigest> refusedParts;             ///< Prompt parts that are refused.
	std::set<RequestDigest> pendingParts;             ///< Those that are refused once `kHearingTime` is over.
	std::map<uint64_t, RequestDigest> byChange;       ///< Suspects by their last change.
	std::map<UpstreamKey, TimeUs> crashes;            ///< Upstreams that ended while running any request.
	std::map<UpstreamKey, RequestDigest> explainedBy; ///< Refused suspects to which crashes are attributed.
	uint64_t changes = 0;
	AnsweredLog answered;      ///< This router's complete answers, by request.
	AnsweredLog answeredParts; ///< The same by prompt part.
};

constexpr size_t kMaxAnswered = 4096; ///< Of each kind.
constexpr size_t kMaxWitnesses = 8;   ///< Of one crash.
constexpr size_t kMaxSuspects = 2000; ///< About 300 bytes each.
/// Enough for the weakest evidence that counts to add up to a refusal.
constexpr size_t kMaxCrashesPerSuspect = 24;
constexpr size_t kMaxCrashes = 4000;
constexpr size_t kMaxSuspectUpdates = 24; ///< Suspects per message; the rest follows with the next one.
constexpr size_t kMaxCrashUpdates = 96;   ///< The same of all crashes of the suspects in a message.
/// Refused suspects that a message has in addition, ahead of their turn.
constexpr size_t kMaxEarlyUpdates = 8;
constexpr size_t kMaxLabelBytes = 120;
/// Length of a refusal period, after which the request is run once more. It doubles each time that run fails.
constexpr TimeUs kRefusalTime = TimeUs(600) * 1000 * kMsToUs;
constexpr uint32_t kMaxRefusalDoublings = 3;
/// Time from its first crash until a prompt part may be refused: other routers report their answers to it.
constexpr TimeUs kHearingTime = 400 * kMsToUs;
/// A suspect that is not refused is removed this long after its last crash.
constexpr TimeUs kSuspicionTime = TimeUs(3600) * 1000 * kMsToUs;

/// How a request is treated.
enum class SuspectState : uint8_t
{
	Unknown,
	Suspected,
	Refused,
	ProbeDue, ///< The refusal period is over; one run shows whether the request still ends upstreams.
};

/// Records a crash. @returns Suspects that are refused as a result.
std::vector<RequestDigest> recordCrash(SuspectTable& _suspects, const RequestDigest& _digest,
									   std::string_view _label, const ObservedCrash& _crash, TimeUs _now,
									   SuspectKind _kind = SuspectKind::Request);

/// Records a complete answer to a request, or to a prompt with a part.
void recordAnswered(SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now,
					SuspectKind _kind = SuspectKind::Request);

/// Clears a request that received a complete answer, or that an operator cleared.
/// @returns Whether it was a suspect.
bool clearSuspect(SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now);

SuspectState suspectStateOf(const SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now);

/// @returns Time until a refused request is run once more; 0 if the run is due or the request is not refused.
TimeUs refusedFor(const CrashSuspect& _suspect, TimeUs _now);

/// Starts the probe of a suspect. @returns Whether it may run: there is only one probe at a time.
bool beginProbe(SuspectTable& _suspects, const RequestDigest& _digest);
/// Ends the probe of a suspect.
void endProbe(SuspectTable& _suspects, const RequestDigest& _digest);

/// Decides on prompt parts whose hearing time is over. @returns Those that are refused as a result.
std::vector<RequestDigest> decidePendingParts(SuspectTable& _suspects, TimeUs _now);

/// Removes expired suspects, answers and crashes.
void expireSuspects(SuspectTable& _suspects, TimeUs _now);

/// @returns The number of refused suspects.
size_t countRefusedSuspects(const SuspectTable& _suspects);

/// A prompt part ends its upstream within this time of the begin of an answer. Crashes before it or later are
/// weaker evidence.
constexpr TimeUs kEndsWithin = 250 * kMsToUs;

/// @returns Whether an upstream ended as it had just begun to answer.
bool isAtBegin(const ObservedCrash& _crash);

/// @returns The probability that a harmless request was running at all these crashes by coincidence.
double chanceOf(const SuspectTable& _suspects, const RequestDigest& _digest, const CrashSuspect& _suspect);

/// State of one suspect as routers exchange it, with ages in place of times.
struct SuspectUpdate
{
	RequestDigest digest;
	CrashSuspect suspect; ///< Its times are ages.
};

/// @returns Suspects that changed since the last message to a neighbour, the oldest change first, and refused
/// ones that would not be among them.
/// @param[in,out] _sent Last change that was sent to the neighbour; 0 if there is none.
std::vector<SuspectUpdate> suspectUpdatesFor(const SuspectTable& _suspects, uint64_t& _sent, TimeUs _now);

/// Applies the updates of another router. @returns Suspects that are refused as a result.
std::vector<RequestDigest> applySuspectUpdates(SuspectTable& _suspects,
											   const std::vector<SuspectUpdate>& _updates, TimeUs _now);

/// @returns The update of one suspect for neighbours and the store.
SuspectUpdate suspectUpdateOf(const SuspectTable& _suspects, const RequestDigest& _digest, TimeUs _now);

void to_json(nlohmann::json& _json, const SuspectUpdate& _update);
void from_json(const nlohmann::json& _json, SuspectUpdate& _update);
} // namespace spanplank

#endif // SPANPLANK_CRASH_SUSPECTS_H_HEADER_GUARD
