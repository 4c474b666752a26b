/// Upstreams of one service that answer by the number of the arrival, whichever of them a router chooses.
#ifndef SPANPLANK_TESTS_DIRECT_SCRIPTED_ARRIVALS_H_HEADER_GUARD
#define SPANPLANK_TESTS_DIRECT_SCRIPTED_ARRIVALS_H_HEADER_GUARD

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "direct_harness.h"

namespace spanplank
{
struct ScriptedArrivals
{
	using Answer = std::function<void(StandInUpstream&, HttpExchange&)>;

	/// @param[in] _answers By arrival; the last one answers all that follow.
	void serveBy(DirectSystem& _system, const std::string& _service, const std::vector<std::string>& _ids,
				 std::vector<Answer> _answers)
	{
		answers = std::move(_answers);
		for (const std::string& id : _ids)
		{
			_system.addUpstream(id, _service).answer = [this](StandInUpstream& _upstream,
															  HttpExchange& _exchange) {
				const size_t number = std::min(askedAt.size(), answers.size() - 1);
				askedAt.push_back(_upstream.id);
				answers[number](_upstream, _exchange);
			};
		}
	}

	std::vector<Answer> answers;
	std::vector<std::string> askedAt; ///< Upstreams in the order of the arrivals.
};
} // namespace spanplank

#endif // SPANPLANK_TESTS_DIRECT_SCRIPTED_ARRIVALS_H_HEADER_GUARD
