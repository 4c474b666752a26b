/// What all parts of the soak share: flags, bounds, the state of callers, upstreams and routers.
#ifndef SPANPLANK_TESTS_SOAK_STATE_H_HEADER_GUARD
#define SPANPLANK_TESTS_SOAK_STATE_H_HEADER_GUARD

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "direct_harness.h"
#include "fault_proxy.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "spanplank/types.h"

ABSL_DECLARE_FLAG(uint64_t, seed);
ABSL_DECLARE_FLAG(uint32_t, seconds);
ABSL_DECLARE_FLAG(uint32_t, routers);
ABSL_DECLARE_FLAG(uint32_t, callers);
ABSL_DECLARE_FLAG(uint32_t, keepers);
ABSL_DECLARE_FLAG(uint32_t, large);
ABSL_DECLARE_FLAG(bool, uneven);
ABSL_DECLARE_FLAG(bool, planned);
ABSL_DECLARE_FLAG(bool, rollouts);
ABSL_DECLARE_FLAG(bool, notices);
ABSL_DECLARE_FLAG(double, silent);
ABSL_DECLARE_FLAG(std::string, mutant);
ABSL_DECLARE_FLAG(std::string, only);

namespace spanplank
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr uint32_t kGraceMs = 4000;
constexpr uint32_t kRevokeMs = 3000;
constexpr uint32_t kLeaveMs = 2000;
constexpr uint32_t kApplyMs = 2000;    ///< Until a configuration must be in force at a router in touch.
constexpr uint32_t kContactMs = 3000;  ///< Without a disturbance, until a router counts as in touch.
constexpr uint32_t kDeadlineMs = 3000; ///< That callers state.
constexpr TimeUs kCallerSlack = 1500 * kMsToUs; ///< Of this machine: many processes share its cores.
constexpr int kOk = 200; ///< Apart from the router's own names: the checks must not follow a change of those.
inline const std::string kKeptKey = "kept-key";
inline const std::string kHost = "town.example";

/// When the store took that something gets no more work, and what may have delayed the news.
struct Notice
{
	TimeUs since = 0;        ///< 0: it does get work.
	TimeUs heldUp = 0;       ///< `Soak::heldUp` then.
	bool storeSound = false; ///< The store took it while it was stable.
};

struct SoakRouter;

/// A request that an upstream with a limit got.
struct LimitedArrival
{
	TimeUs at = 0;
	const SoakRouter* router = nullptr;
};

/// A limit that an upstream states in its answers.
struct SoakLimit
{
	double perSecond = 0.0;
	TimeUs since = 0;  ///< 0: it states none.
	TimeUs heldUp = 0; ///< `Soak::heldUp` then.
	std::map<const SoakRouter*, TimeUs> toldAt;
	std::vector<LimitedArrival> arrivals; ///< Of routers that had been told.
};

/// A rest that an upstream asked one router for.
struct SoakRest
{
	TimeUs askedAt = 0;
	TimeUs heldUp = 0; ///< `Soak::heldUp` then.
	size_t requests = 0;
};

struct SoakUpstream
{
	StandInUpstream* upstream = nullptr;
	uint32_t starts = 0; ///< After the first.
	SoakLimit limit;
	bool saysLeaving = false; ///< In its answers; the store is not told.
	bool rests = false;       ///< It rejects all and asks for rest.
	std::map<const SoakRouter*, TimeUs> leavingToldAt;
	std::map<const SoakRouter*, std::vector<SoakRest>> restsOf;
	FaultProxy proxy;
	Notice leaving;      ///< It leaves, or is gone from the store.
	bool down = false;   ///< It has ended under a request, and is not back yet.
	TimeUs harmedAt = 0; ///< Until when the path to it was last harmed.
};

struct SoakRouter
{
	std::unique_ptr<RouterProcess> process;
	double retryRatio = 0.0;    ///< Of its settings.
	std::vector<TimeUs> starts; ///< Of processes after the first.
	FaultProxy toStore;
	FaultProxy toLink; ///< Before its links: the other routers come through it.
	TimeUs disturbedAt =
		0; ///< Until when it, also by a planned stop, or its path to the store was last harmed.
	TimeUs unplannedAt = 0; ///< The same without planned work.
	TimeUs renewedAt = 0;   ///< When it was last started, or went on after a pause.
	TimeUs stopAt = 0;      ///< When it was last asked to stop.
	TimeUs stoppedAt = 0;   ///< When it was last found ended after that.
	TimeUs runDelay = 0;    ///< Of its process: see `Soak::heldUp`.
	bool paused = false;
	bool claimed = false; ///< It is stopped, killed or paused just now: by one body at a time.
	bool up = false;      ///< It has been ready since its start, so that it heeds signals.
};

/// An arrival of a request at an upstream, beyond its first one.
struct SoakRetry
{
	TimeUs at = 0;
	TimeUs heldUp = 0; ///< `Soak::heldUp` then.
};

