#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{
using Clock = std::chrono::steady_clock;

const Clock::time_point s_begin = Clock::now();
std::mutex s_recordMutex;
std::ofstream s_record;

constexpr const char* kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string& _text)
{
	std::string out;
	size_t ii = 0;
	for (; ii + 2 < _text.size(); ii += 3)
	{
		const uint32_t bits =
			(uint8_t(_text[ii]) << 16) | (uint8_t(_text[ii + 1]) << 8) | uint8_t(_text[ii + 2]);
		for (const int shift : {18, 12, 6, 0})
		{
			out += kBase64[(bits >> shift) & 63];
		}
	}
	const size_t left = _text.size() - ii;
	if (left > 0)
	{
		const uint32_t bits = (uint8_t(_text[ii]) << 16) | (left > 1 ? uint8_t(_text[ii + 1]) << 8 : 0);
		out += kBase64[(bits >> 18) & 63];
		out += kBase64[(bits >> 12) & 63];
		out += left > 1 ? kBase64[(bits >> 6) & 63] : '=';
		out += '=';
	}
	return out;
}

std::string fromBase64(const std::string& _text)
{
	std::string out;
	uint32_t bits = 0;
	int count = 0;
	for (const char letter : _text)
	{
		const char* at = std::strchr(kBase64, letter);
		if (letter == '=' || letter == 0 || at == nullptr)
		{
			break;
		}
		bits = (bits << 6) | uint32_t(at - kBase64);
		if (++count == 4)
		{
			out += char(bits >> 16);
			out += char(bits >> 8);
			out += char(bits);
			bits = 0;
			count = 0;
		}
	}
	if (count >= 2)
	{
		bits <<= 6 * (4 - count);
		out += char(bits >> 16);
		if (count == 3)
		{
			out += char(bits >> 8);
		}
	}
	return out;
}

bool sameName(const std::string& _one, const std::string& _other)
{
	return _one.size() == _other.size() && strcasecmp(_one.c_str(), _other.c_str()) == 0;
}

std::string percentDecoded(const std::string& _text)
{
	std::string out;
	for (size_t ii = 0; ii < _text.size(); ++ii)
	{
		if (_text[ii] == '%' && ii + 2 < _text.size())
		{
			out += char(std::stoi(_text.substr(ii + 1, 2), nullptr, 16));
			ii += 2;
			continue;
		}
		out += _text[ii];
	}
	return out;
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
			equals == std::string::npos ? "" : percentDecoded(part.substr(equals + 1));
	}
	return query;
}

uint64_t numberOf(const std::string& _text)
{
	return _text.empty() ? 0 : std::stoull(_text);
}

sockaddr_in addressOf(const std::string& _ip, uint16_t _port)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(_port);
	inet_pton(AF_INET, _ip.c_str(), &address.sin_addr);
	return address;
}

int listenOn(const std::string& _ip, uint16_t& _port)
{
	const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int one = 1;
	::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	sockaddr_in address = addressOf(_ip, _port);
	if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(fd, 256) != 0)
	{
		::close(fd);
		throw std::runtime_error("cannot listen on " + _ip);
	}
	socklen_t size = sizeof(address);
	::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
	_port = ntohs(address.sin_port);
	return fd;
}
} // namespace

double nowMs()
{
	return std::chrono::duration<double, std::milli>(Clock::now() - s_begin).count();
}

void sleepMs(double _ms)
{
	std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(_ms));
}

int64_t wallMs()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
			   std::chrono::system_clock::now().time_since_epoch())
		.count();
}

void openRecord(const std::string& _file)
{
	s_record.open(_file);
}

void record(const std::string& _line)
{
	const std::lock_guard<std::mutex> lock(s_recordMutex);
	char time[32];
	std::snprintf(time, sizeof(time), "%10.1f ms  ", nowMs());
	s_record << time << _line << std::endl;
}

// ---- HTTP -------------------------------------------------------------------------------------------------

std::string Message::field(const std::string& _name) const
{
	for (const auto& [name, value] : headers)
	{
		if (sameName(name, _name))
		{
			return value;
		}
	}
	return "";
}

bool Message::has(const std::string& _name) const
{
	return std::any_of(headers.begin(), headers.end(),
					   [&](const auto& _field) { return sameName(_field.first, _name); });
}

