/// Upstreams that a router calls directly: registrations, health, and the choice of one for a request.
#ifndef SPANPLANK_UPSTREAM_TABLE_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_TABLE_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "spanplank/cold_upstreams.h"
#include "spanplank/endpoint.h"
#include "spanplank/engine_speed.h"
#include "spanplank/hall_evacuation.h"
#include "spanplank/policies.h"
#include "spanplank/region_limit.h"
#include "spanplank/request_limit.h"
#include "spanplank/store_contact.h"
#include "spanplank/types.h"
#include "spanplank/upstream_rest.h"

namespace spanplank
{
/// Registration that an upstream writes to the store.
struct UpstreamRecord
{
	std::string id; ///< Stable name; an upstream that restarts may use the same one again.
	std::string service;
	Endpoint address; ///< May be reassigned to another upstream later.
	std::string hall;
	std::string version; ///< Software version.
	uint32_t slots = 1;
	bool draining = false;
	uint32_t coldMs = 0;   ///< Time for which the upstream stays cold after this record was written.
	uint64_t revision = 0; ///< Store revision at which the record was written; 0 if unknown.
	/// Unix time of the upstream's start in milliseconds, by the clock of its box. A different value under
	/// the same id, higher or lower, is another incarnation; 0 if not reported, which is treated as the known
	/// one.
	uint64_t startedAtMs = 0;
};

/// Health of an upstream, derived only from this router's own requests.
struct UpstreamHealth
{
	double failureRate = 0.0; ///< Exponentially decayed share of failed attempts.
	uint32_t consecutiveFailures = 0;
	TimeUs ejectedUntil = 0;
	uint32_t ejections = 0; ///< Consecutive ejections; each one doubles the duration of the next.
	bool probing = false;   ///< One request is in flight that shows whether the upstream has recovered.
	double slowness = 1.0;  ///< Decayed ratio of the upstream's latency to the mean of its service.
	uint32_t samples = 0;
};

/// Work in progress at an upstream.
struct SharedLoad
{
	double prefillMs = 0.0; ///< Expected prefill time of prompts without a first token yet.
	uint32_t inFlight = 0;
	uint32_t tokens = 0; ///< Held by running requests: prompts and expected answers.
};

struct UpstreamEntry
{
	UpstreamRecord record;
	UpstreamKey key = 0;
	bool registered = false;
	TimeUs unregisteredAt = 0; ///< When the registration disappeared; 0 while registered.
	RemovalAssessment lapse;   ///< Whether the registration may have lapsed in a store outage.
	uint32_t inFlight = 0;
	double prefillMs = 0.0;  ///< Expected prefill time of this router's prompts without a first token yet.
	uint32_t heldTokens = 0; ///< Tokens of this router's running requests: prompts and expected answers.
	SharedLoad others;       ///< Load from the other routers, as last reported.
	UpstreamHealth health;
	ColdState cold;
	RequestLimit limit;
	bool saysLeaving = false; ///< An answer of this incarnation said that it shuts down.
	/// A record of this incarnation said so, which holds until its end. One without the start that the
	/// upstream has reported may be another writer's: what it says holds until the next record with that
	/// start.
	bool recordsLeaving = false;
	/// The incarnation was replaced after it had left or begun to leave.
	bool leftBeforeRestart = false;
	RestState rest;
	RequestPace pace;         ///< Applies while the upstream is cold or states a limit.
	bool unreachable = false; ///< A connection failed, and no answer has arrived since.
};

/// Where the shared parts of a prompt were last read for one model, newest first.
struct PromptHome
{
	uint32_t upstream = kInvalidIdx;
	TimeUs at = 0;
};

/// A prompt part that a router has sent to an upstream, reported to the other routers.
struct NewHome
{
	uint64_t part = 0;
	UpstreamKey upstream = 0;

