/// Decision logic of the router: turns callers' requests into attempts on upstreams, without sockets or
/// clocks.
///
/// Each function takes an event and the time, and appends actions that the daemon executes in order.
#ifndef SPANPLANK_ROUTER_CORE_H_HEADER_GUARD
#define SPANPLANK_ROUTER_CORE_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "spanplank/answer_buffers.h"
#include "spanplank/billing.h"
#include "spanplank/config_replica.h"
#include "spanplank/messages.h"
#include "spanplank/retry_budget.h"
#include "spanplank/routing.h"
#include "spanplank/session_token.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Request of a caller, as parsed by the API adapter.
struct CallerRequest
{
	std::string bearer;  ///< Bearer key; only its hash is compared.
	std::string model;   ///< Name of a model, version or cascade; empty for a plain service.
	std::string service; ///< Name of a plain service; empty for a model.
	std::string method = "POST";
	std::string path;
	std::string contentType;
	std::string body;
	std::string prompt; ///< Leading text of the prompt, for prefix affinity.
	/// Hashes of the messages before the last one, which other requests may share; see `suspect_subjects.h`.
	std::vector<std::string> parts;
	std::string kind;
	std::string session; ///< `new`, a session token, or empty for no session.
	std::string key;     ///< Idempotency-Key, or empty.
	bool stream = false;
	uint32_t promptTokens = 0;
	uint32_t maxTokens = 0;
	TimeUs deadline = 0; ///< Monotonic time.
};

struct AnswerHead
{
	int status = 200;
	std::string contentType;
	std::string version;   ///< Version or service that answered.
	std::string requestId; ///< Unique over all routers.
	std::string session;   ///< Token of the new session, if one was requested.
	bool replayed = false;
};

// Actions of the router, executed by the daemon.
struct SendSubmit
{
	UpstreamId to;
	Submit submit;
};
struct SendCancel
{
	UpstreamId to;
	uint64_t attempt = 0;
};
/// Sends a complete answer at once.
struct CompleteAnswer
{
	RequestId request;
	AnswerHead head;
	std::string body;
	double cost = 0.0;
};
struct StartAnswer
{
	RequestId request;
	AnswerHead head;
};
/// Forwards the next part of a started answer.
struct ForwardPart
{
	RequestId request;
	std::string data;
};
struct EndAnswer
{
	RequestId request;
	double cost = 0.0;
};
/// Refuses a request of which no part of an answer was forwarded.
struct RefuseRequest
{
	RequestId request;
	std::string requestId; ///< Unique over all routers.
	Refusal refusal;
};
/// Aborts an answer of which parts were forwarded, so that the caller can detect that it is incomplete.
struct AbortAnswer
{
	RequestId request;
	Refusal refusal;
};
using RouterAction = std::variant<SendSubmit, SendCancel, CompleteAnswer, StartAnswer, ForwardPart, EndAnswer,
								  RefuseRequest, AbortAnswer>;
using RouterActions = std::vector<RouterAction>;

struct RouterInit
{
	std::string box;
	std::string incarnation;
	std::string hall;
	/// Keys that session tokens are verified with; new ones are signed with the first.
	std::vector<std::string> sessionKeys;
	std::map<std::string, uint32_t> kindPriority;
	uint64_t seed = 1;
	EngineCosts costs;
	/// If false, upstreams are selected round robin, as a baseline for comparison.
	bool loadAware = true;
};

struct RouterStats
{
	uint64_t requests = 0;
	uint64_t answered = 0;
	uint64_t refused = 0;
	uint64_t aborted = 0;
	uint64_t retries = 0;
	uint64_t escalations = 0;
	uint64_t staleFrames = 0; ///< Frames of attempts that had ended or run on another upstream.
};

/// State of an upstream as seen by this router.
struct UpstreamState
{
	PeerInfo info;
	bool linked = false;
	bool draining = false; ///< Gets no new requests; stays set until another incarnation connects.
	uint64_t revision = 0;
	LoadReport report;
	TimeUs reportAt = 0;
	uint32_t sentSinceReport = 0;
	uint64_t sentTokens = 0;
	uint32_t inFlight = 0;
	double failureRate = 0.0;
	std::map<std::string, TimeUs> exposureSpentUntil; ///< Time until which its exposure budget is assumed to
													  ///< be spent, by candidate version.
};

