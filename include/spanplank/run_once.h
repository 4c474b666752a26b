/// Run-once guard: a call that may not be repeated runs at most once over a group of agents.
///
/// A table in the platform's store names the members of the group under an epoch. Each key has a primary and
/// a successor by rendezvous rank over the members. The primary records an intent at the successor before it
/// runs a call, so that whoever takes over knows the key; it needs neither clocks nor the store for that.
/// See docs/design/run-once.md for the argument and its limits.
#ifndef SPANPLANK_RUN_ONCE_H_HEADER_GUARD
#define SPANPLANK_RUN_ONCE_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "spanplank/config.h"
#include "spanplank/errors.h"
#include "spanplank/types.h"

namespace spanplank
{
/// A member of a group.
struct HomeMember
{
	std::string incarnation;
	std::string box;
	uint64_t settledEpoch = 0; ///< Epoch at which it had pulled all other members' records.
};

/// The members of a group, as agreed in the store by compare-and-swap.
struct HomeTable
{
	std::string pool;
	uint64_t epoch = 0;
	std::vector<HomeMember> members;
	/// Keys born before this wall time (milliseconds since 1970) may have run on members whose records are
	/// lost. 0: none.
	int64_t doubtBeforeMs = 0;
};

/// Where a call stands.
enum class CallState : uint8_t
{
	Asking,  ///< The intent is on its way to the successor.
	Running, ///< Forwarded.
	Done,    ///< Its answer is known.
	Doubt,   ///< It may have run; its answer is not known here.
};

/// A whole answer, kept for replay.
struct CallAnswer
{
	int status = 0;
	std::string contentType;
	std::string body;
	bool unknown = false; ///< The upstream was lost while it ran: nobody knows the answer.
};

/// What a member remembers of a key.
struct CallRecord
{
	std::string key; ///< From `callKey`.
	std::string bodyHash;
	std::string owner; ///< Incarnation that recorded the intent.
	CallState state = CallState::Asking;
	uint64_t ask = 0;   ///< The owner's number of the intent that counts.
	int64_t seenMs = 0; ///< Wall time of the first sight, for retention.
	CallAnswer answer;
};

/// Primary to successor: may I run this?
struct Intent
{
	std::string key;
	std::string bodyHash;
	std::string owner;
	uint64_t ask = 0; ///< Number of this intent at its owner: a later one for the key makes it void.
	HomeTable table;  ///< The table under which the primary asks.
};

struct IntentReply
{
	std::string key;
	uint64_t ask = 0; ///< Of the intent that it replies to.
	bool granted = false;
	bool known = false; ///< Refused since the successor has a record: it comes along.
	CallRecord record;
	HomeTable table; ///< The replier's, if it is newer; else empty.
};

/// Primary to successor: how a call ended.
struct Outcome
{
	std::string key;
	uint64_t ask = 0;      ///< Of the intent that it ends; any other one stands.
	bool released = false; ///< It never ran: forget the intent.
	CallAnswer answer;
};

/// Records of one member, from a position of its log on.
struct RecordsMessage
{
	uint64_t epoch = 0; ///< The sender had adopted this epoch before it read its log.
	uint64_t upTo = 0;  ///< Log position after these.
	std::vector<CallRecord> records;
};

struct RecordsRequest
{
	uint64_t epoch = 0;
	uint64_t from = 0;
};

/// Who waits for an answer: a link and its attempt.
struct CallWaiter
{
	LinkId link;
	uint64_t attempt = 0;

	bool operator==(const CallWaiter& _other) const
	{
		return link.idx == _other.link.idx && attempt == _other.attempt;
	}
};

/// A call at the guard of the agent that a router took for its primary.
struct GuardedCall
{
	std::string key;
	std::string bodyHash;
	std::optional<int64_t> birthMs; ///< Birth that the key carries (UUIDv7, RFC 9562), if any.
	CallWaiter waiter;
};

// Actions of the guard.
struct RunCall
{
	std::string key;
	CallWaiter first; ///< The waiter whose call runs.
};
struct ReplayAnswer
{
	CallWaiter waiter;
	CallAnswer answer;
};
struct RefuseCall
{
	CallWaiter waiter;
	Refusal refusal;
};
struct SendIntent
{
	std::string to; ///< Incarnation.
	Intent intent;
};
struct SendOutcome
{
	std::string to;
	Outcome outcome;
};
struct AskRecords
{
	std::string to;
	RecordsRequest request;
};
struct TableAdopted
{
	uint64_t epoch = 0;
};

using GuardAction =
	std::variant<RunCall, ReplayAnswer, RefuseCall, SendIntent, SendOutcome, AskRecords, TableAdopted>;
using GuardActions = std::vector<GuardAction>;

struct RunOnceLimits
{
	size_t maxKeys = kRunOnceMaxKeys;
	size_t answerBytes = kRunOnceAnswerBytes;
	int64_t retentionMs = kRunOnceRetentionMs;
	TimeUs intentTimeoutUs = 500 * kMsToUs;
	/// Off only to show what fails without it: runs without asking the successor.
	bool askSuccessor = true;
};

struct RunOnceStats
{
	uint64_t run = 0;
	uint64_t joined = 0;
	uint64_t replayed = 0;
	uint64_t refused = 0;
	uint64_t inDoubt = 0;
};

/// The guard of one member. Plain data: the functions below are its only writers.
struct RunOnceGuard
{
	struct Entry
	{
		CallRecord record;
		std::vector<CallWaiter> waiters;
		TimeUs askedAt = 0;
		std::string askedOf;
		uint64_t logIndex = 0; ///< Position of its latest change in the log.
	};

