/// The proxy that the tests and the soak put before upstreams, routers and the store.
#include "fault_proxy.h"

#include <gtest/gtest.h>

#include "fiber_runtime_p.h"
#include "harness.h"
#include "ports.h"

namespace spanplank
{
namespace
{
using boost::asio::ip::tcp;

bool accepts(const std::string& _ip, uint16_t _port)
{
	tcp::socket socket(testIo());
	const tcp::endpoint address(boost::asio::ip::make_address(_ip), _port);
	return !awaitIo([&](auto _done) { socket.async_connect(address, _done); }).error;
}

// A proxy that listened on all loopback addresses took the connections that another soak run, beside it, made
// to the same port of that run's own address: the routers of one run reached the upstreams of the other.
TEST(FaultProxyTest, ListensOnTheAddressOfItsProcessAlone)
{
	tcp::acceptor target(testIo(), tcp::endpoint(boost::asio::ip::make_address(loopbackIp()), 0));
	static FaultProxy& proxy = *new FaultProxy; // Its fibers refer to it until the process ends.
	startProxy(proxy, loopback(target.local_endpoint().port()));
	const Endpoint listens = parseEndpoint(proxy.address);
	EXPECT_TRUE(accepts(loopbackIp(), listens.port));
	constexpr const char* kOtherIp = "127.255.0.1"; // No test process has it.
	ASSERT_NE(loopbackIp(), kOtherIp);
	EXPECT_FALSE(accepts(kOtherIp, listens.port));
	stopProxy(proxy);
	EXPECT_TRUE(eventually([&] { return proxy.pairs.empty(); }));
}
} // namespace
} // namespace spanplank
