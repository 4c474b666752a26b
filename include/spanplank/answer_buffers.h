/// Memory for parts of answers that are held back: events that are incomplete, answers that are read whole.
#ifndef SPANPLANK_ANSWER_BUFFERS_H_HEADER_GUARD
#define SPANPLANK_ANSWER_BUFFERS_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>

namespace spanplank
{
/// Bytes that each answer may hold, whatever others hold.
constexpr size_t kReservedAnswerBytes = 64u << 10;

struct AnswerBuffers
{
	size_t limitBytes = 64u << 20; ///< Of all answers together, beside what is reserved for each.
	size_t heldBytes = 0;
	size_t answers = 0; ///< Answers that hold more than is reserved for each.
};

/// @returns Whether an answer may hold that many bytes. Once all together are at the limit, those above an
/// equal share of it hold no more: a few upstreams whose answers have no end leave room for the answers of
/// others.
/// @param[in] _held Bytes that it holds now.
bool mayHold(const AnswerBuffers& _buffers, size_t _held, size_t _bytes);

/// Records that an answer holds another number of bytes than before.
void recordHeld(AnswerBuffers& _buffers, size_t _before, size_t _now);
} // namespace spanplank

#endif // SPANPLANK_ANSWER_BUFFERS_H_HEADER_GUARD
