/// Session tokens: forged, expired and other accounts' tokens are rejected.
#include "spanplank/session_token.h"

#include <gtest/gtest.h>

#include "spanplank/config.h"
#include "spanplank/errors.h"

namespace spanplank
{
namespace
{
const std::vector<std::string> kKeys = {"new-key-of-sixteen", "old-key-of-sixteen"};

SessionToken sample()
{
	return {"town-1", "writer@2", 3, 1000000, "abc"};
}

TEST(SessionToken, RoundTrip)
{
	const SessionToken token = verifySession(signSession(sample(), kKeys[0]), kKeys, "town-1", 1000500);
	EXPECT_EQ(token.version, "writer@2");
	EXPECT_EQ(token.generation, 3u);
	EXPECT_EQ(token.id, "abc");
}

TEST(SessionToken, OldKeyStillOpens)
{
	EXPECT_NO_THROW(verifySession(signSession(sample(), kKeys[1]), kKeys, "town-1", 1000500));
}

TEST(SessionToken, AnotherAccountsTokenIsRefused)
{
	EXPECT_THROW(verifySession(signSession(sample(), kKeys[0]), kKeys, "town-2", 1000500), Failure);
}

TEST(SessionToken, EveryChangedCharacterIsRefused)
{
	const std::string text = signSession(sample(), kKeys[0]);
	for (size_t ii = 0; ii < text.size(); ++ii)
	{
		std::string forged = text;
		forged[ii] = char(forged[ii] ^ 1);
		EXPECT_THROW(verifySession(forged, kKeys, "town-1", 1000500), Failure) << ii;
	}
}

TEST(SessionToken, UnknownKeyAndAgeAreRefused)
{
	EXPECT_THROW(verifySession(signSession(sample(), "another-key-of-16"), kKeys, "town-1", 1000500),
				 Failure);
	const int64_t late = 1000000 + kSessionLifetimeMs + 1;
	EXPECT_THROW(verifySession(signSession(sample(), kKeys[0]), kKeys, "town-1", late), Failure);
	EXPECT_THROW(verifySession("", kKeys, "town-1", 0), Failure);
	EXPECT_THROW(verifySession("a~b~c~d~e~f~g", kKeys, "town-1", 0), Failure);
}
} // namespace
} // namespace spanplank