	bool operator==(const NewHome& _other) const
	{
		return part == _other.part && upstream == _other.upstream;
	}
};

/// Maximum number of new homes waiting to be sent.
constexpr size_t kMaxNewHomes = 1000;

/// Prefill speed, estimated from observed times to first token.
struct PrefillEstimate
{
	double msPerToken = 0.0; ///< Prefill time of one prompt token in milliseconds.
	uint32_t samples = 0;
};

struct UpstreamTable
{
	Policies policies;
	std::map<uint32_t, UpstreamEntry> entries;
	std::unordered_map<std::string, uint32_t> idxOfId;
	std::unordered_map<UpstreamKey, uint32_t> idxOfKey;
	std::map<std::string, double> latencyOf; ///< Decayed latency in microseconds, by service and model.
	std::map<std::string, PrefillEstimate> prefillEstimates;     ///< By service and model.
	std::unordered_map<uint64_t, std::vector<PromptHome>> homes; ///< By the hash of a shared part.
	std::vector<NewHome> newHomes; ///< Not yet sent to the other routers; at most `kMaxNewHomes`.
	uint32_t nextIdx = 0;
	bool receivesPeerUpdates = false; ///< Other routers report their load and homes at the upstreams.
	EngineSpeedTable speeds;          ///< Measured speeds of the upstreams.
	std::map<std::string, ColdService> coldServices; ///< By service; absent services have no cold limit.
	uint64_t limitChanges = 0; ///< Number of changes of upstreams' limits that this router has learned of.
	StoreContact contact;      ///< Distinguishes lapsed registrations from upstreams that shut down.
	HallOrders halls;          ///< Upstreams in evacuated halls receive no requests.
	/// A draining upstream receives no request after this time; from the settings.
	TimeUs drainBound = 2000 * kMsToUs;
};

/// @returns The key of an upstream's id and, if it is known, its start time.
UpstreamKey keyOf(std::string_view _id, uint64_t _startedAtMs = 0);

/// @returns A name for logs and evidence that distinguishes incarnations with the same id.
std::string incarnationName(const UpstreamRecord& _record);

/// How a record's incarnation relates to the current one with the same id.
enum class IncarnationOrder : uint8_t
{
	First, ///< No incarnation is known.
	Same,
	Newer, ///< The upstream has restarted.
	Older, ///< The record was written before the one that is known.
};

/// @returns The order by the store's revisions. A record whose revision is unknown counts as the newest.
IncarnationOrder incarnationOrder(const UpstreamTable& _table, const UpstreamRecord& _record);

/// For the first list after the store was restored from an older copy, in which revisions are assigned again.
/// @returns Whether a record may have been written before the known one: it is of another start and at or
/// below the known revision, or of an upstream that has deregistered since.
bool mayBeOutdated(const UpstreamTable& _table, const UpstreamRecord& _record);

/// Keeps what is known in spite of such a record. An upstream that has deregistered stays so until a later
/// record.
/// @returns Whether the record can be dropped. Otherwise it may be of a later start that was written between
/// the restoration and the list, which the next list shows.
bool rejectOutdated(UpstreamTable& _table, const UpstreamRecord& _record);

/// @returns The current incarnation of an id; invalid if there is none.
UpstreamId currentIncarnation(const UpstreamTable& _table, const std::string& _id);

/// Adds or updates a registration. A new incarnation gets a new entry without the state of the previous one;
/// a record that is older than the known one has no effect.
/// @returns The current incarnation of the record's id.
/// @param[in] _now When the record was read; its cold time counts from then.
UpstreamId registerUpstream(UpstreamTable& _table, const UpstreamRecord& _record, TimeUs _now = 0);

/// Treats the upstreams of a reopened hall as cold, since they may have become cold while it was evacuated.
void recordHallReopened(UpstreamTable& _table, const std::string& _hall, TimeUs _now);

/// @returns Whether an upstream is cold and its service limits the rate of cold upstreams.
bool isCold(const UpstreamTable& _table, UpstreamId _id, TimeUs _now);

/// Records that an answer of an upstream said that it shuts down. This holds for its incarnation, whatever
/// its registration says later.
/// @returns Whether this is the first such answer.
bool recordLeaving(UpstreamTable& _table, UpstreamId _id);

/// Ends a registration. If it may have lapsed in a store outage, the upstream stays usable for a grace
/// period.
void unregisterUpstream(UpstreamTable& _table, const std::string& _id, TimeUs _now);

/// Ends the registrations that are missing from a complete list. @returns Their upstreams.
std::vector<uint32_t> unregisterOthers(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records,
									   TimeUs _now);

/// Registers all upstreams of a complete list and ends all other registrations.
/// @returns The upstreams that were unregistered.
std::vector<uint32_t> replaceRegistrations(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records,
										   TimeUs _now);

/// Removes upstreams that have been unregistered for a while and have no requests in flight.
void removeGoneUpstreams(UpstreamTable& _table, TimeUs _now);

/// One shared part of a prompt. An engine caches it only together with all parts before it.
struct SharedPart
{
	uint64_t hash = 0; ///< Of the model, this part and all parts before it.
	uint32_t tokens = 0;
};

/// Requirements of a request when choosing an upstream.
struct UpstreamQuery
{
	std::string_view service;
	std::string_view hall;    ///< Hall of the router; upstreams in the same hall are preferred.
	std::string_view version; ///< Required version; if empty, any except `notVersion`.
	std::string_view notVersion;
	const std::set<std::string>* haltedVersions = nullptr; ///< Nor any of these; null: none.
	std::string_view model;
	/// Prompt parts that other requests share, in order; empty without a prompt or without sharing.
	std::vector<SharedPart> shared;
	uint32_t ownTokens = 0;          ///< Prompt tokens after the shared parts.
	double firstTokenTargetMs = 0.0; ///< Time in which a first token counts as timely; 0 for no target.
	double answerTokens = 0.0;       ///< Expected output tokens still to come; 0 if unknown.
	double leftMs = 0.0;             ///< Time until the caller's deadline; 0 if it does not bind the choice.
	bool bySpeed = false;            ///< Estimates use the measured speeds of the upstreams.
	uint32_t slots = 0; ///< Requests that an engine runs at once; 0: unknown. Used only with `bySpeed`.
	/// Load share of the service in `hall`, by `loadShareOf`; 0 if the price of another hall is fixed.
	double hallLoad = 0.0;
	bool repeatable = false;
	const std::set<uint32_t>* tried = nullptr; ///< Upstreams to exclude.
	HallLimit limit; ///< Allowed halls; if limited, the request's homes are not sent to other routers.
};

/// @returns The upstream to send to; invalid if there is none.
UpstreamId pickDirectUpstream(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now,
							  Random& _random);

/// @returns Whether this router's requests to an upstream are paced: it is cold or states a limit.
bool isPaced(const UpstreamEntry& _entry, TimeUs _now);

/// Records what an answer of an upstream says about its limit.
LimitChange recordLimitAnswer(UpstreamTable& _table, UpstreamId _id, const LimitAnswer& _answer, TimeUs _now);

/// Limit of an upstream, reported to the other routers.
struct LimitUpdate
{
	UpstreamKey upstream = 0;
	LimitReport limit;
};

/// Maximum number of limits in one message between routers.
constexpr size_t kMaxLimitUpdates = 200;

/// @returns The limits that changed since the last update for a neighbour, the oldest changes first.
/// @param[in,out] _sent Number of the last change that was sent; 0 for a new link.
std::vector<LimitUpdate> limitUpdatesFor(const UpstreamTable& _table, uint64_t& _sent);

/// A limit that another router's update changed.
struct AdoptedLimit
{
	UpstreamId upstream;
	LimitChange change = LimitChange::None;
	std::optional<double> before;
};

/// Applies the limits that a neighbour reports; upstreams that are not known are skipped.
std::vector<AdoptedLimit> applyLimitUpdates(UpstreamTable& _table, absl::Span<const LimitUpdate> _updates,
											TimeUs _now);

/// @returns Whether an upstream states a limit.
bool isLimited(const UpstreamTable& _table, UpstreamId _id);

/// @returns When the first of the request's upstreams that accept none now, by their rate or rest, accepts a
/// request from this router, `kNever` if none is expected to; empty if there are none.
std::optional<TimeUs> nextSendAt(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now);

/// Why no upstream accepts a request, as far as this router can determine without contacting one.
enum class NoUpstream : uint8_t
{
	None,      ///< No upstream is registered, or all in open halls have been tried.
	Evacuated, ///< All registered upstreams are in evacuated halls.
	Cold,      ///< The upstreams in open halls are cold and at their rate limit.
	Regions,   ///< All registered upstreams are in regions that may not serve the request.
	Limited,   ///< Upstreams in open halls state limits that are used up, or are cold or resting.
	Resting,   ///< Upstreams in open halls asked for rest, or are cold.
	NoTime,    ///< No upstream can finish the answer before the deadline; not by `noUpstreamReason`.
};

/// @returns A name for logs.
const char* name(NoUpstream _why);

/// @returns Why `pickDirectUpstream` finds no upstream.
NoUpstream noUpstreamReason(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now);

/// @returns Whether requests may be sent to an upstream.
bool isUsable(const UpstreamTable& _table, const UpstreamEntry& _entry, TimeUs _now);

/// @returns Whether a request for which an upstream was chosen may still be sent there.
/// @param[in] _asPaced The upstream was paced when it was chosen, and the request is within its rate.
bool maySendTo(const UpstreamTable& _table, UpstreamId _id, TimeUs _now, bool _asPaced = false);

/// @returns Expected prefill time of a prompt at an upstream, given what it likely has cached, in
/// milliseconds.
double prefillMsAt(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
				   TimeUs _now);

/// @returns Expected time to first token at an upstream of mean speed, including the work queued there and
/// the part that does not depend on the prompt, in milliseconds; 0 if unknown. Speeds are measured against
/// it.
double meanFirstTokenMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
						TimeUs _now);

