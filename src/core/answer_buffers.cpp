/// Decides which answers may hold more memory.
#include "spanplank/answer_buffers.h"

#include <algorithm>

namespace spanplank
{
namespace
{
constexpr size_t kMebibyte = 1u << 20;
constexpr size_t kBufferPart = 16; ///< One part in so many of the memory is for answers that are held back.
} // namespace

bool mayHold(const AnswerBuffers& _buffers, size_t _held, size_t _bytes)
{
	if (_bytes <= std::max(_held, kReservedAnswerBytes))
	{
		return true;
	}
	const bool counted = _held > kReservedAnswerBytes;
	const size_t share = _buffers.limitBytes / (_buffers.answers + (counted ? 0 : 1));
	return _bytes <= share || _buffers.heldBytes - _held + _bytes <= _buffers.limitBytes;
}

void recordHeld(AnswerBuffers& _buffers, size_t _before, size_t _now)
{
	_buffers.heldBytes += _now - _before;
	_buffers.answers += _now > kReservedAnswerBytes ? 1 : 0;
	_buffers.answers -= _before > kReservedAnswerBytes ? 1 : 0;
}

bool appendHeld(AnswerBuffers& _buffers, size_t& _held, std::string& _answer, std::string_view _data)
{
	const size_t bytes = _held + _data.size();
	if (!mayHold(_buffers, _held, bytes))
	{
		return false;
	}
	recordHeld(_buffers, _held, bytes);
	_held = bytes;
	_answer.append(_data);
	return true;
}

size_t answerBufferBytes(uint32_t _memoryMb)
{
	return size_t(_memoryMb) * kMebibyte / kBufferPart;
}
} // namespace spanplank
