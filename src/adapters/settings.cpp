/// Reads and checks settings files.
#include "settings_p.h"

#include <fmt/format.h>
#include <set>
#include <yaml-cpp/yaml.h>

namespace spanplank
{
namespace
{
constexpr size_t kMinKeySize = 16;
constexpr size_t kHashSize = 64;

std::string joinMistakes(const std::vector<SettingsMistake>& _mistakes)
{
	std::string text;
	for (const SettingsMistake& mistake : _mistakes)
	{
		text += fmt::format("{}{}:{}: {}: {}", text.empty() ? "" : "\n", mistake.file, mistake.line,
							mistake.path, mistake.what);
	}
	return text;
}

/// Reads a mapping key by key, noting mistakes instead of stopping at the first.
class Reader
{
public:
	Reader(std::string _file, const YAML::Node& _root) : m_file(std::move(_file)), m_root(_root)
	{
	}

	void text(const char* _key, std::string& _value)
	{
		const YAML::Node node = take(_key, true);
		if (node && scalar(node, _key))
		{
			_value = node.Scalar();
			if (_value.empty())
			{
				note(node, _key, "must not be empty");
			}
		}
	}

	void choice(const char* _key, std::string& _value, const std::set<std::string>& _choices)
	{
		const YAML::Node node = take(_key, false);
		if (!node || !scalar(node, _key))
		{
			return;
		}
		_value = node.Scalar();
		if (_choices.count(_value) == 0)
		{
			note(node, _key, fmt::format("must be one of {}", fmt::join(_choices, ", ")));
		}
	}

	void address(const char* _key, Endpoint& _value, bool _required = true)
	{
		const YAML::Node node = take(_key, _required);
		if (!node || !scalar(node, _key))
		{
			return;
		}
		try
		{
			_value = parseEndpoint(node.Scalar());
		}
		catch (const Failure& failure)
		{
			note(node, _key, failure.refusal().detail);
		}
	}

	void number(const char* _key, uint32_t& _value, uint32_t _least, uint32_t _most)
	{
		const YAML::Node node = take(_key, false);
		if (!node || !scalar(node, _key))
		{
			return;
		}
		int64_t read = -1;
		if (!YAML::convert<int64_t>::decode(node, read) || read < int64_t(_least) || read > int64_t(_most))
		{
			note(node, _key, fmt::format("must be a whole number from {} to {}", _least, _most));
			return;
		}
		_value = uint32_t(read);
	}

	void decimal(const char* _key, double& _value, double _least, double _most)
	{
		const YAML::Node node = take(_key, false);
		if (!node || !scalar(node, _key))
		{
			return;
		}
		double read = 0.0;
		if (!YAML::convert<double>::decode(node, read) || !(read >= _least && read <= _most))
		{
			note(node, _key, fmt::format("must be a number from {} to {}", _least, _most));
			return;
		}
		_value = read;
	}

	/// Seconds in the file, milliseconds in the settings.
	void seconds(const char* _key, uint32_t& _valueMs, double _least, double _most)
	{
		double value = double(_valueMs) / 1000.0;
		decimal(_key, value, _least, _most);
		_valueMs = uint32_t(value * 1000.0);
	}

	void flag(const char* _key, bool& _value)
	{
		const YAML::Node node = take(_key, false);
		if (node && !YAML::convert<bool>::decode(node, _value))
		{
			note(node, _key, "must be true or false");
		}
	}

	void texts(const char* _key, std::vector<std::string>& _values, bool _required, size_t _leastSize,
			   const char* _rule)
	{
		const YAML::Node node = take(_key, _required);
		if (!node)
		{
			return;
		}
		if (!node.IsSequence() || (_required && node.size() == 0))
		{
			note(node, _key, "must be a list with at least one entry");
			return;
		}
		for (size_t ii = 0; ii < node.size(); ++ii)
		{
			const std::string value = node[ii].IsScalar() ? node[ii].Scalar() : "";
			if (value.size() < _leastSize)
			{
				note(node[ii], fmt::format("{}[{}]", _key, ii), _rule);
			}
			_values.push_back(value);
		}
	}

	/// A list of the policies that are off.
	void policies(const char* _key, Policies& _value)
	{
		const YAML::Node node = take(_key, false);
		if (!node)
		{
			return;
		}
		std::vector<std::string> names;
		if (!YAML::convert<std::vector<std::string>>::decode(node, names))
		{
			note(node, _key, "must be a list of names");
			return;
		}
		try
		{
			disablePolicies(_value, names);
		}
		catch (const Failure& failure)
		{
			note(node, _key, failure.refusal().detail);
		}
	}

