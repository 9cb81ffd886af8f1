// What an agent and its worker say to each other: a line of the target or the answer's status, then
// the body.
#include "net/json_worker_protocol.hpp"
#include "fuzz.hpp"

using namespace aniseline;

FUZZ_TARGET(bytes) {
  std::string body = bytes;
  const std::string target = takeUntil(body, '\n');
  const HttpRequest request{"POST", target, body};
  const WorkerProtocol protocol = jsonWorkerProtocol();
  (void)protocol.decodeNotice(request);
  if (auto call = decodeWorkerCall(request))
    (void)protocol.encodeCall(call.value());
  for (auto kind : {WorkerCall::Kind::start, WorkerCall::Kind::poll}) {
    WorkerCall call;
    call.kind = kind;
    const Result<HttpResponse, HttpError> answer =
        HttpResponse{std::atoi(target.c_str()), body, Duration{0}};
    const WorkerReply reply = protocol.decodeReply(call, answer);
    (void)encodeWorkerReply(call, reply);
  }
}
