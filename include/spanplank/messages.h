/// Messages between routers and agents. On the wire: CBOR (RFC 8949) arrays of [type, body].
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
#include "spanplank/suspect_subjects.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Sent by both ends of a link every `kHeartbeatMs`. On the wire: an array of its fields.
struct Heartbeat
{
	uint64_t revision = 0; ///< Revision of the configuration that the sender uses.
	bool leaving = false;
	bool stopping = false;
	TimeUs hybridTime = 0; ///< Hybrid logical time of the sender.
};

/// Requests all changes of the configuration after revision `since`.
struct ConfigRequest
{
	uint64_t since = 0;
};

/// Submits one attempt of a request, which the router has admitted under configuration `revision`.
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
	std::string key;    ///< Idempotency-Key of the caller; empty if there is none.
	std::string callId; ///< Key of a run-once call (`callKey`), by which its home is ranked; else empty.
	std::vector<std::string> parts; ///< As `CallerRequest::parts`.
	bool stream = false;
	bool session = false; ///< Belongs to a session that began on this version.
	bool runOnce = false;
	uint32_t deadlineMs = 0; ///< Time left until the deadline when it was sent.
	uint32_t priority = 0;   ///< Lower values are served first.
	uint32_t promptTokens = 0;
	uint32_t maxTokens = 0;
	uint64_t revision = 0;
	std::string billOwner; ///< Incarnation of the router, the owner of the bill.
	uint64_t billSeq = 0;  ///< Shared by all attempts of one step of a request, so that they are billed once.
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
	uint32_t seq = 0; ///< Counted from 0, without gaps.
	std::string data;
};

/// Cost of one unit of work. Created by the agent that ran it; counted once under (`owner`, `seq`).
struct Bill
{
	std::string owner; ///< Incarnation of the router that requested the work.
	uint64_t seq = 0;  ///< Counted from 1 within the owner.
	std::string request;
	std::string account;
	std::string what; ///< Version or service that ran.
	uint32_t promptTokens = 0;
	uint32_t outputTokens = 0;
	double cost = 0.0;
};

struct AnswerEnd
{
	uint64_t attempt = 0;
	uint32_t parts = 0; ///< Number of parts in the answer; if fewer were received, the answer is incomplete.
	double confidence = 1.0;
	bool replayed = false; ///< The answer comes from the run-once record; nothing was executed again.
	Bill bill;             ///< `seq` is 0 if there is nothing to bill.
};

struct AnswerRefused
{
	uint64_t attempt = 0;
	std::string code;
	bool mayHaveRun = false;
	uint32_t retryAfterMs = 0;
	std::string detail;
};

/// Load of an upstream, sent at most once per `kHeartbeatMs` and only if it has changed.
struct LoadReport
{
	uint32_t running = 0;
	uint32_t queued = 0;
	uint32_t slots = 1;
	double secondsPerToken = 0.0;
	uint64_t prefillBacklog = 0; ///< Prompt tokens in the queue.
	bool billsFull = false;
};

/// Lists bills of one owner that are stored in the ledger, so that their copies can be dropped.
struct BillsFlushed
{
	std::string owner;
	std::vector<uint64_t> seqs;
};

struct Halts
{
	std::vector<Halt> halts;
};

/// Changed suspects: requests during which upstreams ended.
struct Suspects
{
	std::vector<SuspectUpdate> suspects;
};

/// @returns What an attempt can be refused for, the same on all routers and agents. The models of all
/// versions are one service.
inline SuspectSubjects subjectsOf(const Submit& _submit)
{
	return makeSubjects({_submit.account, _submit.service, _submit.method, _submit.path, _submit.body},
						_submit.service, {_submit.parts.begin(), _submit.parts.end()});
}

struct HomeTableMessage
{
	HomeTable table;
};

/// An idle system sends mostly heartbeats: they are encoded as arrays, without field names, to keep them
/// small.
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

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigRequest, since)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Submit, attempt, request, account, kind, version, service,
												method, path, contentType, body, key, callId, stream, session,
												runOnce, deadlineMs, priority, promptTokens, maxTokens,
												revision, billOwner, billSeq, parts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CancelAttempt, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerStart, attempt, status, contentType)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerPart, attempt, seq, data)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Bill, owner, seq, request, account, what, promptTokens,
												outputTokens, cost)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerEnd, attempt, parts, confidence, replayed, bill)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerRefused, attempt, code, mayHaveRun, retryAfterMs,
												detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadReport, running, queued, slots, secondsPerToken,
												prefillBacklog, billsFull)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BillsFlushed, owner, seqs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Halts, halts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Suspects, suspects)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HomeTableMessage, table)
} // namespace spanplank

#endif // SPANPLANK_MESSAGES_H_HEADER_GUARD
