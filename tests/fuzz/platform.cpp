// The platform's words and settings: a line of what to read, then the bytes. docs/platform.md 3.
#include "platform/words.hpp"
#include "fuzz.hpp"

using namespace aniseline;
using namespace aniseline::platform;

FUZZ_TARGET(bytes) {
  std::string body = bytes;
  const std::string target = takeUntil(body, '\n');
  static const Settings none;
  auto given = Settings::parse(body);
  if (given) {
    (void)given.value().innerSeeds();
    (void)given.value().span("heartbeat_ms", Duration{1500});
    (void)given.value().seconds("bounds.status_s", Duration{600'000});
  }
  (void)readConfiguration(body, none);
  HttpRequest request{"POST", target, body, {{"host", "a:1"}, {"base-version", target}}};
  if (auto call = readClientCall(request))
    (void)writeClientAnswer(call.value(), ApiResponse::of(202, {}));
  (void)readOperatorCall(request, none);
  if (auto name = readTaskName(target, 1))
    require(readTaskName(taskName(*name), 1).has_value());
  const WorkerProtocol protocol = workerProtocol("host");
  (void)protocol.hear(request);
  WorkerCall look;
  look.kind = WorkerCall::Kind::look;
  const Result<HttpResponse, HttpError> answer =
      HttpResponse{std::atoi(target.c_str()), body, Duration{0}};
  (void)protocol.read(look, answer);
}
