#include "spanplank/session_token.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <vector>

#include "spanplank/config.h"
#include "spanplank/errors.h"
#include "spanplank/types.h"

namespace spanplank
{
namespace
{
constexpr char kSeparator = '~'; // Resource names do not contain it.
constexpr size_t kFields = 7;

std::vector<std::string_view> split(std::string_view _text)
{
	std::vector<std::string_view> fields;
	size_t start = 0;
	for (size_t end = _text.find(kSeparator); end != std::string_view::npos;
		 end = _text.find(kSeparator, start))
	{
		fields.push_back(_text.substr(start, end - start));
		start = end + 1;
	}
	fields.push_back(_text.substr(start));
	return fields;
}

std::string payload(const SessionToken& _token)
{
	std::string text = "s1";
	for (const std::string& field : {_token.account, _token.version, std::to_string(_token.generation),
									 std::to_string(_token.issuedMs), _token.id})
	{
		text.push_back(kSeparator);
		text.append(field);
	}
	return text;
}

[[noreturn]] void rejectSession(const char* _why)
{
	throw Failure(ErrorCode::SessionInvalid, _why);
}
} // namespace

std::string signSession(const SessionToken& _token, std::string_view _key)
{
	const std::string text = payload(_token);
	return text + kSeparator + hmacHex(_key, text);
}

SessionToken verifySession(std::string_view _text, absl::Span<const std::string> _keys,
						   std::string_view _account, int64_t _wallMs)
{
	const std::vector<std::string_view> fields = split(_text);
	if (fields.size() != kFields || fields[0] != "s1")
	{
		rejectSession("not a session token");
	}
	const std::string_view signedText = _text.substr(0, _text.rfind(kSeparator));
	const bool valid = std::any_of(_keys.begin(), _keys.end(), [&](const std::string& _key) {
		return equalConstantTime(hmacHex(_key, signedText), fields[6]);
	});
	if (!valid)
	{
		rejectSession("the signature is invalid");
	}
	SessionToken token;
	token.account = fields[1];
	token.version = fields[2];
	token.generation = uint32_t(std::strtoul(std::string(fields[3]).c_str(), nullptr, 10));
	token.issuedMs = std::strtoll(std::string(fields[4]).c_str(), nullptr, 10);
	token.id = fields[5];
	if (token.account != _account)
	{
		rejectSession("the session belongs to another account");
	}
	if (_wallMs > token.issuedMs + kSessionLifetimeMs)
	{
		rejectSession("the session has expired");
	}
	return token;
}
} // namespace spanplank
