#include "box_list_p.h"

#include <nlohmann/json.hpp>

#include "log_p.h"
#include "spanplank/json_text.h"

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
	const std::vector<std::string_view> entries = jsonElements(response.body);
	if (response.status != 200 || (entries.empty() && !readJson(response.body).is_array()))
	{
		throw Failure(ErrorCode::Internal, "the box list answered " + std::to_string(response.status));
	}
	std::vector<BoxEntry> boxes;
	for (const std::string_view entry : entries)
	{
		try
		{
			boxes.push_back(decodeBox(parseJson(entry)));
		}
		catch (const std::exception& failure)
		{
			logEvent("box_rejected",
					 {{"entry", std::string(entry.substr(0, kMostLoggedBox))}, {"error", failure.what()}});
		}
	}
	return boxes;
}
} // namespace spanplank