std::string Message::method() const
{
	return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
	const size_t first = start.find(' ');
	const size_t second = start.find(' ', first + 1);
	return first == std::string::npos ? "" : start.substr(first + 1, second - first - 1);
}

int Message::status() const
{
	return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

Stream::~Stream()
{
	::close(m_fd);
}

bool Stream::fill(int _timeoutMs)
{
	pollfd wait{m_fd, POLLIN, 0};
	if (::poll(&wait, 1, _timeoutMs) != 1)
	{
		return false;
	}
	char bytes[16384];
	const ssize_t count = ::recv(m_fd, bytes, sizeof(bytes), 0);
	if (count <= 0)
	{
		return false;
	}
	m_buffer.append(bytes, size_t(count));
	return true;
}

bool Stream::read(Message& _message, int _timeoutMs, bool _isResponse)
{
	_message = {};
	size_t end = 0;
	while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
	{
		if (!fill(_timeoutMs))
		{
			return false;
		}
	}
	std::istringstream head(m_buffer.substr(0, end));
	m_buffer.erase(0, end + 4);
	std::string line;
	while (std::getline(head, line))
	{
		line.erase(line.find_last_not_of('\r') + 1);
		const size_t colon = line.find(':');
		if (_message.start.empty())
		{
			_message.start = line;
		}
		else if (colon != std::string::npos)
		{
			const size_t from = line.find_first_not_of(' ', colon + 1);
			_message.headers.emplace_back(line.substr(0, colon),
										  from == std::string::npos ? "" : line.substr(from));
		}
	}
	if (sameName(_message.field("Transfer-Encoding"), "chunked"))
	{
		while (true)
		{
			size_t at = 0;
			while ((at = m_buffer.find("\r\n")) == std::string::npos)
			{
				if (!fill(_timeoutMs))
				{
					return false;
				}
			}
			const size_t size = std::stoul(m_buffer.substr(0, at), nullptr, 16);
			while (m_buffer.size() < at + 2 + size + 2)
			{
				if (!fill(_timeoutMs))
				{
					return false;
				}
			}
			_message.body += m_buffer.substr(at + 2, size);
			m_buffer.erase(0, at + 2 + size + 2);
			if (size == 0)
			{
				return true;
			}
		}
	}
	const size_t size = numberOf(_message.field("Content-Length"));
	while (m_buffer.size() < size)
	{
		if (!fill(_timeoutMs))
		{
			return false;
		}
	}
	_message.body = m_buffer.substr(0, size);
	m_buffer.erase(0, size);
	return !_isResponse || _message.status() != 0;
}

bool Stream::write(const std::string& _bytes)
{
	size_t sent = 0;
	while (sent < _bytes.size())
	{
		const ssize_t count = ::send(m_fd, _bytes.data() + sent, _bytes.size() - sent, MSG_NOSIGNAL);
		if (count <= 0)
		{
			return false;
		}
		sent += size_t(count);
	}
	return true;
}

std::string responseText(int _status, const Headers& _headers, const std::string& _body)
{
	std::string text = "HTTP/1.1 " + std::to_string(_status) + " x\r\n";
	for (const auto& [name, value] : _headers)
	{
		text += name + ": " + value + "\r\n";
	}
	return text + "Content-Length: " + std::to_string(_body.size()) + "\r\n\r\n" + _body;
}

int connectTo(const std::string& _ip, uint16_t _port, int _timeoutMs)
{
	const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	const sockaddr_in address = addressOf(_ip, _port);
	int error = 0;
	if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
	{
		error = errno;
		if (error == EINPROGRESS)
		{
			pollfd wait{fd, POLLOUT, 0};
			socklen_t size = sizeof(error);
			error = ETIMEDOUT;
			if (::poll(&wait, 1, _timeoutMs) == 1)
			{
				::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
			}
		}
	}
	if (error != 0)
	{
		::close(fd);
		return -1;
	}
	::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	const int one = 1;
	::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

HttpServer::HttpServer(std::string _ip, Handler _handler)
	: m_ip(std::move(_ip)), m_handler(std::move(_handler))
{
	m_fd = listenOn(m_ip, m_port);
	m_thread = std::thread([this] { accept(); });
}

HttpServer::~HttpServer()
{
	m_stop = true;
	m_thread.join();
	::close(m_fd);
}

void HttpServer::accept()
{
	while (!m_stop)
	{
		pollfd wait{m_fd, POLLIN, 0};
		if (::poll(&wait, 1, 50) != 1)
		{
			continue;
		}
		const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
		if (fd < 0)
		{
			continue;
		}
		const int one = 1;
		::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		std::thread([this, fd] {
			Stream stream(fd);
			Message request;
			while (!m_stop && stream.read(request, 120000, false) && m_handler(request, stream))
			{
			}
		}).detach(); // The program ends by `_exit`.
	}
}

uint16_t freePort(const std::string& _ip)
{
	static std::set<uint16_t> s_given;
	while (true)
	{
		uint16_t port = 0;
		::close(listenOn(_ip, port));
		if (s_given.insert(port).second)
		{
			return port;
		}
	}
}

// ---- The platform's store ---------------------------------------------------------------------------------

Store::Store(const std::string& _ip)
{
	m_server = std::make_unique<HttpServer>(
		_ip, [this](const Message& _request, Stream& _stream) { return answer(_request, _stream); });
}

double Store::put(const std::string& _key, const std::string& _value)
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	set(_key, _value, 0);
	return nowMs();
}

json Store::itemJson(const std::string& _key, const Item& _item) const
{
	return {{"private_key", _key},
			{"value", toBase64(_item.value)},
			{"revision", _item.revision},
			{"created", _item.created},
			{"lease", _item.lease}};
}

void Store::set(const std::string& _key, const std::string& _value, uint64_t _lease)
{
	Item& item = m_items[_key];
	item.value = _value;
	item.lease = _lease;
	item.revision = m_revision;
	item.created = item.created == 0 ? m_revision : item.created;
	++m_revision;
	m_history.push_back(itemJson(_key, item));
}

void Store::erase(const std::string& _key)
{
	if (m_items.erase(_key) != 0)
	{
		m_history.push_back({{"private_key", _key}, {"revision", m_revision++}, {"removed", true}});
	}
}

void Store::expireLeases()
{
	const double now = nowMs();
	for (auto at = m_leases.begin(); at != m_leases.end();)
	{
		if (at->second.until > now)
		{
			++at;
			continue;
		}
		std::vector<std::string> keys;
		for (const auto& [key, item] : m_items)
		{
			if (item.lease == at->first)
			{
				keys.push_back(key);
			}
		}
		for (const std::string& key : keys)
		{
			erase(key);
		}
		at = m_leases.erase(at);
	}
}

int Store::transact(const json& _call, json& _answer)
{
	json items = json::array();
	bool holds = true;
	for (const json& row : _call.value("expected_revision", json::array()))
	{
		const std::string key = row.at("private_key");
		const auto found = m_items.find(key);
		const uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
		holds = holds && revision == row.at("revision").get<uint64_t>();
		if (found != m_items.end())
		{
			items.push_back(itemJson(key, found->second));
		}
	}
	if (!holds)
	{
		_answer = {{"items", items}};
		return 412;
	}
	for (const json& item : _call.value("set_keys", json::array()))
	{
		const uint64_t lease = item.value("lease", uint64_t(0));
		const std::string key = item.at("private_key");
		if (lease != 0 && m_leases.count(lease) == 0)
		{
			return 404;
		}
		if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
		{
			return 403;
		}
	}
	for (const json& item : _call.value("set_keys", json::array()))
	{
		set(item.at("private_key"), fromBase64(item.at("value")), item.value("lease", uint64_t(0)));
	}
	for (const json& key : _call.value("remove", json::array()))
	{
		erase(key);
	}
	_answer = {{"revision", m_revision - 1}};
	return 200;
}

int Store::lease(const Message& _request, json& _answer)
{
	const std::string target = _request.target();
	if (target == "/kv-lease")
	{
		const uint32_t ttl = json::parse(_request.body).at("ttl_ms");
		const uint64_t id = m_nextLease++;
		m_leases[id] = {nowMs() + ttl, ttl};
		_answer = {{"lease", id}, {"ttl_ms", ttl}};
		return 200;
	}
	const uint64_t id = numberOf(target.substr(target.rfind('/') + 1));
	const auto found = m_leases.find(id);
	if (found == m_leases.end())
	{
		return 404;
	}
	if (_request.method() == "DELETE")
	{
		found->second.until = 0;
		expireLeases();
		return 200;
	}
	found->second.until = nowMs() + found->second.ttlMs;
	_answer = {{"ttl_ms", found->second.ttlMs}};
	return 200;
}

bool Store::answer(const Message& _request, Stream& _stream)
{
	const std::string target = _request.target();
	const std::string path = target.substr(0, target.find('?'));
	auto query = queryOf(target);
	json body = json::object();
	int status = 200;
	if (path == "/kv-watch")
	{
		const uint64_t after = numberOf(query["after_revision"]);
		const double until = nowMs() + double(numberOf(query["wait_ms"]));
		json events = json::array();
		uint64_t asOf = 0;
		while (true)
		{
			{
				const std::lock_guard<std::mutex> lock(m_mutex);
				expireLeases();
				for (const json& event : m_history)
				{
					const std::string key = event["private_key"];
					if (event["revision"].get<uint64_t>() > after && key.rfind(query["path_prefix"], 0) == 0)
					{
						events.push_back(event);
					}
				}
				asOf = m_revision - 1;
			}
			if (!events.empty() || nowMs() >= until)
			{
				break;
			}
			sleepMs(2);
		}
		body = {{"events", events}, {"as_of", asOf}};
	}
	else
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		expireLeases();
		if (path == "/kv-key")
		{
			const auto found = m_items.find(query["private_key"]);
			status = found == m_items.end() ? 404 : 200;
			body = found == m_items.end() ? body : itemJson(found->first, found->second);
			body["as_of"] = m_revision - 1;
		}
		else if (path == "/kv-range")
		{
			json items = json::array();
			for (const auto& [key, item] : m_items)
			{
				const bool past = query["after_revision"].empty() || key > query["after_revision"];
				if (past && key.rfind(query["path_prefix"], 0) == 0)
				{
					items.push_back(itemJson(key, item));
				}
			}
			body = {{"items", items}, {"has_more", false}, {"as_of", m_revision - 1}};
		}
		else if (path == "/kv-txn")
		{
			status = transact(json::parse(_request.body), body);
		}
		else
		{
			status = lease(_request, body);
		}
	}
	return _stream.write(responseText(status, {{"Content-Type", "application/json"}}, body.dump()));
}

