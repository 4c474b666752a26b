/// Session tokens: a signed token carries the session's version, so that any entry box can keep the session
/// on that version.
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
	int64_t issuedMs = 0; ///< Wall time in milliseconds since 1970.
	std::string id;       ///< Random, so that the tokens of two sessions differ.
};

/// @param[in] _key The signing key. @returns The token as the value of an HTTP header.
std::string signSession(const SessionToken& _token, std::string_view _key);

/// Verifies and decodes a token.
/// @param[in] _keys Valid signing keys, newest first; more than one during a key rotation.
/// @param[in] _account The account that presents the token.
/// @param[in] _wallMs Wall time in milliseconds since 1970.
/// @throws Failure(SessionInvalid) if the token is malformed, its signature is wrong, it belongs to another
/// account or has expired.
SessionToken verifySession(std::string_view _text, absl::Span<const std::string> _keys,
						   std::string_view _account, int64_t _wallMs);
} // namespace spanplank

#endif // SPANPLANK_SESSION_TOKEN_H_HEADER_GUARD
