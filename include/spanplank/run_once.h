/// Run-once guard: a non-repeatable call runs at most once in a group of agents.
///
/// A table in the platform's store lists the members of the group, with an epoch. Rendezvous hashing over the
/// members ranks a primary and a successor for each key. The primary records an intent at the successor
/// before it runs a call, so that the member that takes over has a record of the key. This depends neither on
/// clocks nor on the store. See docs/design/run-once.md for the argument and its limits.
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
	uint64_t settledEpoch = 0; ///< Latest epoch in which it had pulled the records of all other members.
};

/// The members of a group. Stored in the platform's store and changed by compare-and-swap.
struct HomeTable
{
	std::string pool;
	uint64_t epoch = 0;
	std::vector<HomeMember> members;
	/// Keys created before this wall time (milliseconds since 1970) may have run on members whose records are
	/// lost; 0 if no records were lost.
	int64_t doubtBeforeMs = 0;
};

/// State of a call. Sent between agents as its number.
enum class CallState : uint8_t
{
	IntentPending, ///< The intent was sent to the successor and not answered yet.
	Running,       ///< The call may run: it is queued or forwarded.
	Done,          ///< The call has ended and its answer is recorded.
	InDoubt,       ///< The call may have run; its answer is not known to this member.
};

/// A complete answer, retained for replay.
struct CallAnswer
{
	int status = 0;
	std::string contentType;
	std::string body;
	/// The answer is not available: the upstream was lost during the call, or the bodies exceed
	/// `answerBytes`.
	bool unknown = false;
};

/// A member's record of a key.
struct CallRecord
{
	std::string key; ///< From `callKey`.
	std::string bodyHash;
	std::string owner; ///< Incarnation that recorded the intent.
	CallState state = CallState::IntentPending;
	uint64_t ask = 0;   ///< Number of the current intent, assigned by the owner.
	int64_t seenMs = 0; ///< Wall time in milliseconds since 1970 when the record was created, for retention.
	CallAnswer answer;
};

/// Primary to successor: request to run a call.
struct Intent
{
	std::string key;
	std::string bodyHash;
	std::string owner;
	uint64_t ask = 0; ///< Number of this intent at its owner; a later intent for the key supersedes it.
	HomeTable table;  ///< The primary's table.
};

struct IntentReply
{
	std::string key;
	uint64_t ask = 0; ///< Number of the intent that this replies to.
	bool granted = false;
	bool known = false; ///< Refused because the successor has a record of the key, which is in `record`.
	CallRecord record;
	HomeTable table; ///< The successor's table if it is newer than the primary's; empty otherwise.
};

/// Primary to successor: the result of a call.
struct Outcome
{
	std::string key;
	uint64_t ask = 0; ///< Number of the intent that this completes; other intents for the key stay valid.
	bool released = false; ///< The call did not run: the successor removes the intent.
	CallAnswer answer;
};

/// Records of one member after a position of its log.
struct RecordsMessage
{
	uint64_t epoch = 0; ///< Epoch of the sender's table when it read its log.
	uint64_t upTo = 0;  ///< Log position up to which `records` is complete.
	std::vector<CallRecord> records;
};

struct RecordsRequest
{
	uint64_t epoch = 0; ///< Epoch of the requester's table.
	uint64_t from = 0;  ///< Log position up to which the requester has the records.
};

/// Recipient of an answer: an attempt on a link.
struct CallWaiter
{
	LinkId link;
	uint64_t attempt = 0;

	bool operator==(const CallWaiter& _other) const
	{
		return link.idx == _other.link.idx && attempt == _other.attempt;
	}
};

/// A call that a router sent to this agent as the primary of its key.
struct GuardedCall
{
	std::string key;
	std::string bodyHash;
	std::optional<int64_t>
		keyCreatedMs; ///< Creation time in a UUIDv7 key (RFC 9562), in milliseconds since 1970.
	CallWaiter waiter;
};

// Actions that the guard returns.
struct RunCall
{
	std::string key;
	CallWaiter first; ///< The waiter whose call is run; later ones with the same key receive a copy.
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
	std::string to; ///< Incarnation of the successor.
	Intent intent;
};
struct SendOutcome
{
	std::string to;
	Outcome outcome;
};
struct RequestRecords
{
	std::string to;
	RecordsRequest request;
};
struct TableAdopted
{
	uint64_t epoch = 0;
};

using GuardAction =
	std::variant<RunCall, ReplayAnswer, RefuseCall, SendIntent, SendOutcome, RequestRecords, TableAdopted>;
using GuardActions = std::vector<GuardAction>;

struct RunOnceLimits
{
	size_t maxKeys = kRunOnceMaxKeys;         ///< Keys with a record.
	size_t answerBytes = kRunOnceAnswerBytes; ///< Total size of the bodies that are retained for replay.
	int64_t retentionMs = kRunOnceRetentionMs;
	TimeUs intentTimeoutUs = 500 * kMsToUs;
	/// Records an intent at the successor before a call runs. Tests disable it to show the failure.
	bool replicateIntent = true;
};

