/// Boost.Fiber on one Asio context in one thread. Handlers run in the dispatcher context only.
#ifndef SPANPLANK_FIBER_RUNTIME_P_H_HEADER_GUARD
#define SPANPLANK_FIBER_RUNTIME_P_H_HEADER_GUARD

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/all.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>

#include "spanplank/types.h"

namespace spanplank
{
/// Microseconds of a clock that goes on while the process is stopped.
TimeUs monotonicNow();

/// Microseconds since 1970.
TimeUs wallNow();

/// Milliseconds since 1970.
int64_t wallNowMs();

/// Installs the scheduler in the calling thread. Call once, before the first fiber.
void installFiberScheduler(boost::asio::io_context& _io);

/// Starts a fiber, which has to be joined. An exception that leaves `_body` is logged and ends only that
/// fiber.
boost::fibers::fiber startFiber(std::function<void()> _body);

/// The same, detached.
void spawnFiber(std::function<void()> _body);

/// Suspends the calling fiber for a time.
void sleepFor(uint32_t _ms);

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
