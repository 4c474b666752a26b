#include <fmt/format.h>

#include "fakes.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

/// The list as it was `lagMs` ago.
json laggingBoxes(FakeBoxList& _list)
{
	const TimeUs shownAt = monotonicNow() - TimeUs(_list.lagMs) * kMsToUs;
	while (_list.versions.size() > 1 && _list.versions[1].from <= shownAt)
	{
		_list.versions.pop_front();
	}
	return _list.versions.empty() ? json::array() : _list.versions.front().boxes;
}

json readRatings(FakeRatings& _ratings, const Target& _target)
{
	const std::string version = _target.query.count("version") != 0 ? _target.query.at("version") : "";
	const std::string after = _target.query.count("after") != 0 ? _target.query.at("after") : "0";
	size_t cursor = std::stoull(after);
	const std::vector<FakeRatings::Rating>& all = _ratings.byVersion[version];
	const TimeUs now = monotonicNow();
	uint64_t good = 0;
	uint64_t bad = 0;
	while (cursor < all.size() && all[cursor].due <= now)
	{
		++(all[cursor].good ? good : bad);
		++cursor;
	}
	return {{"next", cursor}, {"good", good}, {"bad", bad}};
}

void setFaults(FakePlatform& _platform, const json& _faults)
{
	FakeStore& store = _platform.store;
	store.down = _faults.value("store_down", store.down);
	store.slowMs = _faults.value("store_slow_ms", store.slowMs);
	store.loseAnswers = _faults.value("store_lose_answers", store.loseAnswers);
	store.maxCallsPerSecond = _faults.value("store_max_calls", store.maxCallsPerSecond);
	_platform.boxes.lagMs = _faults.value("boxes_lag_ms", _platform.boxes.lagMs);
	_platform.boxes.down = _faults.value("boxes_down", _platform.boxes.down);
	_platform.ratings.delayMs = _faults.value("ratings_delay_ms", _platform.ratings.delayMs);
	_platform.ratings.coverage = _faults.value("ratings_coverage", _platform.ratings.coverage);
}

json storeCounts(const FakeStore& _store)
{
	return {{"reads", _store.reads},     {"writes", _store.writes},        {"watches", _store.watches},
			{"limited", _store.limited}, {"peak_calls", _store.peakCalls}, {"revision", _store.revision}};
}

void answerPlatform(FakePlatform& _platform, HttpExchange& _exchange)
{
	const Target target = parseTarget(std::string_view(_exchange.request().target()));
	const std::string path = fmt::format("{}", fmt::join(target.path, "/"));
	const bool post = _exchange.request().method() == boost::beast::http::verb::post;
	if (answerStore(_platform.store, _exchange, path))
	{
		return;
	}
	if (path == "boxes" && post)
	{
		_platform.boxes.versions.push_back({json::parse(_exchange.request().body()), monotonicNow()});
		_exchange.respond(jsonResponse(200, json::object()));
	}
	else if (path == "boxes" && _platform.boxes.down)
	{
		_exchange.abort();
	}
	else if (path == "boxes")
	{
		_exchange.respond(jsonResponse(200, laggingBoxes(_platform.boxes)));
	}
	else if (path == "ratings")
	{
		_exchange.respond(jsonResponse(200, readRatings(_platform.ratings, target)));
	}
	else if (path == "fault")
	{
		setFaults(_platform, bodyOf(_exchange));
		_exchange.respond(jsonResponse(200, json::object()));
	}
	else if (path == "counts")
	{
		_exchange.respond(jsonResponse(200, storeCounts(_platform.store)));
	}
	else
	{
		_exchange.respond(jsonResponse(404, json::object()));
	}
}
} // namespace

uint16_t startFakePlatform(boost::asio::io_context& _io, FakePlatform& _platform, const Endpoint& _endpoint)
{
	_platform.http.limits.bodyBytes = 4u << 20;
	_platform.http.handler = [&_platform](HttpExchange& _exchange) {
		answerPlatform(_platform, _exchange);
	};
	return startHttpServer(_io, _platform.http, _endpoint);
}
} // namespace spanplank
