/// Compares the times of answers with those of another version, by their rank among its newest answers.
///
/// An expectation learned from the judged answers rises with them, and a mean is shifted by queues. A rank
/// needs no expectation: an answer is quick if it is among the quickest of the reference version at the same
/// router, for the same kind of request, in the same seconds.
#ifndef SPANPLANK_ANSWER_TIMES_H_HEADER_GUARD
#define SPANPLANK_ANSWER_TIMES_H_HEADER_GUARD

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// Measured quantity of an answer.
enum class TimeKind : uint8_t
{
	FirstToken, ///< Time to the first token of a stream; cold prompt caches increase it.
	PerToken,   ///< Mean pause between the events of a stream, or the whole time of a plain answer.
};
constexpr size_t kTimeKinds = 2;

/// Times of one answer.
struct AnswerTimes
{
	/// Group with comparable times to the first token: route and model; empty if there is none to compare.
	std::string firstTokenKind;
	double firstTokenMs = 0.0; ///< Since the start of the attempt.
	/// Group with comparable times per token: the model, or the route; empty if there is none to compare.
	std::string timePerTokenKind;
	double timePerTokenMs = 0.0;
};

/// One measured time of an answer.
struct TimedValue
{
	float ms = 0.0f;
	TimeUs recordedAt = 0;
};

/// Ring buffer of the newest times of one kind.
struct TimeRing
{
	std::vector<TimedValue> newest; ///< At most `kMaxTimes`.
	size_t next = 0;                ///< Index that is overwritten next once the ring is full.
};

/// Times of the reference version's answers, by kind of answer.
struct TimeReference
{
	std::array<std::unordered_map<std::string, TimeRing>, kTimeKinds> samples;
};

constexpr size_t kMaxTimes = 64;
/// Reference answers that are needed for a rank; with fewer, answers are not compared.
constexpr size_t kMinTimes = 8;
/// Maximum age of a reference answer, so that a rise of the load affects both versions alike.
constexpr TimeUs kMaxComparedAge = 2000 * kMsToUs;
/// Newest reference answers that are used, whatever their age, if fewer came within `kMaxComparedAge`: ranks
/// among fewer are imprecise.
constexpr size_t kMinCompared = 24;

/// Records an answer of the reference version.
void recordTimes(TimeReference& _reference, const AnswerTimes& _times, TimeUs _now);

/// Rank of an answer's time among the reference answers.
enum class TimeRank : uint8_t
{
	Quick, ///< Among the quickest reference answers.
	Usual,
	Slow, ///< Several times as long as most reference answers.
};

/// @param[in] _quickShare Share of the reference answers that count as quick: 0 to 1.
/// @returns The rank of an answer; nothing if it was not measured or has too few reference answers.
std::optional<TimeRank> rankOf(const TimeReference& _reference, TimeKind _kind, const AnswerTimes& _times,
							   double _quickShare, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_ANSWER_TIMES_H_HEADER_GUARD
