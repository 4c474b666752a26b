/// An upstream in trouble that answers each request with bytes that have no end, until its caller closes.
#ifndef SPANPLANK_TESTS_ENDLESS_UPSTREAM_H_HEADER_GUARD
#define SPANPLANK_TESTS_ENDLESS_UPSTREAM_H_HEADER_GUARD

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace spanplank
{
/// What an endless answer is made of.
struct EndlessBytes
{
	std::string begin;  ///< `{id}` stands for the request's id.
	std::string repeat; ///< Sent again and again after it.
};

/// Writes in threads of its own: the test's own thread serves the sound upstreams beside it.
class EndlessUpstream
{
public:
	EndlessUpstream(const std::string& _ip, const EndlessBytes& _bytes);
	~EndlessUpstream();
	EndlessUpstream(const EndlessUpstream&) = delete;
	EndlessUpstream& operator=(const EndlessUpstream&) = delete;

	uint16_t port() const
	{
		return m_port;
	}

	/// @returns The connections on which it writes.
	size_t writing() const
	{
		return m_writing;
	}

	/// @returns The requests that it has begun to answer.
	size_t answered() const
	{
		return m_answered;
	}

private:
	void accept();
	void answer(int _socket);

	EndlessBytes m_bytes;
	int m_listener = -1;
	uint16_t m_port = 0;
	std::atomic<bool> m_closing{false};
	std::atomic<size_t> m_writing{0};
	std::atomic<size_t> m_answered{0};
	std::mutex m_mutex; ///< Of the two below.
	std::vector<std::thread> m_threads;
	std::vector<int> m_sockets;
	std::thread m_acceptor;
};
} // namespace spanplank

#endif // SPANPLANK_TESTS_ENDLESS_UPSTREAM_H_HEADER_GUARD
