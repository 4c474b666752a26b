/// Memory for parts of answers that are held back: events that are incomplete, answers that are read whole.
#ifndef SPANPLANK_ANSWER_BUFFERS_H_HEADER_GUARD
#define SPANPLANK_ANSWER_BUFFERS_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

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

/// Appends to an answer that is read whole.
/// @param[in,out] _held Bytes that it holds; to be given back by `recordHeld`.
/// @returns Whether it may hold that many; if not, the answer has to be given up.
bool appendHeld(AnswerBuffers& _buffers, size_t& _held, std::string& _answer, std::string_view _data);

/// @returns The memory for answers on a box that gives a process that many MiB, in bytes.
size_t answerBufferBytes(uint32_t _memoryMb);
} // namespace spanplank

#endif // SPANPLANK_ANSWER_BUFFERS_H_HEADER_GUARD
