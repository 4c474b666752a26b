/// Reading of addresses.
#include "spanplank/endpoint.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "spanplank/errors.h"

namespace spanplank
{
namespace
{
TEST(Endpoint, IsReadFromAnAddressAndAPort)
{
	EXPECT_EQ(readEndpoint("10.0.0.1:8080"), (Endpoint{"10.0.0.1", 8080}));
	EXPECT_EQ(readEndpoint("::1:80"), (Endpoint{"::1", 80}));
	EXPECT_EQ(readEndpoint("0.0.0.0:0"), (Endpoint{"0.0.0.0", 0})) << "to listen anywhere";
	EXPECT_EQ(readEndpoint("10.0.0.1:65535"), (Endpoint{"10.0.0.1", 65535}));
}

// Text that one reader took was refused by the next one, or read as another address.
TEST(Endpoint, IsNotReadFromAnythingElse)
{
	using namespace std::string_view_literals;
	for (const std::string_view text : {""sv,
										":"sv,
										":80"sv,
										"10.0.0.1"sv,
										"10.0.0.1:"sv,
										"10.0.0.1:80\n"sv,
										" 10.0.0.1:80"sv,
										"10.0.0.1: 80"sv,
										"10.0.0.1:+80"sv,
										"10.0.0.1:-1"sv,
										"10.0.0.1:65536"sv,
										"10.0.0.1:8080808080808080"sv,
										"10.0.0.1:0x50"sv,
										"10.0.0.1:080"sv,
										"10.0.0.1\n:80"sv,
										"10.0.0.1\0:80"sv,
										"10.0.0.1:80\0"sv,
										"10.0.0.1\0x:80"sv,
										"10.0.0:80"sv,
										"10.0.0.256:80"sv,
										"host.example:80"sv,
										"[::1]:80"sv,
										"fe80::1%lo:80"sv,
										"http://10.0.0.1:80"sv})
	{
		EXPECT_FALSE(readEndpoint(text)) << text;
		EXPECT_THROW(parseEndpoint(text), Failure) << text;
	}
}

TEST(Endpoint, OfOneHostWithAPortIsConnectable)
{
	EXPECT_TRUE(isConnectable({"127.0.0.1", 80}));
	EXPECT_TRUE(isConnectable({"::1", 80}));
	for (const Endpoint& endpoint : {Endpoint{"10.0.0.1", 0}, Endpoint{"0.0.0.0", 80},
									 Endpoint{"224.0.0.1", 80}, Endpoint{"255.255.255.255", 80},
									 Endpoint{"::", 80}, Endpoint{"ff02::1", 80}, Endpoint{"nowhere", 80}})
	{
		EXPECT_FALSE(isConnectable(endpoint)) << endpointText(endpoint);
	}
}

RC_GTEST_PROP(Endpoint, IsReadBackFromItsText, (uint32_t _ip, uint16_t _port))
{
	const Endpoint endpoint{std::to_string(_ip >> 24) + "." + std::to_string((_ip >> 16) & 255) + "." +
								std::to_string((_ip >> 8) & 255) + "." + std::to_string(_ip & 255),
							_port};
	RC_ASSERT(readEndpoint(endpointText(endpoint)) == endpoint);
}

RC_GTEST_PROP(Endpoint, IsNotReadWithAnyByteAtEitherEnd, (char _byte))
{
	RC_PRE(_byte < '0' || _byte > '9');
	RC_ASSERT(!readEndpoint(std::string(1, _byte) + "10.0.0.1:80"));
	RC_ASSERT(!readEndpoint("10.0.0.1:80" + std::string(1, _byte)));
}
} // namespace
} // namespace spanplank
