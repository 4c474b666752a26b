/// One attempt of a request at an upstream: running it, reading its answer, noting how it went.
#ifndef SPANPLANK_ATTEMPT_P_H_HEADER_GUARD
#define SPANPLANK_ATTEMPT_P_H_HEADER_GUARD

#include <optional>
#include <set>
#include <string>

#include "serving_p.h"

namespace spanplank
{
/// What is noted while an attempt runs.
struct AttemptNotes
{
	UpstreamId upstream;
	const UpstreamRecord& record; ///< As it was when the attempt began.
	const UpstreamQuery& query;
	std::string error; ///< What the socket met; empty: nothing.
	TimeUs begin = 0;
	TimeUs tableAge = 0;        ///< Of the newest proof of the table by which the upstream was chosen.
	uint64_t tableRevision = 0; ///< Of the store, up to which that table knows all.
	double expectedMs = 0.0;    ///< Until the head; 0: unknown.
	double meanMs = 0.0;      ///< The same at an upstream of mean speed; 0: unknown, or speeds are not used.
	TimeUs sentAfter = 0;     ///< Time from the choice to the first byte sent; 0: none was.
	TimeUs headAfter = 0;     ///< Time until the head came; 0: none did.
	double queueFactor = 1.0; ///< Of the upstream when it was chosen, see `queueFactor`.
	double prefillMs = 0.0;   ///< Still counted at the upstream.
	bool asCold = false;      ///< The upstream was cold when it was chosen.
	bool asRestProbe = false; ///< It shows whether the upstream accepts requests again after a rest.
	bool asLimited = false;   ///< The upstream stated a limit when it was chosen.
	bool withdrawn = false;   ///< The upstream left before anything was sent.
	int status = 0;           ///< Of the answer; 0: no head came.
	double confidence = -1.0; ///< The model's own; -1: it told none.
	TimeUs firstEventsAt = 0; ///< When the first events of this attempt came; 0: none did.
	TimeUs lastEventsAt = 0;
	int64_t firstEventsId = -1;      ///< The last id among those first events.
	int64_t lastEventId = -1;        ///< The last id that this attempt brought; -1: none.
	TimeUs paceFrom = 0;             ///< Begin of the next sample of the time per token; 0: no event came.
	int64_t paceFromId = -1;         ///< The last id at that time.
	TimeUs callerTime = 0;           ///< Since then spent on writing to the caller.
	TimeUs writeTime = 0;            ///< In all spent on writing to the caller.
	uint64_t bodyBytes = 0;          ///< Of the answer's body that were read.
	bool lost = false;               ///< The upstream has started again, by its record.
	bool waitedOn = false;           ///< A limit has passed, and the attempt was not given up.
	TrialAttempt trial = {};         ///< Its part in the trial of a version of its service.
	double expectedEndMs = 0.0;      ///< Time until the end of the answer, expected at the begin; 0: unknown.
	bool endsWithConnection = false; ///< The answer has neither a length nor chunks.
	bool partsCleared = false;       ///< It has shown that the parts of its prompt are harmless.
};

/// An attempt under way, as the request's other attempts see it.
struct LiveAttempt
{
	UpstreamCall& call;
	AttemptNotes& notes;
	EventSplitter events;   ///< Of this attempt's answer; begins after what the caller had by then.
	bool kept = false;      ///< It pauses, is counted as a run, and others were asked to go on.
	bool overtaken = false; ///< Another one has gone on.
	bool dropped = false;   ///< It was kept, and the one after it is kept now.
};

/// How an attempt went.
struct AttemptResult
{
	/// Nothing: the upstream left, or another attempt went on, before anything was sent; the attempt counts
	/// neither as a run nor as an extra attempt.
	std::optional<AttemptEnd> end;
	bool kept = false;      ///< It was counted before its end.
	bool overtaken = false; ///< Another attempt went on, or is waited for in its place.
};

/// Runs one attempt at an upstream and takes note of how it went.
AttemptResult runAttempt(Serving& _serving, UpstreamId _upstream, const UpstreamQuery& _query);

/// Sends the request, and passes its answer on or keeps it.
/// @returns How the attempt ended.
AttemptEnd runCall(Serving& _serving, LiveAttempt& _attempt, const AttemptTimeouts& _times);

/// Asks one upstream after another until one brings an answer, or nothing more is to be tried.
/// @param[in] _move What to begin with.
void runAttempts(Serving& _serving, RetryDecision _move);

/// An attempt goes on with the answer: all others end.
void endOthers(Serving& _serving, const LiveAttempt& _attempt);

/// Keeps an attempt that pauses in a begun answer, and asks others beside it.
void keepBeside(Serving& _serving, LiveAttempt& _attempt);

/// @returns The upstreams of the attempts under way.
std::set<uint32_t> liveUpstreams(const Serving& _serving);

/// Ends all attempts under way from another handler.
void cancelAttempts(Serving& _serving);

/// Records the time to the head of an answer as a sample of the upstream's speed.
void noteFirstToken(Serving& _serving, const AttemptNotes& _notes);

/// Records the time per token since the last sample, if enough events came. Streams give a sample every
/// second, so that a slow engine is known before its answers end.
/// @param[in] _ended The stream ends: events of less than a second count as well.
void noteTokenTime(Serving& _serving, AttemptNotes& _notes, bool _ended);

/// Takes note that an attempt has reached its upstream.
void noteReached(Serving& _serving, const AttemptNotes& _notes);

/// Takes note of an attempt that ended before anything was sent, as its upstream left.
void noteWithdrawn(Serving& _serving, const AttemptNotes& _notes);

/// Decides when a limit of an attempt has passed, before its connection is closed.
/// @returns Until when the wait goes on; nothing: the attempt is given up.
std::optional<TimeUs> whenLate(Serving& _serving, LiveAttempt& _attempt);

/// Allows another attempt in place of one whose upstream has started again, if the caller has nothing of an
/// answer yet. It is taken from the retry window at the same time.
/// @returns Whether it is allowed, so that the attempt under way may end.
bool replaceAfterRestart(Serving& _serving, const LiveAttempt& _attempt);

/// An answer that ends with its connection has ended: looks whether its upstream has ended with it, in which
/// case it may be incomplete. Waits for a connection.
bool endedWithUpstream(const Serving& _serving, const AttemptNotes& _notes);

/// An attempt broke: looks whether its upstream has ended rather than its connection alone, and takes note
/// under which request it was. Waits for a connection.
void noteIfEnded(Serving& _serving, const AttemptNotes& _notes);

/// This router closed an attempt before its end, or could not connect for it: the request counts at a crash
/// of its upstream that follows, or has come.
void noteIfAbandoned(Serving& _serving, const AttemptNotes& _notes, AttemptEnd _end);

/// Takes note of an attempt's end: health of the upstream, trial of its version, counters, log events.
void noteAttemptEnd(Serving& _serving, AttemptNotes& _notes, AttemptEnd _end);
} // namespace spanplank

#endif // SPANPLANK_ATTEMPT_P_H_HEADER_GUARD