// ---- Workers ----------------------------------------------------------------------------------------------

Worker::Worker(Store& _store, const std::string& _ip, const WorkerPlan& _plan)
	: m_store(_store), m_plan(_plan)
{
	m_server = std::make_unique<HttpServer>(
		_ip, [this](const Message& _request, Stream& _stream) { return answer(_request, _stream); });
	m_store.put("servers/" + m_plan.id, registration().dump());
	m_beats = std::thread([this] { beat(); });
}

Worker::~Worker()
{
	m_stop = true;
	m_beats.join();
}

json Worker::registration() const
{
	return {{"service", m_plan.service},
			{"address", m_server->address()},
			{"zone", m_plan.zone},
			{"version", m_plan.version},
			{"slots", 8},
			{"state", "ready"},
			{"cold_remaining_ms", 0},
			{"sequence", m_sequence.load()}};
}

std::vector<Run> Worker::runs()
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	return m_runs;
}

/// The store's entry changes when more than `sequence` does: nothing is written while all is as before.
void Worker::beat()
{
	while (!m_stop)
	{
		sleepMs(100);
		++m_sequence;
	}
}

bool Worker::answer(const Message& _request, Stream& _stream)
{
	if (_request.target() == "/health")
	{
		return _stream.write(responseText(200, {{"Instance-Id", m_plan.id}}, "ok"));
	}
	const std::string id = _request.field("Request-Id");
	if (_request.has("Expect-Instance") && _request.field("Expect-Instance") != m_plan.id)
	{
		return _stream.write(responseText(421, {{"Request-Id", id}, {"Instance-Id", m_plan.id}}, ""));
	}
	if (id.empty())
	{
		return _stream.write(responseText(400, {{"Not-Executed", "1"}}, ""));
	}
	Run run{nowMs(), m_plan.id, id, _request.field("Tenant")};
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		m_runs.push_back(run);
	}
	record("run       " + id + " at " + m_plan.id + ", Tenant '" + run.tenant + "'");
	sleepMs(m_plan.workMs);
	return _stream.write(responseText(
		200, {{"Request-Id", id}, {"Server-Stamp", "stamp." + m_plan.id + "." + id}}, "answer to " + id));
}

