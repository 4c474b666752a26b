/// The process of a direct router: listening, housekeeping, signals, the planned stop.
#include "direct_router_p.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <unistd.h>

#include "fiber_runtime_p.h"
#include "load_control_p.h"
#include "log_p.h"
#include "platform/headers_p.h"
#include "platform/store_protocol_p.h"
#include "serving_p.h"
#include "spanplank/daemons.h"
#include "spanplank/http_status.h"
#include "suspects_p.h"

namespace spanplank
{
namespace
{
/// Requests in hand from which long turns of the loop are taken for too much work: reading a large
/// configuration takes a long turn, too.
constexpr size_t kOverloadRequests = 8;
constexpr uint32_t kEndMarginMs = 400; ///< Before the kill: the process ends by itself.
constexpr uint32_t kStopPollMs = 20;
constexpr uint32_t kHousekeepingMs = 1000;
constexpr uint32_t kSlowBodyMs = 30000; ///< Longest time for the body of one request.

/// Logs when the balancer is told of an overload, and when of its end.
void noteOverload(DirectRouter& _router)
{
	const bool overloaded = isOverloaded(_router);
	if (overloaded == _router.toldOverload)
	{
		return;
	}
	_router.toldOverload = overloaded;
	_router.stats.overloads += overloaded ? 1 : 0;
	logEvent(overloaded ? "overloaded" : "overload_ended",
			 {{"turn_ms", fmt::format("{:.0f}", loopPromptness().overload.turnMs)},
			  {"requests", std::to_string(_router.callers.busy)},
			  {"connections", std::to_string(_router.callers.connections)}});
}

void answerReadiness(DirectRouter& _router, HttpExchange& _exchange)
{
	const bool known = std::string_view(_exchange.request().target()) == platform::kReadinessPath;
	const int ready = isReady(_router) ? status::kOk : status::kUnavailable;
	noteOverload(_router);
	_exchange.respond({known ? ready : status::kNotFound, {}, ""});
}

void answerMetrics(DirectRouter& _router, HttpExchange& _exchange)
{
	const std::string_view target(_exchange.request().target());
	if (target.substr(0, kSuspectsPath.size()) == kSuspectsPath)
	{
		answerSuspects(_router, _exchange);
		return;
	}
	if (target != "/metrics")
	{
		_exchange.respond({status::kNotFound, {}, ""});
		return;
	}
	_exchange.respond({status::kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, directMetrics(_router)});
}

void listen(DirectRouter& _router)
{
	_router.callers.limits.slowMs = kSlowBodyMs;
	_router.callers.handler = [&_router](HttpExchange& _exchange) {
		serveDirect(_router, _exchange);
	};
	_router.readiness.handler = [&_router](HttpExchange& _exchange) {
		answerReadiness(_router, _exchange);
	};
	_router.metrics.handler = [&_router](HttpExchange& _exchange) {
		answerMetrics(_router, _exchange);
	};
	startHttpServer(_router.io, _router.readiness, _router.settings.readiness);
	startHttpServer(_router.io, _router.metrics, _router.settings.metrics);
	startHttpServer(_router.io, _router.callers, _router.settings.listen);
}

void forgetProbes(DirectRouter& _router, TimeUs _now)
{
	for (auto at = _router.probes.begin(); at != _router.probes.end();)
	{
		const bool old = at->second->done && _now - at->second->at > kHousekeepingMs * kMsToUs;
		at = old ? _router.probes.erase(at) : std::next(at);
	}
}

void keepHouse(DirectRouter& _router)
{
	while (true)
	{
		noteIteration();
		logStalledFibers();
		sleepFor(kHousekeepingMs);
		const TimeUs now = monotonicNow();
		dropIdle(_router.pool, now);
		removeGoneUpstreams(_router.upstreams, now);
		forgetProbes(_router, now);
		forgetBreaks(_router, now);
		expireSuspects(_router.suspects, now);
	}
}

/// Takes settings over into the parts that keep some of them.
void applySettings(DirectRouter& _router, const DirectSettings& _settings)
{
	_router.settings = _settings;
	_router.trials.exposureShare = _settings.exposureShare;
	_router.upstreams.drainBound = TimeUs(_settings.leaveMs) * kMsToUs;
	StoreContact& contact = _router.upstreams.contact;
	contact.heartbeatPeriod = TimeUs(_settings.heartbeatMs) * kMsToUs;
	contact.watchPeriod = TimeUs(_settings.watchPauseMs + _settings.configWaitMs) * kMsToUs;
	_router.upstreams.policies = _settings.policies;
	_router.buffers.limitBytes = answerBufferBytes(_settings.memoryMb);
	_router.store.http.endpoint = _settings.store;
	_router.store.watchHttp.endpoint = _settings.store;
}

/// Takes what can change while the process runs. The addresses to listen on can't: they are bound.
void reload(DirectRouter& _router)
{
	try
	{
		applySettings(_router, loadDirectSettings(_router.settingsFile));
		logEvent("settings_reloaded", {{"file", _router.settingsFile}});
	}
	catch (const Failure& failure)
	{
		logEvent("settings_rejected", {{"file", _router.settingsFile}, {"error", failure.refusal().detail}});
	}
}

/// Reloads the settings at each SIGHUP, until the process is asked to stop.
void awaitStopSignal(DirectRouter& _router)
{
	while (awaitSignal(_router.signals) == SIGHUP)
	{
		reload(_router);
	}
}

/// A stop that has begun goes on by the settings that it began with.
void ignoreSignals(DirectRouter& _router)
{
	while (true)
	{
		logEvent("signal_ignored",
				 {{"signal", std::to_string(awaitSignal(_router.signals))}, {"why", "stopping"}});
	}
}

/// Ends what is still at an upstream, so that its caller gets an answer. A request at a silent upstream
/// outlived the process, and its connection was closed without one.
void endInFlight(DirectRouter& _router)
{
	for (const auto& [number, serving] : _router.inFlight)
	{
		endBeforeStop(*serving);
	}
}

/// A process that was not run for a while may find the time of its stop over with requests in hand.
void answerLate(DirectRouter& _router)
{
	const auto unanswered = [](const auto& _entry) {
		return !_entry.second->plan.started;
	};
	if (std::none_of(_router.inFlight.begin(), _router.inFlight.end(), unanswered))
	{
		return;
	}
	endInFlight(_router);
	const TimeUs until = monotonicNow() + kAnswerReserveUs;
	while (_router.callers.busy > 0 && monotonicNow() < until)
	{
		sleepFor(kStopPollMs);
	}
}

/// A planned stop: the balancer sees it first, then what callers have begun to send ends, within the grace;
/// idle connections are closed last, so that a request that has come on one is still answered.
void stop(DirectRouter& _router)
{
	const TimeUs begin = monotonicNow();
	_router.stopping = true;
	_router.callers.draining = true;
	logEvent("stopping", {{"in_flight", std::to_string(_router.inFlight.size())},
						  {"begun", std::to_string(_router.callers.busy)},
						  {"connections", std::to_string(_router.callers.connections)}});
	const uint32_t grace = std::max(_router.settings.graceMs, kEndMarginMs + 1);
	const TimeUs until = begin + TimeUs(grace - kEndMarginMs) * kMsToUs;
	_router.stop = {begin, until};
	const TimeUs earliest = std::min(until, begin + kBalancerDetectionMs * kMsToUs);
	while (monotonicNow() < earliest || (_router.callers.busy > 0 && monotonicNow() < until))
	{
		if (monotonicNow() >= until - kAnswerReserveUs)
		{
			endInFlight(_router);
		}
		sleepFor(kStopPollMs);
	}
	answerLate(_router);
	stopListening(_router.callers);
	closeIdle(_router.callers);
	while (_router.callers.connections > 0 && monotonicNow() < until)
	{
		sleepFor(kStopPollMs);
	}
	noteCut(_router.callers);
	for (const auto& [number, serving] : _router.inFlight)
	{
		noteCutByStop(*serving);
	}
	logEvent("stopped", {{"cut", std::to_string(_router.callers.busy)},
						 {"connections", std::to_string(_router.callers.connections)}});
	flushLog();
}
} // namespace

DirectRouter::DirectRouter(const std::string& _settingsFile, const DirectSettings& _settings)
	: settingsFile(_settingsFile)
{
	store.protocol = &platform::storeProtocol();
	store.http.io = &io;
	store.watchHttp.io = &io;
	pool.io = &io;
	applySettings(*this, _settings);
	startedAt = monotonicNow();
	random.state = stableHash(settings.box) ^ uint64_t(wallNow());
	trials.writer = uint32_t(stableHash(settings.box, random.state));
	usage.writer = trials.writer;
	setLogProcess(settings.box);
}

bool isOverloaded(const DirectRouter& _router)
{
	return loopPromptness().overload.overloaded && _router.callers.busy >= kOverloadRequests;
}

bool isReady(const DirectRouter& _router)
{
	return !_router.stopping && isConfigUsable(_router) && _router.upstreamsKnown && !isOverloaded(_router);
}

RetryWindow& retryWindow(DirectRouter& _router, const std::string& _service)
{
	/// Clocks and windows of the routers do not agree to the millisecond.
	constexpr double kKeptShare = 0.95;
	RetryWindow& window = _router.retries[_service];
	window.length = TimeUs(_router.settings.retryWindowMs) * kMsToUs;
	window.ratio = _router.settings.retryRatio * kKeptShare;
	window.shared = sharesRetries(_router);
	return window;
}

int runDirectRouter(const std::string& _settingsFile)
{
	static DirectRouter* s_router = nullptr; // Lives as long as the process: fibers refer to it to the end.
	std::signal(SIGPIPE, SIG_IGN);
	// Until the router's own handler stands: the settings are read below anyway.
	std::signal(SIGHUP, SIG_IGN);
	s_router = new DirectRouter(_settingsFile, loadDirectSettings(_settingsFile));
	for (const int signal : {SIGTERM, SIGINT, SIGHUP})
	{
		s_router->signals.add(signal);
	}
	installFiberScheduler(s_router->io);
	startLogFlush();
	listen(*s_router);
	followStore(*s_router);
	keepRunning("housekeeping", [] { keepHouse(*s_router); });
	logEvent("started", {{"hall", s_router->settings.hall}, {"pid", std::to_string(::getpid())}});
	awaitStopSignal(*s_router);
	keepRunning("signals", [] { ignoreSignals(*s_router); });
	stop(*s_router);
	::_exit(0); // Detached fibers still hold references: nothing is left to tidy that the kernel does not.
}
} // namespace spanplank
