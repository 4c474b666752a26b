/// Whether the store was away so long that registrations lapsed, judged by what this router knows for
/// certain.
///
/// The load it answers: the store forgets its history, rejects a call or loses an answer, or this process is
/// not run for a while, and an upstream goes for good meanwhile. None of these is an outage. Taken for one,
/// each keeps an upstream that has left in use.
#ifndef SPANPLANK_STORE_CONTACT_H_HEADER_GUARD
#define SPANPLANK_STORE_CONTACT_H_HEADER_GUARD

#include <deque>

#include "spanplank/types.h"

namespace spanplank
{
/// A time in which this process was not run.
struct Stall
{
	TimeUs from = 0;
	TimeUs to = 0;
};

/// Proofs of the store, and when this process was run.
struct StoreContact
{
	TimeUs heartbeat =
		1200 * kMsToUs; ///< Between an upstream's signs of life at the store; from the settings.
	/// Between two proofs of a store that is there: pause and longest wait of a watch, whose answer proves
	/// the moment at which it began; from the settings.
	TimeUs watchGap = 1000 * kMsToUs;
	TimeUs provedAt = 0;      ///< Latest moment that the store has proved, by whatever way; 0: none.
	TimeUs backAt = 0;        ///< First proof after its last outage; 0: it had none.
	TimeUs seenAt = 0;        ///< When this process was last seen running; 0: never.
	std::deque<Stall> stalls; ///< Since the last proof, oldest first.
};

/// This process runs. Called every `kContactStepMs`: a longer step is time in which it was not run.
void noteRunning(StoreContact& _contact, TimeUs _now);

/// The store proved a moment. @returns Whether that ended an outage.
bool noteStoreProof(StoreContact& _contact, TimeUs _provedAt, TimeUs _now);

/// What a registration that goes tells.
enum class LapseCause : uint8_t
{
	Calm,     ///< The store was there: the upstream has left.
	Away,     ///< The store was away until now: the registration may have lapsed.
	JustBack, ///< It came back a moment ago: the same.
};

/// @returns A name for logs.
const char* name(LapseCause _cause);

struct LapseJudgement
{
	LapseCause cause = LapseCause::Calm;
	TimeUs since = 0;   ///< From when the upstream's time to return counts.
	TimeUs silence = 0; ///< Time without a proof in which this process ran.
};

/// @returns What a registration that goes now tells.
LapseJudgement judgeLapse(const StoreContact& _contact, TimeUs _now);

/// Heartbeats that an outage takes before registrations are believed to have lapsed in it: the store ends
/// them after three without a sign of life. In a shorter one only those end whose last sign was older than
/// the outage; taken for an outage, it kept upstreams that had left in use up to 2.9 s after others knew.
constexpr int64_t kLapseHeartbeats = 3;
/// A lost answer between two proofs of a store that is there takes this long at most: the time limits of a
/// call on a kept connection and of its repetition, the pause after them and a round trip to a slow store.
constexpr TimeUs kLostAnswer = 2000 * kMsToUs;
/// Registrations that lapsed during an outage may still be reported gone this long after its end.
constexpr TimeUs kLapseTail = 1000 * kMsToUs;
constexpr uint32_t kContactStepMs = 100;
/// Longest step of a process that is run, if only on a small share of a core.
constexpr TimeUs kLongestStep = 400 * kMsToUs;
constexpr size_t kMostStalls = 64;
} // namespace spanplank

#endif // SPANPLANK_STORE_CONTACT_H_HEADER_GUARD
