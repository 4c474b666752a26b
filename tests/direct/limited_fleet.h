/// Three routers on one store before four upstreams, of which each may say something about itself in its
/// answers: a limit of requests per second, that it leaves, or that it wants rest.
#ifndef SPANPLANK_TESTS_LIMITED_FLEET_H_HEADER_GUARD
#define SPANPLANK_TESTS_LIMITED_FLEET_H_HEADER_GUARD

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fiber_runtime_p.h"
#include "fleet_fixture.h"

namespace spanplank
{
inline constexpr size_t kLimitedUpstreams = 4;
inline constexpr size_t kLimitedCallers = 12;
inline constexpr uint32_t kCallPeriodMs = 200; ///< Of each caller: 60 requests per second in all.
inline constexpr uint32_t kContactMs = 3000;   ///< From the first answer with a limit until it must hold.
inline constexpr TimeUs kLimitWindow = 4000 * kMsToUs;

struct LimitedUpstream
{
	StandInUpstream stand;
	bool rejects = false; ///< It runs no request.
	std::vector<TimeUs> arrivals;
	std::map<std::string, std::vector<TimeUs>> arrivalsOf; ///< By router.
	std::map<std::string, std::vector<TimeUs>> askedOf;    ///< When it rejected a request, by router.
};

struct LimitedFleet : FleetTest
{
	std::vector<std::unique_ptr<LimitedUpstream>> places;
	std::map<int, size_t> statuses;
	size_t refusedWithoutTime = 0; ///< Refusals without `Retry-After`.

	LimitedFleet()
	{
		removeItem(store, "servers/u-one");
		for (size_t ii = 0; ii < kLimitedUpstreams; ++ii)
		{
			places.push_back(std::make_unique<LimitedUpstream>());
			startPlace(*places.back(), ii);
		}
		const std::string last = fmt::format("upstream=\"l-{}\"", kLimitedUpstreams - 1);
		EXPECT_TRUE(eventually([&] {
			return std::all_of(routers.begin(), routers.end(), [&last](const auto& _router) {
				return _router->log().find(last) != std::string::npos;
			});
		}));
	}

	~LimitedFleet() override
	{
		for (const auto& router : routers)
		{
			router->killHard();
		}
		for (const auto& place : places)
		{
			stopListening(place->stand.http);
		}
		for (const auto& place : places)
		{
			const HttpServer& http = place->stand.http;
			eventually([&http] { return http.connections == 0 && !http.accepting; }, 5);
		}
	}

	void startPlace(LimitedUpstream& _place, size_t _idx)
	{
		constexpr uint32_t kWorkMs = 20;
		StandInUpstream& stand = _place.stand;
		stand.id = fmt::format("l-{}", _idx);
		stand.http.handler = [&_place](HttpExchange& _exchange) {
			const std::string router = routerOf(_exchange.request());
			_place.arrivals.push_back(monotonicNow());
			_place.arrivalsOf[router].push_back(monotonicNow());
			if (_place.rejects)
			{
				answerNotRun(_exchange, _place.stand.notices);
				_place.askedOf[router].push_back(monotonicNow());
				return;
			}
			sleepFor(kWorkMs);
			answerWell(_place.stand, _exchange);
		};
		stand.address = loopback(startHttpServer(testIo(), stand.http, {loopbackIp(), 0}));
		registerPlace(_place);
	}

	void registerPlace(const LimitedUpstream& _place)
	{
		setItem(store, "servers/" + _place.stand.id,
				json{{"service", "app"},
					 {"address", _place.stand.address},
					 {"zone", "hall-a"},
					 {"version", "v1"},
					 {"slots", 8},
					 {"state", "ready"}}
					.dump());
	}

	/// @returns The router that a caller sent a request to, as its id tells.
	static std::string routerOf(const HttpRequest& _request)
	{
		const std::string id(_request["Request-Id"]);
		return id.substr(id.rfind('-') + 1);
	}

	void stateLimit(size_t _place, const std::string& _text)
	{
		places[_place]->stand.notices = {{"Server-Limit", _text}};
	}

	void send(size_t _router)
	{
		HttpClient client;
		client.io = &testIo();
		client.endpoint = parseEndpoint(routers[_router]->listen());
		HttpCall request;
		request.method = "GET";
		request.target = "/plain/x";
		request.headers = {{"Host", "town.example"},
						   {"Request-Id", fmt::format("request-{}-{}", nextRequest++, _router)},
						   {"Deadline-Remaining", "2000"},
						   {"Key", "kept-key"}};
		HttpResponse answer;
		try
		{
			answer = spanplank::call(client, request);
		}
		catch (const HttpFailure&)
		{
			answer.status = 0;
		}
		++statuses[answer.status];
		const bool toldWhen =
			std::any_of(answer.headers.begin(), answer.headers.end(),
						[](const HttpHeader& _header) { return _header.name == "Retry-After"; });
		refusedWithoutTime += answer.status == 503 && !toldWhen ? 1 : 0;
	}

	/// Sends requests to the routers in turn for a time.
	void load(uint32_t _ms)
	{
		std::vector<std::function<void()>> callers;
		const TimeUs until = monotonicNow() + TimeUs(_ms) * kMsToUs;
		for (size_t ii = 0; ii < kLimitedCallers; ++ii)
		{
			callers.push_back([this, ii, until] {
				sleepFor(uint32_t(ii) * kCallPeriodMs / uint32_t(kLimitedCallers));
				for (size_t turn = ii; monotonicNow() < until; ++turn)
				{
					send(turn % kRouters);
					sleepFor(kCallPeriodMs);
				}
			});
		}
		together(callers);
	}

	/// Forgets what was counted so far.
	void countAnew()
	{
		statuses.clear();
		refusedWithoutTime = 0;
		for (const auto& place : places)
		{
			place->arrivals.clear();
			place->arrivalsOf.clear();
			place->askedOf.clear();
		}
	}

	/// @returns The most requests that an upstream got in any window of `kLimitWindow`.
	size_t mostInWindow(size_t _place) const
	{
		const std::vector<TimeUs>& arrivals = places[_place]->arrivals;
		size_t most = 0;
		size_t first = 0;
		for (size_t ii = 0; ii < arrivals.size(); ++ii)
		{
			while (arrivals[ii] - arrivals[first] > kLimitWindow)
			{
				++first;
			}
			most = std::max(most, ii - first + 1);
		}
		return most;
	}

	size_t refused() const
	{
		const auto found = statuses.find(503);
		return found == statuses.end() ? 0 : found->second;
	}

	size_t served() const
	{
		const auto found = statuses.find(200);
		return found == statuses.end() ? 0 : found->second;
	}
};
} // namespace spanplank

#endif // SPANPLANK_TESTS_LIMITED_FLEET_H_HEADER_GUARD
