/// Randomized fault soak of the direct mode: real routers as separate processes, stand-ins of the platform's
/// store and of upstreams, proxies between them that do harm, signals, restarts. Checks the promises while it
/// runs, from what callers and upstreams see. Usage: soak --seed N --seconds S. Exit 1: a promise was broken;
/// the seed, the schedule of faults and the routers' logs are printed or kept. `--only` plays parts of a
/// schedule again.
#include <absl/flags/parse.h>
#include <filesystem>
#include <fmt/format.h>
#include <unistd.h>

#include "ports.h"
#include "soak_callers.h"
#include "soak_endings.h"
#include "soak_faults.h"
#include "soak_load.h"
#include "soak_notices.h"
#include "soak_rollouts.h"
#include "soak_state.h"
#include "soak_upstreams.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kReturnWaitMs = 3000; ///< Ejections and back-off end by then.
constexpr uint32_t kRecoveryS = 15;      ///< Longest wait until a request is served after the faults.
/// For each body that signals, beyond the first: stops of more routers overlap more.
constexpr uint32_t kRoutersOfSignaller = 4;
constexpr uint32_t kHarmers = 2;        ///< Bodies that do harm: faults overlap.
constexpr double kManyRetries = 5.0;    ///< Of a mutant.
constexpr double kDefaultRetries = 0.9; ///< The routers' default ratio.
constexpr double kScarceRetries = 0.05; ///< Retry ratio of every second router: its window is used up.

void startRouters(Soak& _soak)
{
	for (uint32_t ii = 0; ii < absl::GetFlag(FLAGS_routers); ++ii)
	{
		_soak.routers.push_back(std::make_unique<SoakRouter>());
		SoakRouter& router = *_soak.routers.back();
		startProxy(router.toStore, _soak.storeAddress);
		const std::string link = loopback(freePort());
		startProxy(router.toLink, link);
		router.retryRatio = ii % 2 == 1 ? kScarceRetries : kDefaultRetries;
		const double ratio = isMutant("retries") ? kManyRetries : router.retryRatio;
		const std::string retries = fmt::format("retryRatio: {}\n", ratio);
		router.process = std::make_unique<RouterProcess>(
			_soak.dir, fmt::format("router-{}", ii), router.toStore.address,
			fmt::format("graceSeconds: {}\nrevokeMs: {}\nleaveMs: {}\nlink: {}\nlinkAnnounced: {}\n{}",
						double(kGraceMs) / 1000.0, kRevokeMs, kLeaveMs, link, router.toLink.address,
						retries));
		router.process->start();
		note(_soak, fmt::format("router {} listens at {}", ii, router.process->listen()));
	}
	for (const auto& router : _soak.routers)
	{
		router->up = eventually([&] { return router->process->isReady(); });
	}
}

void startAll(Soak& _soak)
{
	_soak.config = basicConfig(kKeptKey);
	addLargeAccount(_soak);
	writeConfig(_soak);
	_soak.store.http.handler = [&_soak](HttpExchange& _exchange) {
		answerStoreCall(_soak.store, _exchange);
	};
	_soak.storeAddress = loopback(startHttpServer(testIo(), _soak.store.http, {loopbackIp(), 0}));
	for (const char* service : {"app", "app", "app", "engines", "engines", "engines", "engines"})
	{
		addEnd(_soak, service, "v1");
	}
	startRouters(_soak);
}

/// After the faults every kind of request is served again.
void checkRecovery(Soak& _soak)
{
	sleepFor(kReturnWaitMs);
	for (const auto& router : _soak.routers)
	{
		for (const char* path : {"/plain/", "/once/", "/chat/"})
		{
			const bool served = eventually([&] { return isServed(_soak, *router, path); }, kRecoveryS);
			if (!served)
			{
				breach(_soak, fmt::format("{} is not served after the faults ended", path));
			}
		}
	}
}

