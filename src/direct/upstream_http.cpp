/// The pool of connections to upstreams, and one call over such a connection.
#include "upstream_http_p.h"

#include <algorithm>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <sys/socket.h>

namespace spanplank
{
namespace
{
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr TimeUs kIdleDefault = 4000 * kMsToUs; ///< Kept when the upstream says nothing of its own limit.
constexpr TimeUs kIdleMargin = 600 * kMsToUs; ///< Before the upstream's limit: its clock runs ahead of ours.
constexpr TimeUs kFreshIdle = 1500 * kMsToUs; ///< Longest pause before a request that can't be repeated.
constexpr size_t kMostIdle = 16;              ///< Of one upstream.
/// For bytes that arrived before a limit on a box that was not run: the loop's next turns read them.
constexpr TimeUs kLookAgain = 10 * kMsToUs;
constexpr int kMostSkipped = 3; ///< Answers to other requests on one connection before it is given up.
/// A refused connection tells of the restart whose record comes within this time.
constexpr TimeUs kRefusalTells = 60000 * kMsToUs;
constexpr TimeUs kReachPatience = 300 * kMsToUs; ///< For a connection that only shows whether one is taken.
constexpr unsigned kHttpVersion = 11;            ///< HTTP/1.1, as Beast counts.
constexpr size_t kHeadLimit = 32u << 10;         ///< Bytes of an answer's head.
/// Streams have no limit; Beast 1.74 rejects lengths when none is set.
constexpr uint64_t kBodyLimit = 1ull << 40;

/// @returns Whether a connection has neither bytes nor an end to read. Idle ones that have must not be used.
bool isQuiet(UpstreamConnection& _connection)
{
	char byte = 0;
	const ssize_t peeked = ::recv(_connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	const bool quiet = peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
	_connection.failed = _connection.failed || (peeked < 0 && !quiet);
	return quiet;
}

/// Notes that an upstream's address has refused a connection, if an error tells so.
void noteRefused(UpstreamPool& _pool, UpstreamId _upstream, const boost::system::error_code& _error)
{
	if (_error == boost::asio::error::connection_refused)
	{
		_pool.refusedAt[_upstream.idx] = monotonicNow();
	}
}

bool isExpired(const UpstreamConnection& _connection, TimeUs _now)
{
	return _now - _connection.idleSince >= _connection.keepFor;
}

UpstreamConnectionPtr takeIdle(UpstreamPool& _pool, const AttemptRequest& _request, TimeUs _now)
{
	const auto found = _pool.idle.find(_request.upstream.idx);
	if (found == _pool.idle.end())
	{
		return nullptr;
	}
	std::vector<UpstreamConnectionPtr>& idle = found->second;
	while (!idle.empty())
	{
		UpstreamConnectionPtr connection = std::move(idle.back());
		idle.pop_back();
		const bool fresh = !_request.freshOnly || _now - connection->idleSince < kFreshIdle;
		if (!isExpired(*connection, _now) && fresh && isQuiet(*connection))
		{
			return connection;
		}
	}
	return nullptr;
}

/// Keeps a connection for another call, if it may stay idle at all.
void keepIdle(UpstreamPool& _pool, UpstreamId _upstream, UpstreamConnectionPtr _connection, TimeUs _keepFor)
{
	_connection->idleSince = monotonicNow();
	_connection->keepFor = _keepFor;
	std::vector<UpstreamConnectionPtr>& idle = _pool.idle[_upstream.idx];
	if (_keepFor > 0 && idle.size() < kMostIdle)
	{
		idle.push_back(std::move(_connection));
	}
}
} // namespace

void dropIdle(UpstreamPool& _pool, TimeUs _now)
{
	for (auto at = _pool.idle.begin(); at != _pool.idle.end();)
	{
		std::vector<UpstreamConnectionPtr>& idle = at->second;
		idle.erase(std::remove_if(idle.begin(), idle.end(),
								  [_now](const UpstreamConnectionPtr& _connection) {
									  return isExpired(*_connection, _now) || !isQuiet(*_connection);
								  }),
				   idle.end());
		at = idle.empty() ? _pool.idle.erase(at) : std::next(at);
	}
	for (auto at = _pool.refusedAt.begin(); at != _pool.refusedAt.end();)
	{
		at = _now - at->second > kRefusalTells ? _pool.refusedAt.erase(at) : std::next(at);
	}
}

UpstreamReach tryConnection(UpstreamPool& _pool, UpstreamId _upstream, const Endpoint& _address)
{
	boost::beast::tcp_stream stream(*_pool.io);
	boost::system::error_code error;
	const tcp::endpoint address(boost::asio::ip::make_address(_address.ip, error), _address.port);
	if (error)
	{
		return UpstreamReach::Unknown;
	}
	stream.expires_after(std::chrono::microseconds(kReachPatience));
	const IoResult connected = awaitIo([&](auto _done) { stream.async_connect(address, _done); });
	++_pool.opened;
	if (connected.error)
	{
		noteRefused(_pool, _upstream, connected.error);
		const bool refused = connected.error == boost::asio::error::connection_refused;
		return refused ? UpstreamReach::Refuses : UpstreamReach::Unknown;
	}
	auto connection = std::make_unique<UpstreamConnection>(*_pool.io);
	connection->socket = stream.release_socket();
	connection->openedAt = monotonicNow();
	connection->socket.set_option(tcp::no_delay(true), error);
	keepIdle(_pool, _upstream, std::move(connection), kIdleDefault);
	return UpstreamReach::Accepts;
}

bool hasRefused(const UpstreamPool& _pool, UpstreamId _upstream, TimeUs _since)
{
	const auto refused = _pool.refusedAt.find(_upstream.idx);
	return refused != _pool.refusedAt.end() && refused->second >= _since;
}

RestartedCalls endCalls(UpstreamPool& _pool, UpstreamId _upstream, const UpstreamRestart& _restart)
{
	const auto refused = _pool.refusedAt.find(_upstream.idx);
	const bool lately = refused != _pool.refusedAt.end() && monotonicNow() - refused->second <= kRefusalTells;
	const TimeUs refusedAt = lately ? refused->second : 0;
	_pool.idle.erase(_upstream.idx);
	std::vector<UpstreamCall*> running;
	const auto found = _pool.running.equal_range(_upstream.idx);
	std::transform(found.first, found.second, std::back_inserter(running),
				   [](const auto& _item) { return _item.second; });
	RestartedCalls calls;
	for (UpstreamCall* call : running)
	{
		calls.calls.push_back(call->meetRestart(_restart, refusedAt));
		const bool ended = calls.calls.back().verdict == RestartVerdict::Ended;
		++(ended ? calls.ended : calls.kept);
		if (!ended && isValid(_restart.current))
		{
			call->moveTo(_restart.current);
		}
	}
	return calls;
}

UpstreamCall::UpstreamCall(UpstreamPool& _pool, const AttemptRequest& _request)
	: m_pool(_pool), m_request(_request), m_incarnation(_request.upstream), m_timer(*_pool.io)
{
	m_pool.running.emplace(m_incarnation.idx, this);
}

UpstreamCall::~UpstreamCall()
{
	removeRunning();
	*m_alive = false;
	closeConnection();
	awaitWrite();
	m_timer.cancel();
}

template <typename Start>
IoResult UpstreamCall::awaitStep(Step _step, Start&& _start)
{
	m_step = _step;
	m_looked = false;
	armTimer(m_expiry); // It may have fired between two steps.
	return awaitIo([&](auto _done) {
		_start([this, _done](boost::system::error_code _error, auto... _rest) mutable {
			m_step = Step::None; // Before the fiber runs: a limit in the same turn of the loop is too late.
			_done(_error, _rest...);
		});
	});
}

ExchangeState UpstreamCall::connect(TimeUs _by)
{
	m_connection = takeIdle(m_pool, m_request, monotonicNow());
	if (m_connection)
	{
		return ExchangeState::Ok;
	}
	const ExchangeState made = makeConnection(_by);
	const bool failed = made != ExchangeState::Ok && made != ExchangeState::Cancelled;
	return failed ? ExchangeState::NotConnected : made;
}

ExchangeState UpstreamCall::makeConnection(TimeUs _by)
{
	m_connection = std::make_unique<UpstreamConnection>(*m_pool.io);
	boost::system::error_code error;
	const tcp::endpoint address(boost::asio::ip::make_address(m_request.address.ip), m_request.address.port);
	armTimer(_by);
	const IoResult connected =
		awaitStep(Step::Connect, [&](auto _done) { m_connection->socket.async_connect(address, _done); });
	++m_pool.opened;
	if (connected.error)
	{
		noteRefused(m_pool, m_request.upstream, connected.error);
		return result(connected.error);
	}
	m_connection->openedAt = monotonicNow();
	m_connection->socket.set_option(tcp::no_delay(true), error);
	return m_cancelled ? ExchangeState::Cancelled : ExchangeState::Ok;
}

ExchangeState UpstreamCall::send(TimeUs _by)
{
	static_cast<http::fields&>(m_message) = *m_request.head; // Holds the start line too: first.
	m_message.method_string({m_request.methodText.data(), m_request.methodText.size()});
	m_message.target({m_request.target.data(), m_request.target.size()});
	m_message.version(kHttpVersion);
	m_message.body() = boost::beast::span<const char>(m_request.body.data(), m_request.body.size());
	m_message.prepare_payload();
	armTimer(_by);
	// The answer is read while the body is still being sent: an upstream may answer before it has read all of
	// it.
	m_writing = true;
	const std::shared_ptr<bool> alive = m_alive;
	http::async_write(m_connection->socket, m_message,
					  [this, alive](boost::system::error_code _error, size_t _bytes) {
						  m_writing = false;
						  m_connection->failed = m_connection->failed || bool(_error);
						  m_written.set({_error, _bytes});
					  });
	return readHead();
}

boost::system::error_code UpstreamCall::readFinalHead()
{
	for (size_t ii = 0; ii <= kMostInterimAnswers; ++ii)
	{
		m_parser = std::make_unique<AnswerParser>();
		m_parser->body_limit(kBodyLimit);
		m_parser->header_limit(kHeadLimit);
		m_parser->skip(m_request.method == http::verb::head);
		const IoResult read = awaitStep(Step::Read, [&](auto _done) {
			asyncReadHead(m_connection->socket, m_connection->buffer, _done);
		});
		const boost::system::error_code error =
			read.error ? read.error : parseAnswerHead(*m_parser, m_connection->buffer);
		if (error)
		{
			return error;
		}
		noteAlive();
		if (!isInterim(m_parser->get().result_int()))
		{
			return {};
		}
	}
	return http::error::bad_status;
}

ExchangeState UpstreamCall::readHead()
{
	for (int ii = 0; ii < kMostSkipped; ++ii)
	{
		const boost::system::error_code error = readFinalHead();
		if (error)
		{
			return result(error);
		}
		const boost::beast::string_view id =
			m_parser->get()[boost::beast::string_view(m_request.idHeader.data(), m_request.idHeader.size())];
		if (std::string_view(id.data(), id.size()) == m_request.requestId || id.empty())
		{
			return m_cancelled ? ExchangeState::Cancelled : ExchangeState::Ok;
		}
		const ExchangeState skipped = skipAnswer();
		if (skipped != ExchangeState::Ok)
		{
			return skipped;
		}
	}
	return ExchangeState::Broken;
}

ExchangeState UpstreamCall::skipAnswer()
{
	if (m_parser->need_eof())
	{
		m_error = "an answer to another request, without a length";
		return ExchangeState::Broken; // Ours can't follow on this connection.
	}
	while (!m_parser->is_done())
	{
		std::string_view piece;
		const ExchangeState state = read(piece, m_expiry);
		if (state != ExchangeState::Ok)
		{
			return state;
		}
	}
	return ExchangeState::Ok;
}

ExchangeState UpstreamCall::read(std::string_view& _piece, TimeUs _by)
{
	_piece = {};
	if (m_parser->is_done())
	{
		return ExchangeState::Ok;
	}
	if (isOver(_by))
	{
		return result(boost::asio::error::timed_out);
	}
	armTimer(std::max(_by, m_waitsOnUntil));
	auto& body = m_parser->get().body();
	body.data = m_piece;
	body.size = sizeof(m_piece);
	body.more = true;
	const IoResult read = awaitStep(Step::Read, [&](auto _done) {
		http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser, _done);
	});
	_piece = {m_piece, sizeof(m_piece) - body.size};
	if (read.error && read.error != http::error::need_buffer)
	{
		return result(read.error);
	}
	if (!_piece.empty())
	{
		noteAlive();
	}
	if (m_parser->is_done() && m_parser->need_eof() && !endedInOrder())
	{
		return result(http::error::partial_message);
	}
	return m_cancelled ? ExchangeState::Cancelled : ExchangeState::Ok;
}

bool UpstreamCall::endedInOrder()
{
	const bool delivered = !hasUndelivered(m_connection->socket);
	closeConnection(); // It takes no other request, and a write under way ends.
	awaitWrite();
	return delivered && !m_connection->failed;
}

bool UpstreamCall::done() const
{
	return m_parser && m_parser->is_done();
}

bool UpstreamCall::endsWithConnection() const
{
	return m_parser->need_eof();
}

const http::response_header<>& UpstreamCall::head() const
{
	return m_parser->get().base();
}

bool UpstreamCall::lost() const
{
	return m_lost;
}

void UpstreamCall::cancel()
{
	m_cancelled = true;
	closeConnection();
}

void UpstreamCall::lose()
{
	m_lost = true;
	closeConnection();
}

RestartedCall UpstreamCall::meetRestart(const UpstreamRestart& _restart, TimeUs _refusedAt)
{
	CallAtRestart call;
	call.sameAddress = m_request.address == _restart.address;
	call.openedAt = m_connection ? m_connection->openedAt : 0;
	call.refusedAt = _refusedAt;
	call.startedBy = _restart.startedBy;
	RestartedCall met;
	met.requestId = m_request.requestId;
	met.evidence = evidenceOf(call);
	met.openFor = call.openedAt != 0 ? monotonicNow() - call.openedAt : 0;
	met.answered = m_parser && m_parser->is_header_done();
	const bool begun = m_request.stream && met.answered;
	const bool isSilent = m_step == Step::Read && isQuiet(*m_connection);
	const bool mayBeReplaced = met.evidence == RestartEvidence::None && !begun && isSilent;
	met.replaced = mayBeReplaced && m_askReplaced && m_askReplaced();
	met.verdict = verdictOn(met.evidence, met.replaced);
	if (met.verdict == RestartVerdict::Ended)
	{
		lose();
		return met;
	}
	m_outlived = true;
	m_silentUntil = 0;
	if (met.verdict == RestartVerdict::Doubted)
	{
		m_unreadAtRestart = !isQuiet(*m_connection) || m_connection->buffer.size() != 0;
		m_silentUntil = silenceLimit(met.answered ? 0 : m_request.answerDueBy, monotonicNow());
		startTimer();
	}
	return met;
}

void UpstreamCall::noteAlive()
{
	if (m_silentUntil == 0)
	{
		return;
	}
	m_silentUntil = m_unreadAtRestart ? silenceLimit(0, monotonicNow()) : 0;
	m_unreadAtRestart = m_unreadAtRestart && !isQuiet(*m_connection);
}

void UpstreamCall::moveTo(UpstreamId _incarnation)
{
	removeRunning();
	m_incarnation = _incarnation;
	m_pool.running.emplace(m_incarnation.idx, this);
}

void UpstreamCall::removeRunning()
{
	const auto running = m_pool.running.equal_range(m_incarnation.idx);
	m_pool.running.erase(std::find_if(running.first, running.second,
									  [this](const auto& _item) { return _item.second == this; }));
}

void UpstreamCall::release(std::optional<uint32_t> _keepAliveMs)
{
	const bool whole = done() && !m_parser->need_eof() && m_parser->get().keep_alive();
	// A connection under the id of the incarnation before would not be used again.
	const bool clean =
		!m_lost && !m_outlived && !m_writing && !m_connection->failed && !m_cancelled && !m_timedOut;
	if (!whole || !clean || m_connection->buffer.size() != 0)
	{
		return; // The destructor closes it.
	}
	const TimeUs limit = _keepAliveMs ? TimeUs(*_keepAliveMs) * kMsToUs - kIdleMargin : kIdleDefault;
	keepIdle(m_pool, m_request.upstream, std::move(m_connection), limit);
}

void UpstreamCall::onLate(std::function<std::optional<TimeUs>()> _ask)
{
	m_askLate = std::move(_ask);
}

void UpstreamCall::onRestart(std::function<bool()> _ask)
{
	m_askReplaced = std::move(_ask);
}

const std::string& UpstreamCall::error() const
{
	return m_error;
}

ExchangeState UpstreamCall::result(const boost::system::error_code& _error)
{
	const char* const lost = m_stayedSilent ? "the upstream has started again and stayed silent"
											: "the upstream has started again";
	m_error = m_lost ? lost : _error.message();
	if (m_cancelled)
	{
		return ExchangeState::Cancelled;
	}
	return m_timedOut ? ExchangeState::TimedOut : ExchangeState::Broken;
}

bool UpstreamCall::isOver(TimeUs _by)
{
	if (_by != m_readBy)
	{
		m_readBy = _by;
		m_waitsOnUntil = 0;
		m_leftoversUntil = 0;
	}
	const TimeUs now = monotonicNow();
	if (now < std::max(_by, m_waitsOnUntil))
	{
		return false;
	}
	m_leftoversUntil = m_leftoversUntil != 0 ? m_leftoversUntil : now + kLookAgain;
	if (now < m_leftoversUntil)
	{
		return false;
	}
	const std::optional<TimeUs> later = m_askLate ? m_askLate() : std::optional<TimeUs>();
	if (later)
	{
		m_waitsOnUntil = *later;
		m_leftoversUntil = 0;
		return false;
	}
	m_timedOut = true;
	closeConnection();
	return true;
}

void UpstreamCall::armTimer(TimeUs _by)
{
	m_expiry = _by;
	startTimer();
}

TimeUs UpstreamCall::limit() const
{
	return m_silentUntil != 0 ? std::min(m_expiry, m_silentUntil) : m_expiry;
}

void UpstreamCall::startTimer()
{
	const TimeUs by = limit();
	if (m_timerRuns && by >= m_armedFor)
	{
		return; // When it fires, it sees that the limit has moved and goes on.
	}
	m_timerRuns = true;
	m_armedFor = by;
	m_timer.expires_after(std::chrono::microseconds(std::max<TimeUs>(0, by - monotonicNow())));
	const std::shared_ptr<bool> alive = m_alive;
	m_timer.async_wait([this, alive](boost::system::error_code _error) {
		if (!*alive || _error)
		{
			return;
		}
		m_timerRuns = false;
		if (monotonicNow() < limit())
		{
			startTimer();
			return;
		}
		limitPassed();
	});
}

void UpstreamCall::limitPassed()
{
	if (m_step == Step::None || m_cancelled)
	{
		return;
	}
	if (m_step == Step::Read && !m_looked && !isQuiet(*m_connection))
	{
		m_looked = true;
		const TimeUs again = monotonicNow() + kLookAgain;
		m_silentUntil = m_silentUntil != 0 ? std::max(m_silentUntil, again) : 0;
		armTimer(again);
		return;
	}
	if (m_silentUntil != 0 && monotonicNow() >= m_silentUntil)
	{
		m_stayedSilent = true;
		lose();
		return;
	}
	// Asked before the close, not after it: what is closed can't be waited for any more.
	const std::optional<TimeUs> later =
		m_step == Step::Read && m_askLate ? m_askLate() : std::optional<TimeUs>();
	if (later)
	{
		m_looked = false;
		m_waitsOnUntil = *later;
		armTimer(*later);
		return;
	}
	m_timedOut = true;
	closeConnection();
}

void UpstreamCall::closeConnection()
{
	if (m_connection)
	{
		boost::system::error_code ignored;
		m_connection->socket.close(ignored);
	}
}

/// The message that is being written must outlive the operation.
void UpstreamCall::awaitWrite()
{
	if (m_writing)
	{
		m_written.wait();
	}
}
} // namespace spanplank
