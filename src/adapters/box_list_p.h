/// Adapter to the platform's lagging list of boxes.
#ifndef SPANPLANK_BOX_LIST_P_H_HEADER_GUARD
#define SPANPLANK_BOX_LIST_P_H_HEADER_GUARD

#include <string>
#include <vector>

#include "http_p.h"

namespace spanplank
{
struct BoxEntry
{
	std::string box;
	std::string role;    ///< `router` or `agent`.
	std::string address; ///< `ip:port` of its HTTP side for operators and callers.
	Endpoint link;       ///< Of its links; agents only.
	std::string hall;
	std::string pool;
	std::string state; ///< `live` or `leaving`.
};

/// @returns The boxes. Entries that can't be read are logged and left out.
/// @throws Failure if the list itself can't be read.
std::vector<BoxEntry> readBoxList(HttpClient& _client);
} // namespace spanplank

#endif // SPANPLANK_BOX_LIST_P_H_HEADER_GUARD
