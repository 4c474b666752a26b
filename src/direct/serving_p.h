/// One request under way in direct mode, and the steps that its fiber takes: checks, choice of an upstream,
/// final answer. The attempts are in `attempt_p.h`.
#ifndef SPANPLANK_SERVING_P_H_HEADER_GUARD
#define SPANPLANK_SERVING_P_H_HEADER_GUARD

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "http_p.h"
#include "platform/headers_p.h"
#include "spanplank/event_stream.h"
#include "spanplank/request_digest.h"
#include "spanplank/request_plan.h"
#include "spanplank/service_config.h"
#include "spanplank/suspect_subjects.h"
#include "spanplank/upstream_table.h"
#include "spanplank/version_trial.h"
#include "upstream_http_p.h"

namespace spanplank
{
struct LiveAttempt;

/// The memory that one answer holds, for as long as this lives.
class HeldAnswer
{
public:
	explicit HeldAnswer(DirectRouter& _router) : m_router(_router)
	{
	}

	~HeldAnswer()
	{
		recordHeld(m_router.buffers, m_bytes, 0);
	}

	HeldAnswer(const HeldAnswer&) = delete;
	HeldAnswer& operator=(const HeldAnswer&) = delete;

	/// @returns Whether it may hold that many bytes; if not, the answer has to be given up.
	bool resize(size_t _bytes)
	{
		if (!mayHold(m_router.buffers, m_bytes, _bytes))
		{
			++m_router.stats.answersTooLarge;
			return false;
		}
		recordHeld(m_router.buffers, m_bytes, _bytes);
		m_bytes = _bytes;
		return true;
	}

private:
	DirectRouter& m_router;
	size_t m_bytes = 0;
};

/// One request and what its attempts need. One attempt at a time, but for a begun answer whose upstream
/// pauses: that attempt is kept while others are made by a fiber of their own, and the first that goes on
/// with the answer ends the others.
struct Serving
{
	Serving(DirectRouter& _router, HttpExchange& _exchange)
		: router(_router), exchange(_exchange), wakeUp(_router.io), failedHold(_router)
	{
	}

