// The functions with which an agent encodes and decodes the protocol of its kind of worker;
// provided by an adapter. docs/design.md 5.8, 9.6.
#ifndef ANISELINE_NET_WORKER_PROTOCOL_HPP
#define ANISELINE_NET_WORKER_PROTOCOL_HPP
#include "agent/node_agent.hpp"
#include "net/http_message.hpp"

namespace aniseline {

struct WorkerProtocol {
  // A message that a worker sends to its agent on its own.
  struct Notice {
    WorkerRegistration registration;
    // The worker is about to end. The registration then contains only its instance.
    bool shuttingDown = false;
  };
  // Returns the HTTP request for a call.
  std::function<HttpRequest(const WorkerCall&)> encodeCall;
  // Decodes the response to a call; an unreadable response becomes a reply without content.
  std::function<WorkerReply(const WorkerCall&, const Result<HttpResponse, HttpError>&)> decodeReply;
  // Decodes a notice; returns nothing if the request is not a notice of a worker.
  std::function<std::optional<Notice>(const HttpRequest&)> decodeNotice;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_WORKER_PROTOCOL_HPP
