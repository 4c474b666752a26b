/// The stand-ins of the second review.
#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin
{
namespace
{
using Clock = std::chrono::steady_clock;
const Clock::time_point s_begin = Clock::now();

sockaddr_in addressOf(uint16_t _port)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(_port);
	return address;
}

std::string lower(std::string _text)
{
	std::transform(_text.begin(), _text.end(), _text.begin(),
				   [](unsigned char _c) { return std::tolower(_c); });
	return _text;
}

Fields readFields(const std::string& _head)
{
	Fields fields;
	std::istringstream lines(_head);
	std::string line;
	std::getline(lines, line);
	while (std::getline(lines, line))
	{
		const size_t colon = line.find(':');
		if (colon == std::string::npos)
		{
			continue;
		}
		std::string value = line.substr(colon + 1);
		value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size()
																		 : value.find_first_not_of(' '));
		value.erase(value.find_last_not_of("\r ") + 1);
		fields.all.emplace_back(line.substr(0, colon), value);
	}
	return fields;
}

/// Reads more. @returns Bytes read; 0: the end; -1: an error; -2: nothing came in time.
int readMore(int _socket, std::string& _unread, int64_t _untilMs)
{
	const int64_t left = _untilMs - nowMs();
	pollfd in{_socket, POLLIN, 0};
	if (left <= 0 || ::poll(&in, 1, int(left)) <= 0)
	{
		return -2;
	}
	char bytes[16384];
	const ssize_t read = ::recv(_socket, bytes, sizeof(bytes), 0);
	if (read > 0)
	{
		_unread.append(bytes, size_t(read));
	}
	return int(read);
}

std::string decodePercent(const std::string& _text)
{
	std::string decoded;
	for (size_t ii = 0; ii < _text.size(); ++ii)
	{
		if (_text[ii] == '%' && ii + 2 < _text.size())
		{
			decoded.push_back(char(std::stoi(_text.substr(ii + 1, 2), nullptr, 16)));
			ii += 2;
			continue;
		}
		decoded.push_back(_text[ii]);
	}
	return decoded;
}

std::map<std::string, std::string> queryOf(const std::string& _target)
{
	std::map<std::string, std::string> query;
	const size_t mark = _target.find('?');
	std::istringstream parts(mark == std::string::npos ? "" : _target.substr(mark + 1));
	std::string part;
	while (std::getline(parts, part, '&'))
	{
		const size_t equals = part.find('=');
		query[part.substr(0, equals)] =
			equals == std::string::npos ? "" : decodePercent(part.substr(equals + 1));
	}
	return query;
}

constexpr const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string& _bytes)
{
	std::string text;
	for (size_t ii = 0; ii < _bytes.size(); ii += 3)
	{
		uint32_t group = 0;
		for (size_t jj = 0; jj < 3; ++jj)
		{
			group = group << 8 | (ii + jj < _bytes.size() ? uint8_t(_bytes[ii + jj]) : 0);
		}
		for (size_t jj = 0; jj < 4; ++jj)
		{
			text.push_back(ii + jj > _bytes.size() ? '=' : kDigits[group >> (18 - 6 * jj) & 63]);
		}
	}
	return text;
}

std::string fromBase64(const std::string& _text)
{
	std::string bytes;
	uint32_t group = 0;
	int bits = 0;
	for (const char sign : _text)
	{
		const char* at = sign == '=' ? nullptr : std::strchr(kDigits, sign);
		if (at == nullptr)
		{
			break;
		}
		group = group << 6 | uint32_t(at - kDigits);
		bits += 6;
		if (bits >= 8)
		{
			bits -= 8;
			bytes.push_back(char(group >> bits & 255));
		}
	}
	return bytes;
}

int connectTo(uint16_t _port, int64_t _patienceMs)
{
	const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	const sockaddr_in address = addressOf(_port);
	::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
	pollfd out{socket, POLLOUT, 0};
	int error = ETIMEDOUT;
	socklen_t size = sizeof(error);
	if (::poll(&out, 1, int(_patienceMs)) == 1)
	{
		::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
	}
	if (error != 0)
	{
		::close(socket);
		return -1;
	}
	::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
	const int on = 1;
	::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return socket;
}
} // namespace

int64_t nowMs()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - s_begin).count();
}

