/// Typed errors. Every refusal states whether the request may have run and when it may be retried.
#ifndef SPANPLANK_ERRORS_H_HEADER_GUARD
#define SPANPLANK_ERRORS_H_HEADER_GUARD

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace spanplank
{
/// Reason of a refusal. On the wire it is the text returned by `name`.
enum class ErrorCode : uint8_t
{
	BadRequest,
	BadKey,
	NotAllowed,
	UnknownModel,
	UnknownService,
	Oversize,
	DeadlinePassed,
	VersionWithdrawn,
	SessionInvalid,
	NoUpstream,
	Overloaded,
	ExposureSpent,
	UpstreamLost,
	UpstreamFailed,
	KeyReused,
	InDoubt,
	HomeChanging,
	ConfigBehind,
	Stopping,
	Cancelled,
	StoreUnavailable,
	RevisionConflict,
	NotFound,
	LinkRefused,
	BillsFull,
	EndsUpstreams, ///< Upstreams that run the request end.
	Internal,
	Count
};

/// Whether a refused request may have run on an upstream.
enum class RunState : uint8_t
{
	No,      ///< No byte of the request reached an upstream.
	Unknown, ///< The request may have run, completely or in part.
};

/// Refusal of a request, as returned to the caller.
struct Refusal
{
	ErrorCode code = ErrorCode::Internal;
	RunState run = RunState::No;
	uint32_t retryAfterMs = 0; ///< 0 if retrying the same request won't help.
	std::string detail;        ///< Explanation for people; programs use `code`.
};

/// @returns Name of a code on the wire, for example `version_withdrawn`.
std::string_view name(ErrorCode _code);

/// @returns Code with a name on the wire; `Internal` if the name is unknown.
ErrorCode errorCode(std::string_view _name);

/// @returns `no` or `unknown`.
std::string_view name(RunState _run);

/// @returns HTTP status code (RFC 9110) of answers with this error.
int httpStatus(ErrorCode _code);

/// The same, for a refusal of a request that may have run: statuses that promise the opposite are replaced.
int httpStatus(const Refusal& _refusal);

/// @returns Whether an error speaks of the request: its caller has to change it, or may not make it.
bool concernsRequest(ErrorCode _code);

/// Base class of all exceptions of the library.
class Failure : public std::exception
{
public:
	explicit Failure(Refusal _refusal);
	Failure(ErrorCode _code, std::string _detail);

	const Refusal& refusal() const
	{
		return m_refusal;
	}

	const char* what() const noexcept override
	{
		return m_text.c_str();
	}

private:
	Refusal m_refusal;
	std::string m_text;
};
} // namespace spanplank

#endif // SPANPLANK_ERRORS_H_HEADER_GUARD
