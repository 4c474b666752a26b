/// A router that calls the upstreams itself: its state, and the modules that work on it.
#ifndef SPANPLANK_DIRECT_ROUTER_P_H_HEADER_GUARD
#define SPANPLANK_DIRECT_ROUTER_P_H_HEADER_GUARD

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "completion_stats_p.h"
#include "config_inquiry_p.h"
#include "fiber_runtime_p.h"
#include "http_p.h"
#include "latency_histogram_p.h"
#include "peer_links_p.h"
#include "settings_p.h"
#include "spanplank/abandoned_attempts.h"
#include "spanplank/account_share.h"
#include "spanplank/answer_buffers.h"
#include "spanplank/completion.h"
#include "spanplank/crash_suspects.h"
#include "spanplank/duty.h"
#include "spanplank/paced_waits.h"
#include "spanplank/planned_stop.h"
#include "spanplank/request_plan.h"
#include "spanplank/retry_lending.h"
#include "spanplank/retry_window.h"
#include "spanplank/service_config.h"
#include "spanplank/suspect_subjects.h"
#include "spanplank/upstream_table.h"
#include "spanplank/usage_ledger.h"
#include "spanplank/version_trial.h"
#include "spanplank/waiting_room.h"
#include "spanplank/wall_clock.h"
#include "store_client_p.h"
#include "upstream_http_p.h"

namespace spanplank
{
struct DirectStats
{
	std::map<std::string, uint64_t> answers;  ///< Final answers, by `<kind of end>`.
	std::map<std::string, uint64_t> attempts; ///< Attempts, by how they ended.
	LatencyHistogram firstByte;               ///< From a request's arrival to the first byte of its answer.
	LatencyHistogram whole;                   ///< From a request's arrival to the end of its answer.
	LatencyHistogram unread;      ///< Before requests were served, see `HttpExchange::requestSince`.
	uint64_t upstreamsEnded = 0;  ///< Upstreams that ended with requests of this router at work.
	uint64_t suspectsRefused = 0; ///< Suspects that came to be refused, prompt parts too.
	uint64_t partsRefused = 0;    ///< Prompt parts that came to be refused.
	uint64_t suspectsCleared = 0;
	CompletionStats completion;
	uint64_t overloads = 0;                          ///< How often the balancer was told of an overload.
	uint64_t answersTooLarge = 0;                    ///< Answers given up as they would hold too much memory.
	uint64_t resumed = 0;                            ///< Streams that went on at another upstream.
	uint64_t escalated = 0;                          ///< Answers dropped for the next model's.
	uint64_t configs = 0;                            ///< Configurations taken.
	std::map<std::string, uint64_t> recordsRejected; ///< Records that can't be used, by what is wrong.
	std::map<std::string, uint64_t> restartedCalls;  ///< Calls at upstreams that started again, by verdict.
	uint64_t itemsSkipped = 0;                       ///< Items of the store without a key that can be read.
	uint64_t storeReturns = 0;                       ///< How often the store came back from an older copy.
	std::map<std::string, uint64_t> usageReports;    ///< Reports to the platform, by their answers.
	uint64_t attemptFailures = 0;                    ///< Attempts that ended by an exception.
	uint64_t keysUnproved = 0; ///< Keys trusted by a configuration that was not proved fresh.
	std::map<std::string, uint64_t> answerFieldsIgnored; ///< Fields of answers with invalid values, by name.
	uint64_t restsAsked = 0;                             ///< Rejections in which upstreams asked for rest.
	std::map<std::string, uint64_t> limitChanges;        ///< Changes of limits that upstreams state, by kind.
	RatioHistogram firstToken; ///< Observed over expected time to first token, where speeds are used.
	std::map<std::string, uint64_t> waited;         ///< Requests that waited for room, by service.
	std::map<std::string, uint64_t> refusedForRoom; ///< Requests refused for lack of room, by service.
	LatencyHistogram roomWait;                      ///< How long requests waited for room.
};

/// How far this router has read the store.
struct StoreView
{
	uint64_t revision = 0;  ///< As a position: see `store_position.h`.
	bool listed = false;    ///< All items were read, and all changes since up to `revision`.
	TimeUs firstListAt = 0; ///< When it was read first; that list may be old.
	TimeUs listAgainAt = 0; ///< When what was believed beyond an older copy is looked up; 0: nothing is.
	bool unsettledRecords = false; ///< A list has shown records of upstreams that may be outdated.
};

/// What was found out about an upstream after a connection to it broke. Requests that break together share
/// it.
struct ReachProbe
{
	bool done = false;
	UpstreamReach reach = UpstreamReach::Unknown;
	TimeUs at = 0; ///< When it was done.
	boost::fibers::mutex mutex;
	boost::fibers::condition_variable ready;
};

struct Serving;

/// An attempt that broke while its upstream still took connections: it may have started again at once.
struct RecentBreak
{
	SuspectSubjects subjects;
	std::string label;
	TimeUs at = 0;
	TimeUs atWork = 0;
	TimeUs writingFor = 0; ///< As `ObservedCrash::writingFor`.
};

/// What the store holds of a suspect.
struct StoredSuspect
{
	uint64_t revision = 0; ///< 0: nothing.
	uint32_t episode = 0;
	uint32_t refusals = 0;
	TimeUs writeAfter = 0; ///< Not written before; 0: no write is wanted yet.
};

struct DirectRouter
{
	DirectRouter(const std::string& _settingsFile, const DirectSettings& _settings);