	void names(const char* _key, std::map<std::string, std::string>& _values)
	{
		const YAML::Node node = take(_key, false);
		if (!node || node.IsNull())
		{
			return;
		}
		if (!node.IsMap())
		{
			note(node, _key, "must be a mapping of names to names");
			return;
		}
		for (const auto& item : node)
		{
			if (!item.second.IsScalar())
			{
				note(item.second, fmt::format("{}.{}", _key, item.first.Scalar()), "must be a single value");
				continue;
			}
			_values[item.first.Scalar()] = item.second.Scalar();
		}
	}

	void numbers(const char* _key, std::map<std::string, uint32_t>& _values, uint32_t _most)
	{
		const YAML::Node node = take(_key, false);
		if (!node)
		{
			return;
		}
		if (!node.IsMap())
		{
			note(node, _key, "must be a mapping of names to numbers");
			return;
		}
		for (const auto& item : node)
		{
			int64_t read = -1;
			const std::string path = fmt::format("{}.{}", _key, item.first.Scalar());
			if (!item.second.IsScalar() || !YAML::convert<int64_t>::decode(item.second, read) || read < 0 ||
				read > int64_t(_most))
			{
				note(item.second, path, fmt::format("must be a whole number from 0 to {}", _most));
				continue;
			}
			_values[item.first.Scalar()] = uint32_t(read);
		}
	}

	/// Notes keys that nothing has read.
	/// @throws SettingsFailure if there are mistakes.
	void finish()
	{
		for (const auto& item : m_root)
		{
			const std::string key = item.first.Scalar();
			if (m_read.count(key) == 0)
			{
				note(item.first, key, "unknown key");
			}
		}
		if (!m_mistakes.empty())
		{
			throw SettingsFailure(m_mistakes);
		}
	}

private:
	YAML::Node take(const char* _key, bool _required)
	{
		m_read.insert(_key);
		const YAML::Node node = m_root[_key];
		if (!node && _required)
		{
			note(m_root, _key, "is missing");
		}
		return node ? node : YAML::Node(YAML::NodeType::Undefined);
	}

	bool scalar(const YAML::Node& _node, const char* _key)
	{
		if (!_node.IsScalar())
		{
			note(_node, _key, "must be a single value");
			return false;
		}
		return true;
	}

	void note(const YAML::Node& _node, const std::string& _path, const std::string& _what)
	{
		m_mistakes.push_back({m_file, _node.Mark().line + 1, _path, _what});
	}

