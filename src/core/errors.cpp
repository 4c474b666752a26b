#include "spanplank/errors.h"

#include <array>

#include "spanplank/http_status.h"

namespace spanplank
{
namespace
{
struct ErrorRow
{
	std::string_view name;
	int status;
};

constexpr std::array<ErrorRow, size_t(ErrorCode::Count)> kErrors = {{
	{"bad_request", 400},       {"bad_key", 401},           {"not_allowed", 403},
	{"unknown_model", 404},     {"unknown_service", 404},   {"oversize", 413},
	{"deadline_passed", 408},   {"version_withdrawn", 410}, {"session_invalid", 400},
	{"no_upstream", 503},       {"overloaded", 429},        {"exposure_spent", 503},
	{"upstream_lost", 502},     {"upstream_failed", 502},   {"key_reused", 422},
	{"in_doubt", 409},          {"home_changing", 503},     {"config_behind", 503},
	{"stopping", 503},          {"cancelled", 499},         {"store_unavailable", 503},
	{"revision_conflict", 409}, {"not_found", 404},         {"link_refused", 403},
	{"bills_full", 503},        {"ends_upstreams", 503},    {"internal", 500},
}};
} // namespace

std::string_view name(ErrorCode _code)
{
	return kErrors[size_t(_code)].name;
}

ErrorCode errorCode(std::string_view _name)
{
	for (size_t ii = 0; ii < kErrors.size(); ++ii)
	{
		if (kErrors[ii].name == _name)
		{
			return ErrorCode(ii);
		}
	}
	return ErrorCode::Internal;
}

std::string_view name(RunState _run)
{
	return _run == RunState::No ? "no" : "unknown";
}

int httpStatus(ErrorCode _code)
{
	return kErrors[size_t(_code)].status;
}

int httpStatus(const Refusal& _refusal)
{
	if (_refusal.run == RunState::Unknown && _refusal.code == ErrorCode::DeadlinePassed)
	{
		return status::kGatewayTimeout;
	}
	if (_refusal.run == RunState::Unknown && _refusal.code == ErrorCode::Overloaded)
	{
		return status::kBadGateway;
	}
	return httpStatus(_refusal.code);
}

bool concernsRequest(ErrorCode _code)
{
	const int code = httpStatus(_code);
	return code >= status::kBadRequest && code < status::kFirstServerError &&
		   code != status::kRequestTimeout && code != status::kTooManyRequests;
}

Failure::Failure(Refusal _refusal) : m_refusal(std::move(_refusal))
{
	m_text = std::string(name(m_refusal.code)) + ": " + m_refusal.detail;
}

Failure::Failure(ErrorCode _code, std::string _detail)
	: Failure(Refusal{_code, RunState::No, 0, std::move(_detail)})
{
}
} // namespace spanplank
