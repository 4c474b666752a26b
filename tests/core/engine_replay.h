/// Simulates requests of several routers to engines of different speed, in one process, without sockets or
/// clocks. The routers exchange loads and speeds in a tree of two levels.
#ifndef SPANPLANK_TESTS_ENGINE_REPLAY_H_HEADER_GUARD
#define SPANPLANK_TESTS_ENGINE_REPLAY_H_HEADER_GUARD

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "spanplank/home_share.h"
#include "spanplank/load_share.h"
#include "spanplank/request_plan.h"
#include "spanplank/service_load.h"
#include "spanplank/upstream_table.h"

namespace spanplank::engine_replay
{
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kPingPeriod = 60 * kMsToUs;
constexpr double kPrefillMsPerToken = 0.02; ///< Of an engine of speed 1.
constexpr double kTokenMs = 8.0;            ///< Per output token of an engine of speed 1 with few streams.
constexpr double kNetworkMs = 5.0;
constexpr double kStepMs = 15.0; ///< Of the first decoding steps.
constexpr double kTargetMs = 1000.0;
constexpr TimeUs kCacheTime = 15 * kSecond;
constexpr TimeUs kTokenSamplePeriod = 1 * kSecond; ///< Streams give a sample in this interval and at the end.
inline const std::string kKind = "llm m";

struct Settings
{
	std::vector<double> speeds; ///< Of the engines.
	uint32_t routers = 6;
	uint32_t halls = 1;
	uint32_t slots = 32;
	double perSecond = 60.0;
	TimeUs duration = 25 * kSecond;
	TimeUs warmUp = 5 * kSecond; ///< Requests before are not counted.
	bool bySpeed = true;
	double noise = 0.25;       ///< Standard deviation of logarithms of prefill and token times.
	double stallShare = 0.002; ///< Answers that stall for `kStallMs` before their first token.
	uint32_t sharedParts = 60; ///< Different prompts; the popular ones are asked for more often.
	/// New prompts replace the oldest ones. Without them an engine that has lost its cache gets no requests,
	/// as all prompts are cached elsewhere.
	double newPartsPerSecond = 0.0;
	uint64_t seed = 1;
	/// Speed of an engine from a time on; empty: it does not change.
	std::function<double(uint32_t _engine, TimeUs _now)> speedAt = {};
};
constexpr double kStallMs = 300.0;

/// What was expected and seen of the counted requests.
struct Result
{
	std::vector<double> firstTokenRatios; ///< Observed over expected.
	std::vector<double> meanRatios;       ///< Observed over the expectation for an engine of mean speed.
	std::vector<double> endRatios;
	std::vector<double> firstTokenMs;
	std::vector<uint32_t> picks;       ///< Engines of all requests, in order.
	std::vector<double> pressures;     ///< By the load of the service, at each request.
	std::vector<double> meanPressures; ///< By the moving average of first tokens of the request's router.
};

inline double percentile(std::vector<double> _values, double _share)
{
	if (_values.empty())
	{
		return 0.0;
	}
	const size_t at = std::min(_values.size() - 1, size_t(double(_values.size()) * _share));
	std::nth_element(_values.begin(), _values.begin() + long(at), _values.end());
	return _values[at];
}

struct Engine
{
	TimeUs prefillFreeAt = 0;
	std::priority_queue<TimeUs, std::vector<TimeUs>, std::greater<>> slotEnds;
	std::map<uint64_t, TimeUs> readAt; ///< By part.
};

struct SimRouter
{
	UpstreamTable table;
	LoadShare loads;
	HomeShare homes;
	FirstTokenPressure pressure;
};

class Replay
{
public:
	explicit Replay(Settings _settings) : m_settings(std::move(_settings))
	{
		m_random.state = m_settings.seed;
		m_engines.resize(m_settings.speeds.size());
		m_routers.resize(m_settings.routers);
		for (SimRouter& router : m_routers)
		{
			for (uint32_t ii = 0; ii < m_engines.size(); ++ii)
			{
				UpstreamRecord record;
				record.id = fmt::format("e{}", ii);
				record.service = "llm";
				record.hall = fmt::format("h{}", ii % m_settings.halls);
				record.slots = m_settings.slots;
				registerUpstream(router.table, record);
			}
		}
	}

	Result run()
	{
		at(kSecond, [this] { arrive(); });
		at(kSecond, [this] { exchangeAll(); });
		const TimeUs end = kSecond + m_settings.duration;
		while (!m_events.empty() && m_events.top().at < end)
		{
			const Event event = m_events.top();
			m_events.pop();
			m_now = event.at;
			event.run();
		}
		return std::move(m_result);
	}

private:
	struct Event
	{
		TimeUs at = 0;
		uint64_t number = 0;
		std::function<void()> run;

