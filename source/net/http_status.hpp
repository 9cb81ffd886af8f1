// The HTTP status codes that aniseline's interfaces send and interpret. RFC 9110; docs/api.md.
#ifndef ANISELINE_NET_HTTP_STATUS_HPP
#define ANISELINE_NET_HTTP_STATUS_HPP

namespace aniseline::http_status {

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int preconditionFailed = 412;
constexpr int contentTooLarge = 413;
constexpr int misdirectedRequest = 421;
constexpr int tooManyRequests = 429;
constexpr int headersTooLarge = 431;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;

}  // namespace aniseline::http_status

#endif  // ANISELINE_NET_HTTP_STATUS_HPP
