/// One attempt of a request at an upstream over HTTP/1.1: connection, head, body, and what can go wrong with
/// each.
#ifndef SPANPLANK_UPSTREAM_HTTP_P_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_HTTP_P_H_HEADER_GUARD

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fiber_runtime_p.h"
#include "http_head_p.h"
#include "http_p.h"
#include "spanplank/types.h"
#include "spanplank/upstream_restart.h"

namespace spanplank
{
/// A connection to an upstream.
struct UpstreamConnection
{
	explicit UpstreamConnection(boost::asio::io_context& _io) : socket(_io)
	{
	}

	boost::asio::ip::tcp::socket socket;
	boost::beast::flat_buffer buffer{kMostUnparsedBytes};
	TimeUs openedAt = 0;
	TimeUs idleSince = 0;
	TimeUs keepFor = 0; ///< Longest time that it may stay idle.
	/// A call on the socket has met an error, such as a reset. The next read does not meet it again: it finds
	/// the end of a connection that was closed.
	bool failed = false;
};
using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

class UpstreamCall;

/// Idle connections and calls under way, by upstream.
struct UpstreamPool
{
	boost::asio::io_context* io = nullptr;
	std::map<uint32_t, std::vector<UpstreamConnectionPtr>> idle;
	uint64_t opened = 0;                            ///< Connections made.
	std::multimap<uint32_t, UpstreamCall*> running; ///< Calls under way, by upstream; each takes itself out.
	std::map<uint32_t, TimeUs> refusedAt;           ///< When an upstream's address last refused a connection.
};

/// What the record of a restart tells of the incarnation that has begun.
struct UpstreamRestart
{
	Endpoint address;
	/// On this router's clock, when it had started for certain; nothing: its record does not tell.
	std::optional<TimeUs> startedBy;
	UpstreamId current = {}; ///< The incarnation that has begun; the calls that go on are counted there.
};

/// A call under way when the record of its upstream's restart came.
struct RestartedCall
{
	std::string requestId;
	RestartVerdict verdict = RestartVerdict::Ended;
	RestartEvidence evidence = RestartEvidence::None;
	TimeUs openFor = 0;    ///< Age of its connection; 0: it is not open.
	bool answered = false; ///< The head of its answer has come.
	bool replaced = false; ///< Another attempt of its request has been allowed in its place.
};

struct RestartedCalls
{
	size_t ended = 0;
	size_t kept = 0; ///< Calls that have, or may have, reached the new incarnation.
	std::vector<RestartedCall> calls;
};

/// Closes connections that have been idle for too long or that the upstream has closed.
void dropIdle(UpstreamPool& _pool, TimeUs _now);

/// What a new connection to an upstream tells of it.
enum class UpstreamReach : uint8_t
{
	Accepts,
	Refuses, ///< Nothing listens at its address.
	Unknown, ///< No answer within the limit.
};

/// Makes a connection to an upstream and keeps it for the next call.
UpstreamReach tryConnection(UpstreamPool& _pool, UpstreamId _upstream, const Endpoint& _address);

/// @returns Whether an upstream's address has refused a connection since a point in time.
bool hasRefused(const UpstreamPool& _pool, UpstreamId _upstream, TimeUs _since);

/// An upstream has started again, by a record that may come long after the start. Its idle connections are
/// closed, and the calls that were at the incarnation before end as broken. A call goes on if its connection
/// was opened after the restart. One that may be at either incarnation goes on unless another attempt takes
/// its place at once, and ends only if it then stays silent.
RestartedCalls endCalls(UpstreamPool& _pool, UpstreamId _upstream, const UpstreamRestart& _restart);

struct AttemptRequest
{
	UpstreamId upstream;
	Endpoint address;
	boost::beast::http::verb method = boost::beast::http::verb::get;
	std::string_view methodText;
	std::string_view target;
	const boost::beast::http::fields* head = nullptr;
	std::string_view body;
	std::string_view idHeader;  ///< Name of the field that carries the request's id.
	std::string_view requestId; ///< An answer with another id belongs to another request.
	bool stream = false;        ///< Its answer comes event by event, with a limit on the time between events.
	TimeUs answerDueBy = 0;     ///< When an answer that has not begun is late; 0: unknown.
	bool freshOnly = false; ///< Not on a connection that was idle for long: the request can't be repeated.
};

/// The state of an attempt's exchange with an upstream after a step.
enum class ExchangeState : uint8_t
{
	Ok,
	NotConnected, ///< No byte of the request left.
	Broken,       ///< Reset, closed, or an answer that can't be read.
	TimedOut,
	Cancelled,
};

/// Most of a body that one `read` returns.
constexpr size_t kPieceBytes = 8192;

/// An attempt under way, driven by one fiber. Another handler may `cancel` it.
class UpstreamCall
{
public:
	UpstreamCall(UpstreamPool& _pool, const AttemptRequest& _request);
	~UpstreamCall();
	UpstreamCall(const UpstreamCall&) = delete;
	UpstreamCall& operator=(const UpstreamCall&) = delete;

	/// Takes a kept connection or makes one.
	ExchangeState connect(TimeUs _by);

