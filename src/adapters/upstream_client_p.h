/// Adapter to the engines (OpenAI-shaped HTTP) and plain services beside an agent.
#ifndef SPANPLANK_UPSTREAM_CLIENT_P_H_HEADER_GUARD
#define SPANPLANK_UPSTREAM_CLIENT_P_H_HEADER_GUARD

#include "http_p.h"
#include "spanplank/agent_core.h"

namespace spanplank
{
struct UpstreamHandlers
{
	std::function<void(int _status, const std::string& _contentType)> onStart;
	std::function<void(std::string _data)> onPart;
};

/// Sends one piece of work and passes its answer on as it comes.
/// @returns Tokens and confidence as the engine reports them.
/// @throws HttpFailure
AnswerSummary forwardWork(HttpClient& _client, const Submit& _submit, uint32_t _timeoutMs,
						  const UpstreamHandlers& _handlers, HttpCancel& _cancel);
} // namespace spanplank

#endif // SPANPLANK_UPSTREAM_CLIENT_P_H_HEADER_GUARD
