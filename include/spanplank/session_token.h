/// Session tokens: a session carries its version itself, signed, so that any entry box can keep it there.
#ifndef SPANPLANK_SESSION_TOKEN_H_HEADER_GUARD
#define SPANPLANK_SESSION_TOKEN_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace spanplank
{
struct SessionToken
{
	std::string account;
	std::string version;
	uint32_t generation = 0;
	int64_t issuedMs = 0; ///< Wall time, milliseconds since 1970.
	std::string id;       ///< Random, so that two sessions differ.
};

/// @param[in] _key The signing key. @returns The token as header text.
std::string signSession(const SessionToken& _token, std::string_view _key);

/// @param[in] _keys Keys that are valid now, newest first, so that they can be rotated.
/// @param[in] _account The account that presents it.
/// @throws Failure(SessionInvalid) unless signed, unexpired and the account's own.
SessionToken openSession(std::string_view _text, absl::Span<const std::string> _keys,
						 std::string_view _account, int64_t _wallMs);
} // namespace spanplank

#endif // SPANPLANK_SESSION_TOKEN_H_HEADER_GUARD
