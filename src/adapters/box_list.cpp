#include "box_list_p.h"

#include <nlohmann/json.hpp>

namespace spanplank
{
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
		boxes.push_back({item.value("box", ""), item.value("role", ""), item.value("address", ""),
						 item.value("link", ""), item.value("hall", ""), item.value("pool", ""),
						 item.value("state", "live")});
	}
	return boxes;
}
} // namespace spanplank
