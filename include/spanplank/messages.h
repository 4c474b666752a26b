/// Messages between the system's own processes. On the wire: CBOR (RFC 8949) arrays of [type, body].
#ifndef SPANPLANK_MESSAGES_H_HEADER_GUARD
#define SPANPLANK_MESSAGES_H_HEADER_GUARD

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "spanplank/config_replica.h"
#include "spanplank/crash_suspects.h"
#include "spanplank/errors.h"
#include "spanplank/link_messages.h"
#include "spanplank/run_once.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Sent by both ends every `kHeartbeatMs`. On the wire: an array of its fields.
struct Heartbeat
{
	uint64_t revision = 0; ///< Configuration revision in force at the sender.
	bool leaving = false;
	bool stopping = false;
	TimeUs hybridTime = 0; ///< Hybrid logical time of the sender.
};

/// Asks for all changes of the configuration after a revision.
struct ConfigAsk
{
	uint64_t since = 0;
};

/// One attempt of one request, judged by the router under `revision`.
struct Submit
{
	uint64_t attempt = 0;
	std::string request; ///< Unique over all routers.
	std::string account;
	std::string kind;
	std::string version; ///< Empty for a call to a plain service.
	std::string service;
	std::string method;
	std::string path;
	std::string contentType;
	std::string body;
	std::string key;    ///< The caller's Idempotency-Key, empty if none.
	std::string callId; ///< Run-once work: its identity (`callKey`), by which its home is ranked.
	bool stream = false;
	bool session = false; ///< It belongs to a session that began on this version.
	bool runOnce = false;
	uint32_t deadlineMs = 0; ///< Time left at the sender.
	uint32_t priority = 0;   ///< Lower goes first.
	uint32_t promptTokens = 0;
	uint32_t maxTokens = 0;
	uint64_t revision = 0;
	std::string billOwner; ///< Incarnation of the router.
	uint64_t billSeq = 0;  ///< All attempts of one step of one request share it: they are billed once.
};

struct CancelAttempt
{
	uint64_t attempt = 0;
};

struct AnswerStart
{
	uint64_t attempt = 0;
	int status = 200;
	std::string contentType;
};

struct AnswerPart
{
	uint64_t attempt = 0;
	uint32_t seq = 0; ///< From 0, without gaps.
	std::string data;
};

/// What one piece of work costs. Made where it ran; counted once under (`owner`, `seq`).
struct Bill
{
	std::string owner; ///< Incarnation of the router that asked for the work.
	uint64_t seq = 0;  ///< From 1, within the owner.
	std::string request;
	std::string account;
	std::string what; ///< Version or service.
	uint32_t promptTokens = 0;
	uint32_t outputTokens = 0;
	double cost = 0.0;
};

struct AnswerEnd
{
	uint64_t attempt = 0;
	uint32_t parts = 0; ///< Parts that the answer has: fewer seen is not a whole answer.
	double confidence = 1.0;
	bool replayed = false; ///< It comes from the run-once record; nothing ran anew.
	Bill bill;             ///< `seq` 0: nothing to bill.
};

struct AnswerRefused
{
	uint64_t attempt = 0;
	std::string code;
	bool mayHaveRun = false;
	uint32_t retryAfterMs = 0;
	std::string detail;
};

/// Load of an upstream, sent at most once in `kHeartbeatMs`, and only if it has changed.
struct Report
{
	uint32_t running = 0;
	uint32_t queued = 0;
	uint32_t slots = 1;
	double secondsPerToken = 0.0;
	uint64_t prefillBacklog = 0; ///< Prompt tokens that wait.
	bool billsFull = false;
};

/// Bills of one owner that the ledger holds: their copies may be dropped.
struct BillsFlushed
{
	std::string owner;
	std::vector<uint64_t> seqs;
};

struct Halts
{
	std::vector<Halt> halts;
};

/// Requests under which upstreams ended, as they changed.
struct Suspects
{
	std::vector<SuspectUpdate> suspects;
};

/// @returns What a request is known by at routers and agents alike.
inline RequestDigest digestOf(const Submit& _submit)
{
	return digestOf(
		RequestParts{_submit.account, _submit.service, _submit.method, _submit.path, _submit.body});
}

struct TableMessage
{
	HomeTable table;
};

/// Heartbeats are what an idle system sends: an array, so that no names travel.
inline void to_json(nlohmann::json& _json, const Heartbeat& _heartbeat)
{
	_json = {_heartbeat.revision, _heartbeat.leaving, _heartbeat.stopping, _heartbeat.hybridTime};
}

inline void from_json(const nlohmann::json& _json, Heartbeat& _heartbeat)
{
	_json.at(0).get_to(_heartbeat.revision);
	_json.at(1).get_to(_heartbeat.leaving);
	_json.at(2).get_to(_heartbeat.stopping);
	_json.at(3).get_to(_heartbeat.hybridTime);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigAsk, since)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Submit, attempt, request, account, kind, version, service,
												method, path, contentType, body, key, callId, stream, session,
												runOnce, deadlineMs, priority, promptTokens, maxTokens,
												revision, billOwner, billSeq)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CancelAttempt, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerStart, attempt, status, contentType)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerPart, attempt, seq, data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Bill, owner, seq, request, account, what, promptTokens,
												outputTokens, cost)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerEnd, attempt, parts, confidence, replayed, bill)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerRefused, attempt, code, mayHaveRun, retryAfterMs,
												detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Report, running, queued, slots, secondsPerToken,
												prefillBacklog, billsFull)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BillsFlushed, owner, seqs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Halts, halts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Suspects, suspects)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TableMessage, table)
} // namespace spanplank

#endif // SPANPLANK_MESSAGES_H_HEADER_GUARD
