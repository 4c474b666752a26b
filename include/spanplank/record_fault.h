/// Reasons why a record in the store is invalid. Other programs write to the store too, by mistake or in
/// another version of the format. An invalid record is ignored and does not affect other records.
#ifndef SPANPLANK_RECORD_FAULT_H_HEADER_GUARD
#define SPANPLANK_RECORD_FAULT_H_HEADER_GUARD

#include <cstdint>
#include <string>

#include "spanplank/errors.h"

namespace spanplank
{
/// What is wrong with a record.
enum class RecordFault : uint8_t
{
	Encoding, ///< The value is not in the encoding of the store.
	Syntax,   ///< The value can't be parsed or is not an object.
	Missing,  ///< A field is missing or empty.
	Type,     ///< A field has the wrong type.
	Range,    ///< A number or a length is out of range.
	State,    ///< The state is unknown.
	Address,  ///< The address is not a valid ip:port.
	Name,     ///< The id, or another name, can't be sent in a header.
	Service,  ///< The service is not configured.
	Count,
};

/// @returns A name for logs and counters.
const char* name(RecordFault _fault);

/// Thrown for an invalid record.
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
