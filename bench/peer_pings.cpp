/// Processor time of one ping of a follower and its answer, at the router that is followed: decoding, sums of
/// loads, homes, encoding, and both codes of authentication; without the sockets.
///
/// usage: peer_pings [--upstreams=180] [--followers=20] [--rate=885]
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <ctime>
#include <fmt/format.h>
#include <vector>

#include "spanplank/load_share.h"
#include "spanplank/peer_messages.h"

ABSL_FLAG(uint32_t, upstreams, 180, "upstreams of the fleet");
ABSL_FLAG(uint32_t, followers, 20, "routers that follow the one that is measured");
ABSL_FLAG(double, rate, 885.0, "requests of the fleet, a second");

namespace
{
using namespace spanplank;
using nlohmann::json;

constexpr double kPingSeconds = 0.06;   ///< As in `peer_links.cpp`.
constexpr uint32_t kRounds = 2000;      ///< Pings of each follower.
constexpr double kPartsOfRequest = 1.5; ///< Homes that a request tells.
constexpr size_t kMacBytes = 16;
const std::string kKey = "a-link-key-of-32-characters-1234";

double processorSeconds()
{
	timespec now{};
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return double(now.tv_sec) + double(now.tv_nsec) * 1e-9;
}

template <typename Message>
std::string encodeFrame(const Message& _message)
{
	std::string payload = hmacBytes(kKey, "placeholder").substr(0, kMacBytes);
	json::to_cbor(json(_message), nlohmann::detail::output_adapter<char>(payload));
	const std::string mac = hmacBytes(kKey, std::string_view(payload).substr(kMacBytes));
	return payload.replace(0, kMacBytes, mac, 0, kMacBytes);
}

template <typename Message>
Message decodeFrame(const std::string& _payload)
{
	hmacBytes(kKey, std::string_view(_payload).substr(kMacBytes));
	return json::from_cbor(_payload.begin() + kMacBytes, _payload.end()).get<Message>();
}

/// What one follower's subtree sends in the time between two pings.
PeerPing nextPing(uint64_t _seq, double _requests, uint32_t _upstreams, Random& _random)
{
	PeerPing ping;
	ping.seq = _seq;
	for (double left = _requests; left > nextUnit(_random); left -= 1.0)
	{
		const uint32_t upstream = uint32_t(nextUnit(_random) * _upstreams);
		const UpstreamKey key = keyOf(fmt::format("upstream-{}", upstream));
		ping.loads.push_back({key, {int32_t(nextUnit(_random) * 300.0), 1}});
		if (nextUnit(_random) < kPartsOfRequest - 1.0)
		{
			ping.homes.push_back({uint64_t(nextUnit(_random) * 1e15), key});
		}
		ping.homes.push_back({uint64_t(nextUnit(_random) * 1e15), key});
	}
	return ping;
}

/// The router that is measured.
struct Parent
{
	UpstreamTable table;
	LoadShare loads;
	HomeShare homes;
};

std::string answer(Parent& _parent, uint32_t _link, const std::string& _frame, TimeUs _now)
{
	const PeerPing ping = decodeFrame<PeerPing>(_frame);
	NeighbourLoad& child = _parent.loads.children[_link];
	applyLoads(_parent.loads, child, ping.loads, _now);
	updateOwnLoad(_parent.loads, _parent.table);
	applyHomes(_parent.homes, _parent.table, _link, ping.homes, _now);
	PeerPong pong;
	pong.seq = ping.seq;
	pong.loads = loadChangesFor(_parent.loads, child);
	pong.homes = homesForChild(_parent.homes, _link);
	return encodeFrame(pong);
}

void measure(uint32_t _upstreams, uint32_t _followers, double _rate)
{
	Parent parent;
	for (uint32_t idx = 0; idx < _upstreams; ++idx)
	{
		registerUpstream(parent.table,
						 {fmt::format("upstream-{}", idx), "llm", {"10.0.0.1", 80}, "hall", "v1", 16, false});
	}
	Random random;
	const double requests = _rate * kPingSeconds / double(_followers);
	double used = 0.0;
	size_t bytes = 0;
	for (uint32_t round = 1; round <= kRounds; ++round)
	{
		const TimeUs now = TimeUs(round * kPingSeconds * 1e6);
		applyPeerLoads(parent.loads, parent.table, now);
		for (uint32_t link = 0; link < _followers; ++link)
		{
			const std::string frame = encodeFrame(nextPing(round, requests, _upstreams, random));
			const double begin = processorSeconds();
			bytes += answer(parent, link, frame, now).size();
			used += processorSeconds() - begin;
		}
	}
	const double pings = double(kRounds) * _followers;
	const double each = used / pings;
	fmt::print("{} upstreams, {} followers, {:.0f} requests a second: {:.1f} us a ping, {:.4f} of a core, "
			   "{:.0f} bytes an answer\n",
			   _upstreams, _followers, _rate, each * 1e6, each * _followers / kPingSeconds,
			   double(bytes) / pings);
}
} // namespace

int main(int _argc, char** _argv)
{
	absl::ParseCommandLine(_argc, _argv);
	measure(absl::GetFlag(FLAGS_upstreams), absl::GetFlag(FLAGS_followers), absl::GetFlag(FLAGS_rate));
	return 0;
}