struct RunOnceStats
{
	uint64_t run = 0;
	uint64_t joined = 0;
	uint64_t replayed = 0;
	uint64_t refused = 0;
	uint64_t inDoubt = 0;
};

/// The guard's state on one member. Modified only by the functions below, except for `self`, `limits`,
/// `resigned` and the pool's name in `table`, which the agent sets.
struct RunOnceGuard
{
	struct Entry
	{
		CallRecord record;
		std::vector<CallWaiter> waiters;
		TimeUs intentSentAt = 0;
		std::string successor;
		uint64_t logIndex = 0; ///< Log position of the latest change; 0 if the entry is not in the log.
	};

	std::string self; ///< Incarnation of this member.
	RunOnceLimits limits;
	HomeTable table;
	std::unordered_map<std::string, Entry> entries;
	std::map<uint64_t, std::string> log; ///< Keys by the position of their latest change.
	uint64_t logEnd = 0;
	uint64_t nextIntent = 1;
	std::map<std::string, uint64_t> pulledEpoch; ///< By member: epoch of the latest records pulled from it.
	std::map<std::string, uint64_t> pulledUpTo; ///< By member: log position up to which its records are held.
	size_t answerBytes = 0;                     ///< Total size of the bodies held.
	bool resigned = false; ///< The member leaves the group: it neither runs nor grants calls any more.
	RunOnceStats stats;
};

/// @returns The identity of a call: the first 128 bits, in hex, of a SHA-256 over account, service and the
/// caller's key.
std::string callKey(std::string_view _account, std::string_view _service, std::string_view _key);

/// @returns The creation time of a UUIDv7 key in milliseconds since 1970, or nothing for any other key.
std::optional<int64_t> keyCreatedMs(std::string_view _key);

/// @returns Indices of the members, ordered by their rank for a key.
std::vector<size_t> rankMembers(absl::Span<const HomeMember> _members, std::string_view _key);

/// @returns Whether an incarnation is a member of the table.
bool isMember(const HomeTable& _table, std::string_view _incarnation);

/// @returns Whether the guard is a member and has pulled the other members' records in its table's epoch.
bool isSynced(const RunOnceGuard& _guard);

/// Handles a call that arrived: runs it, joins it to one with the same key, replays its answer or refuses it.
/// @param[in] _now Monotonic time.
/// @param[in] _wallMs Wall time in milliseconds since 1970, for creation times of keys and retention.
void beginCall(RunOnceGuard& _guard, const GuardedCall& _call, TimeUs _now, int64_t _wallMs,
			   GuardActions& _actions);

/// Records the answer of a forwarded call and sends it to all waiters.
void finishCall(RunOnceGuard& _guard, const std::string& _key, const CallAnswer& _answer,
				GuardActions& _actions);

/// Removes a granted call that was not forwarded because it was refused before any byte was sent.
void releaseCall(RunOnceGuard& _guard, const std::string& _key, const Refusal& _refusal,
				 GuardActions& _actions);

/// Handles an intent on the successor. @returns The reply to the primary.
IntentReply handleIntent(RunOnceGuard& _guard, const Intent& _intent, TimeUs _now, int64_t _wallMs,
						 GuardActions& _actions);
void handleIntentReply(RunOnceGuard& _guard, const std::string& _from, const IntentReply& _reply, TimeUs _now,
					   GuardActions& _actions);
void handleOutcome(RunOnceGuard& _guard, const Outcome& _outcome);

/// Adopts a table if its epoch is higher. Calls whose intent is pending under the old one are refused.
void adoptTable(RunOnceGuard& _guard, const HomeTable& _table, TimeUs _now, GuardActions& _actions);

RecordsMessage recordsFor(const RunOnceGuard& _guard, const RecordsRequest& _request);
void handleRecords(RunOnceGuard& _guard, const std::string& _from, const RecordsMessage& _records);

/// Times out intents, requests missing records and removes keys whose retention has ended.
void tick(RunOnceGuard& _guard, TimeUs _now, int64_t _wallMs, GuardActions& _actions);

/// A member's view of another one, as input for a change of the table.
struct MemberStatus
{
	std::string incarnation;
	std::string box;
	bool linked = false;       ///< There is an open link to it.
	TimeUs unreachableFor = 0; ///< Time without a link to it.
	/// This incarnation has certainly terminated: its box runs another one or was removed from the box list.
	bool confirmedDead = false;
};

struct ProposalInput
{
	HomeMember self;
	bool leaving = false;
	TimeUs suspectAfterUs = 2000 * kMsToUs;
	int64_t wallMs = 0;
};

/// @returns The table that a member should write to the store next, or nothing if no change is needed.
/// @remarks A change removes or adds a single member. A removal is safe if all remaining members hold all
/// records; then a suspicion suffices. Any other removal requires that the member has certainly terminated,
/// and raises `doubtBeforeMs`.
std::optional<HomeTable> proposeTable(const RunOnceGuard& _guard, const HomeTable& _current,
									  const ProposalInput& _input, absl::Span<const MemberStatus> _statuses);

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
