#include "node_p.h"

#include <csignal>
#include <fmt/format.h>
#include <unistd.h>

#include "fiber_runtime_p.h"
#include "log_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

HttpClient clientFor(boost::asio::io_context& _io, const Endpoint& _endpoint)
{
	HttpClient client;
	client.io = &_io;
	client.endpoint = _endpoint;
	return client;
}

std::string ledgerKey(const std::string& _owner)
{
	return "bills/" + _owner;
}

BillingLedger readLedger(Node& _node, const std::string& _owner, uint64_t& _revision)
{
	const StoreItem item = readStore(_node.store, ledgerKey(_owner));
	_revision = item.revision;
	BillingLedger ledger;
	if (item.revision != 0 && !item.deleted)
	{
		ledger = readRecord<BillingLedger>(item);
	}
	ledger.owner = _owner;
	return ledger;
}
} // namespace

Node::Node(const CommonSettings& _settings)
	: settings(_settings), incarnation(newIncarnation(_settings.box)),
	  boxListClient(clientFor(io, _settings.boxList))
{
	timeline.process = _settings.box;
	store.http = clientFor(io, _settings.store);
	store.watchHttp = clientFor(io, _settings.store);
	setLogProcess(_settings.box);
}

std::string newIncarnation(const std::string& _box)
{
	const std::string seed = fmt::format("{}:{}:{}", _box, wallNow(), ::getpid());
	return fmt::format("{}.{}", _box, sha256Hex(seed).substr(0, 10));
}

void noteEvent(Node& _node, const std::string& _event, const std::string& _subject,
			   const std::string& _detail)
{
	recordEvent(_node.timeline, wallNow(), _event, _subject, _detail);
	logEvent(_event, {{"subject", _subject}, {"detail", _detail}});
}

void tellSuspects(Node& _node, const SuspectTable& _book)
{
	for (const LinkId link : _node.hub->openLinks())
	{
		Suspects news{suspectUpdatesFor(_book, _node.toldSuspects[link.idx], monotonicNow())};
		if (!news.suspects.empty())
		{
			_node.hub->send(link, MessageType::Suspects, news);
		}
	}
}

void followBoxList(Node& _node, std::function<void()> _onRead)
{
	keepRunning("box_list", [&_node, onRead = std::move(_onRead)] {
		bool readable = true;
		while (true)
		{
			noteIteration();
			try
			{
				_node.boxes = readBoxList(_node.boxListClient);
				if (!readable)
				{
					noteEvent(_node, "box_list_readable", _node.settings.box, "");
				}
				readable = true;
				onRead();
			}
			catch (const Failure& failure)
			{
				if (readable)
				{
					noteEvent(_node, "box_list_unreadable", _node.settings.box, failure.refusal().detail);
				}
				readable = false;
			}
			sleepFor(kBoxListPollMs + kBoxListPollPerBoxMs * uint32_t(_node.boxes.size()));
		}
	});
}

int runNode(Node& _node, const std::function<void()>& _start, const std::function<void()>& _stop)
{
	std::signal(SIGPIPE, SIG_IGN);
	installFiberScheduler(_node.io);
	// These processes have nothing to reload; without a handler SIGHUP would end them with all their
	// requests.
	boost::asio::signal_set signals(_node.io, SIGTERM, SIGINT, SIGHUP);
	_start();
	while (awaitSignal(signals) == SIGHUP)
	{
		noteEvent(_node, "signal_ignored", _node.settings.box, "SIGHUP");
	}
	noteEvent(_node, "stopping", _node.settings.box, "signal");
	_node.stopping = true;
	_stop();
	noteEvent(_node, "stopped", _node.settings.box, "");
	std::fflush(nullptr);
	::_exit(0); // Detached fibers still hold references: nothing is left to tidy that the kernel does not.
}

HttpResponse jsonResponse(int _status, const json& _body)
{
	return {_status,
			{{"Content-Type", "application/json"}},
			_body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

HttpResponse refusalResponse(const Refusal& _refusal, const std::string& _requestId)
{
	json error{{"code", name(_refusal.code)},
			   {"run", name(_refusal.run)},
			   {"retry_after_ms", _refusal.retryAfterMs},
			   {"message", _refusal.detail}};
	if (!_requestId.empty())
	{
		error["request"] = _requestId;
	}
	HttpResponse response = jsonResponse(httpStatus(_refusal), {{"error", error}});
	if (_refusal.retryAfterMs > 0)
	{
		const uint32_t seconds = (_refusal.retryAfterMs + 999) / 1000;
		response.headers.push_back({"Retry-After", std::to_string(seconds)});
	}
	return response;
}

bool answerCommon(Node& _node, HttpExchange& _exchange, bool _ready,
				  const std::function<std::string()>& _metrics)
{
	const Target target = parseTarget(std::string_view(_exchange.request().target()));
	const std::string first = target.path.empty() ? "" : target.path[0];
	if (target.path.size() != 1)
	{
		return false;
	}
	if (first == "healthz")
	{
		_exchange.respond(
			jsonResponse(200, {{"box", _node.settings.box}, {"incarnation", _node.incarnation}}));
		return true;
	}
	if (first == "readyz")
	{
		_exchange.respond(jsonResponse(_ready ? 200 : 503, {{"ready", _ready}}));
		return true;
	}
	if (first == "timeline")
	{
		const auto subject = target.query.find("subject");
		const std::string about = subject == target.query.end() ? "" : subject->second;
		_exchange.respond(jsonResponse(
			200, {{"events", eventsAbout(_node.timeline, about)}, {"dropped", _node.timeline.dropped}}));
		return true;
	}
	if (first == "metrics")
	{
		_exchange.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, _metrics()});
		return true;
	}
	return false;
}

bool flushBills(Node& _node, const std::string& _owner, const BillBatch& _batch)
{
	if (_batch.bills.empty() && _batch.voids.empty())
	{
		return true;
	}
	constexpr uint32_t kTries = 5;
	try
	{
		for (uint32_t ii = 0; ii < kTries; ++ii)
		{
			uint64_t revision = 0;
			BillingLedger ledger = readLedger(_node, _owner, revision);
			addBills(ledger, _batch.bills);
			addVoids(ledger, _batch.voids);
			const CasResult result =
				casStore(_node.store, ledgerKey(_owner), json(ledger).dump(), revision, revision);
			if (result == CasResult::Done)
			{
				return true;
			}
			// Conflict or lost answer: read again; what is counted already is not added twice.
		}
	}
	catch (const Failure&)
	{
		return false; // Logged by the store's client when its state changes.
	}
	catch (const std::exception& failure)
	{
		logEvent("bills_not_written", {{"owner", _owner}, {"error", failure.what()}});
		return false;
	}
	return false;
}

Target parseTarget(std::string_view _target)
{
	Target target;
	const size_t mark = _target.find('?');
	const std::string_view path = _target.substr(0, mark);
	size_t start = 0;
	while (start < path.size())
	{
		size_t end = path.find('/', start);
		end = end == std::string_view::npos ? path.size() : end;
		if (end > start)
		{
			target.path.emplace_back(path.substr(start, end - start));
		}
		start = end + 1;
	}
	std::string_view query = mark == std::string_view::npos ? std::string_view() : _target.substr(mark + 1);
	while (!query.empty())
	{
		const std::string_view pair = query.substr(0, query.find('&'));
		const size_t equals = pair.find('=');
		target.query[std::string(pair.substr(0, equals))] =
			equals == std::string_view::npos ? "" : std::string(pair.substr(equals + 1));
		query.remove_prefix(std::min(query.size(), pair.size() + 1));
	}
	return target;
}
} // namespace spanplank
