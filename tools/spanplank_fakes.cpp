/// spanplank-fakes: stand-ins for the platform, the engines and the plain services.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <fmt/format.h>
#include <memory>
#include <unistd.h>

#include "daemon_main_p.h"
#include "fakes.h"

ABSL_FLAG(std::string, platform, "127.0.0.1:0", "ip:port of the store, box list and ratings");
ABSL_FLAG(std::vector<std::string>, engines, {}, "ip:port of each engine");
ABSL_FLAG(std::vector<std::string>, services, {}, "ip:port of each plain service");
ABSL_FLAG(double, token_ms, 2.0, "milliseconds that an engine takes for each token");
ABSL_FLAG(uint32_t, slots, 8, "requests that an engine batches at once");

namespace
{
using namespace spanplank;

struct Fakes
{
	boost::asio::io_context io;
	FakePlatform platform;
	std::vector<std::unique_ptr<FakeEngine>> engines;
	std::vector<std::unique_ptr<FakeService>> services;
};

void startAll(Fakes& _fakes)
{
	startFakePlatform(_fakes.io, _fakes.platform, parseEndpoint(absl::GetFlag(FLAGS_platform)));
	for (const std::string& address : absl::GetFlag(FLAGS_engines))
	{
		auto engine = std::make_unique<FakeEngine>();
		engine->platform = &_fakes.platform;
		engine->tokenMs = absl::GetFlag(FLAGS_token_ms);
		engine->slots = absl::GetFlag(FLAGS_slots);
		startFakeEngine(_fakes.io, *engine, parseEndpoint(address));
		_fakes.engines.push_back(std::move(engine));
	}
	for (const std::string& address : absl::GetFlag(FLAGS_services))
	{
		auto service = std::make_unique<FakeService>();
		startFakeService(_fakes.io, *service, parseEndpoint(address));
		_fakes.services.push_back(std::move(service));
	}
}
} // namespace

int main(int _argc, char** _argv)
{
	absl::SetProgramUsageMessage("spanplank-fakes: stand-ins that take fault commands at POST /fault.\n"
								 "usage: spanplank-fakes --platform IP:PORT --engines IP:PORT,... "
								 "--services IP:PORT,...");
	absl::ParseCommandLine(_argc, _argv);
	std::signal(SIGPIPE, SIG_IGN);
	auto* fakes = new Fakes; // Lives as long as the process.
	installFiberScheduler(fakes->io);
	try
	{
		startAll(*fakes);
	}
	catch (const std::exception& failure)
	{
		fmt::print(stderr, "{}\n", failure.what());
		return kExitFailed;
	}
	boost::asio::signal_set signals(fakes->io, SIGTERM, SIGINT);
	awaitIo([&signals](auto _done) {
		signals.async_wait([_done](boost::system::error_code _error, int) mutable { _done(_error); });
	});
	std::fflush(nullptr);
	::_exit(kExitOk);
}