void sleepMs(int64_t _ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(_ms));
}

bool trouble()
{
	const char* value = std::getenv("TROUBLE");
	return value == nullptr || std::string(value) != "0";
}

void endWithParent()
{
	::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

uint16_t freePort()
{
	const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sockaddr_in address = addressOf(0);
	::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
	socklen_t size = sizeof(address);
	::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
	::close(socket);
	return ntohs(address.sin_port);
}

std::string loopback(uint16_t _port)
{
	return "127.0.0.1:" + std::to_string(_port);
}

namespace
{
Record* s_record = nullptr;

std::string stamp()
{
	char at[32];
	std::snprintf(at, sizeof(at), "%8.3f ", double(nowMs()) / 1000.0);
	return at;
}
} // namespace

Record::Record(const std::string& _file) : m_out(_file)
{
	s_record = this;
}

void Record::detail(const std::string& _text)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	m_out << stamp() << _text << '\n';
}

void recordDetail(const std::string& _text)
{
	if (s_record != nullptr)
	{
		s_record->detail(_text);
	}
}

void Record::line(const std::string& _text)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	m_out << stamp() << _text << std::endl;
	std::cout << stamp() << _text << std::endl;
}

std::string Fields::get(const std::string& _name) const
{
	for (const auto& [name, value] : all)
	{
		if (lower(name) == lower(_name))
		{
			return value;
		}
	}
	return "";
}

bool readRequest(Connection& _connection, Request& _request)
{
	const int64_t until = nowMs() + 120000;
	size_t end = 0;
	while ((end = _connection.unread.find("\r\n\r\n")) == std::string::npos)
	{
		if (readMore(_connection.socket, _connection.unread, until) <= 0)
		{
			return false;
		}
	}
	const std::string head = _connection.unread.substr(0, end + 2);
	_connection.unread.erase(0, end + 4);
	std::istringstream line(head);
	line >> _request.method >> _request.target;
	_request.fields = readFields(head);
	const std::string length = _request.fields.get("Content-Length");
	const size_t size = length.empty() ? 0 : std::stoul(length);
	while (_connection.unread.size() < size)
	{
		if (readMore(_connection.socket, _connection.unread, until) <= 0)
		{
			return false;
		}
	}
	_request.body = _connection.unread.substr(0, size);
	_connection.unread.erase(0, size);
	return true;
}

bool sendAll(int _socket, const std::string& _bytes)
{
	for (size_t sent = 0; sent < _bytes.size();)
	{
		const ssize_t count = ::send(_socket, _bytes.data() + sent, _bytes.size() - sent, MSG_NOSIGNAL);
		if (count <= 0)
		{
			return false;
		}
		sent += size_t(count);
	}
	return true;
}

