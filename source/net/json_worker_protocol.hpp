// The product's own protocol between an agent and a worker that is called: JSON over HTTP, one
// encoder and one decoder for each message. docs/api.md 5.
#ifndef ANISELINE_NET_JSON_WORKER_PROTOCOL_HPP
#define ANISELINE_NET_JSON_WORKER_PROTOCOL_HPP
#include "net/worker_protocol.hpp"

namespace aniseline {

// The agent's side.
WorkerProtocol jsonWorkerProtocol();

// The worker's side. A request that is no call, or whose body is not valid, is an error that names
// the field.
Result<WorkerCall> decodeWorkerCall(const HttpRequest& request);
ApiResponse encodeWorkerReply(const WorkerCall& call, const WorkerReply& reply);
HttpRequest encodeRegistration(const WorkerRegistration& registration);
HttpRequest encodeShutdownNotice(const WorkerId& instance);

}  // namespace aniseline

#endif  // ANISELINE_NET_JSON_WORKER_PROTOCOL_HPP
