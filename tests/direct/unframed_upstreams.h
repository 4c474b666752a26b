/// Upstreams that write their answers byte by byte as a test says, broken ones too.
#ifndef SPANPLANK_TESTS_UNFRAMED_UPSTREAMS_H_HEADER_GUARD
#define SPANPLANK_TESTS_UNFRAMED_UPSTREAMS_H_HEADER_GUARD

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "direct_harness.h"
#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
enum class SocketEnd : uint8_t
{
	Closed,
	Reset,
	EndThenOpen,      ///< Its end comes, and the other direction stays open.
	EndThenReset,     ///< Its end comes first, and then a reset: a close while a request is still coming.
	UpstreamEnds,     ///< Closed, and no new connection is taken.
	UpstreamEndsLast, ///< Closed, and no new connection is taken a moment later.
};

struct UnframedAnswer
{
	std::string type = "text/plain";
	std::string body;
	SocketEnd end = SocketEnd::Closed;
	uint32_t afterMs = 20;   ///< From its last byte to its end.
	std::string fields = {}; ///< More lines of its head.
	size_t missing = 0;      ///< Bytes at its end that are not sent.
	std::string before = {}; ///< Sent before its head.
	std::string status = "200 OK";
	std::string firstFields = {}; ///< Lines between its status and the others of its head.
	size_t readsBytes = 0;        ///< Of the request's body, before it is answered.
};

/// Two upstreams that write such answers, by the number of the arrival at either.
struct UnframedUpstreams : testing::Test
{
	boost::asio::io_context& io = testIo();
	DirectSystem system;
	std::vector<UnframedAnswer> answers; ///< The last one answers all that follow.
	size_t arrivals = 0;
	std::vector<StandInUpstream> ends;
	std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors;
	size_t accepting = 0; ///< Fibers that wait for connections or requests.
	int receiveBytes = 0; ///< Of a request that a socket holds unread; 0: as the system sets it.

	~UnframedUpstreams() override
	{
		for (size_t ii = 0; ii < acceptors.size(); ++ii)
		{
			stopAccepting(ii);
		}
		system.killHard(); // Its idle connections end.
		eventually([this] { return accepting == 0; }, 5);
	}

	void stopAccepting(size_t _end)
	{
		boost::system::error_code ignored;
		acceptors[_end]->close(ignored);
	}

	void start(const std::string& _service, std::vector<UnframedAnswer> _answers, size_t _upstreams = 2)
	{
		answers = std::move(_answers);
		ends.resize(_upstreams);
		for (size_t ii = 0; ii < ends.size(); ++ii)
		{
			const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(loopbackIp()), 0);
			acceptors.push_back(std::make_unique<boost::asio::ip::tcp::acceptor>(io, address));
			if (receiveBytes > 0)
			{
				acceptors.back()->set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes));
			}
			ends[ii].id = fmt::format("u-{}", ii);
			ends[ii].service = _service;
			ends[ii].address = loopback(acceptors[ii]->local_endpoint().port());
			system.registerUpstream(ends[ii]);
			++accepting;
			spawnFiber([this, ii] { accept(ii); });
		}
		system.startReady(ends.size());
	}

	void accept(size_t _end)
	{
		while (acceptors[_end]->is_open())
		{
			const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(io);
			const IoResult accepted =
				awaitIo([&](auto _done) { acceptors[_end]->async_accept(*socket, _done); });
			if (!accepted.error)
			{
				++accepting;
				spawnFiber([this, socket, _end] {
					answer(*socket, _end);
					--accepting;
				});
			}
		}
		--accepting;
	}

	/// @param[in] _came Bytes of the body that have been read with the head.
	static void readBody(boost::asio::ip::tcp::socket& _socket, size_t _came, size_t _bytes)
	{
		std::vector<char> piece(65536);
		bool open = true;
		while (open && _came < _bytes)
		{
			const IoResult read =
				awaitIo([&](auto _done) { _socket.async_read_some(boost::asio::buffer(piece), _done); });
			_came += read.bytes;
			open = !read.error;
		}
	}

	void answer(boost::asio::ip::tcp::socket& _socket, size_t _end)
	{
		std::string head;
		const IoResult read = awaitIo([&](auto _done) {
			boost::asio::async_read_until(_socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", _done);
		});
		if (read.error)
		{
			return; // A connection that only shows whether the upstream is there.
		}
		const UnframedAnswer& script = answers[std::min(arrivals++, answers.size() - 1)];
		readBody(_socket, head.size() - read.bytes, script.readsBytes);
		const size_t id = head.find("request-");
		const std::string whole = fmt::format(
			"{}HTTP/1.1 {}\r\n{}Request-Id: {}\r\nServer-Stamp: stamp-{}\r\nContent-Type: "
			"{}\r\n{}\r\n{}",
			script.before, script.status, script.firstFields, head.substr(id, head.find('\r', id) - id),
			ends[_end].id, script.type, script.fields, script.body);
		const std::string bytes = whole.substr(0, whole.size() - std::min(script.missing, whole.size()));
		awaitIo([&](auto _done) { boost::asio::async_write(_socket, boost::asio::buffer(bytes), _done); });
		sleepFor(script.afterMs);
		boost::system::error_code ignored;
		if (script.end == SocketEnd::EndThenReset || script.end == SocketEnd::EndThenOpen)
		{
			_socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
		}
		if (script.end == SocketEnd::EndThenOpen)
		{
			sleepFor(kOpenMs);
		}
		if (script.end == SocketEnd::Reset || script.end == SocketEnd::EndThenReset)
		{
			_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
			_socket.close(ignored);
		}
		if (script.end == SocketEnd::UpstreamEnds)
		{
			stopAccepting(_end);
		}
		if (script.end == SocketEnd::UpstreamEndsLast)
		{
			constexpr uint32_t kMomentMs = 30;
			_socket.close(ignored);
			sleepFor(kMomentMs);
			stopAccepting(_end);
		}
	}

	static constexpr size_t kSoundCalls = 10;
	static constexpr uint32_t kOpenMs = 200;

	/// Makes room for further retries: few in many requests are allowed.
	void callSound(const std::string& _method = "GET", const std::string& _path = "/plain/x",
				   const UnframedAnswer& _answer = {"text/plain", "sound", SocketEnd::Closed, 0})
	{
		answers = {_answer};
		for (size_t ii = 0; ii < kSoundCalls; ++ii)
		{
			EXPECT_EQ(system.call(_method, _path).body, _answer.body);
		}
	}

	/// @returns Events with rising ids.
	static UnframedAnswer events(int _from, int _to, const std::string& _rest = "",
								 SocketEnd _end = SocketEnd::Closed)
	{
		std::string body;
		for (int id = _from; id <= _to; ++id)
		{
			body += fmt::format("id: {}\ndata: {}\n\n", id, id);
		}
		return {"text/event-stream", body + _rest, _end};
	}
};
} // namespace spanplank

#endif // SPANPLANK_TESTS_UNFRAMED_UPSTREAMS_H_HEADER_GUARD
