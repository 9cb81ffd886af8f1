// What an agent needs to know of how its kind of worker is spoken to; an adapter gives it.
// docs/design.md 5.8, 9.6.
#ifndef ANISELINE_NET_WORKER_PROTOCOL_HPP
#define ANISELINE_NET_WORKER_PROTOCOL_HPP
#include "agent/node_agent.hpp"
#include "net/http_message.hpp"

namespace aniseline {

struct WorkerProtocol {
  // What a worker tells its agent unasked.
  struct Notice {
    WorkerRegistration registration;
    // It is about to end. The registration then names its instance and nothing else.
    bool shuttingDown = false;
  };
  // The request by which a call is made.
  std::function<HttpRequest(const WorkerCall&)> encodeCall;
  // What the answer to a call says; an answer that can't be read says nothing.
  std::function<WorkerReply(const WorkerCall&, const Result<HttpResponse, HttpError>&)> decodeReply;
  // Nothing: the request is none of a worker's.
  std::function<std::optional<Notice>(const HttpRequest&)> decodeNotice;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_WORKER_PROTOCOL_HPP
