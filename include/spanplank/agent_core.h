/// The agent's decisions: the last gate before an upstream. Judges every attempt again, runs non-repeatable
/// calls at most once, bounds exposure, makes the bills.
#ifndef SPANPLANK_AGENT_CORE_H_HEADER_GUARD
#define SPANPLANK_AGENT_CORE_H_HEADER_GUARD

#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "spanplank/admission.h"
#include "spanplank/billing.h"
#include "spanplank/config_replica.h"
#include "spanplank/exposure.h"
#include "spanplank/messages.h"
#include "spanplank/run_once.h"

namespace spanplank
{
// Actions of the agent.
/// Send this work to the upstream now. Nothing may come between this and the first byte.
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
/// A version was halted here: tell every link, and the store when it can be reached.
struct AnnounceHalt
{
	Halt halt;
};

using AgentAction = std::variant<ForwardWork, CancelWork, ReplyStart, ReplyPart, ReplyEnd, ReplyRefused,
								 AnnounceHalt, SendIntent, SendOutcome, AskRecords, TableAdopted>;
using AgentActions = std::vector<AgentAction>;

struct AgentInit
{
	PeerInfo self;
	AdmissionLimits admission;
	RunOnceLimits runOnce;
	size_t maxUnflushedBills = kMaxUnflushedBills;
	uint32_t grantSize = 4; ///< Exposure credits taken at once.
	/// Off only to show what fails without it: judges on arrival alone, not when work leaves the queue.
	bool judgeTwice = true;
	/// Off only for comparison: candidates answer without credits.
	bool boundExposure = true;
};

/// How an upstream answered, in the end.
struct UpstreamEnd
{
	uint32_t promptTokens = 0;
	uint32_t outputTokens = 0;
	double confidence = 1.0;
	double seconds = 0.0;
};

struct AgentStats
{
	uint64_t submitted = 0;
	uint64_t forwarded = 0;
	uint64_t ended = 0;
	uint64_t refused = 0;
	uint64_t failed = 0;
	uint64_t cancelled = 0;
	uint64_t upstreamEnds = 0;    ///< Attempts that were at work as the upstream ended.
	uint64_t suspectsRefused = 0; ///< Requests that came to be refused by a crash here.
};

struct Work
{
	Submit submit;
	LinkId link; ///< Invalid once nobody waits for it.
	TimeUs deadline = 0;
	TimeUs startedAt = 0;
	bool forwarded = false;
	bool abandoned = false;
	uint32_t parts = 0;
	uint64_t outputBytes = 0;
	std::string guardKey; ///< Run-once work only.
	int status = 200;
	std::string contentType;
	std::string buffer; ///< Run-once work only: its answer is passed on whole.
};

struct AgentCore
{
	AgentInit init;
	ConfigReplica config;
	AdmissionQueue queue;
	RunOnceGuard guard;
	std::map<std::string, ExposureCredits> credits; ///< By candidate version.
	std::map<std::string, DriftWatch> drift;        ///< By serving version.
	std::unordered_map<uint64_t, Work> works;
	std::unordered_map<std::string, Submit> guardedSubmits; ///< Run-once calls that the guard holds, by key.
	uint64_t nextWork = 1;
	BillBook bills; ///< Copies, until the router that asked, or this agent in its place, has flushed them.
	SuspectBook suspects;
	uint32_t upstreamLives = 0; ///< How often the upstream has ended.
	bool upstreamDown = false;  ///< It has ended, and not answered since.
	bool stopping = false;
	bool leaving = false;
	AgentStats stats;
};

AgentCore createAgentCore(const AgentInit& _init);

void onSubmit(AgentCore& _core, LinkId _from, const Submit& _submit, TimeUs _now, int64_t _wallMs,
			  AgentActions& _actions);
void onCancel(AgentCore& _core, LinkId _from, uint64_t _attempt, TimeUs _now, int64_t _wallMs,
			  AgentActions& _actions);
void onLinkDown(AgentCore& _core, LinkId _link, TimeUs _now, int64_t _wallMs, AgentActions& _actions);

// What the upstream did.
void onUpstreamStart(AgentCore& _core, WorkId _work, int _status, const std::string& _contentType,
					 AgentActions& _actions);
void onUpstreamPart(AgentCore& _core, WorkId _work, std::string _data, AgentActions& _actions);
void onUpstreamEnd(AgentCore& _core, WorkId _work, const UpstreamEnd& _end, TimeUs _now, int64_t _wallMs,
				   AgentActions& _actions);
/// How a call to the upstream failed.
struct UpstreamFailure
{
	bool sent = false;  ///< Whether any byte of it could have left.
	bool ended = false; ///< The upstream takes no connection after it.
	std::string detail;
};
void onUpstreamFailed(AgentCore& _core, WorkId _work, const UpstreamFailure& _failure, TimeUs _now,
					  int64_t _wallMs, AgentActions& _actions);

/// Another process told of requests that end upstreams.
void onSuspects(AgentCore& _core, const Suspects& _news, TimeUs _now);

// Messages between the members of a run-once group.
IntentReply onIntent(AgentCore& _core, const Intent& _intent, TimeUs _now, int64_t _wallMs,
					 AgentActions& _actions);
void onIntentReply(AgentCore& _core, const std::string& _from, const IntentReply& _reply, TimeUs _now,
				   int64_t _wallMs, AgentActions& _actions);
void onTable(AgentCore& _core, const HomeTable& _table, TimeUs _now, int64_t _wallMs, AgentActions& _actions);

/// @returns Whether the halt was news here.
bool onHalt(AgentCore& _core, const Halt& _halt);

/// All ratings of a candidate, as known now. Halts it here if they say so.
/// @returns What they say.
RolloutVerdict onRatings(AgentCore& _core, const std::string& _version, const RatingTally& _tally,
						 AgentActions& _actions);

/// New ratings of a version that serves. Halts it here if it has turned bad.
void onDrift(AgentCore& _core, const std::string& _version, const RatingTally& _news, AgentActions& _actions);

/// @returns Whether this agent is one of the few of its pool that watch a version's ratings for all.
bool watchesRatings(const AgentCore& _core, const std::string& _version);

void tick(AgentCore& _core, TimeUs _now, int64_t _wallMs, AgentActions& _actions);

/// @returns Load to tell the routers.
LoadReport reportOf(const AgentCore& _core);

/// @returns Whether a planned stop has nothing left to wait for.
bool isDrained(const AgentCore& _core);
} // namespace spanplank

#endif // SPANPLANK_AGENT_CORE_H_HEADER_GUARD
