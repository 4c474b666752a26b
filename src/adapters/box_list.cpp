#include "box_list_p.h"

#include <nlohmann/json.hpp>

#include "log_p.h"

namespace spanplank
{
namespace
{
constexpr size_t kMostLoggedBox = 200;

std::string textOf(const nlohmann::json& _box, const char* _name, const char* _default = "")
{
	const auto found = _box.find(_name);
	return found == _box.end() ? _default : found->get<std::string>();
}

/// @throws std::exception if the entry can't be read.
BoxEntry decodeBox(const nlohmann::json& _box)
{
	BoxEntry entry{textOf(_box, "box"),  textOf(_box, "role"), textOf(_box, "address"),      {},
				   textOf(_box, "hall"), textOf(_box, "pool"), textOf(_box, "state", "live")};
	if (entry.box.empty())
	{
		throw Failure(ErrorCode::BadRequest, "the box has no name");
	}
	if (entry.role == "agent")
	{
		entry.link = parseEndpoint(textOf(_box, "link"));
		if (!isConnectable(entry.link))
		{
			throw Failure(ErrorCode::BadRequest, "the link is not the address of a process");
		}
	}
	return entry;
}
} // namespace

std::vector<BoxEntry> readBoxList(HttpClient& _client)
{
	HttpCall request;
	request.method = "GET";
	request.target = "/boxes";
	request.timeoutMs = 1000;
	const HttpResponse response = call(_client, request);
	const nlohmann::json list = nlohmann::json::parse(response.body, nullptr, false);
	if (response.status != 200 || !list.is_array())
	{
		throw Failure(ErrorCode::Internal, "the box list answered " + std::to_string(response.status));
	}
	std::vector<BoxEntry> boxes;
	for (const nlohmann::json& item : list)
	{
		try
		{
			boxes.push_back(decodeBox(item));
		}
		catch (const std::exception& failure)
		{
			const std::string text = item.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
			logEvent("box_rejected", {{"entry", text.substr(0, kMostLoggedBox)}, {"error", failure.what()}});
		}
	}
	return boxes;
}
} // namespace spanplank
