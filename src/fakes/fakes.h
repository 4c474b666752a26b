/// Stand-ins for the outside systems, met over the same protocols: key-value store, box list, ratings,
/// engines and plain services. They take fault commands over HTTP, so that tests cut, slow and lose on
/// purpose.
#ifndef SPANPLANK_FAKES_H_HEADER_GUARD
#define SPANPLANK_FAKES_H_HEADER_GUARD

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "fiber_runtime_p.h"
#include "http_p.h"
#include "node_p.h"
#include "spanplank/types.h"

namespace spanplank
{
/// The platform's key-value service: compare-and-swap, leases, prefix watches, one revision order.
struct FakeStore
{
	struct Item
	{
		std::string value;
		uint64_t revision = 0;
		bool deleted = false;
		uint64_t lease = 0;
	};
	struct Change
	{
		std::string key;
		std::string value;
		uint64_t revision = 0;
	};
	std::map<std::string, Item> items;
	std::deque<Change> history;
	std::map<uint64_t, TimeUs> leases; ///< Deadline by lease.
	uint64_t revision = 0;
	uint64_t nextLease = 1;
	uint64_t reads = 0;
	uint64_t writes = 0;
	uint64_t watches = 0;

	// Faults.
	bool down = false;
	uint32_t slowMs = 0;
	double loseAnswers = 0.0;       ///< Share of writes whose answer is lost after they took effect.
	uint32_t maxCallsPerSecond = 0; ///< 0: no limit.
	TimeUs secondStart = 0;
	uint32_t callsThisSecond = 0;
	uint32_t peakCalls = 0;
	uint64_t limited = 0;
	Random random{42};
};

/// The platform's lagging list of boxes.
struct FakeBoxList
{
	struct Shown
	{
		nlohmann::json boxes = nlohmann::json::array();
		TimeUs from = 0;
	};
	std::deque<Shown> versions;
	uint32_t lagMs = 0;
	bool down = false;
};

/// The service that rates answers, late.
struct FakeRatings
{
	struct Rating
	{
		TimeUs due = 0;
		bool good = true;
	};
	std::map<std::string, std::vector<Rating>> byVersion;
	uint32_t delayMs = 500;
	double coverage = 1.0; ///< Share of answers that are rated at all.
	Random random{43};
};

struct FakePlatform
{
	FakeStore store;
	FakeBoxList boxes;
	FakeRatings ratings;
	HttpServer http;
};

struct FakeEngine
{
	FakePlatform* platform = nullptr;
	std::string name;
	HttpServer http;
	uint32_t slots = 8;
	uint32_t running = 0;
	double prefillMsPerToken = 0.02;
	double tokenMs = 2.0;
	size_t cacheEntries = 64;
	std::deque<uint64_t> prefixCache;              ///< Hashes of prompts' leading blocks, latest last.
	std::map<std::string, double> badRate;         ///< By version.
	std::map<std::string, uint64_t> runsByRequest; ///< Whole answers by request id.
	std::map<std::string, uint64_t> runsByVersion;
	std::map<std::string, uint64_t> badByVersion;
	uint64_t cancelled = 0;
	uint32_t cutAfterTokens = 0; ///< Fault: cuts the stream after so many tokens.
	nlohmann::json usage;        ///< Fault: told in place of what was used; null: the truth is told.
	Random random{44};
};

/// A plain service that checks nothing and counts what it runs.
struct FakeService
{
	HttpServer http;
	uint32_t workMs = 5;
	std::map<std::string, uint64_t> runsByKey;
	uint64_t runs = 0;
};

uint16_t startFakePlatform(boost::asio::io_context& _io, FakePlatform& _platform, const Endpoint& _endpoint);
uint16_t startFakeEngine(boost::asio::io_context& _io, FakeEngine& _engine, const Endpoint& _endpoint);
uint16_t startFakeService(boost::asio::io_context& _io, FakeService& _service, const Endpoint& _endpoint);

/// Handles `/kv/...`. @returns Whether the path was one of the store's.
bool answerStore(FakeStore& _store, HttpExchange& _exchange, const std::string& _path);

/// The body of a request, or an empty object.
nlohmann::json bodyOf(const HttpExchange& _exchange);
} // namespace spanplank

#endif // SPANPLANK_FAKES_H_HEADER_GUARD
