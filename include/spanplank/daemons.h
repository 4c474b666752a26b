/// Entry points of the processes. The programs under tools/ only parse the command line.
#ifndef SPANPLANK_DAEMONS_H_HEADER_GUARD
#define SPANPLANK_DAEMONS_H_HEADER_GUARD

#include <string>

namespace spanplank
{
/// Runs a router until SIGTERM. @param[in] _settingsFile Path of a YAML file. @returns The exit code.
/// @throws SettingsFailure
int runRouter(const std::string& _settingsFile);

/// Runs a router that calls the upstreams itself, until SIGTERM.
/// @param[in] _settingsFile Path of a YAML file with `upstreams: direct`. @returns The exit code.
/// @throws SettingsFailure
int runDirectRouter(const std::string& _settingsFile);

/// Runs an agent until SIGTERM. @param[in] _settingsFile Path of a YAML file. @returns The exit code.
/// @throws SettingsFailure
int runAgent(const std::string& _settingsFile);

/// Checks a settings file without running the process. @throws SettingsFailure
void checkRouterSettings(const std::string& _settingsFile);
void checkAgentSettings(const std::string& _settingsFile);
} // namespace spanplank

#endif // SPANPLANK_DAEMONS_H_HEADER_GUARD