bool hasClosed(int _socket)
{
	char byte = 0;
	const ssize_t peeked = ::recv(_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Server::Server(Handler _handler, int _backlog, uint16_t _port)
	: m_handler(std::move(_handler)), m_backlog(_backlog)
{
	m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int on = 1;
	::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sockaddr_in address = addressOf(_port);
	if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
		::listen(m_listener, m_backlog) != 0)
	{
		std::cerr << "can't listen\n";
		std::exit(2);
	}
	socklen_t size = sizeof(address);
	::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
	m_port = ntohs(address.sin_port);
	std::thread([this] { acceptLoop(); }).detach();
}

Server::~Server()
{
	::shutdown(m_listener, SHUT_RDWR);
}

void Server::acceptLoop()
{
	while (true)
	{
		pollfd in{m_listener, POLLIN, 0};
		::poll(&in, 1, 20);
		if (m_silent || (in.revents & POLLIN) == 0)
		{
			sleepMs(m_silent ? 1 : 0);
			continue;
		}
		const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
		if (socket < 0)
		{
			return;
		}
		const int on = 1;
		::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		{
			const std::lock_guard<std::mutex> lock(m_mutex);
			m_open.push_back(socket);
		}
		std::thread([this, socket] { serve(socket); }).detach();
	}
}

void Server::serve(int _socket)
{
	Connection connection{_socket, ""};
	Request request;
	while (readRequest(connection, request))
	{
		const std::string id = request.fields.get("Request-Id");
		if (!id.empty())
		{
			recordDetail("runs at the worker on port " + std::to_string(m_port) + ": " + id + " " +
						 request.method + " " + request.target);
		}
		if (!m_handler(connection, request))
		{
			break;
		}
		request = {};
	}
	const std::lock_guard<std::mutex> lock(m_mutex);
	m_open.erase(std::remove(m_open.begin(), m_open.end(), _socket), m_open.end());
	::close(_socket);
}

void Server::silence()
{
	m_silent = true;
	sleepMs(30); // The accepting thread has seen it.
	for (int ii = 0; ii < m_backlog + 8; ++ii)
	{
		// Fills the queue of new connections: the opening packets of others are dropped from now on.
		const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		const sockaddr_in address = addressOf(m_port);
		::connect(filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
		pollfd out{filler, POLLOUT, 0};
		const bool taken = ::poll(&out, 1, 50) == 1;
		if (!taken)
		{
			::close(filler);
			return;
		}
		m_fillers.push_back(filler);
	}
}

void Server::resume()
{
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		for (const int socket : m_open)
		{
			::shutdown(socket, SHUT_RDWR);
		}
	}
	for (const int filler : m_fillers)
	{
		::close(filler);
	}
	m_fillers.clear();
	m_silent = false;
}

void Server::end()
{
	::shutdown(m_listener, SHUT_RDWR);
	const std::lock_guard<std::mutex> lock(m_mutex);
	for (const int socket : m_open)
	{
		::shutdown(socket, SHUT_RDWR);
	}
}

std::string answerText(int _status, const std::string& _fields, const std::string& _body)
{
	return "HTTP/1.1 " + std::to_string(_status) + " Any\r\n" + _fields +
		   "Content-Length: " + std::to_string(_body.size()) + "\r\n\r\n" + _body;
}

Store::Store(Record& _record) : m_record(_record)
{
	m_server = std::make_unique<Server>(
		[this](Connection& _connection, const Request& _request) { return answer(_connection, _request); },
		4);
}

uint64_t Store::put(const std::string& _key, const std::string& _value)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	m_items[_key] = {_value, ++m_revision, 0};
	m_history.emplace_back(m_revision, _key);
	m_changed.notify_all();
	m_record.line("store: " + _key + " written at revision " + std::to_string(m_revision));
	return m_revision;
}

void Store::remove(const std::string& _key)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	m_items.erase(_key);
	m_history.emplace_back(++m_revision, _key);
	m_changed.notify_all();
	m_record.line("store: " + _key + " removed at revision " + std::to_string(m_revision));
}

bool Store::has(const std::string& _key)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	return m_items.count(_key) != 0;
}

std::vector<std::string> Store::keys(const std::string& _prefix)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	std::vector<std::string> found;
	for (const auto& [key, item] : m_items)
	{
		if (key.compare(0, _prefix.size(), _prefix) == 0)
		{
			found.push_back(key);
		}
	}
	return found;
}

void Store::copy()
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	m_copy = {m_items, m_history, m_revision};
	m_record.line("store: copied at revision " + std::to_string(m_revision));
}

void Store::returnFromCopy()
{
	m_server->silence(); // It is away for a moment.
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		m_items = m_copy.items;
		m_history = m_copy.history;
		m_revision = m_copy.revision;
		++m_era;
		m_record.line("store: back from the copy at revision " + std::to_string(m_revision) + ", era " +
					  std::to_string(m_era));
	}
	m_server->resume();
}

json Store::shown(const std::string& _key, const Item& _item) const
{
	return {{"private_key", _key},
			{"value", toBase64(_item.value)},
			{"revision", _item.revision},
			{"created", _item.revision},
			{"lease", _item.lease}};
}

bool Store::isUnknown(const std::map<std::string, std::string>& _query)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	const auto after = _query.find("after_revision");
	return after != _query.end() && std::stoull("0" + after->second) > m_revision;
}

