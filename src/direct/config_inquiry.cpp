/// Asks other routers for their configuration at a blank start, and answers such routers.
#include "config_inquiry_p.h"

#include <algorithm>
#include <vector>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/records_p.h"
#include "spanplank/peer_messages.h"
#include "store_items_p.h"

namespace spanplank
{
namespace
{
constexpr size_t kMaxAsked = 3;
constexpr uint32_t kPollMs = 5;
constexpr uint32_t kStorePollMs = 20; ///< While the store has told nothing.
/// Maximum time for links to the neighbours and for their answers.
constexpr TimeUs kAnswerTime = 400 * kMsToUs;
/// Maximum time until routers have registered again in a store that was restored without their leases.
constexpr TimeUs kRegistrationTime = 4500 * kMsToUs;

/// @returns Whether a blank start asks others. At the first start of a whole fleet none knows more than the
/// store.
bool asksNeighbours(const DirectSettings& _settings)
{
	return _settings.link.port != 0 && !_settings.firstStart;
}

/// Waits until the store or another router has told which routers are registered.
/// @returns Whether there are any. None are if no router has linked before.
bool awaitNeighbours(const DirectRouter& _router)
{
	const PeerLinks& peers = _router.peers;
	while (_router.view.firstListAt == 0 && !_router.view.listed)
	{
		sleepFor(kStorePollMs);
	}
	// This router's own earlier registration shows that the leases of the others have not been lost either.
	const bool leasesLost = !peers.key.empty() && peers.registration.value.empty();
	const TimeUs until = monotonicNow() + (leasesLost ? kRegistrationTime : 0);
	while (peers.tree.peers.empty() && monotonicNow() < until)
	{
		sleepFor(kStorePollMs);
	}
	return !peers.tree.peers.empty();
}

std::vector<std::string> chooseNeighbours(DirectRouter& _router)
{
	std::vector<std::string> boxes;
	for (const auto& [box, entry] : _router.peers.tree.peers)
	{
		boxes.push_back(box);
	}
	const size_t count = std::min(kMaxAsked, boxes.size());
	for (size_t ii = 0; ii < count; ++ii)
	{
		const size_t left = boxes.size() - ii;
		std::swap(boxes[ii], boxes[ii + std::min(left - 1, size_t(nextUnit(_router.random) * double(left)))]);
	}
	boxes.resize(count);
	return boxes;
}

void connectNeighbours(DirectRouter& _router)
{
	for (const auto& [box, state] : _router.inquiry.neighbours)
	{
		const auto peer = _router.peers.tree.peers.find(box);
		if (peer != _router.peers.tree.peers.end())
		{
			_router.peers.hub->connect(peer->second.record.address);
		}
	}
}

/// Closes the links that only the inquiry needed.
void disconnectNeighbours(DirectRouter& _router)
{
	PeerLinks& peers = _router.peers;
	for (const auto& [box, state] : _router.inquiry.neighbours)
	{
		const auto peer = peers.tree.peers.find(box);
		if (box != peers.parent && peer != peers.tree.peers.end())
		{
			peers.hub->disconnect(peer->second.record.address);
		}
	}
	for (const LinkId link : peers.hub->openLinks())
	{
		const PeerInfo* peer = peers.hub->peer(link);
		const bool asked = peer != nullptr && _router.inquiry.neighbours.count(peer->box) != 0;
		if (asked && peer->box != peers.parent && peers.loads.children.count(link.idx) == 0)
		{
			peers.hub->close(link);
		}
	}
}

void askLinked(DirectRouter& _router)
{
	for (const LinkId link : _router.peers.hub->openLinks())
	{
		const PeerInfo* peer = _router.peers.hub->peer(link);
		const auto neighbour =
			peer == nullptr ? _router.inquiry.neighbours.end() : _router.inquiry.neighbours.find(peer->box);
		if (neighbour != _router.inquiry.neighbours.end() && neighbour->second == InquiryState::Connecting)
		{
			neighbour->second = InquiryState::Asked;
			_router.peers.hub->send(link, MessageType::PeerConfigRequest,
									PeerConfigRequest{_router.config.config->version});
		}
	}
}

size_t countNeighbours(const ConfigInquiry& _inquiry, InquiryState _state)
{
	return size_t(std::count_if(_inquiry.neighbours.begin(), _inquiry.neighbours.end(),
								[_state](const auto& _neighbour) { return _neighbour.second == _state; }));
}

bool isAnswered(const ConfigInquiry& _inquiry)
{
	return countNeighbours(_inquiry, InquiryState::Answered) > 0 ||
		   countNeighbours(_inquiry, InquiryState::Unconfirmed) == _inquiry.neighbours.size();
}

void askNeighbours(DirectRouter& _router)
{
	ConfigInquiry& inquiry = _router.inquiry;
	if (!awaitNeighbours(_router))
	{
		return;
	}
	for (const std::string& box : chooseNeighbours(_router))
	{
		inquiry.neighbours[box] = InquiryState::Connecting;
	}
	const TimeUs until = monotonicNow() + kAnswerTime;
	bool connecting = false;
	while (monotonicNow() < until && !isAnswered(inquiry))
	{
		if (!connecting && _router.peers.hub != nullptr)
		{
			connecting = true;
			connectNeighbours(_router);
		}
		if (connecting)
		{
			askLinked(_router);
		}
		sleepFor(kPollMs);
	}
	if (connecting)
	{
		disconnectNeighbours(_router);
	}
}
} // namespace

void runConfigInquiry(DirectRouter& _router)
{
	ConfigInquiry& inquiry = _router.inquiry;
	if (asksNeighbours(_router.settings))
	{
		askNeighbours(_router);
	}
	inquiry.done = true;
	logEvent("config_inquiry_ended",
			 {{"asked", std::to_string(inquiry.neighbours.size())},
			  {"answered", std::to_string(countNeighbours(inquiry, InquiryState::Answered))},
			  {"unconfirmed", std::to_string(countNeighbours(inquiry, InquiryState::Unconfirmed))},
			  {"version", std::to_string(_router.config.config->version)},
			  {"after_ms", std::to_string((monotonicNow() - _router.startedAt) / kMsToUs)}});
}

void answerConfigRequest(DirectRouter& _router, LinkId _link, const PeerConfigRequest& _request)
{
	PeerConfig config;
	config.confirmed = isConfigUsable(_router);
	config.version = _router.config.config->version;
	if (config.confirmed && config.version > _request.version)
	{
		config.revision = _router.inquiry.revision;
		config.record = _router.inquiry.record;
	}
	_router.peers.hub->send(_link, MessageType::PeerConfig, config);
}

void takePeerConfig(DirectRouter& _router, LinkId _link, const PeerConfig& _config)
{
	const PeerInfo* peer = _router.peers.hub->peer(_link);
	const auto neighbour =
		peer == nullptr ? _router.inquiry.neighbours.end() : _router.inquiry.neighbours.find(peer->box);
	if (neighbour == _router.inquiry.neighbours.end())
	{
		return;
	}
	neighbour->second = _config.confirmed ? InquiryState::Answered : InquiryState::Unconfirmed;
	if (!_config.record.empty())
	{
		StoreItem item;
		item.key = platform::kConfigKey;
		item.value = _config.record;
		item.revision = _config.revision;
		takeConfigItem(_router, item);
	}
}

bool isConfigUsable(const DirectRouter& _router)
{
	return hasConfirmedConfig(_router.config) && (_router.inquiry.done || !asksNeighbours(_router.settings));
}
} // namespace spanplank