	std::string self;
	RunOnceLimits limits;
	HomeTable table;
	std::unordered_map<std::string, Entry> entries;
	std::map<uint64_t, std::string> log; ///< Latest change of each key by position.
	uint64_t logEnd = 0;
	uint64_t nextAsk = 1;
	std::map<std::string, uint64_t> pulledEpoch; ///< By member: epoch of its latest whole records.
	std::map<std::string, uint64_t> pulledUpTo;  ///< By member: position up to which its log is held.
	size_t answerBytes = 0;
	bool resigned = false; ///< It has asked to leave: it runs and grants nothing any more.
	RunOnceStats stats;
};

/// @returns The identity of a call: account, service and the caller's key, hashed.
std::string callKey(std::string_view _account, std::string_view _service, std::string_view _key);

/// @returns The birth of a UUIDv7 key in milliseconds since 1970, or nothing for any other key.
std::optional<int64_t> keyBirthMs(std::string_view _key);

/// @returns Indices of members from first rank to last for a key.
std::vector<size_t> rankMembers(absl::Span<const HomeMember> _members, std::string_view _key);

/// @returns Whether an incarnation is a member of the table.
bool isMember(const HomeTable& _table, std::string_view _incarnation);

/// @returns Whether the guard is a member that holds all records of its epoch.
bool isSettled(const RunOnceGuard& _guard);

/// A call arrived. @param[in] _now monotonic time. @param[in] _wallMs wall time, for births and retention.
void begin(RunOnceGuard& _guard, const GuardedCall& _call, TimeUs _now, int64_t _wallMs,
		   GuardActions& _actions);

/// A forwarded call ended.
void finish(RunOnceGuard& _guard, const std::string& _key, const CallAnswer& _answer, GuardActions& _actions);

/// A call that was to run was not forwarded after all (it was refused before any byte left).
void release(RunOnceGuard& _guard, const std::string& _key, const Refusal& _refusal, GuardActions& _actions);

/// The successor's side of an intent. @returns The reply for the asker.
IntentReply handleIntent(RunOnceGuard& _guard, const Intent& _intent, TimeUs _now, int64_t _wallMs,
						 GuardActions& _actions);
void handleIntentReply(RunOnceGuard& _guard, const std::string& _from, const IntentReply& _reply, TimeUs _now,
					   GuardActions& _actions);
void handleOutcome(RunOnceGuard& _guard, const Outcome& _outcome);

/// Adopts a table if its epoch is higher. Calls under way under the old one are asked anew or refused.
void adoptTable(RunOnceGuard& _guard, const HomeTable& _table, TimeUs _now, GuardActions& _actions);

RecordsMessage recordsFor(const RunOnceGuard& _guard, const RecordsRequest& _request);
void handleRecords(RunOnceGuard& _guard, const std::string& _from, const RecordsMessage& _records);

/// Times out intents, asks for records that are missing, forgets keys past retention.
void tick(RunOnceGuard& _guard, TimeUs _now, int64_t _wallMs, GuardActions& _actions);

/// What a member sees of the others, to propose a change of the table.
struct MemberSight
{
	std::string incarnation;
	std::string box;
	bool linked = false;
	TimeUs lostFor = 0; ///< How long there has been no link to it.
	/// Proof that this incarnation is dead: its box runs another one, or was taken off the list.
	bool gone = false;
};

struct ProposeInput
{
	HomeMember self;
	bool leaving = false;
	TimeUs deadAfterUs = 2000 * kMsToUs;
	int64_t wallMs = 0;
};

/// @returns The table that a member wants in the store next, or nothing if it is content.
/// @remarks One removal or one joiner at a time. A removal is safe if all survivors hold all records; then a
/// suspicion is enough. Any other removal needs proof of death, and raises `doubtBeforeMs`.
std::optional<HomeTable> proposeTable(const RunOnceGuard& _guard, const HomeTable& _current,
									  const ProposeInput& _input, absl::Span<const MemberSight> _sights);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HomeMember, incarnation, box, settledEpoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HomeTable, pool, epoch, members, doubtBeforeMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallAnswer, status, contentType, body, unknown)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallRecord, key, bodyHash, owner, state, ask, seenMs, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Intent, key, bodyHash, owner, ask, table)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(IntentReply, key, ask, granted, known, record, table)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Outcome, key, ask, released, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordsMessage, epoch, upTo, records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordsRequest, epoch, from)
} // namespace spanplank

#endif // SPANPLANK_RUN_ONCE_H_HEADER_GUARD