/// @returns Expected time to first token, including the work queued there, in milliseconds; 0 if unknown.
double expectedFirstTokenMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
							TimeUs _now);

/// @returns Time to first token if the upstream has cached nothing of the prompt, in milliseconds; 0 if
/// unknown.
double uncachedFirstTokenMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
							TimeUs _now);

/// @returns Expected time that a new prompt waits behind earlier ones at an upstream, in milliseconds.
double expectedWaitMs(const UpstreamTable& _table, UpstreamId _upstream);

/// The same for a query, by the measured speed of the upstream if the query uses it.
double expectedWaitMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
					  TimeUs _now);

/// Records the start of an attempt.
/// @returns Prefill time added to the upstream, to be passed to `recordFirstToken` or `recordEnded`.
double recordSent(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, TimeUs _now);

/// Records that a running request holds tokens in the memory of an upstream.
void holdTokens(UpstreamTable& _table, UpstreamId _id, uint32_t _tokens);

/// Records that they are released.
void releaseTokens(UpstreamTable& _table, UpstreamId _id, uint32_t _tokens);

/// Records that another router has sent a prompt part to an upstream.
/// @returns Whether the upstream is known and the same home was not recorded recently.
bool recordPeerHome(UpstreamTable& _table, const NewHome& _home, TimeUs _now);

