/// The log buffer, and writing it without blocking.
#include "log_p.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include "fiber_runtime_p.h"

namespace spanplank
{
namespace
{
constexpr size_t kMostBuffered = 256u << 10; ///< Bytes; about two seconds of a busy router's lines.
constexpr size_t kWriteBytes = 4096;         ///< A pipe that polls writable takes this much without blocking.

struct LogState
{
	std::string process = "spanplank";
	std::string buffer;
	uint64_t dropped = 0;
	bool buffered = false;
};

LogState& state()
{
	static LogState s_state;
	return s_state;
}

bool isWritable()
{
	pollfd out{STDOUT_FILENO, POLLOUT, 0};
	return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}
} // namespace

void setLogProcess(std::string _name)
{
	state().process = std::move(_name);
}

void logEvent(std::string_view _event, std::initializer_list<LogField> _fields)
{
	LogState& log = state();
	if (log.buffer.size() > kMostBuffered)
	{
		++log.dropped;
		return;
	}
	const TimeUs now = wallNow();
	auto out = std::back_inserter(log.buffer);
	fmt::format_to(out, "ts={:%Y-%m-%dT%H:%M:%S}.{:06}Z proc={} event={}", fmt::gmtime(time_t(now / 1000000)),
				   now % 1000000, log.process, _event);
	for (const LogField& field : _fields)
	{
		fmt::format_to(out, " {}={:?}", field.first, field.second);
	}
	log.buffer.push_back('\n');
	if (!log.buffered)
	{
		flushLog();
	}
}

void flushLog()
{
	std::string& buffer = state().buffer;
	size_t written = 0;
	while (written < buffer.size() && isWritable())
	{
		const ssize_t count =
			::write(STDOUT_FILENO, buffer.data() + written, std::min(kWriteBytes, buffer.size() - written));
		if (count <= 0)
		{
			break;
		}
		written += size_t(count);
	}
	buffer.erase(0, written);
}

void startLogFlush()
{
	state().buffered = true;
	keepRunning("log", [] {
		while (true)
		{
			noteIteration();
			sleepFor(kLogFlushMs);
			flushLog();
		}
	});
}

uint64_t droppedLogLines()
{
	return state().dropped;
}
} // namespace spanplank
