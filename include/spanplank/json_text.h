/// Reads JSON that others have written.
#ifndef SPANPLANK_JSON_TEXT_H_HEADER_GUARD
#define SPANPLANK_JSON_TEXT_H_HEADER_GUARD

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace spanplank
{
/// Levels to which JSON may be nested. Copying, comparing and writing a value take a call for each level, and
/// the stack of a fiber is small.
constexpr size_t kMaxJsonDepth = 100;

/// @returns What a text holds; discarded if it is not JSON, is nested deeper than `kMaxJsonDepth`, or has a
/// number that is out of range.
nlohmann::json readJson(std::string_view _text);

/// The same. @throws nlohmann::json::exception in place of a discarded value.
nlohmann::json parseJson(std::string_view _text);

/// Splits an array, so that an element that can't be read spoils no other.
/// @returns The texts of its elements, which need not be JSON; empty if the text is no array.
std::vector<std::string_view> jsonElements(std::string_view _array);
} // namespace spanplank

#endif // SPANPLANK_JSON_TEXT_H_HEADER_GUARD
