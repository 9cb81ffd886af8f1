// The platform's words and settings: a line of what to read, then the bytes. docs/platform.md 3.
#include "platform/configuration_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/response_codec.hpp"
#include "platform/worker_codec.hpp"
#include "fuzz.hpp"

using namespace aniseline;
using namespace aniseline::platform;

FUZZ_TARGET(bytes) {
  std::string body = bytes;
  const std::string target = takeUntil(body, '\n');
  static const Settings none;
  auto given = Settings::parse(body);
  if (given) {
    (void)given.value().internalSeeds();
    (void)given.value().durationFromMilliseconds("heartbeat_ms", Duration{1500});
    (void)given.value().durationFromSeconds("bounds.status_s", Duration{600'000});
  }
  (void)decodeConfiguration(body, none);
  HttpRequest request{"POST", target, body, {{"host", "a:1"}, {"base-version", target}}};
  if (auto call = decodeClientRequest(request))
    (void)encodeClientResponse(call.value(), ApiResponse::of(202, {}));
  (void)decodeOperatorRequest(request, none);
  if (auto name = decodeTaskName(target, 1))
    require(decodeTaskName(encodeTaskName(*name), 1).has_value());
  const WorkerProtocol protocol = platformWorkerProtocol("host");
  (void)protocol.decodeNotice(request);
  WorkerCall look;
  look.kind = WorkerCall::Kind::poll;
  const Result<HttpResponse, HttpError> answer =
      HttpResponse{std::atoi(target.c_str()), body, Duration{0}};
  (void)protocol.decodeReply(look, answer);
}
