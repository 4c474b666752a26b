#include "endless_upstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace spanplank
{
namespace
{
constexpr size_t kRepeats = 256; ///< In one write.

/// @returns The request's head; empty: the connection ended before it had come.
std::string readHead(int _socket)
{
	std::string head;
	char bytes[4096];
	while (head.find("\r\n\r\n") == std::string::npos)
	{
		const ssize_t read = ::recv(_socket, bytes, sizeof(bytes), 0);
		if (read <= 0)
		{
			return "";
		}
		head.append(bytes, size_t(read));
	}
	return head;
}

/// @returns The request's id, as the tests of the direct mode name it; empty: it has none.
std::string requestId(const std::string& _head)
{
	const size_t id = _head.find("request-");
	return id == std::string::npos ? "" : _head.substr(id, _head.find('\r', id) - id);
}

bool writeAll(int _socket, const std::string& _bytes)
{
	for (size_t sent = 0; sent < _bytes.size();)
	{
		const ssize_t wrote = ::send(_socket, _bytes.data() + sent, _bytes.size() - sent, MSG_NOSIGNAL);
		if (wrote <= 0)
		{
			return false;
		}
		sent += size_t(wrote);
	}
	return true;
}
} // namespace

EndlessUpstream::EndlessUpstream(const std::string& _ip, const EndlessBytes& _bytes) : m_bytes(_bytes)
{
	m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in address{};
	address.sin_family = AF_INET;
	::inet_pton(AF_INET, _ip.c_str(), &address.sin_addr);
	socklen_t length = sizeof(address);
	if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
		::listen(m_listener, SOMAXCONN) != 0 ||
		::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length) != 0)
	{
		throw std::runtime_error("the endless upstream can't listen");
	}
	m_port = ntohs(address.sin_port);
	m_acceptor = std::thread([this] { accept(); });
}

EndlessUpstream::~EndlessUpstream()
{
	m_closing = true;
	::shutdown(m_listener, SHUT_RDWR);
	m_acceptor.join();
	for (const int socket : m_sockets)
	{
		::shutdown(socket, SHUT_RDWR);
	}
	for (std::thread& thread : m_threads)
	{
		thread.join();
	}
	for (const int socket : m_sockets)
	{
		::close(socket);
	}
	::close(m_listener);
}

void EndlessUpstream::accept()
{
	while (!m_closing)
	{
		const int socket = ::accept(m_listener, nullptr, nullptr);
		if (socket < 0)
		{
			continue;
		}
		const std::lock_guard<std::mutex> lock(m_mutex);
		m_sockets.push_back(socket);
		m_threads.emplace_back([this, socket] { answer(socket); });
	}
}

void EndlessUpstream::answer(int _socket)
{
	const std::string head = readHead(_socket);
	if (head.empty())
	{
		::shutdown(_socket, SHUT_RDWR);
		return;
	}
	std::string begin = m_bytes.begin;
	const size_t place = begin.find("{id}");
	if (place != std::string::npos)
	{
		begin.replace(place, 4, requestId(head));
	}
	std::string repeat;
	for (size_t ii = 0; ii < kRepeats; ++ii)
	{
		repeat += m_bytes.repeat;
	}
	++m_answered;
	++m_writing;
	bool open = writeAll(_socket, begin);
	while (open && !m_closing)
	{
		open = writeAll(_socket, repeat);
	}
	--m_writing;
	::shutdown(_socket, SHUT_RDWR);
}
} // namespace spanplank
