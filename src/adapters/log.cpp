#include "log_p.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "fiber_runtime_p.h"

namespace spanplank
{
namespace
{
std::string& processName()
{
	static std::string s_name = "spanplank";
	return s_name;
}
} // namespace

void setLogProcess(std::string _name)
{
	processName() = std::move(_name);
}

void logEvent(std::string_view _event, std::initializer_list<LogField> _fields)
{
	const TimeUs now = wallNow();
	fmt::memory_buffer line;
	auto out = std::back_inserter(line);
	fmt::format_to(out, "ts={:%Y-%m-%dT%H:%M:%S}.{:06}Z proc={} event={}", fmt::gmtime(time_t(now / 1000000)),
				   now % 1000000, processName(), _event);
	for (const LogField& field : _fields)
	{
		fmt::format_to(out, " {}={:?}", field.first, field.second);
	}
	line.push_back('\n');
	std::fwrite(line.data(), 1, line.size(), stderr);
}
} // namespace spanplank
