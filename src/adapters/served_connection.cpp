/// Reading from connections of callers, and how these end.
#include "served_connection_p.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <chrono>
#include <fmt/format.h>
#include <sys/socket.h>

#include "fiber_runtime_p.h"
#include "http_p.h"
#include "log_p.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

constexpr size_t kReadBytes =
	4096; ///< At once, while little is known to come: idle connections hold as much.
constexpr size_t kBodyReadBytes = 65536; ///< At once, once more than `kReadBytes` came.

constexpr size_t kMostEarlyBytes = 65536; ///< Of requests sent before the answer to the one under way.

/// What one look into a socket found, without waiting.
enum class Look : uint8_t
{
	Bytes,
	Nothing,
	Ended,
	Failed,
};

Look look(ServedConnection& _connection)
{
	const size_t most = _connection.requestBytes > kReadBytes ? kBodyReadBytes : kReadBytes;
	const boost::asio::mutable_buffer space = _connection.buffer.prepare(most);
	const ssize_t read =
		::recv(_connection.stream.socket().native_handle(), space.data(), space.size(), MSG_DONTWAIT);
	if (read > 0)
	{
		_connection.buffer.commit(size_t(read));
		return Look::Bytes;
	}
	if (read == 0)
	{
		return Look::Ended;
	}
	if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
	{
		return Look::Nothing;
	}
	_connection.error = boost::system::error_code(errno, boost::system::system_category()).message();
	return Look::Failed;
}

/// Suspends the fiber until the socket can be read or has failed, the time has come, or the socket's waits
/// are cancelled. Not by the stream's own timer: that closes the socket whatever has arrived in it.
void waitReadable(ServedConnection& _connection, TimeUs _until)
{
	tcp::socket& socket = _connection.stream.socket();
	const TimeUs left = std::max<TimeUs>(0, _until - monotonicNow());
	BootTimer timer(socket.get_executor(), std::chrono::microseconds(left));
	WaitSlot<bool> timerEnded;
	timer.async_wait([&](boost::system::error_code _error) {
		boost::system::error_code ignored;
		if (!_error)
		{
			socket.cancel(ignored);
		}
		timerEnded.set(true);
	});
	awaitIo([&](auto _done) { socket.async_wait(tcp::socket::wait_read, _done); });
	_connection.readableSince = loopPromptness().waitingSince;
	timer.cancel();
	timerEnded.wait(); // Its handler refers to this frame.
}

std::string millisSince(TimeUs _begin, TimeUs _now)
{
	return fmt::format("{:.1f}", double(_now - _begin) / double(kMsToUs));
}
} // namespace

ReadEnd awaitBytes(ServedConnection& _connection, const ReadLimit& _limit)
{
	while (true)
	{
		const TimeUs until = _limit.since + TimeUs(_limit.limitMs) * kMsToUs;
		_connection.armedMs = _limit.limitMs;
		const bool late = monotonicNow() >= until;
		const bool closing = _limit.closing != nullptr && *_limit.closing;
		// After the clock: a process that was not run for a while finds the time over and bytes that came in
		// time.
		switch (look(_connection))
		{
		case Look::Bytes:
			return ReadEnd::Bytes;
		case Look::Ended:
			return ReadEnd::Ended;
		case Look::Failed:
			return ReadEnd::Failed;
		case Look::Nothing:
			break;
		}
		if (late || closing)
		{
			return late ? ReadEnd::Late : ReadEnd::Closing;
		}
		waitReadable(_connection, until);
	}
}

bool holdsMostEarlyBytes(const ServedConnection& _connection)
{
	return _connection.buffer.size() >= kMostEarlyBytes;
}

bool hasLeft(ServedConnection& _connection)
{
	while (!holdsMostEarlyBytes(_connection))
	{
		const Look seen = look(_connection);
		if (seen != Look::Bytes)
		{
			return seen != Look::Nothing;
		}
	}
	return false;
}

bool hasUnread(ServedConnection& _connection)
{
	char byte = 0;
	tcp::socket& socket = _connection.stream.socket();
	return socket.is_open() && ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

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
