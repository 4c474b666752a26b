/// Status codes of HTTP answers (RFC 9110, RFC 6585) that the router tells or judges by, in one place.
#ifndef SPANPLANK_HTTP_STATUS_H_HEADER_GUARD
#define SPANPLANK_HTTP_STATUS_H_HEADER_GUARD

namespace spanplank::status
{
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421; ///< The upstream is not the one that was meant; it has not run the request.
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500; ///< This and all above are failures of the server.
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
} // namespace spanplank::status

#endif // SPANPLANK_HTTP_STATUS_H_HEADER_GUARD