std::string Store::watch(const std::map<std::string, std::string>& _query)
{
	const auto get = [&_query](const char* _name) {
		const auto found = _query.find(_name);
		return found == _query.end() ? std::string() : found->second;
	};
	const uint64_t after = std::stoull("0" + get("after_revision"));
	const auto until = Clock::now() + std::chrono::milliseconds(std::stoll("0" + get("wait_ms")));
	const std::string prefix = get("path_prefix");
	std::unique_lock<std::mutex> lock(m_mutex);
	json events = json::array();
	while (true)
	{
		for (const auto& [revision, key] : m_history)
		{
			if (revision <= after || key.compare(0, prefix.size(), prefix) != 0)
			{
				continue;
			}
			const auto item = m_items.find(key);
			if (item != m_items.end() && item->second.revision == revision)
			{
				events.push_back(shown(key, item->second));
			}
			else if (item == m_items.end())
			{
				events.push_back({{"private_key", key}, {"revision", revision}, {"removed", true}});
			}
		}
		if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
		{
			break;
		}
	}
	return json{{"events", events}, {"as_of", m_revision}}.dump();
}

/// A conditional write. @returns The whole answer.
std::string Store::write(const json& _call)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	for (const json& row : _call.value("expected_revision", json::array()))
	{
		const auto item = m_items.find(row.at("private_key").get<std::string>());
		const uint64_t revision = item == m_items.end() ? 0 : item->second.revision;
		if (revision != row.at("revision").get<uint64_t>())
		{
			return answerText(412, "Content-Type: application/json\r\n", R"({"items":[]})");
		}
	}
	++m_revision;
	for (const json& row : _call.value("set_keys", json::array()))
	{
		const std::string key = row.at("private_key");
		m_items[key] = {fromBase64(row.at("value").get<std::string>()), m_revision,
						row.value("lease", uint64_t(0))};
		m_history.emplace_back(m_revision, key);
	}
	m_changed.notify_all();
	return answerText(200, "Content-Type: application/json\r\n", json{{"revision", m_revision}}.dump());
}

bool Store::answer(Connection& _connection, const Request& _request)
{
	const std::string path = _request.target.substr(0, _request.target.find('?'));
	const std::map<std::string, std::string> query = queryOf(_request.target);
	const std::string type = "Content-Type: application/json\r\n";
	std::string text;
	if (path == "/kv-watch" && isUnknown(query))
	{
		text = answerText(410, type, "{}");
	}
	else if (path == "/kv-watch")
	{
		text = answerText(200, type, watch(query));
	}
	else if (path == "/kv-txn")
	{
		text = m_server->silent() ? "" : write(json::parse(_request.body));
	}
	else if (path == "/kv-lease")
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		const json call = json::parse(_request.body, nullptr, false);
		text =
			answerText(200, type, json{{"lease", m_lease++}, {"ttl_ms", call.value("ttl_ms", 60000)}}.dump());
	}
	else if (path.compare(0, 9, "/kv-keep/") == 0 || path.compare(0, 14, "/kv-lease-end/") == 0)
	{
		text = answerText(200, type, R"({"ttl_ms":60000})");
	}
	else if (path == "/kv-range")
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		json items = json::array();
		const std::string prefix = query.count("path_prefix") != 0 ? query.at("path_prefix") : "";
		for (const auto& [key, item] : m_items)
		{
			if (key.compare(0, prefix.size(), prefix) == 0)
			{
				items.push_back(shown(key, item));
			}
		}
		text =
			answerText(200, type, json{{"items", items}, {"has_more", false}, {"as_of", m_revision}}.dump());
	}
	else
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		const auto item = m_items.find(query.count("private_key") != 0 ? query.at("private_key") : "");
		json body{{"as_of", m_revision}};
		if (item != m_items.end())
		{
			body.update(shown(item->first, item->second));
		}
		text = answerText(item == m_items.end() ? 404 : 200, type, body.dump());
	}
	if (m_server->silent())
	{
		while (m_server->silent()) // The connection says nothing more.
		{
			sleepMs(5);
		}
		return false;
	}
	const std::string era = "Store-Era: " + std::to_string(m_era) + "\r\n";
	text.insert(text.find("\r\n") + 2, era);
	return sendAll(_connection.socket, text);
}

json beat(const std::string& _service, uint16_t _port, const std::string& _state)
{
	return {{"service", _service}, {"address", loopback(_port)},
			{"zone", "mil-a"},     {"version", "v1"},
			{"slots", 6},          {"state", _state},
			{"sequence", 1},       {"cold_remaining_ms", 0}};
}

std::string workerFields(const std::string& _id, const Request& _request)
{
	return "Request-Id: " + _request.fields.get("Request-Id") + "\r\nServer-Stamp: stamp-" + _id + "-" +
		   _request.fields.get("Request-Id") + "\r\n";
}