void printResult(const Soak& _soak)
{
	std::string outcomes;
	for (const auto& [outcome, count] : _soak.outcomes)
	{
		outcomes += fmt::format(" {}={}", outcome, count);
	}
	fmt::print("seed {}: {} requests,{}; {} broken\n", _soak.seed, _soak.requests.size(), outcomes,
			   _soak.broken.size());
}

/// Kills routers without telling the checks: to prove that such an end is seen.
void killUnseen(Soak& _soak)
{
	constexpr uint32_t kAfterMs = 2000;
	sleepFor(kAfterMs);
	_soak.routers.front()->process->signal(SIGKILL);
}

/// Callers and faults, until the time is up.
void runAll(Soak& _soak)
{
	std::vector<std::function<void()>> bodies;
	const uint32_t callers = absl::GetFlag(FLAGS_callers) + absl::GetFlag(FLAGS_large);
	for (uint32_t ii = 0; ii < callers + absl::GetFlag(FLAGS_keepers); ++ii)
	{
		bodies.emplace_back(
			[&_soak, ii, callers] { ii < callers ? callOften(_soak, ii) : callRarely(_soak, ii); });
	}
	for (uint32_t ii = 0; ii < kHarmers; ++ii)
	{
		bodies.emplace_back([&_soak, ii] { harmOn(_soak, ii); });
	}
	const uint32_t signallers = uint32_t(_soak.routers.size()) / kRoutersOfSignaller + 2;
	for (uint32_t ii = 0; ii < signallers; ++ii)
	{
		bodies.emplace_back([&_soak, ii] { signalOn(_soak, ii); });
	}
	bodies.emplace_back([&_soak] { changeOn(_soak); });
	bodies.emplace_back([&_soak] { leaveOn(_soak); });
	bodies.emplace_back([&_soak] { evacuateOn(_soak); });
	bodies.emplace_back([&_soak] { endUpstreamsOn(_soak); });
	if (absl::GetFlag(FLAGS_notices))
	{
		bodies.emplace_back([&_soak] { limitOn(_soak); });
		bodies.emplace_back([&_soak] { leaveByAnswerOn(_soak); });
		bodies.emplace_back([&_soak] { restOn(_soak); });
	}
	if (absl::GetFlag(FLAGS_rollouts))
	{
		bodies.emplace_back([&_soak] { rolloutOn(_soak); });
	}
	bodies.emplace_back([&_soak] { watchProcesses(_soak); });
	if (isMutant("ends"))
	{
		bodies.emplace_back([&_soak] { killUnseen(_soak); });
	}
	together(std::move(bodies));
}

int run()
{
	std::setvbuf(stdout, nullptr, _IOLBF,
				 0); // Whole lines, also beside the log lines of the stand-ins' servers.
	testIo();
	static Soak* s_soak = new Soak; // Fibers refer to it until the process ends.
	Soak& soak = *s_soak;
	soak.seed = absl::GetFlag(FLAGS_seed);
	char pattern[] = "/tmp/spanplank-soak-XXXXXX";
	soak.dir = ::mkdtemp(pattern);
	soak.startedAt = monotonicNow();
	startAll(soak);
	soak.startedAt = monotonicNow();
	soak.until = soak.startedAt + TimeUs(absl::GetFlag(FLAGS_seconds)) * kSecond;
	runAll(soak);
	checkRecovery(soak);
	checkLastRollout(soak);
	checkRetries(soak);
	printResult(soak);
	for (const auto& router : soak.routers)
	{
		router->process->killHard();
	}
	if (soak.broken.empty())
	{
		std::filesystem::remove_all(soak.dir);
	}
	else
	{
		fmt::print("logs of the routers: {}\n", soak.dir);
	}
	std::fflush(nullptr);
	::_exit(soak.broken.empty() ? 0 : 1);
}
} // namespace
} // namespace spanplank

int main(int _argc, char** _argv)
{
	absl::ParseCommandLine(_argc, _argv);
	return spanplank::run();
}
