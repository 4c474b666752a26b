#include "spanplank/types.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace spanplank
{
namespace
{
std::string toHex(const unsigned char* _bytes, size_t _size)
{
	static constexpr char kDigits[] = "0123456789abcdef";
	std::string hex;
	hex.reserve(_size * 2);
	for (size_t ii = 0; ii < _size; ++ii)
	{
		hex.push_back(kDigits[_bytes[ii] >> 4]);
		hex.push_back(kDigits[_bytes[ii] & 15]);
	}
	return hex;
}
} // namespace

uint64_t stableHash(std::string_view _bytes, uint64_t _seed)
{
	return XXH3_64bits_withSeed(_bytes.data(), _bytes.size(), _seed);
}

std::string sha256Hex(std::string_view _bytes)
{
	unsigned char digest[EVP_MAX_MD_SIZE];
	unsigned int size = 0;
	EVP_Digest(_bytes.data(), _bytes.size(), digest, &size, EVP_sha256(), nullptr);
	return toHex(digest, size);
}

std::string hmacBytes(std::string_view _key, std::string_view _bytes)
{
	unsigned char digest[EVP_MAX_MD_SIZE];
	unsigned int size = 0;
	HMAC(EVP_sha256(), _key.data(), int(_key.size()), reinterpret_cast<const unsigned char*>(_bytes.data()),
		 _bytes.size(), digest, &size);
	return std::string(reinterpret_cast<const char*>(digest), size);
}

std::string hmacHex(std::string_view _key, std::string_view _bytes)
{
	const std::string digest = hmacBytes(_key, _bytes);
	return toHex(reinterpret_cast<const unsigned char*>(digest.data()), digest.size());
}

bool equalConstantTime(std::string_view _a, std::string_view _b)
{
	return _a.size() == _b.size() && CRYPTO_memcmp(_a.data(), _b.data(), _a.size()) == 0;
}

uint64_t nextRandom(Random& _random)
{
	_random.state += 0x9e3779b97f4a7c15ull;
	uint64_t bits = _random.state;
	bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ull;
	bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebull;
	return bits ^ (bits >> 31);
}

double nextUnit(Random& _random)
{
	return double(nextRandom(_random) >> 11) * 0x1.0p-53;
}
} // namespace spanplank