struct RequestState
{
	CallerRequest caller;
	std::string id;
	std::string account;
	std::vector<std::string> steps; ///< Models or versions to request in order; a cascade has several.
	size_t step = 0;
	std::string version;        ///< Version or service of the current attempt.
	std::string sessionVersion; ///< Version that the session is bound to; empty if there is none.
	bool offeredCandidate = false;
	uint64_t attempt = UINT64_MAX;
	UpstreamId upstream;
	std::set<uint32_t> tried; ///< Upstreams that failed or refused the request.
	uint32_t attempts = 0;
	bool mayHaveRun = false; ///< At least one attempt may have run.
	AnswerHead head;
	std::string buffer;
	size_t heldBytes = 0; ///< Of `buffer`, in the buffers of all answers.
	uint32_t parts = 0;
	bool started = false; ///< Parts of the answer were forwarded to the caller.
	double cost = 0.0;
	std::vector<uint64_t> blocks;
	uint64_t billSeq = 0;     ///< Bill number of the current step; 0 before its first attempt.
	bool billed = false;      ///< The bill of the current step is stored in `bills`.
	TimeUs homeWaitSince = 0; ///< When it first waited for the home of its key; 0 if it never did.
	TimeUs homeRetryAt = 0;   ///< When the home is tried next; 0 if it isn't waiting.
};

struct RouterCore
{
	RouterInit init;
	ConfigReplica config;
	std::vector<UpstreamState> upstreams;
	std::unordered_map<uint64_t, RequestState> requests;
	std::unordered_map<uint64_t, uint64_t> requestOfAttempt;
	std::map<std::string, HomeTable> homeTables; ///< Latest home tables, by pool.
	PrefixTable prefixes;
	RetryBudget retryBudget;
	Random random;
	uint64_t nextAttempt = 1;
	uint64_t nextRequest = 1;
	uint64_t nextBill = 1;
	uint64_t roundRobin = 0;
	uint32_t routers = 1; ///< Number of live routers that share the upstreams, including this one.
	BillTable bills;
	SuspectTable suspects;
	AnswerBuffers buffers;
	RouterStats stats;
};

RouterCore createRouterCore(const RouterInit& _init);

/// Handles a caller's request.
/// @param[in] _now Monotonic time.
/// @param[in] _wallMs Wall time.
void onRequest(RouterCore& _core, RequestId _id, const CallerRequest& _request, TimeUs _now, int64_t _wallMs,
			   RouterActions& _actions);

/// Handles a caller that closed its connection. Its attempt is cancelled, unless it is a run-once call.
void callerDisconnected(RouterCore& _core, RequestId _id, RouterActions& _actions);

/// Handles a new link to an agent.
/// @returns Id of the upstream, which stays the same for a box.
UpstreamId linkUp(RouterCore& _core, const PeerInfo& _peer);

/// Handles a closed link: unanswered attempts on it may have run.
void linkDown(RouterCore& _core, UpstreamId _upstream, TimeUs _now, int64_t _wallMs, RouterActions& _actions);

/// Marks an upstream as draining, as reported by its agent or the box list. Only another incarnation of it is
/// used again.
void markDraining(RouterCore& _core, const std::string& _box, const std::string& _incarnation);

void onHeartbeat(RouterCore& _core, UpstreamId _from, const Heartbeat& _heartbeat);
void onReport(RouterCore& _core, UpstreamId _from, const LoadReport& _report, TimeUs _now);
void onTable(RouterCore& _core, const HomeTable& _table);
void onStart(RouterCore& _core, UpstreamId _from, const AnswerStart& _start, RouterActions& _actions);
void onPart(RouterCore& _core, UpstreamId _from, const AnswerPart& _part, int64_t _wallMs,
			RouterActions& _actions);
void onEnd(RouterCore& _core, UpstreamId _from, const AnswerEnd& _end, TimeUs _now, int64_t _wallMs,
		   RouterActions& _actions);
void onRefused(RouterCore& _core, UpstreamId _from, const AnswerRefused& _refused, TimeUs _now,
			   int64_t _wallMs, RouterActions& _actions);

/// Handles an agent's report of requests that end upstreams: refuses all current requests with the same
/// digest.
void onSuspects(RouterCore& _core, const Suspects& _update, TimeUs _now, RouterActions& _actions);

/// Ends requests whose deadline has passed, and retries those that wait for the home of their key.
void tick(RouterCore& _core, TimeUs _now, RouterActions& _actions);

/// @returns Names of models, versions and cascades that the account may request.
std::vector<std::string> modelsFor(const ConfigReplica& _config, const std::string& _account);

/// @returns Account of a bearer key.
/// @throws Failure(BadKey) if the key is empty or unknown.
std::string authenticate(const ConfigReplica& _config, const std::string& _bearer);
} // namespace spanplank

#endif // SPANPLANK_ROUTER_CORE_H_HEADER_GUARD
