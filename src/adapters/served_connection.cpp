/// How connections of callers end, for logs and metrics.
#include "served_connection_p.h"

#include <fmt/format.h>

#include "fiber_runtime_p.h"
#include "http_p.h"
#include "log_p.h"

namespace spanplank
{
namespace
{
std::string millisSince(TimeUs _begin, TimeUs _now)
{
	return fmt::format("{:.1f}", double(_now - _begin) / double(kMsToUs));
}
} // namespace

const char* name(ConnectionEnd _end)
{
	switch (_end)
	{
	case ConnectionEnd::None:
		return "none";
	case ConnectionEnd::HeadLate:
		return "head_late";
	case ConnectionEnd::BodyLate:
		return "body_late";
	case ConnectionEnd::TooLarge:
		return "too_large";
	case ConnectionEnd::Malformed:
		return "malformed";
	case ConnectionEnd::CallerClosed:
		return "caller_closed";
	case ConnectionEnd::CallerLeft:
		return "caller_left";
	case ConnectionEnd::ReadFailed:
		return "read_failed";
	case ConnectionEnd::WriteFailed:
		return "write_failed";
	case ConnectionEnd::BrokenOff:
		return "broken_off";
	case ConnectionEnd::HandlerFailed:
		return "handler_failed";
	case ConnectionEnd::Stopped:
		return "stopped";
	}
	return "unknown";
}

const char* closedBy(ConnectionEnd _end)
{
	switch (_end)
	{
	case ConnectionEnd::CallerClosed:
	case ConnectionEnd::CallerLeft:
		return "caller";
	case ConnectionEnd::HeadLate:
	case ConnectionEnd::BodyLate:
	case ConnectionEnd::TooLarge:
		return "limit";
	case ConnectionEnd::Stopped:
		return "stop";
	default:
		return "error";
	}
}

void noteConnectionEnd(HttpServer& _server, const ServedConnection& _connection)
{
	if (_connection.end == ConnectionEnd::None)
	{
		return;
	}
	++_server.ended[name(_connection.end)];
	const TimeUs now = monotonicNow();
	logEvent("caller_connection_ended",
			 {{"reason", name(_connection.end)},
			  {"closed_by", closedBy(_connection.end)},
			  {"status", std::to_string(_connection.status)},
			  {"bytes", std::to_string(_connection.requestBytes)},
			  {"age_ms", millisSince(_connection.acceptedAt, now)},
			  {"idle_ms", millisSince(_connection.idleSince, _connection.requestAt)},
			  {"request_ms", millisSince(_connection.requestAt, now)},
			  {"limit_armed_ms", std::to_string(_connection.armedMs)},
			  {"idle_limit_ms", std::to_string(_server.limits.idleMs)},
			  {"error", _connection.error}});
}
} // namespace spanplank
