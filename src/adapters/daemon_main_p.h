/// The command line that the daemons share.
#ifndef SPANPLANK_DAEMON_MAIN_P_H_HEADER_GUARD
#define SPANPLANK_DAEMON_MAIN_P_H_HEADER_GUARD

#include <functional>
#include <string>

namespace spanplank
{
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;   ///< It ran and failed.
constexpr int kExitUsage = 2;    ///< The command line is wrong.
constexpr int kExitSettings = 3; ///< The settings don't hold.

struct DaemonMain
{
	const char* usage;
	std::function<int(const std::string&)> run;
	std::function<void(const std::string&)> check;
};

/// Reads `--settings` and `--check` and runs. @returns The exit code.
int daemonMain(int _argc, char** _argv, const DaemonMain& _main);
} // namespace spanplank

#endif // SPANPLANK_DAEMON_MAIN_P_H_HEADER_GUARD
