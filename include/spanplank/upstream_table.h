/// Upstreams that a router calls itself: who is registered, how they fare, which one takes a request.
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
#include "spanplank/hall_evacuation.h"
#include "spanplank/policies.h"
#include "spanplank/region_limit.h"
#include "spanplank/store_contact.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Short name of an upstream between routers: a hash of its id. Two upstreams with the same key only spoil
/// each other's hints.
using UpstreamKey = uint32_t;

/// What an upstream registers of itself.
struct UpstreamRecord
{
	std::string id; ///< Its name; an upstream may start again under the one that it had.
	std::string service;
	std::string address; ///< ip:port; may be given to another upstream later.
	std::string hall;
	std::string version; ///< Of its software.
	uint32_t slots = 1;
	bool leaving = false;
	uint32_t coldMs = 0;   ///< It is cold for so long from when it wrote this.
	uint64_t revision = 0; ///< Of the store, at which it wrote this; 0: not known.
	/// Unix time of its start in milliseconds: another one under the same id is another upstream. 0: it tells
	/// none, and is taken for the one that is known.
	uint64_t born = 0;
};

/// Health of an upstream, judged by the router's own requests alone.
struct UpstreamHealth
{
	double failureRate = 0.0; ///< Decayed share of failed attempts.
	uint32_t failuresInRow = 0;
	TimeUs ejectedUntil = 0;
	uint32_t ejections = 0; ///< In a row; each doubles the next.
	bool onTrial = false;   ///< One request shows whether it is back.
	double slowness = 1.0;  ///< Decayed latency over that of its service.
	uint32_t samples = 0;
};

/// Work that routers have at an upstream.
struct SharedLoad
{
	double prefillMs = 0.0; ///< Expected reading time of prompts that have no first token yet.
	uint32_t inFlight = 0;
};

struct UpstreamEntry
{
	UpstreamRecord record;
	UpstreamKey key = 0;
	bool registered = false;
	TimeUs goneAt = 0;       ///< When its registration went; 0: it has one.
	RemovalAssessment lapse; ///< What it told when its registration went.
	uint32_t inFlight = 0;
	double prefillMs = 0.0; ///< Expected reading time of the prompts sent there that have no first token yet.
	SharedLoad others;      ///< What the other routers have there, as far as they told.
	UpstreamHealth health;
	ColdState cold;
	bool unreachable = false; ///< It took no connection, and has not answered since.
};

/// Where the shared parts of a prompt were last read for one model, newest first.
struct PromptHome
{
	uint32_t upstream = kInvalidIdx;
	TimeUs at = 0;
};

/// A part of a prompt that a router has sent to be read, for the other routers.
struct NewHome
{
	uint64_t part = 0;
	UpstreamKey upstream = 0;

	bool operator==(const NewHome& _other) const
	{
		return part == _other.part && upstream == _other.upstream;
	}
};

/// Most new homes that wait to be told.
constexpr size_t kMostNewHomes = 1000;

/// How fast prompts are read, as answers show it.
struct ReadingPace
{
	double tokenMs = 0.0; ///< Reading time of a prompt token.
	uint32_t samples = 0;
};

struct UpstreamTable
{
	Policies policies;
	std::map<uint32_t, UpstreamEntry> entries;
	std::unordered_map<std::string, uint32_t> idxOfId;
	std::unordered_map<UpstreamKey, uint32_t> idxOfKey;
	std::map<std::string, double> latencyOf;   ///< Decayed latency in microseconds, by service and model.
	std::map<std::string, ReadingPace> paceOf; ///< By service and model.
	std::unordered_map<uint64_t, std::vector<PromptHome>> homes; ///< By the hash of a shared part.
	std::vector<NewHome> newHomes; ///< Not told to the other routers yet; at most `kMostNewHomes`.
	uint32_t nextIdx = 0;
	bool hearsOthers = false;                        ///< Other routers tell what they have at the upstreams.
	std::map<std::string, ColdService> coldServices; ///< By service; one that is not here has no bound.
	StoreContact contact; ///< Tells registrations that lapsed from upstreams that left.
	HallOrders halls;     ///< Evacuated halls: their upstreams get nothing.
	/// An upstream that leaves gets no request this long after; from the settings.
	TimeUs leaveBound = 2000 * kMsToUs;
};

/// @returns The key of an upstream's id, and of its start if it tells one.
UpstreamKey keyOf(std::string_view _id, uint64_t _born = 0);

/// @returns What tells an upstream from those that started under its id before, for logs and evidence.
std::string lifeName(const UpstreamRecord& _record);

/// How the upstream of a record relates to the one that is known under its id.
enum class LifeOrder : uint8_t
{
	First, ///< None is known.
	Same,
	Newer, ///< It has started again.
	Older, ///< The record is of an upstream that has ended.
};

LifeOrder lifeOrder(const UpstreamTable& _table, const UpstreamRecord& _record);

/// @returns The upstream that is known under an id; invalid: none.
UpstreamId currentLife(const UpstreamTable& _table, const std::string& _id);

/// An upstream registered or changed its record. One that has started again is another upstream: what was
/// known of the one before ends with it. A record of an older one changes nothing.
/// @returns The upstream that is known under the record's id now.
/// @param[in] _now When that was read: from then the time counts for which it says that it is cold.
UpstreamId registerUpstream(UpstreamTable& _table, const UpstreamRecord& _record, TimeUs _now = 0);

/// A hall is open again: its upstreams may have turned cold shortly before.
void noteHallOpened(UpstreamTable& _table, const std::string& _hall, TimeUs _now);