namespace
{
/// Reads one answer. @returns Whether it is whole.
bool readAnswer(int _socket, const Call& _call, std::string& _unread, Answer& _answer)
{
	const int64_t until = nowMs() + _call.patienceMs;
	size_t end = 0;
	const auto more = [&] {
		const int read = readMore(_socket, _unread, until);
		_answer.error = read == -2 ? "no answer in time" : read < 0 ? "reset" : read == 0 ? "closed" : "";
		return read > 0;
	};
	while ((end = _unread.find("\r\n\r\n")) == std::string::npos)
	{
		if (!more())
		{
			return false;
		}
	}
	const std::string head = _unread.substr(0, end + 2);
	_unread.erase(0, end + 4);
	_answer.status = std::stoi("0" + head.substr(9, 3));
	_answer.fields = readFields(head);
	if (_call.method == "HEAD")
	{
		return true; // RFC 9110, 9.3.2: no content.
	}
	if (lower(_answer.fields.get("Transfer-Encoding")) == "chunked")
	{
		while (true)
		{
			size_t line = 0;
			while ((line = _unread.find("\r\n")) == std::string::npos)
			{
				if (!more())
				{
					return false;
				}
			}
			const size_t size = std::stoul("0" + _unread.substr(0, line), nullptr, 16);
			while (_unread.size() < line + 2 + size + 2)
			{
				if (!more())
				{
					_answer.body += _unread.substr(line + 2);
					return false;
				}
			}
			_answer.body += _unread.substr(line + 2, size);
			_unread.erase(0, line + 2 + size + 2);
			if (size == 0)
			{
				return true;
			}
		}
	}
	const std::string length = _answer.fields.get("Content-Length");
	const size_t size = std::stoul("0" + length);
	while (_unread.size() < size || length.empty())
	{
		if (!more())
		{
			_answer.body = _unread;
			return length.empty() && _answer.error == "closed";
		}
	}
	_answer.body = _unread.substr(0, size);
	_unread.erase(0, size);
	return true;
}
} // namespace

Answer call(uint16_t _port, const Call& _call)
{
	Answer answer;
	const int socket = connectTo(_port, std::min<int64_t>(1000, _call.patienceMs));
	if (socket < 0)
	{
		answer.error = "no connection";
		return answer;
	}
	std::string text = _call.method + " " + _call.target + " HTTP/1.1\r\nHost: " + _call.host +
					   "\r\nRequest-Id: " + _call.id +
					   "\r\nDeadline-Remaining: " + std::to_string(_call.patienceMs) + "\r\n" + _call.fields;
	if (_call.method == "POST")
	{
		text += "Content-Length: " + std::to_string(_call.body.size()) + "\r\n";
	}
	text += "\r\n" + _call.body;
	std::string unread;
	if (!_call.id.empty())
	{
		recordDetail("sent to port " + std::to_string(_port) + ": " + _call.id + " " + _call.method + " " +
					 _call.target);
	}
	if (sendAll(socket, text))
	{
		answer.whole = readAnswer(socket, _call, unread, answer);
	}
	if (answer.whole && _call.lingerMs > 0)
	{
		const int64_t until = nowMs() + _call.lingerMs;
		while (readMore(socket, unread, until) > 0)
		{
		}
	}
	answer.extra = unread;
	if (!_call.id.empty())
	{
		recordDetail("answered to the client at port " + std::to_string(_port) + ": " + _call.id +
					 " status " + std::to_string(answer.status) +
					 (answer.whole ? " whole" : " " + answer.error));
	}
	::close(socket);
	return answer;
}

Router::Router(std::string _root, std::string _dir, std::string _name, uint16_t _store, std::string _hall)
	: m_root(std::move(_root)), m_dir(std::move(_dir)), m_name(std::move(_name)), m_hall(std::move(_hall)),
	  m_store(_store), m_front(freePort()), m_readiness(freePort()), m_metrics(freePort()), m_link(freePort())
{
}

Router::~Router()
{
	kill();
}

