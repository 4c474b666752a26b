/// An item of the platform's key-value store.
#ifndef SPANPLANK_STORE_ITEM_H_HEADER_GUARD
#define SPANPLANK_STORE_ITEM_H_HEADER_GUARD

#include <cstdint>
#include <string>

namespace spanplank
{
struct StoreItem
{
	std::string key;
	std::string value;
	uint64_t revision = 0; ///< Store revision of the latest change; 0: the item does not exist.
	bool deleted = false;
	bool malformed = false; ///< The value could not be decoded; `value` is empty.
};
} // namespace spanplank

#endif // SPANPLANK_STORE_ITEM_H_HEADER_GUARD
