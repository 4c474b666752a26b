/// Decides which answers may hold more memory.
#include "spanplank/answer_buffers.h"

#include <algorithm>

namespace spanplank
{
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
} // namespace spanplank
