/// What routers keep in the store for each other: the shared key of their links and their registrations.
#ifndef SPANPLANK_PEER_REGISTRATION_P_H_HEADER_GUARD
#define SPANPLANK_PEER_REGISTRATION_P_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "spanplank/errors.h"
#include "spanplank/peer_messages.h"
#include "spanplank/types.h"
#include "store_client_p.h"

namespace spanplank
{
struct DirectRouter;

constexpr std::string_view kPeerPrefix = "spanplank/router/";   ///< Registered routers, by box.
constexpr std::string_view kLinkKeyItem = "spanplank/link-key"; ///< Shared key of the links.

/// This router's own registration.
struct PeerRegistration
{
	uint64_t revision = 0; ///< Of its item in the store; 0: there is none.
	std::string value;     ///< Of that item.
	/// Of that item as this process wrote it last, under its own lease; 0: it has not. Any other revision is
	/// another router's write, or an earlier process's, and goes with that one's lease.
	uint64_t ownRevision = 0;
	TimeUs standsSince = 0; ///< When this process first knew that it stands in the store; 0: it does not.
	uint64_t lease = 0;     ///< Taken by this process; 0: none.
	TimeUs renewedAt = 0;
	LinkId toldOver; ///< Link over which the parent was asked last to keep it; invalid: none was.
	TimeUs toldAt = 0;
	uint32_t asks = 0;   ///< In a row, without it standing.
	TimeUs parentAt = 0; ///< When a parent was last seen to answer.
	/// Registrations of followers that are to be written, by box. One over a new link is written also if it
	/// stands: the lease that it stands under may be another router's.
	std::map<std::string, std::string> wanted;
	uint32_t failures = 0; ///< Of calls for it, in a row.
	TimeUs retryAt = 0;    ///< No such call before.
};

/// Writes a new shared key unless there is one, and reads the one that stands.
/// @throws Failure(StoreUnavailable)
void writeLinkKey(DirectRouter& _router);

/// Keeps this router's registration in the store: the parent is asked for it, and without one it is written
/// here. Writes those of the followers, and renews the lease in time.
/// @throws Failure(StoreUnavailable)
void keepRegistered(DirectRouter& _router);

/// A follower asks for its registration.
void takePeerRegister(DirectRouter& _router, const PeerRegistrationRequest& _register);

/// The store has lost all leases: this router's is taken anew, from a moment on.
void forgetOwnLease(DirectRouter& _router, TimeUs _from);

/// A call of `writeLinkKey` or `keepRegistered` failed: the next one waits.
void noteNotRegistered(DirectRouter& _router, const Failure& _failure);

/// Takes the shared key or the registration of a router from the store.
void takePeerItem(DirectRouter& _router, const StoreItem& _item);

/// All registrations were listed: drops the routers that are not among them.
void keepListedPeers(DirectRouter& _router, const StoreList& _list);

} // namespace spanplank

#endif // SPANPLANK_PEER_REGISTRATION_P_H_HEADER_GUARD
