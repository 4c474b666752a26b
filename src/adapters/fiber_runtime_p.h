/// Boost.Fiber on one Asio context in one thread. Handlers run in the dispatcher context only.
#ifndef SPANPLANK_FIBER_RUNTIME_P_H_HEADER_GUARD
#define SPANPLANK_FIBER_RUNTIME_P_H_HEADER_GUARD

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/all.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "latency_histogram_p.h"
#include "spanplank/loop_overload.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Microseconds of a clock that goes on while the process is stopped and while its box is suspended.
TimeUs monotonicNow();

/// Moves that clock on, as a suspension of the box does: the steady clock does not count the time. For tests.
void skipTime(TimeUs _by);

/// The clock of `monotonicNow`, for timers.
struct BootClock
{
	using duration = std::chrono::microseconds;
	using rep = duration::rep;
	using period = duration::period;
	using time_point = std::chrono::time_point<BootClock>;
	static constexpr bool is_steady = true;

	static time_point now()
	{
		return time_point(duration(monotonicNow()));
	}
};

/// The reactor waits by the steady clock: it looks at this one at least so often.
constexpr std::chrono::milliseconds kBootClockLook(100);

struct BootWaitTraits
{
	static BootClock::duration to_wait_duration(const BootClock::duration& _left)
	{
		return std::min<BootClock::duration>(_left, kBootClockLook);
	}

	static BootClock::duration to_wait_duration(const BootClock::time_point& _until)
	{
		return to_wait_duration(_until - BootClock::now());
	}
};

/// A timer whose waits are over when `monotonicNow` says so, `kBootClockLook` after a suspension at the
/// latest.
using BootTimer = boost::asio::basic_waitable_timer<BootClock, BootWaitTraits>;

/// Microseconds since 1970.
TimeUs wallNow();

/// Milliseconds since 1970.
int64_t wallNowMs();

/// How promptly this thread's event loop looks at its sockets.
struct LoopPromptness
{
	/// The earliest time at which what the newest look has found can have come. Bytes that an earlier turn
	/// left unread may be older.
	TimeUs waitingSince = 0;
	LoopOverload overload;
	LatencyHistogram waits; ///< How long what a look brings may have waited, for each look.
};

/// @returns That of the thread in which the scheduler was installed.
const LoopPromptness& loopPromptness();

/// Installs the scheduler in the calling thread. Call once, before the first fiber.
void installFiberScheduler(boost::asio::io_context& _io);

/// Starts a fiber, which has to be joined. An exception that leaves `_body` is logged and ends that fiber.
/// Use `keepRunning` for work that must continue.
boost::fibers::fiber startFiber(std::function<void()> _body);

/// The same, detached.
void spawnFiber(std::function<void()> _body);

/// Runs a body in a fiber of its own until it returns. If an exception leaves it, the exception is logged as
/// `fiber_restarted` and counted, and the body is run again after a pause, which doubles while it keeps
/// failing. For work that lasts as long as the process.
/// @param[in] _name Name in logs and metrics.
void keepRunning(std::string _name, std::function<void()> _body);

/// State of the fibers of `keepRunning` that have the same name.
struct PersistentFiber
{
	uint64_t failures = 0; ///< Exceptions that left their bodies.
	TimeUs iteratedAt = 0; ///< Last call of `noteIteration`; 0 if there was none.
	bool stalled = false;  ///< That was longer than `kMaxIterationTime` ago, which has been logged.
};

/// @returns The states by name. Exceptions of event handlers are counted as `event_loop`.
const std::map<std::string, PersistentFiber>& persistentFibers();

/// Records that the calling fiber of `keepRunning` begins an iteration of its loop.
void noteIteration();

/// Longer than any iteration takes, including the waits for outside systems.
constexpr TimeUs kMaxIterationTime = 60000 * kMsToUs;

/// Logs each fiber as `fiber_stalled` once its last iteration began longer than `kMaxIterationTime` ago.
void logStalledFibers();

/// Suspends the calling fiber for a time of `monotonicNow`.
void sleepFor(uint32_t _ms);

/// Fibers that wait for a time, or until another one ends their wait.
class FiberAlarm
{
public:
	explicit FiberAlarm(boost::asio::io_context& _io) : m_io(_io)
	{
	}

	void wait(uint32_t _ms);
	/// Ends all waits.
	void ring();

private:
	boost::asio::io_context& m_io;
	std::list<BootTimer> m_timers;
};

/// Bridge from one completion handler to one waiting fiber. Single-threaded: no lock.
template <typename Result>
class WaitSlot
{
public:
	/// Called by the completion handler.
	void set(Result _result)
	{
		m_result = std::move(_result);
		if (m_waiter != nullptr)
		{
			boost::fibers::context* waiter = m_waiter;
			m_waiter = nullptr;
			boost::fibers::context::active()->schedule(waiter);
		}
	}

	/// Called by the fiber; returns once `set` was called.
	Result wait()
	{
		if (!m_result)
		{
			m_waiter = boost::fibers::context::active();
			m_waiter->suspend();
		}
		return std::move(*m_result);
	}

private:
	std::optional<Result> m_result;
	boost::fibers::context* m_waiter = nullptr;
};

struct IoResult
{
	boost::system::error_code error;
	size_t bytes = 0;
};

/// Runs an Asio operation that completes with (error) or (error, bytes) and waits for it in the fiber.
template <typename Start>
IoResult awaitIo(Start&& _start)
{
	WaitSlot<IoResult> slot;
	_start([&slot](boost::system::error_code _error, auto... _rest) {
		IoResult result{_error, 0};
		if constexpr (sizeof...(_rest) == 1)
		{
			if constexpr ((std::is_convertible_v<decltype(_rest), size_t> && ...))
			{
				result.bytes = (size_t(_rest) + ...);
			}
		}
		slot.set(result);
	});
	return slot.wait();
}

/// A queue between handlers and one fiber.
template <typename T>
class FiberQueue
{
public:
	void push(T _value)
	{
		m_values.push_back(std::move(_value));
		m_ready.notify_one();
	}

	bool empty() const
	{
		return m_values.empty();
	}

	const T& front() const
	{
		return m_values.front();
	}

	/// @returns The next value, or nothing once the time is over.
	std::optional<T> pop(std::chrono::steady_clock::time_point _until)
	{
		std::unique_lock<boost::fibers::mutex> lock(m_mutex);
		const bool ready = m_ready.wait_until(lock, _until, [this] { return !m_values.empty(); });
		if (!ready)
		{
			return std::nullopt;
		}
		T value = std::move(m_values.front());
		m_values.pop_front();
		return value;
	}

private:
	std::deque<T> m_values;
	boost::fibers::mutex m_mutex;
	boost::fibers::condition_variable m_ready;
};
/// Waits for the next signal of the set. The set must live as long as the process: with it go the handlers,
/// and the kernel's default for a signal ends the process at once.
int awaitSignal(boost::asio::signal_set& _signals);
} // namespace spanplank

#endif // SPANPLANK_FIBER_RUNTIME_P_H_HEADER_GUARD
