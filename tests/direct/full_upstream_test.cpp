/// One upstream that is full over all routers: requests wait for it for a short time or are refused.
#include "limited_fleet.h"

namespace spanplank
{
namespace
{
/// One upstream with one slot, at work for 20 ms on each request: 50 requests in a second.
struct FullFleet : LimitedFleet
{
	FullFleet()
	{
		for (auto& route : config["routes"])
		{
			route["target_latency_ms"] = 60;
		}
		config["version"] = config["version"].get<uint64_t>() + 1;
		setItem(store, "op/config", config.dump());
		for (size_t ii = 1; ii < places.size(); ++ii)
		{
			removeItem(store, "servers/" + places[ii]->stand.id);
		}
		setItem(store, "servers/" + places[0]->stand.id,
				json{{"service", "app"},
					 {"address", places[0]->stand.address},
					 {"zone", "hall-a"},
					 {"version", "v1"},
					 {"slots", 1},
					 {"state", "ready"}}
					.dump());
		load(kContactMs);
		countAnew();
	}

	bool isLogged(const std::string& _text) const
	{
		return std::any_of(routers.begin(), routers.end(), [&_text](const auto& _router) {
			return _router->log().find(_text) != std::string::npos;
		});
	}
};

// Twice as many requests as the upstream serves: the routers queued all there and refused none.
TEST_F(FullFleet, RequestsWaitOrAreRefusedWithATimeToComeBackAndTheUpstreamStaysBusy)
{
	constexpr uint32_t kMs = 5000;
	together({[&] { load(kMs); },
			  [&] {
				  load(kMs);
			  }});
	EXPECT_GT(refused(), 0u);
	EXPECT_EQ(refusedWithoutTime, 0u);
	EXPECT_EQ(refused() + served(), [this] {
		size_t all = 0;
		for (const auto& [status, count] : statuses)
		{
			all += count;
		}
		return all;
	}());
	EXPECT_TRUE(isLogged("event=request_waited"));
	EXPECT_TRUE(isLogged("code=\"no_room\""));
	EXPECT_GE(served(), kMs / 20 / 2) << "half of what the upstream can do";
}
} // namespace
} // namespace spanplank