/// What became of one request, from both ends.
struct RequestRecord
{
	std::string path;
	std::string key;
	SoakRouter* router = nullptr; ///< That the caller sent it to.
	uint32_t arrivals = 0;        ///< At upstreams, also at those that rejected it.
	uint32_t runs = 0;            ///< Upstreams that began to work on it.
	uint32_t working = 0;         ///< Upstreams that work on it now.
	TimeUs workedUntil = 0;
	SoakUpstream* lastEnd = nullptr; ///< The last that ran it.
	TimeUs lastRunAt = 0;
	std::map<uint32_t, HttpExchange*> streams; ///< Runs that answer with events now, by their number.
	bool ending = false;                       ///< It ends upstreams that run it.
	bool brokeOff = false;                     ///< That one cut its answer by itself.
	bool seen = false;                         ///< An upstream got it, also one that rejected it.
	bool toldNotRun = false;                   ///< The caller got a status that promises so.
	bool allowed = true;                       ///< By every idle limit that may be in force.
	TimeUs chosenAt = 0;                       ///< When the caller last saw that the connection was open.
	TimeUs sentAt = 0;
	TimeUs heldUpThen = 0; ///< `Soak::heldUp` when it was sent.
};

/// A roll-out that is under way.
struct SoakTrial
{
	std::string service;
	std::string version;
	bool bad = false;
	bool slow = false; ///< In which way it is bad; else its answers fail.
	TimeUs orderedAt = 0;
	uint32_t all = 0;          ///< Requests that reached the service up to the deadline.
	uint32_t arrived = 0;      ///< Those that reached the version on trial.
	std::vector<TimeUs> badAt; ///< Its bad answers since the store was last harmed.
};

/// A request that ends the upstreams that run it, of which copies come again and again, or a part of
/// different prompts that does so.
struct SoakEnding
{
	std::string name;
	bool isPart = false;
	std::vector<TimeUs> ends; ///< Of upstreams under it.
	uint32_t late = 0;        ///< Copies that routers in touch sent later than the bound.
};

struct Soak
{
	uint64_t seed = 0;
	std::string dir;
	StandInStore store;
	nlohmann::json config;
	std::string storeAddress;
	std::vector<std::unique_ptr<StandInUpstream>> upstreams;
	std::vector<std::unique_ptr<SoakUpstream>> ends;
	std::vector<std::unique_ptr<SoakRouter>> routers;
	std::map<std::string, RequestRecord> requests;
	std::vector<SoakRetry> retries[2]; ///< Of `app` and of `engines`.
	std::map<std::string, TimeUs> revokedAt;
	std::map<std::string, Notice> evacuated;             ///< By hall.
	std::vector<std::pair<TimeUs, uint32_t>> idleLimits; ///< When the store took each, and its milliseconds.
	std::vector<std::string> broken;
	std::map<std::string, uint64_t> outcomes;
	TimeUs storeHarmedAt = 0;
	/// Sum of the time in which routers could run and got no core, and of the lateness of this process: what
	/// a busy machine may have added to the way of a request.
	TimeUs heldUp = 0;
	TimeUs until = 0;
	TimeUs startedAt = 0;
	uint64_t nextRequest = 1;
	uint32_t nextUpstream = 0;
	std::optional<SoakTrial> trial;
	SoakEnding ending;
	uint32_t versions = 1;                             ///< Named so far, of all services.
	std::map<std::string, std::string> settledVersion; ///< By service; one that is not here has v1.
};

/// @returns That the store has just taken something.
Notice noticeNow(const Soak& _soak);
void breach(Soak& _soak, const std::string& _what);
void note(const Soak& _soak, const std::string& _what);

/// The calling fiber draws from a stream of its own from here on, given by the seed, a body's name and the
/// number of its step: how fast one body goes does not change what another draws, nor what a later step does.
void drawAs(const Soak& _soak, std::string_view _body, uint64_t _step);
/// @returns A draw below a bound, from the fiber's stream.
uint32_t below(const Soak& _soak, uint32_t _bound);
/// @returns Whether something of a chance happens, by the fiber's stream.
bool happens(const Soak& _soak, double _chance);

/// Plays the steps of a body that does harm or work, with a drawn pause before each, until the faults end.
/// With `--only` just the steps named there, each at its moment. What a step notes begins with
/// `BODY#STEP@MS`, as `--only` takes it.
void playSteps(Soak& _soak, const std::string& _body, uint32_t _pauseMostMs,
			   const std::function<void()>& _step);
bool isMutant(const char* _name);
/// Measures `heldUp` and looks for routers that end by themselves, until the faults end.
void watchProcesses(Soak& _soak);
} // namespace spanplank

#endif // SPANPLANK_TESTS_SOAK_STATE_H_HEADER_GUARD
