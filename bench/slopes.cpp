/// Control costs of routers and agents as slopes over their numbers, by real processes with the stand-ins,
/// and memory slopes of the cores. Prints a table and writes JSON.
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <malloc.h>
#include <sstream>

#include "../tests/system/harness.h"
#include "fiber_runtime_p.h"
#include "spanplank/billing.h"
#include "spanplank/router_core.h"
#include "spanplank/run_once.h"

namespace
{
using namespace spanplank;
using nlohmann::json;

constexpr uint32_t kSettleMs = 3000;
constexpr uint32_t kWindowMs = 6000;

struct Sample
{
	double cpu = 0.0;
	double bytes = 0.0;
	double resident = 0.0;
	double storeCalls = 0.0;
};

double metricOf(const std::string& _page, const std::string& _name)
{
	const std::string mark = "\nspanplank_" + _name + " ";
	const size_t at = _page.find(mark);
	return at == std::string::npos ? 0.0 : std::strtod(_page.c_str() + at + mark.size(), nullptr);
}

Sample sampleOf(System& _system, const std::string& _address)
{
	const std::string page = "\n" + _system.http(_address, "GET", "/metrics").body;
	Sample sample;
	sample.cpu = metricOf(page, "cpu_seconds_total");
	sample.bytes = metricOf(page, "link_bytes_in_total") + metricOf(page, "link_bytes_out_total");
	sample.resident = metricOf(page, "max_resident_bytes");
	sample.storeCalls = metricOf(page, "store_reads_total") + metricOf(page, "store_writes_total") +
						metricOf(page, "store_watches_total");
	return sample;
}

struct Row
{
	uint32_t routers = 0;
	uint32_t agents = 0;
	Sample router; ///< Per second, memory in all.
	Sample agent;
	double storePerSecond = 0.0;
	double changeMs = 0.0;        ///< From the write to in force everywhere, mean.
	double routerPerChange = 0.0; ///< Link bytes.
	double agentPerChange = 0.0;
};

Sample rate(const Sample& _before, const Sample& _after)
{
	const double seconds = kWindowMs / 1000.0;
	return {(_after.cpu - _before.cpu) / seconds, (_after.bytes - _before.bytes) / seconds, _after.resident,
			(_after.storeCalls - _before.storeCalls) / seconds};
}

double storeCalls(System& _system)
{
	const json counts = _system.platformCounts();
	return counts.value("reads", 0.0) + counts.value("writes", 0.0) + counts.value("watches", 0.0);
}

void measureChanges(System& _system, Row& _row, const std::string& _agent, double _idleRouter,
					double _idleAgent)
{
	constexpr uint32_t kChanges = 10;
	const Sample routerBefore = sampleOf(_system, _system.routerAddress(0));
	const Sample agentBefore = sampleOf(_system, _agent);
	const TimeUs begin = monotonicNow();
	double waited = 0.0;
	for (uint32_t ii = 0; ii < kChanges; ++ii)
	{
		const TimeUs start = monotonicNow();
		const Answer accepted = _system.put(0, "models", fmt::format("model-{}", ii), {{"quality", 0.5}});
		const uint64_t revision = accepted.json().value("revision", uint64_t(0));
		eventually([&] { return _system.inForce(revision); });
		waited += double(monotonicNow() - start) / 1000.0;
	}
	const double seconds = double(monotonicNow() - begin) * 1e-6;
	_row.changeMs = waited / kChanges;
	const double routerBytes = sampleOf(_system, _system.routerAddress(0)).bytes - routerBefore.bytes;
	const double agentBytes = sampleOf(_system, _agent).bytes - agentBefore.bytes;
	_row.routerPerChange = std::max(0.0, routerBytes - _idleRouter * seconds) / kChanges;
	_row.agentPerChange = std::max(0.0, agentBytes - _idleAgent * seconds) / kChanges;
}

Row measure(uint32_t _routers, uint32_t _agents)
{
	SystemShape shape;
	shape.routers = _routers;
	shape.engines = _agents;
	System system(shape);
	system.declareBasics();
	pause(kSettleMs);
	const std::string agent = system.boxAddress("engine-0");
	Row row;
	row.routers = _routers;
	row.agents = _agents;
	const Sample router0 = sampleOf(system, system.routerAddress(0));
	const Sample agent0 = sampleOf(system, agent);
	const double store0 = storeCalls(system);
	pause(kWindowMs);
	row.router = rate(router0, sampleOf(system, system.routerAddress(0)));
	row.agent = rate(agent0, sampleOf(system, agent));
	row.storePerSecond = (storeCalls(system) - store0) / (kWindowMs / 1000.0);
	measureChanges(system, row, agent, row.router.bytes, row.agent.bytes);
	fmt::print(
		"{:>7} {:>7} {:>12.3f} {:>10.0f} {:>9.1f} {:>11.3f} {:>10.0f} {:>9.1f} {:>9.2f} {:>9.0f} {:>9.0f} "
		"{:>9.0f}\n",
		_routers, _agents, row.router.cpu * 100.0, row.router.bytes, row.router.resident / 1048576.0,
		row.agent.cpu * 100.0, row.agent.bytes, row.agent.resident / 1048576.0, row.storePerSecond,
		row.changeMs, row.routerPerChange, row.agentPerChange);
	std::fflush(stdout);
	return row;
}

struct Slope
{
	double base = 0.0;
	double each = 0.0;
	double spread = 0.0; ///< Root mean square of what the line misses.
};

Slope fit(const std::vector<std::pair<double, double>>& _points)
{
	double n = double(_points.size());
	double sx = 0.0;
	double sy = 0.0;
	double sxx = 0.0;
	double sxy = 0.0;
	for (const auto& [x, y] : _points)
	{
		sx += x;
		sy += y;
		sxx += x * x;
		sxy += x * y;
	}
	Slope slope;
	slope.each = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	slope.base = (sy - slope.each * sx) / n;
	for (const auto& [x, y] : _points)
	{
		const double miss = y - slope.base - slope.each * x;
		slope.spread += miss * miss / n;
	}
	slope.spread = std::sqrt(slope.spread);
	return slope;
}

json shown(const char* _what, const Slope& _slope)
{
	fmt::print("{:<46} {:>14.4f} {:>14.6f} {:>12.4f}\n", _what, _slope.base, _slope.each, _slope.spread);
	return {{"what", _what}, {"base", _slope.base}, {"each", _slope.each}, {"spread", _slope.spread}};
}

double heapBytes()
{
	return double(mallinfo2().uordblks);
}

/// Bytes of heap that each of many things costs.
template <typename Make>
double bytesEach(uint32_t _count, Make&& _make)
{
	const double before = heapBytes();
	const auto kept = _make(_count);
	const double each = (heapBytes() - before) / _count;
	return kept ? each : 0.0;
}

json memorySlopes()
{
	constexpr uint32_t kCount = 100000;
	const double key = bytesEach(kCount, [](uint32_t _count) {
		auto guard = std::make_unique<RunOnceGuard>();
		guard->self = "a";
		guard->table = {"p", 1, {{"a", "a", 1}}, 0};
		GuardActions actions;
		for (uint32_t ii = 0; ii < _count; ++ii)
		{
			const std::string id = callKey("account", "service", std::to_string(ii));
			beginCall(*guard, {id, "0123456789abcdef", std::nullopt, {LinkId{0}, ii}}, 0, 1, actions);
			finishCall(*guard, id, {200, "application/json", "", false}, actions);
			actions.clear();
		}
		return guard;
	});
	const double bill = bytesEach(kCount, [](uint32_t _count) {
		auto book = std::make_unique<BillTable>();
		for (uint32_t ii = 1; ii <= _count; ++ii)
		{
			retainBill(*book, {"entry-0.0123456789", ii, fmt::format("entry-0.0123456789-{}", ii),
							   "university-1", "marker-small@1", 100, 50, 0.1});
		}
		return book;
	});
	const double request = bytesEach(kCount / 10, [](uint32_t _count) {
		auto core = std::make_unique<RouterCore>(createRouterCore({}));
		for (uint32_t ii = 0; ii < _count; ++ii)
		{
			RequestState& state = core->requests[ii];
			state.id = fmt::format("entry-0.0123456789-{}", ii);
			state.account = "university-1";
			state.caller.body = std::string(2000, 'x');
			state.caller.prompt = std::string(2000, 'x');
			core->requestOfAttempt[ii] = ii;
		}
		return core;
	});
	const double resource = bytesEach(kCount / 10, [](uint32_t _count) {
		auto replica = std::make_unique<ConfigReplica>();
		ConfigUpdate update;
		for (uint32_t ii = 0; ii < _count; ++ii)
		{
			ClientAccount account;
			account.keyHashes = {std::string(64, 'a') + std::to_string(ii)};
			account.allowed = {"marker-small", "marker-large", "marking", "scores"};
			update.changes.push_back({kKindAccount,
									  fmt::format("account-{}", ii),
									  ii + 1,
									  false,
									  account,
									  {"op-0123456789abcdef"}});
		}
		update.revision = _count;
		apply(*replica, update);
		return replica;
	});
	fmt::print(
		"\nbytes of heap: run-once key {:.0f}, kept bill {:.0f}, request in flight (2 kB body) {:.0f}, "
		"account {:.0f}\n",
		key, bill, request, resource);
	return {
		{"run_once_key", key}, {"kept_bill", bill}, {"request_in_flight", request}, {"account", resource}};
}
} // namespace