/// @returns Whether an upstream is cold, in a service whose cold upstreams must not get more than a bound.
bool isCold(const UpstreamTable& _table, UpstreamId _id, TimeUs _now);

/// A registration went. If it may have lapsed in an outage, the upstream stays usable for a while.
void unregisterUpstream(UpstreamTable& _table, const std::string& _id, TimeUs _now);

/// Ends the registrations that are not in a list that was read in full. @returns Their upstreams.
std::vector<uint32_t> unregisterOthers(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records,
									   TimeUs _now);

/// Both of the above for a list.
std::vector<uint32_t> replaceRegistrations(UpstreamTable& _table, absl::Span<const UpstreamRecord> _records,
										   TimeUs _now);

/// Forgets upstreams that are gone and have nothing in flight.
void forgetGone(UpstreamTable& _table, TimeUs _now);

/// One shared part of a prompt. An engine keeps it only together with all parts before it.
struct SharedPart
{
	uint64_t hash = 0; ///< Of the model, this part and all parts before it.
	uint32_t tokens = 0;
};

/// What a request needs of an upstream.
struct UpstreamQuery
{
	std::string_view service;
	std::string_view hall;    ///< Of the router; the same hall is preferred.
	std::string_view version; ///< Only this version; empty: any but `notVersion`.
	std::string_view notVersion;
	std::string_view model;
	/// The prompt's parts that other requests have too, in order; empty: there is no prompt or no sharing.
	std::vector<SharedPart> shared;
	uint32_t ownTokens = 0; ///< The rest of the prompt.
	double withinMs = 0.0;  ///< A first token within this counts as timely; 0: any does.
	bool repeatable = false;
	const std::set<uint32_t>* tried = nullptr; ///< Not these.
	HallLimit limit; ///< Only upstreams within it; what they keep is told to no other router.
};

/// @returns The upstream to send to; invalid if none is left.
UpstreamId pickDirectUpstream(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now,
							  Random& _random);

/// @returns When the first of the cold upstreams that a request may go to takes one of this router; nothing:
/// none is cold.
std::optional<TimeUs> nextColdTake(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now);

/// Why no upstream takes a request, as far as that is known before any is asked.
enum class NoUpstream : uint8_t
{
	None,      ///< None is registered, or those in open halls were tried.
	Evacuated, ///< All that are registered are in evacuated halls.
	Cold,      ///< Those in open halls are cold and get what they bear.
	Regions,   ///< All that are registered are in regions that may not serve the request.
};

/// @returns A name for logs.
const char* name(NoUpstream _why);

/// @returns Why `pickDirectUpstream` finds none.
NoUpstream whyNone(const UpstreamTable& _table, const UpstreamQuery& _query, TimeUs _now);

/// @returns Whether work may be sent to an upstream.
bool isUsable(const UpstreamTable& _table, const UpstreamEntry& _entry, TimeUs _now);

/// @returns Whether a request for which an upstream was chosen may still be sent there.
/// @param[in] _asCold It was cold when it was chosen, and the request is one of those that it bears.
bool maySendTo(const UpstreamTable& _table, UpstreamId _id, TimeUs _now, bool _asCold = false);

/// @returns Expected time to read a prompt at an upstream, with what it likely keeps of it, in milliseconds.
double prefillMsAt(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
				   TimeUs _now);

/// @returns Expected time to the first token, with what waits there, in milliseconds; 0: unknown.
double expectedHeadMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream,
					  TimeUs _now);

/// @returns Time to the first token if the upstream keeps nothing of the prompt, in milliseconds; 0: unknown.
double longestHeadMs(const UpstreamTable& _table, const UpstreamQuery& _query, UpstreamId _upstream);

/// @returns Expected time that a new prompt waits at an upstream for those of others, in milliseconds.
double expectedWaitMs(const UpstreamTable& _table, UpstreamId _upstream);

/// An attempt began. @returns What it adds to `prefillMs`, to be given back by `noteHead` or `noteEnded`.
double noteSent(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, TimeUs _now);

/// Another router has sent a part of a prompt to an upstream.
/// @returns Whether that is news: an upstream that this router knows, and not told a moment ago.
bool notePeerHome(UpstreamTable& _table, const NewHome& _home, TimeUs _now);

/// The first token came. @param[in] _latency Since the attempt began.
void noteHead(UpstreamTable& _table, UpstreamId _id, const UpstreamQuery& _query, double _prefillMs,
			  TimeUs _latency);

/// How an attempt went, as a sign of the upstream's health.
enum class HealthSign : uint8_t
{
	Good,
	Failed,      ///< A failure of its own, or an answer that was broken off.
	Silent,      ///< No answer in the time that it should take.
	Unreachable, ///< No connection.
	None,        ///< Says nothing: the caller left, or the upstream was full.
};

/// What an attempt's end changed in the belief about its upstream.
enum class HealthChange : uint8_t
{
	None,
	Ejected,  ///< It gets no work for a while.
	Returned, ///< It was ejected before and answers again.
};

/// An attempt ended. @param[in] _prefillMs What it still adds; 0 after its head came.
HealthChange noteEnded(UpstreamTable& _table, UpstreamId _id, double _prefillMs, HealthSign _sign,
					   TimeUs _now);

/// How long an upstream may return after its registration lapsed in an outage: those that live are back about
/// 2 s after its end. It may as well have left, so it gets nothing later than the bound on leaving ones: it
/// is used like any other for the first share of the bound, up to the second only if there is none else.
constexpr TimeUs kReturnGrace = 2300 * kMsToUs;
constexpr double kGraceShare = 0.8;
constexpr double kLastGraceShare = 0.9; ///< The rest is for the request's way.
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_TABLE_H_HEADER_GUARD