/// Records the first token of an attempt. @param[in] _latency Time since the attempt started.
void recordFirstToken(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, double _prefillMs,
					  TimeUs _latency);

/// Outcome of an attempt, as it affects the upstream's health.
enum class HealthOutcome : uint8_t
{
	Good,
	Failed,      ///< The upstream failed or aborted its answer.
	TimedOut,    ///< No answer within the expected time.
	Unreachable, ///< The connection failed.
	None,        ///< No information: the caller disconnected, or the upstream was full.
};

/// Change in the state of an upstream at the end of an attempt.
enum class HealthChange : uint8_t
{
	None,
	Ejected,  ///< It receives no requests for a while.
	Returned, ///< It had been ejected and answers again.
};

/// Records the end of an attempt.
/// @param[in] _prefillMs Prefill time still counted for the attempt; 0 after its first token.
HealthChange recordEnded(UpstreamTable& _table, UpstreamId _id, double _prefillMs, HealthOutcome _outcome,
						 TimeUs _now);

/// A time that is not reached.
constexpr TimeUs kNever = INT64_MAX;
/// Time in which an upstream whose registration lapsed in a store outage can register again. Running
/// upstreams do so about 2 s after the outage ends.
constexpr TimeUs kReregistrationGrace = 2300 * kMsToUs;
/// Share of `UpstreamTable::drainBound` in which a lapsed upstream is used like any other. It may have shut
/// down as well, so it receives nothing after that bound.
constexpr double kRegularGraceShare = 0.8;
/// Share of `UpstreamTable::drainBound` in which a lapsed upstream is used if there is no other one. The rest
/// of the bound is for the time that a request takes to reach the upstream.
constexpr double kFallbackGraceShare = 0.9;
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_TABLE_H_HEADER_GUARD