	std::string m_file;
	YAML::Node m_root;
	std::set<std::string> m_read;
	std::vector<SettingsMistake> m_mistakes;
};

YAML::Node loadRoot(const std::string& _file)
{
	try
	{
		YAML::Node root = YAML::LoadFile(_file);
		if (root.IsMap())
		{
			return root;
		}
		throw SettingsFailure({{_file, 1, "", "must be a mapping"}});
	}
	catch (const YAML::ParserException& failure)
	{
		throw SettingsFailure({{_file, failure.mark.line + 1, "", failure.msg}});
	}
	catch (const YAML::BadFile&)
	{
		throw SettingsFailure({{_file, 0, "", "cannot be read"}});
	}
}

void readCommon(Reader& _reader, CommonSettings& _common)
{
	_reader.text("box", _common.box);
	_reader.text("hall", _common.hall);
	_reader.address("listen", _common.listen);
	_reader.address("store", _common.store);
	_reader.address("boxList", _common.boxList);
	_reader.texts("linkKeys", _common.linkKeys, true, kMinKeySize, "must have at least 16 characters");
	_reader.number("drainMs", _common.drainMs, 0, 600000);
	_reader.number("balancerMs", _common.balancerMs, 0, 60000);
	_reader.number("memoryMb", _common.memoryMb, 16, 1u << 20);
}
} // namespace

SettingsFailure::SettingsFailure(std::vector<SettingsMistake> _mistakes)
	: Failure(ErrorCode::BadRequest, joinMistakes(_mistakes)), m_mistakes(std::move(_mistakes))
{
}

RouterSettings loadRouterSettings(const std::string& _file)
{
	Reader reader(_file, loadRoot(_file));
	RouterSettings settings;
	readCommon(reader, settings.common);
	reader.texts("sessionKeys", settings.sessionKeys, true, kMinKeySize, "must have at least 16 characters");
	reader.texts("operatorTokens", settings.operatorTokens, false, kHashSize, "must be a SHA-256 in hex");
	reader.numbers("kinds", settings.kinds, 9);
	reader.choice("routing", settings.routing, {"load", "round-robin"});
	reader.number("maxBodyBytes", settings.maxBodyBytes, 1024, 64u << 20);
	reader.number("slowCallerMs", settings.slowCallerMs, 100, 600000);
	reader.number("watchers", settings.watchers, 1, 100);
	reader.number("routersPerAgent", settings.routersPerAgent, 0, 1000);
	reader.finish();
	return settings;
}

bool isDirect(const std::string& _file)
{
	const YAML::Node upstreams = loadRoot(_file)["upstreams"];
	return upstreams && upstreams.IsScalar() && upstreams.Scalar() == "direct";
}

DirectSettings loadDirectSettings(const std::string& _file)
{
	constexpr uint32_t kHourMs = 3600000;
	Reader reader(_file, loadRoot(_file));
	DirectSettings settings;
	std::string upstreams;
	reader.choice("upstreams", upstreams, {"direct"});
	reader.text("box", settings.box);
	reader.text("hall", settings.hall);
	reader.names("regions", settings.regions);
	reader.address("listen", settings.listen);
	reader.address("readiness", settings.readiness);
	reader.address("metrics", settings.metrics);
	reader.address("store", settings.store);
	reader.address("link", settings.link, false);
	reader.address("linkAnnounced", settings.linkAnnounced, false);
	reader.flag("firstStart", settings.firstStart);
	reader.seconds("graceSeconds", settings.graceMs, 0.1, 3600.0);
	reader.number("revokeMs", settings.revokeMs, 100, kHourMs);
	reader.flag("revocationFailClosed", settings.revocationFailClosed);
	reader.seconds("retryWindowSeconds", settings.retryWindowMs, 0.1, 3600.0);
	reader.decimal("retryRatio", settings.retryRatio, 0.0, 100.0);
	reader.decimal("exposureShare", settings.exposureShare, 0.0, 1.0);
	reader.number("leaveMs", settings.leaveMs, 100, kHourMs);
	reader.number("heartbeatMs", settings.heartbeatMs, 10, kHourMs);
	reader.number("watchPauseMs", settings.watchPauseMs, 0, 30000);
	reader.number("configWaitMs", settings.configWaitMs, 50, 30000);
	reader.decimal("processorShare", settings.capacity.cores, 0.001, 1024.0);
	reader.number("memoryMb", settings.memoryMb, 16, 1u << 20);
	reader.decimal("linkMbps", settings.capacity.linkMbps, 0.1, 1000000.0);
	reader.address("duties", settings.duties, false);
	uint32_t leaseMs = uint32_t(settings.dutyBounds.lease / kMsToUs);
	uint32_t windowMs = uint32_t(settings.dutyBounds.window / kMsToUs);
	uint32_t lateMs = uint32_t(settings.dutyBounds.maxReportDelay / kMsToUs);
	reader.number("dutyLeaseMs", leaseMs, 100, kHourMs);
	reader.seconds("usageWindowSeconds", windowMs, 0.1, 3600.0);
	reader.seconds("usageLateSeconds", lateMs, 0.1, 3600.0);
	settings.dutyBounds = {TimeUs(leaseMs) * kMsToUs, TimeUs(windowMs) * kMsToUs, TimeUs(lateMs) * kMsToUs};
	reader.decimal("coldOvershoot", settings.coldBounds.overshoot, 0.0, 1000.0);
	reader.decimal("coldSlack", settings.coldBounds.slack, 0.0, 1000000.0);
	reader.policies("policiesOff", settings.policies);
	reader.finish();
	return settings;
}

AgentSettings loadAgentSettings(const std::string& _file)
{
	Reader reader(_file, loadRoot(_file));
	AgentSettings settings;
	readCommon(reader, settings.common);
	reader.text("pool", settings.pool);
	reader.address("link", settings.link);
	reader.address("upstream", settings.upstream);
	reader.address("ratings", settings.ratings, false);
	reader.texts("versions", settings.versions, false, 1, "must not be empty");
	reader.texts("services", settings.services, false, 1, "must not be empty");
	reader.number("slots", settings.slots, 1, 100000);
	reader.number("kvTokens", settings.kvTokens, 1, UINT32_MAX);
	reader.number("maxQueued", settings.maxQueued, 0, 1000000);
	reader.number("upstreamTimeoutMs", settings.upstreamTimeoutMs, 10, 3600000);
	reader.number("grantSize", settings.grantSize, 1, 10000);
	reader.flag("askSuccessor", settings.askSuccessor);
	reader.flag("judgeTwice", settings.judgeTwice);
	reader.flag("boundExposure", settings.boundExposure);
	reader.finish();
	return settings;
}
} // namespace spanplank
