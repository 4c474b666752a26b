/// Adapter to operators and their tools: resources, watches, status.
#include <fmt/format.h>
#include <optional>

#include "router_p.h"
#include "spanplank/json_text.h"

namespace spanplank
{
namespace
{
using boost::beast::http::verb;
using nlohmann::json;

constexpr uint32_t kMaxWatchMs = 30000;
constexpr uint32_t kWatchPollMs = 50;

void authenticateOperator(const Router& _router, const HttpRequest& _request)
{
	const std::string hash = sha256Hex(bearerOf(_request));
	for (const std::string& known : _router.settings.operatorTokens)
	{
		if (equalConstantTime(known, hash))
		{
			return;
		}
	}
	throw Failure(ErrorCode::BadKey, "the operator token is missing or wrong");
}

json shown(const Resource& _resource)
{
	return {{"kind", _resource.kind},
			{"name", _resource.name},
			{"revision", _resource.revision},
			{"deleted", _resource.deleted},
			{"spec", _resource.spec}};
}

void listResources(Router& _router, HttpExchange& _exchange, const Target& _target)
{
	json items = json::array();
	for (const auto& [key, resource] : _router.core.config.resources)
	{
		const bool wanted = _target.path.size() < 3 || key.first == _target.path[2];
		if (wanted && !resource.deleted)
		{
			items.push_back(shown(resource));
		}
	}
	_exchange.respond(jsonResponse(200, {{"revision", _router.core.config.revision}, {"items", items}}));
}

void showResource(Router& _router, HttpExchange& _exchange, const Target& _target)
{
	const auto found = _router.core.config.resources.find({_target.path[2], _target.path[3]});
	if (found == _router.core.config.resources.end() || found->second.deleted)
	{
		throw Failure(ErrorCode::NotFound, "no such resource");
	}
	_exchange.respond(jsonResponse(200, shown(found->second)));
}

ResourceWrite readWrite(const HttpRequest& _request, const Target& _target)
{
	const json body = readJson(_request.body());
	if (!body.is_object())
	{
		throw Failure(ErrorCode::BadRequest, "the body is not a JSON object");
	}
	for (const auto& item : body.items())
	{
		if (item.key() != "spec" && item.key() != "expected" && item.key() != "op")
		{
			throw Failure(ErrorCode::BadRequest, fmt::format("{}: unknown field", item.key()));
		}
	}
	ResourceWrite write;
	write.kind = _target.path[2];
	write.name = _target.path[3];
	write.remove = _request.method() == verb::delete_;
	write.spec = body.value("spec", json::object());
	const json op = body.value("op", json());
	if (!op.is_string() || op.get_ref<const std::string&>().empty())
	{
		throw Failure(ErrorCode::BadRequest, "op: must be a text that names this write");
	}
	write.op = op;
	if (body.contains("expected"))
	{
		if (!body["expected"].is_number_unsigned())
		{
			throw Failure(ErrorCode::BadRequest, "expected: must be a revision");
		}
		write.expected = body["expected"].get<uint64_t>();
	}
	return write;
}

void putResource(Router& _router, HttpExchange& _exchange, const Target& _target)
{
	const Resource accepted = writeResource(_router.node.store, readWrite(_exchange.request(), _target));
	noteEvent(_router.node, "accepted", accepted.kind + "/" + accepted.name,
			  fmt::format("revision {}", accepted.revision));
	ConfigUpdate update;
	update.changes.push_back(accepted);
	takeConfig(_router, update); // In force here at once; the watch brings the revision in order.
	_exchange.respond(jsonResponse(200, shown(accepted)));
}

void watchResources(Router& _router, HttpExchange& _exchange, const Target& _target)
{
	const auto number = [&](const char* _name, uint64_t _default) {
		const auto found = _target.query.find(_name);
		const bool digits = found != _target.query.end() && !found->second.empty() &&
							found->second.size() < 19 &&
							found->second.find_first_not_of("0123456789") == std::string::npos;
		return digits ? std::stoull(found->second) : _default;
	};
	const uint64_t after = number("after", 0);
	const TimeUs until =
		monotonicNow() + TimeUs(std::min<uint64_t>(number("wait_ms", 10000), kMaxWatchMs)) * kMsToUs;
	while (_router.core.config.revision <= after && monotonicNow() < until && !_router.node.stopping)
	{
		sleepFor(kWatchPollMs);
	}
	const ConfigUpdate update = updateSince(_router.core.config, after);
	json items = json::array();
	for (const Resource& resource : update.changes)
	{
		if (resource.revision <= update.revision)
		{
			items.push_back(shown(resource));
		}
	}
	_exchange.respond(jsonResponse(200, {{"revision", update.revision}, {"items", items}}));
}

/// Which revision each process holds, as this router sees it.
void showStatus(Router& _router, HttpExchange& _exchange)
{
	json agents = json::array();
	for (const UpstreamState& upstream : _router.core.upstreams)
	{
		agents.push_back({{"box", upstream.info.box},
						  {"incarnation", upstream.info.incarnation},
						  {"linked", upstream.linked},
						  {"leaving", upstream.draining},
						  {"revision", upstream.revision},
						  {"behind", upstream.linked && upstream.revision < _router.core.config.revision},
						  {"running", upstream.report.running},
						  {"queued", upstream.report.queued}});
	}
	json halts = json::object();
	for (const auto& [version, generation] : _router.core.config.haltedGeneration)
	{
		halts[version] = generation;
	}
	json homes = json::array();
	for (const auto& [pool, table] : _router.core.homeTables)
	{
		homes.push_back(table);
	}
	_exchange.respond(jsonResponse(200, {{"box", _router.node.settings.box},
										 {"incarnation", _router.node.incarnation},
										 {"revision", _router.core.config.revision},
										 {"store_reachable", _router.node.store.reachable},
										 {"config_from_store", _router.fromStore},
										 {"watching", _router.watching},
										 {"halted", halts},
										 {"homes", homes},
										 {"agents", agents},
										 {"bills_kept", _router.core.bills.count}}));
}

void route(Router& _router, HttpExchange& _exchange, const Target& _target)
{
	const verb method = _exchange.request().method();
	const size_t depth = _target.path.size();
	if (_target.path[1] == "status")
	{
		showStatus(_router, _exchange);
	}
	else if (_target.path[1] == "watch")
	{
		watchResources(_router, _exchange, _target);
	}
	else if (method == verb::get && depth <= 3)
	{
		listResources(_router, _exchange, _target);
	}
	else if (method == verb::get && depth == 4)
	{
		showResource(_router, _exchange, _target);
	}
	else if ((method == verb::put || method == verb::delete_) && depth == 4)
	{
		putResource(_router, _exchange, _target);
	}
	else
	{
		throw Failure(ErrorCode::NotFound, "no such path");
	}
}
} // namespace

bool answerOperator(Router& _router, HttpExchange& _exchange, const Target& _target)
{
	const std::vector<std::string>& path = _target.path;
	const bool known = path.size() >= 2 && path[0] == "v1" &&
					   (path[1] == "resources" || path[1] == "watch" || path[1] == "status");
	if (!known)
	{
		return false;
	}
	std::optional<Refusal> refusal;
	try
	{
		authenticateOperator(_router, _exchange.request());
		route(_router, _exchange, _target);
	}
	catch (const Failure& failure)
	{
		refusal = failure.refusal();
	}
	if (refusal)
	{
		_exchange.respond(refusalResponse(*refusal, ""));
	}
	return true;
}
} // namespace spanplank