		bool operator<(const Event& _other) const
		{
			return at != _other.at ? at > _other.at : number > _other.number;
		}
	};

	/// A stream at an engine.
	struct Stream
	{
		SimRouter* router = nullptr;
		UpstreamId picked;
		UpstreamKey key = 0;
		double tokensLeft = 0.0;
		double tokenMsAtSpeed1 = 0.0;
		TimeUs begin = 0;
		double expectedEndMs = 0.0;
		bool counted = false;
	};

	void at(TimeUs _at, std::function<void()> _run)
	{
		m_events.push({_at, ++m_number, std::move(_run)});
	}

	double noise()
	{
		double sum = -6.0; // The sum of twelve uniform numbers is nearly normal.
		for (int ii = 0; ii < 12; ++ii)
		{
			sum += nextUnit(m_random);
		}
		return std::exp(m_settings.noise * sum);
	}

	void arrive()
	{
		const double waitMs = -1000.0 / m_settings.perSecond * std::log(1.0 - nextUnit(m_random));
		at(m_now + TimeUs(waitMs * double(kMsToUs)), [this] { arrive(); });
		SimRouter& router = m_routers[nextRandom(m_random) % m_routers.size()];
		const double popularity = nextUnit(m_random);
		const auto age = uint64_t(double(m_now) / double(kSecond) * m_settings.newPartsPerSecond);
		const uint64_t part = 1 + age + uint64_t(popularity * popularity * m_settings.sharedParts);
		UpstreamQuery query;
		query.service = "llm";
		query.model = "m";
		query.hall = "h0";
		query.shared = {{part, uint32_t(1000 + part * 997 % 5000)}};
		query.ownTokens = 100 + uint32_t(nextUnit(m_random) * 700);
		query.firstTokenTargetMs = 0.75 * kTargetMs;
		query.answerTokens = 50.0 + std::floor(nextUnit(m_random) * 250.0);
		query.bySpeed = m_settings.bySpeed;
		query.slots = m_settings.slots;
		send(router, query);
	}

	/// @returns Prefill time at speed 1; the parts are cached from now on.
	double prefillMs(Engine& _engine, const UpstreamQuery& _query)
	{
		double tokens = _query.ownTokens;
		for (const SharedPart& part : _query.shared)
		{
			const auto found = _engine.readAt.find(part.hash);
			const bool cached = found != _engine.readAt.end() && m_now - found->second < kCacheTime;
			tokens += cached ? 0.0 : part.tokens;
			_engine.readAt[part.hash] = m_now;
		}
		return kPrefillMsPerToken * tokens;
	}

	void send(SimRouter& _router, const UpstreamQuery& _query)
	{
		const UpstreamId picked = pickDirectUpstream(_router.table, _query, m_now, m_random);
		m_result.picks.push_back(picked.idx);
		const UpstreamKey key = _router.table.entries.at(picked.idx).key;
		const double expected = expectedFirstTokenMs(_router.table, _query, picked, m_now);
		const double mean = meanFirstTokenMs(_router.table, _query, picked, m_now);
		const double tokenMs = tokenMsAt(_router.table.speeds, key, kKind, m_now);
		const double sentPrefill = recordSent(_router.table, picked, _query, m_now);
		const double speed = speedOf(picked.idx);
		Engine& engine = m_engines[picked.idx];
		while (!engine.slotEnds.empty() && engine.slotEnds.top() <= m_now)
		{
			engine.slotEnds.pop();
		}
		const double streams = double(engine.slotEnds.size());
		TimeUs start = std::max(m_now, engine.prefillFreeAt);
		if (engine.slotEnds.size() >= m_settings.slots)
		{
			start = std::max(start, engine.slotEnds.top());
			engine.slotEnds.pop();
		}
		const double prefill = prefillMs(engine, _query) * noise() * (1.0 + 0.01 * streams) / speed;
		const double stall = nextUnit(m_random) < m_settings.stallShare ? kStallMs : 0.0;
		engine.prefillFreeAt = start + TimeUs(prefill * double(kMsToUs));
		const double headMs = kNetworkMs + kStepMs / speed + stall;
		const TimeUs first = engine.prefillFreeAt + TimeUs(headMs * double(kMsToUs));
		const double perToken = kTokenMs * noise() * (1.0 + streams / double(m_settings.slots)) / speed;
		const TimeUs end = first + TimeUs(perToken * _query.answerTokens * double(kMsToUs));
		engine.slotEnds.push(end);
		const TimeUs begin = m_now;
		const bool counted = begin >= kSecond + m_settings.warmUp;
		if (counted)
		{
			notePressures(_router);
		}
		at(first, [this, &_router, _query, picked, key, expected, mean, sentPrefill, begin, counted] {
			const double seen = double(m_now - begin) / double(kMsToUs);
			recordFirstToken(_router.table, picked, _query, sentPrefill, m_now - begin);
			RequestPlan plan;
			plan.targetMs = uint32_t(kTargetMs);
			recordFirstTokenTime(_router.pressure, plan, m_now - begin);
			if (m_settings.bySpeed)
			{
				recordFirstTokenRatio(_router.table.speeds, key, mean, seen, m_now);
			}
			if (counted)
			{
				m_result.firstTokenRatios.push_back(seen / std::max(1.0, expected));
				m_result.meanRatios.push_back(seen / mean);
				m_result.firstTokenMs.push_back(seen);
			}
		});
		Stream stream{&_router, picked, key, _query.answerTokens, perToken * speed, begin, 0.0, counted};
		stream.expectedEndMs = expected + tokenMs * _query.answerTokens;
		at(first, [this, stream] { decode(stream); });
	}

