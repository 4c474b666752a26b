#include "fiber_runtime_p.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <ctime>

#include "log_p.h"

namespace spanplank
{
namespace
{
namespace fibers = boost::fibers;

/// Longest sleep of the loop: one that lasts longer shows that the process was not run.
constexpr std::chrono::milliseconds kIdleLook(200);
constexpr TimeUs kAtOnce = 5 * kMsToUs;  ///< A look that returned sooner may have found what came before it.
constexpr uint32_t kRestartLeastMs = 50; ///< First pause before a failed body runs again.
constexpr uint32_t kMostDoublings = 5;   ///< Of that pause.
/// After a longer run the pauses start again.
constexpr TimeUs kRecoveredAfter = 10000 * kMsToUs;

thread_local LoopPromptness s_promptness;
thread_local std::map<std::string, PersistentFiber> s_persistent;
fibers::fiber_specific_ptr<PersistentFiber> s_self([](PersistentFiber*) {
}); ///< Null outside the fibers of `keepRunning`.

/// Runs event handlers. An exception ends only its handler, since the scheduler's functions must not throw.
template <typename Turn>
size_t runHandlers(Turn&& _turn) noexcept
{
	while (true)
	{
		try
		{
			return _turn();
		}
		catch (const std::exception& failure)
		{
			++s_persistent["event_loop"].failures;
			logEvent("loop_handler_failed", {{"error", failure.what()}});
		}
	}
}

/// Round robin over ready fibers; the dispatcher turns the Asio context whenever its turn comes.
///
/// A handler may set a wait slot or notify a condition, so it must never run while a fiber that is being
/// suspended still holds a wait queue's spinlock. `pick_next` therefore polls only from the dispatcher.
class AsioRoundRobin : public fibers::algo::algorithm
{
public:
	explicit AsioRoundRobin(boost::asio::io_context& _io)
		: m_io(_io), m_work(boost::asio::make_work_guard(_io)), m_timer(_io), m_lookedAt(monotonicNow())
	{
	}

	void awakened(fibers::context* _fiber) noexcept override
	{
		_fiber->ready_link(m_ready);
		if (!_fiber->is_context(fibers::type::dispatcher_context))
		{
			++m_readyFibers;
		}
	}

	fibers::context* pick_next() noexcept override
	{
		const bool dispatching = fibers::context::active()->is_context(fibers::type::dispatcher_context);
		if (dispatching && m_readyFibers > 0 && !m_justLooked)
		{
			noteLook(m_lookedAt);
			runHandlers([this] { return m_io.poll(); });
		}
		m_justLooked = m_justLooked && !dispatching;
		if (m_ready.empty())
		{
			return nullptr;
		}
		fibers::context* next = &m_ready.front();
		m_ready.pop_front();
		if (!next->is_context(fibers::type::dispatcher_context))
		{
			--m_readyFibers;
		}
		return next;
	}

	bool has_ready_fibers() const noexcept override
	{
		return m_readyFibers > 0;
	}

	void suspend_until(const std::chrono::steady_clock::time_point& _until) noexcept override
	{
		armTimer(_until);
		bool handled = false;
		while (!handled)
		{
			const TimeUs begin = monotonicNow();
			handled = runHandlers([this] { return m_io.run_one_for(kIdleLook); }) > 0;
			const TimeUs now = monotonicNow();
			// What comes during a sleep ends it, so that a sleep over the limit shows a process not run.
			const TimeUs late =
				std::max<TimeUs>(0, now - begin - std::chrono::microseconds(kIdleLook).count());
			const TimeUs since = now - begin < kAtOnce ? m_lookedAt : now - late;
			m_lookedAt = since; // For a look that found nothing, as it was over before the process was run.
			if (handled)
			{
				noteLook(since);
			}
		}
		runHandlers([this] { return m_io.poll(); });
		m_justLooked = true;
	}

	void notify() noexcept override
	{
		boost::asio::post(m_io, [] {});
	}

private:
	void noteLook(TimeUs _waitingSince)
	{
		const TimeUs now = monotonicNow();
		recordTurn(s_promptness.overload, now - _waitingSince, now - m_notedAt);
		noteLatency(s_promptness.waits, now - _waitingSince);
		s_promptness.waitingSince = _waitingSince;
		m_lookedAt = now;
		m_notedAt = now;
	}

	/// Arming again with the same deadline would cancel the wait and end `run_one` at once.
	void armTimer(const std::chrono::steady_clock::time_point& _until)
	{
		const auto never = std::chrono::steady_clock::time_point::max();
		if (_until == m_armed || _until == never)
		{
			return;
		}
		m_armed = _until;
		m_timer.expires_at(_until);
		m_timer.async_wait([this, _until](boost::system::error_code _error) {
			if (!_error && m_armed == _until)
			{
				m_armed = std::chrono::steady_clock::time_point::max();
			}
		});
	}

