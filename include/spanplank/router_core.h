/// The router's decisions: from a caller's request to attempts on upstreams, without sockets or clocks.
///
/// Each function takes an event, the time, and appends actions that the daemon carries out in order.
#ifndef SPANPLANK_ROUTER_CORE_H_HEADER_GUARD
#define SPANPLANK_ROUTER_CORE_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "spanplank/billing.h"
#include "spanplank/config_replica.h"
#include "spanplank/messages.h"
#include "spanplank/retry_budget.h"
#include "spanplank/routing.h"
#include "spanplank/session_token.h"
#include "spanplank/types.h"

namespace spanplank
{
/// A request as the caller's adapter understood it.
struct CallerRequest
{
	std::string bearer;  ///< The key itself; only its hash is compared.
	std::string model;   ///< Model, version or cascade; empty for a plain service.
	std::string service; ///< Plain service; empty for a model.
	std::string method = "POST";
	std::string path;
	std::string contentType;
	std::string body;
	std::string prompt; ///< Leading text of the prompt, for prefix affinity.
	std::string kind;
	std::string session; ///< `new`, a session token, or empty.
	std::string key;     ///< Idempotency-Key.
	bool stream = false;
	uint32_t promptTokens = 0;
	uint32_t maxTokens = 0;
	TimeUs deadline = 0; ///< Monotonic.
};

struct AnswerHead
{
	int status = 200;
	std::string contentType;
	std::string version;   ///< Version or service that answered.
	std::string requestId; ///< Unique over all routers.
	std::string session;   ///< A new session's token, if one was asked for.
	bool replayed = false;
};

// Actions of the router.
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
/// A whole answer at once.
struct WholeAnswer
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
struct PassPart
{
	RequestId request;
	std::string data;
};
struct EndAnswer
{
	RequestId request;
	double cost = 0.0;
};
/// Nothing of an answer has been passed on.
struct RefuseRequest
{
	RequestId request;
	std::string requestId;
	Refusal refusal;
};
/// Parts have been passed on already: the caller must see that the answer is not whole.
struct BreakAnswer
{
	RequestId request;
	Refusal refusal;
};
using RouterAction = std::variant<SendSubmit, SendCancel, WholeAnswer, StartAnswer, PassPart, EndAnswer,
								  RefuseRequest, BreakAnswer>;
using RouterActions = std::vector<RouterAction>;

struct RouterInit
{
	std::string box;
	std::string incarnation;
	std::string hall;
	std::vector<std::string> sessionKeys; ///< The first one signs.
	std::map<std::string, uint32_t> kindPriority;
	uint64_t seed = 1;
	EngineCosts costs;
	/// Off only for comparison: round robin over the upstreams.
	bool loadAware = true;
};

struct RouterStats
{
	uint64_t requests = 0;
	uint64_t answered = 0;
	uint64_t refused = 0;
	uint64_t broken = 0;
	uint64_t retries = 0;
	uint64_t escalations = 0;
	uint64_t staleFrames = 0; ///< Frames of attempts that were given up.
};

/// An upstream as this router sees it.
struct UpstreamState
{
	PeerInfo info;
	bool linked = false;
	bool leaving = false; ///< Sticks until another incarnation appears.
	uint64_t revision = 0;
	Report report;
	TimeUs reportAt = 0;
	uint32_t sentSince = 0;
	uint64_t sentTokens = 0;
	uint32_t inFlight = 0;
	double failureRate = 0.0;
	std::map<std::string, TimeUs> exposureSpentUntil; ///< By candidate version.
};

struct RequestState
{
	CallerRequest caller;
	std::string id;
	std::string account;
	std::vector<std::string> steps; ///< Models or versions still to ask, cascades have several.
	size_t step = 0;
	std::string version;        ///< Of the attempt under way.
	std::string sessionVersion; ///< Pinned by a session.
	bool offeredCandidate = false;
	uint64_t attempt = UINT64_MAX;
	UpstreamId upstream;
	std::set<uint32_t> tried; ///< Upstreams that failed or refused it.
	uint32_t attempts = 0;
	bool mayHaveRun = false; ///< Some attempt may have run.
	AnswerHead head;
	std::string buffer;
	uint32_t parts = 0;
	bool started = false; ///< Parts were passed to the caller.
	double cost = 0.0;
	std::vector<uint64_t> blocks;
	uint64_t billSeq = 0;   ///< Of the step under way; 0 before its first attempt.
	bool billed = false;    ///< The step's bill is in the book.
	TimeUs parkedSince = 0; ///< When it first waited for its key's home; 0: never.
	TimeUs parkedUntil = 0; ///< When the home is tried again; 0: it does not wait now.
};

struct RouterCore
{
	RouterInit init;
	ConfigReplica config;
	std::vector<UpstreamState> upstreams;
	std::unordered_map<uint64_t, RequestState> requests;
	std::unordered_map<uint64_t, uint64_t> requestOfAttempt;
	std::map<std::string, HomeTable> tables; ///< By pool.
	PrefixTable prefixes;
	RetryBudget retryBudget;
	Random random;
	uint64_t nextAttempt = 1;
	uint64_t nextRequest = 1;
	uint64_t nextBill = 1;
	uint64_t roundRobin = 0;
	uint32_t routers = 1; ///< Live routers that share the upstreams, this one included.
	BillTable bills;
	SuspectTable suspects;
	RouterStats stats;
};

RouterCore createRouterCore(const RouterInit& _init);

/// A caller's request arrived.
/// @param[in] _now Monotonic time. @param[in] _wallMs Wall time.
void arrive(RouterCore& _core, RequestId _id, const CallerRequest& _request, TimeUs _now, int64_t _wallMs,
			RouterActions& _actions);

/// The caller closed its side.
void callerLeft(RouterCore& _core, RequestId _id, RouterActions& _actions);

/// A link to an agent opened. @returns The upstream's id: the same box keeps its id.
UpstreamId linkUp(RouterCore& _core, const PeerInfo& _peer);

/// A link closed: what was sent on it and has no answer may have run.
void linkDown(RouterCore& _core, UpstreamId _upstream, TimeUs _now, int64_t _wallMs, RouterActions& _actions);

/// A sign that an upstream leaves, from its agent or the box list. Only another incarnation undoes it.
void markLeaving(RouterCore& _core, const std::string& _box, const std::string& _incarnation);

void onHeartbeat(RouterCore& _core, UpstreamId _from, const Heartbeat& _heartbeat);
void onReport(RouterCore& _core, UpstreamId _from, const Report& _report, TimeUs _now);
void onTable(RouterCore& _core, const HomeTable& _table);
void onStart(RouterCore& _core, UpstreamId _from, const AnswerStart& _start, RouterActions& _actions);
void onPart(RouterCore& _core, UpstreamId _from, const AnswerPart& _part, int64_t _wallMs,
			RouterActions& _actions);
void onEnd(RouterCore& _core, UpstreamId _from, const AnswerEnd& _end, TimeUs _now, int64_t _wallMs,
		   RouterActions& _actions);
void onRefused(RouterCore& _core, UpstreamId _from, const AnswerRefused& _refused, TimeUs _now,
			   int64_t _wallMs, RouterActions& _actions);

/// An agent told of requests that end upstreams: copies of those that are refused by it end.
void onSuspects(RouterCore& _core, const Suspects& _news, TimeUs _now, RouterActions& _actions);

/// Ends requests whose deadline has come; tries the homes of those that wait for one.
void tick(RouterCore& _core, TimeUs _now, RouterActions& _actions);

/// @returns Names that the account may use as `model`.
std::vector<std::string> modelsFor(const ConfigReplica& _config, const std::string& _account);

/// @returns The account of a bearer key. @throws Failure(BadKey)
std::string authenticate(const ConfigReplica& _config, const std::string& _bearer);
} // namespace spanplank

#endif // SPANPLANK_ROUTER_CORE_H_HEADER_GUARD