	DirectRouter& router;
	HttpExchange& exchange;
	platform::CallHeaders call;
	ServiceConfigPtr config; ///< The request is judged by the configuration that it began with.
	const Route* route = nullptr;
	const AccountEntry* account = nullptr; ///< Null: the request came without a key on an anonymous route.
	std::string service;
	HallLimit limit; ///< Where it may be served.
	RequestPlan plan;
	int64_t lastEventId = -1; ///< Of the last event that the caller was sent; -1: none.
	bool callerGone = false;
	std::vector<LiveAttempt*> live;           ///< Attempts under way, the oldest first.
	std::list<boost::fibers::fiber> searches; ///< Fibers that make attempts beside a kept one.
	bool searching = false; ///< One of them looks for an upstream, or waits for one that is not kept.
	uint32_t search = 0;    ///< Number of the newest of them.
	FiberAlarm wakeUp;      ///< Of a fiber that pauses between attempts or waits for room.
	std::optional<SuspectSubjects> subjects; ///< Made when they are asked for first.
	bool suspected = false;             ///< Upstreams ended while it, or a copy of it, was at work there.
	bool endsUpstreams = false;         ///< Found out while it was under way: no attempt follows.
	bool resumed = false;               ///< An attempt went on with an answer that another one had begun.
	std::optional<RequestDigest> probe; ///< The suspect whose refusal is over and of which it is the one run.
	uint32_t turns = 0; ///< How often an attempt has ended others by going on with the answer.
	AttemptEnd last = AttemptEnd::NotSent;
	NoUpstream noUpstream = NoUpstream::None; ///< Why none was left to ask, when that was so last.
	TimeUs acceptsAt = 0;        ///< When an upstream accepted a request again, as known then; 0: not known.
	bool countedAsBegun = false; ///< An upstream has begun to answer it.
	bool admitted = false;       ///< It was let in to the upstreams of its service, see `awaitRoom`.
	bool drawsUpstream = false;  ///< It has waited: routers that let requests in together spread them.
	uint32_t roomRetryAfterMs = 0; ///< It was refused as no upstream had room; 0: it was not.
	bool failedOnTrial = false;    ///< A version on trial answered an attempt with a failure.
	TimeUs unread = 0;             ///< Longest time that it can have waited before it was served.
	TimeUs firstByteAt = 0;        ///< When the caller was sent the first byte of an answer; 0: not yet.
	// Of the answer that is passed on as it is, if the last upstream failed by its own word.
	int failedStatus = 0;
	HttpExchange::Fields failedHead;
	std::string failedBody;
	HeldAnswer failedHold;
};

/// @returns Milliseconds with one decimal, for logs.
std::string millisText(TimeUs _time);

// ---- Checks -----------------------------------------------------------------------------------------------

/// @returns Whether the configuration allows the request; otherwise it has been refused.
bool admitByConfig(Serving& _serving);

/// @returns Whether this router's region may serve the request; otherwise it was refused.
bool admitByRegion(Serving& _serving);

/// @returns Whether the request may run, as far as upstreams have ended under copies of it; otherwise it was
/// refused.
bool admitBySuspicion(Serving& _serving);

/// @returns Whether some of the request's time is left; otherwise it was refused, as it has waited unread for
/// too long.
bool admitByTime(Serving& _serving);

/// @returns Whether a request that came late in a planned stop can still end within it; otherwise it was
/// refused.
bool admitByStop(Serving& _serving);

/// @returns What the request is known by beyond its own try.
const SuspectSubjects& subjectsOf(Serving& _serving);

// ---- Choice of an upstream --------------------------------------------------------------------------------

/// @returns The same for all requests of a session, and for all attempts of a request without one.
uint64_t sessionHash(const Serving& _serving);

/// @returns The model of the attempt under way; empty: the caller names none.
std::string modelOf(const Serving& _serving);

/// @returns The urgency of a request, by its account's and its route's priority: from 0, most urgent, to 9.
uint32_t urgencyOf(const Serving& _serving);

/// What the attempt needs of an upstream. The views in it last as long as the serving and the model's name.
UpstreamQuery queryOf(const Serving& _serving, const std::string& _model);

/// Adds the expected length of the answer and the time left, if the ends of the service's answers are
/// estimated.
void addCompletion(const Serving& _serving, UpstreamQuery& _query);

/// Adds when the next model's answer is expected to end at an upstream.
void addExpectedEnd(const Serving& _serving, const UpstreamQuery& _query, UpstreamId _upstream,
					NextModelEstimate& _next);

/// @returns The versions that the request may use now.
VersionChoice versionsFor(const Serving& _serving, TimeUs _now);

/// @returns A query limited to versions, as long as `_versions` lives: the query only views them.
UpstreamQuery withVersions(UpstreamQuery _query, const VersionChoice& _versions);
UpstreamQuery withVersions(UpstreamQuery _query, VersionChoice&& _versions) = delete;

/// Picks an upstream with room within the versions allowed now; without one among them, any that may still
/// get requests.
/// @returns Invalid if none is left.
UpstreamId pickUpstreamFor(Serving& _serving, UpstreamQuery _query, TimeUs _now);

/// @returns What the next model would take at the upstream that would be asked; zeros if the caller chose the
/// model.
NextModelEstimate expectNextModel(Serving& _serving);

// ---- Final answer -----------------------------------------------------------------------------------------

/// @returns Whether callers take a status as a promise that the request has not run. Such an answer of an
/// upstream that ran it is not passed on.
bool promisesNotRun(int _status);

/// Answers with an error of the router's own.
/// @param[in] _retryAfterMs 0: none is told.
void refuse(Serving& _serving, int _status, const char* _code, std::string_view _message,
			uint32_t _retryAfterMs);

/// Refuses a request that ends upstreams: as not run if that is so.
void refuseSuspect(Serving& _serving);

/// Its time is up as this process ends: the attempt under way is cancelled, and no other follows. A begun
/// answer goes on until then, as its end is all that is missing.
void endBeforeStop(Serving& _serving);

/// The process ends with the request in hand: logs what it waited for.
void noteCutByStop(const Serving& _serving);

/// Ends the request after its last attempt: counts and logs it, and answers if no answer was passed on.
void finishRequest(Serving& _serving);
} // namespace spanplank

#endif // SPANPLANK_SERVING_P_H_HEADER_GUARD
