/// How quick answers are, compared with those of another version: by rank among its newest answers.
///
/// An expectation that is learned from the answers judged rises with them, and a mean is moved by queues. The
/// rank needs no expectation: an answer is quick if it is among the quickest of the version that is compared
/// with, at the same router, for the same kind of request, in the same seconds.
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
/// What is measured of an answer.
enum class TimeKind : uint8_t
{
	Head, ///< Of a stream, until its head came: cold caches of prompts move it.
	Pace, ///< The mean pause between the events of a stream, or a plain answer's whole time.
};
constexpr size_t kTimeKinds = 2;

/// Times of one answer.
struct AnswerTimes
{
	std::string headKind; ///< Answers whose heads take alike: route and model; empty: no head to compare.
	double headMs = 0.0;  ///< Since the attempt began.
	std::string paceKind; ///< Answers whose paces are alike: the model, or the route; empty: none to compare.
	double paceMs = 0.0;
};

/// A time of an answer.
struct TimedAnswer
{
	float ms = 0.0f;
	TimeUs at = 0; ///< When it was taken.
};

/// Newest times of one kind, oldest overwritten.
struct TimeSample
{
	std::vector<TimedAnswer> newest; ///< At most `kTimesKept`.
	size_t next = 0;                 ///< Overwritten next once it is full.
};

/// Times of the answers that others are compared with, by kind of answer.
struct TimeReference
{
	std::array<std::unordered_map<std::string, TimeSample>, kTimeKinds> samples;
};

constexpr size_t kTimesKept = 64;
/// Answers before a rank among them is believed; with fewer nothing is compared.
constexpr size_t kLeastTimes = 8;
/// How old an answer may be to be compared with: a rise of the load moves both versions alike.
constexpr TimeUs kCompared = 2000 * kMsToUs;
/// Newest answers that are compared with where fewer came in that time: ranks among fewer are blurred.
constexpr size_t kLeastCompared = 24;

/// Takes an answer of the version that is compared with.
void noteTimes(TimeReference& _reference, const AnswerTimes& _times, TimeUs _now);

/// How an answer's time ranks.
enum class TimeRank : uint8_t
{
	Quick, ///< Among the quickest of the reference.
	Usual,
	Slow, ///< Several times as long as most of them.
};

/// @param[in] _quickShare Of the reference's answers, that count as quick: 0 to 1.
/// @returns The rank of an answer; nothing: too few to compare with, or not measured.
std::optional<TimeRank> rankOf(const TimeReference& _reference, TimeKind _kind, const AnswerTimes& _times,
							   double _quickShare, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_ANSWER_TIMES_H_HEADER_GUARD
