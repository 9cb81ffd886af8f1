// Fuzzes the decoding of the platform's requests, responses, configurations and settings. Input: a
// line used as target, header value, task name or status, then the body. docs/platform.md 3.
#include "platform/configuration_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/response_codec.hpp"
#include "platform/worker_codec.hpp"
#include "fuzz.hpp"

using namespace aniseline;
using namespace aniseline::platform;

FUZZ_TARGET(bytes) {
  std::string body = bytes;
  const std::string target = takeUntilDelimiter(body, '\n');
  static const Settings defaultSettings;
  auto settings = Settings::parse(body);
  if (settings) {
    (void)settings.value().internalSeeds();
    (void)settings.value().durationFromMilliseconds("heartbeat_ms", Duration{1500});
    (void)settings.value().durationFromSeconds("bounds.status_s", Duration{600'000});
  }
  (void)decodeConfiguration(body, defaultSettings);
  HttpRequest request{"POST", target, body, {{"host", "a:1"}, {"base-version", target}}};
  if (auto call = decodeClientRequest(request))
    (void)encodeClientResponse(call.value(), ApiResponse::of(202, {}));
  (void)decodeOperatorRequest(request, defaultSettings);
  if (auto name = decodeTaskName(target, 1))
    require(decodeTaskName(encodeTaskName(*name), 1).has_value());
  const WorkerProtocol protocol = platformWorkerProtocol("host");
  (void)protocol.decodeNotice(request);
  WorkerCall pollCall;
  pollCall.kind = WorkerCall::Kind::poll;
  const Result<HttpResponse, HttpError> answer =
      HttpResponse{std::atoi(target.c_str()), body, Duration{0}};
  (void)protocol.decodeReply(pollCall, answer);
}