// ---- Routers ----------------------------------------------------------------------------------------------

Router::Router(const std::string& _program, const std::string& _folder, const std::string& _box,
			   const std::string& _zone, const std::string& _store)
{
	m_listen = freePort(m_ip);
	m_readiness = freePort(m_ip);
	const auto at = [this](uint16_t _port) {
		return "\"" + m_ip + ":" + std::to_string(_port) + "\"\n";
	};
	const std::string file = _folder + "/" + _box + ".yaml";
	std::ofstream out(file); // As `deploy/router.yaml` is filled for a small deployment.
	out << "upstreams: direct\nbox: \"" << _box << "\"\nhall: \"" << _zone << "\"\n"
		<< "regions: {\"zone-a\": \"region\", \"zone-b\": \"region\", \"zone-c\": \"region\"}\n"
		<< "listen: " << at(m_listen) << "readiness: " << at(m_readiness) << "metrics: " << at(freePort(m_ip))
		<< "store: \"" << _store << "\"\n"
		<< "link: " << at(freePort(m_ip))
		<< "firstStart: true\ngraceSeconds: 8\nrevokeMs: 5000\nretryWindowSeconds: 10\nretryRatio: 0.9\n"
		<< "exposureShare: 0.15\nleaveMs: 2000\nheartbeatMs: 1200\nprocessorShare: 0.19\nlinkMbps: 1000.0\n"
		<< "policiesOff: []\n";
	out.close();
	const std::string log = _folder + "/" + _box + ".log";
	const std::string option = "--settings=" + file;
	m_pid = ::fork();
	if (m_pid == 0)
	{
		::prctl(PR_SET_PDEATHSIG, SIGKILL); // Whatever ends this program ends the router.
		const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
		::dup2(fd, 1);
		::dup2(fd, 2);
		::execl(_program.c_str(), _program.c_str(), option.c_str(), nullptr);
		::_exit(127);
	}
	record("router    " + _box + " starts, pid " + std::to_string(m_pid));
}

