/// One item of the platform's key-value store.
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
	uint64_t revision = 0; ///< Store revision of its latest change; 0: absent.
	bool deleted = false;
	bool garbled = false; ///< Its value could not be read, and is empty here.
};
} // namespace spanplank

#endif // SPANPLANK_STORE_ITEM_H_HEADER_GUARD
