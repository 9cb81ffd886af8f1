// Fuzzes the messages between an agent and its worker. Input: a line with the request's target or
// the response's status, then the body.
#include "net/json_worker_protocol.hpp"
#include "fuzz.hpp"

using namespace aniseline;

FUZZ_TARGET(bytes) {
  std::string body = bytes;
  const std::string target = takeUntilDelimiter(body, '\n');
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
