#include "daemon_main_p.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "settings_p.h"

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this process");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace spanplank
{
int daemonMain(int _argc, char** _argv, const DaemonMain& _main)
{
	absl::SetProgramUsageMessage(_main.usage);
	absl::ParseCommandLine(_argc, _argv);
	const std::string file = absl::GetFlag(FLAGS_settings);
	if (file.empty())
	{
		fmt::print(stderr, "{}\n", _main.usage);
		return kExitUsage;
	}
	try
	{
		if (absl::GetFlag(FLAGS_check))
		{
			_main.check(file);
			fmt::print("{}: valid\n", file);
			return kExitOk;
		}
		return _main.run(file);
	}
	catch (const SettingsFailure& failure)
	{
		fmt::print(stderr, "{}\n", failure.refusal().detail);
		return kExitSettings;
	}
	catch (const std::exception& failure)
	{
		fmt::print(stderr, "{}\n", failure.what());
		return kExitFailed;
	}
}
} // namespace spanplank