	/// Decodes for up to `kTokenSamplePeriod` at the engine's present speed, and goes on after that.
	void decode(Stream _stream)
	{
		const double tokenMs = _stream.tokenMsAtSpeed1 / speedOf(_stream.picked.idx);
		const double tokens =
			std::min(_stream.tokensLeft, double(kTokenSamplePeriod) / double(kMsToUs) / tokenMs);
		_stream.tokensLeft -= tokens;
		at(m_now + TimeUs(tokens * tokenMs * double(kMsToUs)), [this, _stream, tokenMs] {
			SimRouter& router = *_stream.router;
			recordTokens(router, _stream.key, tokenMs);
			if (_stream.tokensLeft > 0.0)
			{
				decode(_stream);
				return;
			}
			recordEnded(router.table, _stream.picked, 0.0, HealthOutcome::Good, m_now);
			if (_stream.counted)
			{
				const double seen = double(m_now - _stream.begin) / double(kMsToUs);
				m_result.endRatios.push_back(seen / _stream.expectedEndMs);
			}
		});
	}

	double speedOf(uint32_t _engine) const
	{
		return m_settings.speedAt ? m_settings.speedAt(_engine, m_now) : m_settings.speeds[_engine];
	}

	void recordTokens(SimRouter& _router, UpstreamKey _key, double _tokenMs)
	{
		if (m_settings.bySpeed)
		{
			recordTokenTime(_router.table.speeds, _key, kKind, _tokenMs, m_now);
		}
	}

	void notePressures(const SimRouter& _router)
	{
		const UpstreamCapacity capacity{m_settings.slots, 0};
		const ServiceLoad load = serviceLoad(_router.table, "llm", "", capacity, m_now);
		m_result.pressures.push_back(loadPressureOf(load, kTargetMs));
		m_result.meanPressures.push_back(_router.pressure.share);
	}

	void exchange(uint32_t _child)
	{
		SimRouter& child = m_routers[_child];
		SimRouter& parent = m_routers[0];
		NeighbourLoad& ofChild = parent.loads.children[_child];
		collectOwnHomes(child.homes, child.table);
		collectOwnHomes(parent.homes, parent.table);
		applyPeerLoads(child.loads, child.table, m_now);
		applyLoads(parent.loads, ofChild, loadChangesFor(child.loads, child.loads.parent), m_now);
		applyHomes(parent.homes, parent.table, _child, homesForParent(child.homes), m_now);
		applySpeedRows(parent.table.speeds, _child, speedRowsFor(child.table.speeds, kParentNeighbour, m_now),
					   true, m_now);
		applyPeerLoads(parent.loads, parent.table, m_now);
		applyLoads(child.loads, child.loads.parent, loadChangesFor(parent.loads, ofChild), m_now);
		applyHomes(child.homes, child.table, kParentNeighbour, homesForChild(parent.homes, _child), m_now);
		applySpeedRows(child.table.speeds, kParentNeighbour, speedRowsFor(parent.table.speeds, _child, m_now),
					   true, m_now);
		applyPeerLoads(child.loads, child.table, m_now);
	}

	void exchangeAll()
	{
		at(m_now + kPingPeriod, [this] { exchangeAll(); });
		for (uint32_t child = 1; child < m_routers.size(); ++child)
		{
			exchange(child);
		}
	}

	Settings m_settings;
	Random m_random;
	TimeUs m_now = 0;
	uint64_t m_number = 0;
	std::priority_queue<Event> m_events;
	std::vector<Engine> m_engines;
	std::vector<SimRouter> m_routers;
	Result m_result;
};
} // namespace spanplank::engine_replay

#endif // SPANPLANK_TESTS_ENGINE_REPLAY_H_HEADER_GUARD