/// The settings are those that the template of the deploy file gives on a small deployment.
void Router::start()
{
	const std::string settings = m_dir + "/" + m_name + ".yaml";
	std::ofstream(settings)
		<< "upstreams: direct\nbox: \"" << m_name << "\"\nhall: \"" << m_hall
		<< "\"\n"
		   "regions: {\"mil-a\":\"it-nord\",\"tor-b\":\"it-nord\",\"bg-c\":\"it-nord\"}\n"
		   "listen: \""
		<< loopback(m_front) << "\"\nreadiness: \"" << loopback(m_readiness) << "\"\nmetrics: \""
		<< loopback(m_metrics) << "\"\nstore: \"" << loopback(m_store) << "\"\nlink: \"" << loopback(m_link)
		<< "\"\ngraceSeconds: 8\nrevokeMs: 5000\nretryWindowSeconds: 10\nretryRatio: 0.9\n"
		   "exposureShare: 0.15\nleaveMs: 2000\nheartbeatMs: 1200\nprocessorShare: 0.19\n"
		   "linkMbps: 1000.0\nmemoryMb: 260\npoliciesOff: []\n";
	const std::string argument = "--settings=" + settings;
	const std::string program = m_root + "/target/spanplank-router";
	const std::string log = m_dir + "/" + m_name + ".log";
	m_pid = ::fork();
	if (m_pid == 0)
	{
		endWithParent();
		const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
		::dup2(out, 1);
		::dup2(out, 2);
		::signal(SIGPIPE, SIG_DFL);
		if (::chdir(m_root.c_str()) == 0)
		{
			::execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
		}
		::_exit(127);
	}
}

void Router::signal(int _signal) const
{
	if (m_pid > 0)
	{
		::kill(m_pid, _signal);
	}
}

void Router::kill()
{
	if (m_pid > 0)
	{
		::kill(m_pid, SIGCONT);
		::kill(m_pid, SIGKILL);
		::waitpid(m_pid, nullptr, 0);
	}
	m_pid = 0;
}

bool Router::running()
{
	if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
	{
		m_pid = 0;
	}
	return m_pid > 0;
}

bool Router::ready() const
{
	Call ask;
	ask.target = "/readiness";
	ask.patienceMs = 500;
	return call(m_readiness, ask).status == 200;
}

bool Router::awaitReady(int64_t _ms) const
{
	const int64_t until = nowMs() + _ms;
	while (nowMs() < until)
	{
		if (ready())
		{
			return true;
		}
		sleepMs(50);
	}
	return false;
}

std::string Router::log() const
{
	std::ifstream in(m_dir + "/" + m_name + ".log");
	return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

json route(const std::string& _name, const std::string& _prefix, const std::string& _kind,
		   const std::string& _service, uint32_t _timeoutMs, uint32_t _attempts)
{
	return {{"name", _name},
			{"host", "lamps.example"},
			{"path_prefix", _prefix},
			{"kind", _kind},
			{"timeout_ms", _timeoutMs},
			{"target_latency_ms", _kind == "streaming" ? 2000 : 100},
			{"priority", 0},
			{"service", _service},
			{"max_attempts", _attempts},
			{"allow_anonymous", false}};
}

json basicConfig()
{
	return {
		{"version", 7},
		{"routes",
		 {route("status", "/status/", "safe", "lamp-ctl", 1000, 2),
		  route("dim", "/dim/", "unsafe", "lamp-ctl", 1000, 1)}},
		{"services", {{{"name", "lamp-ctl"}, {"health_check_path", "/health"}, {"connection_limit", 100}}}},
		{"limits",
		 {{"max_header_bytes", 16384},
		  {"max_body_bytes", 4194304},
		  {"header_timeout_ms", 3000},
		  {"idle_timeout_ms", 15000}}},
		{"tenants", {{{"name", "comune"}, {"api_keys", {"lamp-key"}}, {"priority", 1}}}}};
}

Paths pathsOf(int _argc, char** _argv)
{
	if (_argc < 3)
	{
		std::cerr << "usage: case ROOT RECORD\n";
		std::exit(2);
	}
	::signal(SIGPIPE, SIG_IGN);
	Paths paths{_argv[1], _argv[2], ""};
	char pattern[] = "/tmp/spanplank-review-XXXXXX";
	paths.temporary = ::mkdtemp(pattern);
	return paths;
}

void removeFolder(const std::string& _folder)
{
	std::error_code ignored;
	std::filesystem::remove_all(_folder, ignored);
}
} // namespace standin