	/// Sends the request and reads the head of its answer. An answer to another request that comes first on a
	/// kept connection is skipped.
	ExchangeState send(TimeUs _by);

	/// Reads what has come of the body. @param[out] _piece Valid until the next call; empty at the end.
	ExchangeState read(std::string_view& _piece, TimeUs _by);

	/// @returns Whether the whole answer has been read.
	bool done() const;

	/// @returns Whether the answer has neither a length nor chunks and ends with its connection; valid after
	/// `send` returned `Ok`.
	bool endsWithConnection() const;

	/// The answer's head; valid after `send` returned `Ok`.
	const boost::beast::http::response_header<>& head() const;

	/// Asked when the limit of a read has passed and nothing has come, before the connection is closed.
	/// @param[in] _ask Must not wait. Returns until when to wait on; nothing: the step ends as `TimedOut`.
	void onLate(std::function<std::optional<TimeUs>()> _ask);

	/// Asked when the record of a restart leaves it open where the call is, before its answer has begun.
	/// @param[in] _ask Must not wait. Returns whether another attempt has been allowed in place of this one.
	void onRestart(std::function<bool()> _ask);

	/// What the last failed step met, for logs; empty: nothing.
	const std::string& error() const;

	/// @returns Whether the attempt ended by `lose`.
	bool lost() const;

	/// Ends the attempt from another handler; the running step returns `Cancelled`.
	void cancel();

	/// Ends the attempt from another handler, as its upstream has ended; the running step returns `Broken`.
	void lose();

	/// Its upstream has started again by a record that has just come.
	/// @param[in] _refusedAt When the upstream's address last refused a connection; 0: not lately.
	/// @returns What becomes of the attempt. One that does not go on has ended by `lose`.
	RestartedCall meetRestart(const UpstreamRestart& _restart, TimeUs _refusedAt);

	/// Counts the attempt as one at another incarnation of its upstream, so that its next restart ends it
	/// too.
	void moveTo(UpstreamId _incarnation);

	/// Gives the connection back for another request if its answer was read whole and it may be kept.
	void release(std::optional<uint32_t> _keepAliveMs);

private:
	/// What the fiber waits for. A limit that passes between two steps ends nothing.
	enum class Step : uint8_t
	{
		None,
		Connect,
		Read,
	};

	template <typename Start>
	IoResult awaitStep(Step _step, Start&& _start);

	ExchangeState makeConnection(TimeUs _by);
	/// Reads the next head that is no interim one's. @returns Why none came; no error: one did.
	boost::system::error_code readFinalHead();
	ExchangeState readHead();
	ExchangeState skipAnswer();
	ExchangeState result(const boost::system::error_code& _error);
	/// Closes a connection whose end is that of its answer.
	/// @returns Whether the whole request has reached the upstream and no call on the socket failed.
	/// Otherwise the answer may have been cut.
	bool endedInOrder();
	/// Looks at the clock before a read: bytes that are always ready keep the timer from ending anything.
	/// @returns Whether the limit has passed for good; the attempt has then ended.
	bool isOver(TimeUs _by);
	void armTimer(TimeUs _by);
	void startTimer();
	/// @returns When the step under way ends: by its own limit, or by that of a doubted call's silence.
	TimeUs limit() const;
	void limitPassed();
	void noteAlive();
	void closeConnection();
	void awaitWrite();
	void removeRunning();

	UpstreamPool& m_pool;
	const AttemptRequest& m_request;
	UpstreamId m_incarnation; ///< Under which the pool has it.
	UpstreamConnectionPtr m_connection;
	std::unique_ptr<AnswerParser> m_parser;
	BootTimer m_timer;
	TimeUs m_expiry = 0;         ///< Limit of the step under way.
	TimeUs m_armedFor = 0;       ///< When the timer fires.
	TimeUs m_readBy = 0;         ///< Limit that the last read was given.
	TimeUs m_waitsOnUntil = 0;   ///< By which that limit was extended; 0: it was not.
	TimeUs m_leftoversUntil = 0; ///< Until when what had come by the limit may be read; 0: it has not passed.
	bool m_timerRuns = false;
	Step m_step = Step::None;
	bool m_looked = false; ///< The limit has passed, and what had arrived by then has been given time.
	std::function<std::optional<TimeUs>()> m_askLate;
	std::function<bool()> m_askReplaced;
	bool m_timedOut = false;
	bool m_cancelled = false;
	bool m_lost = false;         ///< The upstream has ended.
	bool m_outlived = false;     ///< Its upstream has started again, and it went on.
	bool m_stayedSilent = false; ///< It went on, and nothing came until it ended for that.
	/// Until when a doubted call may be silent after its upstream started again; 0: no doubt about it.
	TimeUs m_silentUntil = 0;
	/// Bytes that had come before the record of the restart are still to be read: they don't end the doubt.
	bool m_unreadAtRestart = false;
	bool m_writing = false;
	WaitSlot<IoResult> m_written;
	boost::beast::http::request<boost::beast::http::span_body<const char>> m_message;
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
	std::string m_error;
	char m_piece[kPieceBytes];
};
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_HTTP_P_H_HEADER_GUARD
