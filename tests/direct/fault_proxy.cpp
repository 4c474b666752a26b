/// Forwards bytes between two ends and does them harm on demand.
#include "fault_proxy.h"

#include <boost/asio/write.hpp>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

void closeHard(tcp::socket& _socket)
{
	boost::system::error_code ignored;
	_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
	_socket.close(ignored);
}

/// Carries bytes one way until either end closes.
void carry(FaultProxy& _proxy, const std::shared_ptr<FaultProxy::Pair>& _pair, bool _there)
{
	tcp::socket& from = _there ? _pair->near : _pair->far;
	tcp::socket& to = _there ? _pair->far : _pair->near;
	const ProxyFault drops = _there ? ProxyFault::DropThere : ProxyFault::DropBack;
	char bytes[8192];
	while (true)
	{
		const IoResult read = awaitIo(
			[&](auto _done) { from.async_read_some(boost::asio::buffer(bytes, sizeof(bytes)), _done); });
		if (read.error)
		{
			break;
		}
		if (_proxy.fault == ProxyFault::Delay)
		{
			sleepFor(_proxy.delayMs);
		}
		if (_pair->silent || _proxy.fault == drops || _proxy.fault == ProxyFault::DropAll)
		{
			continue;
		}
		const IoResult written = awaitIo(
			[&](auto _done) { boost::asio::async_write(to, boost::asio::buffer(bytes, read.bytes), _done); });
		if (written.error)
		{
			break;
		}
	}
	boost::system::error_code ignored;
	to.shutdown(tcp::socket::shutdown_send, ignored);
	if (++_pair->halves == 2)
	{
		_pair->near.close(ignored);
		_pair->far.close(ignored);
		_proxy.pairs.remove(_pair);
	}
}

void serve(FaultProxy& _proxy, const std::shared_ptr<FaultProxy::Pair>& _pair)
{
	const tcp::endpoint target(boost::asio::ip::make_address(_proxy.target.ip), _proxy.target.port);
	const IoResult connected = awaitIo([&](auto _done) { _pair->far.async_connect(target, _done); });
	if (connected.error || _proxy.fault == ProxyFault::Refuse)
	{
		closeHard(_pair->near);
		return;
	}
	boost::system::error_code ignored;
	_pair->near.set_option(tcp::no_delay(true), ignored);
	_pair->far.set_option(tcp::no_delay(true), ignored);
	_proxy.pairs.push_back(_pair);
	spawnFiber([&_proxy, _pair] { carry(_proxy, _pair, true); });
	spawnFiber([&_proxy, _pair] { carry(_proxy, _pair, false); });
}

void acceptAll(FaultProxy& _proxy)
{
	while (_proxy.acceptor->is_open())
	{
		auto pair = std::make_shared<FaultProxy::Pair>(testIo());
		const IoResult accepted =
			awaitIo([&](auto _done) { _proxy.acceptor->async_accept(pair->near, _done); });
		if (!accepted.error)
		{
			spawnFiber([&_proxy, pair] { serve(_proxy, pair); });
		}
	}
}
} // namespace

const char* name(ProxyFault _fault)
{
	constexpr const char* kNames[] = {"none", "delay", "refuse", "drop_there", "drop_back", "drop_all"};
	return kNames[size_t(_fault)];
}

void startProxy(FaultProxy& _proxy, const std::string& _target)
{
	_proxy.target = parseEndpoint(_target);
	_proxy.acceptor = std::make_unique<tcp::acceptor>(
		testIo(), tcp::endpoint(boost::asio::ip::make_address(loopbackIp()), 0));
	_proxy.address = loopback(_proxy.acceptor->local_endpoint().port());
	spawnFiber([&_proxy] { acceptAll(_proxy); });
}

void resetConnections(FaultProxy& _proxy)
{
	const auto pairs = _proxy.pairs;
	for (const auto& pair : pairs)
	{
		closeHard(pair->near);
		closeHard(pair->far);
	}
}

void silenceConnections(FaultProxy& _proxy)
{
	for (const auto& pair : _proxy.pairs)
	{
		pair->silent = true;
	}
}

void stopProxy(FaultProxy& _proxy)
{
	boost::system::error_code ignored;
	_proxy.acceptor->close(ignored);
	resetConnections(_proxy);
}
} // namespace spanplank
