/// Structured log lines on standard output: one for each decision that touches a request or changes what the
/// process believes. Lines are buffered, written without blocking, and dropped when the reader is too slow.
#ifndef SPANPLANK_LOG_P_H_HEADER_GUARD
#define SPANPLANK_LOG_P_H_HEADER_GUARD

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace spanplank
{
using LogField = std::pair<std::string_view, std::string>;

/// Names the process in every later line.
void setLogProcess(std::string _name);

/// Adds `ts=… proc=… event=… key="value"…`. Written once `flushLog` runs, or at once before `startLogFlush`.
void logEvent(std::string_view _event, std::initializer_list<LogField> _fields);

/// Writes what is buffered, as far as that does not block.
void flushLog();

/// From now on lines are only buffered; a fiber calls `flushLog` every `kLogFlushMs`.
void startLogFlush();

/// @returns Lines that were dropped because the reader of standard output was too slow.
uint64_t droppedLogLines();

/// A crash loses at most this much of the log.
constexpr uint32_t kLogFlushMs = 100;
} // namespace spanplank

#endif // SPANPLANK_LOG_P_H_HEADER_GUARD