	boost::asio::io_context& m_io;
	boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
	boost::asio::steady_timer m_timer;
	std::chrono::steady_clock::time_point m_armed = std::chrono::steady_clock::time_point::max();
	fibers::scheduler::ready_queue_type m_ready;
	size_t m_readyFibers = 0;
	TimeUs m_lookedAt;         ///< Up to when all that came has been found.
	TimeUs m_notedAt = 0;      ///< When a turn was noted last.
	bool m_justLooked = false; ///< Before the fibers that run next.
};

TimeUs s_skipped = 0;                                 ///< By `skipTime`.
thread_local boost::asio::io_context* s_io = nullptr; ///< Of the thread's fibers.

TimeUs clockNow(clockid_t _clock)
{
	timespec now{};
	clock_gettime(_clock, &now);
	return TimeUs(now.tv_sec) * 1000000 + now.tv_nsec / 1000;
}
} // namespace

TimeUs monotonicNow()
{
	return clockNow(CLOCK_BOOTTIME) + s_skipped;
}

void skipTime(TimeUs _by)
{
	s_skipped += _by;
}

const LoopPromptness& loopPromptness()
{
	return s_promptness;
}

TimeUs wallNow()
{
	return clockNow(CLOCK_REALTIME);
}

int64_t wallNowMs()
{
	return wallNow() / 1000;
}

void installFiberScheduler(boost::asio::io_context& _io)
{
	s_io = &_io;
	fibers::use_scheduling_algorithm<AsioRoundRobin>(_io);
}

fibers::fiber startFiber(std::function<void()> _body)
{
	return fibers::fiber(fibers::launch::post, [body = std::move(_body)] {
		try
		{
			body();
		}
		catch (const std::exception& failure)
		{
			logEvent("fiber_failed", {{"error", failure.what()}});
		}
	});
}

void spawnFiber(std::function<void()> _body)
{
	startFiber(std::move(_body)).detach();
}

void keepRunning(std::string _name, std::function<void()> _body)
{
	spawnFiber([name = std::move(_name), body = std::move(_body)] {
		uint32_t failures = 0; // In a row.
		s_self.reset(&s_persistent[name]);
		while (true)
		{
			const TimeUs begin = monotonicNow();
			uint32_t pauseMs = 0;
			try
			{
				body();
				return;
			}
			catch (const std::exception& failure)
			{
				failures = monotonicNow() - begin > kRecoveredAfter ? 0 : failures;
				pauseMs = kRestartLeastMs << std::min(failures++, kMostDoublings);
				++s_self->failures;
				logEvent("fiber_restarted",
						 {{"fiber", name}, {"error", failure.what()}, {"pause_ms", std::to_string(pauseMs)}});
			}
			sleepFor(pauseMs);
		}
	});
}

const std::map<std::string, PersistentFiber>& persistentFibers()
{
	return s_persistent;
}

void noteIteration()
{
	if (PersistentFiber* self = s_self.get())
	{
		self->iteratedAt = monotonicNow();
		self->stalled = false;
	}
}

void logStalledFibers()
{
	const TimeUs now = monotonicNow();
	for (auto& [name, fiber] : s_persistent)
	{
		const bool stalled = fiber.iteratedAt != 0 && now - fiber.iteratedAt > kMaxIterationTime;
		if (stalled && !fiber.stalled)
		{
			fiber.stalled = true;
			logEvent(
				"fiber_stalled",
				{{"fiber", name}, {"iteration_age_ms", std::to_string((now - fiber.iteratedAt) / kMsToUs)}});
		}
	}
}

void sleepFor(uint32_t _ms)
{
	// Not by the scheduler's own waits: they go by the steady clock.
	BootTimer timer(*s_io, std::chrono::milliseconds(_ms));
	awaitIo([&timer](auto _done) { timer.async_wait(_done); });
}

void FiberAlarm::wait(uint32_t _ms)
{
	const auto timer = m_timers.emplace(m_timers.end(), m_io, std::chrono::milliseconds(_ms));
	awaitIo([&timer](auto _done) { timer->async_wait(_done); });
	m_timers.erase(timer);
}

void FiberAlarm::ring()
{
	for (BootTimer& timer : m_timers)
	{
		timer.cancel();
	}
}

int awaitSignal(boost::asio::signal_set& _signals)
{
	WaitSlot<int> slot;
	_signals.async_wait([&slot](boost::system::error_code, int _signal) { slot.set(_signal); });
	return slot.wait();
}
} // namespace spanplank
