/// HTTP status codes (RFC 9110, RFC 6585) that the router sends or evaluates.
#ifndef SPANPLANK_HTTP_STATUS_H_HEADER_GUARD
#define SPANPLANK_HTTP_STATUS_H_HEADER_GUARD

namespace spanplank::status
{
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
/// The request reached another upstream than intended, which has not run it.
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500; ///< This and all higher codes are server errors.
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
} // namespace spanplank::status

#endif // SPANPLANK_HTTP_STATUS_H_HEADER_GUARD
