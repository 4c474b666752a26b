/// A TCP proxy on loopback that harms what passes through it.
#ifndef SPANPLANK_TESTS_FAULT_PROXY_H_HEADER_GUARD
#define SPANPLANK_TESTS_FAULT_PROXY_H_HEADER_GUARD

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "http_p.h"

namespace spanplank
{
enum class ProxyFault : uint8_t
{
	None,
	Delay,     ///< Each piece waits for `delayMs`.
	Refuse,    ///< New connections are closed at once.
	DropThere, ///< Bytes towards the target vanish; the other way is open.
	DropBack,  ///< Bytes from the target vanish.
	DropAll,   ///< Both.
};

const char* name(ProxyFault _fault);

/// Lives as long as its connections; closing it resets them.
struct FaultProxy
{
	struct Pair
	{
		explicit Pair(boost::asio::io_context& _io) : near(_io), far(_io)
		{
		}
		boost::asio::ip::tcp::socket near;
		boost::asio::ip::tcp::socket far;
		int halves = 0;
		bool silent = false; ///< Its bytes vanish both ways.
	};

	Endpoint target;
	std::string address; ///< Where it listens.
	std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
	std::list<std::shared_ptr<Pair>> pairs;
	ProxyFault fault = ProxyFault::None;
	uint32_t delayMs = 0;
};

void startProxy(FaultProxy& _proxy, const std::string& _target);
/// Resets all open connections.
void resetConnections(FaultProxy& _proxy);
/// Open connections stay open and say nothing more; new ones are sound.
void silenceConnections(FaultProxy& _proxy);
void stopProxy(FaultProxy& _proxy);
} // namespace spanplank

#endif // SPANPLANK_TESTS_FAULT_PROXY_H_HEADER_GUARD
