/// What other routers know of the configuration, asked by a router that starts blank: the store may hold an
/// older one, if it was restored from a copy.
#ifndef SPANPLANK_CONFIG_INQUIRY_P_H_HEADER_GUARD
#define SPANPLANK_CONFIG_INQUIRY_P_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string>

#include "spanplank/types.h"

namespace spanplank
{
struct DirectRouter;
struct PeerConfig;
struct PeerConfigRequest;

/// State of one neighbour that is asked.
enum class InquiryState : uint8_t
{
	Connecting,
	Asked,
	Unconfirmed, ///< It has no confirmed configuration itself.
	Answered,
};

struct ConfigInquiry
{
	bool done = false;
	std::map<std::string, InquiryState> neighbours; ///< By box.
	/// The record of the configuration in force and its revision, for routers that ask.
	std::string record;
	uint64_t revision = 0;
};

/// Asks a few registered routers for a newer configuration than the store's, and adopts it. Until it returns,
/// the router takes no requests. Without links, without other routers, or if none answers in time, the
/// store's configuration is used.
void runConfigInquiry(DirectRouter& _router);

/// Answers a router that asks.
void answerConfigRequest(DirectRouter& _router, LinkId _link, const PeerConfigRequest& _request);

/// Takes the answer of a router that was asked.
void takePeerConfig(DirectRouter& _router, LinkId _link, const PeerConfig& _config);

/// @returns Whether the configuration in force may be used: the store has confirmed it, and the inquiry is
/// over.
bool isConfigUsable(const DirectRouter& _router);
} // namespace spanplank

#endif // SPANPLANK_CONFIG_INQUIRY_P_H_HEADER_GUARD
