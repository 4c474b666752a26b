/// Flags, notes and chances of the soak, and the watch on its processes.
#include "soak_state.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <fstream>

ABSL_FLAG(uint64_t, seed, 1, "of the schedule of faults and of the load");
ABSL_FLAG(uint32_t, seconds, 20, "how long callers and faults go on");
ABSL_FLAG(uint32_t, routers, 3, "router processes");
ABSL_FLAG(uint32_t, callers, 8, "callers, each with one kept connection");
ABSL_FLAG(uint32_t, keepers, 32, "callers that keep a connection through pauses");
ABSL_FLAG(uint32_t, large, 0, "more callers, all of one client account of their own");
ABSL_FLAG(bool, uneven, false, "A third of the engines are several times slower than the others.");
ABSL_FLAG(bool, rollouts, true, "Roll out good and bad versions meanwhile.");
ABSL_FLAG(bool, notices, false,
		  "Upstreams state limits, say that they leave and ask for rest in their answers.");
ABSL_FLAG(double, silent, 0.0, "chance that an upstream keeps silent on a request that must not be repeated");
ABSL_FLAG(bool, planned, false,
		  "planned work and harm between processes alone; nothing unplanned is done to routers");
ABSL_FLAG(
	std::string, only, "",
	"play these steps alone, as BODY#STEP@MS separated by commas: what a run has printed, or other moments");
ABSL_FLAG(
	std::string, mutant, "",
	"a check to prove: `twice` lets upstreams run a rejected request, `lost` lets callers lose answers, "
	"`idle` lets them overstay, `cut` lets upstreams cut streams unseen, `drain` keeps leavings from the "
	"store, `evacuation` does so with orders, `ends` kills routers unseen, `unlike` gives each copy of a "
	"request that ends upstreams a body of its own, `alike` gives it the path of a harmless one, `limit`, "
	"`leaving` and `rest` keep what upstreams say of that from their answers, `retries` lets routers retry "
	"more "
	"often than the check knows");

namespace spanplank
{
namespace
{
constexpr uint32_t kSampleMs = 50;

/// What a fiber draws from.
struct Draws
{
	Random random;
	std::string label; ///< Of the step that is played, for notes; empty: none.
};

Draws& drawsOfFiber()
{
	static boost::fibers::fiber_specific_ptr<Draws> s_draws;
	if (s_draws.get() == nullptr)
	{
		s_draws.reset(new Draws);
	}
	return *s_draws;
}

/// A step that `--only` names.
struct ChosenStep
{
	uint64_t step = 0;
	TimeUs at = 0; ///< Since the faults began.
};

/// @returns The steps of a body that `--only` names, in its order.
std::vector<ChosenStep> chosenSteps(const std::string& _body)
{
	std::vector<ChosenStep> chosen;
	const std::vector<std::string> items = absl::StrSplit(absl::GetFlag(FLAGS_only), ',', absl::SkipEmpty());
	for (const std::string& item : items)
	{
		const std::vector<std::string> parts = absl::StrSplit(item, absl::ByAnyChar("#@"));
		uint64_t step = 0;
		uint64_t atMs = 0;
		if (parts.size() != 3 || !absl::SimpleAtoi(parts[1], &step) || !absl::SimpleAtoi(parts[2], &atMs))
		{
			fmt::print("--only does not take {}\n", item);
			std::exit(2);
		}
		if (parts[0] == _body)
		{
			chosen.push_back({step, TimeUs(atMs) * kMsToUs});
		}
	}
	return chosen;
}

void playStep(Soak& _soak, const std::string& _body, uint64_t _number, const std::function<void()>& _step)
{
	const TimeUs since = monotonicNow() - _soak.startedAt;
	drawsOfFiber().label = fmt::format("{}#{}@{}: ", _body, _number, since / kMsToUs);
	_step();
	drawsOfFiber().label.clear();
}

double elapsed(const Soak& _soak)
{
	return double(monotonicNow() - _soak.startedAt) / double(kSecond);
}

/// @returns How long a process has waited for a core since its start, as the kernel counts.
TimeUs runDelayOf(pid_t _pid)
{
	int64_t ran = 0;
	int64_t waited = 0;
	std::ifstream(fmt::format("/proc/{}/schedstat", _pid)) >> ran >> waited;
	return waited / 1000;
}
} // namespace

Notice noticeNow(const Soak& _soak)
{
	const TimeUs now = monotonicNow();
	return {now, _soak.heldUp, now > _soak.storeHarmedAt + kContactMs * kMsToUs};
}

void breach(Soak& _soak, const std::string& _what)
{
	_soak.broken.push_back(fmt::format("{:.3f} s: {}", elapsed(_soak), _what));
	fmt::print("BROKEN {}\n", _soak.broken.back());
}

void note(const Soak& _soak, const std::string& _what)
{
	fmt::print("{:.3f} s: {}{}\n", elapsed(_soak), drawsOfFiber().label, _what);
}

void drawAs(const Soak& _soak, std::string_view _body, uint64_t _step)
{
	drawsOfFiber().random.state = stableHash(fmt::format("{} {}", _body, _step), _soak.seed);
}

uint32_t below(const Soak& /*_soak*/, uint32_t _bound)
{
	return uint32_t(nextRandom(drawsOfFiber().random) % _bound);
}

bool happens(const Soak& /*_soak*/, double _chance)
{
	return nextUnit(drawsOfFiber().random) < _chance;
}

void playSteps(Soak& _soak, const std::string& _body, uint32_t _pauseMostMs,
			   const std::function<void()>& _step)
{
	if (!absl::GetFlag(FLAGS_only).empty())
	{
		for (const ChosenStep& chosen : chosenSteps(_body))
		{
			drawAs(_soak, _body, chosen.step);
			below(_soak, _pauseMostMs); // Drawn and not slept, so that the step draws the same.
			const TimeUs wait = _soak.startedAt + chosen.at - monotonicNow();
			sleepFor(uint32_t(std::max<TimeUs>(0, wait) / kMsToUs));
			playStep(_soak, _body, chosen.step, _step);
		}
		return;
	}
	for (uint64_t number = 0; monotonicNow() < _soak.until; ++number)
	{
		drawAs(_soak, _body, number);
		sleepFor(below(_soak, _pauseMostMs));
		playStep(_soak, _body, number, _step);
	}
}

bool isMutant(const char* _name)
{
	return absl::GetFlag(FLAGS_mutant) == _name;
}

void watchProcesses(Soak& _soak)
{
	while (monotonicNow() < _soak.until)
	{
		const TimeUs begin = monotonicNow();
		sleepFor(kSampleMs);
		_soak.heldUp += std::max<TimeUs>(0, monotonicNow() - begin - kSampleMs * kMsToUs);
		for (const auto& router : _soak.routers)
		{
			const TimeUs delay = runDelayOf(router->process->pid());
			_soak.heldUp += std::max<TimeUs>(0, delay - router->runDelay); // Less: a new process.
			router->runDelay = delay;
			if (router->up && !router->claimed && router->process->hasEnded())
			{
				breach(_soak, fmt::format("router {} ended by itself", router->process->listen()));
				router->up = false;
				router->starts.push_back(monotonicNow());
				router->process->start();
				router->up = eventually([&] { return router->process->isReady(); });
			}
		}
	}
}
} // namespace spanplank
