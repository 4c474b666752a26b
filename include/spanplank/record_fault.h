/// Why a record in the store can't be used: other programs write there too, by mistake or in another version.
/// Such a record names nobody, and harms no other.
#ifndef SPANPLANK_RECORD_FAULT_H_HEADER_GUARD
#define SPANPLANK_RECORD_FAULT_H_HEADER_GUARD

#include <cstdint>
#include <string>

#include "spanplank/errors.h"

namespace spanplank
{
enum class RecordFault : uint8_t
{
	Encoding, ///< Its bytes are not what the store holds values as.
	Syntax,   ///< No object, or no text that can be read.
	Missing,  ///< A field is missing.
	Type,     ///< A field has another type.
	Range,    ///< A number that none of these can be.
	State,    ///< A state that is not known.
	Address,  ///< No address that can be connected to.
	Name,     ///< An id that can't be sent on.
	Count,
};

/// @returns A name for logs and counters.
const char* name(RecordFault _fault);

/// A record that can't be used.
class RecordFailure : public Failure
{
public:
	RecordFailure(RecordFault _fault, std::string _detail);

	RecordFault fault() const
	{
		return m_fault;
	}

private:
	RecordFault m_fault;
};
} // namespace spanplank

#endif // SPANPLANK_RECORD_FAULT_H_HEADER_GUARD