	std::string settingsFile;
	DirectSettings settings;
	boost::asio::io_context io;
	boost::asio::signal_set signals{io}; ///< Of the process; filled by `runDirectRouter`.
	StoreClient store;                   ///< Reads and writes.
	StoreStats followCalls;              ///< Of the client that follows the store.
	HttpServer callers;
	HttpServer readiness;
	HttpServer metrics;
	StoreView view;
	PeerLinks peers;
	ConfigCache config;
	ConfigInquiry inquiry;
	UpstreamTable upstreams;
	/// Records of upstreams whose service is not configured, by id.
	std::map<std::string, UpstreamRecord> unconfigured;
	UpstreamPool pool;
	std::map<uint32_t, std::shared_ptr<ReachProbe>> probes; ///< By upstream.
	std::map<uint32_t, std::vector<RecentBreak>> breaks;    ///< By upstream.
	AbandonedAttempts abandoned;
	TrialTable trials;
	SuspectTable suspects;
	std::map<RequestDigest, StoredSuspect> storedSuspects;
	std::map<std::string, RetryWindow> retries;         ///< By service.
	std::map<std::string, FirstTokenPressure> pressure; ///< By service.
	std::map<std::string, PacedWaits> pacedWaits;       ///< By service.
	std::map<std::string, WaitingRoom> waitingRooms;    ///< By service.
	/// Alarms of the requests that wait in them, by service and id.
	std::map<std::string, std::map<uint64_t, FiberAlarm*>> roomWaiters;
	RetryLending lending;
	AccountShares accounts;
	AnswerLengths answerLengths;
	AnswerBuffers buffers;
	WallClock wall;
	UsageLedger usage;
	DutyState usageDuty;
	HttpClient dutyCalls; ///< To the platform, of the duties.
	DirectStats stats;
	Random random;
	TimeUs startedAt = 0;
	TimeUs recordLoggedAt = 0;             ///< When a record that can't be used was logged last.
	TimeUs answerFieldLoggedAt = 0;        ///< When an answer's invalid field was logged last.
	TimeUs lengthLoggedAt = 0;             ///< When an invalid estimate of a length was logged last.
	std::map<uint64_t, Serving*> inFlight; ///< Requests at upstreams, by number.
	uint64_t nextInFlight = 0;
	bool upstreamsKnown = false; ///< The registered upstreams were read once.
	bool stopping = false;
	bool toldOverload = false; ///< The balancer was told last that this router is overloaded.
	PlannedStop stop;
};

/// Serves one caller's request.
void serveDirect(DirectRouter& _router, HttpExchange& _exchange);

/// Starts the fibers that follow the store: configuration, upstreams, roll-outs.
void followStore(DirectRouter& _router);

/// By which way this router learned what the store holds.
enum class StoreWay : uint8_t
{
	Watch,
	List,
	Parent,   ///< Changes that the router it follows passed on.
	Snapshot, ///< A list that the router it follows passed on.
};

/// @returns A name for logs.
const char* name(StoreWay _way);

/// Takes changes of the store that this router does not know yet, and passes them on to its followers.
void takeStoreChanges(DirectRouter& _router, const StoreList& _changes, StoreWay _way);

/// Takes a full list of the store, unless this router knows more by now, and passes it on to its followers.
void takeStoreList(DirectRouter& _router, const StoreList& _list, StoreWay _way);

/// The store, or a router that reaches it, proved that it was there at a moment.
void noteStorePresent(DirectRouter& _router, TimeUs _provedAt);

/// @returns The retry window of a service.
RetryWindow& retryWindow(DirectRouter& _router, const std::string& _service);

/// @returns The metrics page.
std::string directMetrics(DirectRouter& _router);

/// @returns Whether this router has more to do than it gets processor time for: new callers are better off
/// elsewhere.
bool isOverloaded(const DirectRouter& _router);

/// @returns Whether this router may take new callers.
bool isReady(const DirectRouter& _router);
} // namespace spanplank

#endif // SPANPLANK_DIRECT_ROUTER_P_H_HEADER_GUARD