int main(int _argc, char** _argv)
{
	fmt::print("{:>7} {:>7} {:>12} {:>10} {:>9} {:>11} {:>10} {:>9} {:>9} {:>9} {:>9} {:>9}\n", "routers",
			   "agents", "router cpu %", "bytes/s", "MB", "agent cpu %", "bytes/s", "MB", "store/s",
			   "change ms", "B/change", "agent B/c");
	std::vector<Row> overAgents;
	std::vector<Row> overRouters;
	for (const uint32_t agents : {12u, 30u, 60u, 100u})
	{
		overAgents.push_back(measure(2, agents));
	}
	for (const uint32_t routers : {2u, 4u, 8u, 16u})
	{
		overRouters.push_back(measure(routers, 12));
	}
	const auto points = [](const std::vector<Row>& _rows, bool _byAgents, auto&& _value) {
		std::vector<std::pair<double, double>> result;
		result.reserve(_rows.size());
		for (const Row& row : _rows)
		{
			result.emplace_back(_byAgents ? row.agents : row.routers, _value(row));
		}
		return result;
	};
	fmt::print("\n{:<46} {:>14} {:>14} {:>12}\n", "slope", "base", "each", "spread");
	json slopes = json::array();
	slopes.push_back(shown("router cpu share per agent",
						   fit(points(overAgents, true, [](const Row& _row) { return _row.router.cpu; }))));
	slopes.push_back(shown("router control bytes/s per agent",
						   fit(points(overAgents, true, [](const Row& _row) { return _row.router.bytes; }))));
	slopes.push_back(
		shown("router resident bytes per agent",
			  fit(points(overAgents, true, [](const Row& _row) { return _row.router.resident; }))));
	slopes.push_back(shown("agent cpu share per pool member",
						   fit(points(overAgents, true, [](const Row& _row) { return _row.agent.cpu; }))));
	slopes.push_back(shown("agent control bytes/s per pool member",
						   fit(points(overAgents, true, [](const Row& _row) { return _row.agent.bytes; }))));
	slopes.push_back(shown("store calls/s per agent", fit(points(overAgents, true, [](const Row& _row) {
							   return _row.storePerSecond;
						   }))));
	slopes.push_back(shown("agent cpu share per router",
						   fit(points(overRouters, false, [](const Row& _row) { return _row.agent.cpu; }))));
	slopes.push_back(
		shown("agent control bytes/s per router",
			  fit(points(overRouters, false, [](const Row& _row) { return _row.agent.bytes; }))));
	slopes.push_back(
		shown("agent resident bytes per router",
			  fit(points(overRouters, false, [](const Row& _row) { return _row.agent.resident; }))));
	slopes.push_back(shown("store calls/s per router", fit(points(overRouters, false, [](const Row& _row) {
							   return _row.storePerSecond;
						   }))));
	slopes.push_back(shown("change to in force, ms, per agent",
						   fit(points(overAgents, true, [](const Row& _row) { return _row.changeMs; }))));
	const json memory = memorySlopes();
	if (_argc > 1)
	{
		std::ofstream(_argv[1]) << json{{"slopes", slopes}, {"memory", memory}}.dump(2) << '\n';
	}
	return 0;
}
