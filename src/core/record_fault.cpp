/// Names of record faults.
#include "spanplank/record_fault.h"

#include <utility>

namespace spanplank
{
const char* name(RecordFault _fault)
{
	constexpr const char* kNames[] = {"encoding", "syntax",  "missing", "type",   "range",
									  "state",    "address", "name",    "service"};
	static_assert(sizeof(kNames) / sizeof(kNames[0]) == size_t(RecordFault::Count));
	return kNames[size_t(_fault)];
}

RecordFailure::RecordFailure(RecordFault _fault, std::string _detail)
	: Failure(ErrorCode::BadRequest, std::move(_detail)), m_fault(_fault)
{
}
} // namespace spanplank
