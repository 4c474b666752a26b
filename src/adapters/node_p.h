/// What every process of the system has: its loop, links, HTTP side, store, time line, metrics.
#ifndef SPANPLANK_NODE_P_H_HEADER_GUARD
#define SPANPLANK_NODE_P_H_HEADER_GUARD

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "box_list_p.h"
#include "http_p.h"
#include "link_p.h"
#include "settings_p.h"
#include "spanplank/billing.h"
#include "spanplank/crash_suspects.h"
#include "spanplank/timeline.h"
#include "store_client_p.h"

namespace spanplank
{
struct Node
{
	explicit Node(const CommonSettings& _settings);

	boost::asio::io_context io;
	CommonSettings settings;
	std::string incarnation;
	Timeline timeline;
	StoreClient store;
	HttpClient boxListClient;
	std::vector<BoxEntry> boxes; ///< Latest box list; kept while the list can't be read.
	HttpServer http;
	std::unique_ptr<LinkHub> hub;
	std::map<uint32_t, uint64_t> toldSuspects; ///< Last change that was told, by link.
	bool stopping = false;
	bool leaving = false;
};

/// @returns A name for this start of a box: box, start time and randomness.
std::string newIncarnation(const std::string& _box);

/// Logs a change of state and puts it on the time line.
void noteEvent(Node& _node, const std::string& _event, const std::string& _subject,
			   const std::string& _detail);

/// Tells each link what changed of requests that end upstreams.
void tellSuspects(Node& _node, const SuspectTable& _book);

/// Polls the box list; calls back after each read.
void followBoxList(Node& _node, std::function<void()> _onRead);

/// Runs the process: installs fibers, calls `_start`, waits for SIGTERM or SIGINT, then calls `_stop`.
int runNode(Node& _node, const std::function<void()>& _start, const std::function<void()>& _stop);

/// Answers the paths that every process has: /healthz, /readyz, /timeline, /metrics.
/// @returns Whether the path was one of them.
bool answerCommon(Node& _node, HttpExchange& _exchange, bool _ready,
				  const std::function<std::string()>& _metrics);

/// Writes the batch of one owner into its ledger. @returns Whether the ledger holds it now.
/// @remarks Safe to repeat, and to run in several processes at once.
bool flushBills(Node& _node, const std::string& _owner, const BillBatch& _batch);

/// @returns A JSON answer.
HttpResponse jsonResponse(int _status, const nlohmann::json& _body);

/// @returns A refusal as callers and operators see it.
HttpResponse refusalResponse(const Refusal& _refusal, const std::string& _requestId);

/// Splits a request's target into its path and query.
struct Target
{
	std::vector<std::string> path;
	std::map<std::string, std::string> query;
};
Target parseTarget(std::string_view _target);
} // namespace spanplank

#endif // SPANPLANK_NODE_P_H_HEADER_GUARD
