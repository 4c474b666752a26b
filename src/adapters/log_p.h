/// Structured log lines on standard error: one line for each change of state, never one for a request.
#ifndef SPANPLANK_LOG_P_H_HEADER_GUARD
#define SPANPLANK_LOG_P_H_HEADER_GUARD

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace spanplank
{
using LogField = std::pair<std::string_view, std::string>;

/// Names the process in every later line.
void setLogProcess(std::string _name);

/// Writes `ts=… proc=… event=… key="value"…`.
void logEvent(std::string_view _event, std::initializer_list<LogField> _fields);
} // namespace spanplank

#endif // SPANPLANK_LOG_P_H_HEADER_GUARD
