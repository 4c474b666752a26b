/// The operators' resources in the store: one value each, written by compare-and-swap, resolved by operation
/// id when an answer was lost.
#ifndef SPANPLANK_RESOURCE_STORE_P_H_HEADER_GUARD
#define SPANPLANK_RESOURCE_STORE_P_H_HEADER_GUARD

#include <optional>

#include "spanplank/config_replica.h"
#include "store_client_p.h"

namespace spanplank
{
constexpr const char* kConfigPrefix = "config/";

struct ResourceWrite
{
	std::string kind;
	std::string name;
	nlohmann::json spec;
	bool remove = false;
	std::optional<uint64_t> expected; ///< Revision that the writer has seen; 0: must be new. None: any.
	std::string op;                   ///< Identity of this write; the same one may be sent again.
};

/// Writes one resource.
/// @returns The resource as accepted, with its revision.
/// @throws Failure RevisionConflict: certainly not accepted. StoreUnavailable with run `no`: certainly not
/// accepted; with run `unknown`: send it again with the same operation id. BadRequest: it does not hold.
Resource writeResource(StoreClient& _client, const ResourceWrite& _write);

/// @returns All resources as a full update.
ConfigUpdate readConfig(StoreClient& _client);

/// Waits for changes after a revision.
ConfigUpdate watchConfig(StoreClient& _client, uint64_t _after, uint32_t _waitMs);
} // namespace spanplank

#endif // SPANPLANK_RESOURCE_STORE_P_H_HEADER_GUARD