Router::~Router()
{
	::kill(m_pid, SIGKILL);
	::waitpid(m_pid, nullptr, 0);
}

bool Router::running() const
{
	return ::kill(m_pid, 0) == 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0;
}

bool Router::ready() const
{
	const int fd = connectTo(m_ip, m_readiness, 300);
	if (fd < 0)
	{
		return false;
	}
	Stream stream(fd);
	Message answer;
	return stream.write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
		   stream.read(answer, 1000, true) && answer.status() == 200;
}

// ---- Clients ----------------------------------------------------------------------------------------------

Answer callRouter(const Router& _router, const Call& _call)
{
	static std::atomic<uint64_t> s_next{1};
	char id[32];
	std::snprintf(id, sizeof(id), "%016llx", 0x9c41d07b00000000ull + s_next++);
	Answer answer;
	answer.requestId = id;
	std::string text = _call.method + " " + _call.path +
					   " HTTP/1.1\r\nHost: review.example\r\nRequest-Id: " + id +
					   "\r\nDeadline-Remaining: " + std::to_string(_call.deadlineMs) + "\r\n";
	text += _call.key.empty() ? "" : "Key: " + _call.key + "\r\n";
	text += _call.method == "GET" ? "\r\n" : "Content-Length: 2\r\n\r\n{}";
	const int fd = connectTo(_router.ip(), _router.port(), 1000);
	answer.sentAt = nowMs();
	if (fd >= 0)
	{
		Stream stream(fd);
		Message message;
		if (stream.write(text) && stream.read(message, _call.deadlineMs + 500, true))
		{
			answer.status = message.status();
			answer.stamp = message.field("Server-Stamp");
		}
	}
	record("answer    " + answer.requestId + " " + _call.method + " " + _call.path + " key '" + _call.key +
		   "': " + std::to_string(answer.status));
	return answer;
}
} // namespace review
