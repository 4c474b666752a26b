/// Core of the agent, the process in front of one upstream. Checks every attempt again before it is
/// forwarded, runs non-repeatable calls at most once, limits the exposure of candidate versions and creates
/// the bills.
#ifndef SPANPLANK_AGENT_CORE_H_HEADER_GUARD
#define SPANPLANK_AGENT_CORE_H_HEADER_GUARD

#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "spanplank/abandoned_attempts.h"
#include "spanplank/admission.h"
#include "spanplank/answer_buffers.h"
#include "spanplank/billing.h"
#include "spanplank/config_replica.h"
#include "spanplank/exposure.h"
#include "spanplank/messages.h"
#include "spanplank/run_once.h"

namespace spanplank
{
// Actions that the core returns to the daemon.
/// Forward the work to the upstream at once. The daemon must not delay between this action and the first
/// byte.
struct ForwardWork
{
	WorkId work;
	Submit submit;
};
struct CancelWork
{
	WorkId work;
};
struct ReplyStart
{
	LinkId to;
	AnswerStart message;
};
struct ReplyPart
{
	LinkId to;
	AnswerPart message;
};
struct ReplyEnd
{
	LinkId to;
	AnswerEnd message;
};
struct ReplyRefused
{
	LinkId to;
	AnswerRefused message;
};
/// This agent halted a version: send the halt over every link, and write it to the store once it is
/// reachable.
struct AnnounceHalt
{
	Halt halt;
};

using AgentAction = std::variant<ForwardWork, CancelWork, ReplyStart, ReplyPart, ReplyEnd, ReplyRefused,
								 AnnounceHalt, SendIntent, SendOutcome, RequestRecords, TableAdopted>;
using AgentActions = std::vector<AgentAction>;

struct AgentInit
{
	PeerInfo self;
	AdmissionLimits admission;
	RunOnceLimits runOnce;
	size_t maxUnflushedBills = kMaxUnflushedBills;
	uint32_t grantSize = 4; ///< Exposure credits requested from the store at a time.
	/// Checks work again when it leaves the queue, not only on arrival. Tests disable it to show the failure.
	bool recheckAtStart = true;
	/// Candidate versions need an exposure credit for each answer. Disabled only for comparison.
	bool boundExposure = true;
};

/// Totals of a completed answer, as the upstream reported them.
struct AnswerSummary
{
	uint32_t promptTokens = 0;
	uint32_t outputTokens = 0;
	double confidence = 1.0;
	double seconds = 0.0;
	bool endsWithConnection = false; ///< It had neither a length nor chunks.
};

struct AgentStats
{
	uint64_t submitted = 0;
	uint64_t forwarded = 0;
	uint64_t ended = 0;
	uint64_t refused = 0;
	uint64_t failed = 0;
	uint64_t cancelled = 0;
	uint64_t interruptedAttempts = 0; ///< Attempts that were running when the upstream terminated.
	uint64_t suspectsRefused = 0; ///< Suspect requests that are refused because of crashes of this upstream.
};

/// An attempt that is queued or running.
struct Work
{
	Submit submit;
	LinkId link; ///< Link to reply on. Invalid if no router waits for the answer.
	TimeUs deadline = 0;
	TimeUs startedAt = 0;
	TimeUs answerBeganAt = 0; ///< 0: not yet.
	bool forwarded = false;
	bool cancelled = false;
	uint32_t parts = 0;
	uint64_t outputBytes = 0;
	std::string guardKey; ///< Key in the run-once guard; empty for repeatable work.
	int status = 200;
	std::string contentType;
	std::string buffer;   ///< Run-once work only: body so far; the answer is sent when it is complete.
	size_t heldBytes = 0; ///< Of `buffer`, in the buffers of all answers.
};

struct AgentCore
{
	AgentInit init;
	ConfigReplica config;
	AdmissionQueue queue;
	RunOnceGuard guard;
	std::map<std::string, ExposureCredits> credits; ///< By candidate version.
	std::map<std::string, DriftWatch> drift;        ///< By serving version.
	std::unordered_map<uint64_t, Work> workItems;
	/// Run-once calls, by key, for which the guard has not yet decided whether they may run.
	std::unordered_map<std::string, Submit> guardedSubmits;
	uint64_t nextWork = 1;
	BillTable bills; ///< Copies, until the requesting router has flushed them or this agent does so instead.
	SuspectTable suspects;
	AbandonedAttempts abandoned;
	uint32_t upstreamIncarnations = 0; ///< Number of times that the upstream has terminated.
	bool upstreamDown = false;         ///< The upstream has terminated and not answered since.
	bool stopping = false;
	bool draining = false;
	AnswerBuffers buffers;
	AgentStats stats;
};

AgentCore createAgentCore(const AgentInit& _init);

void onSubmit(AgentCore& _core, LinkId _from, const Submit& _submit, TimeUs _now, int64_t _wallMs,
			  AgentActions& _actions);
void onCancel(AgentCore& _core, LinkId _from, uint64_t _attempt, TimeUs _now, int64_t _wallMs,
			  AgentActions& _actions);
void onLinkDown(AgentCore& _core, LinkId _link, TimeUs _now, int64_t _wallMs, AgentActions& _actions);

// Events of the upstream.
void onUpstreamAnswerStart(AgentCore& _core, WorkId _work, int _status, const std::string& _contentType,
						   TimeUs _now, AgentActions& _actions);
/// @returns Whether memory is left for it; if not, the call has to end.
bool onUpstreamAnswerPart(AgentCore& _core, WorkId _work, std::string _data, AgentActions& _actions);
void onUpstreamAnswerEnd(AgentCore& _core, WorkId _work, const AnswerSummary& _end, TimeUs _now,
						 int64_t _wallMs, AgentActions& _actions);
/// How a call to the upstream failed.
struct UpstreamFailure
{
	bool sent = false;         ///< Whether any byte of the call may have been sent.
	bool upstreamDown = false; ///< Whether the upstream accepts no connection after the failure.
	std::string detail;
};
void onUpstreamFailed(AgentCore& _core, WorkId _work, const UpstreamFailure& _failure, TimeUs _now,
					  int64_t _wallMs, AgentActions& _actions);

/// Applies suspect requests (requests that terminate upstreams) received from another process.
void onSuspects(AgentCore& _core, const Suspects& _update, TimeUs _now);

// Messages between the members of a run-once group.
IntentReply onIntent(AgentCore& _core, const Intent& _intent, TimeUs _now, int64_t _wallMs,
					 AgentActions& _actions);
void onIntentReply(AgentCore& _core, const std::string& _from, const IntentReply& _reply, TimeUs _now,
				   int64_t _wallMs, AgentActions& _actions);
void onTable(AgentCore& _core, const HomeTable& _table, TimeUs _now, int64_t _wallMs, AgentActions& _actions);

/// @returns Whether the halt was not known yet.
bool onHalt(AgentCore& _core, const Halt& _halt);

/// Judges all ratings of a candidate received so far, and halts it on this agent if too many are bad.
/// @returns The verdict on the rollout.
RolloutVerdict onRatings(AgentCore& _core, const std::string& _version, const RatingTally& _tally,
						 AgentActions& _actions);

/// Adds new ratings of a serving version, and halts it on this agent if its quality has dropped.
void onDrift(AgentCore& _core, const std::string& _version, const RatingTally& _ratings,
			 AgentActions& _actions);

/// @returns Whether this agent is one of the two of its pool that evaluate a version's ratings for the pool.
bool watchesRatings(const AgentCore& _core, const std::string& _version);

void tick(AgentCore& _core, TimeUs _now, int64_t _wallMs, AgentActions& _actions);

/// @returns The load report for the routers.
LoadReport loadReport(const AgentCore& _core);

/// @returns Whether no work, run-once call or unflushed bill is left, so that a planned stop can complete.
bool isDrained(const AgentCore& _core);
} // namespace spanplank

#endif // SPANPLANK_AGENT_CORE_H_HEADER_GUARD
